"""Stateful fuzzing of advertised limits, checked against what endpoints advertised and received."""

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from umberhitch.core.direct import FleetShare
from umberhitch.core.direct._fleet_share import _RouterList
from umberhitch.fakes import Reply
from umberhitch.tasks.direct.send_gate import SendGate
from umberhitch.testing import LIMIT_SPAN_S, DirectWorld, limit_bound, make_direct_document

ROUTERS = tuple(f"r{number}" for number in range(10))
"""More routers than the bound allows if each used the first router's quota."""
LIMITED = ("l0", "l1")
RATES = (0.5, 2.0, 6.0)
REPLY_S = 0.05
CONTACT_S = 3.0
"""Seconds after an endpoint first advertises a limit from which the bound holds."""
LIMIT_KNOWN_S = 0.5
"""Seconds after a router has forwarded an answer with a limit from which its calls count."""


@dataclass
class AdvertisedRates:
    """The rates that one endpoint has advertised, and the routers that have forwarded them.

    Attributes
    ----------
    rates : list of (float, float or None)
        Times from which the endpoint advertised a rate, or none, in chronological order.
    told_s : dict of str to float
        By router, when it forwarded the first answer with a limit since the limit began.
    """

    rates: list[tuple[float, float | None]] = field(default_factory=list)
    known_s: dict[str, float] = field(default_factory=dict)
    collected_calls: int = 0
    """Number of calls that were collected."""
    counted_s: list[float] = field(default_factory=list)
    """Arrival times of the calls that count."""

    @property
    def since_s(self) -> float | None:
        """Time since which the endpoint has advertised a rate without interruption."""
        since_s = None
        for at_s, rate in self.rates:
            since_s = None if rate is None else at_s if since_s is None else since_s
        return since_s

    def highest(self, now_s: float) -> float:
        """Return the maximum rate in the last span and the contact time before it."""
        start_s = now_s - LIMIT_SPAN_S - CONTACT_S
        standing = [rate for at_s, rate in self.rates if at_s <= start_s][-1:]
        later = [rate for at_s, rate in self.rates if at_s > start_s]
        return max((rate for rate in (*standing, *later) if rate is not None), default=0.0)


