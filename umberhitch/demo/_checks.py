"""The promises, checked on what the demo's callers, engines and log have seen."""

from collections import Counter
from dataclasses import dataclass

from umberhitch.config import Config
from umberhitch.core.billing import BillFold
from umberhitch.demo._client import Answer
from umberhitch.embedded import EmbeddedDeployment
from umberhitch.fakes import expected_answer
from umberhitch.tasks.usage_writer import BILLING_STREAM
from umberhitch.wire import EngineWork

__all__ = ["Check", "check_promises", "fold_bills"]

ANSWER_WORDS = 12


@dataclass(frozen=True, slots=True)
class Check:
    """One promise and whether it held."""

    promise: str
    holds: bool
    detail: str = ""


def fold_bills(deployment: EmbeddedDeployment) -> BillFold:
    """Return the bills, from the log."""
    fold = BillFold()
    for offset, data in deployment.log.memory.all_records(BILLING_STREAM):
        fold.apply(offset, data)
    return fold


def check_promises(
    deployment: EmbeddedDeployment,
    config: Config,
    answers: list[Answer],
    withdrawn: str,
    withdrawn_at_s: float,
    settle_s: float,
) -> list[Check]:
    """Return the verdict on each promise that the demo's load can show."""
    bills = fold_bills(deployment)
    return [
        _own_answers(answers),
        _billed_once(answers, bills),
        _permitted(deployment, config),
        _no_work_after(deployment, withdrawn, withdrawn_at_s + settle_s),
        _not_run_is_true(deployment, answers),
        _ran_once(deployment, answers),
    ]


def _chats(answers: list[Answer]) -> list[Answer]:
    return [answer for answer in answers if answer.question]


def _own_answers(answers: list[Answer]) -> Check:
    wrong = []
    for answer in _chats(answers):
        if answer.status != "done":
            continue
        work = EngineWork([{"role": "user", "content": answer.question}], ANSWER_WORDS)
        if answer.text != expected_answer(answer.model, work, ANSWER_WORDS):
            wrong.append(answer.request)
    return Check("every caller got its own whole answer", not wrong, ", ".join(wrong))


def _billed_once(answers: list[Answer], bills: BillFold) -> Check:
    done = {
        answer.request
        for answer in answers
        if answer.status == "done" and answer.request and not _is_replay(answer)
    }
    missing = done - bills.records.keys()
    extra = bills.records.keys() - done
    unknown = {answer.request for answer in answers if answer.status == "unknown"}
    wrong = missing | (extra - unknown)
    return Check("each request was billed exactly once", not wrong, ", ".join(sorted(wrong)))


def _is_replay(answer: Answer) -> bool:
    return "umberhitch-replayed" in answer.headers


def _permitted(deployment: EmbeddedDeployment, config: Config) -> Check:
    bills = fold_bills(deployment)
    wrong = [
        record.request
        for record in bills.records.values()
        if record.target not in config.services
        and not config.permits(record.customer, record.target)
    ]
    return Check("requests ran only on permitted versions", not wrong, ", ".join(wrong))


def _no_work_after(deployment: EmbeddedDeployment, target: str, at_s: float) -> Check:
    late = [
        run.call_id
        for engine in deployment.engines.values()
        for run in engine.runs
        if run.target == target and run.began_s > at_s
    ]
    return Check(f"{target} got no new work after its withdrawal", not late, ", ".join(late))


def _not_run_is_true(deployment: EmbeddedDeployment, answers: list[Answer]) -> Check:
    ran = {run.body for engine in deployment.engines.values() for run in engine.runs}
    wrong = [
        answer.question
        for answer in _chats(answers)
        if answer.status == "not_run" and answer.question in ran
    ]
    return Check('every "not run" was true', not wrong, ", ".join(wrong))


def _ran_once(deployment: EmbeddedDeployment, answers: list[Answer]) -> Check:
    runs = Counter(run.body for engine in deployment.engines.values() for run in engine.runs)
    once = {a.question for a in _chats(answers) if a.klass in ("renewal", "letter")}
    repeated = [question for question in once if runs[question] > 1]
    for service in deployment.services.values():
        repeated += [
            f"{method} {path}"
            for (method, path, _), count in service.runs.items()
            if method == "POST" and count > 1
        ]
    return Check("what must not be repeated ran at most once", not repeated, ", ".join(repeated))
