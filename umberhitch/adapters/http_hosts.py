"""The platform's host list over HTTP."""

from typing import Any

from umberhitch.adapters.http_client import HttpClient
from umberhitch.ports import Host, HostRole, HostState

__all__ = ["HttpHostList"]


class HttpHostList:
    """Client of the host list.

    Parameters
    ----------
    http : HttpClient
    url : str
    """

    def __init__(self, http: HttpClient, url: str) -> None:
        self._http = http
        self._url = url.rstrip("/")

    async def hosts(self) -> list[Host]:
        """Return the list as the platform has it now."""
        try:
            response = await self._http.request("GET", f"{self._url}/hosts")
            rows = (await self._http.decode_json(response))["hosts"]
            return [_host(row) for row in rows]
        except Exception as exc:  # nothing depends on how the list failed
            raise OSError(f"host list: {type(exc).__name__}: {exc}") from exc


def _host(row: dict[str, Any]) -> Host:
    return Host(
        row["name"],
        HostRole(row["role"]),
        row["zone"],
        row["address"],
        HostState(row.get("state", HostState.LIVE)),
    )
