"""Unknown headers are reported, and can fill neither the memory nor the log."""

from umberhitch.core.direct import HeadSignals
from umberhitch.tasks.direct.unknown_headers import MAX_NAMES, UnknownHeaders


def test_an_unknown_header_is_logged_once_and_counted(caplog):
    caplog.set_level("INFO")
    unknown = UnknownHeaders()
    for _ in range(3):
        unknown.record("i-1", HeadSignals(unknown=((b"server-mood", b"low" * 100),)))
    assert unknown.counts == {"server-mood": 3}
    (record,) = caplog.records
    assert (record.header, len(record.value)) == ("server-mood", 80)


def test_names_are_bounded_in_number_and_length(caplog):
    unknown = UnknownHeaders()
    for number in range(10 * MAX_NAMES):
        unknown.record("i-1", HeadSignals(unknown=((b"x-%d-" % number + b"y" * 200, b"\xff"),)))
    assert len(unknown.counts) == MAX_NAMES
    assert unknown.others == 9 * MAX_NAMES
    assert max(map(len, unknown.counts)) == 60
    assert len(caplog.records) == MAX_NAMES
