"""The story of a request, from the lines of routers that really failed it."""

import logging
from io import StringIO
from pathlib import Path

import pytest

from umberhitch.adapters.logs import configure_logs
from umberhitch.cli.explain import main
from umberhitch.explain import read_lines, tell
from umberhitch.fakes import Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.testing import DirectWorld


@pytest.fixture
def stream():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    sink = StringIO()
    configure_logs("INFO", "r1", sink)
    yield sink
    root.handlers[:] = handlers
    root.setLevel(level)


def story(stream: StringIO, request: str) -> list[str]:
    return [line.message for line in tell(read_lines(stream.getvalue().splitlines()), request)]


def test_a_request_that_may_have_run(stream):
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(failure=CallFailure.BROKEN)
    ask = world.ask(world.ready_router(), "/order/x")
    world.run(0.1)
    told = tell(read_lines(stream.getvalue().splitlines()), ask.call_id)
    assert [line.message for line in told] == [
        "configuration in force",
        "peers",
        "call sent",
        "call broken",
        "refused",
        "request ended",
    ]
    assert told[2].facts["endpoint"] == "e1"
    assert told[2].facts["configuration"] == 1
    assert told[4].facts["status"] == 502


def test_a_request_that_was_refused_for_an_old_configuration(stream):
    world = DirectWorld()
    world.add_endpoint("e1")
    router = world.ready_router()
    router.faults.is_down = True
    world.run(7.0)
    ask = world.ask(router, "/look/x")
    messages = story(stream, ask.call_id)
    assert messages.count("store lost") == 2
    assert messages[-1] == "refused"


def test_a_request_whose_endpoint_failed_twice(stream):
    world = DirectWorld()
    for name in ("e1", "e2"):
        world.add_endpoint(name).reply = Reply(status=500)
    ask = world.ask(world.ready_router(), "/look/x")
    world.run(0.2)
    messages = story(stream, ask.call_id)
    assert messages.count("endpoint failed") == 2
    assert messages[-1] == "request ended"


def test_no_key_prompt_or_answer_is_written(stream):
    world = DirectWorld()
    world.add_endpoint("e1").reply = Reply(body=b"answer-text")
    router = world.ready_router()
    world.ask(router, "/look/x", Prompt="part-name:10")
    world.ask(router, "/look/x", key="stolen-key")
    world.run(0.1)
    for secret in ("key-1", "stolen-key", "answer-text", "part-name", "body"):
        assert secret not in stream.getvalue()


def test_the_command_reads_several_files_and_lines_with_something_in_front(tmp_path: Path, capsys):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    line = '{"at": "%s", "node": "%s", "message": "%s", "request": "q1"}'
    first.write_text("  1.25 r1 " + line % ("2", "r1", "request ended") + "\nnot a line\n")
    second.write_text(line % ("1", "r2", "call sent") + "\n{broken\n")
    assert main([str(first), str(second), "--request", "q1"]) == 0
    out = capsys.readouterr().out.splitlines()
    assert [row.split()[2] for row in out] == ["call", "request"]
    assert main([str(first), "--request", "none"]) == 1
    assert main([str(tmp_path / "missing"), "--request", "q1"]) == 2


def test_a_request_stands_after_what_its_endpoints_had_said(stream):
    world = DirectWorld()
    left, rest = world.add_endpoint("e1"), world.add_endpoint("e2")
    left.is_draining, rest.rests_s = True, 30.0
    router = world.ready_router()
    for _ in range(4):
        world.ask(router, "/look/x")
        world.run(0.1)
    ask = world.ask(router, "/look/x")
    told = tell(read_lines(stream.getvalue().splitlines()), ask.call_id)
    said = {
        line.facts["signal"]: line.facts["endpoint"]
        for line in told
        if line.message == "endpoint signal"
    }
    assert said == {"leaving": "e1", "rest": "e2"}
    refused = next(line for line in told if line.message == "refused")
    assert refused.facts["reason"] == "endpoints take no more"
