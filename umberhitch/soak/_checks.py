"""What has to hold, from what callers and endpoints saw alone."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from umberhitch.soak._records import (
    ColdStart,
    Departure,
    Grant,
    LimitNamed,
    Record,
    Revocation,
    RunSeen,
    ZoneOutage,
)

__all__ = [
    "Bounds",
    "Finding",
    "check_cold",
    "check_confirmed",
    "check_limits",
    "check_requests",
    "check_zones",
    "limits_of_lifetimes",
]

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that nothing has run and nothing will."""


CONTACT_S = 3.0
"""A limit that is named holds from so much later on."""
LIMIT_SPAN_S = 4.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times in seconds within which a change has to be in effect; infinite where not checked."""

    revocation_s: float = float("inf")
    departure_s: float = float("inf")
    zone_s: float = float("inf")
    grant_s: float = float("inf")
    rollback_s: float = float("inf")


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


def check_confirmed(
    records: Iterable[Record],
    granted: Iterable[Grant],
    revoked: Iterable[Revocation],
    bounds: Bounds,
) -> list[Finding]:
    """Return the refusals of routes that every configuration has, and of keys that are in force.

    Parameters
    ----------
    records : iterable
    granted : iterable
        A key from the start is in force at every router that has any configuration.
    revoked : iterable
    bounds : Bounds
    """
    until_s = {each.key: each.at_s for each in revoked}
    since_s = {g.key: 0.0 if g.at_s is None else g.at_s + bounds.grant_s for g in granted}
    found = []
    for record in records:
        what = f"{record.kind} {record.call_id} with {record.key}: {record.status}"
        if record.status == 404:
            found.append(Finding("a confirmed route is served", what))
        is_in_force = since_s.get(record.key, float("inf")) < record.sent_s
        is_over = record.ended_s >= until_s.get(record.key, float("inf"))
        if record.status == 401 and is_in_force and not is_over:
            found.append(Finding("a confirmed key opens its routes", what))
    return found


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
        times = [run.at_s for run in runs if run.endpoint == start.endpoint]
        worst = _most_within([each for each in times if each < start.until_s], 1.0)
        if worst > most:
            found.append(Finding("a cold endpoint is not rushed", f"{start.endpoint}: {worst}"))
    return found


def check_limits(arrived: dict[str, list[float]], named: Iterable[LimitNamed]) -> list[Finding]:
    """Return the endpoints that got more within a span than 1.5 times what they take, and 5.

    Parameters
    ----------
    arrived : dict of str to list of float
        By endpoint, when requests came, refused or not.
    named : iterable
    """
    found = []
    for limit in named:
        begin_s = limit.at_s + CONTACT_S
        times = [
            at_s for at_s in arrived.get(limit.endpoint, ()) if begin_s <= at_s < limit.until_s
        ]
        worst = _most_within(times, LIMIT_SPAN_S)
        if worst > 1.5 * limit.rate * LIMIT_SPAN_S + 5.0:
            detail = f"{limit.endpoint}: {worst} in {LIMIT_SPAN_S:g} s at {limit.rate:g} a second"
            found.append(Finding("a limit that is named is kept", detail))
    return found


def limits_of_lifetimes(
    limit: LimitNamed, reborn_s: Iterable[float], told_s: Iterable[float]
) -> list[LimitNamed]:
    """Return the limit as it binds in each lifetime of its endpoint.

    In the first it binds from when it is named. An endpoint that has started again is another one
    to its callers, whom its limit binds from its first answer that names it.

    Parameters
    ----------
    limit : LimitNamed
    reborn_s : iterable of float
        When the endpoint started again.
    told_s : iterable of float
        When it gave an answer that names a limit.
    """
    starts = [at_s for at_s in sorted(reborn_s) if limit.at_s < at_s < limit.until_s]
    ends = [*starts, limit.until_s]
    found = [replace(limit, until_s=ends[0])]
    for start_s, end_s in zip(starts, ends[1:], strict=True):
        first_s = min((at_s for at_s in told_s if start_s <= at_s < end_s), default=None)
        if first_s is not None:
            found.append(replace(limit, at_s=first_s, until_s=end_s))
    return found


def _most_within(times: Iterable[float], span_s: float) -> int:
    times = sorted(times)
    return max((bisect_left(times, t + span_s) - n for n, t in enumerate(times)), default=0)
