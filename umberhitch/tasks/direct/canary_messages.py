"""Encoding of what routers tell each other of roll-outs."""

from collections import Counter
from collections.abc import Iterable
from itertools import chain, repeat

from umberhitch.core.direct import AnswerCounts, Canary, SessionAge
from umberhitch.wire import CanaryReport, RouteCounts

__all__ = ["decode_counts", "encode_counts", "make_report", "with_ages"]


def make_report(
    canary: Canary,
    now_s: float,
    kept: list[SessionAge],
    moved: list[SessionAge],
    stored_state: str,
    stored_epoch: int,
) -> CanaryReport:
    """Return a router's report of a roll-out.

    Parameters
    ----------
    canary : Canary
    now_s : float
    kept, moved : list of SessionAge
        Sessions on the old and on the new version of which to tell.
    stored_state : str
        State in the store as this router last read or wrote it.
    stored_epoch : int
        Epoch of the store in which it did so.
    """
    return CanaryReport(
        canary.order.service,
        canary.order.target,
        now_s - canary.started_s,
        canary.state,
        encode_counts(canary.own_counts),
        [each.session for each in kept],
        canary.was_fully_loaded,
        [each.session for each in moved],
        stored_state,
        stored_epoch,
        [round(each.age_s, 2) for each in kept],
        [round(each.age_s, 2) for each in moved],
    )


def with_ages(sessions: list[str], ages_s: list[float]) -> Iterable[tuple[str, float]]:
    """Return sessions with their ages; older peers tell none."""
    return zip(sessions, chain(ages_s, repeat(0.0)), strict=False)


def encode_counts(counts: dict[tuple[bool, str], AnswerCounts]) -> list[RouteCounts]:
    return [_route_counts(is_target, route, each) for (is_target, route), each in counts.items()]


def decode_counts(entries: list[RouteCounts]) -> dict[tuple[bool, str], AnswerCounts]:
    return {
        (entry.is_target, entry.route): AnswerCounts(
            entry.answers,
            entry.failed,
            entry.broken,
            entry.paced,
            entry.slow,
            _bad_by_endpoint(entry),
        )
        for entry in entries
    }


def _bad_by_endpoint(entry: RouteCounts) -> Counter[str]:
    """Return the bad answers of each endpoint, one each if an older peer does not tell them."""
    bad = entry.bad or [1] * len(entry.endpoints)
    return Counter(dict(zip(entry.endpoints, bad, strict=False)))


def _route_counts(is_target: bool, route: str, counts: AnswerCounts) -> RouteCounts:
    endpoints = sorted(counts.endpoints)
    return RouteCounts(
        is_target,
        route,
        counts.answers,
        counts.failed,
        counts.slow,
        endpoints,
        counts.broken,
        counts.paced,
        [counts.endpoints[endpoint] for endpoint in endpoints],
    )
