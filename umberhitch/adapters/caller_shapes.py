"""Shapes of the callers' interface: validated bodies in, documented JSON out."""

from typing import Any

from msgspec import json
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from umberhitch.config import Finding
from umberhitch.config.border import findings_of
from umberhitch.core.outcome import Done, NotRun, Reason, Unknown
from umberhitch.errors import ConfigError

__all__ = [
    "ChatBody",
    "SessionBody",
    "chat_answer",
    "chunk_event",
    "error_body",
    "http_status",
    "last_events",
    "parse_body",
]

DEFAULT_MAX_TOKENS = 1024

HTTP_STATUS: dict[Reason, int] = {
    Reason.NOT_PERMITTED: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.WITHDRAWN: 410,
    Reason.SESSION_ENDED: 410,
    Reason.RATE_LIMITED: 429,
    Reason.OVERLOADED: 429,
    Reason.KEY_IN_USE: 409,
    Reason.KEY_REUSED: 422,
    Reason.DEADLINE: 504,
}
UNAVAILABLE = 503
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class StreamOptions(BaseModel):
    """What a caller wants in a stream."""

    include_usage: bool = False


class ChatBody(BaseModel):
    """Body of ``POST /v1/chat/completions``; fields that are not known are passed over."""

    model_config = ConfigDict(extra="ignore")

    model: str = Field(min_length=1, max_length=256)
    messages: list[dict[str, Any]] = Field(min_length=1, max_length=4096)
    max_tokens: int | None = Field(default=None, ge=1, le=1_000_000)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=1_000_000)
    temperature: float = Field(default=1.0, ge=0, le=2)
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: int = Field(default=1, ge=1, le=1)

    @property
    def token_limit(self) -> int:
        """Most tokens of the answer."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS

    @property
    def wants_usage(self) -> bool:
        """Whether a stream ends with the usage."""
        return self.stream_options is not None and self.stream_options.include_usage


class SessionBody(BaseModel):
    """Body of ``POST /v1/sessions``."""

    model_config = ConfigDict(extra="forbid")

    model: str = Field(min_length=1, max_length=256)
    request_class: str = Field(default="", max_length=128)


def parse_body(model: type[BaseModel], data: bytes) -> Any:
    """Return the body as a ``model``; raises `ConfigError` with every finding."""
    try:
        return model.model_validate_json(data)
    except ValidationError as exc:
        raise ConfigError(findings_of(exc, "")) from exc


def error_body(
    status: str, reason: str, message: str, request: str, findings: list[Finding] | None = None
) -> dict[str, Any]:
    """Return the one shape of every error.

    ``status`` says what became of the request: ``done``, ``not_run`` or ``unknown``.
    """
    kind = "invalid_request_error" if findings else "umberhitch_error"
    error: dict[str, Any] = {"type": kind, "code": reason, "message": message, "param": None}
    if findings:
        error["findings"] = [
            {"place": finding.place, "problem": finding.problem} for finding in findings
        ]
    return {"error": error, "status": status, "request_id": request}


def http_status(outcome: NotRun | Unknown) -> int:
    """Return the HTTP status of an outcome that is not done."""
    match outcome:
        case NotRun(reason=reason):
            return HTTP_STATUS.get(reason, UNAVAILABLE)
        case Unknown(reason=Reason.DEADLINE | Reason.NO_ANSWER):
            return GATEWAY_TIMEOUT
        case Unknown():
            return BAD_GATEWAY


def _usage(done: Done) -> dict[str, Any]:
    return {
        "prompt_tokens": done.usage.input_tokens,
        "completion_tokens": done.usage.output_tokens,
        "total_tokens": done.usage.input_tokens + done.usage.output_tokens,
        "prompt_tokens_details": {"cached_tokens": done.usage.cached_tokens},
    }


def chat_answer(done: Done, request: str, created_s: int) -> dict[str, Any]:
    """Return a whole chat answer."""
    return {
        "id": request,
        "object": "chat.completion",
        "created": created_s,
        "model": done.target,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": done.text},
                "finish_reason": done.finish,
                "logprobs": None,
            }
        ],
        "usage": _usage(done),
    }


def _chunk(request: str, created_s: int, model: str, choices: list[Any]) -> dict[str, Any]:
    return {
        "id": request,
        "object": "chat.completion.chunk",
        "created": created_s,
        "model": model,
        "choices": choices,
    }


def chunk_event(request: str, created_s: int, model: str, text: str) -> bytes:
    """Return a piece of a streamed answer as a server-sent event."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return b"data: " + json.encode(_chunk(request, created_s, model, [choice])) + b"\n\n"


def last_events(done: Done, request: str, created_s: int, wants_usage: bool) -> bytes:
    """Return the events that end a streamed answer."""
    choice = {"index": 0, "delta": {}, "finish_reason": done.finish}
    events = [_chunk(request, created_s, done.target, [choice])]
    if wants_usage:
        events.append({**_chunk(request, created_s, done.target, []), "usage": _usage(done)})
    lines = b"".join(b"data: " + json.encode(event) + b"\n\n" for event in events)
    return lines + b"data: [DONE]\n\n"
