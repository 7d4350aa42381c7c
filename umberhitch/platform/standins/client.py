"""Client that starts and controls a stand-in platform and its routers, for tests and demos."""

import subprocess
import sys
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from time import monotonic, sleep
from typing import Any

from msgspec import json

__all__ = ["API_KEY", "COMPLETE_STREAM", "Answer", "LocalPlatform", "RouterProcess", "wait_until"]

API_KEY = "k1"
ROUTE_DEFAULTS = {
    "host": "models.example",
    "service": "svc",
    "timeoutMs": 8000,
    "targetLatencyMs": 1000,
    "priority": 0,
    "public": False,
}
ROUTES = [
    {
        **ROUTE_DEFAULTS,
        "name": "look",
        "pathPrefix": "/look/",
        "kind": "idempotent",
        "maxAttempts": 2,
    },
    {
        **ROUTE_DEFAULTS,
        "name": "order",
        "pathPrefix": "/order/",
        "kind": "non_idempotent",
        "maxAttempts": 2,
    },
    {
        **ROUTE_DEFAULTS,
        "name": "draft",
        "pathPrefix": "/draft/",
        "kind": "streaming",
        "maxAttempts": 3,
        "resumable": True,
        "targetGapMs": 1000,
        "sizes": ["small", "large"],
    },
]
COMPLETE_STREAM = b"".join(b"id: %d\ndata: e%d\n\n" % (number, number) for number in range(1, 5))

COLD_START_S = 3.0
MAX_WAIT_S = 40.0
"""Seconds; much longer than any operation takes, so that a busy machine does not fail a test."""
POLL_INTERVAL_S = 0.05
LOOPBACK = "127.0.0.1:0"


def wait_until(check: Callable[[], Any]) -> Any:
    """Poll a check until its result is true, and return the result.

    Raises
    ------
    TimeoutError
        If the result is still false after `MAX_WAIT_S`.
    """
    end_s = monotonic() + MAX_WAIT_S
    while monotonic() < end_s:
        found = check()
        if found:
            return found
        sleep(POLL_INTERVAL_S)
    raise TimeoutError("the condition did not become true in time")


@dataclass(frozen=True)
class Answer:
    """The answer to a caller; the status is 0 if the connection broke before an answer."""

    status: int
    body: bytes
    headers: dict[str, str]
    is_complete: bool = True


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | Iterable[bytes] = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Make one HTTP call on a new connection; a body in parts is sent in chunks."""
    connection = HTTPConnection(address, timeout=MAX_WAIT_S)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        try:
            return Answer(response.status, response.read(), found)
        except (HTTPException, OSError) as exc:
            partial = getattr(exc, "partial", b"")
            return Answer(response.status, partial, found, is_complete=False)
    except (HTTPException, OSError):
        return Answer(0, b"", {}, is_complete=False)
    finally:
        connection.close()


@dataclass
class RouterProcess:
    """A router of the direct path in a separate process."""

    process: subprocess.Popen
    addresses: dict[str, str]

    @property
    def is_ready(self) -> bool:
        """Whether a load balancer would send callers to the router."""
        return call(self.addresses["readiness"], "GET", "/-/readyz").status == 200

    def status(self) -> dict[str, Any]:
        """Return the router's status page."""
        return json.decode(self.page("/status"))

    def endpoint_signals(self, kind: str) -> list[dict[str, Any]]:
        """Return the endpoint signals of one kind that the router knows."""
        return [row for row in self.status()["endpoint_signals"] if row["signal"] == kind]

    def burn_report(self) -> dict[str, Any]:
        """Return the burn report."""
        return json.decode(self.page("/burn.json"))

    def page(self, path: str) -> bytes:
        """Return one of the router's pages."""
        return call(self.addresses["pages"], "GET", path).body

    def send_request(
        self,
        path: str,
        call_id: str,
        key: str,
        model: str | None = None,
        body: bytes = b"body",
        prompt: str = "aa:60,bb:40",
        session: str | None = None,
    ) -> Answer:
        """Send a caller's request; one to a model has a prompt."""
        headers = {
            "Host": "models.example",
            "Attempt-Id": call_id,
            "Authorization": f"Bearer {key}",
            "Deadline-Ms": "8000",
        }
        if model is not None:
            headers |= {"Model": model, "Token-Count": "100,40", "Prompt-Prefix": prompt}
        if session is not None:
            headers["Session"] = session
        return call(self.addresses["callers"], "POST", path, body, headers)

    def upload(
        self, path: str, call_id: str, key: str, pieces: list[bytes], pause_s: float
    ) -> Answer:
        """Send a request whose body comes in pieces, in chunks, with pauses between them.

        The connection stays open until the answer has come or the process is gone.
        """
        headers = {
            "Host": "models.example",
            "Attempt-Id": call_id,
            "Authorization": f"Bearer {key}",
            "Deadline-Ms": "30000",
        }

        def parts() -> Iterator[bytes]:
            for piece in pieces:
                yield piece
                sleep(pause_s)

        return call(self.addresses["callers"], "POST", path, parts(), headers)

    def kill(self) -> None:
        """Kill the process without a drain."""
        self.process.kill()
        self.process.wait()


