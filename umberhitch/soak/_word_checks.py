"""What endpoints said of themselves to routers, and what they got from these afterwards.

A router has heard what an endpoint said to a call when the caller has that answer, or one that came
too soon after it for the router to have given the call up unread. What was sent after that must
keep to what was said, however slow anything is.
"""

from collections.abc import Iterable

from umberhitch.soak._checks import Finding
from umberhitch.soak._records import ArrivalSeen, Record

__all__ = ["check_leaving", "check_rests"]

GIVEN_UP_S = 0.2
"""No call is given up for its silence before 0.25 s."""


def check_leaving(records: Iterable[Record], arrivals: Iterable[ArrivalSeen]) -> list[Finding]:
    """Return the calls that were sent to an endpoint that had said to their router that it leaves.

    Parameters
    ----------
    records, arrivals : iterable
        All so far; an arrival without a record is of a request that still goes on.
    """
    by_id = {record.call_id: record for record in records}
    arrivals = [each for each in arrivals if each.call_id in by_id]
    last = {each.call_id: each for each in sorted(arrivals, key=lambda each: each.at_s)}
    told_s: dict[tuple[int, str], float] = {}
    for each in arrivals:
        record = by_id[each.call_id]
        if each.is_leaving and record.status == 200 and last[each.call_id] is each:
            key = record.router, each.endpoint
            told_s[key] = min(record.ended_s, told_s.get(key, record.ended_s))
    return [
        Finding("nothing goes to an endpoint that has said it leaves", _shown(each))
        for each in arrivals
        if by_id[each.call_id].sent_s
        > told_s.get((by_id[each.call_id].router, each.endpoint), float("inf"))
    ]


def check_rests(records: Iterable[Record], arrivals: Iterable[ArrivalSeen]) -> list[Finding]:
    """Return the calls that were sent to an endpoint within a rest that it had asked for."""
    by_id = {record.call_id: record for record in records}
    arrivals = [each for each in arrivals if each.call_id in by_id]
    rests: dict[tuple[int, str], list[tuple[float, float]]] = {}
    for each in arrivals:
        record = by_id[each.call_id]
        if each.rest_s and record.ended_s < each.at_s + GIVEN_UP_S:
            span = record.ended_s, each.at_s + each.rest_s
            rests.setdefault((record.router, each.endpoint), []).append(span)
    return [
        Finding("nothing goes to an endpoint that wants rest", _shown(each))
        for each in arrivals
        for since_s, until_s in rests.get((by_id[each.call_id].router, each.endpoint), ())
        if by_id[each.call_id].sent_s > since_s and each.at_s < until_s
    ]


def _shown(arrival: ArrivalSeen) -> str:
    return f"{arrival.call_id} at {arrival.endpoint}"
