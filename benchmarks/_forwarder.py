"""The baseline: a bare forwarder of klein and treq, which decides nothing.

``python -m benchmarks._forwarder ENGINE_ADDRESS``: prints its address as one JSON line.
"""

import sys
from typing import Any

import treq
from klein import Klein
from msgspec import json
from twisted.internet import reactor as _reactor
from twisted.web.http_headers import Headers

from umberhitch.adapters.http_server import listen_http

reactor: Any = _reactor


class Forwarder:
    """Passes every chat request on."""

    app = Klein()

    def __init__(self, engine: str) -> None:
        self._engine = engine

    @app.route("/v1/chat/completions", methods=["POST"])
    async def chat(self, request: Any) -> bytes:
        """Pass a request on and return the whole answer."""
        response = await treq.post(
            f"http://{self._engine}/v1/chat/completions",
            data=request.content.read(),
            headers=Headers({"Content-Type": ["application/json"]}),
        )
        return await treq.content(response)


def main() -> None:
    """Serve until ended."""
    _, address = listen_http(reactor, Forwarder(sys.argv[1]).app, "127.0.0.1:0", 1 << 22)
    print(json.encode({"callers": address}).decode(), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
