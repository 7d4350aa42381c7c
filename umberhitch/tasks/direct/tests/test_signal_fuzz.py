"""Stateful fuzzing of endpoints that drain or back off, combined with limits and failures."""

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

SIGNALLING = ("w0", "w1", "w2")


class SignalMachine(LimitMachine):
    """Adds endpoints that drain, back off, recover, lapse from the registry and restart."""

    @initialize()
    def begin(self) -> None:
        """Start a deployment with endpoints that send signals."""
        super().begin()
        self.all_endpoints: list[FakeEndpoint] = []
        self.starts = dict.fromkeys(SIGNALLING, 0)
        for name in SIGNALLING:
            self.start_endpoint(name)

    def start_endpoint(self, name: str) -> None:
        """Start or restart an endpoint."""
        self.starts[name] += 1
        endpoint = self.world.add_endpoint(name, born=self.starts[name])
        endpoint.reply = Reply(delay_s=REPLY_S)
        self.all_endpoints.append(endpoint)

    def endpoint_named(self, name: str) -> FakeEndpoint:
        """Return the endpoint with a name."""
        return self.world.endpoints.by_address[f"@{name}"]

    @rule(name=st.sampled_from(SIGNALLING))
    def drain(self, name: str) -> None:
        """Let an endpoint report draining, while its registry entry does not."""
        self.endpoint_named(name).is_draining = True

    @rule(name=st.sampled_from(SIGNALLING), rests_s=st.sampled_from((None, 0.2, 2.0, 8.0)))
    def back_off(self, name: str, rests_s: float | None) -> None:
        """Let an endpoint refuse with a back-off in seconds, or serve again."""
        self.endpoint_named(name).rests_s = rests_s

    @rule(name=st.sampled_from(SIGNALLING))
    def send_requests_during_backoff(self, name: str) -> None:
        """Send requests to all routers at the start of a back-off and well within it."""
        self.back_off(name, 8.0)
        for _ in range(2):
            self.crowd(set(ROUTERS), 6)
            self.world.run(3.0)

    @rule(name=st.sampled_from(SIGNALLING))
    def restart_endpoint(self, name: str) -> None:
        """Restart an endpoint under its name, so that its earlier signals end."""
        self.start_endpoint(name)

    @rule(name=st.sampled_from(SIGNALLING), seconds=st.sampled_from((0.5, 3.0)))
    def lapse_entry(self, name: str, seconds: float) -> None:
        """Let the registry entry of an endpoint lapse and return unchanged."""
        self.world.registry.put(name, None)
        self.world.run(seconds)
        self.world.registry.put(name, make_endpoint_entry(name, born=self.starts[name]))

    @rule(name=st.sampled_from(ROUTERS))
    def restart(self, name: str) -> None:
        """Replace a router, after a power loss, by a new one that has received no signals."""
        super().restart(name)
        for each in self.all_endpoints:
            each.drain_words = [word for word in each.drain_words if word[0] != name]
            each.rest_words = [word for word in each.rest_words if word[0] != name]

    @invariant()
    def signals_are_respected(self) -> None:
        """Check each router that received a signal."""
        for each in getattr(self, "all_endpoints", ()):
            assert sent_after_leaving(each) == []
            assert set(sent_while_resting(each)) <= {0}


TestSignals = SignalMachine.TestCase
TestSignals.settings = settings(max_examples=25, stateful_step_count=20, deadline=None)


def signals_are_not_applied(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SendGate, "apply_head", lambda self, lifetime, head: None)


def draining_signals_are_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClosedEndpoints, "apply_draining", lambda self, *word: False)


def backoffs_are_shortened(patch: pytest.MonkeyPatch) -> None:
    """Refusals are not recorded either, since the lower rank of the endpoint would hide this."""
    patch.setattr(Placement, "note_refused", lambda self, placed, now_s: None)
    take = ClosedEndpoints.apply_backoff
    patch.setattr(
        ClosedEndpoints,
        "apply_backoff",
        lambda self, lifetime, rest_s, *more: take(self, lifetime, rest_s / 3, *more),
    )


@pytest.mark.parametrize(
    "mutate",
    [signals_are_not_applied, draining_signals_are_ignored, backoffs_are_shortened],
    ids=lambda each: each.__name__,
)
def test_mutations_are_detected(mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch):
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
