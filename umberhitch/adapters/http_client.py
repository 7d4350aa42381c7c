"""What the HTTP clients of the platform's services share."""

from typing import Any

import treq
from msgspec import DecodeError, json
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool

__all__ = ["HttpClient", "NotSentError", "decode_json"]

CONNECT_TIMEOUT_S = 2.0


class NotSentError(Exception):
    """No connection could be made, so the request certainly was not received."""


class HttpClient:
    """Owns a pool of connections.

    Parameters
    ----------
    reactor : IReactorTCP
    timeout_s : float
        For one whole exchange.
    connections : int
        Idle connections kept for each server.
    """

    def __init__(self, reactor: Any, timeout_s: float = 5.0, connections: int = 8) -> None:
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._client = treq.client.HTTPClient(agent)
        self._reactor = reactor
        self._timeout_s = timeout_s

    async def request(self, method: str, url: str, **kwargs: Any) -> Any:
        """Return the response; its body is still to be read.

        Raises
        ------
        NotSentError
            If no connection could be made.
        Exception
            Anything else that treq and Twisted raise; the request may then have been received.
        """
        kwargs.setdefault("timeout", self._timeout_s)
        try:
            return await self._client.request(method, url, reactor=self._reactor, **kwargs)
        except ConnectError as exc:
            raise NotSentError(str(exc)) from exc

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()


async def decode_json(response: Any) -> Any:
    """Return the response's body as JSON; raises ``ValueError`` if it is not."""
    body = await treq.content(response)
    try:
        return json.decode(body)
    except DecodeError as exc:
        raise ValueError(f"not JSON: {exc}") from exc
