"""Log lines about roll-outs: their state, and the evidence as it comes in."""

from logging import getLogger

from umberhitch.core.direct import AnswerCounts, Canary, RolloutState

__all__ = ["RolloutLog"]

log = getLogger(__name__)

INTERVAL_S = 2.0
"""Interval at which the evidence on a roll-out is logged, if there is new evidence."""
MIN_EARLIER_S = 0.5
COUNTS = ("answers", "failed", "broken", "paced", "slow")
VERSIONS = ("new", "old")


class RolloutLog:
    """Logs the evidence that a router has on one roll-out.

    Parameters
    ----------
    canary : Canary
    """

    def __init__(self, canary: Canary) -> None:
        self._canary = canary
        self._logged_s = canary.started_s
        self._logged = self._counts()
        self._is_failing = False

    def log_start(self, before_s: float, now_s: float) -> None:
        """Log that the roll-out began earlier than this router knew."""
        earlier_s = round(before_s - self._canary.started_s, 3)
        if earlier_s >= MIN_EARLIER_S:
            log.info("roll-out began earlier", extra={**self._facts(now_s), "earlier_s": earlier_s})

    def log_state(self, now_s: float) -> None:
        """Log the state of the roll-out, with all answers so far."""
        facts: dict[str, object] = {**self._facts(now_s)}
        for name in VERSIONS:
            counts = self._canary.pooled_counts(name == "new")
            for what in COUNTS:
                facts[f"{name}_{what}"] = getattr(counts, what)
        log.info("roll-out state", extra=facts)
        self._log_evidence(now_s)

    def log_evidence(self, now_s: float) -> None:
        """Log the answers since the last such line, by route and version, if it is time."""
        if self._canary.is_failing_after_completion and not self._is_failing:
            self._is_failing = True
            log.error("completed version is failing", extra=self._facts(now_s))
        if now_s - self._logged_s >= INTERVAL_S:
            self._log_evidence(now_s)

    def _log_evidence(self, now_s: float) -> None:
        counts = self._counts()
        recent = {
            key: delta
            for key, now in counts.items()
            if any(delta := _difference(now, self._logged.get(key)))
        }
        span_s = now_s - self._logged_s
        self._logged_s, self._logged = now_s, counts
        is_settled = self._canary.state is not RolloutState.IN_PROGRESS
        if not recent or (is_settled and not _has_bad(recent)):
            return
        answers = [
            {"route": route, "version": version, **dict(zip(COUNTS, delta, strict=True))}
            for (version, route), delta in sorted(recent.items())
        ]
        log.info(
            "roll-out evidence",
            extra={**self._facts(now_s), "span_s": round(span_s, 3), "answers": answers},
        )

    def _facts(self, now_s: float) -> dict[str, object]:
        canary = self._canary
        return {
            "service": canary.order.service,
            "target": canary.order.target,
            "state": canary.state,
            "part": round(canary.progress(now_s), 3),
            "stage": canary.stage(now_s),
            "e_value": float(f"{canary.e_value:.3g}"),
            "was_fully_loaded": canary.was_fully_loaded,
            "sessions": dict(canary.placed),
        }

    def _counts(self) -> dict[tuple[str, str], AnswerCounts]:
        return {
            (version, route): counts
            for route, pair in self._canary.counts_by_route().items()
            for version, counts in zip(VERSIONS, pair, strict=True)
        }


def _difference(now: AnswerCounts, before: AnswerCounts | None) -> list[int]:
    return [getattr(now, what) - (getattr(before, what) if before else 0) for what in COUNTS]


def _has_bad(recent: dict[tuple[str, str], list[int]]) -> bool:
    """Whether the new version gave bad answers among recent ones."""
    return any(
        version == "new" and (failed or broken or slow)
        for (version, _), (_, failed, broken, _, slow) in recent.items()
    )
