"""The platform's log service over HTTP."""

from collections.abc import Sequence
from typing import Any

from umberhitch.adapters.http_client import HttpClient, NotSentError
from umberhitch.errors import LogAnswerLostError, LogTrimmedError, LogUnavailableError
from umberhitch.ports import LogBatch

__all__ = ["HttpLog"]

READ_GRACE_S = 3.0
STATUS_OK = 200
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503


class HttpLog:
    """Client of the log service.

    Parameters
    ----------
    http : HttpClient
    url : str
        Base URL of the service.
    """

    def __init__(self, http: HttpClient, url: str) -> None:
        self._http = http
        self._url = url.rstrip("/")

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records as one group and return the offset of the first."""
        body = {"records": [record.decode() for record in records]}
        try:
            response = await self._http.request(
                "POST", f"{self._url}/streams/{stream}/records", json=body
            )
            reply = await self._http.decode_json(response)
        except NotSentError as exc:
            raise LogUnavailableError(str(exc)) from exc
        except Exception as exc:  # any other failure leaves the effect unknown
            raise LogAnswerLostError(f"{type(exc).__name__}: {exc}") from exc
        if response.code == STATUS_UNAVAILABLE:
            raise LogUnavailableError("the log service is down")
        if response.code != STATUS_OK:
            raise LogAnswerLostError(f"the log service answered {response.code}")
        return int(reply["offset"])

    async def read(self, stream: str, start: int, limit: int, wait_s: float) -> LogBatch:
        """Return records from offset ``start``, waiting up to ``wait_s`` for the first."""
        params = {"from": str(start), "limit": str(limit), "wait_ms": str(int(wait_s * 1000))}
        try:
            response = await self._http.request(
                "GET",
                f"{self._url}/streams/{stream}/records",
                params=params,
                timeout=wait_s + READ_GRACE_S,
            )
            reply = await self._http.decode_json(response)
        except Exception as exc:  # a read has no effect, so every failure is alike
            raise LogUnavailableError(f"{type(exc).__name__}: {exc}") from exc
        if response.code == STATUS_GONE:
            raise LogTrimmedError(int(reply["first"]))
        if response.code != STATUS_OK:
            raise LogUnavailableError(f"the log service answered {response.code}")
        return _batch(reply)


def _batch(reply: Any) -> LogBatch:
    records = tuple((int(offset), text.encode()) for offset, text in reply["records"])
    return LogBatch(int(reply["first"]), int(reply["end"]), records)
