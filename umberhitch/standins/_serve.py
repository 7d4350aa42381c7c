"""What the stand-ins share: an HTTP server on loopback, and faults that are set by call."""

import sys
from collections.abc import Callable
from typing import Any

from absl import app as absl_app
from absl import flags
from klein import Klein
from msgspec import ValidationError, json
from twisted.internet import reactor as _reactor

from umberhitch.adapters.http_server import listen_http, send_json
from umberhitch.adapters.steady import make_steady

default_reactor: Any = _reactor

__all__ = ["add_faults", "run_standin"]

MAX_BODY_BYTES = 64 * 1024 * 1024
LOOPBACK = "127.0.0.1"


def add_faults(app: Klein, get_faults: Callable[[Any], Any], path: str = "/faults") -> None:
    """Add ``POST /faults``, which sets fields of a faults object, and ``GET``, which shows it.

    ``get_faults`` gets the instance that the application is bound to.
    """

    @app.route(path, methods=["POST"])
    def set_faults(self: Any, request: Any) -> bytes:
        faults = get_faults(self)
        for name, value in json.decode(request.content.read()).items():
            if not hasattr(faults, name):
                return send_json(request, 400, {"error": f'no fault "{name}"'})
            setattr(faults, name, value)
        return send_json(request, 200, json.decode(json.encode(faults)))

    @app.route(path, methods=["GET"])
    def get(self: Any, request: Any) -> bytes:
        return send_json(request, 200, json.decode(json.encode(get_faults(self))))

    @app.handle_errors(ValidationError)
    def on_invalid(self: Any, request: Any, failure: Any) -> bytes:
        return send_json(request, 400, {"error": str(failure.value)})


def run_standin(make: Callable[[Any], Any]) -> None:
    """Run one stand-in as a program, with a ``--port`` flag.

    Parameters
    ----------
    make : callable
        Gets the reactor, returns an object with an ``app``.
    """
    port = flags.DEFINE_integer("port", 0, "port on loopback; 0 takes a free one")

    def main(argv: list[str]) -> None:
        make_steady(default_reactor)
        standin = make(default_reactor)
        _, address = listen_http(
            default_reactor, standin.app, f"{LOOPBACK}:{port.value}", MAX_BODY_BYTES
        )
        print(json.encode({"listening": address}).decode(), flush=True)
        default_reactor.run()

    absl_app.run(main, argv=sys.argv)
