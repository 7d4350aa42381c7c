"""An answer at hand reaches its caller within the objective, whatever the larger model does.

Guards against requests that ended at their deadline with a small model's whole answer in hand,
while the larger model's call waited in an engine's queue: on a day of high load, 175 of the 348
requests that were lost ended at the deadline, many of them like this.
"""

from dataclasses import replace

import pytest

from umberhitch.core.direct import CallerRequest, PromptPart, RouteKind
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.tasks.direct.kept_answer import MAX_OVERLAP_S
from umberhitch.tasks.direct.second_runs import tokens_read_again
from umberhitch.tasks.direct.tests import test_kept_answers as kept
from umberhitch.tasks.direct.tests import test_zones as zones
from umberhitch.testing import DirectAsk, DirectRouter, DirectWorld, make_direct_document

STEP_S = 0.01
NEVER_S = 60.0
TIMES_S = {
    "summary": (4.0, 12.0),
    "draft": (5.0, 8.0),
    "recap": (2.0, 12.0),
    "notes": (2.0, 6.0),
    "objective is the deadline": (3.0, 3.0),
    "deadline before the objective": (6.0, 3.0),
}
"""Objectives and deadlines of routes."""
SMALL = {
    "whole": Reply(events=4, confidence=1, gap_s=0.02),
    "whole in one piece": Reply(events=1, confidence=1, gap_s=0.001),
    "incomplete": Reply(events=24, confidence=1, gap_s=0.05),
    "slow to its head": Reply(events=4, confidence=1, gap_s=0.02, delay_s=0.5),
    "incomplete, slow to its head": Reply(events=24, confidence=1, gap_s=0.05, delay_s=0.5),
}
LARGER = {
    "not connected": Reply(failure=CallFailure.NOT_SENT, delay_s=NEVER_S),
    "connected and silent": Reply(is_silent=True),
    "head without event": Reply(events=5, confidence=90, gap_s=NEVER_S),
    "late head without event": Reply(events=5, confidence=90, gap_s=NEVER_S, delay_s=1.0),
    "refused late": Reply(status=503, is_signed=False, not_run=True, delay_s=1.2),
    "broken late": Reply(failure=CallFailure.BROKEN, delay_s=1.2),
    "broken within its first event": Reply(events=5, confidence=90, delay_s=1.2, break_after=0),
    "failed late": Reply(status=500, delay_s=1.2),
    "first event after the objective": Reply(events=5, confidence=90, delay_s=6.5),
}


class TimedScene(kept.Scene):
    """One request with the times of a real route; its first event is timed."""

    def __init__(
        self, small: Reply, large: Reply, objective_s: float, deadline_s: float, **route: object
    ) -> None:
        super().__init__(small, large, objective_s=objective_s, timeout_s=deadline_s, **route)
        self.first_event_s: float | None = None

    def ask(self) -> DirectAsk:
        """Send the request, and run until it must have ended."""
        req = self.world.ask(self.router, "/draft/x", Prompt=zones.PROMPT, Any_Model="1")
        asked_s = self.world.clock.seconds()
        for _ in range(round(14.0 / STEP_S)):
            if self.first_event_s is None and req.reply.body:
                self.first_event_s = self.world.clock.seconds() - asked_s
            if req.reply.is_over:
                break
            self.world.run(STEP_S)
        return req

    def is_released(self) -> bool:
        """Whether no call is counted as running any more."""
        placement = self.router.gateway.placement
        lifetimes = self.router.gateway.directory.lifetimes()
        return not any(placement.running_calls(each) for each in lifetimes)


def _whole_body(events: int) -> bytes:
    return b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, events + 1))


@pytest.mark.parametrize("times", TIMES_S)
@pytest.mark.parametrize("larger", LARGER)
@pytest.mark.parametrize("small", SMALL)
def test_an_answer_at_hand_comes_within_the_objective(small: str, larger: str, times: str):
    objective_s, deadline_s = TIMES_S[times]
    scene = TimedScene(SMALL[small], LARGER[larger], objective_s, deadline_s)
    req = scene.ask()
    assert b"large" in scene.models()
    assert req.reply.is_complete
    assert req.status == 200
    assert req.reply.body == _whole_body(SMALL[small].events)
    assert scene.first_event_s is not None
    assert scene.first_event_s < min(objective_s, deadline_s)
    assert scene.is_released()
    assert not any(each.under_way for each in scene.endpoints)
    assert "lost" not in scene.fates()


