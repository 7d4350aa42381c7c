"""Finds the other routers of the direct path through the store, and exchanges state with them.

The state that routers send is cumulative, so that lost and repeated messages do no harm. Without
peers everything works, though less accurately.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from logging import getLogger
from random import Random

from xxhash import xxh3_64_intdigest

from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import Member, MembersPort
from umberhitch.ports.link import LinkPort
from umberhitch.tasks.direct.gateway import Gateway
from umberhitch.tasks.direct.membership import Membership, MembershipLimits
from umberhitch.tasks.direct.pace_sharing import PaceSharing
from umberhitch.tasks.direct.read_sharing import ReadSharing
from umberhitch.tasks.direct.recovery import Recovery
from umberhitch.tasks.direct.share_reports import apply_uses, told_uses
from umberhitch.tasks.direct.unlisted_peers import UnlistedPeers
from umberhitch.wire import (
    BurnReply,
    BurnRequest,
    CanaryUpdate,
    CrashUpdate,
    EndpointUpdate,
    EndpointUse,
    Message,
    PeerReport,
    ProbeReply,
    ProbeRequest,
    RecoveryReply,
    RecoveryRequest,
    ServiceUse,
    ViewReply,
    ViewRequest,
)

__all__ = ["DirectPeers", "DirectPeersLimits"]

log = getLogger(__name__)

REMOTE_REPORT_EVERY = 4
"""With many peers, those in other availability zones get one report in this many, except during a
roll-out: calls mostly stay within their zone, while reports to other zones cross its boundary."""
RESEND_INTERVAL_S = 1.0
RESEND_PEERS = 2
"""Number of peers to which the state of held requests is resent in each interval. As all routers do
so, each receives it twice a second whatever their number, at less than 2 kB per second."""
UPDATE_DELAY_S = 0.03
"""Delay in which updates are collected into one message: sessions that other routers would send to
the other version, and states of roll-outs that were written to the store. With 28 peers, a report
is sent every 0.9 s. With reports alone, a request that reached another router before the report
about its session went to the other version: 4 requests in a day, and 10 of 200 within 0.1 s of an
order."""


@dataclass(frozen=True, slots=True)
class DirectPeersLimits:
    """Limits of the exchange between peers; times in seconds.

    Attributes
    ----------
    report_interval_s : float
        Interval of the reports to each peer.
    full_rate_peers : int
        Number of peers up to which this interval holds; with more, it grows in proportion.
    silence_s : float
        The reports of a peer that was silent for so long are ignored.
    max_missed_reports : float
        The reports of a peer count until so many have been missed, even where this exceeds
        `silence_s`: with 68 peers, there is one every 2.1 s.
    membership : MembershipLimits
    """

    report_interval_s: float = 0.25
    full_rate_peers: int = 8
    silence_s: float = 2.0
    max_missed_reports: float = 2.5
    membership: MembershipLimits = MembershipLimits()


@dataclass(slots=True)
class _ReceivedReport:
    report: PeerReport
    received_s: float


class DirectPeers:
    """Owns a router's view of its peers.

    Parameters
    ----------
    own_member : Member
    incarnation : int
    gateway : Gateway
    clock : Clock
    rng : Random
    link : LinkPort
    members : MembersPort
    sharing : ReadSharing
    limits : DirectPeersLimits
    """

    def __init__(
        self,
        own_member: Member,
        incarnation: int,
        gateway: Gateway,
        clock: Clock,
        rng: Random,
        link: LinkPort,
        members: MembersPort,
        sharing: ReadSharing,
        limits: DirectPeersLimits | None = None,
    ) -> None:
        self._own_member = own_member
        self._incarnation = incarnation
        self._gateway = gateway
        self._clock = clock
        self._rng = rng
        self._link = link
        self._sharing = sharing
        self._paces = PaceSharing(gateway.placement, gateway.directory)
        self._limits = limits or DirectPeersLimits()
        self._membership = Membership(
            own_member, clock, rng, members, sharing, self._apply_members, self._limits.membership
        )
        self._received: dict[str, _ReceivedReport] = {}
        self._last_reports: dict[str, _ReceivedReport] = {}
        """The last reports of peers that have drained."""
        self._incarnations: dict[str, int] = {}
        """The newest incarnation of each peer that has reported."""
        self._peers: dict[str, str] = {}
        self._unlisted_peers = UnlistedPeers(self._limits.membership.ttl_s)
        self._link_mbps = {own_member.name: gateway.settings.link_mbps}
        self._seq = 0
        self._rounds = 0
        self._has_list = False
        """Whether the list of peers in the store is known."""
        self._is_stopped = False
        self._is_update_due = False
        self.recovery = Recovery(
            (own_member.name, incarnation),
            clock,
            rng,
            gateway.canary_controller,
            lambda: gateway.view.is_loaded and self._has_list,
            self.peer_names,
            link.send,
        )
        gateway.is_recovered = self.recovery.is_done
        gateway.canary_controller.follow_peers(self.rank, self._schedule_updates)
        gateway.gate.follow_membership(
            self._membership.is_known_to_peers, self._limits.membership.propagation_s
        )
        gateway.gate.sharing.on_update = self._schedule_updates
        gateway.canary_controller.running_on_other_versions = self.running_on_other_versions
        gateway.presence.peer_available_in_s = self.peer_available_in_s
        gateway.crash_guard.sharing.peers = self.peer_names
        gateway.crash_guard.sharing.send = link.send
        gateway.crash_guard.sharing.on_update = self._schedule_updates
        gateway.crash_guard.sharing.is_listed = self._membership.is_listed
        sharing.peers = self.peer_names
        sharing.is_left_out = self._membership.is_left_out
        sharing.link_mbps = self.link_mbps

    def start(self) -> None:
        """Join the group and start to report."""
        self._link.listen(self.receive)
        self._membership.start()
        self.recovery.start()
        self._report()
        self._resend()

    def stop(self) -> None:
        """Stop reporting and leave the group."""
        self._is_stopped = True
        self.recovery.stop()
        self._membership.stop()

    def leave(self) -> None:
        """Tell all peers what only this router knows, since its process ends."""
        last = self.recovery.last_words()
        for name in self._contacts():
            self._link.send(name, last)

    def _apply_members(self, members: list[Member]) -> None:
        found = {
            member.name: member.address
            for member in members
            if member.name != self._own_member.name
        }
        for name in [name for name in self._peers if name not in found]:
            self._link.disconnect(name)
            self._link_mbps.pop(name, None)
        for name, address in found.items():
            self._link.connect(name, address)
        joined = found.keys() - self._peers.keys()
        self._peers = found
        self._unlisted_peers.forget(found)
        self._gateway.gate.shares.set_routers(member.name for member in members)
        if joined:
            self._send_full_state(joined)
        self._has_list = True
        self._share_retries(1 + len(found))
        is_listed = self._membership.is_listed()
        log.info("peers", extra={"names": sorted(found), "is_listed": is_listed})

    def _share_retries(self, routers: int) -> None:
        """Set how many routers share the slack of the retry budget.

        The listed routers know all others by the list or by reports. An unlisted one knows only the
        listed ones, so it goes by the number that they tell, and has no slack before.
        """
        told = max((each.report.routers for each in self._received.values()), default=0)
        is_listed = self._membership.is_listed()
        self._gateway.retry_budget.router_count = routers if is_listed else told or None

    def _send_full_state(self, names: Iterable[str]) -> None:
        """Send the full state to new peers at once.

        Routers choose readers by the reported bandwidths of links; until it has the reports, each
        router reads the store itself. When 80 routers started together, this caused 25 reads a
        second, compared with 7 if the state is sent at once.
        """
        messages: list[Message] = [
            self._make_report(),
            *self._gateway.crash_guard.sharing.all_updates(),
        ]
        messages += self._gateway.gate.sharing.all_updates()
        for name in names:
            for message in messages:
                self._link.send(name, message)

    def _make_report(self) -> PeerReport:
        self._seq += 1
        uses = [
            EndpointUse(endpoint, running, round(prefill_s, 4), rank)
            for endpoint, (running, prefill_s, rank) in self._gateway.placement.own_load().items()
        ]
        return PeerReport(
            self._own_member.name,
            self._incarnation,
            self._seq,
            uses,
            self._gateway.canary_controller.reports(),
            round(self._gateway.presence.available_in_s(), 2),
            self._gateway.settings.zone,
            self._gateway.settings.link_mbps,
            self._known_routers() if self._membership.is_listed() else 0,
            self._sharing.epochs.current,
            self._gateway.view.configuration(),
            paces=self._paces.fresh_paces(self._clock.seconds()),
            customers=self._told_uses(),
        )

    def _told_uses(self) -> list[ServiceUse]:
        control = self._gateway.admission_control
        return [] if control is None else told_uses(control.shares, self._clock.seconds())

    def _known_routers(self) -> int:
        """Return the number of routers that are listed or report here, including this one."""
        return 1 + len({*self._peers, *self._received})

    def _report(self) -> None:
        if self._is_stopped:
            return
        self._update_totals()
        report = self._make_report()
        self._rounds += 1
        is_for_all = (
            self._gateway.canary_controller.is_any_in_progress()
            or self._rounds % self._remote_report_every() == 0
        )
        for name in self._peers:
            if is_for_all or not self._is_remote(name):
                self._link.send(name, report)
        for name in self._unlisted_peers.next_names(len(self._peers)):
            self._link.send(name, report)
        self._clock.callLater(self._report_interval_s(), self._report)

    def _resend(self) -> None:
        """Resend the current state to a few peers, for routers that missed an update."""
        if self._is_stopped:
            return
        self._gateway.gate.refresh_shares()
        updates: list[Message] = [*self._gateway.crash_guard.sharing.updates_to_resend()]
        updates += self._gateway.gate.sharing.updates_to_resend()
        contacts = self._contacts()
        for name in self._rng.sample(contacts, min(RESEND_PEERS, len(contacts))):
            for message in updates:
                self._link.send(name, message)
        self._clock.callLater(RESEND_INTERVAL_S, self._resend)

    def _report_interval_s(self) -> float:
        """Return the interval of the reports to each peer."""
        slowdown = max(1.0, len(self._peers) / self._limits.full_rate_peers)
        return self._limits.report_interval_s * slowdown

    def _schedule_updates(self) -> None:
        if not self._is_update_due:
            self._is_update_due = True
            self._clock.callLater(UPDATE_DELAY_S, self._send_updates)

    def _send_updates(self) -> None:
        """Send all pending updates on roll-outs, crashes and limits to all peers."""
        self._is_update_due = False
        messages: list[Message] = [*self._gateway.canary_controller.pop_updates()]
        messages += self._gateway.crash_guard.sharing.pop_updates()
        messages += self._gateway.gate.sharing.pop_updates()
        contacts = self._contacts()
        for message in messages:
            for name in contacts:
                self._link.send(name, message)

    def _remote_report_every(self) -> int:
        """Return n, where every nth report goes to other zones: 1 if there are few peers."""
        return REMOTE_REPORT_EVERY if len(self._peers) > self._limits.full_rate_peers else 1

    def _is_remote(self, name: str) -> bool:
        """Whether a peer has reported that it is in another availability zone."""
        received = self._received.get(name)
        return received is not None and received.report.zone != self._gateway.settings.zone

    def _is_silent(self, received: _ReceivedReport) -> bool:
        return received.received_s < self._clock.seconds() - self._silence_s(received)

    def _silence_s(self, received: _ReceivedReport) -> float:
        """Return after how many seconds without a report a peer is taken to be gone."""
        is_remote = received.report.zone != self._gateway.settings.zone
        limits = self._limits
        silence_s = max(limits.silence_s, limits.max_missed_reports * self._report_interval_s())
        return silence_s * (self._remote_report_every() if is_remote else 1)

    def live_reports(self) -> list[PeerReport]:
        """Return the newest reports of the peers that were not silent."""
        for name in [n for n, received in self._received.items() if self._is_silent(received)]:
            received = self._received.pop(name)
            self._unlisted_peers.forget([name])
            if received.report.retry_after_s:
                self._last_reports[name] = received
        return [received.report for received in self._received.values()]

    def _contacts(self) -> list[str]:
        """Return the names of all peers to send to: the listed ones and the unlisted ones."""
        return [*self._peers, *self._unlisted_peers.names]

    def peer_names(self) -> list[str]:
        """Return the names of the peers that the store lists.

        With many routers, reports from each are too rare to derive the names from them.
        """
        return list(self._peers)

    def link_mbps(self, name: str) -> float:
        """Return the last reported bandwidth of a router's link, 0 if it never reported one."""
        return self._link_mbps.get(name, 0.0)

    def rank(self) -> int | None:
        """Return the rank of this router among the routers that the store lists, starting at 0.

        The result is None while the list is not known or does not name this router. The order is by
        digest, since routers with adjacent names are in one zone and lose their connection
        together.
        """
        if not self._has_list or not self._membership.is_listed():
            return None
        own = xxh3_64_intdigest(self._own_member.name.encode())
        return sum(xxh3_64_intdigest(name.encode()) < own for name in self._peers)

    def peer_available_in_s(self) -> float:
        """Return the time until a peer accepts streams: 0 if one does, or if no peer has reported.

        The time that a drained peer has announced holds until then, even while the peer is silent.
        """
        now_s = self._clock.seconds()
        available_s = {
            n: last.received_s + last.report.retry_after_s for n, last in self._last_reports.items()
        }
        self._last_reports = {
            n: last for n, last in self._last_reports.items() if available_s[n] > now_s
        }
        received = [
            entry.received_s + entry.report.retry_after_s for entry in self._received.values()
        ]
        waits = [
            max(0.0, at_s - now_s)
            for at_s in (*received, *(available_s[n] for n in self._last_reports))
        ]
        return min(waits, default=0.0)

    def running_on_other_versions(self, service: str, version: str) -> int:
        """Return the number of calls running on a service's endpoints of other versions."""
        gateway = self._gateway
        old = {
            endpoint.lifetime
            for endpoint in gateway.directory.of_service(service)
            if endpoint.entry.version != version
        }
        own = sum(gateway.placement.running_calls(lifetime) for lifetime in old)
        others = sum(
            use.running
            for report in self.live_reports()
            for use in report.uses
            if use.lifetime in old
        )
        return own + others

    def _update_totals(self) -> None:
        """Pass on the totals of what all peers have running on each endpoint."""
        reports = self.live_reports()
        self._note_configurations(reports)
        totals: dict[str, EndpointUse] = {}
        for report in reports:
            for use in report.uses:
                known = totals.get(use.lifetime)
                totals[use.lifetime] = use if known is None else _add_uses(known, use)
        now_s = self._clock.seconds()
        for lifetime in self._gateway.directory.lifetimes():
            use = totals.get(lifetime, EndpointUse(lifetime, 0, 0.0))
            self._gateway.placement.update_peer_load(
                lifetime, use.running, use.reading_s, use.rank, now_s
            )
        if self._gateway.admission_control is not None:
            ages = [
                (each.report, now_s - each.received_s, self._silence_s(each))
                for each in self._received.values()
            ]
            apply_uses(self._gateway.admission_control.shares, ages)
            self._gateway.admission_control.note_peers(
                reports, self.peer_names(), self._gateway.service_of
            )
        routers = self._known_routers()
        if self._has_list:
            self._share_retries(routers)
        self._gateway.demand.router_count = routers

    def receive(self, sender: str, messages: list[Message]) -> None:
        """Handle the messages of another router."""
        for message in messages:
            match message:
                case PeerReport():
                    self._handle_report(message)
                case BurnRequest() if self._gateway.burn is not None:
                    self._gateway.burn.handle_request(sender, message)
                case BurnReply() if self._gateway.burn is not None:
                    self._gateway.burn.handle_reply(sender, message)
                case CanaryUpdate():
                    self._gateway.canary_controller.apply_update(message)
                case CrashUpdate() | ProbeRequest() | ProbeReply():
                    self._gateway.crash_guard.receive(sender, message)
                case EndpointUpdate():
                    self._gateway.gate.sharing.receive(sender, message)
                case RecoveryRequest():
                    self._link.send(sender, self.recovery.answer(self._live_processes()))
                case RecoveryReply():
                    self.recovery.receive(message)
                case ViewRequest() | ViewReply():
                    self._sharing.receive(sender, message)
                case _:
                    log.warning("unexpected message", extra={"kind": type(message).__name__})

    def _live_processes(self) -> set[str]:
        """Return the names and incarnations of the routers whose reports are known."""
        reports = (received.report for received in self._received.values())
        return {f"{report.router}.{report.incarnation}" for report in reports}

    def _note_configurations(self, reports: Iterable[PeerReport]) -> None:
        newest = max((report.configuration for report in reports), default=0)
        self._gateway.view.note_peers_configuration(newest)

    def _on_restart(self, name: str) -> None:
        """Tell a peer that has restarted at once what it would learn with the next reports."""
        self._link.use_inbound(name)
        self._send_full_state([name])

    def _handle_report(self, report: PeerReport) -> None:
        known = self._received.get(report.router)
        order = (report.incarnation, report.seq)
        if known is not None and order <= (known.report.incarnation, known.report.seq):
            return
        self._received[report.router] = _ReceivedReport(report, self._clock.seconds())
        before = self._incarnations.get(report.router)
        self._incarnations[report.router] = report.incarnation
        if before not in (None, report.incarnation):
            self._on_restart(report.router)
        is_unlisted = report.router not in self._peers
        if is_unlisted and self._unlisted_peers.note_report(report.router, self._clock.seconds()):
            self._send_full_state([report.router])
        self._link_mbps[report.router] = report.link_mbps
        self._sharing.epochs.note_peer(report.store_epoch, self._clock.seconds())
        self._paces.receive(report.paces, self._clock.seconds())
        self._note_configurations(each.report for each in self._received.values())
        self._last_reports.pop(report.router, None)
        self._gateway.canary_controller.apply_reports(
            f"{report.router}.{report.incarnation}", report.canaries
        )


def _add_uses(one: EndpointUse, other: EndpointUse) -> EndpointUse:
    return EndpointUse(
        one.lifetime,
        one.running + other.running,
        one.reading_s + other.reading_s,
        max(one.rank, other.rank),
    )
