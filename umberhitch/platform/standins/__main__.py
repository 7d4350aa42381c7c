"""A stand-in platform on loopback, run by ``python -m umberhitch.platform.standins``.

Prints the addresses of the store and of the control API as one JSON line. Control calls:

| call | effect |
| --- | --- |
| ``POST /operator/KEY`` | writes the body as an operator's document |
| ``POST /endpoints/ID`` ``{"service", "version", "zone"}`` | starts an endpoint and registers it |
| ``POST /endpoints/ID/cold`` ``{"seconds", "rate"}`` | makes it cold: overload crashes it |
| ``GET /endpoints/ID/ended`` | returns whether its process has crashed |
| ``POST /endpoints/ID/state/STATE`` | registers a state: ``ready``, ``draining``, or ``gone`` |
| ``POST /endpoints/ID/entry`` | changes fields of its entry |
| ``POST /entries/ID`` | writes the body as the entry, as any client of the store may |
| ``POST /endpoints/ID/faults`` | sets fields of `EndpointFaults` |
| ``GET /endpoints/ID/runs`` | returns the requests that ran there |
| ``GET /endpoints/ID/arrivals`` | returns the requests that arrived there, refused or not |
| ``POST /store/faults`` | sets fields of `StoreFaults` |
| ``POST /store/forget`` | trims the history; the newest record of each key stays |
| ``POST /store/restore`` | lets the store return from a copy, see `LocalPlatform.restore_store` |
| ``GET /status/KEY`` | returns the status record that a router wrote |
"""

import sys
from dataclasses import asdict
from random import Random
from typing import Any

from absl import app as absl_app
from absl import flags
from klein import Klein
from msgspec import json
from twisted.internet import reactor as _reactor

from umberhitch.adapters.http_server import listen_http, send_json
from umberhitch.adapters.steady import make_steady, steady_s
from umberhitch.platform._store import ENDPOINT_TOPIC, OPERATOR_TOPIC, STATUS_TOPIC
from umberhitch.platform.standins._endpoint import EndpointStandin
from umberhitch.platform.standins._store import StoreStandin

default_reactor: Any = _reactor
ANY_PORT = "127.0.0.1:0"
MAX_BODY_BYTES = 4 * 1024 * 1024