def test_the_larger_call_is_cancelled_once_its_answer_can_not_be_in_time():
    scene = TimedScene(SMALL["whole"], LARGER["connected and silent"], 2.0, 6.0)
    req = scene.ask()
    assert scene.fates() == {"delivered": 1}
    assert sum(len(each.cancelled) for each in scene.endpoints) == 1
    assert req.reply.is_complete


@pytest.mark.parametrize("early_s", [-0.02, -0.01, -0.005, 0.0, 0.005, 0.01, 0.02])
def test_one_answer_is_passed_on_if_the_larger_models_first_event_comes_with_the_timer(early_s):
    """`FakeReply` asserts that there is one head and nothing after the end."""
    objective_s = 2.0
    small_s, margin_s = 0.01, 0.15
    delay_s = objective_s - margin_s - small_s - 0.05 + early_s
    scene = TimedScene(SMALL["whole"], Reply(events=5, confidence=90, delay_s=delay_s), 2.0, 6.0)
    req = scene.ask()
    assert req.reply.is_complete
    assert req.reply.body in (_whole_body(4), _whole_body(5))
    assert sum(scene.fates().values()) == 1
    assert scene.is_released()


def test_a_larger_model_in_time_is_still_waited_for():
    scene = TimedScene(SMALL["whole"], Reply(events=5, confidence=90, delay_s=1.5), 2.0, 6.0)
    assert scene.ask().reply.body == _whole_body(5)
    assert scene.fates() == {"replaced": 1}


@pytest.mark.parametrize("patience_s", [0.05, 0.1, 0.3])
def test_a_whole_answer_is_not_lost_where_hardly_any_time_is_left(patience_s: float):
    small = Reply(events=2, confidence=1, gap_s=0.001)
    scene = TimedScene(small, Reply(is_silent=True), 2.0, 6.0)
    req = scene.world.ask(
        scene.router, "/draft/x", Prompt=zones.PROMPT, Any_Model="1", Patience=str(patience_s)
    )
    scene.world.run(1.0)
    assert req.reply.body == _whole_body(2)
    assert req.reply.is_complete


def test_a_plain_answer_without_end_does_not_hold_a_whole_one_back():
    world = DirectWorld()
    endpoint = world.add_endpoint("e0")
    endpoint.replies_by_model = {
        b"small": Reply(confidence=1, body=b"small"),
        b"large": Reply(events=10_000, gap_s=0.05),
    }
    routes = (zones.make_route("look", models=zones.MODELS, objective_s=2.0, timeout_s=8.0),)
    router = world.ready_router(zones.make_direct_document(routes=routes))
    world.run(1.2)
    req = world.ask(router, "/look/x", Prompt=zones.PROMPT, Any_Model="1")
    world.run(2.0)
    assert (req.status, req.reply.body) == (200, b"small")
    assert not endpoint.under_way


class Learning:
    """A service whose larger model starts later than expected."""

    def __init__(
        self, delay_s: float, objective_s: float = 2.0, small: Reply | None = None
    ) -> None:
        self.world = DirectWorld()
        self.endpoints: list[FakeEndpoint] = []
        for number in range(3):
            endpoint = self.world.add_endpoint(f"e{number}")
            endpoint.replies_by_model = {b"small": small or SMALL["whole"]}
            self.endpoints.append(endpoint)
        self.set_delay(delay_s)
        settings = {"models": zones.MODELS, "objective_s": objective_s, "timeout_s": 8.0}
        routes = (zones.make_route("draft", RouteKind.STREAM, **settings),)
        self.router: DirectRouter = self.world.ready_router(make_direct_document(routes=routes))
        self.world.run(1.2)

    def set_delay(self, delay_s: float) -> None:
        """Change how long larger models' calls take from now on."""
        for each in self.endpoints:
            each.replies_by_model[b"large"] = Reply(events=5, confidence=90, delay_s=delay_s)

    def ask(self, count: int, gap_s: float = 0.5) -> int:
        """Send requests one after the other; return how many called the larger model."""
        before = self._larger_calls()
        for _ in range(count):
            self.world.ask(self.router, "/draft/x", Prompt=zones.PROMPT, Any_Model="1")
            self.world.run(gap_s)
        self.world.run(3.0)
        return self._larger_calls() - before

    def _larger_calls(self) -> int:
        calls = [call for each in self.endpoints for call in each.calls]
        return sum(dict(call.headers)[b"Model-Name"] == b"large" for call in calls)

    def late_share(self) -> float:
        """Return the share of the larger model's calls that the router takes to be late."""
        now_s = self.world.clock.seconds()
        waits = self.router.gateway.selector.larger_waits
        return 1.0 - waits.in_time_share("svc", "large", now_s)


