"""Serving requests on a virtual clock."""

import pytest
from twisted.internet.defer import ensureDeferred

from umberhitch.config import VersionState
from umberhitch.core.outcome import Done, NotRun, Reason, Unknown
from umberhitch.fakes import NetworkFaults, expected_answer
from umberhitch.tasks import idempotency as keyed_module
from umberhitch.tasks.resume import parse_locator
from umberhitch.testing import (
    SIGNING_SECRET,
    AskOptions,
    World,
    WorldSettings,
    make_change,
    make_state_change,
    make_work,
)


def test_a_request_is_answered_and_billed(world: World) -> None:
    record = world.ask("hello")
    world.advance(2.0)
    assert isinstance(record.outcome, Done)
    assert record.outcome.text == expected_answer("m@1", make_work("hello"), 12)
    assert record.text == record.outcome.text
    bill = world.bills().records[record.request]
    assert (bill.customer, bill.target, bill.usage.output_tokens) == ("acme", "m@1", 12)
    assert all(agent.unconfirmed_usage == 0 for agent in world.agents.values())


def test_lost_repeated_and_late_messages_are_repaired(world: World) -> None:
    world.network.faults = NetworkFaults(drop=0.2, repeat=0.2, late=0.3)
    records = [world.ask(f"question {index}") for index in range(40)]
    world.advance(15.0)
    for record in records:
        assert isinstance(record.outcome, Done)
        assert record.text == expected_answer("m@1", make_work(record.question), 12)
        assert world.runs_of(record.question) == 1


def test_a_withdrawn_version_gets_no_new_work(world: World) -> None:
    world.publish(make_state_change("c2", "m@1", VersionState.WITHDRAWN))
    world.advance(1.0)
    record = world.ask("too late")
    world.advance(1.0)
    assert isinstance(record.outcome, NotRun)
    assert record.outcome.reason is Reason.WITHDRAWN
    assert world.runs_of("too late") == 0


def test_the_same_key_at_two_routers_runs_once(world: World) -> None:
    options = AskOptions(klass="renewal", key="k")
    first = world.ask("renew", "r1", options)
    second = world.ask("renew", "r2", options)
    world.advance(4.0)
    assert isinstance(first.outcome, Done)
    assert isinstance(second.outcome, Done)
    assert first.outcome.text == second.outcome.text
    assert world.runs_of("renew") == 1
    assert len(world.bills().records) == 1


def test_a_key_is_refused_for_another_request(world: World) -> None:
    world.ask("renew", "r1", AskOptions(klass="renewal", key="k"))
    world.advance(2.0)
    other = world.ask("transfer", "r2", AskOptions(klass="renewal", key="k"))
    world.advance(1.0)
    assert other.outcome == NotRun(Reason.KEY_REUSED, "the key was used for another request")


def test_an_engine_lost_midway_is_retried_only_if_repeatable(world: World) -> None:
    tried = world.ask("again", options=AskOptions(klass="lookup"))
    once = world.ask("once", options=AskOptions(klass="renewal"))
    world.advance(0.1)
    for engine in world.engines.values():
        if engine.runs:
            engine.lose()
    world.advance(6.0)
    assert isinstance(once.outcome, Unknown)
    assert world.runs_of("once") == 1
    assert tried.outcome is not None


def test_an_answer_is_fetched_again_at_another_router(world: World) -> None:
    record = world.ask("long answer", "r1")
    world.advance(0.15)
    world.lose_router("r1")
    locator = record.locators[-1]
    where = parse_locator(locator)
    assert where is not None
    fetched = ensureDeferred(world.routers["r2"].answer_fetcher.fetch(where, "acme", 0))
    stolen = ensureDeferred(world.routers["r2"].answer_fetcher.fetch(where, "other", 0))
    world.advance(3.0)
    assert fetched.result.text == expected_answer("m@1", make_work("long answer"), 12)
    assert isinstance(stolen.result, NotRun)


def test_a_refused_retry_of_what_may_have_run_is_not_called_not_run(world: World) -> None:
    """Found by the state machine: the second choice was refused, and hid that the first ran."""
    for engine in world.engines.values():
        engine.faults.fail_after_words = 3
    record = world.ask("runs, then finds no version", "r1")
    world.advance(0.02)
    world.publish(make_state_change("c2", "m@1", VersionState.STAGED))
    world.advance(5.0)
    assert world.runs_of(record.question) >= 1
    assert isinstance(record.outcome, Unknown)


def test_an_engine_that_hangs_does_not_keep_its_slots(world: World) -> None:
    for engine in world.engines.values():
        engine.faults.is_stuck = True
    world.network.drop_where(lambda one, other, message: type(message).__name__ == "Cancel")
    for index in range(24):
        world.ask(f"stuck {index}", "r1", AskOptions(deadline_s=1.0))
    world.advance(20.0)
    world.network.mend_all()
    for engine in world.engines.values():
        engine.faults.is_stuck = False
    record = world.ask("after", "r1")
    world.advance(2.0)
    assert isinstance(record.outcome, Done)


