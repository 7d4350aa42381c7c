"""Stateful fuzzing of endpoints that leave or rest, beside limits and all that fails there."""

from collections.abc import Callable

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule, run_state_machine_as_test

from umberhitch.core.direct import ClosedEndpoints, Placement
from umberhitch.fakes import FakeEndpoint, Reply
from umberhitch.tasks.direct.send_gate import SendGate
from umberhitch.tasks.direct.tests.test_limit_fuzz import REPLY_S, ROUTERS, LimitMachine
from umberhitch.testing import make_endpoint_entry, sent_after_leaving, sent_while_resting

SPEAKING = ("w0", "w1", "w2")


class SignalMachine(LimitMachine):
    """Besides limits: endpoints leave, rest, serve again, lapse, are born anew."""

    @initialize()
    def begin(self) -> None:
        """Start a deployment with endpoints that say something."""
        super().begin()
        self.ever: list[FakeEndpoint] = []
        self.born = dict.fromkeys(SPEAKING, 0)
        for name in SPEAKING:
            self.bear(name)

    def bear(self, name: str) -> None:
        """Start an endpoint, perhaps again."""
        self.born[name] += 1
        endpoint = self.world.add_endpoint(name, born=self.born[name])
        endpoint.reply = Reply(delay_s=REPLY_S)
        self.ever.append(endpoint)

    def speaking(self, name: str) -> FakeEndpoint:
        """Return the endpoint of a name."""
        return self.world.endpoints.by_address[f"@{name}"]

    @rule(name=st.sampled_from(SPEAKING))
    def leave(self, name: str) -> None:
        """Let an endpoint say that it leaves; its entry says nothing."""
        self.speaking(name).is_draining = True

    @rule(name=st.sampled_from(SPEAKING), rests_s=st.sampled_from((None, 0.2, 2.0, 8.0)))
    def rest(self, name: str, rests_s: float | None) -> None:
        """Let an endpoint refuse and want nothing for so long, or serve again."""
        self.speaking(name).rests_s = rests_s

    @rule(name=st.sampled_from(SPEAKING))
    def press_while_resting(self, name: str) -> None:
        """Let callers come to all routers as an endpoint begins to rest, and well within that."""
        self.rest(name, 8.0)
        for _ in range(2):
            self.crowd(set(ROUTERS), 6)
            self.world.run(3.0)

    @rule(name=st.sampled_from(SPEAKING))
    def be_born_again(self, name: str) -> None:
        """Let an endpoint start again under its name: what it said before is over."""
        self.bear(name)

    @rule(name=st.sampled_from(SPEAKING), seconds=st.sampled_from((0.5, 3.0)))
    def lapse(self, name: str, seconds: float) -> None:
        """Let its entry go, and come back as it was."""
        self.world.registry.put(name, None)
        self.world.run(seconds)
        self.world.registry.put(name, make_endpoint_entry(name, born=self.born[name]))

    @rule(name=st.sampled_from(ROUTERS))
    def restart(self, name: str) -> None:
        """Let a router lose power, and another start under its name: it was told nothing."""
        super().restart(name)
        for each in self.ever:
            each.drain_words = [word for word in each.drain_words if word[0] != name]
            each.rest_words = [word for word in each.rest_words if word[0] != name]

    @invariant()
    def words_are_kept(self) -> None:
        """By each router that was told."""
        for each in getattr(self, "ever", ()):
            assert sent_after_leaving(each) == []
            assert set(sent_while_resting(each)) <= {0}


TestWords = SignalMachine.TestCase
TestWords.settings = settings(max_examples=25, stateful_step_count=20, deadline=None)


def nothing_is_heard(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SendGate, "heard", lambda self, lifetime, head: None)


def leaving_is_forgotten(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClosedEndpoints, "apply_draining", lambda self, *word: False)


def rests_are_cut_short(patch: pytest.MonkeyPatch) -> None:
    """Nor is an endpoint that has refused any less attractive, which would hide it mostly."""
    patch.setattr(Placement, "note_refused", lambda self, placed, now_s: None)
    take = ClosedEndpoints.apply_backoff
    patch.setattr(
        ClosedEndpoints,
        "apply_backoff",
        lambda self, lifetime, rest_s, *more: take(self, lifetime, rest_s / 3, *more),
    )


@pytest.mark.parametrize(
    "mutate",
    [nothing_is_heard, leaving_is_forgotten, rests_are_cut_short],
    ids=lambda each: each.__name__,
)
def test_a_deliberate_break_is_caught(mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch):
    mutate(monkeypatch)
    quick = settings(
        max_examples=60,
        stateful_step_count=15,
        phases=(Phase.generate,),
        deadline=None,
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(SignalMachine, settings=quick)