def test_a_larger_model_that_does_not_begin_in_time_is_not_called_any_more():
    """But by one request at a time, each of which waits for it until 1.85 s."""
    scene = Learning(delay_s=20.0)
    scene.ask(10)
    assert scene.ask(50, gap_s=0.1) <= 3
    assert scene.late_share() > 0.5


def test_it_is_called_again_once_it_begins_in_time():
    scene = Learning(delay_s=20.0)
    scene.ask(20)
    scene.set_delay(0.05)
    scene.ask(10)
    assert scene.ask(20) == 20


def test_a_probe_goes_on_though_the_answer_is_incomplete_at_the_end_of_the_overlap():
    """It was cancelled then, and showed nothing: larger models stayed late for a minute."""
    scene = Learning(delay_s=20.0, small=SMALL["incomplete"])
    scene.ask(20)
    assert scene.late_share() > 0.5
    scene.set_delay(0.4)
    scene.ask(20)
    assert scene.late_share() < 0.5


@pytest.mark.parametrize("delay_s", [0.01, 0.2, 0.5])
def test_nothing_is_learned_while_larger_models_begin_in_time(delay_s: float):
    scene = Learning(delay_s)
    assert scene.ask(20) == 20
    assert scene.late_share() == 0.0
    assert scene.router.gateway.selector.larger_waits.rows(0.0) == {}


@pytest.mark.parametrize(
    ("larger", "is_learned"),
    [("broken late", False), ("failed late", False), ("refused late", True)],
)
def test_an_endpoint_that_fails_tells_nothing_of_the_queues_of_others(larger, is_learned):
    scene = TimedScene(SMALL["whole"], LARGER[larger], 2.0, 6.0)
    scene.ask()
    rows = scene.router.gateway.selector.larger_waits.rows(scene.world.clock.seconds())
    assert bool(rows) is is_learned


def test_an_incomplete_answer_goes_on_where_the_larger_model_is_expected_too_late():
    """Too late for the small model to be called again in time if it does not begin."""
    small = replace(SMALL["incomplete"], delay_s=0.2)
    scene = Learning(delay_s=20.0, small=small)
    _only_model_wait(scene, "large", 1.6)
    assert scene.ask(1) == 1
    assert scene.router.gateway.counters.ready_answers == {"delivered": 1}


def test_an_incomplete_answer_gives_way_where_larger_models_begin_as_expected():
    scene = TimedScene(SMALL["incomplete"], Reply(events=5, confidence=90, delay_s=0.4), 4.0, 12.0)
    assert scene.ask().reply.body == _whole_body(5)
    assert scene.fates() == {"dropped": 1}
    assert MAX_OVERLAP_S < 0.4


def _only_model_wait(scene: Learning, model: str, wait_s: float) -> None:
    """Make every candidate of one model wait."""
    selector = scene.router.gateway.selector
    select = selector.select_endpoint

    def select_slow(admitted, wanted, tried):
        found = select(admitted, wanted, tried)
        return found if found is None or wanted != model else replace(found, wait_s=wait_s)

    selector.select_endpoint = select_slow


@pytest.mark.parametrize(("wait_s", "expected"), [(5.0, b"small"), (0.1, b"large")])
def test_a_cheaper_model_is_called_first_where_the_chosen_one_begins_too_late(wait_s, expected):
    scene = Learning(0.05)
    routes = (
        zones.make_route(
            "draft",
            RouteKind.STREAM,
            models=("tiny", "small", "large"),
            objective_s=2.0,
            max_attempts=1,
        ),
    )
    scene.world.operator.put("config", make_direct_document(2, routes=routes))
    scene.world.run(2.0)
    _only_model_wait(scene, "large", wait_s)
    scene.world.ask(scene.router, "/draft/x", Prompt=zones.PROMPT, Any_Model="1")
    scene.world.run(1.0)
    calls = [call for each in scene.endpoints for call in each.calls]
    assert [dict(call.headers)[b"Model-Name"] for call in calls] == [expected]


