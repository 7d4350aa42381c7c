"""Stand-in for the host list: ``python -m umberhitch.standins.hosts --port 0``."""

from dataclasses import asdict
from typing import Any

from klein import Klein
from msgspec import convert, json

from umberhitch.adapters.http_server import send_json
from umberhitch.fakes import FakeHostList
from umberhitch.ports import Host
from umberhitch.standins._serve import run_standin

__all__ = ["HostListStandin"]


class HostListStandin:
    """Serves a `FakeHostList` over HTTP."""

    app = Klein()

    def __init__(self, reactor: Any, host_list: FakeHostList | None = None) -> None:
        self.host_list = host_list or FakeHostList()

    @app.route("/hosts", methods=["GET"])
    async def get(self, request: Any) -> bytes:
        """Return the list as it is shown."""
        try:
            rows = await self.host_list.hosts()
        except OSError as exc:
            return send_json(request, 503, {"error": str(exc)})
        return send_json(request, 200, {"hosts": [asdict(row) for row in rows]})

    @app.route("/hosts", methods=["POST"])
    def put(self, request: Any) -> bytes:
        """Add or replace a host."""
        self.host_list.put(convert(json.decode(request.content.read()), Host))
        return send_json(request, 200, {})

    @app.route("/hosts/<name>", methods=["DELETE"])
    def delete(self, request: Any, name: str) -> bytes:
        """Remove a host."""
        self.host_list.remove(name)
        return send_json(request, 200, {})

    @app.route("/faults", methods=["POST"])
    def set_faults(self, request: Any) -> bytes:
        """Freeze or thaw what is shown, or take the list down: ``{"frozen": …, "down": …}``."""
        wanted = json.decode(request.content.read())
        if "frozen" in wanted:
            self.host_list.freeze() if wanted["frozen"] else self.host_list.thaw()
        self.host_list.is_down = bool(wanted.get("down", self.host_list.is_down))
        return send_json(request, 200, {})


if __name__ == "__main__":
    run_standin(HostListStandin)
