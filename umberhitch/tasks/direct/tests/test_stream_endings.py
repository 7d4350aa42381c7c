"""Streams whose reply ends like a complete one, but within an event: they were broken off.

Guards against callers that get a stream as complete whose last event was cut off, and against a
crash's cause that is cleared by such a reply.
"""

import pytest

from umberhitch.core.direct import RouteKind
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.tasks.direct.tests.test_kept_answers import GOOD, Scene
from umberhitch.testing import DirectAsk, DirectWorld, make_direct_document, make_route

EVENTS = 6


def _ask(
    cut: Reply, is_resumable: bool = True, endpoints: int = 2
) -> tuple[DirectAsk, DirectWorld]:
    """Send a stream's request to endpoints of which the first one called cuts its stream off."""
    world = DirectWorld()
    for number in range(endpoints):
        endpoint = world.add_endpoint(f"e{number}")
        endpoint.reply = Reply(events=EVENTS)
    routes = (make_route("draft", RouteKind.STREAM, is_resumable=is_resumable),)
    router = world.ready_router(make_direct_document(routes=routes))
    is_first = [True]

    def answer(endpoint: FakeEndpoint) -> Reply:
        reply = cut if is_first else endpoint.reply
        is_first.clear()
        return reply

    for endpoint in world.endpoints.by_address.values():
        endpoint.answer = lambda call, each=endpoint: answer(each)
    req = world.ask(router, "/draft/x", Prompt="system:10,own:5")
    world.run(4.0)
    return req, world


def _ids(req: DirectAsk) -> list[int]:
    lines = req.reply.body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


@pytest.mark.parametrize("after", [0, 1, 4])
def test_the_stream_is_resumed_and_its_caller_gets_each_event_once(after: int):
    req, _ = _ask(Reply(events=EVENTS, ends_after=after))
    assert req.reply.is_complete
    assert _ids(req) == [*range(1, EVENTS + 1)]
    assert b"bro" not in req.reply.body


@pytest.mark.parametrize("after", [1, 4])
def test_a_stream_that_may_not_run_twice_is_broken_off_towards_its_caller(after: int):
    req, world = _ask(Reply(events=EVENTS, ends_after=after), is_resumable=False)
    assert req.reply.is_aborted
    assert not req.reply.is_complete
    assert _ids(req) == [*range(1, after + 1)]
    assert sum(len(each.calls) for each in world.endpoints.by_address.values()) == 1


def test_such_a_stream_does_not_prove_its_parts_harmless():
    _, world = _ask(Reply(events=EVENTS, ends_after=1), is_resumable=False)
    record = world.routers["r1"].gateway.crash_guard.record
    assert not record.has_completed(":system")


@pytest.mark.parametrize("moment_s", [0.002, 0.1, 0.3, 0.6])
def test_a_kept_answer_that_ends_within_an_event_is_no_whole_answer(moment_s: float):
    refused = Reply(status=503, is_signed=False, not_run=True, delay_s=moment_s)
    small = Reply(events=4, confidence=1, gap_s=0.02, ends_after=2)
    scene = Scene(small, refused)
    req = scene.ask()
    assert not req.reply.is_complete or b"bro" not in req.reply.body
    assert _ids(req) == sorted(set(_ids(req))), "no event twice"
    assert not scene.router.gateway.crash_guard.record.has_completed(":shared")


def test_the_larger_models_answer_replaces_a_kept_one_that_ends_within_an_event():
    small = Reply(events=4, confidence=1, gap_s=0.02, ends_after=2)
    req = Scene(small, GOOD).ask()
    assert req.reply.is_complete
    assert _ids(req) == [*range(1, GOOD.events + 1)]
