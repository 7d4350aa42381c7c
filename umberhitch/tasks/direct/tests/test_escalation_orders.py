"""In whatever order things happen while an answer is kept, its caller gets exactly one answer."""

from collections import Counter
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from umberhitch.core.direct import PlacedCall, ReplyHead, RouteKind
from umberhitch.ports.direct import CallEvents, CallFailure, EndpointCall
from umberhitch.tasks.direct.escalation import Escalation
from umberhitch.tasks.direct.larger_call import LargerCall
from umberhitch.tasks.direct.proxied_request import ProxiedRequest
from umberhitch.tasks.direct.tests import test_zones as zones
from umberhitch.testing import DirectWorld, make_direct_document

SMALL_EVENTS = 3
LARGER_EVENTS = 3


@dataclass
class ScriptedCall:
    """A call whose events come when the test says so; the `RunningCall` of its router."""

    call: EndpointCall
    events: CallEvents | None
    is_sent: bool
    has_head: bool = False
    sent_events: int = 0

    @property
    def model(self) -> str:
        """Return the model of the call."""
        return dict(self.call.headers)[b"Model-Name"].decode()

    @property
    def _first(self) -> int:
        return int(dict(self.call.headers).get(b"Last-Event", b"0"))

    def connect(self) -> None:
        """Have a connection from now on."""
        self.is_sent = True

    def head(self, status: int = 200, not_run: bool = False) -> None:
        """Send the head, once."""
        if self.events is None or self.has_head:
            return
        self.has_head = self.is_sent = True
        confidence = 1 if self.model == "small" else 90
        head = ReplyHead(status, [], self.call.call_id, status == 200, not_run, False, confidence)
        self.events.on_head(head)
        if status != 200 and self.events is not None:
            self.events.on_data(b"no")
            self._end()

    def event(self) -> None:
        """Send the next event, after the head."""
        self.head()
        if self.events is None or self._first + self.sent_events >= self._count:
            return
        self.sent_events += 1
        number = self._first + self.sent_events
        mark = self.model[0].encode()
        self.events.on_data(b"id: %d\ndata: %s%d\n\n" % (number, mark, number))

    def end(self) -> None:
        """Send all that is missing, and the end."""
        for _ in range(self._count):
            self.event()
        self._end()

    @property
    def _count(self) -> int:
        return SMALL_EVENTS if self.model == "small" else LARGER_EVENTS

    def _end(self) -> None:
        events, self.events = self.events, None
        if events is not None:
            events.on_end()

    def fail(self, failure: CallFailure) -> None:
        """Lose the connection, or never have one."""
        if self.events is None or (failure is not CallFailure.BROKEN and self.has_head):
            return
        events, self.events = self.events, None
        events.on_failure(failure, "script")

    def cancel(self) -> None:
        """Send nothing more."""
        self.events = None

    detach = cancel

    def pause(self) -> None:
        """Go on all the same."""

    resume = pause


@dataclass
class ScriptedEndpoints:
    """An `EndpointPort` that keeps the calls for the test."""

    by_address: dict[str, object] = field(default_factory=dict)
    calls: list[ScriptedCall] = field(default_factory=list)
    connects: bool = True

    def of(self, sender: str) -> "ScriptedEndpoints":
        """Return the port of one router."""
        return self

    def send(self, address: str, call: EndpointCall, events: CallEvents) -> ScriptedCall:
        """Keep a call."""
        self.calls.append(ScriptedCall(call, events, self.connects))
        return self.calls[-1]

    def check(self, address: str, on_found: object) -> None:
        """Tell nothing."""

    def close_idle(self, address: str) -> None:
        """Do nothing."""

    def last(self, model: str) -> ScriptedCall | None:
        """Return the last call of a model."""
        found = [each for each in self.calls if each.model == model]
        return found[-1] if found else None


class ScriptedWorld(DirectWorld):
    """One router, whose calls and retries are counted."""

    def __init__(self, objective_s: float, deadline_s: float, connects: bool) -> None:
        super().__init__(Clock())
        self.scripted = ScriptedEndpoints(connects=connects)
        self.endpoints = self.scripted  # type: ignore[assignment]
        for number in range(4):
            self.add_endpoint(f"e{number}")
        times = {"objective_s": objective_s, "timeout_s": deadline_s}
        routes = (zones.make_route("draft", RouteKind.STREAM, models=zones.MODELS, **times),)
        self.router = self.ready_router(make_direct_document(routes=routes))
        self.run(1.2)
        self.released: Counter[int] = Counter()
        self.placed: list[PlacedCall] = []
        self.retries = 0
        self.given_back = 0
        self._count()
        self.asked_s = self.clock.seconds()
        self.req = self.ask(self.router, "/draft/x", Prompt=zones.PROMPT, Any_Model="1")

    def _count(self) -> None:
        gateway = self.router.gateway
        send, release = gateway.send, gateway.release_call
        acquire, give_back = gateway.acquire_retry, gateway.give_back_retry

        def count_sent(*args: object) -> object:
            sent = send(*args)  # type: ignore[arg-type]
            self.placed.append(sent[1])
            return sent

        def count_released(placed: PlacedCall, is_failure: bool | None) -> None:
            self.released[id(placed)] += 1
            release(placed, is_failure)

        def count_retry(service: str) -> bool:
            is_taken = acquire(service)
            self.retries += is_taken
            return is_taken

        def count_given_back(service: str) -> None:
            self.given_back += 1
            give_back(service)

        gateway.send = count_sent  # type: ignore[method-assign, assignment]
        gateway.release_call = count_released  # type: ignore[method-assign]
        gateway.acquire_retry = count_retry  # type: ignore[method-assign]
        gateway.give_back_retry = count_given_back  # type: ignore[method-assign]

    def act(self, action: str) -> None:
        """Let one thing happen, if it can."""
        small, larger = self.scripted.last("small"), self.scripted.last("large")
        match action:
            case "caller leaves":
                if not self.req.reply.is_over:
                    self.req.leave()
            case "process stops":
                self.router.gateway.stop()
            case _ if action.startswith("small") and small is not None:
                _act_on(small, action.removeprefix("small "))
            case _ if action.startswith("larger") and larger is not None:
                _act_on(larger, action.removeprefix("larger "))


