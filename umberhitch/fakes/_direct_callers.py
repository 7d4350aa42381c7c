"""Callers of a router of the direct path, and the words on their wire, in memory."""

from collections.abc import Callable

from umberhitch.core.direct import CallerRequest, PromptPart, ReplyHead
from umberhitch.errors import BadAskError
from umberhitch.ports.direct import CallMetadata, HeaderList, RawRequest

__all__ = ["FakeReply", "FakeWire"]


class FakeReply:
    """A `CallerReply` that keeps what it got."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_complete = False
        self.is_aborted = False
        self.pause: Callable[[], None] | None = None
        self.resume: Callable[[], None] | None = None

    def head(self, status: int, headers: HeaderList) -> None:
        """Begin the reply."""
        assert self.status is None, "two heads"
        self.status = status
        self.headers = dict(headers)

    def data(self, data: bytes) -> None:
        """Take more of the body."""
        assert self.status is not None
        assert not self.is_over
        self.body += data

    def end(self) -> None:
        """Take the end."""
        assert not self.is_over
        self.is_complete = True

    def abort(self) -> None:
        """Take the break."""
        assert not self.is_over
        self.is_aborted = True

    def set_flow_control(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Keep the calls."""
        self.pause, self.resume = pause, resume

    @property
    def is_over(self) -> bool:
        """Whether the reply has ended, one way or the other."""
        return self.is_complete or self.is_aborted


class FakeWire:
    """A `WirePort` with headers of its own."""

    def read_request(self, raw: RawRequest) -> CallerRequest:
        """Decode a request."""
        headers = dict(raw.headers)
        if b"Id" not in headers:
            raise BadAskError(400, "no id")
        session = headers.get(b"Session-Name")
        prompt = headers.get(b"Prompt")
        parts = [item.split(b":") for item in prompt.split(b",")] if prompt else []
        return CallerRequest(
            headers[b"Id"].decode(),
            raw.method,
            raw.target,
            headers.get(b"Host", b"").decode(),
            raw.target.decode(),
            [],
            headers[b"Key"].decode() if b"Key" in headers else None,
            float(headers.get(b"Patience", b"10")),
            picks_model=b"Any-Model" in headers,
            prompt=tuple(PromptPart(name.decode(), int(count)) for name, count in parts),
            session=None if session is None else session.decode(),
            body=raw.body,
        )

    def call_headers(self, req: CallerRequest, metadata: CallMetadata) -> HeaderList:
        """Return all headers of a call."""
        headers = [(b"Left", f"{metadata.deadline_s:.3f}".encode())]
        headers.append((b"Incarnation", metadata.incarnation.encode()))
        if req.prompt:
            parts = ",".join(f"{part.part_id}:{part.tokens}" for part in req.prompt)
            headers.append((b"Prompt", parts.encode()))
        if metadata.customer is not None:
            headers.append((b"Customer", metadata.customer.encode()))
        if metadata.model is not None:
            headers.append((b"Model-Name", metadata.model.encode()))
        if metadata.last_event_id is not None:
            headers.append((b"Last-Event", metadata.last_event_id))
        return headers

    def read_reply(self, status: int, headers: HeaderList) -> ReplyHead:
        """Return a head without meaning."""
        return ReplyHead(status, headers)

    def refusal_headers(self, call_id: str | None, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an answer of the router's own."""
        if retry_after_s is None:
            return []
        return [(b"Come-Back", f"{retry_after_s:.3f}".encode())]
