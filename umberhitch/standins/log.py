"""Stand-in for the log service: ``python -m umberhitch.standins.log --port 0``."""

from typing import Any

from klein import Klein
from msgspec import json
from twisted.internet.defer import Deferred

from umberhitch.adapters.http_server import send_json
from umberhitch.errors import LogTrimmedError
from umberhitch.fakes import LogFaults, MemoryLog
from umberhitch.ports.clock import pause
from umberhitch.standins._serve import add_faults, run_standin

__all__ = ["LogStandin"]


class LogStandin:
    """Serves a `MemoryLog` over HTTP.

    Parameters
    ----------
    reactor : IReactorTime
    memory : MemoryLog
    """

    app = Klein()

    def __init__(self, reactor: Any, memory: MemoryLog | None = None) -> None:
        self.memory = memory or MemoryLog()
        self.faults = LogFaults()
        self._reactor = reactor
        self._waiting: dict[str, list[Deferred[None]]] = {}

    @app.route("/streams/<stream>/records", methods=["POST"])
    async def append(self, request: Any, stream: str) -> bytes:
        """Append a group of records."""
        await pause(self._reactor, self.faults.delay_s)
        if self.faults.is_down:
            return send_json(request, 503, {"error": "down"})
        records = [text.encode() for text in json.decode(request.content.read())["records"]]
        offset = self.memory.append(stream, records)
        self._wake(stream)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abortConnection()
            return b""
        return send_json(request, 200, {"offset": offset})

    def _wake(self, stream: str) -> None:
        for waiter in self._waiting.pop(stream, []):
            if not waiter.called:
                waiter.callback(None)

    @app.route("/streams/<stream>/records", methods=["GET"])
    async def read(self, request: Any, stream: str) -> bytes:
        """Return records from an offset, waiting for the first if there is none yet."""
        await pause(self._reactor, self.faults.delay_s)
        start = int(request.args[b"from"][0])
        limit = int(request.args.get(b"limit", [b"500"])[0])
        wait_s = int(request.args.get(b"wait_ms", [b"0"])[0]) / 1000
        if self.faults.is_down:
            return send_json(request, 503, {"error": "down"})
        try:
            batch = self.memory.read(stream, start, limit)
            if not batch.records and wait_s > 0:
                await self._news(stream, wait_s)
                batch = self.memory.read(stream, start, limit)
        except LogTrimmedError as exc:
            return send_json(request, 410, {"first": exc.first_offset})
        if self.faults.is_down:
            return send_json(request, 503, {"error": "down"})
        rows = [[offset, data.decode()] for offset, data in batch.records]
        return send_json(request, 200, {"first": batch.first, "end": batch.end, "records": rows})

    def _news(self, stream: str, wait_s: float) -> Deferred[None]:
        waiter: Deferred[None] = Deferred()
        self._waiting.setdefault(stream, []).append(waiter)
        timer = self._reactor.callLater(wait_s, self._give_up, stream, waiter)

        def stop_timer(result: None) -> None:
            if timer.active():
                timer.cancel()

        waiter.addCallback(stop_timer)
        return waiter

    def _give_up(self, stream: str, waiter: Deferred[None]) -> None:
        waiters = self._waiting.get(stream, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiter.called:
            waiter.callback(None)

    @app.route("/streams/<stream>/retention", methods=["POST"])
    def retain(self, request: Any, stream: str) -> bytes:
        """Drop all but the newest ``keep`` records of a stream."""
        self.memory.trim(stream, int(json.decode(request.content.read())["keep"]))
        return send_json(request, 200, {})


add_faults(LogStandin.app, lambda standin: standin.faults)

if __name__ == "__main__":
    run_standin(LogStandin)
