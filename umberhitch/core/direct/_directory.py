"""The endpoints known to a router, and which of them accept new requests.

No new call of any kind goes to an endpoint in an availability zone that is out of service: such
endpoints are left out of the lists of candidates, and no shared part of a prompt has its affinity
there. Calls that are running there continue.

An endpoint may restart under its incarnation. Its entry then names another start time, and a new
lifetime begins. State that describes one process is discarded with its lifetime: ejections and
failures, the load reported by the endpoint or by peers, what its engine has cached and is
prefilling, its inter-token latency, the calls in flight on it and its idle connections. Other state
is kept. The affinities of the buckets stay, since the shared parts are then prefilled once more on
the same endpoint and on no other one. What is known of a version, the inter-token latency of a
model, the budgets and the sessions also stay, since they don't describe a single process.

The newer one of two lifetimes is the one whose entry the registry confirmed later. Start times are
never compared.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Container, Iterable
from random import Random

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct._endpoint import Endpoint
from umberhitch.core.direct._members import Members
from umberhitch.core.direct._types import EndpointEntry

__all__ = ["Directory"]

LAPSED_KEPT_S = 1.9
"""Seconds for which an entry that lapsed during an outage of the registry is kept. The platform
states that such entries are written again about 2 s after the outage, and that an endpoint that has
exited must get no calls from 2 s after its exit on."""
MAX_KEPT_AFTER_READ_S = 1.85
"""Maximum time in seconds that a vanished entry is kept after the last read that contained it."""
MAX_UNSAMPLED = 48
"""Maximum number of endpoints of a service that are all considered. Of more, a sample is drawn."""
SAMPLE_SIZE = 32
"""Endpoints sampled for one decision. The least loaded one of the sample is close to the least
loaded one of all (Mitzenmacher, 2001)."""
AFFINITY_BUCKETS = 1024
"""Number of buckets that the shared parts of prompts are hashed to, each with its affinity."""
STALE_ENTRY_S = 1.5
"""An entry of a replaced lifetime is assumed to be a delayed write unless no other lifetime's entry
follows within this many seconds. A running process writes its entry every 1.2 s."""
MAX_REPLACED_INCARNATIONS = 2000
"""Incarnations whose replaced lifetimes are remembered: as many as restart within a day."""
MAX_REPLACED_LIFETIMES = 4
"""Replaced lifetimes remembered per incarnation; delayed entries arrive within seconds."""


class Directory:
    """The entries of the registry as received by this router.

    Parameters
    ----------
    draining : container of str
        Lifetimes that are known to be draining, whatever state their entries name.
    router : str
        Name of this router.
    """

    def __init__(self, draining: Container[str] = (), router: str = "") -> None:
        self._draining = draining
        self._router = router
        self._endpoints: dict[str, Endpoint] = {}
        self._lifetimes: dict[str, Endpoint] = {}
        self._replaced: OrderedDict[str, deque[int | None]] = OrderedDict()
        """Start times of the replaced lifetimes, by incarnation."""
        self._stale_entries: dict[str, tuple[EndpointEntry, float]] = {}
        """Entries of replaced lifetimes, and when they were received first, by incarnation."""
        self._by_service: dict[str, Members] = {}
        self.is_loaded = False
        self.zones_out: dict[str, float] = {}
        """Availability zones out of service, and when this router learned of it."""
        self._cold_start_s: dict[str, float] = {}
        """Seconds for which an endpoint is cold after its start, by service."""

    def __len__(self) -> int:
        return len(self._endpoints)

    def put(self, entry: EndpointEntry, now_s: float) -> Endpoint | None:
        """Apply an entry that is new, or newer than the one known.

        Returns
        -------
        Endpoint or None
            The lifetime that the entry replaces, if any.
        """
        if self._is_stale(entry):
            _, since_s = self._stale_entries.get(entry.incarnation, (entry, now_s))
            self._stale_entries[entry.incarnation] = entry, since_s
            return None
        self._stale_entries.pop(entry.incarnation, None)
        return self._apply_entry(entry, now_s)

    def _is_stale(self, entry: EndpointEntry) -> bool:
        """Whether an entry belongs to a lifetime that was replaced by another one."""
        known = self._endpoints.get(entry.incarnation)
        if known is not None and known.entry.born == entry.born:
            return False
        return entry.born in self._replaced.get(entry.incarnation, ())

    def _apply_entry(self, entry: EndpointEntry, now_s: float) -> Endpoint | None:
        known = self._endpoints.get(entry.incarnation)
        if known is not None and known.entry == entry and known.expires_s is None:
            self._update_cold(known, now_s)
            return None
        ended = None
        if known is not None and known.entry.born != entry.born:
            ended, known = known, None
            self._note_replaced(ended.entry)
            self.drop(entry.incarnation)
        is_new = known is None
        if known is None:
            known = Endpoint(entry)
            known.reports_draining = known.lifetime in self._draining
            self._endpoints[entry.incarnation] = known
            self._lifetimes[known.lifetime] = known
        elif known.entry.service != entry.service:
            self._remove(known)
        known.entry = entry
        known.expires_s = None
        self._update_cold(known, now_s)
        if is_new and self.is_loaded and entry.cold_s is None:
            self._assume_cold(known, now_s, "new, and does not say")
        fresh = Members(self._router, self.zones_out)
        members = self._by_service.setdefault(entry.service, fresh)
        members.put(known)
        return ended

    def _update_cold(self, endpoint: Endpoint, now_s: float) -> None:
        """Apply the remaining cold time that an entry names.

        It counts from when the entry is received, so a delayed entry keeps an endpoint cold for
        too long.
        """
        if endpoint.entry.cold_s is not None:
            endpoint.cold_until_s = now_s + endpoint.entry.cold_s
            if endpoint.entry.cold_s and now_s >= endpoint.presumed_cold_until_s:
                endpoint.cold_source = "its entry"

    def _assume_cold(self, endpoint: Endpoint, now_s: float, source: str) -> None:
        endpoint.presume_cold(now_s + self._cold_start_s.get(endpoint.entry.service, 0.0), source)

    def set_cold_starts(self, cold_start_s: dict[str, float]) -> None:
        """Set the seconds for which endpoints are cold after a start, by service."""
        self._cold_start_s = cold_start_s

    def disable_zone(self, zone: str, now_s: float) -> bool:
        """Mark an availability zone as out of service; return whether it was in service."""
        if zone in self.zones_out:
            return False
        self.zones_out[zone] = now_s
        self._invalidate_members()
        return True

    def enable_zone(self, zone: str, now_s: float) -> bool:
        """Mark an availability zone as in service; return whether it was out of service.

        Its endpoints are assumed to be cold, since they may have become cold while no request was
        sent to them.
        """
        if zone not in self.zones_out:
            return False
        del self.zones_out[zone]
        for endpoint in self.of_zone(zone):
            self._assume_cold(endpoint, now_s, "its zone was out of service")
        self._invalidate_members()
        return True

    def mark_draining(self, lifetime: str) -> None:
        """Mark an endpoint as draining though its entry doesn't say so yet."""
        known = self._lifetimes.get(lifetime)
        if known is not None:
            known.reports_draining = True
            self._by_service[known.entry.service].put(known)

    def _invalidate_members(self) -> None:
        for members in self._by_service.values():
            members.invalidate()

    def cold_endpoints(self, now_s: float) -> list[Endpoint]:
        """Return the endpoints that are cold or assumed to be."""
        return [endpoint for endpoint in self._endpoints.values() if endpoint.is_cold(now_s)]

    def _note_replaced(self, entry: EndpointEntry) -> None:
        replaced = self._replaced.pop(entry.incarnation, deque(maxlen=MAX_REPLACED_LIFETIMES))
        replaced.append(entry.born)
        self._replaced[entry.incarnation] = replaced
        while len(self._replaced) > MAX_REPLACED_INCARNATIONS:
            self._replaced.popitem(last=False)

    def drop(self, incarnation: str) -> None:
        """Remove an endpoint whose entry is gone."""
        self._stale_entries.pop(incarnation, None)
        known = self._endpoints.pop(incarnation, None)
        if known is not None:
            del self._lifetimes[known.lifetime]
            self._remove(known)

    def _remove(self, known: Endpoint) -> None:
        members = self._by_service.get(known.entry.service)
        if members is not None:
            members.remove(known)

    def lapse(self, incarnation: str, now_s: float, last_read_s: float | None) -> None:
        """Schedule the removal of an endpoint whose entry is gone.

        The endpoint is kept for a short time, since the entry may be gone because of an outage of
        the registry.

        Parameters
        ----------
        incarnation : str
        now_s : float
        last_read_s : float or None
            When the registry was last read with the entry in it.
        """
        self._stale_entries.pop(incarnation, None)
        known = self._endpoints.get(incarnation)
        if known is None or known.expires_s is not None:
            return
        known.expires_s = now_s + LAPSED_KEPT_S
        if last_read_s is not None and now_s < last_read_s + MAX_KEPT_AFTER_READ_S:
            # The registry was reachable when the entry vanished: the endpoint may have exited.
            known.expires_s = last_read_s + MAX_KEPT_AFTER_READ_S

    def sweep(self, now_s: float) -> list[Endpoint]:
        """Remove lapsed endpoints, and apply entries that turned out not to be stale.

        Returns
        -------
        list of Endpoint
            The lifetimes that have ended.
        """
        ended = []
        for incarnation, known in list(self._endpoints.items()):
            if known.expires_s is not None and now_s >= known.expires_s:
                self.drop(incarnation)
                ended.append(known)
        for entry, since_s in list(self._stale_entries.values()):
            if now_s >= since_s + STALE_ENTRY_S:
                del self._stale_entries[entry.incarnation]
                replaced = self._apply_entry(entry, now_s)
                ended += [] if replaced is None else [replaced]
        return ended

    def get(self, incarnation: str) -> Endpoint | None:
        """Return the current endpoint of an incarnation."""
        return self._endpoints.get(incarnation)

    def of_lifetime(self, lifetime: str) -> Endpoint | None:
        """Return the endpoint of a lifetime, or None if the lifetime has ended."""
        return self._lifetimes.get(lifetime)

    def incarnations(self) -> Iterable[str]:
        """Return every incarnation known."""
        return list(self._endpoints)

    def lifetimes(self) -> Iterable[str]:
        """Return every lifetime known."""
        return list(self._lifetimes)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return all endpoints of a service, including those that accept no new requests."""
        members = self._by_service.get(service)
        return [] if members is None else list(members.by_incarnation.values())

    def of_zone(self, zone: str) -> list[Endpoint]:
        """Return the endpoints in an availability zone."""
        return [endpoint for endpoint in self._endpoints.values() if endpoint.entry.zone == zone]

    def listed(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that aren't draining, including those that fail.

        Endpoints in zones that are out of service are left out.
        """
        members = self._by_service.get(service)
        return [] if members is None else members.in_service()

    def ready(
        self,
        service: str,
        now_s: float,
        rng: Random | None = None,
        is_open: Callable[[Endpoint], bool] | None = None,
    ) -> list[Endpoint]:
        """Return endpoints of a service that accept new requests.

        Where all of them are ejected, the ejections are ignored, since an attempt is better than a
        refusal.

        Parameters
        ----------
        service : str
        now_s : float
        rng : Random, optional
            Generator by which the endpoints of a large service are sampled.
        is_open : callable, optional
            Whether an endpoint accepts calls by its own signals. This is never ignored.
        """
        known = self.listed(service)
        if is_open is not None:
            known = [endpoint for endpoint in known if is_open(endpoint)]
        if rng is not None and len(known) > MAX_UNSAMPLED:
            known = rng.sample(known, SAMPLE_SIZE)
        ready = [endpoint for endpoint in known if endpoint.accepts_work(now_s)]
        return ready or [endpoint for endpoint in known if endpoint.expires_s is None]

    def affinity_endpoint(self, service: str, part: str) -> Endpoint | None:
        """Return the affinity endpoint of a shared part, by a rendezvous hash of its bucket.

        It is the same at every router that knows the same endpoints. It changes only when this
        endpoint leaves the service's candidates or one with a higher score joins them.
        """
        members = self._by_service.get(service)
        if members is None:
            return None
        return members.affinity_endpoint(xxh3_64_intdigest(part.encode()) % AFFINITY_BUCKETS)

    def note_answer(self, endpoint: Endpoint, now_s: float) -> None:
        """Record that an endpoint answered."""
        if endpoint.note_answer():
            self._assume_cold(endpoint, now_s, "its process had ended")
