"""Load on routers of the direct path on a virtual clock, and what became of the requests."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from umberhitch.core.direct import (
    Customer,
    Document,
    EndpointEntry,
    EndpointState,
    Route,
    Service,
    key_digest,
)
from umberhitch.platform.standins import LoadedEndpoint, LoadedEndpoints
from umberhitch.testing._direct import (
    DirectAsk,
    DirectRouter,
    DirectWorld,
)

__all__ = ["LoadRecord", "LoadWorld", "Stream", "make_load_document"]

REGISTRY_SETTLE_S = 1.2


def make_load_document(
    routes: tuple[Route, ...],
    customers: tuple[Customer, ...] = (Customer("c1"),),
    **service: object,
) -> Document:
    """Return a document in which the key of a customer is ``key-`` and its name."""
    services = {"svc": Service("svc", **{"slots": 6, **service})}  # type: ignore[arg-type]
    keys = {key_digest(f"key-{each.name}"): each for each in customers}
    return Document(1, routes, services, keys)


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind at a mean rate, at random times.

    Attributes
    ----------
    label : str
        Under which the records are kept.
    per_s : callable
        Returns the requests a second at a time.
    path : str
    customer : str
    objective_s : float
        Time within which an answer, or its first event, is on time.
    retries : int
        How often a caller returns after a refusal, at the time that the refusal names.
    """

    label: str
    per_s: Callable[[float], float]
    path: str = "/look/x"
    customer: str = "c1"
    objective_s: float = 0.5
    body: bytes = b"body"
    retries: int = 0
    honors_retry_after: bool = True
    is_distinct: bool = False
    """Whether each caller has a body of its own, the same in all its tries."""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class LoadRecord:
    """What became of one request, or of one try of a caller that returned.

    Attributes
    ----------
    sent_s, answered_s : float
        Time of the request, and of the end of the reply or, of a stream, its first event.
    tries : int
        Which try of its caller it is, from 1.
    """

    label: str
    call_id: str
    sent_s: float
    objective_s: float
    tries: int
    first_sent_s: float
    answered_s: float | None = None
    status: int | None = None
    retry_after_s: float | None = None
    is_complete: bool = False

    @property
    def is_served(self) -> bool:
        """Whether the caller has a whole answer."""
        return self.is_complete and self.status == 200

    @property
    def is_on_time(self) -> bool:
        """Whether the answer came within the objective, from the caller's first try on."""
        return (
            self.is_served
            and self.answered_s is not None
            and self.answered_s - self.first_sent_s <= self.objective_s
        )

    @property
    def is_refused(self) -> bool:
        """Whether the router answered that the request was not run."""
        return self.status in (429, 503)


@dataclass
class LoadWorld(DirectWorld):
    """Routers before endpoints with slots and queues, and streams of requests."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.loaded = LoadedEndpoints(self.clock, Random(self.rng.random()))
        self.endpoints = self.loaded  # type: ignore[assignment]
        self.records: list[LoadRecord] = []
        self._open: list[tuple[LoadRecord, DirectAsk, Stream]] = []

    def add_loaded(self, incarnation: str, zone: str = "a", **endpoint: object) -> LoadedEndpoint:
        """Start an endpoint and register it."""
        made = LoadedEndpoint(**endpoint)  # type: ignore[arg-type]
        self.loaded.by_address[f"@{incarnation}"] = made
        entry = EndpointEntry(
            incarnation, "svc", f"@{incarnation}", zone, "v1", made.slots, EndpointState.READY
        )
        self.registry.put(incarnation, entry)
        return made

    def start_routers(self, count: int, document: Document, **settings: object) -> None:
        """Start so many routers, and let them find the endpoints and each other."""
        self.operator.put("config", document)
        for number in range(count):
            self.add_router(f"r{number}", **settings)  # type: ignore[arg-type]
        self.run(REGISTRY_SETTLE_S)

    def offer(self, streams: list[Stream], seconds: float) -> None:
        """Let callers send for some time, each at a router by chance."""
        for stream in streams:
            times = _arrivals(stream, self.clock.seconds(), seconds, self.rng)
            self._send_at_next(stream, times)
        self.run(seconds)

    def _send_at_next(self, stream: Stream, times: Iterator[float]) -> None:
        """Send a request at the next of the times, and go on from there."""
        at_s = next(times, None)
        if at_s is None:
            return

        def send() -> None:
            self._send_at_next(stream, times)
            self._send(stream, 1, at_s)

        self.clock.callLater(max(0.0, at_s - self.clock.seconds()), send)

    def settle(self, seconds: float = 6.0) -> None:
        """Let time pass until all requests have ended."""
        self.run(seconds)

    def of(self, *labels: str) -> list[LoadRecord]:
        """Return the records of some streams."""
        return [each for each in self.records if each.label in labels]

    def on_time_share(self, *labels: str) -> float:
        """Return the share of callers whose answer was on time."""
        callers = sum(each.tries == 1 for each in self.of(*labels))
        return sum(each.is_on_time for each in self.of(*labels)) / max(1, callers)

    def served_share(self, *labels: str) -> float:
        """Return the share of callers that were served, whenever."""
        callers = sum(each.tries == 1 for each in self.of(*labels))
        return sum(each.is_served for each in self.of(*labels)) / max(1, callers)

    def run(self, seconds: float) -> None:
        """Let time pass, and note the answers as they come."""
        end_s = self.clock.seconds() + seconds
        while self.clock.seconds() < end_s - 1e-9:
            self.clock.advance(LOAD_STEP_S)
            self._note_answers()

    def _send(self, stream: Stream, tries: int, first_s: float) -> None:
        router = self._any_router()
        if router is None:
            return
        body = stream.body + (f"{first_s!r}".encode() if stream.is_distinct else b"")
        ask = self.ask(router, stream.path, f"key-{stream.customer}", body, **stream.headers)
        now_s = self.clock.seconds()
        record = LoadRecord(stream.label, ask.call_id, now_s, stream.objective_s, tries, first_s)
        self.records.append(record)
        self._open.append((record, ask, stream))

    def _any_router(self) -> DirectRouter | None:
        names = sorted(self.routers)
        return self.routers[self.rng.choice(names)] if names else None

    def _note_answers(self) -> None:
        still_open = []
        for record, ask, stream in self._open:
            reply = ask.reply
            if record.answered_s is None and (reply.body or reply.is_over):
                record.answered_s = self.clock.seconds()
                record.status = reply.status
            if not reply.is_over:
                still_open.append((record, ask, stream))
                continue
            record.is_complete = reply.is_complete
            self._return_later(record, ask, stream)
        self._open = still_open

    def _return_later(self, record: LoadRecord, ask: DirectAsk, stream: Stream) -> None:
        if not record.is_refused:
            return
        named = ask.reply.headers.get(b"Come-Back")
        record.retry_after_s = None if named is None else float(named)
        if record.tries > stream.retries:
            return
        wait_s = 0.0 if record.retry_after_s is None else record.retry_after_s
        if not stream.honors_retry_after:
            wait_s = 0.0
        self.clock.callLater(wait_s, self._send, stream, record.tries + 1, record.first_sent_s)


LOAD_STEP_S = 0.002


def _arrivals(stream: Stream, start_s: float, seconds: float, rng: Random) -> Iterator[float]:
    """Yield the times of a Poisson process whose rate changes slowly."""
    at_s = start_s
    while True:
        rate = stream.per_s(at_s)
        if rate <= 0.0:
            at_s += 0.05
        else:
            at_s += rng.expovariate(rate)
        if at_s >= start_s + seconds:
            return
        if rate > 0.0:
            yield at_s
