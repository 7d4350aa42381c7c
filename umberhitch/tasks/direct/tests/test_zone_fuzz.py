"""Stateful fuzzing of zones out of service and cold endpoints, checked against received calls."""

from bisect import bisect_left
from collections.abc import Callable

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
from umberhitch.core.direct._members import Members
from umberhitch.fakes import Reply
from umberhitch.testing import DirectWorld, make_direct_document

ZONES = ("a", "b")
ROUTERS = tuple(f"r{number}" for number in range(10))
"""More routers than the bound allows if each sent one request per second."""
IN_FORCE_S = 5.0
RATE = 2.0
COLD_S = 8.0
BOUND = 1.5 * RATE + 5.0
MAX_ENDPOINTS = 9


class ZoneMachine(RuleBasedStateMachine):
    """Ten routers and two zones; cold endpoints start, routers and store fail at any time."""

    @initialize()
    def begin(self) -> None:
        """Start a deployment."""
        self.world = DirectWorld()
        self.zone_of: dict[str, str] = {}
        self.cold_until_s: dict[str, float] = {}
        self.out_s: dict[str, float] = {}
        for zone in ZONES:
            self.add_endpoint(zone, False)
        self.publish(1)
        for name in ROUTERS:
            self.world.add_router(name, zone="c")
        self.world.run(6.0)

    def publish(self, number: int) -> None:
        """Write a configuration whose endpoints may be cold."""
        self.number = number
        document = make_direct_document(number, cold_rate=RATE, cold_start_s=COLD_S)
        self.world.operator.put("config", document)

    @property
    def now_s(self) -> float:
        """Time of the virtual clock."""
        return self.world.clock.seconds()

    @rule(zone=st.sampled_from(ZONES), is_cold=st.booleans())
    def add_endpoint(self, zone: str, is_cold: bool) -> None:
        """Start an endpoint, perhaps a cold one."""
        if len(self.zone_of) >= MAX_ENDPOINTS:
            return
        name = f"{zone}{len(self.zone_of)}"
        self.zone_of[name] = zone
        cold_s = COLD_S if is_cold else 0.0
        self.world.add_endpoint(name, zone=zone, cold_s=cold_s).reply = Reply(delay_s=0.1)
        if is_cold:
            self.cold_until_s[name] = self.now_s + cold_s

    @rule(zone=st.sampled_from(ZONES), is_out=st.booleans())
    def change_zone(self, zone: str, is_out: bool) -> None:
        """Take a zone out of service, or restore it."""
        if is_out:
            self.world.take_out(zone)
            self.out_s.setdefault(zone, self.now_s)
        else:
            self.world.take_back(zone)
            self.out_s.pop(zone, None)

    @rule(names=st.sets(st.sampled_from(ROUTERS), min_size=1), count=st.integers(1, 12))
    def crowd(self, names: set[str], count: int) -> None:
        """Send requests to routers in quick succession."""
        for _ in range(count):
            for name in sorted(names):
                if not self.world.routers[name].clock.is_paused:
                    self.world.ask(self.world.routers[name], "/look/x")
            self.world.run(0.02)

    @rule(zone=st.sampled_from(ZONES))
    def use_zone_late(self, zone: str) -> None:
        """Take a zone out of service, and send requests when that must be in force."""
        for router in self.world.routers.values():
            router.faults.is_down = False
        self.change_zone(zone, True)
        self.restart_bounds()
        self.world.run(IN_FORCE_S + 0.1)
        self.crowd(set(ROUTERS), 2)
        self.zones_out_get_nothing_new()

    @rule(zone=st.sampled_from(ZONES))
    def rush(self, zone: str) -> None:
        """Start a cold endpoint, and send requests to all routers as soon as it is known."""
        self.add_endpoint(zone, True)
        self.world.run(1.2)
        self.crowd(set(ROUTERS), 12)

    @rule(name=st.sampled_from(ROUTERS), is_down=st.booleans())
    def cut_store(self, name: str, is_down: bool) -> None:
        """Cut a router off from the store, or reconnect it."""
        self.world.routers[name].faults.is_down = is_down
        self.restart_bounds()

    @rule(one=st.sampled_from(ROUTERS), other=st.sampled_from(ROUTERS), is_cut=st.booleans())
    def cut_peers(self, one: str, other: str, is_cut: bool) -> None:
        """Cut two routers off from each other, or reconnect them."""
        if is_cut:
            self.world.network.cut(one, other)
        else:
            self.world.network.mend(one, other)

    @rule(name=st.sampled_from(ROUTERS))
    def restart(self, name: str) -> None:
        """Kill a router, and start another one under its name."""
        self.world.kill_router(name)
        self.world.run(0.5)
        self.world.add_router(name, zone="c")
        self.restart_bounds()

    @rule()
    def restart_all(self) -> None:
        """Kill and restart all routers."""
        for name in ROUTERS:
            self.world.kill_router(name)
        self.world.run(0.5)
        for name in ROUTERS:
            self.world.add_router(name, zone="c")
        self.restart_bounds()

    @rule(name=st.sampled_from(ROUTERS), seconds=st.sampled_from((0.5, 4.0)))
    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a router's process for a while."""
        clock, link = self.world.routers[name].clock, self.world.network.links[name]
        clock.is_paused = link.is_paused = True
        self.world.run(seconds)
        clock.resume()
        link.resume()
        clock.is_paused = link.is_paused = False
        self.restart_bounds()

    @rule()
    def change(self) -> None:
        """Write another configuration, and drop the history."""
        self.publish(self.number + 1)
        self.world.operator.forget_history()
        self.world.registry.forget_history()

    @rule(seconds=st.sampled_from((0.1, 1.0, 6.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.run(seconds)

    def restart_bounds(self) -> None:
        """Restart the time until a change must be in force, since a router was disconnected."""
        self.out_s = dict.fromkeys(self.out_s, self.now_s)

    @invariant()
    def zones_out_get_nothing_new(self) -> None:
        """Holds after the bound, while all routers reach the store."""
        if any(each.faults.is_down for each in self.world.routers.values()):
            self.restart_bounds()
        for name, zone in self.zone_of.items():
            out_since_s = self.out_s.get(zone)
            if out_since_s is not None:
                calls = self.world.endpoints.by_address[f"@{name}"].called_s
                assert not [at_s for at_s in calls if at_s > out_since_s + IN_FORCE_S], name

    @invariant()
    def cold_endpoints_are_not_rushed(self) -> None:
        """The routers keep the bound together, even if cut off from each other."""
        for name, until_s in self.cold_until_s.items():
            times = sorted(self.world.endpoints.by_address[f"@{name}"].called_s)
            times = [each for each in times if each < until_s]
            for index, first in enumerate(times):
                assert bisect_left(times, first + 1.0) - index <= BOUND, name


TestZones = ZoneMachine.TestCase
TestZones.settings = settings(max_examples=25, stateful_step_count=25, deadline=None)


def no_zone_is_out(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Members, "_is_in_service", lambda self, endpoint: True)


def every_router_sends(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(_RouterList, "rank", lambda self, lifetime, router: 0)


def no_call_is_counted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FleetShare, "note_sent", lambda self, lifetime, now_s: None)


@pytest.mark.parametrize(
    "mutate",
    [no_zone_is_out, every_router_sends, no_call_is_counted],
    ids=lambda each: each.__name__,
)
def test_a_deliberate_violation_is_detected(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch
):
    mutate(monkeypatch)
    quick = settings(
        max_examples=60,
        stateful_step_count=20,
        phases=(Phase.generate,),
        deadline=None,
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ZoneMachine, settings=quick)
