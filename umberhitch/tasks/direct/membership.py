"""Which routers there are: each keeps its seat in the store's group, and few read the list.

To keep a seat costs the store a tenth of a call, to read the list a whole one, and each router that
comes or goes changes the list for all. So one router of each reader's group reads it for the others
(`tasks/direct/sharing`): 68 routers of which one came cost 3 calls instead of 68. A router that
nobody can tell reads it itself.
"""

from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger
from random import Random

from twisted.internet.defer import ensureDeferred

from umberhitch.errors import LogError
from umberhitch.ports.clock import Clock, pause
from umberhitch.ports.direct import Member, MembersPort
from umberhitch.tasks.direct.read_sharing import ReadSharing
from umberhitch.wire import ViewReply, ViewRequest

__all__ = ["MEMBERS_STREAM", "Membership", "MembershipLimits"]

log = getLogger(__name__)

MEMBERS_STREAM = "members"
"""Name of the list among the streams that routers ask each other for."""


@dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Times in seconds.

    Attributes
    ----------
    ttl_s : float
        How long the store keeps a router that does not say that it is alive. A lost one is asked in
        vain meanwhile, once each `SharingLimits.shun_s`.
    first_join_s : float
        Pause after the first join; it doubles up to a third of ``ttl_s``. Routers that start
        together find each other soon.
    hold_s : float
        How long a reader may take to read the list from the store.
    patience_s : float
        An ask has failed that takes so much longer.
    """

    ttl_s: float = 9.0
    first_join_pause_s: float = 0.4
    hold_s: float = 0.3
    timeout_s: float = 0.15

    @property
    def propagation_s(self) -> float:
        """Time in which every router that keeps its seat hears of one that has come: its joins are
        not further apart, and each is followed by a look at the list."""
        return 1.2 * self.ttl_s / 3 + self.hold_s + self.timeout_s


class Membership:
    """Keeps this router's seat, and knows the others.

    Parameters
    ----------
    me : Member
    clock : Clock
    rng : Random
    port : MembersPort
    sharing : ReadSharing
    on_members : callable
        Takes the newest list.
    limits : MembershipLimits
    """

    def __init__(
        self,
        me: Member,
        clock: Clock,
        rng: Random,
        port: MembersPort,
        sharing: ReadSharing,
        on_members: Callable[[list[Member]], None],
        limits: MembershipLimits | None = None,
    ) -> None:
        self._me = me
        self._clock = clock
        self._rng = rng
        self._port = port
        self._sharing = sharing
        self._on_members = on_members
        self._limits = limits or MembershipLimits()
        self._members: list[Member] = []
        self._generation = -1
        """Generation of the group that the list is not older than."""
        self._waiting: list[tuple[str, ViewRequest]] = []
        self._is_reading = False
        self._is_stopped = False
        self._joined_s: float | None = None
        """Since when this router has its seat."""
        self._lease_expires_s = float("-inf")
        sharing.handlers[MEMBERS_STREAM] = self

    def start(self) -> None:
        """Join, and go on doing so."""
        ensureDeferred(self._keep_joined()).addErrback(
            lambda failure: log.error("membership ended", extra={"error": failure.getTraceback()})
        )

    def stop(self) -> None:
        """Leave."""
        self._is_stopped = True
        leaving = ensureDeferred(self._port.leave(self._me))
        leaving.addErrback(lambda failure: log.info("not left", extra={"error": str(failure)}))

    def is_known_to_peers(self) -> bool:
        """Whether this router has its seat, and the others have had the time to hear of it.

        Else they may go by a list on which it is not, and share among themselves what it takes for
        its own.
        """
        now_s = self._clock.seconds()
        if self._joined_s is None or now_s >= self._lease_expires_s:
            return False
        return now_s >= self._joined_s + self._limits.propagation_s

    def _note_lease(self, called_s: float) -> None:
        """Take note that the store keeps the seat for so long after a call was sent."""
        if self._joined_s is None or called_s >= self._lease_expires_s:
            self._joined_s = self._clock.seconds()
        self._lease_expires_s = called_s + self._limits.ttl_s

    async def _keep_joined(self) -> None:
        longest_s = self._limits.ttl_s / 3
        pause_s = min(self._limits.first_join_pause_s, longest_s)
        while not self._is_stopped:
            try:
                called_s = self._clock.seconds()
                generation = await self._port.join(self._me, self._limits.ttl_s)
                self._note_lease(called_s)
                if not self._is_stopped:
                    await self._update_list(generation)
            except LogError as exc:
                log.info("not joined", extra={"error": str(exc)})
            await pause(self._clock, pause_s * (0.8 + 0.4 * self._rng.random()))
            pause_s = min(2 * pause_s, longest_s)

    async def _update_list(self, generation: int) -> None:
        """Have a list that is not older than a generation."""
        if generation < self._generation:
            self._generation = -1  # the store began the group anew
        if generation <= self._generation:
            return
        reader = self._sharing.choose_reader(set())
        if reader is not None and await self._request_list(reader, generation):
            return
        await self._read(generation)

    async def _request_list(self, reader: str, generation: int) -> bool:
        """Ask a reader for the list; return whether it had one that is new enough."""
        limits = self._limits
        reply = await self._sharing.request_changes(
            reader, MEMBERS_STREAM, generation, limits.hold_s, limits.timeout_s
        )
        if reply is None or not reply.is_offset_known or reply.end < generation:
            return False
        self._apply([Member(name, address) for name, address in reply.members], reply.end)
        return True

    async def _read(self, generation: int) -> None:
        """Read the list from the store, which has reached the generation."""
        members = await self._port.members()
        self._apply(members, generation)

    def _apply(self, members: list[Member], generation: int) -> None:
        if self._is_stopped or generation < self._generation:
            return
        self._generation = generation
        self._members = members
        self._on_members(members)

    # For others

    def handle_request(self, sender: str, request: ViewRequest) -> None:
        """Tell a peer the list, if need be after one call to the store for all that wait."""
        if request.offset <= self._generation:
            self._answer(sender, request)
            return
        self._waiting.append((sender, request))
        if not self._is_reading:
            self._is_reading = True
            ensureDeferred(self._read_for_others()).addErrback(
                lambda failure: log.info("list not read", extra={"error": str(failure)})
            )

    async def _read_for_others(self) -> None:
        try:
            while self._waiting:
                waiting, self._waiting = self._waiting, []
                newest = max(ask.offset for _, ask in waiting)
                if newest > self._generation:
                    await self._try_read(newest)
                for sender, ask in waiting:
                    self._answer(sender, ask)
        finally:
            self._is_reading = False

    async def _try_read(self, generation: int) -> None:
        """Read the list; those who wait are told at once if it cannot be had."""
        try:
            await self._read(generation)
        except LogError as exc:
            log.info("list not read", extra={"error": str(exc)})

    def _answer(self, sender: str, ask: ViewRequest) -> None:
        reply = ViewReply(ask.request_id, ask.incarnation, False)
        if ask.offset <= self._generation:
            members = [(each.name, each.address) for each in self._members]
            reply = ViewReply(
                ask.request_id, ask.incarnation, True, self._generation, members=members
            )
        self._sharing.send(sender, reply)
