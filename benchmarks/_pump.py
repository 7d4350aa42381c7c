"""Agents that only talk: they beat, and answer each start with a stream of tokens.

They take the place of agents with their engines, so that a router can be loaded by itself.
``python -m benchmarks._pump COUNT FLUSH_S TOKENS TOKEN_S BEAT_S HOSTS_ADDRESS``
"""

import sys
from typing import Any

import treq
import zmq
from msgspec import json
from twisted.internet import reactor as _reactor
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from umberhitch.adapters.zmq_link import ZmqLink, make_context
from umberhitch.wire import (
    AttemptAccepted,
    Chunk,
    ConfigRequest,
    EndpointState,
    Finished,
    Heartbeat,
    Hello,
    Message,
    Start,
    Usage,
    UsageConfirmation,
)

reactor: Any = _reactor
TOKEN = "token "
MAX_SOCKETS = 8192


class TalkingAgent:
    """One agent without an engine."""

    def __init__(
        self, name: str, link: ZmqLink, tokens: int, token_s: float, beat_s: float
    ) -> None:
        self._name = name
        self._link = link
        self._tokens = tokens
        self._token_s = token_s
        self._beat_s = beat_s
        self._routers: dict[str, float] = {}
        link.listen(self.receive)

    def _beat(self, router: str) -> None:
        beat = Heartbeat(self._name, 1, "a", ["m@1"], EndpointState.READY, 0, 0, 0, 64)
        self._link.send(router, beat)
        reactor.callLater(max(self._beat_s, self._routers[router]), self._beat, router)

    def receive(self, sender: str, messages: list[Message]) -> None:
        """Answer what a router sent."""
        for message in messages:
            match message:
                case Hello(heartbeat_interval_s=beat_s):
                    is_new = sender not in self._routers
                    self._routers[sender] = beat_s
                    if is_new:
                        self._beat(sender)
                case Start():
                    self._link.send(sender, AttemptAccepted(message.attempt))
                    reactor.callLater(self._token_s, self._token, sender, message, 0)
                case UsageConfirmation() | ConfigRequest():
                    pass

    def _token(self, sender: str, start: Start, sent: int) -> None:
        if sent == self._tokens:
            usage = Usage(1, sent)
            length = sent * len(TOKEN)
            self._link.send(sender, Finished(start.attempt, length, usage, target=start.target))
            return
        self._link.send(sender, Chunk(start.attempt, sent * len(TOKEN), TOKEN), sent > 0)
        reactor.callLater(self._token_s, self._token, sender, start, sent + 1)


async def run(args: list[str]) -> None:
    """Start the agents and list them."""
    count, flush_s, tokens, token_s, beat_s, hosts = args
    context = make_context()
    context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
    for index in range(int(count)):
        name = f"talker-{index}"
        link = ZmqLink(name, reactor, context, "127.0.0.1:0", None, float(flush_s))
        TalkingAgent(name, link, int(tokens), float(token_s), float(beat_s))
        row = {"name": name, "role": "agent", "zone": "a", "address": link.address}
        await treq.post(f"http://{hosts}/hosts", json=row)
    print(json.encode({"agents": count}).decode(), flush=True)


def fail(failure: Failure) -> None:
    """End the program; the benchmark notices that nothing was printed."""
    failure.printTraceback()
    reactor.stop()


if __name__ == "__main__":
    reactor.callWhenRunning(lambda: ensureDeferred(run(sys.argv[1:])).addErrback(fail))
    reactor.run()
