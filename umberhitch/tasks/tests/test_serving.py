"""Requests served by routers and agents on a virtual clock."""

import pytest
from twisted.internet.defer import ensureDeferred

from umberhitch.config import VersionState
from umberhitch.core.outcome import Done, NotRun, Reason, Unknown
from umberhitch.fakes import NetworkFaults, expected_answer
from umberhitch.tasks import idempotency as idempotency_module
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


def test_requests_with_one_key_at_two_routers_run_once(world: World) -> None:
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


def test_a_request_whose_engine_is_lost_is_retried_only_if_repeatable(world: World) -> None:
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


def test_an_answer_is_fetched_at_another_router(world: World) -> None:
    record = world.ask("long answer", "r1")
    world.advance(0.15)
    world.lose_router("r1")
    locator = record.locators[-1]
    parsed = parse_locator(locator)
    assert parsed is not None
    fetched = ensureDeferred(world.routers["r2"].answer_fetcher.fetch(parsed, "acme", 0))
    stolen = ensureDeferred(world.routers["r2"].answer_fetcher.fetch(parsed, "other", 0))
    world.advance(3.0)
    assert fetched.result.text == expected_answer("m@1", make_work("long answer"), 12)
    assert isinstance(stolen.result, NotRun)


def test_a_refused_retry_of_an_attempt_that_may_have_run_is_unknown(world: World) -> None:
    """The refusal of a retry, here for lack of a version, must not hide that an attempt ran."""
    for engine in world.engines.values():
        engine.faults.fail_after_words = 3
    record = world.ask("runs, then finds no version", "r1")
    world.advance(0.02)
    world.publish(make_state_change("c2", "m@1", VersionState.STAGED))
    world.advance(5.0)
    assert world.runs_of(record.question) >= 1
    assert isinstance(record.outcome, Unknown)


def test_slots_of_an_engine_that_hangs_are_freed(world: World) -> None:
    for engine in world.engines.values():
        engine.faults.is_stuck = True
    world.network.drop_where(lambda sender, receiver, message: type(message).__name__ == "Cancel")
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


def test_the_burn_report_covers_all_routers(world: World) -> None:
    for engine in world.engines.values():
        engine.faults.is_refusing = True
    for router in ("r1", "r2"):
        for index in range(3):
            world.ask(f"{router} {index}", router, AskOptions(klass="lookup"))
    world.advance(2.0)
    pending_report = ensureDeferred(world.routers["r1"].burn.report())
    world.advance(2.0)
    report = pending_report.result
    assert (report.routers, report.missing) == (["r1", "r2"], [])
    assert [(row.customer, row.klass, row.bad) for row in report.rows] == [("acme", "lookup", 6)]
    world.network.cut("r1", "r2")
    pending_report = ensureDeferred(world.routers["r1"].burn.report())
    world.advance(2.0)
    assert pending_report.result.missing == ["r2"]


def test_a_full_queue_refuses_its_last_entry_for_a_more_urgent_one() -> None:
    small_world = World(
        WorldSettings(endpoints={"e1": "m@1"}, routers=("r1",), agent={"slots": 1, "queue": 2})
    )
    small_world.publish(make_change())
    small_world.start()
    drafts = [small_world.ask(f"draft {index}", "r1") for index in range(3)]
    small_world.advance(0.05)
    urgent = small_world.ask("lookup", "r1", AskOptions(klass="lookup"))
    small_world.advance(3.0)
    assert isinstance(urgent.outcome, Done)
    refused = [record for record in drafts if isinstance(record.outcome, NotRun)]
    assert [record.outcome.reason for record in refused] == [Reason.OVERLOADED]
    assert small_world.runs_of(refused[0].question) == 0


def test_logs_contain_ids_but_no_prompts_answers_or_keys(
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


def test_an_answer_too_long_for_the_log_is_fetched_from_its_agent(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idempotency_module, "MAX_RECORDED_CHARS", 10)
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


def test_an_unknown_outcome_is_resolved_for_a_later_request_with_the_same_key(world: World) -> None:
    for engine in world.engines.values():
        engine.faults.slowdown = 4.0
    options = AskOptions(klass="renewal", key="k", deadline_s=0.5)
    world.network.drop_where(lambda sender, receiver, message: type(message).__name__ == "Cancel")
    first = world.ask("renew", "r1", options)
    world.advance(3.0)
    world.network.mend_all()
    later = world.ask("renew", "r2", AskOptions(klass="renewal", key="k"))
    world.advance(2.0)
    assert isinstance(first.outcome, Unknown)
    assert isinstance(later.outcome, Done)
    assert world.runs_of("renew") == 1


def test_an_idempotency_key_expires_after_the_policy_ttl() -> None:
    """Guards against the policy's ``idempotency_ttl_s`` having no effect."""
    small_world = World(WorldSettings(endpoints={"e1": "m@1"}, routers=("r1",)))
    policy = {"name": "policy", "idempotency_ttl_s": 60.0}
    small_world.publish(make_change(policies=[policy]))
    small_world.start()
    options = AskOptions(klass="renewal", key="k")
    small_world.ask("renew", "r1", options)
    small_world.advance(30.0)
    small_world.ask("renew", "r1", options)
    small_world.advance(2.0)
    assert small_world.runs_of("renew") == 1
    small_world.advance(60.0)
    small_world.ask("another", "r1", AskOptions(klass="renewal", key="other"))
    small_world.advance(2.0)
    small_world.ask("renew", "r1", options)
    small_world.advance(2.0)
    assert small_world.runs_of("renew") == 2
