"""What has to hold, from what callers and endpoints saw alone."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from umberhitch.soak._records import (
    ColdStart,
    Departure,
    Record,
    Revocation,
    RunSeen,
    ZoneOutage,
)

__all__ = ["Bounds", "Finding", "check_cold", "check_requests", "check_zones"]

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that nothing has run and nothing will."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in seconds within which a change has to be in effect; infinite where not checked."""

    revocation_s: float = float("inf")
    departure_s: float = float("inf")
    zone_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class Finding:
    """Something that did not hold."""

    check: str
    detail: str


def check_requests(
    records: Iterable[Record],
    runs: Iterable[RunSeen],
    stream: bytes,
    revoked: Iterable[Revocation] = (),
    departed: Iterable[Departure] = (),
    bounds: Bounds | None = None,
) -> list[Finding]:
    """Return what did not hold, by what was seen until now.

    Parameters
    ----------
    records, runs : iterable
        All so far; a run without a record is of a request that still goes on.
    stream : bytes
        A whole stream.
    revoked, departed : iterable
    bounds : Bounds
    """
    records, runs = list(records), list(runs)
    bounds = bounds or Bounds()
    counts = Counter(run.call_id for run in runs)
    found = []
    for record in records:
        found += _check_record(record, counts[record.call_id], stream)
    found += _check_revoked(records, runs, list(revoked), bounds)
    found += _check_departed(runs, list(departed), bounds)
    return found


def _check_record(record: Record, ran: int, stream: bytes) -> list[Finding]:
    found = []
    what = f"{record.kind} {record.call_id}: {record.status}"
    if record.kind == "order" and ran > 1:
        found.append(Finding("runs once at most", f"{what}, ran {ran} times"))
    if record.kind == "order" and record.status in NOT_RUN and ran:
        found.append(Finding("not run is true", f"{what}, ran {ran} times"))
    if record.status != 200 or not record.is_whole:
        return found
    if not ran:
        found.append(Finding("an answer was made", f"{what}, ran nowhere"))
    if record.kind == "draft" and record.body != stream:
        found.append(Finding("streams are whole", f"{what}, {record.body!r}"))
    if record.kind != "draft" and record.call_id.encode() not in record.body.split():
        found.append(Finding("everyone gets its own answer", f"{what}, {record.body!r}"))
    return found


def _check_revoked(
    records: list[Record], runs: list[RunSeen], revoked: list[Revocation], bounds: Bounds
) -> list[Finding]:
    ran = {run.call_id for run in runs}
    since_s = {each.key: each.at_s for each in revoked}
    return [
        Finding("a key that was taken away opens nothing", f"{record.kind} {record.call_id}")
        for record in records
        if record.key in since_s and record.call_id in ran
        if record.sent_s > since_s[record.key] + bounds.revocation_s
    ]


def _check_departed(
    runs: list[RunSeen], departed: list[Departure], bounds: Bounds
) -> list[Finding]:
    since_s = {each.endpoint: each.at_s for each in departed}
    return [
        Finding("who leaves gets nothing", f"{run.call_id} at {run.endpoint}")
        for run in runs
        if run.endpoint in since_s
        if run.at_s > since_s[run.endpoint] + bounds.departure_s
    ]


def check_zones(
    runs: Iterable[RunSeen], outages: Iterable[ZoneOutage], bounds: Bounds
) -> list[Finding]:
    """Return the calls that ran in a zone that was out of service for longer than the bound."""
    runs = list(runs)
    return [
        Finding("nothing new goes to a zone out of service", f"{run.call_id} at {run.endpoint}")
        for outage in outages
        for run in runs
        if run.endpoint in outage.endpoints
        if outage.at_s + bounds.zone_s < run.at_s < outage.until_s
    ]


def check_cold(runs: Iterable[RunSeen], starts: Iterable[ColdStart], most: float) -> list[Finding]:
    """Return the cold endpoints that got more than ``most`` calls within a second.

    They said that they are cold with their first word, so nobody can have taken them for warm.
    """
    runs, found = list(runs), []
    for start in starts:
        times = sorted(run.at_s for run in runs if run.endpoint == start.endpoint)
        times = [each for each in times if each < start.until_s]
        worst = max((bisect_left(times, t + 1.0) - n for n, t in enumerate(times)), default=0)
        if worst > most:
            found.append(Finding("a cold endpoint is not rushed", f"{start.endpoint}: {worst}"))
    return found