def test_second_runs_are_counted_by_cause():
    scene = TimedScene(SMALL["whole"], Reply(events=5, confidence=90, break_after=3), 2.0, 6.0)
    scene.ask()
    rows = scene.router.gateway.counters.second_runs.rows()
    assert rows["svc"]["escalated"] == 1
    assert rows["svc"]["resumed"] == 1
    assert "retried" not in rows["svc"]
    scene = TimedScene(Reply(failure=CallFailure.BROKEN), Reply(), 2.0, 6.0)
    scene.ask()
    assert scene.router.gateway.counters.second_runs.rows()["svc"]["retried"] >= 1
    scene = TimedScene(Reply(status=503, not_run=True, is_signed=False), Reply(), 2.0, 6.0)
    scene.ask()
    assert "retried" not in scene.router.gateway.counters.second_runs.rows().get("svc", {})


def test_prompt_tokens_read_again_are_counted():
    scene = Learning(0.05, small=Reply(events=4, confidence=99))
    scene.ask(1)
    counts = scene.router.gateway.counters.second_runs
    assert counts.prompt_tokens["svc"] == 0
    first = next(each for each in scene.endpoints if each.calls)
    first.replies_by_model[b"small"] = Reply(status=503, is_signed=False, not_run=True)
    scene.ask(1)
    assert counts.prompt_tokens["svc"] == 3000
    assert 'umberhitch_prompt_tokens_read_again_total{service="svc"} 3000' in counts.metrics()


def _log_of(small: str, larger: str) -> dict[str, dict[str, object]]:
    """Return the facts of each kind of line that a request writes."""
    scene = TimedScene(SMALL[small], LARGER[larger], 2.0, 6.0)
    lines: dict[str, dict[str, object]] = {}

    def write(message: str, call_id: str, is_failure: bool, **facts: object) -> None:
        lines[message] = facts

    scene.router.gateway.decisions.write = write
    scene.ask()
    return lines


def test_the_log_tells_why_a_kept_answer_was_delivered():
    facts = _log_of("whole", "connected and silent")["ready answer delivered"]
    assert facts["reason"] == "larger model's answer not in time"
    assert facts["was_complete"] is True
    assert facts["larger_in_time_share"] == 1.0
    assert facts["larger_expected_s"] < 0.1
    assert 1.7 < facts["larger_waited_s"] < 1.9
    assert 0.1 < facts["objective_left_s"] < 0.2


def test_the_log_tells_why_a_kept_answer_was_dropped():
    facts = _log_of("incomplete", "connected and silent")["answer dropped"]
    assert facts["fate"] == "dropped"
    assert facts["was_complete"] is False
    assert 0.2 < facts["larger_waited_s"] < 0.3
    assert 1.6 < facts["objective_left_s"] < 1.8


def test_prompt_tokens_read_again_are_counted_among_many_endpoints():
    """Only the endpoint that probably has the shared parts is looked at there."""
    world = DirectWorld()
    for number in range(60):
        world.add_endpoint(f"e{number}")
    gateway = world.ready_router(make_direct_document()).gateway
    world.run(1.2)
    world.ask(world.routers["r1"], "/draft/x", Prompt=zones.PROMPT)
    world.run(1.0)
    first = gateway.directory.affinity_endpoint("svc", "shared")
    assert first is not None
    other = next(each for each in gateway.directory.listed("svc") if each is not first)
    parts = (PromptPart("shared", 3000), PromptPart("own", 10))
    req = CallerRequest("a", b"POST", b"/", "h", "/", [], None, 9.0, prompt=parts)
    args = (gateway.placement, gateway.directory, "svc")
    placed = gateway.placement.cached_tokens(first.lifetime, "", req)
    assert placed == 3000
    assert tokens_read_again(*args, other, "", req) == placed
    assert tokens_read_again(*args, first, "", req) == 0