@dataclass
class LocalPlatform:
    """A stand-in platform in a separate process, and the routers that use it.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    """

    folder: Path
    routers: list[RouterProcess] = field(default_factory=list)

    def __post_init__(self) -> None:
        command = [sys.executable, "-m", "umberhitch.platform.standins"]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert self._process.stdout is not None
        addresses = json.decode(self._process.stdout.readline())
        self.store, self._control = addresses["store"], addresses["control"]

    def close(self) -> None:
        """Kill the stand-in platform and all its routers."""
        for router in self.routers:
            router.kill()
        self._process.kill()
        self._process.wait()
        assert self._process.stdout is not None
        self._process.stdout.close()

    def control(self, method: str, path: str, body: Any = None) -> Any:
        """Make a call to the control API of the stand-in platform."""
        answer = call(self._control, method, path, b"" if body is None else json.encode(body))
        assert answer.status == 200, answer
        return json.decode(answer.body)

    def publish(
        self, number: int, keys: tuple[str, ...] = (API_KEY,), cold_rate: float = 0.0
    ) -> None:
        """Publish a configuration with three routes, one of each kind, and one customer's keys.

        If ``cold_rate`` is not 0, endpoints may be cold and then sustain this many requests per
        second.
        """
        engine = {"slots": 8, "kvCapacityTokens": 10000}
        cold = {"coldStartS": COLD_START_S, "coldPerS": cold_rate} if cold_rate else {}
        config = {
            "version": number,
            "routes": ROUTES,
            "services": [{"name": "svc", "engine": engine, **cold}],
            "tenants": [{"name": "acme", "apiKeys": list(keys)}],
        }
        self.control("POST", "/operator/config", config)

    def add_endpoint(
        self, name: str, version: str = "v1", zone: str = "a", cold: dict[str, float] | None = None
    ) -> None:
        """Start and register an endpoint; ``cold`` has ``seconds`` and ``rate`` of a cold one."""
        entry = {"service": "svc", "version": version, "zone": zone, "cold": cold or {}}
        self.control("POST", f"/endpoints/{name}", entry)

    def make_cold(self, name: str, seconds: float, rate: float) -> None:
        """Make an endpoint cold from now on, and register it as cold."""
        self.control("POST", f"/endpoints/{name}/cold", {"seconds": seconds, "rate": rate})

    def has_crashed(self, name: str) -> bool:
        """Return whether an endpoint's process has crashed."""
        return bool(self.control("GET", f"/endpoints/{name}/ended"))

    def evacuate_zone(self, zone: str) -> None:
        """Take an availability zone out of service."""
        self.control("POST", f"/operator/evacuate/{zone}", {})

    def restore_zone(self, zone: str) -> None:
        """Return an availability zone to service."""
        answer = call(self._control, "POST", f"/operator/evacuate/{zone}")
        assert answer.status == 200, answer

    def drain_endpoint(self, name: str) -> None:
        """Register an endpoint as draining."""
        self.control("POST", f"/endpoints/{name}/state/draining")

    def write_entry(self, name: str, entry: bytes) -> None:
        """Write an entry in the registry without validation, as any client of the store may."""
        answer = call(self._control, "POST", f"/entries/{name}", entry)
        assert answer.status == 200, answer

    def break_streams(self, name: str, after_events: int) -> None:
        """Make an endpoint cut off streams after ``after_events`` events."""
        self.control("POST", f"/endpoints/{name}/faults", {"break_after": after_events})

    def set_store_down(self, is_down: bool) -> None:
        """Make the store refuse every call, or serve calls again."""
        self.control("POST", "/store/faults", {"is_down": is_down})

    def restore_store(
        self, age_s: float, away_s: float = 0.0, written_s: float = 0.0, seed: int = 0
    ) -> None:
        """Let the store be away for a time and then return from a copy of a given age.

        Operators and endpoints write again what it lost, each key after a random time of up to
        ``written_s``.
        """
        body = {"age_s": age_s, "away_s": away_s, "written_s": written_s, "seed": seed}
        self.control("POST", "/store/restore", body)

    def runs(self, endpoint: str) -> list[dict[str, Any]]:
        """Return the requests that ran on an endpoint."""
        return self.control("GET", f"/endpoints/{endpoint}/runs")

    def arrivals(self, endpoint: str) -> list[dict[str, Any]]:
        """Return the requests that arrived at an endpoint, refused or not."""
        return self.control("GET", f"/endpoints/{endpoint}/arrivals")

    def set_rate_limit(self, endpoint: str, rate: float | None) -> None:
        """Make an endpoint's replies name a limit in requests per second; None for no limit."""
        self.control("POST", f"/endpoints/{endpoint}/faults", {"limit_rate": rate})

    def signal_draining(self, name: str) -> None:
        """Make an endpoint's replies state that it is draining; its entry does not change."""
        self.control("POST", f"/endpoints/{name}/faults", {"is_leaving": True})

    def request_backoff(self, name: str, backoff_s: float | None) -> None:
        """Make an endpoint refuse every request and ask for a back-off; None ends this."""
        self.control("POST", f"/endpoints/{name}/faults", {"rest_s": backoff_s})

    def start_router(
        self,
        name: str,
        store: str | None = None,
        module: tuple[str, ...] = ("umberhitch.cli.daemon",),
        terms: tuple[str, ...] = (),
        drain_notice_s: float = 6.0,
    ) -> RouterProcess:
        """Start a router and wait until it is ready.

        Parameters
        ----------
        name : str
        store : str or None
            Address at which the router reaches the store; None for the store itself.
        module : tuple of str
            Module to run, followed by its arguments.
        terms : tuple of str
            The platform's terms that are in force.
        drain_notice_s : float
            How long the balancer takes to notice that a router stops.
        """
        settings = {
            "role": "gateway",
            "name": name,
            "zone": "a",
            "listen": dict.fromkeys(("callers", "readiness", "pages", "link"), LOOPBACK),
            "store": store or self.store,
            "drain_s": MAX_WAIT_S,
            "drain_notice_s": drain_notice_s,
            "terms": terms,
        }
        path = self.folder / f"{name}.json"
        path.write_bytes(json.encode(settings))
        log = self.folder / f"{name}.log"
        command = [sys.executable, "-m", *module, f"--settings={path}"]
        with log.open("ab") as log_file:
            log_start = log_file.tell()
            process = subprocess.Popen(command, stderr=log_file)
        addresses = wait_until(lambda: _addresses(log.read_bytes()[log_start:]))
        router = RouterProcess(process, addresses)
        self.routers.append(router)
        wait_until(lambda: router.is_ready)
        return router


def _addresses(log: bytes) -> dict[str, str] | None:
    for line in log.splitlines():
        if b'"addresses"' in line and line.endswith(b"}"):
            return json.decode(line)["addresses"]
    return None