def test_a_router_starts_from_a_snapshot_when_the_log_has_dropped_the_rest(world: World) -> None:
    for index in range(520):
        state = VersionState.RETIRED if index % 2 else VersionState.ACTIVE
        world.publish(make_state_change(f"many-{index}", "m@2", state))
    world.advance(15.0)
    world.publish(make_state_change("last", "m@2", VersionState.STAGED))
    world.advance(1.0)
    wanted = world.routers["r2"].feed.config
    world.memory.trim("config", 20)
    world.lose_router("r2")
    world.replace_router("r1")
    world.advance(5.0)
    assert world.routers["r1"].feed.config == wanted
    assert world.routers["r1"].revision == world.agents["e1"].revision


def test_burn_is_gathered_from_all_routers(world: World) -> None:
    for engine in world.engines.values():
        engine.faults.is_refusing = True
    for router in ("r1", "r2"):
        for index in range(3):
            world.ask(f"{router} {index}", router, AskOptions(klass="lookup"))
    world.advance(2.0)
    gathered = ensureDeferred(world.routers["r1"].burn.report())
    world.advance(2.0)
    report = gathered.result
    assert (report.routers, report.missing) == (["r1", "r2"], [])
    assert [(row.customer, row.klass, row.bad) for row in report.rows] == [("acme", "lookup", 6)]
    world.network.cut("r1", "r2")
    gathered = ensureDeferred(world.routers["r1"].burn.report())
    world.advance(2.0)
    assert gathered.result.missing == ["r2"]


def test_a_full_queue_gives_way_to_what_is_more_urgent() -> None:
    made = World(
        WorldSettings(endpoints={"e1": "m@1"}, routers=("r1",), agent={"slots": 1, "queue": 2})
    )
    made.publish(make_change())
    made.start()
    drafts = [made.ask(f"draft {index}", "r1") for index in range(3)]
    made.advance(0.05)
    urgent = made.ask("lookup", "r1", AskOptions(klass="lookup"))
    made.advance(3.0)
    assert isinstance(urgent.outcome, Done)
    refused = [record for record in drafts if isinstance(record.outcome, NotRun)]
    assert [record.outcome.reason for record in refused] == [Reason.OVERLOADED]
    assert made.runs_of(refused[0].question) == 0


def test_logs_hold_ids_and_never_a_question_an_answer_or_a_key(
    world: World, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("DEBUG")
    record = world.ask("confidential words", "r1", AskOptions(klass="renewal", key="my-key"))
    world.engines["e1"].lose()
    world.ask("other confidential words", "r1")
    world.advance(3.0)
    assert isinstance(record.outcome, Done)
    text = "\n".join(str(vars(entry)) for entry in caplog.records)
    assert record.request in text
    for secret in ("confidential", "m@1/", "my-key", SIGNING_SECRET):
        assert secret not in text


def test_an_answer_too_long_for_the_log_is_found_at_its_agent(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(keyed_module, "MAX_RECORDED_CHARS", 10)
    options = AskOptions(klass="renewal", key="k")
    first = world.ask("renew", "r1", options)
    world.advance(2.0)
    second = world.ask("renew", "r2", options)
    world.advance(2.0)
    assert isinstance(first.outcome, Done)
    assert isinstance(second.outcome, Done)
    assert second.outcome.text == first.outcome.text
    for name in list(world.agents):
        world.replace_agent(name)
    world.advance(5.0)
    third = world.ask("renew", "r2", options)
    world.advance(2.0)
    assert third.outcome == Unknown(Reason.EVICTED, "the first request's outcome is unknown")
    assert world.runs_of("renew") == 1


def test_an_outcome_that_was_unknown_is_looked_up_again_for_a_later_caller(world: World) -> None:
    for engine in world.engines.values():
        engine.faults.slowdown = 4.0
    options = AskOptions(klass="renewal", key="k", deadline_s=0.5)
    world.network.drop_where(lambda one, other, message: type(message).__name__ == "Cancel")
    first = world.ask("renew", "r1", options)
    world.advance(3.0)
    world.network.mend_all()
    later = world.ask("renew", "r2", AskOptions(klass="renewal", key="k"))
    world.advance(2.0)
    assert isinstance(first.outcome, Unknown)
    assert isinstance(later.outcome, Done)
    assert world.runs_of("renew") == 1


def test_a_key_lives_as_long_as_the_policy_says() -> None:
    """Found by a search for unused names: the setting had no effect."""
    made = World(WorldSettings(endpoints={"e1": "m@1"}, routers=("r1",)))
    policy = {"name": "policy", "idempotency_ttl_s": 60.0}
    made.publish(make_change(policies=[policy]))
    made.start()
    options = AskOptions(klass="renewal", key="k")
    made.ask("renew", "r1", options)
    made.advance(30.0)
    made.ask("renew", "r1", options)
    made.advance(2.0)
    assert made.runs_of("renew") == 1
    made.advance(60.0)
    made.ask("another", "r1", AskOptions(klass="renewal", key="other"))
    made.advance(2.0)
    made.ask("renew", "r1", options)
    made.advance(2.0)
    assert made.runs_of("renew") == 2
