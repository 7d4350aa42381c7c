"""Conversion of the headers on the users' platform to the router's types.

All header names are here and nowhere else. Some are easily misread: a response counts only with a
``Response-Signature``, ``Attempt-Id`` is the caller's id of its own attempt (not of a router's
retry), and ``Not-Executed`` guarantees that the request did not run.
"""

from collections.abc import Callable
from time import time
from urllib.parse import unquote

from umberhitch.adapters.hop_by_hop import pass_on
from umberhitch.core.direct import (
    CallerRequest,
    HeadSignals,
    ReplyHead,
    parse_backoff,
    parse_flag,
    parse_ints,
    parse_load,
    parse_prompt,
    parse_rate,
)
from umberhitch.errors import BadAskError
from umberhitch.platform._register import DROPPED_HEADERS, FORWARDED_HEADERS, REPLY_HEADERS
from umberhitch.ports.direct import CallMetadata, HeaderList, RawRequest

__all__ = ["PlatformWire", "read_store_epoch"]

STORE_EPOCH = b"store-era"

ANY_MODEL = b"*"
MAX_PRIORITY = 9
DEFAULT_DEADLINE_S = 30.0
"""Used if the caller sets no deadline; the route's timeout applies as well."""
MAX_EPOCH_DIGITS = 18
"""The epoch is sent to peers, whose protocol has integers of 64 bits."""
NOT_RUN_STATUSES = frozenset({421})
"""These guarantee that the request did not run; other statuses need `Not-Executed`."""


class PlatformWire:
    """Decodes and encodes heads without making decisions.

    Parameters
    ----------
    time_of_day : callable
        Returns seconds since the Unix epoch.
    """

    def __init__(self, time_of_day: Callable[[], float] = time) -> None:
        self._time_of_day = time_of_day

    def read_request(self, raw: RawRequest) -> CallerRequest:
        """Decode a request.

        Raises
        ------
        BadAskError
            If a header that the router needs is missing or malformed.
        """
        first: dict[bytes, bytes] = {}
        for name, value in raw.headers:
            first.setdefault(name.lower(), value)
        call_id = first.get(b"attempt-id", b"").decode("latin-1")
        if not call_id:
            raise BadAskError(400, "no attempt id")
        host = first.get(b"host", b"").decode("latin-1").partition(":")[0]
        path = raw.target.partition(b"?")[0].decode("latin-1")
        tokens = parse_ints(first.get(b"token-count"))
        session = first.get(b"session")
        return CallerRequest(
            call_id,
            raw.method,
            raw.target,
            host,
            unquote(path),
            pass_on(raw.headers, DROPPED_HEADERS, FORWARDED_HEADERS),
            _api_key(first.get(b"authorization")),
            _deadline_s(first.get(b"deadline-ms")),
            picks_model=first.get(b"model") == ANY_MODEL,
            prompt=parse_prompt(first.get(b"prompt-prefix"), tokens[0] if tokens else 0),
            output_tokens=tokens[1] if len(tokens) > 1 else 0,
            last_event_id=first.get(b"last-event-id"),
            session=None if session is None else session.decode("latin-1"),
            body=raw.body,
        )

    def call_headers(self, req: CallerRequest, metadata: CallMetadata) -> HeaderList:
        """Return all headers of a call to an endpoint."""
        headers = req.headers
        if metadata.model is not None:
            headers = [item for item in headers if item[0].lower() != b"model"]
            headers.append((b"Model", metadata.model.encode("latin-1")))
        else:
            headers = list(headers)
        headers.append((b"Deadline-Ms", str(max(1, int(metadata.deadline_s * 1000))).encode()))
        headers.append((b"Expect-Instance", metadata.incarnation.encode("latin-1")))
        if metadata.customer is not None:
            headers.append((b"Tenant", metadata.customer.encode("latin-1")))
        if metadata.priority is not None:
            priority = min(MAX_PRIORITY, max(0, metadata.priority))
            headers.append((b"Request-Priority", str(priority).encode()))
        if metadata.last_event_id is not None:
            headers.append((b"Last-Event-Id", metadata.last_event_id))
        if req.body or req.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", str(len(req.body)).encode()))
        return headers

    def read_reply(self, status: int, headers: HeaderList) -> ReplyHead:
        """Decode the head of an endpoint's reply."""
        found: dict[bytes, list[bytes]] = {}
        for name, value in headers:
            found.setdefault(name.lower(), []).append(value)
        call_id = found.get(b"attempt-id")
        confidence = found.get(b"confidence", [b""])[0]
        return ReplyHead(
            status,
            pass_on(headers, kept=REPLY_HEADERS),
            None if call_id is None else call_id[0].decode("latin-1"),
            is_signed=b"response-signature" in found,
            not_run=b"not-executed" in found or status in NOT_RUN_STATUSES,
            is_wrong_incarnation=status == 421 and b"replica-id" in found,
            confidence=int(confidence) if confidence.isdigit() else None,
            signals=self._read_signals(status, found),
        )

    def _read_signals(self, status: int, found: dict[bytes, list[bytes]]) -> HeadSignals:
        """Return the signals that an endpoint reports about itself."""
        limit = parse_rate(found.get(b"server-limit", []))
        is_draining, is_malformed = parse_flag(found.get(b"server-leaving", []))
        times = found.get(b"retry-after", []) if status == 503 else []
        backoff = parse_backoff(times, found.get(b"date", [b""])[0], self._time_of_day)
        malformed = {"server-limit": limit.is_malformed, "server-leaving": is_malformed}
        malformed["retry-after"] = backoff.is_malformed
        load, malformed["replica-load"] = parse_load(found.get(b"replica-load", [None])[0])
        return HeadSignals(
            is_draining,
            backoff.seconds,
            limit,
            load,
            tuple(name for name, is_malformed_value in malformed.items() if is_malformed_value),
            tuple((name, found[name][0]) for name in found.keys() - REPLY_HEADERS),
        )

    def refusal_headers(self, call_id: str | None, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an answer that the router gives itself."""
        headers = [(b"Content-Type", b"application/json")]
        if call_id is not None:
            headers.append((b"Attempt-Id", call_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
        return headers


def read_store_epoch(headers: HeaderList) -> int | None:
    """Return the epoch that the store names in an answer, None if there is none to be read."""
    values = [value.strip() for name, value in headers if name.lower() == STORE_EPOCH]
    if len(values) != 1 or not values[0].isdigit() or len(values[0]) > MAX_EPOCH_DIGITS:
        return None
    return int(values[0])


def _api_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"bearer" else None


def _deadline_s(value: bytes | None) -> float:
    if value is None:
        return DEFAULT_DEADLINE_S
    if not value.isdigit():
        raise BadAskError(400, "malformed deadline")
    return int(value) / 1000
