"""Back ends over HTTP: model engines that speak the usual chat-completions interface with
server-sent events, and plain services.
"""

from collections.abc import Callable
from logging import getLogger
from typing import Any

from msgspec import DecodeError, json
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from umberhitch.adapters.http_client import HttpClient, NotSentError
from umberhitch.ports import (
    BackendCall,
    BackendDone,
    BackendEvent,
    BackendFailed,
    BackendRefused,
    BackendText,
    EventSink,
)
from umberhitch.wire import EngineWork, ServiceWork, Usage

__all__ = ["HttpBackend", "SseParser"]

log = getLogger(__name__)

JSON_HEADERS = Headers({"Content-Type": ["application/json"]})
END_OF_EVENTS = b"[DONE]"
MAX_SERVICE_ANSWER_BYTES = 4 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024
REFUSING_STATUSES = frozenset({400, 404, 409, 413, 422, 429, 503})
"""Statuses by which an engine says that it did not run a call."""


class SseParser:
    """Splits a stream of server-sent events into the data of each (WHATWG HTML, section 9.2)."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of the events that are now complete."""
        self._buffer += data.replace(b"\r\n", b"\n")
        *events, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        return [payload for payload in map(_event_data, events) if payload]


def _event_data(event: bytes) -> bytes:
    lines = [line[5:].lstrip() for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines)


class _EventStream(Protocol):
    """Reads an engine's events and reports them to a sink."""

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._parser = SseParser()
        self._usage = Usage()
        self._finish = ""
        self._is_over = False

    def dataReceived(self, data: bytes) -> None:
        try:
            events = self._parser.feed(data)
            texts = [self._take(event) for event in events]
        except (ValueError, DecodeError, KeyError, IndexError, TypeError) as exc:
            self._end(BackendFailed(f"malformed event: {exc}"))
            return
        text = "".join(texts)
        if text and not self._is_over:
            self._sink(BackendText(text))
        if END_OF_EVENTS in events:
            self._end(self._last_event())

    def _take(self, event: bytes) -> str:
        if event == END_OF_EVENTS:
            return ""
        body = json.decode(event)
        usage = body.get("usage")
        if usage:
            self._usage = _usage(usage)
        if not body.get("choices"):
            return ""
        choice = body["choices"][0]
        self._finish = choice.get("finish_reason") or self._finish
        return choice["delta"].get("content") or ""

    def _last_event(self) -> BackendEvent:
        if not self._finish:
            return BackendFailed("the engine ended without a finish reason")
        if self._finish == "cancelled":
            return BackendFailed("cancelled")
        return BackendDone(self._usage, self._finish)

    def _end(self, event: BackendEvent) -> None:
        if not self._is_over:
            self._is_over = True
            self._sink(event)

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:
        if reason.check(ResponseDone):
            self._end(BackendFailed("the engine's stream ended early"))
        else:
            self._end(BackendFailed(f"connection lost: {reason.value!r}"))


class HttpBackend:
    """One engine or service replica behind an agent.

    Parameters
    ----------
    http : HttpClient
    url : str
        Base URL.
    """

    def __init__(self, http: HttpClient, url: str) -> None:
        self._http = http
        self._url = url.rstrip("/")
        self._chat_url = f"{self._url}/v1/chat/completions".encode()
        self._running: dict[str, Callable[[], None]] = {}

    def start(self, call: BackendCall, sink: EventSink) -> None:
        """Begin the call; its events go to ``sink``."""

        def forward(event: BackendEvent) -> None:
            if not isinstance(event, BackendText):
                self._running.pop(call.call_id, None)
            sink(event)

        match call.work:
            case EngineWork():
                running = ensureDeferred(self._run_engine(call, call.work, forward))
                self._running[call.call_id] = lambda: self._cancel_engine(call.call_id)
            case ServiceWork():
                running = ensureDeferred(self._run_service(call, call.work, forward))
        running.addErrback(_report_failure, forward)

    def cancel(self, call_id: str) -> None:
        """Stop the call if it is still running; a service's call cannot be stopped."""
        stop = self._running.get(call_id)
        if stop is not None:
            stop()

    def load(self, target: str, token: int) -> Deferred[bool]:
        """Order the engine to load a version; the result is whether it was done."""
        return ensureDeferred(self._load(target, token))

    async def _load(self, target: str, token: int) -> bool:
        body = {"action": "load", "target": target, "fencing_token": token}
        try:
            response = await self._http.request("POST", f"{self._url}/orders", json=body)
            await self._http.content(response)
        except Exception as exc:  # the engine is asked again while it does not serve the version
            log.warning("order failed", extra={"target": target, "error": repr(exc)})
            return False
        return response.code == 200

    async def _run_engine(self, call: BackendCall, work: EngineWork, sink: EventSink) -> None:
        body = {
            "model": call.target,
            "messages": work.messages,
            "max_tokens": work.max_tokens,
            "temperature": work.temperature,
            "stream": True,
            "stream_options": {"include_usage": True},
            "priority": call.priority,
            "request_id": call.call_id,
        }
        try:
            response = await self._http.post_stream(self._chat_url, JSON_HEADERS, json.encode(body))
        except NotSentError as exc:
            sink(BackendRefused(str(exc)))
            return
        if response.code in REFUSING_STATUSES:
            await self._http.content(response)
            sink(BackendRefused(f"status {response.code}"))
        elif response.code != 200:
            await self._http.content(response)
            sink(BackendFailed(f"status {response.code}"))
        else:
            response.deliverBody(_EventStream(sink))

    def _cancel_engine(self, call_id: str) -> None:
        done: Deferred = ensureDeferred(
            self._http.request("DELETE", f"{self._url}/v1/calls/{call_id}")
        )
        done.addCallback(lambda response: ensureDeferred(self._http.content(response)))
        done.addErrback(lambda failure: log.warning("cancel failed", extra={"call": call_id}))

    async def _run_service(self, call: BackendCall, work: ServiceWork, sink: EventSink) -> None:
        headers = {**work.headers, "Umberhitch-Attempt": call.call_id}
        try:
            response = await self._http.request(
                work.method,
                f"{self._url}/{work.path}",
                headers=headers,
                data=work.body or None,
                timeout=call.timeout_s,
            )
        except NotSentError as exc:
            sink(BackendRefused(str(exc)))
            return
        body = await self._http.content(response, call.timeout_s)
        if len(body) > MAX_SERVICE_ANSWER_BYTES:
            sink(BackendFailed("answer too large"))
            return
        kind = response.headers.getRawHeaders("content-type", ["application/octet-stream"])[0]
        text = body.decode("latin-1")
        if text:
            sink(BackendText(text))
        sink(BackendDone(Usage(), "stop", response.code, (("content-type", kind),)))


def _report_failure(failure: Failure, sink: EventSink) -> None:
    sink(BackendFailed(repr(failure.value)))


def _usage(raw: dict[str, Any]) -> Usage:
    details = raw.get("prompt_tokens_details") or {}
    return Usage(
        int(raw.get("prompt_tokens", 0)),
        int(raw.get("completion_tokens", 0)),
        int(details.get("cached_tokens", 0)),
    )
