"""The list of routers: each renews its membership in the store's group, and few read the list.

Renewing a membership costs the store a tenth of a call, reading the list a whole one, and each
router that joins or leaves changes the list for all. So one router of each reader group reads the
list for the others (`tasks/direct/read_sharing`): with 68 routers, a router that joins costs 3
calls instead of 68. A router that gets no answer from a reader reads the list itself.

If the store returns from an older copy, the list may lack routers that have joined since. They are
listed again with their next renewal; until then, they are taken for members as before.
"""

from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger
from random import Random

from twisted.internet.defer import ensureDeferred

from umberhitch.core.direct import NO_POSITION, Position, epoch_of, offset_of
from umberhitch.errors import LogError
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import Member, MembersPort
from umberhitch.tasks.direct.read_sharing import ReadSharing
from umberhitch.wire import ViewReply, ViewRequest

__all__ = ["MEMBERS_STREAM", "Membership", "MembershipLimits"]

log = getLogger(__name__)

MEMBERS_STREAM = "members"
"""Name of the list among the streams that routers request from each other."""


@dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Limits of the membership; times in seconds.

    Attributes
    ----------
    ttl_s : float
        How long the store keeps a router that does not renew its membership. Meanwhile, requests to
        a router that is lost time out, once each `ReadSharingLimits.exclusion_s`.
    first_join_pause_s : float
        Pause after the first join; it doubles up to a third of ``ttl_s``, so that routers that
        start together find each other soon.
    hold_s : float
        Time allowed for a reader to read the list from the store.
    timeout_s : float
        Time allowed for the reply in addition to the hold time.
    """

    ttl_s: float = 9.0
    first_join_pause_s: float = 0.4
    hold_s: float = 0.3
    timeout_s: float = 0.15

    @property
    def propagation_s(self) -> float:
        """Seconds within which every router that renews its membership learns of a new router.

        Two renewals of a router are at most ``1.2 * ttl_s / 3`` apart, and each is followed by an
        update of its list.
        """
        return 1.2 * self.ttl_s / 3 + self.hold_s + self.timeout_s


class Membership:
    """Renews this router's membership and follows the list of members.

    Parameters
    ----------
    own_member : Member
    clock : Clock
    rng : Random
    port : MembersPort
    sharing : ReadSharing
    on_members : callable
        Called with the newest list.
    limits : MembershipLimits
    """

    def __init__(
        self,
        own_member: Member,
        clock: Clock,
        rng: Random,
        port: MembersPort,
        sharing: ReadSharing,
        on_members: Callable[[list[Member]], None],
        limits: MembershipLimits | None = None,
    ) -> None:
        self._own_member = own_member
        self._clock = clock
        self._rng = rng
        self._port = port
        self._sharing = sharing
        self._on_members = on_members
        self._limits = limits or MembershipLimits()
        self._members: list[Member] = []
        self._listed: list[Member] = []
        """Those of them that the store's list names."""
        self._missing: dict[str, Member] = {}
        """Members that the list lacks since the store has returned from an older copy."""
        self._missing_until_s = float("-inf")
        self._generation: Position = NO_POSITION
        """Generation of the group that the list reflects at least."""
        self._waiting: list[tuple[str, ViewRequest]] = []
        self._is_reading = False
        self._is_stopped = False
        self._listed_s: float | None = None
        """Time since which the list has named this router without interruption."""
        self._unlisted_since_s: float | None = None
        """Time since which the store has accepted this router without listing it."""
        self._lease_expires_s = float("-inf")
        sharing.handlers[MEMBERS_STREAM] = self

    def start(self) -> None:
        """Join the group and renew the membership regularly."""
        ensureDeferred(self._keep_joined()).addErrback(
            lambda failure: log.error(
                "membership renewal failed", extra={"error": failure.getTraceback()}
            )
        )

    def stop(self) -> None:
        """Leave the group."""
        self._is_stopped = True
        left = ensureDeferred(self._port.leave(self._own_member))
        left.addErrback(
            lambda failure: log.info("leaving the group failed", extra={"error": str(failure)})
        )

    def is_known_to_peers(self) -> bool:
        """Whether this router is listed and the others had time to learn of it.

        Otherwise the others may use a list without this router, and divide among themselves the
        share of a limit that this router uses.
        """
        now_s = self._clock.seconds()
        if self._listed_s is None or now_s >= self._lease_expires_s:
            return False
        return now_s >= self._listed_s + self._limits.propagation_s

    def is_listed(self) -> bool:
        """Whether the newest list names this router.

        The store accepts more routers than it has places for, and lists a router only when another
        one has given up a place for it. The routers that are listed know nothing of the others.
        """
        return any(member.name == self._own_member.name for member in self._members)

    def is_left_out(self) -> bool:
        """Whether this router has stayed unlisted for longer than it takes to get a place."""
        since_s = self._unlisted_since_s
        return since_s is not None and self._clock.seconds() >= since_s + self._limits.ttl_s

    def _note_lease(self, called_s: float) -> None:
        """Record the lease that a join grants, counted from the time of the call."""
        if called_s >= self._lease_expires_s:
            self._listed_s = None
        self._lease_expires_s = called_s + self._limits.ttl_s

    def _note_listed(self) -> None:
        """Record whether the list, which is as new as the lease, names this router."""
        now_s = self._clock.seconds()
        if self.is_listed():
            self._unlisted_since_s = None
            self._listed_s = now_s if self._listed_s is None else self._listed_s
            return
        self._listed_s = None
        if self._unlisted_since_s is None:
            self._unlisted_since_s = now_s
            log.info("not listed", extra={"generation": self._generation})

    async def _keep_joined(self) -> None:
        max_pause_s = self._limits.ttl_s / 3
        pause_s = min(self._limits.first_join_pause_s, max_pause_s)
        while not self._is_stopped:
            try:
                called_s = self._clock.seconds()
                generation = await self._port.join(self._own_member, self._limits.ttl_s)
                self._note_lease(called_s)
                if not self._is_stopped:
                    await self._update_list(generation)
                    self._drop_missing()
                    self._note_listed()
            except LogError as exc:
                log.info("joining the group failed", extra={"error": str(exc)})
            await pause(self._clock, pause_s * (0.8 + 0.4 * self._rng.random()))
            pause_s = min(2 * pause_s, max_pause_s)

    async def _update_list(self, generation: Position) -> None:
        """Make sure that the list is not older than a generation."""
        if generation < self._generation:
            self._generation = NO_POSITION  # the store has reset the group
        if generation <= self._generation:
            return
        reader = self._sharing.choose_reader(set())
        if reader is not None and await self._request_list(reader, generation):
            return
        await self._read(generation)

    async def _request_list(self, reader: str, generation: Position) -> bool:
        """Request the list from a reader; return whether it was new enough."""
        limits = self._limits
        reply = await self._sharing.request_changes(
            reader, MEMBERS_STREAM, generation, limits.hold_s, limits.timeout_s
        )
        if reply is None or not reply.is_offset_known or reply.position < generation:
            return False
        self._apply([Member(name, address) for name, address in reply.members], reply.position)
        return True

    async def _read(self, generation: Position) -> None:
        """Read the list from the store, which has reached the generation."""
        members = await self._port.members()
        self._apply(members, generation)

    def _apply(self, members: list[Member], generation: Position) -> None:
        if self._is_stopped or generation < self._generation:
            return
        if self._generation != NO_POSITION and epoch_of(generation) > epoch_of(self._generation):
            self._missing = {member.name: member for member in self._members}
            self._missing_until_s = self._clock.seconds() + self._limits.propagation_s
        self._generation = generation
        self._set_members(members)

    def _set_members(self, listed: list[Member]) -> None:
        for member in listed:
            self._missing.pop(member.name, None)
        self._listed = listed
        self._members = [*listed, *self._missing.values()]
        if not self.is_listed():
            self._listed_s = None
        self._on_members(self._members)

    def _drop_missing(self) -> None:
        """Drop the members that have not renewed their membership since the store returned."""
        if not self._missing or self._clock.seconds() < self._missing_until_s:
            return
        self._missing = {}
        self._set_members(self._listed)

    # Answers to peers

    def handle_request(self, sender: str, request: ViewRequest) -> None:
        """Send the list to a peer, after one read for all that wait if it is too old."""
        if request.position <= self._generation:
            self._answer(sender, request)
            return
        self._waiting.append((sender, request))
        if not self._is_reading:
            self._is_reading = True
            ensureDeferred(self._read_for_others()).addErrback(
                lambda failure: log.info("member list not read", extra={"error": str(failure)})
            )

    async def _read_for_others(self) -> None:
        try:
            while self._waiting:
                waiting, self._waiting = self._waiting, []
                newest = max(request.position for _, request in waiting)
                if newest > self._generation:
                    await self._try_read(newest)
                for sender, request in waiting:
                    self._answer(sender, request)
        finally:
            self._is_reading = False

    async def _try_read(self, generation: Position) -> None:
        """Read the list; on failure, the waiting peers are answered at once."""
        try:
            await self._read(generation)
        except LogError as exc:
            log.info("member list not read", extra={"error": str(exc)})

    def _answer(self, sender: str, request: ViewRequest) -> None:
        reply = ViewReply(request.request_id, request.incarnation, False)
        if request.position <= self._generation:
            members = [(member.name, member.address) for member in self._listed]
            reply = ViewReply(
                request.request_id,
                request.incarnation,
                True,
                offset_of(self._generation),
                members=members,
                epoch=epoch_of(self._generation),
            )
        self._sharing.send(sender, reply)
