"""Answers to callers: whole, streamed or an error, unless the caller has gone away."""

from typing import Any

from msgspec import json

from umberhitch.adapters.caller_shapes import chunk_event, error_body, http_status, last_events
from umberhitch.adapters.http_server import send_json
from umberhitch.core.outcome import Done, NotRun, Outcome, Unknown

__all__ = ["Reply", "RequestError"]

HEADER_REQUEST = "Umberhitch-Request-Id"
HEADER_ANSWER = "Umberhitch-Answer"


class RequestError(Exception):
    """A request that cannot be understood or is not authorised; it has not run."""

    def __init__(self, status: int, code: str, message: str, findings: list | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.findings = findings


class Reply:
    """Writes one answer, whole or as a stream, unless the caller has gone away."""

    def __init__(self, request: Any, request_id: str, created_s: int) -> None:
        self._request = request
        self.request_id = request_id
        self.created_s = created_s
        self.is_gone = False
        self.has_begun = False
        self.model = ""
        request.setHeader(HEADER_REQUEST, request_id)
        request.notifyFinish().addErrback(self._on_gone)

    def _on_gone(self, failure: Any) -> None:
        self.is_gone = True

    def place(self, locator: str) -> None:
        """Tell the caller where its answer can be found again."""
        if not self.has_begun:
            self._request.setHeader(HEADER_ANSWER, locator)

    def write_text(self, text: str) -> None:
        """Stream a piece of the answer."""
        if self.is_gone:
            return
        self.begin_stream()
        self._request.write(chunk_event(self.request_id, self.created_s, self.model, text))

    def begin_stream(self) -> None:
        """Send the head of a stream, once."""
        if not self.has_begun:
            self.has_begun = True
            self._request.setHeader("Content-Type", "text/event-stream")
            self._request.setHeader("Cache-Control", "no-cache")

    def end_stream(self, outcome: Outcome, wants_usage: bool) -> bytes:
        """Return the end of a stream; a stream that is not whole ends with an error event."""
        if isinstance(outcome, Done):
            self.begin_stream()
            return last_events(outcome, self.request_id, self.created_s, wants_usage)
        if not self.has_begun:
            return self.error(outcome)
        body = error_body(*described(outcome), self.request_id)
        return b"data: " + json.encode(body) + b"\n\n"

    def error(self, outcome: NotRun | Unknown) -> bytes:
        """Return the error body of an outcome that is not done."""
        if isinstance(outcome, NotRun) and outcome.retry_after_s > 0:
            self._request.setHeader("Retry-After", f"{max(1, round(outcome.retry_after_s))}")
        body = error_body(*described(outcome), self.request_id)
        return send_json(self._request, http_status(outcome), body)


def described(outcome: NotRun | Unknown) -> tuple[str, str, str]:
    """Return status, reason and message of an outcome that is not done."""
    status = "not_run" if isinstance(outcome, NotRun) else "unknown"
    return status, outcome.reason.value, outcome.detail or outcome.reason.value
