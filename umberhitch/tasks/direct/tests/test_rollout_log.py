"""The log lines about a roll-out tell when, on which route and in which stage answers came."""

import json
import logging

import pytest

from umberhitch.core.direct import AnswerVerdict, Canary, CanaryLimits, RolloutOrder, RolloutState
from umberhitch.tasks.direct.rollout_log import RolloutLog


@pytest.fixture
def canary() -> Canary:
    return Canary(RolloutOrder("svc", "v2", 20.0), 0.0, CanaryLimits())


def _evidence(caplog: pytest.LogCaptureFixture) -> list[dict[str, object]]:
    lines = [vars(record) for record in caplog.records if record.message == "roll-out evidence"]
    return json.loads(json.dumps(lines, default=str))


def test_evidence_is_told_by_route_and_version_since_the_last_line(canary, caplog):
    caplog.set_level(logging.INFO)
    log = RolloutLog(canary)
    canary.count_answer(True, "look", "n1", AnswerVerdict.GOOD, 1.0)
    log.log_evidence(1.0)
    assert not _evidence(caplog)
    log.log_evidence(2.0)
    canary.count_answer(True, "order", "n1", AnswerVerdict.FAILED, 3.0)
    canary.count_answer(False, "look", "e1", AnswerVerdict.GOOD, 3.0)
    log.log_evidence(4.5)
    first, second = _evidence(caplog)
    good = {"answers": 1, "failed": 0, "broken": 0, "paced": 1, "slow": 0}
    bad = {"answers": 1, "failed": 1, "broken": 0, "paced": 0, "slow": 0}
    assert first["answers"] == [{"route": "look", "version": "new", **good}]
    assert second["answers"] == [
        {"route": "order", "version": "new", **bad},
        {"route": "look", "version": "old", **good},
    ]
    assert (second["span_s"], second["stage"]) == (2.5, "canary")


def test_nothing_is_told_without_answers_and_after_the_end_only_of_bad_ones(canary, caplog):
    caplog.set_level(logging.INFO)
    log = RolloutLog(canary)
    log.log_evidence(10.0)
    canary.state = RolloutState.COMPLETED
    canary.count_answer(True, "look", "n1", AnswerVerdict.GOOD, 11.0)
    log.log_evidence(15.0)
    assert not _evidence(caplog)
    canary.count_answer(True, "look", "n1", AnswerVerdict.FAILED, 21.0)
    log.log_evidence(22.0)
    assert [line["state"] for line in _evidence(caplog)] == ["completed"]
