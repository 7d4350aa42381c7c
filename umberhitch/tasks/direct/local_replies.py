"""Replies made by the router itself, to requests that it refuses or gives up."""

from umberhitch.ports.direct import CallerReply, HeaderList, WirePort
from umberhitch.tasks.direct.decision_log import DecisionLog
from umberhitch.tasks.direct.retry_after import MIN_RETRY_AFTER_S

__all__ = ["LocalReplies"]


class LocalReplies:
    """Makes and sends local replies, and counts them by reason.

    Parameters
    ----------
    wire : WirePort
    decisions : DecisionLog

    Attributes
    ----------
    refused : dict of str to int
        Number of replies by reason.
    """

    def __init__(self, wire: WirePort, decisions: DecisionLog) -> None:
        self.refused: dict[str, int] = {}
        self._wire = wire
        self._decisions = decisions

    def send(
        self,
        reply: CallerReply,
        call_id: str | None,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> None:
        """Send a complete reply."""
        self.refused[reason] = self.refused.get(reason, 0) + 1
        self._decisions.write("refused", call_id, True, status=status, reason=reason)
        headers, body = self._make(call_id, reason, retry_after_s)
        reply.head(status, headers)
        reply.data(body)
        reply.end()

    def make_unread_reply(self, status: int, reason: str) -> tuple[HeaderList, bytes]:
        """Return the headers and the body of a refusal of a request that was not read."""
        return self._make(None, reason, MIN_RETRY_AFTER_S if status in (408, 503) else None)

    def _make(
        self, call_id: str | None, reason: str, retry_after_s: float | None
    ) -> tuple[HeaderList, bytes]:
        body = b'{"error":"' + reason.encode("ascii", "replace").replace(b'"', b"'") + b'"}'
        headers = self._wire.refusal_headers(call_id, retry_after_s)
        headers.append((b"Content-Length", str(len(body)).encode()))
        return headers, body
