"""The directory: bans, and one call at a time for what failed."""

from umberhitch.core.direct import Directory
from umberhitch.testing import make_endpoint_entry


def test_an_endpoint_that_failed_is_tried_by_one_call_at_a_time():
    directory = Directory()
    directory.put(make_endpoint_entry("e1"))
    directory.put(make_endpoint_entry("e2"))
    dark = directory.get("e1")
    directory.failed(dark, 0.0)
    assert dark not in directory.ready("svc", 0.4)
    assert dark in directory.ready("svc", 0.6)
    directory.tried(dark, 0.6)
    assert dark not in directory.ready("svc", 0.7)
    directory.answered(dark)
    assert dark in directory.ready("svc", 0.7)


def test_where_all_endpoints_are_banned_the_bans_are_not_kept():
    directory = Directory()
    directory.put(make_endpoint_entry("e1"))
    directory.failed(directory.get("e1"), 0.0)
    assert len(directory.ready("svc", 0.1)) == 1
