"""What a soak finds, and what it does not hold against anyone."""

import pytest

from umberhitch.soak import Departure, Record, Revocation, RunSeen, check_requests
from umberhitch.soak._checks import Bounds

STREAM = b"id: 1\ndata: e1\n\n"


def _record(kind: str = "order", status: int = 200, body: bytes = b"e1 has run q1") -> Record:
    return Record("q1", kind, "k1", 10.0, 10.1, status, body, True)


def _checks(record: Record, *endpoints: str, **others: object) -> list[str]:
    runs = [RunSeen("q1", endpoint, 10.05) for endpoint in endpoints]
    return [each.check for each in check_requests([record], runs, STREAM, **others)]


def test_what_held_is_not_found():
    assert _checks(_record(), "e1") == []
    assert _checks(_record("look"), "e1", "e2") == []
    assert _checks(_record("draft", body=STREAM), "e1") == []
    assert _checks(_record(status=503)) == []
    assert _checks(_record(status=502), "e1") == []


@pytest.mark.parametrize(
    ("record", "endpoints", "check"),
    [
        (_record(), ("e1", "e2"), "runs once at most"),
        (_record(status=503), ("e1",), "not run is true"),
        (_record(), (), "an answer was made"),
        (_record("draft", body=STREAM * 2), ("e1",), "streams are whole"),
        (_record("look", body=b"e1 has run q2"), ("e1",), "everyone gets its own answer"),
    ],
)
def test_what_did_not_hold_is(record, endpoints, check):
    assert check in _checks(record, *endpoints)


def test_bounds_count_from_the_change():
    bounds = Bounds(5.0, 4.0)
    early, late = [Revocation("k1", 6.0)], [Revocation("k1", 4.9)]
    assert _checks(_record(), "e1", revoked=early, bounds=bounds) == []
    assert _checks(_record(), "e1", revoked=late, bounds=bounds) != []
    assert _checks(_record(), "e1", departed=[Departure("e1", 7.0)], bounds=bounds) == []
    assert _checks(_record(), "e1", departed=[Departure("e1", 6.0)], bounds=bounds) != []
    assert _checks(_record(), "e1", revoked=late) == []
