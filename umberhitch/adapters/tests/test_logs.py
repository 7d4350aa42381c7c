"""Logs: bounded, and never waiting for their reader."""

import os

from twisted.internet.task import Clock

from umberhitch.adapters.logs import PatientStream
from umberhitch.tasks.direct.decision_log import DecisionLimits, DecisionLog


def test_a_reader_that_does_not_read_stalls_nothing_and_gets_whole_lines_later():
    reader, writer = os.pipe()
    stream = PatientStream(writer)
    line = "x" * 999 + "\n"
    for _ in range(1000):
        stream.write(line)
    assert stream.dropped > 0
    received = b""
    os.set_blocking(reader, False)
    for _ in range(3):
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            stream.write("last\n")
    lines = received.decode().splitlines()
    assert {row for row in lines if row.startswith("x")} == {"x" * 999}
    os.close(reader)
    stream.write("nobody reads\n")
    os.close(writer)


def test_good_requests_do_not_crowd_out_failures_and_what_is_dropped_is_counted(caplog):
    clock = Clock()
    decisions = DecisionLog(clock, DecisionLimits(routine=10, failures=10, burst_s=1))
    with caplog.at_level("INFO"):
        for _ in range(100):
            decisions.write("fine", "q", False)
        decisions.write("bad", "q", True)
        clock.advance(1.0)
        decisions.write("fine", "q", False)
    messages = [record.message for record in caplog.records]
    assert messages.count("fine") == 11
    assert messages.count("bad") == 1
    assert caplog.records[-1].lines_dropped == 90
