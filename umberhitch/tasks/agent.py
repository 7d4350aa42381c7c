"""The agent, through which all calls reach its endpoint.

An agent checks permission, version and state against its own configuration, keeps the ledger of
attempts and the buffer of answers, queues by priority, and holds usage records until they are in
the log. While it drains, it refuses new work and finishes the rest.
"""

from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger

from twisted.internet.defer import Deferred

from umberhitch.config import Config
from umberhitch.core.attempt import AttemptEntry, AttemptState
from umberhitch.core.billing import cost_micros
from umberhitch.core.ledger import BelowFloor, Existing, Inserted, Ledger, LedgerFull
from umberhitch.core.outcome import Reason
from umberhitch.core.queue import WorkQueue
from umberhitch.ports import (
    BackendCall,
    BackendDone,
    BackendEvent,
    BackendFailed,
    BackendPort,
    BackendRefused,
    BackendText,
    Clock,
    LinkPort,
)
from umberhitch.tasks.agent_config import AgentConfig
from umberhitch.tasks.agent_settings import AgentCounters, AgentSettings
from umberhitch.tasks.loading import TargetLoader
from umberhitch.tasks.usage import UnconfirmedUsage
from umberhitch.wire import (
    URGENT_PRIORITY,
    AttemptAccepted,
    AttemptId,
    Cancel,
    Chunk,
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    EndpointState,
    Failed,
    Fetch,
    Finished,
    Heartbeat,
    Hello,
    LoadOrder,
    Message,
    Refused,
    Start,
    Usage,
    UsageConfirmation,
    UsageHandover,
    UsageRecord,
    Withdrawal,
)

__all__ = ["Agent", "AgentCounters", "AgentSettings"]

log = getLogger(__name__)

HEARTBEAT_SLACK_S = 0.05
"""Heartbeats due within this many seconds are sent in the current round."""
QUEUE_RETRY_AFTER_S = 1.0
MIN_SHARE = 0.01
"""Minimum queue share of a customer; a share of 0 would starve it."""
DRAINING_RETRY_AFTER_S = 0.2


@dataclass(slots=True)
class _RouterRecord:
    incarnation: int
    last_hello_s: float
    heartbeat_interval_s: float
    last_heartbeat_s: float = -1.0e9


