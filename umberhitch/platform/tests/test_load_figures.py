"""Reported loads: four figures, of which each may be malformed for itself."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberhitch.core.direct import ReportedLoad, parse_load
from umberhitch.platform import PlatformWire

NINES = b"9" * 5000


@pytest.mark.parametrize(
    ("value", "load", "is_malformed"),
    [
        (None, None, False),
        (b"3,0,8", ReportedLoad(3, 0, 8), False),
        (b"3, 0 ,8,250", ReportedLoad(3, 0, 8, 2.5), False),
        (b"3,0,8,100", ReportedLoad(3, 0, 8, 1.0), False),
        (b"3,0,8,100,7", ReportedLoad(3, 0, 8, 1.0), True),
        (b"3,0,8,100,x,y", ReportedLoad(3, 0, 8, 1.0), True),
        (b"3,0,8,", ReportedLoad(3, 0, 8), True),
        (b"3,0,8,0", ReportedLoad(3, 0, 8), True),
        (b"3,0,8,-50", ReportedLoad(3, 0, 8), True),
        (b"3,0,8,10001", ReportedLoad(3, 0, 8), True),
        (b"3,0,8," + NINES, ReportedLoad(3, 0, 8), True),
        (b"3,0,8,\xb2", ReportedLoad(3, 0, 8), True),
        (b"-3,0,8,250", ReportedLoad(None, 0, 8, 2.5), True),
        (b"3,,8,250", ReportedLoad(3, None, 8, 2.5), True),
        (b"3," + NINES + b",8", ReportedLoad(3, None, 8), True),
        (b"3,0,many", ReportedLoad(3, 0, None), True),
        (b"3,0", None, True),
        (b"", None, True),
        (b"a,b,c,250", ReportedLoad(None, None, None, 2.5), True),
        (b"a,b,c", None, True),
    ],
)
def test_a_malformed_figure_is_unknown_and_the_others_stand(value, load, is_malformed):
    assert parse_load(value) == (load, is_malformed)


@given(st.binary(max_size=60) | st.from_regex(rb"[-+0-9, .]{0,30}", fullmatch=True))
def test_no_bytes_are_taken_for_a_pace_or_a_count_out_of_bounds(value):
    load, _ = parse_load(value)
    if load is not None:
        assert load.pace is None or 0.0 < load.pace <= 100.0
        counts = (load.running, load.waiting, load.slots)
        assert all(count is None or 0 <= count <= 1_000_000 for count in counts)


def test_a_head_names_its_malformed_load():
    heads = [(b"3,0,8,250", ()), (b"3,0,8,-1", ("replica-load",))]
    for value, malformed in heads:
        head = PlatformWire().read_reply(200, [(b"Replica-Load", value)])
        assert head.signals.load is not None
        assert head.signals.malformed == malformed
