"""Builders of test data."""

from hashlib import sha256
from typing import Any

from umberhitch.config import Change, Kind, Put, SetState, VersionState
from umberhitch.wire import AttemptId, EngineWork, Start

__all__ = [
    "SIGNING_SECRET",
    "make_change",
    "make_customer",
    "make_document",
    "make_start",
    "make_state_change",
    "make_version",
    "make_work",
]

SIGNING_SECRET = "s" * 32


def make_customer(name: str = "acme", **extra: Any) -> dict[str, Any]:
    """Return a customer that may use model ``m`` and service ``svc``, with key ``key-NAME``."""
    return {
        "name": name,
        "key_sha256": [sha256(f"key-{name}".encode()).hexdigest()],
        "models": ["m"],
        "services": ["svc"],
        **extra,
    }


def make_version(name: str = "1", state: str = "active", **extra: Any) -> dict[str, Any]:
    """Return a version of model ``m``."""
    return {
        "model": "m",
        "name": name,
        "state": state,
        "input_micros_per_token": 1.0,
        "output_micros_per_token": 2.0,
        **extra,
    }


def make_document(**extra: Any) -> dict[str, Any]:
    """Return a small valid configuration: two versions, one service, two customers."""
    return {
        "customers": [make_customer(), make_customer("other")],
        "classes": [
            {"name": "default", "deadline_s": 10.0},
            {"name": "lookup", "priority": 0, "deadline_s": 5.0, "objective": 0.99},
            {"name": "renewal", "priority": 1, "repeatable": False, "deadline_s": 8.0},
        ],
        "models": [{"name": "m"}],
        "versions": [make_version("1"), make_version("2", "staged")],
        "services": [{"name": "svc", "non_repeatable": ["POST /renewals"]}],
        "keys": [{"name": "k1", "secret": SIGNING_SECRET}],
        "policies": [
            {
                "name": "policy",
                "rollout_stages": [0.3, 1.0],
                "rollout_stage_s": 5.0,
                "rollout_patience_s": 15.0,
                "rollout_min_answers": 10,
            }
        ],
        **extra,
    }


def make_change(change_id: str = "c1", **extra: Any) -> Change:
    """Return the change that creates `make_document`."""
    ops = [Put(kind, row) for kind in Kind for row in make_document(**extra).get(kind.value, [])]
    return Change(change_id, "tester", list(ops))


def make_state_change(
    change_id: str, version: str, state: VersionState, if_revision: int | None = None
) -> Change:
    """Return a change of one version's state."""
    return Change(change_id, "tester", [SetState(version, state, if_revision=if_revision)])


def make_work(question: str = "hello", max_tokens: int = 12) -> EngineWork:
    """Return the work of a chat with one question."""
    return EngineWork([{"role": "user", "content": question}], max_tokens)


def make_start(seq: int = 1, **extra: Any) -> Start:
    """Return a start of attempt ``seq`` of router ``r``, incarnation 1."""
    values: dict[str, Any] = {
        "attempt": AttemptId("r", 1, seq),
        "agent_incarnation": 1,
        "request": f"q{seq}",
        "customer": "acme",
        "target": "m@1",
        "work": make_work(),
        "priority": 5,
        "deadline_s": 10.0,
        "revision": 0,
        **extra,
    }
    return Start(**values)
