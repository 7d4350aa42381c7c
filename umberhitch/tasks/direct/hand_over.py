"""What a router tells a process that starts, or all peers as it leaves, of its roll-outs."""

from collections.abc import Callable

from umberhitch.core.direct import Canary, CanaryLimits, SessionAge
from umberhitch.ports.clock import Clock
from umberhitch.tasks.direct.canary_messages import decode_counts, encode_counts, with_ages
from umberhitch.tasks.direct.recent_sessions import RecentBook, hash_fraction
from umberhitch.wire import CanaryReport, EndedCounts, RecentSessions, RecoveryReply

__all__ = ["HandOver"]

MAX_SESSIONS = 2000
"""Maximum number of sessions of each kind in a message; the newest are sent."""

MakeReport = Callable[[Canary, float, list[SessionAge], list[SessionAge]], CanaryReport]


class HandOver:
    """One router's hand-over of sessions and counts.

    Parameters
    ----------
    clock : Clock
    limits : CanaryLimits
    canaries : dict of str to Canary
        The roll-outs by service, as they are at any moment.
    recent : RecentBook
    make_report : callable
        Returns the report of a roll-out at a time, with the given sessions on the old and on the
        new version.
    apply_reports : callable
        Applies the reports of another router's process.
    """

    def __init__(
        self,
        clock: Clock,
        limits: CanaryLimits,
        canaries: dict[str, Canary],
        recent: RecentBook,
        make_report: MakeReport,
        apply_reports: Callable[[str, list[CanaryReport]], None],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._canaries = canaries
        self._recent = recent
        self._make_report = make_report
        self._apply_reports = apply_reports

    @property
    def session_s(self) -> float:
        """Longest pause in seconds between requests of one session."""
        return self._limits.session_s

    def make(
        self, process: tuple[str, int], is_complete: bool, live: set[str] | None = None
    ) -> RecoveryReply:
        """Return what a process that starts needs to know.

        Parameters
        ----------
        process : tuple of (str, int)
            Name and incarnation of this router.
        is_complete : bool
            Whether this router knows what has happened for as long as sessions last.
        live : set of str or None
            Processes that report their counts themselves. None for what this router alone knows,
            as it leaves.
        """
        now_s, with_told = self._clock.seconds(), live is not None
        canaries = []
        for canary in self._canaries.values():
            kept, moved = canary.sessions_to_hand_over(now_s, with_told)
            canaries.append(
                self._make_report(canary, now_s, kept[-MAX_SESSIONS:], moved[-MAX_SESSIONS:])
            )
        ended = [] if live is None else self._ended_counts(live)
        return RecoveryReply(
            *process, is_complete, canaries, ended, self._recent_sessions(now_s, with_told)
        )

    def _ended_counts(self, live: set[str]) -> list[EndedCounts]:
        return [
            EndedCounts(service, canary.order.target, process, encode_counts(counts))
            for service, canary in self._canaries.items()
            for process, counts in canary.router_counts().items()
            if process not in live
        ]

    def _recent_sessions(self, now_s: float, with_told: bool) -> list[RecentSessions]:
        limits = self._limits
        found = self._recent.within(limits.canary_share, now_s - limits.session_s, with_told)
        told = []
        for service, sessions in found.items():
            newest = list(sessions.items())[-MAX_SESSIONS:]
            ages_s = [round(now_s - recent.at_s, 2) for _, recent in newest]
            if newest:
                told.append(RecentSessions(service, [name for name, _ in newest], ages_s))
        return told

    def apply(self, reply: RecoveryReply, own_process: str) -> None:
        """Apply what a peer knows.

        Parameters
        ----------
        reply : RecoveryReply
        own_process : str
            Name and incarnation of this router, whose own counts are not replaced.
        """
        now_s = self._clock.seconds()
        self._apply_reports(f"{reply.router}.{reply.incarnation}", reply.canaries)
        for ended in reply.ended:
            canary = self._canaries.get(ended.service)
            if canary is None or canary.order.target != ended.target:
                continue
            if ended.process != own_process:
                canary.set_router_counts(ended.process, decode_counts(ended.counts))
        for recent in reply.recent:
            canary = self._canaries.get(recent.service)
            for session, age_s in with_ages(recent.sessions, recent.ages_s):
                if canary is None:
                    self._recent.note_told(recent.service, session, now_s - age_s)
                else:
                    canary.note_old_session(session, now_s - age_s, hash_fraction(session))
