"""What the HTTP clients of the platform's services share."""

from typing import Any

import treq
from msgspec import DecodeError, json
from twisted.internet.defer import succeed
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from umberhitch.adapters.http_body import STALL_S, read_body

__all__ = ["HttpClient", "NotSentError"]

CONNECT_TIMEOUT_S = 2.0


class NotSentError(Exception):
    """No connection could be made, so the request certainly was not received."""


class HttpClient:
    """Owns a pool of connections.

    Parameters
    ----------
    reactor : IReactorTCP
    timeout_s : float
        Until the head of an answer is there; its body then has to go on.
    connections : int
        Idle connections kept for each server.
    """

    def __init__(self, reactor: Any, timeout_s: float = 5.0, connections: int = 8) -> None:
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = connections
        self._pool.retryAutomatically = False
        agent: Any = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self._pool)
        self._agent = agent
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

    async def content(self, response: Any, stall_s: float = STALL_S) -> bytes:
        """Return a response's body; raises `StalledError` where it does not go on."""
        return await read_body(response, self._reactor, stall_s)

    async def decode_json(self, response: Any) -> Any:
        """Return a response's body as JSON; raises ``ValueError`` if it is not."""
        body = await self.content(response)
        try:
            return json.decode(body)
        except DecodeError as exc:
            raise ValueError(f"not JSON: {exc}") from exc

    async def post_stream(self, url: bytes, headers: Headers, body: bytes) -> Any:
        """Post a body and return the response as soon as its head is there.

        Used where one call a request counts: treq parses the URL anew each time, which took half of
        an agent's processor time.

        Raises
        ------
        NotSentError
            If no connection could be made.
        """
        try:
            return await self._agent.request(b"POST", url, headers, _Body(body))
        except ConnectError as exc:
            raise NotSentError(str(exc)) from exc

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()


@implementer(IBodyProducer)
class _Body:
    """A body that is sent whole at once."""

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: Any) -> Any:
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass
