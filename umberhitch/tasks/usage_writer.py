"""Writes usage records into the billing stream and tells agents when they are there."""

from collections import OrderedDict
from collections.abc import Callable
from random import Random

from umberhitch.core.billing import encode_usage
from umberhitch.errors import AppenderFullError
from umberhitch.ports import Clock, LinkPort, LogPort
from umberhitch.tasks.appender import Appender, AppenderLimits
from umberhitch.wire import UsageConfirmation, UsageRecord

__all__ = ["BILLING_STREAM", "UsageWriter"]

BILLING_STREAM = "billing"
MAX_REMEMBERED_REQUESTS = 50_000


class UsageWriter:
    """Owns the usage records of one router until they are in the log.

    Parameters
    ----------
    port : LogPort
    clock : Clock
    rng : Random
    link : LinkPort
    limits : AppenderLimits
    """

    def __init__(
        self,
        port: LogPort,
        clock: Clock,
        rng: Random,
        link: LinkPort,
        limits: AppenderLimits | None = None,
    ) -> None:
        self.appender = Appender(port, BILLING_STREAM, clock, rng, limits)
        self._link = link
        self._written: OrderedDict[str, None] = OrderedDict()
        self._waiting: dict[str, set[str]] = {}
        self._idle_callbacks: list[Callable[[], None]] = []

    @property
    def pending(self) -> int:
        """Records that are not known to be in the log."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether no further record would be taken; new work must be refused first."""
        return self.appender.is_full

    def is_pending(self, request: str) -> bool:
        """Whether the record of a request waits here to be in the log."""
        return request in self._waiting

    def write(self, record: UsageRecord, agents: list[str]) -> None:
        """Take a record; ``agents`` hear of it once it is in the log.

        A record that does not fit is left to the agents, which hold it too.
        """
        if record.request in self._written:
            self._tell([record.request], agents)
            return
        waiting = self._waiting.get(record.request)
        if waiting is not None:
            waiting.update(agents)
            return
        try:
            appended = self.appender.add(encode_usage(record))
        except AppenderFullError:
            return
        self._waiting[record.request] = set(agents)
        appended.addCallback(lambda offset: self._on_written(record.request))

    def _on_written(self, request: str) -> None:
        self._written[request] = None
        while len(self._written) > MAX_REMEMBERED_REQUESTS:
            self._written.popitem(last=False)
        self._tell([request], sorted(self._waiting.pop(request, ())))
        if not self._waiting:
            callbacks, self._idle_callbacks = self._idle_callbacks, []
            for callback in callbacks:
                callback()

    def _tell(self, requests: list[str], agents: list[str]) -> None:
        for agent in agents:
            self._link.send(agent, UsageConfirmation(requests))

    def when_idle(self, callback: Callable[[], None]) -> None:
        """Call back once no record waits."""
        if not self._waiting:
            callback()
        else:
            self._idle_callbacks.append(callback)
