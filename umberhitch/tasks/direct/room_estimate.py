"""What the endpoints of each service can still take: from reports, own calls and peers."""

from dataclasses import dataclass
from enum import StrEnum

from umberhitch.core.direct import (
    Endpoint,
    EndpointCounts,
    Placement,
    ReportedLoad,
    RouterPart,
    ServicePlaces,
    WorkTime,
    WorkTimes,
    count_places,
)
from umberhitch.tasks.direct.active_routers import ActiveRouters
from umberhitch.tasks.direct.store_view import StoreView

__all__ = ["EndpointRoom", "Resource", "RoomEstimate", "ServiceRoom"]

ASSUMED_OBJECTIVES = 0.125
"""Work time that is assumed before the first answer, as a share of the latency objective: about two
calls per slot are sent then, as nothing is known on which to refuse them."""
DEFAULT_OBJECTIVE_S = 1.0
"""Objective of a service that no route names any longer."""
FULL_OBJECTIVES = 4.0
"""Time for which a refusal tells at how many calls an endpoint is full, in latency objectives."""


class Resource(StrEnum):
    """What a call takes at an endpoint."""

    SLOT = "slot"
    """From the call's arrival to its end."""
    READING = "reading"
    """An engine reads one prompt at a time, until the first event."""


OBJECTIVE_SHARES = {Resource.SLOT: 0.5, Resource.READING: 0.54}
"""Shares of the latency objective that a call may spend at an endpoint. A quarter is for waiting at
the router, and the rest is left because counts and work times are estimates. That is less for an
engine: it reads one prompt after the other, so that fewer would leave it without work too often."""


@dataclass(frozen=True, slots=True)
class EndpointRoom:
    """Calls that an endpoint has, and that it can have at once and in time."""

    endpoint: Endpoint
    slots: int
    places: float
    taken: float
    own: int
    is_fresh: bool
    """Whether the endpoint has reported its calls a moment ago."""

    @property
    def free_slots(self) -> float:
        """Return the slots that are free, as far as this router knows."""
        return max(0.0, self.slots - self.taken)


@dataclass(frozen=True, slots=True)
class ServiceRoom:
    """Room of the endpoints that a request may go to."""

    service: ServicePlaces
    endpoints: list[EndpointRoom]

    def slots_of(self, lifetime: str) -> int:
        """Return the slots of an endpoint, 0 if it is not among these."""
        return sum(each.slots for each in self.endpoints if each.endpoint.lifetime == lifetime)

    @property
    def free(self) -> float:
        """Return how many more calls would be on time."""
        return sum(max(0.0, each.places - each.taken) for each in self.endpoints)


