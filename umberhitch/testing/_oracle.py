"""What must hold, judged from the outside: what ran, what was billed, what each caller got."""

from collections import Counter

from umberhitch.core.outcome import Done, NotRun
from umberhitch.core.session import read_session_token
from umberhitch.fakes import expected_answer
from umberhitch.testing._violation import Violation
from umberhitch.testing._world import CallerRecord, World
from umberhitch.wire import EngineWork

__all__ = ["check_world"]

ANSWER_WORDS = 12
GRACE_S = 0.25


def check_world(world: World) -> list[Violation]:
    """Return every broken promise; the world must have come to rest."""
    return [
        *_check_permitted(world),
        *_check_answered(world),
        *_check_answers(world),
        *_check_not_run(world),
        *_check_once(world),
        *_check_bills(world),
        *_check_sessions(world),
        *_check_configuration(world),
        *world.violations,
    ]


def _runs_by_request(world: World) -> Counter[str]:
    """Count the engines' runs of each request id."""
    request_of: dict[str, str] = {}
    for router in world.all_routers:
        for trace in router.requests.traces.values():
            for attempt in trace.attempts:
                request_of[attempt.attempt] = trace.request
    return Counter(
        request_of.get(run.call_id, "?") for engine in world.all_engines() for run in engine.runs
    )


def _check_permitted(world: World) -> list[Violation]:
    """No customer's work runs on a model that none of its configurations has allowed."""
    customers = {record.question: record.options.customer for record in world.records}
    found = []
    for engine in world.all_engines():
        for run in engine.runs:
            customer = customers.get(run.body, "")
            model = run.target.partition("@")[0]
            if (customer, model) not in world.ever_permitted and run.target not in world.services:
                found.append(
                    Violation("permitted", f"{run.body} of {customer} ran on {run.target}")
                )
    return found


def _check_answered(world: World) -> list[Violation]:
    """Every caller whose router lives gets its final answer, and gets it in time."""
    found = []
    for record in world.records:
        if record.is_orphaned:
            continue
        if record.ended_s is None:
            found.append(Violation("answered", f"{record.request} has no outcome"))
        elif record.router not in world.ever_paused and record.ended_s > record.due_s + GRACE_S:
            late_s = record.ended_s - record.due_s
            detail = f"{record.request} ended {late_s:.2f} s late with {record.outcome}"
            found.append(Violation("answered", detail))
    return found


def _check_answers(world: World) -> list[Violation]:
    found = []
    for record in world.done():
        outcome = record.outcome
        assert isinstance(outcome, Done)
        if record.options.body:
            continue
        work = EngineWork([{"role": "user", "content": record.question}], ANSWER_WORDS)
        wanted = expected_answer(outcome.target, work, ANSWER_WORDS)
        if outcome.text != wanted:
            found.append(Violation("own whole answer", f"{record.request}: {outcome.text!r}"))
        if record.options.is_streamed and not outcome.replayed and record.text != wanted:
            found.append(
                Violation("own whole answer", f"{record.request} streamed {record.text!r}")
            )
    return found


def _check_not_run(world: World) -> list[Violation]:
    runs = _runs_by_request(world)
    return [
        Violation("not run is true", f"{record.request} ran {runs[record.request]} times")
        for record in world.records
        if isinstance(record.outcome, NotRun) and runs[record.request]
    ]


def _check_once(world: World) -> list[Violation]:
    """What must not be repeated, and what shares a key, runs at most once."""
    runs = _runs_by_request(world)
    found = [
        Violation("at most once", f"{record.request} ran {runs[record.request]} times")
        for record in world.records
        if not record.is_repeatable and runs[record.request] > 1
    ]
    by_key: Counter[tuple[str, str]] = Counter()
    for record in world.records:
        if record.options.key:
            by_key[(record.options.customer, record.options.key)] += runs[record.request]
    keyed_once = {
        (record.options.customer, record.options.key)
        for record in world.records
        if record.options.key and not record.is_repeatable
    }
    found += [
        Violation("at most once", f"key {key} ran {count} times")
        for key, count in by_key.items()
        if key in keyed_once and count > 1
    ]
    return found


def _check_bills(world: World) -> list[Violation]:
    bills = world.bills()
    runs = _runs_by_request(world)
    found = [
        Violation("billed once", f"{record.request} was done and is not billed")
        for record in world.done()
        if not _is_replayed(record)
        and record.request not in bills.records
        and not world.is_bill_excused(record)
    ]
    found += [
        Violation("billed once", f"{request} is billed and never ran")
        for request in bills.records
        if not runs[request]
    ]
    counted = sum(bill.requests for bill in bills.bills.values())
    if counted != len(bills.records):
        found.append(Violation("billed once", f"{counted} counted of {len(bills.records)}"))
    return found


def _is_replayed(record: CallerRecord) -> bool:
    return isinstance(record.outcome, Done) and record.outcome.replayed


def _check_sessions(world: World) -> list[Violation]:
    found = []
    for record in world.done():
        token = record.options.session_token
        if not token:
            continue
        config = next(iter(world.routers.values())).feed.config
        session = read_session_token(token, config, 0.0)
        outcome = record.outcome
        assert isinstance(outcome, Done)
        if outcome.target != session.target:
            found.append(Violation("sessions", f"{record.request} moved from {session.target}"))
    return found


def _check_configuration(world: World) -> list[Violation]:
    """Every process has come to the same configuration."""
    revisions = {name: router.feed.revision for name, router in world.routers.items()}
    revisions |= {name: agent.revision for name, agent in world.agents.items()}
    if len(set(revisions.values())) > 1:
        return [Violation("in force everywhere", f"revisions differ: {revisions}")]
    configs = [router.feed.config for router in world.routers.values()]
    configs += [agent.config for agent in world.agents.values()]
    if any(config != configs[0] for config in configs):
        return [Violation("in force everywhere", "equal revisions hold different configurations")]
    return []
