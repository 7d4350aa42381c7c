"""Admission control: a call to a plain service is sent only where it ends in time.

Calls to engines are left alone unless `GatewaySettings.has_engine_admission` is set; then one is
sent only where the engine begins in time.

`EndpointSelector` asks here before each call, in the same turn. A request that has not been sent
yet waits for room at this router, for a short time and in the order of `FairQueue`, or is refused.
One that has been sent goes to an endpoint that has room or is given up; it never waits.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil

from umberhitch.core.direct import (
    PLACES_ERROR,
    Endpoint,
    PlacedCall,
    ReplyHead,
    RoomForecast,
    RouterPart,
)
from umberhitch.core.scheduling import Claim, CustomerShares
from umberhitch.ports.clock import Clock, Timer
from umberhitch.tasks.direct.admission_counters import AdmissionCounters
from umberhitch.tasks.direct.decision_log import DecisionLog
from umberhitch.tasks.direct.room_estimate import EndpointRoom, Resource, RoomEstimate, ServiceRoom
from umberhitch.tasks.direct.services import AdmittedRequest, Waiter
from umberhitch.tasks.direct.waiting_requests import WaitingRequest, WaitingRequests
from umberhitch.wire import PeerReport

__all__ = ["NO_ROOM", "AdmissionControl"]

REFUSED = "refused for lack of room"
"""Message of the log."""
NO_ROOM = "no room in time"
"""Reason of a refusal: no endpoint would end the call in time (an engine: begin it)."""
WAIT_OBJECTIVES = 0.25
"""Longest wait at the router, as a share of the latency objective: the caller of a refused request
has three quarters of it left for another try."""
MAX_WAITING_BYTES = 32 * 1024 * 1024
"""Bodies of waiting requests that a router holds at most."""
CHECKS_PER_WAIT = 10
"""While requests wait, the room is estimated anew so often in the longest wait: what is known of
the calls of other routers changes with its age alone."""


@dataclass(slots=True)
class _Call:
    admitted: AdmittedRequest
    claim: Claim
    lifetime: str
    sent_s: float
    is_engine: bool
    is_reading: bool
    waiting: float
    """Mean of the calls that waited at the endpoint when this one was sent and was answered."""


@dataclass(slots=True)
class _Decision:
    """The room that was found for a request, until its call is sent in the same turn."""

    admitted: AdmittedRequest
    claim: Claim
    rooms: dict[Resource, ServiceRoom]


class AdmissionControl:
    """Decides for each call whether there is room, and keeps the requests that wait for it.

    Parameters
    ----------
    clock : Clock
    rooms : RoomEstimate
    decisions : DecisionLog
    includes_engines : bool
        Whether calls to engines need room too; if not, they are sent as if it did not exist.

    Attributes
    ----------
    counters : dict of str to AdmissionCounters
        Counters by service.
    """

    def __init__(
        self,
        clock: Clock,
        rooms: RoomEstimate,
        decisions: DecisionLog,
        includes_engines: bool = False,
    ) -> None:
        self.counters: dict[str, AdmissionCounters] = {}
        self.rooms = rooms
        self.shares: dict[str, CustomerShares] = {}
        self._clock = clock
        self._decisions = decisions
        self._includes_engines = includes_engines
        self._queues: dict[tuple[str, bool | None], WaitingRequests] = {}
        self._waiting_bytes = 0
        self._calls: dict[int, _Call] = {}
        self._last_decision: _Decision | None = None
        self._resumed: AdmittedRequest | None = None
        """The waiting request whose turn it is."""
        self._timer: Timer | None = None
        self._is_wake_due = False
        self._is_stopped = False
        self._has_reserved = False
        """Whether places were reserved for others at the last decision."""
        self._last_rooms: dict[tuple[Resource, str], ServiceRoom] = {}

    # Decision

    def with_room(
        self, admitted: AdmittedRequest, endpoints: list[Endpoint], claim: Claim
    ) -> list[Endpoint]:
        """Return the endpoints that have room for one more call of a request from this router."""
        self._last_decision = None
        if not self._applies_to(admitted):
            return endpoints
        if not endpoints or not self.rooms.has_bounds(admitted.service, endpoints):
            return endpoints
        if not admitted.has_been_sent and self._is_behind_others(admitted):
            return []
        asked = _Decision(admitted, claim, {})
        found = endpoints
        for resource in _resources(admitted):
            allowed = {each.lifetime for each in self._with_resource(resource, asked, endpoints)}
            found = [each for each in found if each.lifetime in allowed]
            if not found:
                return []
        self._last_decision = asked
        return found

    def _applies_to(self, admitted: AdmittedRequest) -> bool:
        return self._includes_engines or not admitted.request.prompt

    def _is_behind_others(self, admitted: AdmittedRequest) -> bool:
        """Whether a request has to wait, since others have waited before it."""
        return admitted is not self._resumed and len(self._queue_of(admitted)) > 0

    def _with_resource(
        self, resource: Resource, asked: _Decision, endpoints: list[Endpoint]
    ) -> list[Endpoint]:
        """Return the endpoints that have enough of one resource."""
        admitted, now_s = asked.admitted, self._clock.seconds()
        is_engine = bool(admitted.request.prompt)
        left_s = admitted.received_s + admitted.route.objective_s - now_s
        room = self.rooms.of(resource, admitted.service, endpoints, is_engine, left_s, now_s)
        asked.rooms[resource] = room
        self._last_rooms[resource, admitted.service] = room
        part = self.rooms.part(resource, admitted.service)
        reserved = 0.0
        if not admitted.has_been_sent and resource is Resource.SLOT:
            shares, routers = self._shares(admitted.service), room.service.routers
            slots = room.service.slots / routers
            reserved = shares.reserved(asked.claim, slots, now_s, routers)
        prefers_free = not admitted.request.prompt
        if admitted.has_been_sent:
            found = _with_places(room.endpoints, prefers_free)
            # One that may have run can't be refused as not run: without a call its answer is lost.
            return found or (endpoints if admitted.may_have_run else [])
        self._has_reserved = reserved > 0.0
        if reserved and room.service.taken + reserved * room.service.routers >= room.service.slots:
            return []
        if part.has_place(room.service, reserved, now_s):
            within = _within_share(room, part)
            found = _with_places(within, prefers_free) or _not_seen_full(within)
            if found:
                return found
        if part.may_take_slot(room.service, reserved):
            return [each.endpoint for each in room.endpoints if each.taken + 1.0 <= each.slots]
        return []

    def _shares(self, service: str) -> CustomerShares:
        return self.shares.setdefault(service, CustomerShares())

    # Waiting

    def wait(self, waiter: Waiter, claim: Claim) -> bool:
        """Let a request wait for room; return False if it may not, as it has been sent.

        The request is resumed when there may be room, and refused when it has waited too long, or
        at once if it can't be served in time.
        """
        admitted = waiter.admitted
        if admitted.has_been_sent:
            return False
        queue = self._queue_of(admitted)
        if queue.get(admitted) is not None:
            return True
        now_s = self._clock.seconds()
        until_s = admitted.received_s + WAIT_OBJECTIVES * admitted.route.objective_s
        if self._is_stopped or until_s <= now_s:
            self._shares(admitted.service).note_refused(claim, 1.0)
            self._refuse(waiter, "draining" if self._is_stopped else "no time to wait", 0.0)
            return True
        waiting = WaitingRequest(waiter, claim, now_s, until_s, len(queue) + 1)
        queue.push(waiting)
        self._waiting_bytes += waiting.body_bytes
        self._shares(admitted.service).note_waiting(claim, 1.0)
        counters = self._counters(admitted.service)
        counters.waited += 1
        self._log(admitted, "waits for room", position=waiting.position)
        waiting.timer = self._clock.callLater(until_s - now_s, self._on_waited, queue, waiting)
        self._schedule_check(admitted)
        self._refuse_excess(queue, waiting)
        return True

    def _refuse_excess(self, queue: WaitingRequests, newest: WaitingRequest) -> None:
        """Refuse the requests that would be served last while more wait than can be served."""
        wait_s = newest.until_s - newest.since_s
        self._serve_queue(queue)
        most = 1.0 + self.rate_per_s(newest.waiter.admitted.service) * wait_s
        while len(queue) > most:
            self._refuse_last(queue, "queue is full")
        while self._waiting_bytes > MAX_WAITING_BYTES and len(queue):
            self._refuse_last(queue, "bodies are too large")

    def _refuse_last(self, queue: WaitingRequests, reason: str) -> None:
        last = queue.last()
        assert last is not None
        self._refuse_waiting(queue, last, reason)

    def _refuse_waiting(self, queue: WaitingRequests, waiting: WaitingRequest, reason: str) -> None:
        queue.remove(waiting)
        self._shares(waiting.waiter.admitted.service).note_refused(waiting.claim, 1.0)
        self._refuse(waiting.waiter, reason, self._clock.seconds() - waiting.since_s)

    def _refuse(self, waiter: Waiter, reason: str, waited_s: float) -> None:
        admitted = waiter.admitted
        forecast = self.forecast(admitted.service)
        self._counters(admitted.service).note_refused(reason)
        rate = max(forecast.rate_per_s, 0.001)
        self._log(
            admitted,
            REFUSED,
            reason=reason,
            waited_s=round(waited_s, 4),
            free=round(forecast.free, 2),
            waiting=forecast.waiting,
            expected_wait_s=round((forecast.waiting + 1) / rate, 4),
            objective_s=admitted.route.objective_s,
        )
        waiter.refuse(NO_ROOM)

    def _on_waited(self, queue: WaitingRequests, waiting: WaitingRequest) -> None:
        """Refuse a request that has waited too long, unless there is room at this moment."""
        waiting.timer = None
        if queue.first() is waiting:
            self._resume(waiting)
        if queue.get(waiting.waiter.admitted) is waiting:
            self._refuse_waiting(queue, waiting, "waited in vain")

    def _resume(self, waiting: WaitingRequest) -> None:
        self._resumed = waiting.waiter.admitted
        try:
            waiting.waiter.resume()
        finally:
            self._resumed = None

    def forget(self, admitted: AdmittedRequest) -> None:
        """Let a request that is over wait no more."""
        queue = self._queues.get((admitted.service, admitted.wants_target))
        waiting = None if queue is None else queue.get(admitted)
        if queue is not None and waiting is not None:
            queue.remove(waiting)

    def refuse_all(self) -> None:
        """Refuse all requests that wait, and let no other one wait: the router stops."""
        self._is_stopped = True
        for queue in list(self._queues.values()):
            for waiting in queue.all():
                self._refuse_waiting(queue, waiting, "draining")

    def _queue_of(self, admitted: AdmittedRequest) -> WaitingRequests:
        key = (admitted.service, admitted.wants_target)
        if key not in self._queues:
            self._queues[key] = WaitingRequests(self._on_left)
        return self._queues[key]

    def _on_left(self, waiting: WaitingRequest) -> None:
        service = waiting.waiter.admitted.service
        self._waiting_bytes -= waiting.body_bytes
        self._shares(service).note_left(waiting.claim, 1.0)
        self._counters(service).note_wait(self._clock.seconds() - waiting.since_s)

    # Room that becomes free

    def wake(self) -> None:
        """Try soon to send waiting requests: there may be room, or will be once this turn is over.

        A call that ends may be followed by a retry in the same turn, which goes first.
        """
        if not self._is_wake_due and any(self._queues.values()):
            self._is_wake_due = True
            self._clock.callLater(0.0, self._serve_all)

    def _serve_all(self) -> None:
        self._is_wake_due = False
        for queue in list(self._queues.values()):
            self._serve_queue(queue)

    def _serve_queue(self, queue: WaitingRequests) -> None:
        while self._serve_first(queue):
            pass

    def _serve_first(self, queue: WaitingRequests) -> bool:
        """Send the first request that may go; return whether one no longer waits.

        If a request finds no room though no place was reserved, the others find none either.
        """
        for waiting in queue.heads():
            if self._try(queue, waiting):
                return True
            if not self._has_reserved:
                return False
        return False

    def _try(self, queue: WaitingRequests, waiting: WaitingRequest) -> bool:
        """Try to send a waiting request; return whether it no longer waits."""
        self._has_reserved = False
        self._resume(waiting)
        return queue.get(waiting.waiter.admitted) is not waiting

    def _schedule_check(self, admitted: AdmittedRequest) -> None:
        if self._timer is not None and self._timer.active():
            return
        wait_s = WAIT_OBJECTIVES * admitted.route.objective_s / CHECKS_PER_WAIT
        self._timer = self._clock.callLater(wait_s, self._check, admitted)

    def _check(self, admitted: AdmittedRequest) -> None:
        self._serve_all()
        if any(self._queues.values()):
            self._schedule_check(admitted)

    # Events of calls

    def note_sent(
        self, admitted: AdmittedRequest, claim: Claim, endpoint: Endpoint, placed: PlacedCall
    ) -> None:
        """Record a call that is being sent; it is counted as placed already."""
        if not self._applies_to(admitted):
            return
        now_s, lifetime, service = self._clock.seconds(), endpoint.lifetime, admitted.service
        is_engine = bool(admitted.request.prompt)
        asked, self._last_decision = self._last_decision, None
        if asked is not None and asked.admitted is admitted and not admitted.has_been_sent:
            for resource, room in asked.rooms.items():
                self.rooms.part(resource, service).note_started(room.service, now_s)
        self.rooms.routers.note_own(service, now_s)
        resource = Resource.READING if is_engine else Resource.SLOT
        slots = 1 if is_engine else self.rooms.slots(service, endpoint)
        waiting_there = self.rooms.taken(resource, service, lifetime, now_s) - slots
        self._calls[id(placed)] = _Call(
            admitted,
            claim,
            lifetime,
            now_s,
            is_engine,
            is_engine,
            max(0.0, waiting_there),
        )
        self.rooms.note_started(lifetime, is_engine)
        self._shares(service).note_started(claim, 1.0)
        queue = self._queue_of(admitted)
        waiting = queue.get(admitted)
        if waiting is not None:
            queue.serve(waiting)
            self._counters(service).sent_after_waiting += 1
            waited_s = round(now_s - waiting.since_s, 4)
            self._log(admitted, "sent after waiting", waited_s=waited_s, endpoint=lifetime)
        admitted.has_been_sent = True

    def note_head(self, placed: PlacedCall, head: ReplyHead) -> None:
        """Record the head of the reply to a call."""
        call = self._calls.get(id(placed))
        if call is None or head.is_wrong_incarnation:
            return
        now_s, lifetime = self._clock.seconds(), call.lifetime
        if call.is_reading:
            call.is_reading = False
            self.rooms.note_read(lifetime)
        load = head.signals.load
        if load is not None:
            if load.waiting is not None:
                # The queue may grow or shrink while the call is there.
                call.waiting = (call.waiting + load.waiting) / 2.0
            has_ended = head.not_run or not call.is_engine
            self.rooms.note_report(lifetime, load, int(has_ended), now_s)
        if head.not_run and head.signals.backoff_s is None:
            self._note_refused(call, now_s)
        elif head.is_success and call.is_engine:
            self._learn(Resource.READING, call, call.waiting, now_s)
            self._note_answer(call, now_s)
        if call.is_engine:
            self._note_slots(Resource.READING, call, now_s)
        self.wake()

    def _note_refused(self, call: _Call, now_s: float) -> None:
        lifetime, service = call.lifetime, call.admitted.service
        calls = self.rooms.taken(Resource.SLOT, service, lifetime, now_s) - 1.0
        self.rooms.note_refused(service, lifetime, calls, now_s)
        self._adapt(call, False, now_s)

    def _note_answer(self, call: _Call, now_s: float) -> None:
        """Adapt to an answer: was it in time, as far as the endpoint is concerned?"""
        in_time_s = (1.0 - WAIT_OBJECTIVES) * call.admitted.route.objective_s
        self._adapt(call, now_s - call.sent_s <= in_time_s, now_s)

    def _adapt(self, call: _Call, is_on_time: bool, now_s: float) -> None:
        service = call.admitted.service
        for resource in _resources(call.admitted):
            room = self._last_rooms.get((resource, service))
            if room is not None:
                part = self.rooms.part(resource, service)
                part.note_answer(is_on_time, room.service, call.sent_s, now_s)

    def _learn(self, resource: Resource, call: _Call, waiting: float, now_s: float) -> None:
        lifetime, service = call.lifetime, call.admitted.service
        room = self._last_rooms.get((resource, service))
        slots = 1 if room is None else room.slots_of(lifetime)
        taken_s = now_s - call.sent_s
        self.rooms.learn(resource, service, lifetime, taken_s, waiting, slots, now_s)

    def _note_slots(self, resource: Resource, call: _Call, now_s: float) -> None:
        """Note the free slots of an endpoint, or its queue, as of its newest report."""
        service = call.admitted.service
        room = self._last_rooms.get((resource, service))
        slots = 0 if room is None else room.slots_of(call.lifetime)
        free = slots - self.rooms.taken(resource, service, call.lifetime, now_s)
        if room is not None:
            self.rooms.part(resource, service).note_slots(free, room.service)

    def note_ended(self, placed: PlacedCall, is_failure: bool | None) -> None:
        """Record that a call no longer counts as running."""
        call = self._calls.pop(id(placed), None)
        if call is None:
            return
        now_s, lifetime, service = self._clock.seconds(), call.lifetime, call.admitted.service
        if call.is_reading:
            self.rooms.note_read(lifetime)
        self._shares(service).note_ended(call.claim, 1.0)
        self._note_slots(Resource.SLOT, call, now_s)
        if is_failure is False:
            # An engine's queue is before its reading; the slot is held while it reads.
            self._learn(Resource.SLOT, call, 0.0 if call.is_engine else call.waiting, now_s)
            if not call.is_engine:
                self._note_answer(call, now_s)
        self.wake()

    def note_endpoints(self, lifetimes: Iterable[str]) -> None:
        """Record that the list of endpoints has changed."""
        self.rooms.retain(set(lifetimes))
        self.wake()

    def note_peers(
        self,
        reports: Iterable[PeerReport],
        listed: Iterable[str],
        service_of: Callable[[str], str | None],
    ) -> None:
        """Record what peers have reported, after the totals were updated."""
        self.rooms.routers.note_reports(reports, listed, service_of, self._clock.seconds())
        self.wake()

    # What is told

    def _counters(self, service: str) -> AdmissionCounters:
        return self.counters.setdefault(service, AdmissionCounters())

    def rate_per_s(self, service: str) -> float:
        """Return this router's part of the calls that a service's endpoints end per second."""
        room = self.room(service)
        return 0.0 if room is None else room.service.rate_per_s

    def forecast(self, service: str) -> RoomForecast:
        """Return the room of a service, as far as it is this router's to use."""
        room = self.room(service)
        if room is None:
            return RoomForecast(0.0, 0.0, self.waiting(service))
        limit = self.rooms.part(Resource.SLOT, service).limit(room.service)
        free = min(room.free, max(0.0, limit - room.service.own))
        return RoomForecast(free, room.service.rate_per_s, self.waiting(service))

    def room(self, service: str) -> ServiceRoom | None:
        """Return the room of a service as of the last request that asked for it."""
        return self._last_rooms.get((Resource.SLOT, service))

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return sum(len(queue) for key, queue in self._queues.items() if key[0] == service)

    def _log(self, admitted: AdmittedRequest, message: str, **facts: object) -> None:
        call_id, is_failure = admitted.request.call_id, message == REFUSED
        self._decisions.write(message, call_id, is_failure, service=admitted.service, **facts)


