"""At more load than engines can take, answers that are whole at a router are on time."""

import math
from collections.abc import Callable
from random import Random

import pytest

from umberhitch.core.direct import LargerWaits, RouteKind, latest_delivery_s
from umberhitch.platform.standins import LoadedEndpoint
from umberhitch.tasks.direct.kept_answer import KeptAnswer
from umberhitch.tasks.direct.larger_call import LargerCall
from umberhitch.tasks.direct.services import AdmittedRequest
from umberhitch.testing import LoadRecord, LoadWorld, Stream, make_load_document, make_route

ENGINES = 4
ROUTERS = 8
SMALL_S, LARGER_S = 0.05, 0.4
"""Time in which an engine reads a prompt for either model."""
CAPACITY_PER_S = ENGINES / (SMALL_S + LARGER_S)
"""Requests of which both models can be called."""
TIMES_S = ((2.0, 6.0), (4.0, 12.0), (5.0, 8.0))
"""Objectives and deadlines of routes."""
SECONDS = 8.0
BODY = b"x" * 1000


class EscalatingLoad:
    """Engines whose small model is never sure, and callers at a multiple of their capacity."""

    def __init__(
        self,
        seed: int,
        load: float,
        objective_s: float = 2.0,
        deadline_s: float = 6.0,
        pace: Callable[[float], float] = lambda now_s: 1.0,
    ) -> None:
        self.deadline_s = deadline_s
        self.world = LoadWorld(rng=Random(seed))
        self.engines: list[LoadedEndpoint] = []
        for number in range(ENGINES):
            engine = self.world.add_loaded(
                f"e{number}",
                is_engine=True,
                slots=16,
                queue_limit=200,
                figures=0,
                pace=pace,
                work_by_model={b"small": SMALL_S, b"large": LARGER_S},
                confidence_by_model={b"small": 1, b"large": 95},
            )
            self.engines.append(engine)
        route = make_route(
            "draft",
            RouteKind.STREAM,
            models=("small", "large"),
            objective_s=objective_s,
            timeout_s=deadline_s,
        )
        self.world.start_routers(
            ROUTERS, make_load_document((route,), slots=16, cache_tokens=100_000)
        )
        headers = {"Prompt": "shared:12000,own:1000", "Any_Model": "1"}
        rate_per_s = load * CAPACITY_PER_S
        self.stream = Stream(
            "draft",
            lambda now_s: rate_per_s,
            "/draft/x",
            objective_s=objective_s,
            body=BODY,
            headers=headers,
        )

    def run(self) -> list[LoadRecord]:
        """Play the load; return what became of the requests."""
        self.world.offer([self.stream], SECONDS)
        self.world.settle(self.deadline_s + 1.0)
        return self.world.records

    def calls_of(self, name: str) -> int:
        """Return how many answers met a fate, at all routers."""
        routers = self.world.routers.values()
        return sum(each.gateway.counters.ready_answers.get(name, 0) for each in routers)


@pytest.fixture(name="whole_s")
def _whole_s(monkeypatch: pytest.MonkeyPatch) -> dict[str, float]:
    """When the kept answer of a request was whole, by its id."""
    whole_s: dict[str, float] = {}
    on_end = KeptAnswer.on_end

    def note_end(self: KeptAnswer) -> None:
        on_end(self)
        whole_s[self.call._admitted.request.call_id] = self._svc.clock.seconds()

    monkeypatch.setattr(KeptAnswer, "on_end", note_end)
    return whole_s


def _changing_pace(now_s: float) -> float:
    """Return a factor that changes several times a second."""
    return 1.0 if int(now_s * 3) % 3 else 5.0


def _assert_whole_answers_are_on_time(
    scene: EscalatingLoad, whole_s: dict[str, float], objective_s: float
) -> None:
    records = scene.run()
    kept = [each for each in records if each.call_id in whole_s]
    assert len(kept) > 10
    for each in kept:
        assert each.is_served
        was_whole_in_time = whole_s[each.call_id] - each.sent_s < latest_delivery_s(objective_s, 60)
        assert each.is_on_time or not was_whole_in_time
    assert scene.calls_of("lost") == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("objective_s", "deadline_s"), TIMES_S)
def test_each_answer_that_was_whole_at_a_router_is_delivered_within_the_objective(
    objective_s: float, deadline_s: float, seed: int, whole_s: dict[str, float]
):
    scene = EscalatingLoad(seed, 1.2, objective_s, deadline_s)
    _assert_whole_answers_are_on_time(scene, whole_s, objective_s)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_that_holds_where_the_pace_of_engines_changes(seed: int, whole_s: dict[str, float]):
    scene = EscalatingLoad(seed, 1.2, 2.0, 6.0, _changing_pace)
    _assert_whole_answers_are_on_time(scene, whole_s, 2.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_larger_models_still_answer_where_they_begin_in_time(seed: int):
    scene = EscalatingLoad(seed, 1.2)
    records = scene.run()
    assert scene.world.on_time_share("draft") > 0.95
    assert scene.calls_of("replaced") > 0.3 * len(records)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_in_quiet_times_larger_models_answer_all_they_are_asked(seed: int):
    scene = EscalatingLoad(seed, 0.15, 5.0, 8.0)
    scene.run()
    assert scene.calls_of("replaced") > 5
    assert scene.calls_of("delivered") == 0
    for router in scene.world.routers.values():
        assert router.gateway.selector.larger_waits.rows(0.0) == {}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_in_quiet_times_calls_and_answers_are_the_same_without_the_rules(seed: int, monkeypatch):
    played = []
    for _ in range(2):
        scene = EscalatingLoad(seed, 0.15, 5.0, 8.0)
        records = scene.run()
        began = [each.began for each in scene.engines]
        played.append((began, [(each.call_id, each.answered_s) for each in records]))
        monkeypatch.setattr(LargerCall, "wait_until", lambda self, until_s: None)
        monkeypatch.setattr(LargerCall, "is_expected_by", lambda self, until_s: True)
        monkeypatch.setattr(LargerWaits, "in_time_share", lambda self, *key: 1.0)
        monkeypatch.setattr(AdmittedRequest, "latest_delivery_s", math.inf)
    assert played[0] == played[1]


def test_without_the_timer_whole_answers_are_late(whole_s, monkeypatch):
    monkeypatch.setattr(LargerCall, "wait_until", lambda self, until_s: None)
    with pytest.raises(AssertionError):
        _assert_whole_answers_are_on_time(EscalatingLoad(1, 1.2), whole_s, 2.0)
