"""Stateful fuzzing of the direct path, checked against the calls and replies that were seen."""

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from umberhitch.core.direct import EndpointState, RouteKind
from umberhitch.fakes import Reply
from umberhitch.ports.direct import CallFailure
from umberhitch.testing import (
    DirectAsk,
    DirectWorld,
    make_direct_document,
    make_endpoint_entry,
    make_route,
)

ROUTERS = ("r1", "r2")
ENDPOINTS = ("e1", "e2", "e3")
EVENTS = 6
REVOKE_S = 5.0
DRAIN_S = 2.0
RETRY_S = 1.0
"""Seconds that a router needs to reconnect to the store; the platform's rules allow more."""
TIMEOUT_S = 5.0
WHOLE = b"".join(b"id: %d\ndata: e%d\n\n" % (each, each) for each in range(1, EVENTS + 1))
FAULTS = {
    "good": Reply(events=EVENTS),
    "slow": Reply(events=EVENTS, delay_s=0.6, gap_s=0.3),
    "error": Reply(status=500, body=b"error"),
    "unsigned": Reply(is_signed=False),
    "shed": Reply(status=503, not_run=True, is_signed=False, body=b""),
    "moved": Reply(status=421, not_run=True, is_elsewhere=True, is_signed=False, body=b""),
    "broken": Reply(failure=CallFailure.BROKEN),
    "unreached": Reply(failure=CallFailure.NOT_SENT),
    "silent": Reply(is_silent=True),
    "torn": Reply(events=EVENTS, break_after=2),
}


@dataclass
class SentRequest:
    """A request, with the data that the invariants need."""

    req: DirectAsk
    route: str
    key: str
    at_s: float


