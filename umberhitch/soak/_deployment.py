"""The deployment of a run: its processes, and what was done to them and when."""

from dataclasses import dataclass, field
from pathlib import Path
from threading import Lock

from umberhitch.adapters.steady import steady_s
from umberhitch.platform.standins.client import LocalPlatform, RouterProcess
from umberhitch.soak._proxy import Proxy
from umberhitch.soak._records import ColdStart, Departure, Grant, LimitNamed, Revocation, ZoneOutage

__all__ = ["COLD_RATE", "Deployment", "Router", "memory_mb"]

ZONES = ("a", "b")
TERMS = ("pressure",)
"""With it, routers have admission control, whose refusals must be true as all others."""
COLD_RATE = 2.0
"""Requests a second that a cold endpoint bears."""


@dataclass
class Router:
    """A router with its own way to the store."""

    name: str
    way: Proxy
    process: RouterProcess
    memory_mb: float


@dataclass
class Deployment:
    """Everything that runs."""

    platform: LocalPlatform
    module: tuple[str, ...]
    routers: list[Router] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    keys: list[str] = field(default_factory=lambda: ["k0", "k1"])
    """The first is the one that is taken away next."""
    number: int = 1
    born: int = 1
    reborn: set[str] = field(default_factory=set)
    """Endpoints with more than one lifetime: what they said in one does not bind in the next."""
    reborn_s: dict[str, list[float]] = field(default_factory=dict)
    """When they started again."""
    started: int = 0
    granted: list[Grant] = field(default_factory=lambda: [Grant("k0"), Grant("k1")])
    revoked: list[Revocation] = field(default_factory=list)
    departed: list[Departure] = field(default_factory=list)
    outages: dict[str, list[ZoneOutage]] = field(default_factory=dict)
    """By zone, the latest last."""
    cold: list[ColdStart] = field(default_factory=list)
    limits: dict[str, list[LimitNamed]] = field(default_factory=dict)
    """By endpoint, the latest last."""
    zone_of: dict[str, str] = field(default_factory=dict)
    sound_s: float = 0.0
    """Bounds count from here at the earliest: the store's last fault was over then."""
    lock: Lock = field(default_factory=Lock)

    def publish(self) -> None:
        self.number += 1
        self.platform.publish(self.number, tuple(self.keys), COLD_RATE)

    def add_endpoint(self, cold_s: float = 0.0) -> None:
        name = f"e{self.started}"
        zone = self.zone_of[name] = ZONES[self.started % len(ZONES)]
        self.started += 1
        at_s = steady_s()
        cold = {"seconds": cold_s, "rate": COLD_RATE} if cold_s else None
        self.platform.add_endpoint(name, zone=zone, cold=cold)
        self.endpoints.append(name)
        if cold_s:
            self.cold.append(ColdStart(name, at_s, at_s + cold_s))

    def start(self, name: str, way: Proxy) -> Router:
        process = self.platform.start_router(
            name, store=way.address, module=self.module, terms=TERMS
        )
        return Router(name, way, process, memory_mb(process))

    def live(self) -> list[RouterProcess]:
        with self.lock:
            return [each.process for each in self.routers]


def memory_mb(router: RouterProcess) -> float:
    """Return what a router's process holds."""
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
    return int(line.split()[1]) / 1024