def _act_on(call: ScriptedCall, action: str) -> None:
    match action:
        case "connects":
            call.connect()
        case "head":
            call.head()
        case "event":
            call.event()
        case "ends":
            call.end()
        case "refuses":
            call.head(503, not_run=True)
        case "fails":
            call.head(500)
        case "breaks":
            call.fail(CallFailure.BROKEN)
        case "has no connection":
            call.fail(CallFailure.NOT_SENT)


ACTIONS = (
    "small event",
    "small ends",
    "small breaks",
    "larger connects",
    "larger head",
    "larger event",
    "larger ends",
    "larger refuses",
    "larger fails",
    "larger breaks",
    "larger has no connection",
    "caller leaves",
    "process stops",
)
DELAYS_S = (0.0, 0.01, 0.1, 0.3, 1.0)
STEPS = st.lists(st.tuples(st.sampled_from(ACTIONS), st.sampled_from(DELAYS_S)), max_size=12)
TIMES_S = ((2.0, 6.0), (5.0, 8.0), (3.0, 3.0), (6.0, 3.0))


def run_script(
    steps: list[tuple[str, float]], objective_s: float, deadline_s: float, connects: bool
) -> None:
    """Play the steps after the small model's head, and check what the caller got."""
    world = ScriptedWorld(objective_s, deadline_s, connects)
    world.act("small head")
    reply = world.req.reply
    has_left = False
    is_small_whole = False
    end_s = world.asked_s + min(objective_s, deadline_s)
    for action, delay_s in steps:
        small = world.scripted.last("small")
        could_end = small is not None and small.events is not None
        if action == "caller leaves" and not reply.is_over:
            has_left = True
        world.act(action)
        is_small_whole |= action == "small ends" and could_end and b"data: l" not in reply.body
        world.run(delay_s)
        if is_small_whole and not has_left and world.clock.seconds() > end_s:
            assert reply.body, "a whole answer was not passed on in time"
    if not has_left and is_small_whole:
        world.run(max(0.0, end_s - world.clock.seconds()))
        assert reply.body, "a whole answer was not passed on in time"
    world.run(deadline_s + 1.0)
    assert reply.is_over or has_left
    has_small, has_larger = b"data: s" in reply.body, b"data: l" in reply.body
    assert not (has_small and has_larger), "two answers"
    if is_small_whole and not has_left and not has_larger:
        assert reply.is_complete
        assert reply.status == 200
    assert all(world.released[id(each)] == 1 for each in world.placed)
    assert len(world.released) == len(world.placed)
    assert world.retries - world.given_back == len(world.placed) - 1
    assert not any(each.events for each in world.scripted.calls)
    assert not world.router.gateway.running_requests


@settings(max_examples=250, deadline=None)
@given(steps=STEPS, times_s=st.sampled_from(TIMES_S), connects=st.booleans())
def test_one_answer_in_any_order(steps, times_s, connects):
    run_script(steps, *times_s, connects)


def _not_in_time(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LargerCall, "wait_until", lambda self, until_s: None)


def _no_cancel(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ProxiedRequest, "_cancel_call", lambda self: None)


def _retry_kept(patch: pytest.MonkeyPatch) -> None:
    finish = Escalation.finish

    def keep_retry(self: Escalation, has_answer: bool) -> None:
        self._has_reserved_retry = False
        finish(self, has_answer)

    patch.setattr(Escalation, "finish", keep_retry)


def _whole_answer_discarded(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Escalation, "is_complete", property(lambda self: False))


SCRIPTS = {
    _not_in_time: [("small ends", 1.0)],
    _no_cancel: [("small ends", 1.0)],
    _retry_kept: [("small event", 0.3), ("larger ends", 0.1)],
    _whole_answer_discarded: [("small ends", 0.1), ("process stops", 0.1)],
}


@pytest.mark.parametrize("mutate", SCRIPTS)
def test_each_part_is_needed(mutate, monkeypatch):
    """Without it, the caller or the counts miss it in the script that names it."""
    with monkeypatch.context() as patch:
        mutate(patch)
        with pytest.raises(AssertionError):
            run_script(SCRIPTS[mutate], 2.0, 6.0, True)
    run_script(SCRIPTS[mutate], 2.0, 6.0, True)