class DirectMachine(RuleBasedStateMachine):
    """Two routers, three endpoints and a store, any of which may fail at any time."""

    @initialize()
    def begin(self) -> None:
        """Start a deployment."""
        self.world = DirectWorld()
        for name in ENDPOINTS:
            self.world.add_endpoint(name).reply = FAULTS["good"]
        self.keys = {"k1", "k2"}
        self.revoked_s: dict[str, float] = {}
        self.number = 1
        self.publish()
        for name in ROUTERS:
            self.world.add_router(name)
        self.world.run(0.2)
        self.sent: list[SentRequest] = []
        self.draining_s: dict[str, float] = {}

    def publish(self) -> None:
        """Write a document with the current keys."""
        routes = (
            make_route("look"),
            make_route("order", RouteKind.NON_IDEMPOTENT, max_attempts=3),
            make_route("draft", RouteKind.STREAM),
        )
        document = make_direct_document(self.number, routes, tuple(sorted(self.keys)))
        self.world.operator.put("config", document)

    @property
    def now_s(self) -> float:
        """Time of the virtual clock."""
        return self.world.clock.seconds()

    @rule(
        router=st.sampled_from(ROUTERS),
        route=st.sampled_from(("look", "order", "draft")),
        key=st.sampled_from(("k1", "k2")),
    )
    def send(self, router: str, route: str, key: str) -> None:
        """Send a request."""
        req = self.world.ask(self.world.routers[router], f"/{route}/x", key=key)
        self.sent.append(SentRequest(req, route, key, self.now_s))

    @rule(
        name=st.sampled_from(ENDPOINTS),
        fault=st.sampled_from(sorted(FAULTS)),
        is_everywhere=st.booleans(),
    )
    def change_endpoint(self, name: str, fault: str, is_everywhere: bool) -> None:
        """Change how one endpoint, or each of them, answers."""
        for each in ENDPOINTS if is_everywhere else (name,):
            self.world.endpoints.by_address[f"@{each}"].reply = FAULTS[fault]

    @rule(
        route=st.sampled_from(("look", "order", "draft")),
        fault=st.sampled_from(sorted(FAULTS)),
        key=st.sampled_from(("k1", "k2")),
    )
    def send_into(self, route: str, fault: str, key: str) -> None:
        """Send a request while every endpoint answers in one way, and run for a short time."""
        self.change_endpoint(ENDPOINTS[0], fault, True)
        self.send("r1", route, key)
        self.world.run(0.5)

    @rule(route=st.sampled_from(("look", "order", "draft")))
    def calm_down(self, route: str) -> None:
        """Restore store and processes, wait until all changes are known, and send requests."""
        self.hold_link(False)
        for router in ROUTERS:
            self.cut_store(router, False)
            self.freeze(router, False)
        self.world.run(6.0)
        self.endpoints_that_drain_get_nothing_new()
        for router in ROUTERS:
            self.send(router, route, "k1")
        self.world.run(0.3)

    @rule(name=st.sampled_from(ENDPOINTS), is_draining=st.booleans())
    def register(self, name: str, is_draining: bool) -> None:
        """Register an endpoint as ready or draining."""
        state = EndpointState.DRAINING if is_draining else EndpointState.READY
        self.world.registry.put(name, make_endpoint_entry(name, state=state))
        if is_draining:
            self.draining_s.setdefault(name, self.now_s)
        else:
            self.draining_s.pop(name, None)

    @rule(key=st.sampled_from(("k1", "k2")))
    def revoke(self, key: str) -> None:
        """Revoke a key."""
        self.keys.discard(key)
        self.revoked_s.setdefault(key, self.now_s)
        self.number += 1
        self.publish()

    @rule(router=st.sampled_from(ROUTERS), key=st.sampled_from(("k1", "k2")))
    def use_late(self, router: str, key: str) -> None:
        """Revoke a key while a router is cut off from the store; use it there after the bound."""
        self.cut_store(router, True)
        self.revoke(key)
        self.world.run(REVOKE_S + 0.1)
        self.send(router, "look", key)
        self.world.run(0.3)

    @rule(router=st.sampled_from(ROUTERS), is_down=st.booleans())
    def cut_store(self, router: str, is_down: bool) -> None:
        """Cut a router off from the store, or reconnect it."""
        if is_down != self.world.routers[router].faults.is_down:
            self.draining_s = dict.fromkeys(self.draining_s, self.now_s)
        self.world.routers[router].faults.is_down = is_down

    @rule(router=st.sampled_from(ROUTERS), is_paused=st.booleans())
    def freeze(self, router: str, is_paused: bool) -> None:
        """Freeze a router's process, or resume it: first its due timers, then its messages."""
        clock, link = self.world.routers[router].clock, self.world.network.links[router]
        if clock.is_paused and not is_paused:
            clock.resume()
            link.resume()
        clock.is_paused = link.is_paused = is_paused
        self.draining_s = dict.fromkeys(self.draining_s, self.now_s)

    @rule(is_held=st.booleans())
    def hold_link(self, is_held: bool) -> None:
        """Delay the messages between routers, or deliver all of them."""
        if is_held:
            self.world.network.hold_where(lambda sender, receiver, message: True)
        else:
            self.world.network.release()

    @rule(key=st.sampled_from(("k1", "k2")))
    def use_late_everywhere(self, key: str) -> None:
        """Revoke a key while no router reaches the store, and use it after the bound."""
        for router in ROUTERS:
            self.cut_store(router, True)
        self.revoke(key)
        self.world.run(REVOKE_S + 0.1)
        for router in ROUTERS:
            self.send(router, "look", key)
        self.world.run(0.3)

    @rule(index=st.integers(0, 5))
    def leave(self, index: int) -> None:
        """Let a caller disconnect."""
        open_reqs = [each for each in self.sent if not each.req.reply.is_over]
        if open_reqs:
            cancelled = open_reqs[index % len(open_reqs)]
            cancelled.req.leave()
            self.sent.remove(cancelled)

    @rule()
    def forget_history(self) -> None:
        """Drop the history of the store."""
        self.world.operator.forget_history()
        self.world.registry.forget_history()

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 6.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.run(seconds)

    def runs(self, call_id: str) -> int:
        """Return how many times a request ran."""
        return sum(each.ran.count(call_id) for each in self.world.endpoints.by_address.values())

    @invariant()
    def no_request_runs_twice_that_must_not(self) -> None:
        """Property TWICE; also, a refusal that states that the request did not run is true."""
        for each in self.sent:
            count = self.runs(each.req.call_id)
            if each.route == "order":
                assert count <= 1, each
            if each.req.status == 503:
                assert count == 0, each

    @invariant()
    def answers_are_whole_or_do_not_look_so(self) -> None:
        """Properties MIXED and ORDER."""
        for each in self.sent:
            reply = each.req.reply
            if reply.status == 200 and reply.is_complete:
                assert reply.body == WHOLE, each
            if reply.status == 200:
                assert WHOLE.startswith(reply.body), each

    @invariant()
    def keys_that_were_taken_away_have_no_effect(self) -> None:
        """A request that is sent after the bound does not run."""
        for each in self.sent:
            revoked_s = self.revoked_s.get(each.key)
            if revoked_s is not None and each.at_s > revoked_s + REVOKE_S:
                assert self.runs(each.req.call_id) == 0, each

    @invariant()
    def endpoints_that_drain_get_nothing_new(self) -> None:
        """Property DRAIN, for running routers that reach the store."""
        routers = self.world.routers.values()
        if any(each.faults.is_down or each.clock.is_paused for each in routers):
            self.draining_s = dict.fromkeys(self.draining_s, self.now_s)
            return
        for name, draining_since_s in self.draining_s.items():
            calls = self.world.endpoints.by_address[f"@{name}"].called_s
            assert not [at_s for at_s in calls if at_s > draining_since_s + DRAIN_S + RETRY_S], name

    def teardown(self) -> None:
        """Run to the end: each request has its final answer in time, and no call is left."""
        if not hasattr(self, "sent"):
            return
        for router in ROUTERS:
            self.freeze(router, False)
        self.world.run(TIMEOUT_S + 0.5)
        for each in self.sent:
            assert each.req.reply.is_over, each
        for router in self.world.routers.values():
            assert not router.gateway.running_requests
            assert router.gateway.placement.own_load() == {}
        self.no_request_runs_twice_that_must_not()
        self.answers_are_whole_or_do_not_look_so()
        self.keys_that_were_taken_away_have_no_effect()


TestDirect = DirectMachine.TestCase
TestDirect.settings = settings(max_examples=60, stateful_step_count=40)
