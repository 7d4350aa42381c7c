"""The headers on the users' platform, and the product's types for them.

All names of headers stand here and nowhere else. Some mislead: ``Response-Signature`` is what makes
a response count, ``Attempt-Id`` is the caller's id of its own attempt (not of a router's retry),
and ``Not-Executed`` is a promise, not a guess.
"""

from urllib.parse import unquote

from umberhitch.core.direct import Ask, PromptPart, ReplyHead, ReportedLoad, read_rate
from umberhitch.errors import BadAskError
from umberhitch.ports.direct import CallExtras, HeaderList, RawRequest

__all__ = ["PlatformWire"]

ONE_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only (RFC 9110, 7.6.1)."""

SET_BY_ROUTER = frozenset(
    {
        b"authorization",  # the key is not passed on
        b"cache-hold",
        b"content-length",  # set anew: bodies are sent whole
        b"deadline-ms",
        b"expect",
        b"expect-instance",
        b"expect-version",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"last-event-id",
        b"pin-ms",
        b"request-priority",
        b"tenant",
    }
)
"""Headers that a caller may not set for an endpoint, or that the router sets anew."""

ANY_MODEL = b"*"
MAX_PRIORITY = 9
DEFAULT_PATIENCE_S = 30.0
"""Where the caller names no deadline; the route's timeout holds besides."""
NOT_RUN_STATUSES = frozenset({421})
"""A promise by itself; the others need `Not-Executed` beside them."""


class PlatformWire:
    """Decodes and encodes heads; decides nothing."""

    def read_ask(self, raw: RawRequest) -> Ask:
        """Decode a request.

        Raises
        ------
        BadAskError
            If a header that the router relies on is malformed.
        """
        first: dict[bytes, bytes] = {}
        for name, value in raw.headers:
            first.setdefault(name.lower(), value)
        call_id = first.get(b"attempt-id", b"").decode("latin-1")
        if not call_id:
            raise BadAskError(400, "no attempt id")
        host = first.get(b"host", b"").decode("latin-1").partition(":")[0]
        path = raw.target.partition(b"?")[0].decode("latin-1")
        tokens = _numbers(first.get(b"token-count"))
        session = first.get(b"session")
        return Ask(
            call_id,
            raw.method,
            raw.target,
            host,
            unquote(path),
            _passed_on(raw.headers, first.get(b"connection", b"")),
            _key(first.get(b"authorization")),
            _seconds(first.get(b"deadline-ms")),
            picks_model=first.get(b"model") == ANY_MODEL,
            prompt=_prompt(first.get(b"prompt-prefix"), tokens[0] if tokens else 0),
            output_tokens=tokens[1] if len(tokens) > 1 else 0,
            last_event=first.get(b"last-event-id"),
            session=None if session is None else session.decode("latin-1"),
            body=raw.body,
        )

    def call_headers(self, ask: Ask, extras: CallExtras) -> HeaderList:
        """Return all headers of a call."""
        headers = ask.headers
        if extras.model is not None:
            headers = [item for item in headers if item[0].lower() != b"model"]
            headers.append((b"Model", extras.model.encode("latin-1")))
        else:
            headers = list(headers)
        headers.append((b"Deadline-Ms", str(max(1, int(extras.deadline_s * 1000))).encode()))
        headers.append((b"Expect-Instance", extras.incarnation.encode("latin-1")))
        if extras.customer is not None:
            headers.append((b"Tenant", extras.customer.encode("latin-1")))
        if extras.priority is not None:
            priority = min(MAX_PRIORITY, max(0, extras.priority))
            headers.append((b"Request-Priority", str(priority).encode()))
        if extras.last_event is not None:
            headers.append((b"Last-Event-Id", extras.last_event))
        if ask.body or ask.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", str(len(ask.body)).encode()))
        return headers

    def read_reply(self, status: int, headers: HeaderList) -> ReplyHead:
        """Decode the head of an endpoint's reply."""
        first: dict[bytes, bytes] = {}
        for name, value in headers:
            first.setdefault(name.lower(), value)
        call_id = first.get(b"attempt-id")
        confidence = first.get(b"confidence", b"")
        return ReplyHead(
            status,
            _passed_on(headers, first.get(b"connection", b""), frozenset()),
            None if call_id is None else call_id.decode("latin-1"),
            is_signed=b"response-signature" in first,
            not_run=b"not-executed" in first or status in NOT_RUN_STATUSES,
            is_elsewhere=status == 421 and b"replica-id" in first,
            confidence=int(confidence) if confidence.isdigit() else None,
            load=_load(first.get(b"replica-load")),
            limit=read_rate([value for name, value in headers if name.lower() == b"server-limit"]),
        )

    def refusal_headers(self, call_id: str | None, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an answer of the router's own."""
        headers = [(b"Content-Type", b"application/json")]
        if call_id is not None:
            headers.append((b"Attempt-Id", call_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
        return headers


def _passed_on(
    headers: HeaderList, connection: bytes, dropped: frozenset[bytes] = SET_BY_ROUTER
) -> HeaderList:
    named = {item.strip().lower() for item in connection.split(b",")}
    out = []
    for name, value in headers:
        lowered = name.lower()
        if lowered not in ONE_CONNECTION and lowered not in named and lowered not in dropped:
            out.append((name, value))
    return out


def _key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else None


def _seconds(value: bytes | None) -> float:
    if value is None:
        return DEFAULT_PATIENCE_S
    if not value.isdigit():
        raise BadAskError(400, "malformed deadline")
    return int(value) / 1000


def _numbers(value: bytes | None) -> list[int]:
    parts = [part.strip() for part in (value or b"").split(b",")]
    return [int(part) for part in parts if part.isdigit()]


def _prompt(value: bytes | None, tokens: int) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; the last one is the request's own."""
    if not value:
        return (PromptPart("", tokens),) if tokens else ()
    parts = []
    for item in value.split(b","):
        part_id, _, count = item.strip().partition(b":")
        if not count.isdigit():
            raise BadAskError(400, "malformed prompt")
        parts.append(PromptPart(part_id.decode("latin-1"), int(count)))
    return tuple(parts)


def _load(value: bytes | None) -> ReportedLoad | None:
    numbers = _numbers(value)
    return ReportedLoad(*numbers) if len(numbers) == 3 else None
