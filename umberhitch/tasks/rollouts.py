"""Drives roll-outs while this router holds the lease for them."""

from collections.abc import Callable
from dataclasses import replace
from logging import getLogger
from typing import Any

from automat import NoTransition
from msgspec import to_builtins
from twisted.internet.defer import Deferred

from umberhitch.config import (
    Change,
    Kind,
    Put,
    Rollout,
    RolloutState,
    Verdict,
    Version,
    VersionState,
)
from umberhitch.core.rollout import (
    EndpointView,
    LoadEndpoint,
    RolloutView,
    UpdatePlan,
    is_restorable,
    make_rollout_lifecycle,
    next_step,
    restored_version,
)
from umberhitch.errors import UmberhitchError
from umberhitch.ports import Clock
from umberhitch.tasks.evidence import EvidenceTask
from umberhitch.tasks.leases import LeaseManager
from umberhitch.tasks.router_parts import RouterParts
from umberhitch.wire import LoadOrder, LoadOrderReply

__all__ = ["ROLLOUT_LEASE", "RolloutDriver", "RolloutError"]

log = getLogger(__name__)

ROLLOUT_LEASE = "rollouts"
ORDER_RESEND_S = 1.0


class RolloutError(UmberhitchError):
    """An operator's command is invalid in the state of the roll-out."""