class RoomEstimate:
    """Estimates the room of endpoints, and learns from each call.

    Parameters
    ----------
    view : StoreView
    placement : Placement
    """

    def __init__(self, view: StoreView, placement: Placement) -> None:
        self.routers = ActiveRouters()
        self._view = view
        self._placement = placement
        self._counts = EndpointCounts()
        self._times: dict[Resource, WorkTimes] = {each: WorkTimes() for each in Resource}
        self._parts: dict[tuple[Resource, str], RouterPart] = {}
        self._reading: dict[str, int] = {}
        """Own calls before their first event, by the lifetime of their engine."""
        self._objectives: dict[str, float] = {}
        self._objectives_of: object = None

    def retain(self, lifetimes: set[str]) -> None:
        """Discard what is known of all endpoints but those of some lifetimes."""
        self._counts.retain(lifetimes)
        for times in self._times.values():
            times.retain(lifetimes)
        self._reading = {key: each for key, each in self._reading.items() if key in lifetimes}

    def objective_s(self, service: str) -> float:
        """Return the shortest latency objective of the routes to a service, in seconds."""
        table = self._view.table
        if table is not self._objectives_of:
            self._objectives_of = table
            self._objectives = {}
            for route in () if table is None else table.document.routes:
                for name, _ in route.services:
                    known_s = self._objectives.get(name, route.objective_s)
                    self._objectives[name] = min(known_s, route.objective_s)
        return self._objectives.get(service, DEFAULT_OBJECTIVE_S)

    def part(self, resource: Resource, service: str) -> RouterPart:
        """Return this router's part of the places of a service."""
        return self._parts.setdefault((resource, service), RouterPart())

    def work_s(self, resource: Resource, service: str, lifetime: str) -> float:
        """Return the expected work time of a call that finds a free slot, in seconds."""
        return self._work(resource, service, lifetime).mean_s

    def _work(self, resource: Resource, service: str, lifetime: str) -> WorkTime:
        assumed_s = ASSUMED_OBJECTIVES * self.objective_s(service)
        return self._times[resource].of(service, lifetime, assumed_s)

    def has_bounds(self, service: str, endpoints: list[Endpoint]) -> bool:
        """Whether it is known of all endpoints how many calls they run at once."""
        return all(self.slots(service, each) > 0 for each in endpoints)

    def slots(self, service: str, endpoint: Endpoint) -> int:
        """Return the calls that an endpoint works on at once, 0 if unknown.

        Its entry goes before the configuration of its service.
        """
        if endpoint.entry.slots:
            return endpoint.entry.slots
        table = self._view.table
        known = None if table is None else table.document.services.get(service)
        return 0 if known is None else known.slots

    def of(
        self,
        resource: Resource,
        service: str,
        endpoints: list[Endpoint],
        is_engine: bool,
        left_s: float,
        now_s: float,
    ) -> ServiceRoom:
        """Return the room of some endpoints of a service.

        Parameters
        ----------
        left_s : float
            Seconds within which a call that is sent now must end, or begin at an engine.
        """
        budget_s = min(OBJECTIVE_SHARES[resource] * self.objective_s(service), left_s)
        rooms = [
            self._endpoint_room(resource, service, endpoint, is_engine, budget_s, now_s)
            for endpoint in endpoints
        ]
        places = sum(room.places for room in rooms)
        cycle_s = [self._cycle_s(resource, service, room, now_s) for room in rooms]
        totals = ServicePlaces(
            sum(room.slots for room in rooms),
            places,
            sum(room.taken for room in rooms),
            sum(room.free_slots for room in rooms),
            sum(room.own for room in rooms),
            self.routers.count(service, now_s),
            sum(cycle_s) / max(1, len(cycle_s)),
        )
        return ServiceRoom(totals, rooms)

    def _endpoint_room(
        self,
        resource: Resource,
        service: str,
        endpoint: Endpoint,
        is_engine: bool,
        budget_s: float,
        now_s: float,
    ) -> EndpointRoom:
        lifetime = endpoint.lifetime
        servers = 1 if resource is Resource.READING else self.slots(service, endpoint)
        work, pace = self._work(resource, service, lifetime), self._counts.pace(lifetime, now_s)
        paced = WorkTime(work.mean_s * pace, work.deviation_s * pace)
        if is_engine and resource is Resource.SLOT:
            budget_s += paced.mean_s  # it must begin in time, not end
        places = count_places(servers, paced, budget_s)
        most = self._counts.most(lifetime, now_s)
        if most is not None and resource is Resource.SLOT:
            places = max(float(servers), min(places, most))
        taken = self.taken(resource, service, lifetime, now_s)
        own, is_fresh = self._own(resource, lifetime), self._counts.is_fresh(lifetime, now_s)
        return EndpointRoom(endpoint, servers, places, taken, own, is_fresh)

    def _cycle_s(self, resource: Resource, service: str, room: EndpointRoom, now_s: float) -> float:
        """Return the seconds that a call keeps a place while all places are taken."""
        lifetime = room.endpoint.lifetime
        work_s = self.work_s(resource, service, lifetime) * self._counts.pace(lifetime, now_s)
        return work_s * room.places / room.slots

    def _own(self, resource: Resource, lifetime: str) -> int:
        if resource is Resource.READING:
            return self._reading.get(lifetime, 0)
        return self._placement.running_calls(lifetime)

    def taken(self, resource: Resource, service: str, lifetime: str, now_s: float) -> float:
        """Return how many calls an endpoint has, as far as this router knows."""
        own = self._own(resource, lifetime)
        if resource is Resource.READING:
            work_s = self.work_s(resource, service, lifetime)
            peers = self._placement.peers_prefill_s(lifetime) / max(work_s, MIN_READING_S)
            return own + self._counts.others_waiting(lifetime, peers, now_s)
        running = self._placement.all_running_calls(lifetime)
        peers = running - self._placement.running_calls(lifetime)
        return own + self._counts.others(lifetime, peers, now_s)

    # What is learned

    def note_started(self, lifetime: str, is_engine: bool) -> None:
        """Count a call that is sent."""
        if is_engine:
            self._reading[lifetime] = self._reading.get(lifetime, 0) + 1

    def note_read(self, lifetime: str) -> None:
        """Stop counting a call as being read."""
        self._reading[lifetime] = max(0, self._reading.get(lifetime, 0) - 1)

    def note_report(self, lifetime: str, load: ReportedLoad, own_ended: int, now_s: float) -> None:
        """Record a report of an endpoint.

        Parameters
        ----------
        own_ended : int
            Own calls that are still counted here and had ended when the report was made.
        """
        own = max(0, self._placement.running_calls(lifetime) - own_ended)
        own_waiting = max(0, self._reading.get(lifetime, 0) - 1)
        self._counts.note_report(lifetime, load, own, own_waiting, now_s)

    def note_refused(self, service: str, lifetime: str, calls: float, now_s: float) -> None:
        """Record that an endpoint refused a call, since it is full, beside so many."""
        until_s = now_s + FULL_OBJECTIVES * self.objective_s(service)
        self._counts.note_full(lifetime, calls, until_s)

    def learn(
        self,
        resource: Resource,
        service: str,
        lifetime: str,
        taken_s: float,
        waiting: float,
        slots: int,
        now_s: float,
    ) -> None:
        """Learn from a call.

        Parameters
        ----------
        taken_s : float
            Seconds from sending the call.
        waiting : float
            Calls that the endpoint has waiting. In a steady queue of ``q`` calls before ``s``
            servers, a call takes ``1 + q / s`` times its work time.
        slots : int
        """
        work_s = taken_s / (1.0 + waiting / max(1, slots))
        work_s = min(work_s / self._counts.pace(lifetime, now_s), self.objective_s(service))
        assumed_s = ASSUMED_OBJECTIVES * self.objective_s(service)
        self._times[resource].add(service, lifetime, work_s, assumed_s)


MIN_READING_S = 0.001