class LimitMachine(RuleBasedStateMachine):
    """Ten routers and endpoints with changing limits, any of which may fail at any time."""

    @initialize()
    def begin(self) -> None:
        """Start a deployment."""
        self.world = DirectWorld()
        self.advertised = {name: AdvertisedRates() for name in LIMITED}
        self.router_of: dict[str, str] = {}
        for name in (*LIMITED, "f0"):
            self.world.add_endpoint(name).reply = Reply(delay_s=REPLY_S)
        self.number = 0
        self.change()
        for name in ROUTERS:
            self.world.add_router(name, is_strict=False)
        self.world.run(6.0)

    @property
    def now_s(self) -> float:
        """Time of the virtual clock."""
        return self.world.clock.seconds()

    @rule(name=st.sampled_from(LIMITED), rate=st.sampled_from((None, *RATES)))
    def name_rate(self, name: str, rate: float | None) -> None:
        """Let an endpoint advertise a rate from now on, or none."""
        self.collect_calls()
        advertised = self.advertised[name]
        if rate is None:
            advertised.known_s.clear()
        advertised.rates.append((self.now_s, rate))
        self.world.endpoints.by_address[f"@{name}"].limit_rate = rate

    @rule(names=st.sets(st.sampled_from(ROUTERS), min_size=1), count=st.integers(1, 12))
    def crowd(self, names: set[str], count: int) -> None:
        """Send requests to routers in quick succession."""
        for _ in range(count):
            for name in sorted(names):
                if not self.world.routers[name].clock.is_paused:
                    req = self.world.ask(self.world.routers[name], "/look/x")
                    self.router_of[req.call_id] = name
            self.world.run(0.05)

    @rule(rate=st.sampled_from(RATES), name=st.sampled_from(LIMITED))
    def press(self, name: str, rate: float) -> None:
        """Keep a limit for longer than the contact time, and send requests to all routers."""
        self.name_rate(name, rate)
        for _ in range(4):
            self.crowd(set(ROUTERS), 20)

    @rule(name=st.sampled_from(ROUTERS), is_down=st.booleans())
    def cut_store(self, name: str, is_down: bool) -> None:
        """Cut a router off from the store, or reconnect it."""
        self.world.routers[name].faults.is_down = is_down

    @rule(one=st.sampled_from(ROUTERS), other=st.sampled_from(ROUTERS), is_cut=st.booleans())
    def cut_peers(self, one: str, other: str, is_cut: bool) -> None:
        """Cut two routers off from each other, or reconnect them."""
        if is_cut:
            self.world.network.cut(one, other)
        else:
            self.world.network.mend(one, other)

    @rule(drop=st.sampled_from((0.0, 0.3)), late=st.sampled_from((0.0, 0.3)))
    def lose_messages(self, drop: float, late: float) -> None:
        """Lose or delay messages between routers."""
        self.world.network.faults.drop = drop
        self.world.network.faults.late = late

    @rule(name=st.sampled_from(ROUTERS))
    def restart(self, name: str) -> None:
        """Kill a router, and start another one under its name."""
        self.collect_calls()
        self.world.kill_router(name)
        self.world.run(0.5)
        self.world.add_router(name, is_strict=False)
        for advertised in self.advertised.values():
            advertised.known_s.pop(name, None)

    @rule()
    def restart_all(self) -> None:
        """Kill and restart all routers."""
        for name in ROUTERS:
            self.restart(name)

    @rule(name=st.sampled_from(ROUTERS), seconds=st.sampled_from((0.5, 4.0, 12.0)))
    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a router's process for a while."""
        clock, link = self.world.routers[name].clock, self.world.network.links[name]
        clock.is_paused = link.is_paused = True
        self.world.run(seconds)
        clock.resume()
        link.resume()
        clock.is_paused = link.is_paused = False

    @rule()
    def change(self) -> None:
        """Write another configuration, and drop the history."""
        self.number += 1
        self.world.operator.put("config", make_direct_document(self.number))
        self.world.operator.forget_history()
        self.world.registry.forget_history()

    @rule(seconds=st.sampled_from((0.1, 1.0, 6.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.run(seconds)

    def collect_calls(self) -> None:
        """Collect the calls that endpoints received since the last time."""
        for name, advertised in self.advertised.items():
            endpoint = self.world.endpoints.by_address[f"@{name}"]
            calls = list(zip(endpoint.calls, endpoint.called_s, strict=True))[
                advertised.collected_calls :
            ]
            advertised.collected_calls += len(calls)
            for call, at_s in calls:
                self.count_call(advertised, self.router_of.get(call.call_id, ""), at_s)

    def count_call(self, advertised: AdvertisedRates, router: str, at_s: float) -> None:
        """Count a call if its router knew the limit."""
        known_s = advertised.known_s.get(router)
        if known_s is not None and at_s >= known_s + LIMIT_KNOWN_S:
            advertised.counted_s.append(at_s)
        if known_s is None and advertised.since_s is not None:
            advertised.known_s[router] = max(at_s, advertised.since_s) + REPLY_S

    @invariant()
    def limits_are_kept(self) -> None:
        """The routers that know a limit keep it together, even if cut off from each other."""
        self.collect_calls()
        for name, advertised in self.advertised.items():
            since_s = advertised.since_s
            if since_s is None:
                continue
            times = [at_s for at_s in advertised.counted_s if at_s >= since_s + CONTACT_S]
            for index, first in enumerate(times):
                calls_in_span = bisect_left(times, first + LIMIT_SPAN_S) - index
                assert calls_in_span <= limit_bound(advertised.highest(first + LIMIT_SPAN_S)), name


TestLimits = LimitMachine.TestCase
TestLimits.settings = settings(max_examples=25, stateful_step_count=20, deadline=None)


def every_router_uses_the_first_quota(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(_RouterList, "rank", lambda self, lifetime, router: 0)


def no_call_is_counted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FleetShare, "note_sent", lambda self, lifetime, now_s: None)


def no_limit_is_received(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SendGate, "apply_head", lambda self, endpoint, head: None)


@pytest.mark.parametrize(
    "mutate",
    [every_router_uses_the_first_quota, no_call_is_counted, no_limit_is_received],
    ids=lambda each: each.__name__,
)
def test_a_deliberate_violation_is_detected(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch
):
    mutate(monkeypatch)
    quick = settings(
        max_examples=40,
        stateful_step_count=12,
        phases=(Phase.generate,),
        deadline=None,
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(LimitMachine, settings=quick)