class RolloutDriver:
    """Decides the steps of roll-outs, and sends load orders to agents.

    Parameters
    ----------
    router : RouterParts
    evidence : EvidenceTask
    lease : LeaseManager
    clock : Clock
    wall_s : callable
        Returns seconds since the epoch.
    """

    def __init__(
        self,
        router: RouterParts,
        evidence: EvidenceTask,
        lease: LeaseManager,
        clock: Clock,
        wall_s: Callable[[], float],
    ) -> None:
        self._router = router
        self._evidence = evidence
        self._lease = lease
        self._clock = clock
        self._wall_s = wall_s
        self._orders: dict[str, tuple[LoadOrder, float]] = {}
        self._pending_change_id: str | None = None
        self._was_driving = False
        self._driving_since_s = 0.0
        self.refused_orders = 0

    # Commands of operators

    def command(self, action: str, version: str, previous: str | None) -> Deferred[Verdict]:
        """Execute an operator's command on a roll-out.

        Raises
        ------
        RolloutError
            If the command is invalid in the state of the roll-out.
        """
        feed = self._router.feed
        plan = feed.config.rollouts.get(version)
        if action == "start":
            plan = self._new_plan(version, previous)
        elif plan is None:
            raise RolloutError(f"there is no roll-out of {version}")
        else:
            plan = _apply_command(plan, action, self._wall_s())
        revision = feed.fold.revisions.get(f"rollouts/{version}", 0)
        ops: list[Any] = [Put(Kind.ROLLOUT, to_builtins(plan), revision)]
        old = feed.config.versions.get(plan.previous)
        if action == "roll back" and old is not None and is_restorable(old):
            ops.append(self._put_version(restored_version(old)))
        change = Change(f"rollout-{version}-{action}-{revision}", "operator", ops)
        return self._router.submit_change(change)

    def _new_plan(self, version: str, previous: str | None) -> Rollout:
        config = self._router.feed.config
        new = config.versions.get(version)
        if new is None:
            raise RolloutError(f"unknown version {version}")
        current = config.rollouts.get(version)
        if current is not None and current.state in (RolloutState.RUNNING, RolloutState.HELD):
            raise RolloutError(f"the roll-out of {version} is {current.state.value}")
        others = [
            other.key
            for other in config.versions_of(new.model)
            if other.key != version and other.state == "active"
        ]
        replaced = previous or (others[0] if len(others) == 1 else None)
        if replaced is None:
            raise RolloutError("say which version is replaced: roll out VERSION from VERSION")
        policy = config.policy
        old = config.versions.get(replaced)
        if old is None or old.state is not VersionState.ACTIVE:
            raise RolloutError(f"{replaced} is not an active version")
        return Rollout(
            version=version,
            previous=replaced,
            stages=policy.rollout_stages,
            stage_s=policy.rollout_stage_s,
            patience_s=policy.rollout_patience_s,
            min_answers=policy.rollout_min_answers,
        )

    def _put_version(self, ver: Version) -> Put:
        """Return the operation that replaces a version, conditional on the version's revision.

        Without the condition, a step that was decided just before a withdrawal would undo the
        withdrawal.
        """
        revision = self._router.feed.fold.revisions.get(f"versions/{ver.key}", 0)
        return Put(Kind.VERSION, to_builtins(ver), revision)

    # Steps of the driving router

    @property
    def is_driving(self) -> bool:
        """Whether this router holds the lease."""
        return self._lease.token is not None

    def tick(self) -> None:
        """Take the next step of each roll-out; called once per second."""
        token = self._lease.token
        if token is None:
            self._orders.clear()
            self._was_driving = False
            return
        if not self._was_driving:
            self._was_driving = True
            self._driving_since_s = self._wall_s()
            log.info("driving roll-outs", extra={"token": token})
        self._resend_orders()
        for plan in self._router.feed.config.rollouts.values():
            if plan.state is not RolloutState.DONE:
                self._drive(plan, token)

    def _drive(self, plan: Rollout, token: int) -> None:
        if plan.state is RolloutState.PLANNED:
            self._evidence.judge.set_predecessor(plan.version, plan.previous)
        match next_step(plan, self._make_view(plan)):
            case LoadEndpoint(endpoint=endpoint, target=target):
                self._send_order(endpoint, target, token)
            case UpdatePlan() as update:
                self._submit_step(plan, update)

    def _make_view(self, plan: Rollout) -> RolloutView:
        fleet, judge = self._router.fleet, self._evidence.judge
        rows = tuple(
            EndpointView(
                endpoint.name,
                endpoint.zone,
                endpoint.targets,
                endpoint.load(),
                endpoint.name in self._orders or endpoint.is_loading,
            )
            for endpoint in fleet.endpoints.values()
            if not fleet.is_excluded(endpoint)
        )
        return RolloutView(
            rows,
            self._router.feed.config.versions,
            judge.attempt_counts.get(plan.version, 0),
            judge.rating_counts.get(plan.version, 0),
            self._evidence.has_ratings,
            self._wall_s(),
            self._driving_since_s,
        )

    def _submit_step(self, plan: Rollout, update: UpdatePlan) -> None:
        """Submit a step as a change that is conditional on the plan's revision."""
        feed = self._router.feed
        revision = feed.fold.revisions.get(f"rollouts/{plan.version}", 0)
        ops: list[Any] = [Put(Kind.ROLLOUT, to_builtins(update.plan), revision)]
        ops += [self._put_version(ver) for ver in update.versions]
        newest = max(op.if_revision or 0 for op in ops)
        step = f"{update.plan.state.value}-{update.plan.stage}"
        change_id = f"rollout-{plan.version}-{step}-{revision}-{newest}"
        if self._pending_change_id == change_id:
            return
        self._pending_change_id = change_id
        judge = self._evidence.judge
        judge.attempt_counts.pop(plan.version, None)
        judge.rating_counts.pop(plan.version, None)
        log.info(
            "roll-out step",
            extra={
                "version": plan.version,
                "state": update.plan.state.value,
                "stage": update.plan.stage,
                "reason": update.plan.reason,
            },
        )
        author = f"router {self._router.settings.name}"
        submitted = self._router.submit_change(Change(change_id, author, ops))
        submitted.addErrback(lambda failure: None)

    def _send_order(self, endpoint: str, target: str, token: int) -> None:
        if endpoint in self._orders:
            return
        order = LoadOrder(token, f"{token}/{endpoint}/{target}", target)
        self._orders[endpoint] = (order, self._clock.seconds())
        self._router.send(endpoint, order)

    def _resend_orders(self) -> None:
        now = self._clock.seconds()
        for endpoint, (order, sent_s) in list(self._orders.items()):
            known = self._router.fleet.get(endpoint)
            if known is None or order.target in known.targets:
                del self._orders[endpoint]
            elif now - sent_s >= ORDER_RESEND_S:
                self._orders[endpoint] = (order, now)
                self._router.send(endpoint, order)

    def handle_reply(self, reply: LoadOrderReply) -> None:
        """Drop an order that its agent refused."""
        if reply.is_accepted:
            return
        self.refused_orders += 1
        for endpoint, (order, _) in list(self._orders.items()):
            if order.order_id == reply.order_id:
                del self._orders[endpoint]


def _apply_command(plan: Rollout, action: str, now_s: float) -> Rollout:
    """Return the plan after an operator's command; raise if its state does not permit it."""
    lifecycle, cell = make_rollout_lifecycle(plan.state)
    try:
        match action:
            case "hold":
                lifecycle.hold()
            case "go on":
                lifecycle.resume()
            case _:
                lifecycle.roll_back()
    except NoTransition as exc:
        raise RolloutError(f"a roll-out that is {plan.state.value} cannot {action}") from exc
    since_s = now_s if action == "go on" else plan.stage_since_s
    return replace(plan, state=cell.state, stage_since_s=since_s, reason=f"operator: {action}")
