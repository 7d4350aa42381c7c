"""Stand-in for a plain service: ``python -m umberhitch.standins.service --port 0``."""

from dataclasses import dataclass
from typing import Any

from klein import Klein

from umberhitch.adapters.http_server import send_json
from umberhitch.ports.clock import pause
from umberhitch.standins._serve import add_faults, run_standin

__all__ = ["ServiceStandin"]


@dataclass
class ServiceFaults:
    """What is wrong with the service at the moment."""

    delay_s: float = 0.01
    status: int = 200


class ServiceStandin:
    """Counts each call by its path and body, and says how often it has run.

    Attributes
    ----------
    runs : dict
        Runs by method, path and body.
    """

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self.faults = ServiceFaults()
        self.runs: dict[tuple[str, str, bytes], int] = {}
        self._reactor = reactor

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "DELETE"])
    async def call(self, request: Any, path: str) -> bytes:
        """Run a call."""
        identity = (request.method.decode(), path, request.content.read())
        self.runs[identity] = self.runs.get(identity, 0) + 1
        await pause(self._reactor, self.faults.delay_s)
        body = {"method": identity[0], "path": path, "runs": self.runs[identity]}
        return send_json(request, self.faults.status, body)


add_faults(ServiceStandin.app, lambda standin: standin.faults)

if __name__ == "__main__":
    run_standin(ServiceStandin)
