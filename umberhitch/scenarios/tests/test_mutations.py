"""For each promise, a deliberate break of its mechanism that the scenarios must catch.

The breaks are held here and never in the product. Each names the scenario that must fail under it;
`test_scenarios` shows that the same scenario passes without.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

import pytest

from umberhitch.config import Fold
from umberhitch.core.answer import AnswerAssembler
from umberhitch.core.attempt import AttemptEntry
from umberhitch.core.billing import BillFold
from umberhitch.core.claims import ClaimFold, ClaimState
from umberhitch.core.evidence import VersionJudge
from umberhitch.core.fencing import Fence
from umberhitch.core.ledger import Inserted, Ledger
from umberhitch.core.outcome import NotRun, Reason
from umberhitch.core.withdrawals import DirectWithdrawals
from umberhitch.scenarios import SCENARIO_FILES, ScenarioError, parse_scenario, run_scenario
from umberhitch.tasks import agent_config as agent_config_module
from umberhitch.tasks import attempts as attempts_module
from umberhitch.tasks import requests as requests_module
from umberhitch.tasks import rollouts as rollouts_module
from umberhitch.tasks.agent import Agent
from umberhitch.tasks.config_feed import ConfigFeed
from umberhitch.tasks.usage_writer import UsageWriter

PATHS = {path.stem: path for path in SCENARIO_FILES}


def _allow_everything(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(agent_config_module, "refusal_for", lambda *args: None)


def _forget_direct_stops(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(DirectWithdrawals, "is_withdrawn", lambda *args: False)


def _ignore_sessions(patch: pytest.MonkeyPatch) -> None:
    real = requests_module.permitted_versions
    patch.setattr(
        requests_module,
        "permitted_versions",
        lambda cfg, name, spec, ses: real(cfg, name, spec, None),
    )


def _never_hand_over(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Agent, "_hand_over_usage", lambda self: None)


def _router_forgets_bills(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UsageWriter, "write", lambda self, record, agents: None)
    patch.setattr(Agent, "_hand_over_usage", lambda self: None)


def _count_repeats(patch: pytest.MonkeyPatch) -> None:
    real = BillFold.apply

    def apply(self, offset, data):
        known = dict(self.records)
        self.records.clear()
        real(self, offset, data)
        self.records.update({**known, **self.records})

    patch.setattr(BillFold, "apply", apply)


def _ignore_offsets(patch: pytest.MonkeyPatch) -> None:
    def add(self, offset, text):
        self._append(text)
        self.end = None
        return text

    patch.setattr(AnswerAssembler, "add", add)
    patch.setattr(AnswerAssembler, "is_complete", property(lambda self: self.end is not None))
    patch.setattr(AnswerAssembler, "finish", lambda self, length: setattr(self, "end", length))


def _call_silence_not_run(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        attempts_module, "Unknown", lambda reason, detail="": NotRun(Reason.NO_ANSWER, detail)
    )


def _last_claim_wins(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        ClaimFold,
        "_claim",
        lambda self, claim: self._keys.__setitem__(claim.key, ClaimState(claim)),
    )


def _forget_attempts(patch: pytest.MonkeyPatch) -> None:
    def admit(self, start, due_s):
        return Inserted(self._insert(AttemptEntry(start.attempt, start, due_s)))

    patch.setattr(Ledger, "admit", admit)


def _forget_tombstones(patch: pytest.MonkeyPatch) -> None:
    real = Ledger.tombstone

    def tombstone(self, attempt):
        admission = real(self, attempt)
        if isinstance(admission, Inserted):
            del self._entries[attempt], self._ended[attempt]
        return admission

    patch.setattr(Ledger, "tombstone", tombstone)


def _take_work_while_leaving(patch: pytest.MonkeyPatch) -> None:
    real = Agent._admission_refusal

    def refusal(self, start):
        reason = real(self, start)
        return None if reason is Reason.LEAVING else reason

    patch.setattr(Agent, "_admission_refusal", refusal)


def _drain_at_once(patch: pytest.MonkeyPatch) -> None:
    def drain(self):
        from twisted.internet.defer import succeed

        return succeed(None)

    patch.setattr(Agent, "drain", drain)


def _never_feed(patch: pytest.MonkeyPatch) -> None:
    real = ConfigFeed.updates_since
    patch.setattr(
        ConfigFeed,
        "updates_since",
        lambda self, revision: real(self, revision) if revision < 0 else None,
    )


def _accept_both_racers(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Fold, "_check_revision", lambda *args: None)


def _obey_every_order(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Fence, "admits", lambda *args: True)


def _never_alarm(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(VersionJudge, "observe", lambda self, evidence: None)


def _need_no_evidence(patch: pytest.MonkeyPatch) -> None:
    real = rollouts_module.next_step

    def next_step(plan, view):
        return real(replace(plan, min_answers=0), view)

    patch.setattr(rollouts_module, "next_step", next_step)


@dataclass(frozen=True)
class Mutation:
    """A break, and the scenario that must notice it."""

    promise: str
    scenario: str
    apply: Callable[[pytest.MonkeyPatch], None]


MUTATIONS = [
    Mutation("permitted", "permitted-router-stale", _allow_everything),
    Mutation("permitted", "permitted-operators-race", _accept_both_racers),
    Mutation("withdrawn", "withdrawn-router-cut-off", _allow_everything),
    Mutation("withdrawn", "withdrawn-log-down-before-append", _forget_direct_stops),
    Mutation("session", "session-retired-version", _ignore_sessions),
    Mutation("billed", "billing-router-lost", _never_hand_over),
    Mutation("billed", "billing-agent-replaced", _router_forgets_bills),
    Mutation("billed", "billing-confirmation-lost", _count_repeats),
    Mutation("answer", "answer-messages-lost", _ignore_offsets),
    Mutation("not run", "notrun-agent-silent", _call_silence_not_run),
    Mutation("not run", "notrun-start-late", _forget_tombstones),
    Mutation("once", "once-slow-reader", _last_claim_wins),
    Mutation("once", "once-start-repeated", _forget_attempts),
    Mutation("once", "once-router-paused", _forget_tombstones),
    Mutation("leaving", "leaving-announcement-lost", _take_work_while_leaving),
    Mutation("shutdown", "shutdown-agent-under-load", _drain_at_once),
    Mutation("orders", "lease-late-order", _obey_every_order),
    Mutation("bad versions", "exposure-after-rollout", _never_alarm),
    Mutation("bad versions", "rollout-bad-version", _never_alarm),
    Mutation("roll-out", "rollout-evidence-missing", _need_no_evidence),
    Mutation("configuration", "config-answer-lost", _never_feed),
    Mutation("configuration", "withdrawn-operators-race", _accept_both_racers),
]


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mut: f"{mut.promise}-{mut.scenario}")
def test_a_broken_mechanism_is_caught(mutation: Mutation, monkeypatch: pytest.MonkeyPatch) -> None:
    scenario = parse_scenario(PATHS[mutation.scenario])
    mutation.apply(monkeypatch)
    with pytest.raises(ScenarioError):
        run_scenario(scenario)
