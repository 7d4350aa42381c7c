"""Stand-in for a model engine: ``python -m umberhitch.standins.engine --port 0``.

It speaks the usual chat-completions interface with server-sent events, and cancels by call id.
"""

from itertools import count
from typing import Any

from klein import Klein
from msgspec import json
from twisted.internet.defer import Deferred

from umberhitch.adapters.caller_shapes import chunk_event, last_events
from umberhitch.adapters.http_server import send_json
from umberhitch.core.outcome import Done
from umberhitch.fakes import EnginePace, FakeEngine
from umberhitch.ports import (
    BackendCall,
    BackendDone,
    BackendEvent,
    BackendFailed,
    BackendRefused,
    BackendText,
)
from umberhitch.standins._serve import add_faults, run_standin
from umberhitch.wire import EngineWork

__all__ = ["EngineStandin"]

CALL_TIMEOUT_S = 3600.0


class EngineStandin:
    """Serves a `FakeEngine` over HTTP."""

    app = Klein()

    def __init__(self, reactor: Any, engine: FakeEngine | None = None) -> None:
        self.engine = engine or FakeEngine(reactor, EnginePace())
        self._ids = count()

    @app.route("/v1/chat/completions", methods=["POST"])
    def chat(self, request: Any) -> Any:
        """Stream an answer."""
        body = json.decode(request.content.read())
        work = EngineWork(
            body["messages"], int(body.get("max_tokens", 16)), prefix=body.get("prefix", "")
        )
        call = BackendCall(
            body.get("request_id") or f"call-{next(self._ids)}",
            body["model"],
            work,
            int(body.get("priority", 5)),
            CALL_TIMEOUT_S,
        )
        stream = _Stream(request, call)
        self.engine.start(call, stream.take)
        return stream.done

    @app.route("/v1/calls/<call_id>", methods=["DELETE"])
    def cancel(self, request: Any, call_id: str) -> bytes:
        """Cancel a call."""
        self.engine.cancel(call_id)
        return send_json(request, 200, {})

    @app.route("/load", methods=["GET"])
    def load(self, request: Any) -> bytes:
        """Return the load."""
        load = self.engine.current_load()
        return send_json(request, 200, {"running": load.running, "queued": load.queued})

    @app.route("/orders", methods=["POST"])
    async def order(self, request: Any) -> bytes:
        """Load a version; answers once it is loaded, or 409 to an old fencing token."""
        body = json.decode(request.content.read())
        is_done = await self.engine.load(body["target"], int(body["fencing_token"]))
        return send_json(request, 200 if is_done else 409, {"loaded": is_done})

    @app.route("/lose", methods=["POST"])
    def lose(self, request: Any) -> bytes:
        """Fail every call, now and later."""
        self.engine.lose()
        return send_json(request, 200, {})


class _Stream:
    """Writes one call's events to its HTTP request."""

    def __init__(self, request: Any, call: BackendCall) -> None:
        self.done: Deferred[bytes] = Deferred()
        self._request = request
        self._call = call
        self._has_begun = False
        request.notifyFinish().addErrback(self._on_gone)

    def _on_gone(self, failure: Any) -> None:
        self._request = None

    def take(self, event: BackendEvent) -> None:
        if self._request is None:
            return
        call = self._call
        match event:
            case BackendText(text=text):
                if not self._has_begun:
                    self._has_begun = True
                    self._request.setHeader("Content-Type", "text/event-stream")
                self._request.write(chunk_event(call.call_id, 0, call.target, text))
            case BackendDone(usage=usage, finish_reason=finish):
                done = Done("", usage, call.target, "", finish)
                self.done.callback(last_events(done, call.call_id, 0, wants_usage=True))
            case BackendRefused(reason=reason):
                self.done.callback(send_json(self._request, 503, {"error": reason}))
            case BackendFailed():
                self._request.transport.abortConnection()


add_faults(EngineStandin.app, lambda standin: standin.engine.faults)

if __name__ == "__main__":
    run_standin(EngineStandin)
