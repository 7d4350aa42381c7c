"""The invariants of the fuzz test detect each deliberate violation of a rule."""

from collections.abc import Callable

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from msgspec.structs import replace

from umberhitch.core.direct import Endpoint, EventSplitter, ReplyHead, Route
from umberhitch.core.direct._members import Members
from umberhitch.tasks.direct.gateway import Gateway
from umberhitch.tasks.direct.proxied_request import ProxiedRequest
from umberhitch.tasks.direct.shared_view import SharedView
from umberhitch.tasks.direct.store_view import StoreView
from umberhitch.tasks.direct.tests.test_fuzz import DirectMachine
from umberhitch.wire import ViewReply

SETTINGS = settings(
    max_examples=300, stateful_step_count=40, phases=(Phase.generate,), report_multiple_bugs=False
)


def repeat_every_call(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Route, "is_repeatable", property(lambda self: True))


def refuse_as_not_run(patch: pytest.MonkeyPatch) -> None:
    refuse = Gateway.send_refusal
    patch.setattr(
        Gateway,
        "send_refusal",
        lambda self, reply, admitted, status, reason: refuse(self, reply, admitted, 503, reason),
    )


def trust_outdated_reads(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoreView, "proof_age_s", lambda self, at_s: 0.0)


def trust_every_peer(patch: pytest.MonkeyPatch) -> None:
    judge = SharedView._evaluate_reply

    def judge_as_fresh(
        self: SharedView, reply: ViewReply | None, called_s: float, offset: int
    ) -> object:
        if reply is not None:
            reply = replace(reply, age_s=0.0)
        return judge(self, reply, called_s, offset)

    patch.setattr(SharedView, "_evaluate_reply", judge_as_fresh)


def report_no_changes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SharedView, "_record_changes", lambda self, batch, is_snapshot, was_away: None)


def forward_partial_events(patch: pytest.MonkeyPatch) -> None:
    feed = EventSplitter.feed

    def feed_all(self: EventSplitter, data: bytes) -> bytes:
        whole = feed(self, data)
        partial, self._partial = self._partial, b""
        return whole + partial

    patch.setattr(EventSplitter, "feed", feed_all)


def send_to_draining_endpoints(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Endpoint, "accepts_work", lambda self, now_s: True)
    patch.setattr(Members, "in_service", lambda self: list(self.by_incarnation.values()))


def never_time_out(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ProxiedRequest, "_on_deadline", lambda self: None)


def accept_unsigned_successes(patch: pytest.MonkeyPatch) -> None:
    on_success = ProxiedRequest._on_success

    def signed(self: ProxiedRequest, head: ReplyHead) -> None:
        on_success(self, ReplyHead(head.status, head.headers, head.call_id, is_signed=True))

    patch.setattr(ProxiedRequest, "_on_success", signed)


def keep_finished_calls(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Gateway, "release_call", lambda self, placed, is_failure: None)


MUTATIONS = (
    repeat_every_call,
    refuse_as_not_run,
    trust_outdated_reads,
    trust_every_peer,
    report_no_changes,
    forward_partial_events,
    send_to_draining_endpoints,
    never_time_out,
    accept_unsigned_successes,
    keep_finished_calls,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_a_deliberate_violation_is_detected(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch
):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(DirectMachine, settings=SETTINGS)
