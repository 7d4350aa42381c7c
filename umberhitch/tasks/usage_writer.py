"""Appends usage records to the billing stream and confirms them to the agents."""

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
"""Requests whose records were written most recently; a repeated record is confirmed at once."""


class UsageWriter:
    """Keeps the usage records of one router until they are in the log.

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
        self._unconfirmed: dict[str, set[str]] = {}
        self._idle_callbacks: list[Callable[[], None]] = []

    @property
    def pending(self) -> int:
        """Number of records that are not known to be in the log."""
        return len(self._unconfirmed)

    @property
    def is_full(self) -> bool:
        """Whether further records would be dropped; new requests must be refused before that."""
        return self.appender.is_full

    def is_pending(self, request: str) -> bool:
        """Whether the record of a request is queued and not yet known to be in the log."""
        return request in self._unconfirmed

    def write(self, record: UsageRecord, agents: list[str]) -> None:
        """Queue a record and send ``agents`` a confirmation once it is in the log.

        If the queue is full, the record is dropped. The agents keep it until it is confirmed and
        resend it.
        """
        if record.request in self._written:
            self._confirm([record.request], agents)
            return
        unconfirmed = self._unconfirmed.get(record.request)
        if unconfirmed is not None:
            unconfirmed.update(agents)
            return
        try:
            appended = self.appender.add(encode_usage(record))
        except AppenderFullError:
            return
        self._unconfirmed[record.request] = set(agents)
        appended.addCallback(lambda offset: self._on_written(record.request))

    def _on_written(self, request: str) -> None:
        self._written[request] = None
        while len(self._written) > MAX_REMEMBERED_REQUESTS:
            self._written.popitem(last=False)
        self._confirm([request], sorted(self._unconfirmed.pop(request, ())))
        if not self._unconfirmed:
            callbacks, self._idle_callbacks = self._idle_callbacks, []
            for callback in callbacks:
                callback()

    def _confirm(self, requests: list[str], agents: list[str]) -> None:
        for agent in agents:
            self._link.send(agent, UsageConfirmation(requests))

    def when_idle(self, callback: Callable[[], None]) -> None:
        """Call a function once no record is queued."""
        if not self._unconfirmed:
            callback()
        else:
            self._idle_callbacks.append(callback)
