"""What the log says of an attempt that timed out tells where it has stayed."""

from typing import Any

import pytest

from umberhitch.core.outcome import Done
from umberhitch.fakes import EnginePace
from umberhitch.testing import AskOptions, World, WorldSettings, make_change
from umberhitch.wire import AttemptAccepted, Chunk, Finished, Heartbeat, Hello, Start

TIMEOUT_S = 6.0
REPAIRED_S = 3.0
"""A running attempt that is silent for 2 s is fetched; 12 words take 0.3 s."""


def _world(pace: EnginePace | None = None, slots: int = 4) -> World:
    made = World(
        WorldSettings(
            endpoints={"e1": "m@1"},
            routers=("r1",),
            pace=pace or EnginePace(token_s=0.02),
            agent={"slots": slots},
        )
    )
    made.publish(make_change())
    made.start()
    if pace is not None:
        for engine in made.engines.values():
            engine.cancel = lambda call_id: None  # a hanging engine does not stop either
    return made


def _timeouts(caplog: pytest.LogCaptureFixture) -> list[Any]:
    return [each for each in caplog.records if each.message == "attempt timed out"]


def _ask(world: World, question: str = "hello") -> None:
    world.ask(question, options=AskOptions(klass="renewal", deadline_s=TIMEOUT_S))


def test_a_start_that_is_lost_was_not_accepted_while_heartbeats_come(caplog):
    world = _world()
    world.network.drop_where(lambda sender, receiver, message: isinstance(message, Start))
    _ask(world)
    world.advance(TIMEOUT_S + 1.0)
    first = _timeouts(caplog)[0]
    assert not first.is_accepted
    assert first.requests > 3
    assert first.heartbeat_age_s < 2.0


def test_an_attempt_of_a_silent_engine_was_accepted_and_no_more_wait_than_there_are_slots(caplog):
    world = _world(EnginePace(token_s=1000.0))
    _ask(world)
    world.advance(TIMEOUT_S + 1.0)
    (found,) = _timeouts(caplog)
    assert found.is_accepted
    assert found.agent_attempts <= found.agent_slots


def test_an_attempt_in_the_agents_queue_is_one_of_more_than_there_are_slots(caplog):
    world = _world(EnginePace(token_s=1000.0), slots=1)
    for number in range(3):
        _ask(world, f"question {number}")
    world.advance(TIMEOUT_S + 1.0)
    for found in _timeouts(caplog):
        assert found.is_accepted
        assert found.agent_attempts > found.agent_slots


def test_an_answer_that_is_lost_leaves_a_silent_agent_that_sends_heartbeats(caplog):
    world = _world()
    lost = (AttemptAccepted, Chunk, Finished)
    world.network.drop_where(lambda sender, receiver, message: isinstance(message, lost))
    _ask(world)
    world.advance(TIMEOUT_S + 1.0)
    first = _timeouts(caplog)[0]
    assert not first.is_accepted
    assert first.heartbeat_age_s < 2.0


def test_a_process_without_processor_time_checks_late(caplog):
    world = _world(EnginePace(token_s=1000.0))
    _ask(world)
    world.advance(1.0)
    world.clock.advance(3.0)  # nothing is run in between
    world.advance(TIMEOUT_S)
    assert max(each.max_lateness_s for each in _timeouts(caplog)) > 2.0


@pytest.mark.parametrize("kind", [Start, AttemptAccepted, Chunk, Finished, Hello, Heartbeat])
@pytest.mark.parametrize("nth", [1, 2])
def test_one_lost_message_costs_no_more_than_seconds(kind, nth, caplog):
    """Guards against a request that waits for its deadline as one message is lost."""
    world = _world()
    seen = []

    def is_lost(sender: str, receiver: str, message: object) -> bool:
        if isinstance(message, kind):
            seen.append(message)
        return isinstance(message, kind) and len(seen) == nth

    world.network.drop_where(is_lost)
    record = world.ask("hello", options=AskOptions(klass="renewal", deadline_s=TIMEOUT_S))
    world.advance(REPAIRED_S)
    assert isinstance(record.outcome, Done)
    assert not _timeouts(caplog)


def test_attempts_that_end_in_time_are_not_logged(caplog):
    world = _world()
    _ask(world)
    world.advance(TIMEOUT_S)
    assert not _timeouts(caplog)