class Agent:
    """One agent incarnation.

    Parameters
    ----------
    settings : AgentSettings
    clock : Clock
    wall_s : callable
        Returns seconds since the epoch; used only for the expiry of session tokens.
    link : LinkPort
    backend : BackendPort
    """

    def __init__(
        self,
        settings: AgentSettings,
        clock: Clock,
        wall_s: Callable[[], float],
        link: LinkPort,
        backend: BackendPort,
    ) -> None:
        self.settings = settings
        self.state = EndpointState.READY
        self.counters = AgentCounters()
        self._clock = clock
        self._link = link
        self._backend = backend
        self._config = AgentConfig(wall_s)
        self._ledger = Ledger(settings.ledger)
        self._queue = WorkQueue()
        self._running: dict[AttemptId, AttemptEntry] = {}
        self._routers: dict[str, _RouterRecord] = {}
        self._watchers: dict[AttemptId, set[str]] = {}
        self._loader = TargetLoader(
            backend, clock, settings.targets, settings.fencing_warm_up_s, self._targets_changed
        )
        self._awaiting_config: list[tuple[str, Start, float]] = []
        self._usage = UnconfirmedUsage()
        self._drained: Deferred[None] | None = None
        self._is_stopped = False

    # Life cycle

    def start(self) -> None:
        """Start to receive messages and to send heartbeats."""
        self._link.listen(self.receive)
        self._tick()

    def stop(self) -> None:
        """Stop all activity without draining, as if the process had exited."""
        self._is_stopped = True

    def drain(self) -> Deferred[None]:
        """Refuse new work; the Deferred fires once attempts are done and usage is confirmed."""
        self.state = EndpointState.DRAINING
        if self._drained is None:
            self._drained = Deferred()
            self._send_heartbeats()
            self._check_drained()
        return self._drained

    def _check_drained(self) -> None:
        done = self._drained
        if done is not None and not done.called and not self._ledger.live_count and not self._usage:
            done.callback(None)

    def _tick(self) -> None:
        if self._is_stopped:
            return
        self._send_heartbeats(is_change=False)
        self._expire_awaiting_config()
        self._expire_running()
        self._hand_over_usage()
        self._clock.callLater(self.settings.heartbeat_interval_s, self._tick)

    def _send_heartbeats(self, is_change: bool = True) -> None:
        """Send heartbeats, at once after a change or at the interval that each router asks for."""
        now = self._clock.seconds()
        heartbeat = self.make_heartbeat()
        for name, router in list(self._routers.items()):
            if now - router.last_hello_s > self.settings.router_timeout_s * max(
                1.0, router.heartbeat_interval_s
            ):
                del self._routers[name]
            elif (
                is_change
                or now - router.last_heartbeat_s >= router.heartbeat_interval_s - HEARTBEAT_SLACK_S
            ):
                router.last_heartbeat_s = now
                self._link.send(name, heartbeat)

    def make_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state."""
        cfg = self.settings
        return Heartbeat(
            cfg.endpoint,
            cfg.incarnation,
            cfg.zone,
            [] if self._loader.is_loading else list(self.targets),
            self.state,
            self.revision,
            len(self._running),
            len(self._queue),
            cfg.slots,
            self._loader.is_loading,
            self._count_urgent(),
        )

    def _count_urgent(self) -> int:
        entries = (*self._running.values(), *self._queue.items())
        return sum(
            entry.start is not None and entry.start.priority <= URGENT_PRIORITY for entry in entries
        )

    @property
    def revision(self) -> int:
        """Revision of the agent's configuration."""
        return self._config.revision

    @property
    def config(self) -> Config:
        """The agent's configuration."""
        return self._config.config

    @property
    def unconfirmed_usage(self) -> int:
        """Number of usage records not yet known to be in the log."""
        return len(self._usage)

    def holds_usage(self, request: str) -> bool:
        """Whether the agent holds the usage record of a request."""
        return request in self._usage

    # Messages

    def receive(self, sender: str, messages: list[Message]) -> None:
        """Handle messages from a router."""
        if self._is_stopped:
            return
        for message in messages:
            self._handle(sender, message)

    def _handle(self, sender: str, message: Message) -> None:
        match message:
            case Start():
                self._on_start(sender, message)
            case Cancel():
                self._on_cancel(sender, message)
            case Fetch():
                self._on_fetch(sender, message)
            case Hello():
                self._on_hello(sender, message)
            case ConfigRecords():
                self._on_records(sender, message)
            case ConfigSnapshot():
                self._on_snapshot(message)
            case UsageConfirmation():
                self._on_usage_confirmation(message)
            case LoadOrder():
                self._on_load_order(sender, message)
            case Withdrawal():
                self._config.withdraw_version(message)
                self._recheck_queue()
            case _:
                log.warning("unexpected message", extra={"message_type": type(message).__name__})

    def _on_hello(self, sender: str, hello: Hello) -> None:
        known = self._routers.get(sender)
        if known is not None and hello.incarnation < known.incarnation:
            return
        now = self._clock.seconds()
        self._loader.fence.observe(hello.token)
        router = self._routers[sender] = _RouterRecord(
            hello.incarnation, now, hello.heartbeat_interval_s
        )
        router.last_heartbeat_s = now if known is None else known.last_heartbeat_s
        if known is None or known.incarnation != hello.incarnation:
            self._link.send(sender, self.make_heartbeat())
        if hello.revision > self.revision:
            self._link.send(sender, ConfigRequest(self.revision))

    # Configuration

    def _on_records(self, sender: str, message: ConfigRecords) -> None:
        if not self._config.is_contiguous(message):
            self._link.send(sender, ConfigRequest(self.revision))
        elif self._config.apply_records(message):
            self._config_changed()

    def _on_snapshot(self, message: ConfigSnapshot) -> None:
        if self._config.apply_snapshot(message):
            self._config_changed()

    def _config_changed(self) -> None:
        waiting, self._awaiting_config = self._awaiting_config, []
        for sender, start, until_s in waiting:
            if start.revision > self.revision:
                self._awaiting_config.append((sender, start, until_s))
            else:
                self._admit(sender, start)
        self._recheck_queue()

    def _recheck_queue(self) -> None:
        for entry in self._queue.items():
            if entry.start is not None:
                reason = self._config.refusal(entry.start)
                if reason is not None:
                    self._queue.remove(entry)
                    self._finish(entry, Refused(entry.attempt, reason))

    def _expire_awaiting_config(self) -> None:
        now = self._clock.seconds()
        waiting, self._awaiting_config = self._awaiting_config, []
        for sender, start, until_s in waiting:
            if until_s > now:
                self._awaiting_config.append((sender, start, until_s))
            else:
                self._refuse_start(sender, start, Reason.STALE_CONFIG)

    def _expire_running(self) -> None:
        """Cancel attempts that run past their deadline; end those that the engine does not stop.

        Their routers have timed out by then; ending them frees the slots of an engine that hangs.
        """
        now = self._clock.seconds()
        grace_s = self.settings.overdue_grace_s
        for entry in list(self._running.values()):
            if now >= entry.deadline_s + 2 * grace_s:
                self._finish(entry, Failed(entry.attempt, Reason.DEADLINE))
                self._fill_slots()
            elif now >= entry.deadline_s + grace_s:
                self._backend.cancel(str(entry.attempt))

    # Attempts

    def _on_start(self, sender: str, start: Start) -> None:
        if start.agent_incarnation != self.settings.incarnation:
            self._link.send(sender, Failed(start.attempt, Reason.WRONG_INCARNATION))
            return
        known = self._ledger.get(start.attempt)
        if known is None and start.revision > self.revision:
            self._await_config(sender, start)
            return
        self._admit(sender, start)

    def _await_config(self, sender: str, start: Start) -> None:
        self._link.send(sender, ConfigRequest(self.revision))
        if any(waiting.attempt == start.attempt for _, waiting, _ in self._awaiting_config):
            return
        until_s = self._clock.seconds() + self.settings.config_wait_s
        self._awaiting_config.append((sender, start, until_s))

    def _admit(self, sender: str, start: Start) -> None:
        deadline_s = self._clock.seconds() + start.deadline_s
        match self._ledger.admit(start, deadline_s):
            case Inserted(entry=entry):
                self._watchers[entry.attempt] = {sender}
                reason = self._admission_refusal(start)
                if reason is not None:
                    self._finish(entry, Refused(entry.attempt, reason, _retry_after(reason)))
                    return
                self._link.send(sender, AttemptAccepted(entry.attempt))
                position = self._queue.position_for(start.priority, start.customer)
                customer = self.config.customers.get(start.customer)
                share = max(MIN_SHARE, customer.limits.share if customer is not None else 1.0)
                self._queue.push(position, entry, start.customer, share)
                self._fill_slots()
            case Existing(entry=entry):
                self._link.send(sender, entry.result or AttemptAccepted(entry.attempt))
            case BelowFloor():
                self._link.send(sender, Failed(start.attempt, Reason.EVICTED))
            case LedgerFull():
                self._send_refusal(sender, start.attempt, Reason.LEDGER_FULL)

    def _admission_refusal(self, start: Start) -> Reason | None:
        if self.state is EndpointState.DRAINING:
            return Reason.LEAVING
        if start.target not in self.targets or self._loader.is_loading:
            return Reason.NO_ENDPOINT
        reason = self._config.refusal(start)
        if reason is not None:
            return reason
        if len(self._usage) + self._ledger.live_count > self.settings.max_usage_records:
            return Reason.USAGE_FULL
        if len(self._queue) >= self.settings.queue and not self._preempt_last(start):
            return Reason.OVERLOADED
        return None

    def _preempt_last(self, start: Start) -> bool:
        """Refuse the last queued attempt if a new one would be queued ahead of it.

        The last one has the least urgent priority and, among equals, belongs to the customer with
        the most queued work. Return whether an attempt was refused.
        """
        last = self._queue.last()
        if last is None or self._queue.position_for(start.priority, start.customer) >= last[0]:
            return False
        entry = last[1]
        self._queue.remove(entry)
        self._finish(entry, Refused(entry.attempt, Reason.OVERLOADED, QUEUE_RETRY_AFTER_S))
        return True

    def _refuse_start(self, sender: str, start: Start, reason: Reason) -> None:
        """Refuse an attempt that is not in the ledger, and record the refusal in the ledger."""
        match self._ledger.tombstone(start.attempt):
            case Inserted(entry=entry):
                entry.result = Refused(start.attempt, reason, _retry_after(reason))
                self._link.send(sender, entry.result)
                self._count_refusal(reason)
            case Existing(entry=entry):
                self._link.send(sender, entry.result or AttemptAccepted(entry.attempt))
            case BelowFloor():
                self._link.send(sender, Failed(start.attempt, Reason.EVICTED))
            case LedgerFull():
                self._send_refusal(sender, start.attempt, Reason.LEDGER_FULL)

    def _send_refusal(self, sender: str, attempt: AttemptId, reason: Reason) -> None:
        self._count_refusal(reason)
        self._link.send(sender, Refused(attempt, reason, _retry_after(reason)))

    def _count_refusal(self, reason: str) -> None:
        self.counters.refused[reason] = self.counters.refused.get(reason, 0) + 1

    def _fill_slots(self) -> None:
        while len(self._running) < self.settings.slots and len(self._queue):
            entry = self._queue.pop()
            if self._clock.seconds() >= entry.deadline_s:
                self._finish(entry, Refused(entry.attempt, Reason.DEADLINE))
                continue
            if entry.start is not None and entry.start.target not in self.targets:
                self._finish(entry, Refused(entry.attempt, Reason.NO_ENDPOINT))
                continue
            self._run(entry)

    def _run(self, entry: AttemptEntry) -> None:
        start = entry.start
        assert start is not None
        self._ledger.record_start(entry)
        self._running[entry.attempt] = entry
        self.counters.started += 1
        call = BackendCall(
            str(entry.attempt),
            start.target,
            start.work,
            start.priority,
            entry.deadline_s - self._clock.seconds(),
        )
        self._backend.start(call, lambda event: self._on_event(entry, event))

    def _on_event(self, entry: AttemptEntry, event: BackendEvent) -> None:
        if self._is_stopped or entry.is_terminal:
            return
        match event:
            case BackendText(text=text):
                offset = entry.add_text(text)
                self._notify_watchers(entry, Chunk(entry.attempt, offset, text), offset > 0)
                return
            case BackendDone(usage=usage, finish_reason=finish, status=status, headers=headers):
                result: Finished | Failed | Refused = Finished(
                    entry.attempt,
                    entry.length,
                    usage,
                    finish,
                    status,
                    dict(headers),
                    entry.start.target if entry.start else "",
                )
                self.counters.finished += 1
                self._hold_usage(entry, usage)
            case BackendRefused(reason=reason):
                result = Refused(entry.attempt, Reason.BACKEND_REFUSED)
                log.info(
                    "backend refused the call", extra={"attempt": str(entry.attempt), "why": reason}
                )
            case BackendFailed(reason=reason):
                result = Failed(entry.attempt, Reason.BACKEND_FAILED)
                self.counters.failed += 1
                log.info(
                    "backend call failed", extra={"attempt": str(entry.attempt), "why": reason}
                )
        self._finish(entry, result)
        self._loader.start_if_idle(len(self._running))
        self._fill_slots()

    def _finish(self, entry: AttemptEntry, result: Finished | Failed | Refused) -> None:
        self._ledger.record_result(entry, result)
        self._running.pop(entry.attempt, None)
        if isinstance(result, Refused):
            self._count_refusal(result.reason)
        self._notify_watchers(entry, result)
        self._watchers.pop(entry.attempt, None)
        self._check_drained()

    def _notify_watchers(
        self, entry: AttemptEntry, message: Message, is_deferrable: bool = False
    ) -> None:
        for watcher in self._watchers.get(entry.attempt, ()):
            self._link.send(watcher, message, is_deferrable)

    def _on_cancel(self, sender: str, message: Cancel) -> None:
        attempt = message.attempt
        if message.agent_incarnation != self.settings.incarnation:
            self._link.send(sender, Failed(attempt, Reason.WRONG_INCARNATION))
            return
        self._awaiting_config = [row for row in self._awaiting_config if row[1].attempt != attempt]
        match self._ledger.tombstone(attempt):
            case Inserted(entry=entry):
                self._link.send(sender, entry.result or AttemptAccepted(attempt))
            case Existing(entry=entry):
                self._cancel_known(sender, entry)
            case BelowFloor():
                self._link.send(sender, Failed(attempt, Reason.EVICTED))
            case LedgerFull():
                log.warning("ledger is full; ignoring cancel", extra={"attempt": str(attempt)})

    def _cancel_known(self, sender: str, entry: AttemptEntry) -> None:
        self._watchers.setdefault(entry.attempt, set()).add(sender)
        match entry.state:
            case AttemptState.QUEUED:
                self._queue.remove(entry)
                self._finish(entry, Refused(entry.attempt, Reason.CANCELLED))
            case AttemptState.RUNNING:
                self._backend.cancel(str(entry.attempt))
            case _:
                self._watchers.pop(entry.attempt, None)
                if entry.result is not None:
                    self._link.send(sender, entry.result)

    def _on_fetch(self, sender: str, message: Fetch) -> None:
        entry = self._ledger.get(message.attempt)
        if entry is None or entry.text_dropped or not _is_owner(entry, message.customer):
            self._link.send(sender, Failed(message.attempt, Reason.EVICTED))
            return
        text = entry.text_from(message.offset)
        if text:
            self._link.send(sender, Chunk(entry.attempt, message.offset, text))
        if entry.result is not None:
            self._link.send(sender, entry.result)
        else:
            self._watchers.setdefault(entry.attempt, set()).add(sender)

    # Load orders

    def _on_load_order(self, sender: str, order: LoadOrder) -> None:
        self._link.send(sender, self._loader.accept_order(order))
        self._loader.start_if_idle(len(self._running))

    def _targets_changed(self) -> None:
        if not self._is_stopped:
            self._send_heartbeats()

    @property
    def targets(self) -> tuple[str, ...]:
        """Targets that the endpoint serves, as changed by load orders."""
        return self._loader.targets

    # Usage records

    def _hold_usage(self, entry: AttemptEntry, usage: Usage) -> None:
        start = entry.start
        assert start is not None
        cost = cost_micros(self.config.versions.get(start.target), usage)
        record = UsageRecord(
            start.request, start.customer, start.target, usage, cost, klass=start.klass
        )
        self._usage.add(record, self._clock.seconds())

    def _on_usage_confirmation(self, message: UsageConfirmation) -> None:
        self._usage.confirm(message.requests)
        self._check_drained()

    def _hand_over_usage(self) -> None:
        """Send overdue usage records to a router, to a different one each time."""
        min_age_s = 0.0 if self.state is EndpointState.DRAINING else self.settings.handover_delay_s
        overdue = self._usage.overdue(self._clock.seconds(), min_age_s)
        router = self._usage.next_router(self._routers) if overdue else None
        if router is not None:
            self.counters.handovers += 1
            self._link.send(router, UsageHandover(overdue))


def _is_owner(entry: AttemptEntry, customer: str) -> bool:
    return entry.start is None or entry.start.customer == customer


def _retry_after(reason: Reason) -> float:
    match reason:
        case Reason.OVERLOADED | Reason.LEDGER_FULL | Reason.USAGE_FULL:
            return QUEUE_RETRY_AFTER_S
        case Reason.LEAVING | Reason.STALE_CONFIG:
            return DRAINING_RETRY_AFTER_S
        case _:
            return 0.0
