"""The oracle of the fuzz is worth something: each deliberate break of a rule is caught by it."""

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


def repeat_everything(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Route, "is_repeatable", property(lambda self: True))


def refuse_as_not_run(patch: pytest.MonkeyPatch) -> None:
    refuse = Gateway.send_refusal
    patch.setattr(
        Gateway,
        "send_refusal",
        lambda self, reply, permit, status, reason: refuse(self, reply, permit, 503, reason),
    )


def trust_old_proof(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoreView, "proof_age_s", lambda self, at_s: 0.0)


def believe_every_peer(patch: pytest.MonkeyPatch) -> None:
    judge = SharedView._evaluate_reply

    def as_if_fresh(
        self: SharedView, reply: ViewReply | None, called_s: float, offset: int
    ) -> object:
        if reply is not None:
            reply = replace(reply, age_s=0.0)
        return judge(self, reply, called_s, offset)

    patch.setattr(SharedView, "_evaluate_reply", as_if_fresh)


def keep_drains_to_oneself(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SharedView, "_record_changes", lambda self, batch, is_snapshot, was_away: None)


def pass_on_pieces_of_events(patch: pytest.MonkeyPatch) -> None:
    feed = EventSplitter.feed

    def whole_and_rest(self: EventSplitter, data: bytes) -> bytes:
        whole = feed(self, data)
        rest, self._partial = self._partial, b""
        return whole + rest

    patch.setattr(EventSplitter, "feed", whole_and_rest)


def send_to_draining_endpoints(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Endpoint, "accepts_work", lambda self, now_s: True)
    patch.setattr(Members, "in_service", lambda self: list(self.by_incarnation.values()))


def never_give_up(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ProxiedRequest, "_on_deadline", lambda self: None)


def take_unsigned_successes(patch: pytest.MonkeyPatch) -> None:
    on_success = ProxiedRequest._on_success

    def signed(self: ProxiedRequest, head: ReplyHead) -> None:
        on_success(self, ReplyHead(head.status, head.headers, head.call_id, is_signed=True))

    patch.setattr(ProxiedRequest, "_on_success", signed)


def hold_what_has_ended(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Gateway, "release_call", lambda self, placed, is_failure: None)


MUTATIONS = (
    repeat_everything,
    refuse_as_not_run,
    trust_old_proof,
    believe_every_peer,
    keep_drains_to_oneself,
    pass_on_pieces_of_events,
    send_to_draining_endpoints,
    never_give_up,
    take_unsigned_successes,
    hold_what_has_ended,
)


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_a_deliberate_break_is_caught(mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(DirectMachine, settings=SETTINGS)