class Platform:
    """The store and the endpoints of one stand-in platform, with the control API."""

    app = Klein()

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self.store = StoreStandin(reactor)
        self._endpoints: dict[str, EndpointStandin] = {}
        self._entries: dict[str, dict[str, Any]] = {}

    @app.route("/operator/<path:key>", methods=["POST"])
    def write_operator(self, request: Any, key: str) -> bytes:
        """Write a document as an operator does."""
        self.store.put(OPERATOR_TOPIC, key, request.content.read())
        return send_json(request, 200, {})

    @app.route("/endpoints/<name>", methods=["POST"])
    def add_endpoint(self, request: Any, name: str) -> bytes:
        """Start an endpoint and register it."""
        fields = json.decode(request.content.read())
        endpoint = EndpointStandin(self._reactor, name)
        endpoint.port, address = listen_http(self._reactor, endpoint.app, ANY_PORT, MAX_BODY_BYTES)
        self._endpoints[name] = endpoint
        self._entries[name] = {
            "zone": "a",
            "slots": 8,
            **fields,
            "address": address,
            "state": "ready",
        }
        self._set_cold(name, **fields.pop("cold", {}))
        return send_json(request, 200, {"address": address})

    @app.route("/endpoints/<name>/cold", methods=["POST"])
    def make_cold(self, request: Any, name: str) -> bytes:
        """Make an endpoint cold from now on, and register it as cold."""
        self._set_cold(name, **json.decode(request.content.read()))
        return send_json(request, 200, {})

    @app.route("/endpoints/<name>/ended", methods=["GET"])
    def has_crashed(self, request: Any, name: str) -> bytes:
        """Return whether an endpoint's process has crashed."""
        return send_json(request, 200, self._endpoints[name].has_crashed)

    def _set_cold(self, name: str, seconds: float = 0.0, rate: float = 0.0) -> None:
        endpoint, entry = self._endpoints[name], self._entries[name]
        entry.pop("cold", None)
        endpoint.cold_until_s, endpoint.cold_rate = steady_s() + seconds, rate
        entry["coldRemainingMs"] = seconds * 1000
        self._register(name)
        if seconds:
            self._reactor.callLater(seconds, self._set_cold, name)

    @app.route("/endpoints/<name>/state/<state>", methods=["POST"])
    def set_state(self, request: Any, name: str, state: str) -> bytes:
        """Register a state of an endpoint."""
        self._entries[name]["state"] = state
        self._register(name)
        return send_json(request, 200, {})

    @app.route("/endpoints/<name>/entry", methods=["POST"])
    def change_entry(self, request: Any, name: str) -> bytes:
        """Change fields of an endpoint's entry."""
        self._entries[name] |= json.decode(request.content.read())
        self._register(name)
        return send_json(request, 200, {})

    @app.route("/entries/<name>", methods=["POST"])
    def write_entry(self, request: Any, name: str) -> bytes:
        """Write an entry without validation."""
        self.store.put(ENDPOINT_TOPIC, name, request.content.read())
        return send_json(request, 200, {})

    @app.route("/store/forget", methods=["POST"])
    def trim_history(self, request: Any) -> bytes:
        """Trim the history of the topics of endpoints and operators."""
        for topic in (ENDPOINT_TOPIC, OPERATOR_TOPIC):
            self.store.trim_history(topic)
        return send_json(request, 200, {})

    @app.route("/store/restore", methods=["POST"])
    def restore_store(self, request: Any) -> bytes:
        """Let the store be away for a time and then return from a copy."""
        fields = json.decode(request.content.read())
        self.store.faults.is_down = True
        self._reactor.callLater(
            fields["away_s"],
            self._return_store,
            fields["age_s"],
            fields["written_s"],
            Random(fields["seed"]),
        )
        return send_json(request, 200, {})

    def _return_store(self, age_s: float, written_s: float, rng: Random) -> None:
        lost = self.store.restore(age_s)
        self.store.faults.is_down = False
        for topic in (OPERATOR_TOPIC, ENDPOINT_TOPIC):
            for key in lost.get(topic, {}):
                delay_s = written_s * rng.random()
                self._reactor.callLater(delay_s, self.store.write_again, topic, key)

    def _register(self, name: str) -> None:
        entry = self._entries[name]
        value = b"" if entry["state"] == "gone" else json.encode(entry)
        self.store.put(ENDPOINT_TOPIC, name, value)

    @app.route("/endpoints/<name>/faults", methods=["POST"])
    def set_faults(self, request: Any, name: str) -> bytes:
        """Set an endpoint's faults."""
        return _apply_faults(request, self._endpoints[name].faults)

    @app.route("/store/faults", methods=["POST"])
    def set_store_faults(self, request: Any) -> bytes:
        """Set the store's faults."""
        return _apply_faults(request, self.store.faults)

    @app.route("/endpoints/<name>/runs", methods=["GET"])
    def runs(self, request: Any, name: str) -> bytes:
        """Return the requests that ran on an endpoint."""
        return send_json(request, 200, [asdict(run) for run in self._endpoints[name].runs])

    @app.route("/endpoints/<name>/arrivals", methods=["GET"])
    def arrivals(self, request: Any, name: str) -> bytes:
        """Return the requests that arrived at an endpoint."""
        found = [asdict(arrival) for arrival in self._endpoints[name].arrivals]
        return send_json(request, 200, found)

    @app.route("/status/<path:key>", methods=["GET"])
    def status(self, request: Any, key: str) -> bytes:
        """Return the status record that a router wrote, or None."""
        row = self.store.newest(STATUS_TOPIC).get(key)
        return send_json(request, 200, None if row is None else json.decode(row[0]))


def _apply_faults(request: Any, faults: Any) -> bytes:
    for name, value in json.decode(request.content.read()).items():
        if not hasattr(faults, name):
            return send_json(request, 400, {"error": f'no fault "{name}"'})
        setattr(faults, name, value)
    return send_json(request, 200, asdict(faults))


def main(argv: list[str]) -> None:
    """Serve until killed."""
    make_steady(default_reactor)
    platform = Platform(default_reactor)
    addresses = {}
    for name, app in (("store", platform.store.app), ("control", platform.app)):
        _, addresses[name] = listen_http(default_reactor, app, ANY_PORT, MAX_BODY_BYTES)
    print(json.encode(addresses).decode(), flush=True)
    default_reactor.run()


if __name__ == "__main__":
    flags.FLAGS.mark_as_parsed()
    absl_app.run(main, argv=sys.argv)
