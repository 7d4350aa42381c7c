"""Evidence on a new version: the answers of all routers, and what they show."""

from collections import Counter
from math import exp

from umberhitch.core.direct._canary_limits import CanaryLimits
from umberhitch.core.direct._evidence import AnswerCounts, AnswerVerdict
from umberhitch.core.direct._version_change import RouteTally, VersionChange

__all__ = ["CanaryEvidence"]

KINDS = (("failed", "answers"), ("broken", "answers"), ("slow", "paced"))
"""Kinds of bad answers, and of which answers they are a part."""
BREAK_DEDUPLICATION_S = 1.0
"""Seconds within which an endpoint that is lost breaks off all its answers."""
RATE_S = 1.0
"""Time constant of the rate of answers."""


class CanaryEvidence:
    """Answers of the new and the old version of one roll-out.

    Parameters
    ----------
    started_s : float
        Time from which answers are counted.
    limits : CanaryLimits
    """

    def __init__(self, started_s: float, limits: CanaryLimits) -> None:
        self.limits = limits
        self.own_counts: dict[tuple[bool, str], AnswerCounts] = {}
        self.was_failing = False
        """Whether the new version was worse when the answers were last looked at."""
        self.rate = 0.0
        """Answers a second of all routers, lately."""
        self.observed_s = started_s
        self._observed_answers = 0
        self._has_new_answers = False
        self._router_counts: dict[str, dict[tuple[bool, str], AnswerCounts]] = {}
        self._broken_s: dict[str, float] = {}
        self._thresholds = (limits.failed, limits.broken, limits.slow)
        self._changes = tuple(
            VersionChange(change)
            for change in (limits.failed_change, limits.broken_change, limits.slow_change)
        )

    def count_answer(
        self, is_target: bool, route: str, endpoint: str, verdict: AnswerVerdict, now_s: float
    ) -> None:
        """Count an answer that this router received.

        Answers that broke off on one endpoint within `BREAK_DEDUPLICATION_S` count once, since they
        have one cause.
        """
        if verdict is AnswerVerdict.BROKEN:
            last_s = self._broken_s.get(endpoint, float("-inf"))
            if now_s - last_s < BREAK_DEDUPLICATION_S:
                return
            self._broken_s[endpoint] = now_s
        self.own_counts.setdefault((is_target, route), AnswerCounts()).record(endpoint, verdict)
        self._has_new_answers = True

    def set_router_counts(self, router: str, counts: dict[tuple[bool, str], AnswerCounts]) -> None:
        """Replace the counts of another router's incarnation, which run from its start."""
        if self._router_counts.get(router) != counts:
            self._router_counts[router] = counts
            self._has_new_answers = True

    def router_counts(self) -> dict[str, dict[tuple[bool, str], AnswerCounts]]:
        """Return the counts of other routers' processes, ended ones included."""
        return self._router_counts

    def pooled_counts(self, is_target: bool) -> AnswerCounts:
        """Return the counts of all routers for the new or the old version."""
        total = AnswerCounts()
        for source in (self.own_counts, *self._router_counts.values()):
            for (of_target, _), counts in source.items():
                if of_target == is_target:
                    total.add(counts)
        return total

    def observe(self, now_s: float) -> None:
        """Take the answers of all routers up to now as evidence of a change of the version."""
        if not self._has_new_answers:
            self._update_rate(self._observed_answers, now_s)
            return
        self._has_new_answers = False
        counts = self.counts_by_route()
        self._update_rate(sum(new.answers + old.answers for new, old in counts.values()), now_s)
        bad_by_endpoint: Counter[str] = Counter()
        for new, _ in counts.values():
            bad_by_endpoint.update(new.endpoints)
        for change, (kind, of) in zip(self._changes, KINDS, strict=True):
            tallies = {
                route: RouteTally(
                    getattr(new, kind), getattr(new, of), getattr(old, kind), getattr(old, of)
                )
                for route, (new, old) in counts.items()
            }
            change.observe(tallies, bad_by_endpoint, now_s)
        self.was_failing = self._is_failing_by(counts)

    def _update_rate(self, answers: int, now_s: float) -> None:
        span_s = now_s - self.observed_s
        if span_s <= 0.0:
            return
        weight = exp(-span_s / RATE_S)
        newest = (answers - self._observed_answers) / span_s
        self.rate = weight * self.rate + (1.0 - weight) * newest
        self.observed_s, self._observed_answers = now_s, answers

    def counts_by_route(self) -> dict[str, tuple[AnswerCounts, AnswerCounts]]:
        """Return the counts of all routers for the new and the old version, by route."""
        counts: dict[str, tuple[AnswerCounts, AnswerCounts]] = {}
        for source in (self.own_counts, *self._router_counts.values()):
            for (of_target, route), part in source.items():
                new, old = counts.setdefault(route, (AnswerCounts(), AnswerCounts()))
                (new if of_target else old).add(part)
        return counts

    def is_failing(self) -> bool:
        """Whether the new version is worse than the old one, over all routes or on one.

        Either since the order, or since some later moment.
        """
        return self._is_failing_by(self.counts_by_route())

    def _is_failing_by(self, counts: dict[str, tuple[AnswerCounts, AnswerCounts]]) -> bool:
        if any(change.is_shown() for change in self._changes):
            return True
        return self._is_worse(counts) or any(
            self._is_worse({route: pair}) for route, pair in counts.items()
        )

    def _is_worse(self, counts: dict[str, tuple[AnswerCounts, AnswerCounts]]) -> bool:
        """Whether the new version is worse since the order, over some routes together."""
        new, old = AnswerCounts(), AnswerCounts()
        for new_part, old_part in counts.values():
            new.add(new_part)
            old.add(old_part)
        return any(
            threshold.is_exceeded(
                getattr(new, kind),
                getattr(new, of),
                _standardized_rate(counts, kind, of),
                getattr(old, of),
                len(new.endpoints),
            )
            for threshold, (kind, of) in zip(self._thresholds, KINDS, strict=True)
        )

    @property
    def e_value(self) -> float:
        """The evidence that the version has changed."""
        return max(change.e_value for change in self._changes)

    def is_suspect(self) -> bool:
        """Whether there is too much evidence against the version to declare it good."""
        return self.e_value >= self.limits.suspect_e_value


def _standardized_rate(
    counts: dict[str, tuple[AnswerCounts, AnswerCounts]], kind: str, of: str
) -> float:
    """Return the old version's rate on the routes on which the new version has answered.

    Usual rates differ between routes, and the two versions do not get the same mix of them.
    """
    old_bad = sum(getattr(old, kind) for _, old in counts.values())
    old_total = sum(getattr(old, of) for _, old in counts.values())
    rate = old_bad / old_total if old_total else 0.0
    new_total = sum(getattr(new, of) for new, _ in counts.values())
    expected = sum(
        getattr(new, of) * (getattr(old, kind) / getattr(old, of) if getattr(old, of) else rate)
        for new, old in counts.values()
    )
    return expected / new_total if new_total else rate
