"""Routers before endpoints that some requests end, and that are back some seconds later."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from umberhitch.core.direct import Document, EndpointState
from umberhitch.fakes import FakeEndpoint, Reply, part_ids
from umberhitch.ports.clock import Timer
from umberhitch.testing._direct import (
    DirectAsk,
    DirectRouter,
    DirectWorld,
    make_direct_document,
    make_endpoint_entry,
)

__all__ = ["CrashShape", "CrashingFleet"]

CRASHING_BODY = b"crashes"


@dataclass(frozen=True, slots=True)
class CrashShape:
    """How endpoints end and come back; times in seconds.

    Attributes
    ----------
    after_s : float
        From the beginning of a crashing run to the end of its endpoint.
    back_s : float
        From there until it is back.
    lapse_s : float
        Until its entry is gone from the registry; later than its return where it is back before.
    is_silent : bool
        Whether its connections hang.
    silence_s : float or None
        When hanging connections end after all; they never do if this is None.
    keeps_name : bool
        Whether it comes back under its incarnation.
    """

    after_s: float = 0.1
    back_s: float = 3.0
    lapse_s: float = 3.0
    is_silent: bool = False
    silence_s: float | None = None
    keeps_name: bool = False


@dataclass
class CrashingFleet:
    """A `DirectWorld` in which requests with the body `CRASHING_BODY` end their endpoints.

    So do requests with one of ``crashing_parts`` in their prompts.
    """

    routers: int = 4
    endpoints: int = 12
    shape: CrashShape = field(default_factory=CrashShape)
    reply: Reply = field(default_factory=Reply)
    crashing_parts: tuple[str, ...] = ()
    document: Document | None = None

    def __post_init__(self) -> None:
        self.world = DirectWorld()
        self.world.operator.put("config", self.document or make_direct_document())
        self.ever: list[FakeEndpoint] = []
        """All endpoints that ever were, the newest last."""
        self.crashes_s: list[float] = []
        """When an endpoint ended on which a request ran that ends endpoints."""
        self._ends: list[tuple[FakeEndpoint, float]] = []
        self._starts = 0
        self._born: dict[str, int] = {}
        for number in range(self.endpoints):
            self._start(f"e{number}")
        for number in range(self.routers):
            self.world.add_router(f"r{number}")
        self.world.run(3.0)

    @property
    def all_routers(self) -> list[DirectRouter]:
        """Return the routers in the order of their start."""
        return [*self.world.routers.values()]

    def _start(self, incarnation: str) -> None:
        self._starts += 1
        self._born[incarnation] = self._starts
        endpoint = self.world.add_endpoint(incarnation, born=self._starts)
        endpoint.reply = replace(self.reply)
        endpoint.crashing = {CRASHING_BODY: self.shape.after_s}
        endpoint.crashing_parts = {
            part.encode(): self.shape.after_s for part in self.crashing_parts
        }
        endpoint.crashes_silently = self.shape.is_silent
        endpoint.silence_s = self.shape.silence_s
        endpoint.on_crash = lambda lost: self._on_crash(incarnation, lost)
        self.ever.append(endpoint)

    def _on_crash(self, incarnation: str, lost: FakeEndpoint) -> None:
        self._ends.append((lost, self.world.clock.seconds()))
        if any(lost.crash_after_s(call) is not None for call in lost.calls):
            self.crashes_s.append(self.world.clock.seconds())
        del self.world.endpoints.by_address[f"@{incarnation}"]
        name = incarnation if self.shape.keeps_name else f"{incarnation.partition('.')[0]}"
        if not self.shape.keeps_name:
            name = f"{name}.{self._starts + 1}"
            self.world.clock.callLater(
                self.shape.lapse_s, self.world.registry.put, incarnation, None
            )
        self.world.clock.callLater(self.shape.back_s, self._start, name)

    def crash_share(self, share: float) -> int:
        """End so much of the endpoints at once, whatever runs there; return how many."""
        live = [each for each in self.ever if not each.is_down]
        lost = live[: round(share * len(live))]
        for endpoint in lost:
            endpoint.crash()
        return len(lost)

    def leave(self, incarnation: str) -> None:
        """Let an endpoint say that it is leaving."""
        entry = make_endpoint_entry(
            incarnation, state=EndpointState.DRAINING, born=self._born[incarnation]
        )
        self.world.registry.put(incarnation, entry)

    def ask(
        self, router: int, path: str = "/look/x", body: bytes = CRASHING_BODY, **headers: str
    ) -> DirectAsk:
        """Send a request to a router by number."""
        routers = self.all_routers
        return self.world.ask(routers[router % len(routers)], path, body=body, **headers)

    def every(self, gap_s: float, until_s: float, action: Callable[[int], object]) -> Timer:
        """Call ``action`` with 0, 1, 2, ... at a fixed gap for a time from now on."""
        clock = self.world.clock
        end_s = clock.seconds() + until_s

        def step(number: int) -> None:
            if clock.seconds() < end_s:
                action(number)
                clock.callLater(gap_s, step, number + 1)

        return clock.callLater(0.0, step, 0)

    def sends_s(self, body: bytes = CRASHING_BODY) -> list[float]:
        """Return when calls with a body reached an endpoint."""
        return sorted(
            at_s
            for endpoint in self.ever
            for call, at_s in zip(endpoint.calls, endpoint.called_s, strict=True)
            if call.body == body
        )

    def part_sends_s(self, part: str) -> list[float]:
        """Return when calls with a part in their prompts reached an endpoint."""
        return sorted(
            at_s
            for endpoint in self.ever
            for call, at_s in zip(endpoint.calls, endpoint.called_s, strict=True)
            if part.encode() in part_ids(call)
        )

    def part_crashes_s(self, part: str) -> list[float]:
        """Return when endpoints ended on which requests with such a part ran, in order."""
        return sorted(
            at_s
            for endpoint, at_s in self._ends
            if any(part.encode() in part_ids(call) for call in endpoint.calls)
        )

    def late_sends(self, after_s: float) -> int:
        """Return how many of the crashing request came so long after its third crash."""
        if len(self.crashes_s) < 3:
            return 0
        third_s = sorted(self.crashes_s)[2]
        return sum(at_s > third_s + after_s for at_s in self.sends_s())
