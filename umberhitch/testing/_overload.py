"""Overload of routers with admission control, and which of their refusals were false."""

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from umberhitch.core.direct import Document, RouteKind
from umberhitch.ports.direct import CallerReply
from umberhitch.testing._direct import DirectRouter, make_route
from umberhitch.testing._load import LoadWorld, Stream, make_load_document

__all__ = ["FalseRefusal", "OverloadWorld", "make_overload_world"]

ENDPOINTS = 8
SLOTS = 6
WORK_S = 0.05
PROMPT_TOKENS = 1000
QUEUE_LIMIT = 500
"""Calls that an endpoint queues: so many that it refuses none."""
RAMP_S = 0.5
"""Time from the start of a load until queues have formed and the routers know the work times: one
latency objective."""


@dataclass(frozen=True, slots=True)
class FalseRefusal:
    """A refusal for lack of room while an endpoint had a free slot and no queue."""

    at_s: float
    router: str
    address: str
    free_slots: int


@dataclass
class OverloadWorld(LoadWorld):
    """Routers with admission control under load.

    Attributes
    ----------
    refusals : int
        Refusals for lack of room.
    false_refusals : list of FalseRefusal
    """

    is_stream: bool = False
    started_s: float = 0.0
    ended_s: float = 0.0
    refusals: int = 0
    false_refusals: list[FalseRefusal] = field(default_factory=list)

    @property
    def capacity_per_s(self) -> float:
        """Return the requests that all endpoints together can end per second."""
        endpoints = [each for each in self.loaded.by_address.values() if not each.is_down]
        return sum((1 if each.is_engine else each.slots) / each.work_s for each in endpoints)

    def add_router(self, name: str = "r1", *args: Any, **settings: Any) -> DirectRouter:
        """Start a router whose refusals are checked."""
        router = super().add_router(name, *args, **settings)
        replies = router.gateway.local_replies
        send = replies.send

        def check_and_send(
            reply: CallerReply,
            call_id: str | None,
            status: int,
            reason: str,
            retry_after_s: float | None,
        ) -> None:
            if reason == "no room in time":
                self._check_refusal(name)
            send(reply, call_id, status, reason, retry_after_s)

        replies.send = check_and_send  # type: ignore[method-assign]
        return router

    def _check_refusal(self, router: str) -> None:
        self.refusals += 1
        for address, endpoint in self.loaded.by_address.items():
            free = endpoint.slots - endpoint.busy - (endpoint.sent - endpoint.arrived)
            is_reading = endpoint.is_engine and endpoint.reading > 0
            if free > 0 and not endpoint.waiting and not is_reading and not endpoint.is_down:
                self.false_refusals.append(
                    FalseRefusal(self.clock.seconds(), router, address, free)
                )
                return

    def load(self, factor: float, seconds: float, path: str = "/look/x") -> None:
        """Offer a multiple of the capacity for some time, and wait for all answers."""
        headers = {"Prompt": f"p:{PROMPT_TOKENS}"} if self.is_stream else {}
        rate = factor * self.capacity_per_s
        body = b"b" * (PROMPT_TOKENS if self.is_stream else 4)
        self.started_s = self.clock.seconds()
        self.ended_s = self.started_s + seconds
        self.offer([Stream("all", lambda now_s: rate, path, body=body, headers=headers)], seconds)
        self.settle()

    @property
    def on_time_of_capacity(self) -> float:
        """Return the answers on time per second of the load, as a share of the capacity.

        The capacity is that for the work times which chance has drawn.
        """
        began = sum(len(each.began) for each in self.loaded.by_address.values())
        mean_s = sum(each.begun_work_s for each in self.loaded.by_address.values()) / began
        capacity_per_s = self.capacity_per_s * WORK_S / mean_s
        from_s = self.started_s + RAMP_S
        on_time = [
            each
            for each in self.records
            if each.is_on_time
            and each.answered_s is not None
            and from_s <= each.answered_s < self.ended_s
        ]
        return len(on_time) / (self.ended_s - from_s) / capacity_per_s

    @property
    def late_refusals(self) -> int:
        """Return how many refusals came later than a quarter of the objective, and a step."""
        step_s = 0.002
        return sum(
            each.is_refused
            and each.answered_s is not None
            and each.answered_s - each.sent_s > 0.25 * each.objective_s + step_s + 1e-6
            for each in self.records
        )

    @property
    def unanswered(self) -> int:
        """Return how many requests have no answer."""
        return sum(each.status is None for each in self.records)

    @property
    def most_runs(self) -> int:
        """Return how often the request that ran most often began to run."""
        runs = Counter(
            call_id for each in self.loaded.by_address.values() for call_id in each.began
        )
        return max(runs.values(), default=0)


def make_overload_world(
    routers: int,
    seed: int,
    *,
    kind: RouteKind = RouteKind.IDEMPOTENT,
    endpoints: int = ENDPOINTS,
    has_admission_control: bool = True,
    document: Document | None = None,
    **endpoint: Any,
) -> OverloadWorld:
    """Return routers before endpoints with one route, `/look/`, whose objective is 0.5 s."""
    is_stream = kind is RouteKind.STREAM
    world = OverloadWorld(rng=Random(seed), is_stream=is_stream)
    values: dict[str, Any] = {"slots": SLOTS, "work_s": WORK_S, "is_random": True}
    values |= {"is_engine": is_stream, "queue_limit": QUEUE_LIMIT}
    for number in range(endpoints):
        world.add_loaded(f"e{number}", **(values | endpoint))
    cache: dict[str, Any] = {"cache_tokens": 1} if is_stream else {}
    made = document or make_load_document((make_route("look", kind),), **cache)
    world.start_routers(
        routers,
        made,
        has_admission_control=has_admission_control,
        has_engine_admission=is_stream,
    )
    world.run(2.0)
    return world
