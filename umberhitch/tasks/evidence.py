"""Evidence on versions: collected at each router, sent to judging routers, and acted upon."""

from collections.abc import Callable
from logging import getLogger
from random import Random

from twisted.internet.defer import ensureDeferred
from xxhash import xxh3_64_intdigest

from umberhitch.config import Change, SetState, Version, VersionState
from umberhitch.core.evidence import (
    FALLBACK_SIGNALS,
    Alarm,
    EvidenceBuffer,
    EvidenceLimits,
    VersionJudge,
)
from umberhitch.core.outcome import Done, Outcome, Reason, Unknown
from umberhitch.ports import Clock
from umberhitch.ports.rating import RatingPort
from umberhitch.tasks.router_parts import RouterParts
from umberhitch.wire import EngineWork, Evidence, ServiceWork

__all__ = ["EvidenceTask", "judges_of"]

log = getLogger(__name__)

JUDGES_PER_VERSION = 2
"""Routers that judge a version; each of them may quarantine it."""
MAX_RATINGS_IN_FLIGHT = 200
MAX_RATED_CHARS = 20_000
"""Length to which a question and an answer are cut before they are rated."""


def judges_of(version: str, routers: list[str]) -> list[str]:
    """Return the routers that judge a version, by rendezvous hash (Thaler and Ravishankar, 1998).

    When a router joins or leaves, only the versions that it judges get other judges.
    """

    def weight(name: str) -> int:
        return xxh3_64_intdigest(f"{version}\0{name}".encode())

    ranked = sorted(routers, key=weight, reverse=True)
    return ranked[:JUDGES_PER_VERSION]


class EvidenceTask:
    """Collects the evidence of one router, and judges the versions assigned to it.

    Parameters
    ----------
    router : RouterParts
    clock : Clock
    rng : Random
    ratings : RatingPort or None
        None if there is no rating service.
    sample_share : float
        Share of the answers that are sent to the rating service.
    limits : EvidenceLimits
    """

    def __init__(
        self,
        router: RouterParts,
        clock: Clock,
        rng: Random,
        ratings: RatingPort | None,
        sample_share: float,
        limits: EvidenceLimits,
    ) -> None:
        self._router = router
        self._clock = clock
        self._rng = rng
        self._ratings = ratings
        self._sample_share = sample_share
        self._buffer = EvidenceBuffer()
        self._in_flight = 0
        self.judge = VersionJudge(limits)
        self.alarms: list[Alarm] = []
        self.on_alarm: Callable[[Alarm], None] | None = None

    def note_attempt_finished(
        self,
        target: str,
        klass: str,
        outcome: Outcome,
        latency_s: float,
        work: EngineWork | ServiceWork,
    ) -> None:
        """Record the outcome of an attempt at a model version, and have its answer rated."""
        if not isinstance(work, EngineWork) or not _is_evidence(outcome):
            return
        is_done = isinstance(outcome, Done)
        self._buffer.record_attempt(target, klass, is_done, latency_s)
        if isinstance(outcome, Done) and self._ratings is not None:
            is_sampled = self._sample_share >= 1.0 or self._rng.random() < self._sample_share
            if is_sampled and self._in_flight < MAX_RATINGS_IN_FLIGHT:
                self._in_flight += 1
                ensureDeferred(self._rate(self._ratings, target, klass, work, outcome.text))

    async def _rate(
        self, ratings: RatingPort, target: str, klass: str, work: EngineWork, answer: str
    ) -> None:
        question = str(work.messages[-1].get("content", ""))[:MAX_RATED_CHARS]
        try:
            rating = await ratings.rate(target, klass, question, answer[:MAX_RATED_CHARS])
        except OSError as exc:
            log.info("no rating", extra={"error": str(exc)})
            return
        finally:
            self._in_flight -= 1
        if rating is not None:
            self._buffer.record_rating(target, klass, rating)

    def send_evidence(self) -> None:
        """Send the collected evidence to the judges of each version; called once per second."""
        own = self._router.settings.name
        for evidence in self._buffer.flush():
            for judge in self._recipients(evidence.version):
                if judge == own:
                    self.handle_evidence(evidence)
                else:
                    self._router.send(judge, evidence)

    @property
    def has_ratings(self) -> bool:
        """Whether there is a rating service."""
        return self._ratings is not None

    def _recipients(self, version: str) -> set[str]:
        """Return the judges of a version and, during a roll-out, the router that drives it."""
        live = [self._router.settings.name, *self._router.live_peers()]
        recipients = set(judges_of(version, live))
        driver = self._router.lease.holder
        if driver in live and self._router.feed.config.rollouts:
            recipients.add(driver)
        return recipients

    def handle_evidence(self, evidence: Evidence) -> None:
        """Judge the evidence of one router, and quarantine the version if it is found bad."""
        ver = self._router.feed.config.versions.get(evidence.version)
        if ver is None or ver.state is not VersionState.ACTIVE:
            return
        alarm = self.judge.observe(evidence)
        if alarm is None:
            return
        if alarm.signal in FALLBACK_SIGNALS and not self._has_fallback(ver):
            log.warning(
                "version suspected, but no other version can replace it",
                extra={"version": alarm.version, "signal": alarm.signal.value},
            )
            self.judge.reset(alarm.version)
            return
        self._quarantine(alarm)

    def _has_fallback(self, ver: Version) -> bool:
        """Whether another version of the model accepts new work and has endpoints."""
        return any(
            other.key != ver.key
            and other.state is VersionState.ACTIVE
            and other.share > 0
            and self._router.fleet.has_endpoint(other.key)
            for other in self._router.feed.config.versions_of(ver.model)
        )

    def _quarantine(self, alarm: Alarm) -> None:
        """Stop new work for a bad version: at once by messages, permanently by a change in the log.

        Both judges may do so at the same time. Their changes have the same id, so that only the
        first takes effect.
        """
        feed = self._router.feed
        revision = feed.fold.revisions.get(f"versions/{alarm.version}", 0)
        change = Change(
            f"quarantine-{alarm.version}-{revision}",
            f"router {self._router.settings.name}",
            [SetState(alarm.version, VersionState.QUARANTINED, if_revision=revision)],
            f"{alarm.signal.value} of class {alarm.klass}",
        )
        log.warning(
            "version quarantined",
            extra={
                "version": alarm.version,
                "signal": alarm.signal.value,
                "klass": alarm.klass,
                "observations": alarm.observations,
                "revision": revision,
            },
        )
        self.alarms.append(alarm)
        self.judge.reset(alarm.version)
        self._router.submit_change(change).addErrback(lambda failure: None)
        if self.on_alarm is not None:
            self.on_alarm(alarm)


def _is_evidence(outcome: Outcome) -> bool:
    """Whether an outcome is evidence about the version, not about the agent or the network."""
    match outcome:
        case Done() | Unknown(reason=Reason.BACKEND_FAILED):
            return True
        case _:
            return False
