"""Callers that read slowly: their endpoints are not blamed, and nothing stays counted."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from umberhitch.core.direct import ReplyHead, RouteKind
from umberhitch.fakes import Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.tasks.direct.answer_judge import AnswerJudge
from umberhitch.tasks.direct.relay import MAX_BUFFERED_BYTES
from umberhitch.testing import DirectWorld, make_direct_document, make_route


class Judged:
    """An answer's judge, and the latencies that it reports."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.latencies_s: list[float] = []
        services = SimpleNamespace(
            clock=self.clock, judge_latency=self._note, record_verdict=lambda *args: None
        )
        self.judge = AnswerJudge(services, None, None, None)

    def _note(self, admitted, endpoint, model, latency_s, since_s):
        self.latencies_s.append(latency_s)

    def pause_for(self, duration_s: float) -> None:
        self.judge.pause()
        self.clock.advance(duration_s)
        self.judge.resume()


def test_an_endpoint_of_a_plain_reply_is_not_slow_because_its_caller_is():
    judged = Judged()
    judged.clock.advance(0.5)
    judged.pause_for(3.0)
    judged.judge.finish_reply()
    assert judged.latencies_s == [pytest.approx(0.5)]


def test_an_endpoint_of_a_stream_is_not_slow_because_its_caller_is():
    judged = Judged()
    for count in range(1, 60):
        judged.clock.advance(0.02)
        judged.judge.record_events(count)
        if count == 3:
            judged.pause_for(3.0)
    judged.judge.finish_stream()
    assert judged.latencies_s == [pytest.approx(0.02)]


def begin_long_reply(size: int, **route):
    """Let an endpoint begin a plain reply; returns the world, router, request and call."""
    world = DirectWorld()
    for name in ("e1", "e2"):
        world.add_endpoint(name).reply = Reply(is_silent=True)
    look = make_route("look", RouteKind.IDEMPOTENT, timeout_s=20.0)
    router = world.ready_router(make_direct_document(routes=(look,)))
    req = world.ask(router, "/look/x")
    world.run(0.01)
    [call] = world.endpoints.running
    call._events.on_head(ReplyHead(200, [], call.call_id, is_signed=True))
    call._events.on_data(b"x" * size)
    return world, router, req, call


def test_a_long_reply_that_its_caller_reads_slowly_is_not_broken_off():
    world, router, req, call = begin_long_reply(MAX_BUFFERED_BYTES + 1)
    req.reply.pause()
    assert call.is_paused
    world.run(0.1)
    req.reply.resume()
    world.run(4.0)
    call._events.on_data(b"end")
    call._events.on_end()
    assert req.reply.is_complete
    assert len(req.reply.body) == MAX_BUFFERED_BYTES + 4
    assert router.gateway.buffered.count == 0


def test_a_buffered_reply_is_counted_until_it_is_passed_on():
    _, router, req, call = begin_long_reply(1000)
    assert router.gateway.buffered.count == 1000
    call._events.on_end()
    assert req.reply.is_complete
    assert router.gateway.buffered.count == 0


@pytest.mark.parametrize("end", ["caller leaves", "endpoint breaks", "deadline"])
def test_a_buffered_reply_that_nobody_gets_is_not_counted(end: str):
    world, router, req, call = begin_long_reply(1000)
    match end:
        case "caller leaves":
            req.leave()
        case "endpoint breaks":
            call._events.on_failure(CallFailure.BROKEN, "lost")
        case _:
            world.run(25.0)
    assert router.gateway.buffered.count == 0


def test_without_room_a_plain_reply_is_passed_on_as_it_comes():
    _, router, req, call = begin_long_reply(1000)
    router.gateway.buffered.has_room = lambda count: False
    call._events.on_data(b"y" * 1000)
    assert len(req.reply.body) == 2000
    assert router.gateway.buffered.count == 0
    req.reply.pause()
    assert call.is_paused