def _resources(admitted: AdmittedRequest) -> tuple[Resource, ...]:
    return (Resource.SLOT, Resource.READING) if admitted.request.prompt else (Resource.SLOT,)


def _with_places(rooms: list[EndpointRoom], prefers_free_slots: bool) -> list[Endpoint]:
    """Return the endpoints that have a place, or only those with a free slot if there are any."""
    found = [each for each in rooms if each.taken + 1.0 <= each.places]
    if prefers_free_slots:
        found = [each for each in found if each.taken + 1.0 <= each.slots] or found
    return [each.endpoint for each in found]


def _not_seen_full(rooms: list[EndpointRoom]) -> list[Endpoint]:
    """Return the endpoints at which a call of this router's own part is probably on time.

    If all routers keep to their parts, it is, whatever old reports say. A new report that goes
    beyond all parts is heeded.
    """
    return [
        each.endpoint
        for each in rooms
        if not each.is_fresh or each.taken + 1.0 <= PLACES_ERROR * each.places
    ]


def _within_share(room: ServiceRoom, part: RouterPart) -> list[EndpointRoom]:
    """Return the endpoints at which this router has less than its share, or all if there are none.

    If all routers spread their calls in this way, so are all calls.
    """
    share = part.share(room.service)
    within = [each for each in room.endpoints if each.own < ceil(share * each.places)]
    return within or room.endpoints
