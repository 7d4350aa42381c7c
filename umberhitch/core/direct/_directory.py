"""Which endpoints there are, and which of them take new work.

Nothing new goes to the endpoints of an availability zone that is out of service: they stand in no
list that is given out, and are no home, whatever kind of call it is for. What runs there goes on.

An endpoint may start again under its incarnation: then its entry names another time of birth, and a
new lifetime begins. What is believed of one process dies with its lifetime: that it is banned or
failing, the load that it or peers told, what its engine has cached and reads, its pace, calls under
way on it, its idle connections. What does not: the bucket homes, since parts that return to the
same endpoint are read again once there, and elsewhere not at all; what is known of a version, of
a model's pace, the budgets and the sessions, since none of them speaks of one process.

Which of two lifetimes is the newer one is told by the order in which the registry confirmed their
entries, never by comparing the times.
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
"""How long an entry that lapsed while the registry was away is kept: such entries are back about
2 s after it (the platform's word), and an endpoint that left may get no call 2 s after that."""
MAX_KEPT_AFTER_READ_S = 1.85
"""So long after it surely was still there an entry is kept at most that went after that."""
MAX_UNSAMPLED = 48
"""Up to so many endpoints of a service, all are looked at; of more, a sample."""
SAMPLE_SIZE = 32
"""Drawn for one decision: the least loaded of so many is close to the least loaded of all
(Mitzenmacher, 2001)."""
AFFINITY_BUCKETS = 1024
"""Shared parts fall into so many buckets, each with a home."""
STALE_ENTRY_S = 1.5
"""An entry of a lifetime that was replaced is a late one, unless it stands for so long: a process
that lives writes its entry each 1.2 s."""
MAX_REPLACED_INCARNATIONS = 2000
"""Incarnations of which replaced lifetimes are remembered: the restarts of a day."""
MAX_REPLACED_LIFETIMES = 4
"""Replaced lifetimes that are remembered of each; late entries come within seconds."""


class Directory:
    """The registry's entries as they reached this router.

    Parameters
    ----------
    leaving : container of str
        Lifetimes that are known to leave, whatever their entries say.
    router : str
        Whose directory it is.
    """

    def __init__(self, draining: Container[str] = (), router: str = "") -> None:
        self._draining = draining
        self._router = router
        self._endpoints: dict[str, Endpoint] = {}
        self._lifetimes: dict[str, Endpoint] = {}
        self._replaced: OrderedDict[str, deque[int | None]] = OrderedDict()
        """Lifetimes by incarnation that came to their end when another one began."""
        self._stale_entries: dict[str, tuple[EndpointEntry, float]] = {}
        """Entries of replaced lifetimes, and since when they stand."""
        self._by_service: dict[str, Members] = {}
        self.is_loaded = False
        self.zones_out: dict[str, float] = {}
        """Availability zones that are out of service, and since when that is known here."""
        self._cold_start_s: dict[str, float] = {}
        """By service, where its endpoints are cold after a start."""

    def __len__(self) -> int:
        return len(self._endpoints)

    def put(self, entry: EndpointEntry, now_s: float) -> Endpoint | None:
        """Take an entry that is new, or newer than the one known.

        Returns
        -------
        Endpoint or None
            The lifetime that has come to its end by it.
        """
        if self._is_stale(entry):
            _, since_s = self._stale_entries.get(entry.incarnation, (entry, now_s))
            self._stale_entries[entry.incarnation] = entry, since_s
            return None
        self._stale_entries.pop(entry.incarnation, None)
        return self._apply_entry(entry, now_s)

    def _is_stale(self, entry: EndpointEntry) -> bool:
        """Whether an entry is of a lifetime that another one has replaced."""
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
        """Take an endpoint's word that it is cold: it may be late, and then this is too long."""
        if endpoint.entry.cold_s is not None:
            endpoint.cold_until_s = now_s + endpoint.entry.cold_s
            if endpoint.entry.cold_s and now_s >= endpoint.presumed_cold_until_s:
                endpoint.cold_source = "its entry"

    def _assume_cold(self, endpoint: Endpoint, now_s: float, source: str) -> None:
        endpoint.presume_cold(now_s + self._cold_start_s.get(endpoint.entry.service, 0.0), source)

    def set_cold_starts(self, cold_start_s: dict[str, float]) -> None:
        """Take how long the endpoints of services are cold after a start."""
        self._cold_start_s = cold_start_s

    def disable_zone(self, zone: str, now_s: float) -> bool:
        """Take an availability zone out of service; return whether it was in service."""
        if zone in self.zones_out:
            return False
        self.zones_out[zone] = now_s
        self._invalidate_members()
        return True

    def enable_zone(self, zone: str, now_s: float) -> bool:
        """Take a zone back into service; return whether it was out.

        Its endpoints are taken for cold: they may have become so while nothing was sent there.
        """
        if zone not in self.zones_out:
            return False
        del self.zones_out[zone]
        for endpoint in self.of_zone(zone):
            self._assume_cold(endpoint, now_s, "its zone was out of service")
        self._invalidate_members()
        return True

    def mark_draining(self, lifetime: str) -> None:
        """Take that an endpoint leaves, though its entry does not say so yet."""
        known = self._lifetimes.get(lifetime)
        if known is not None:
            known.reports_draining = True
            self._by_service[known.entry.service].put(known)

    def _invalidate_members(self) -> None:
        for members in self._by_service.values():
            members.invalidate()

    def cold_endpoints(self, now_s: float) -> list[Endpoint]:
        """Return the endpoints that are cold, or taken for it."""
        return [each for each in self._endpoints.values() if each.is_cold(now_s)]

    def _note_replaced(self, entry: EndpointEntry) -> None:
        replaced = self._replaced.pop(entry.incarnation, deque(maxlen=MAX_REPLACED_LIFETIMES))
        replaced.append(entry.born)
        self._replaced[entry.incarnation] = replaced
        while len(self._replaced) > MAX_REPLACED_INCARNATIONS:
            self._replaced.popitem(last=False)

    def drop(self, incarnation: str) -> None:
        """Forget an endpoint whose entry is gone."""
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
        """Keep an endpoint a little whose entry may have gone because the registry was away.

        Parameters
        ----------
        incarnation : str
        now_s : float
        last_read_s : float or None
            When the registry was read last, and the entry was there.
        """
        self._stale_entries.pop(incarnation, None)
        known = self._endpoints.get(incarnation)
        if known is None or known.expires_s is not None:
            return
        known.expires_s = now_s + LAPSED_KEPT_S
        if last_read_s is not None and now_s < last_read_s + MAX_KEPT_AFTER_READ_S:
            # It went since then, while the registry was read: so it may as well have left.
            known.expires_s = last_read_s + MAX_KEPT_AFTER_READ_S

    def sweep(self, now_s: float) -> list[Endpoint]:
        """Drop endpoints whose entries have not come back, and take entries that stand after all.

        Returns
        -------
        list of Endpoint
            The lifetimes that have come to their end.
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
        """Return the endpoint that an incarnation names now."""
        return self._endpoints.get(incarnation)

    def of_lifetime(self, lifetime: str) -> Endpoint | None:
        """Return an endpoint if it is still in that lifetime."""
        return self._lifetimes.get(lifetime)

    def incarnations(self) -> Iterable[str]:
        """Return every incarnation known."""
        return list(self._endpoints)

    def lifetimes(self) -> Iterable[str]:
        """Return every lifetime known."""
        return list(self._lifetimes)

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service, those that take no work included."""
        members = self._by_service.get(service)
        return [] if members is None else list(members.by_incarnation.values())

    def of_zone(self, zone: str) -> list[Endpoint]:
        """Return the endpoints in an availability zone."""
        return [each for each in self._endpoints.values() if each.entry.zone == zone]

    def listed(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that are not leaving, those that fail included."""
        members = self._by_service.get(service)
        return [] if members is None else members.in_service()

    def ready(
        self,
        service: str,
        now_s: float,
        rng: Random | None = None,
        is_open: Callable[[Endpoint], bool] | None = None,
    ) -> list[Endpoint]:
        """Return endpoints of a service that take new work.

        Where all that might take it are banned, the bans are not kept: trying beats refusing.

        Parameters
        ----------
        service : str
        now_s : float
        rng : Random, optional
            With it, the endpoints of a large service are a sample.
        is_open : callable, optional
            Whether an endpoint may be sent to at all, by its own word: that holds always.
        """
        known = self.listed(service)
        if is_open is not None:
            known = [each for each in known if is_open(each)]
        if rng is not None and len(known) > MAX_UNSAMPLED:
            known = rng.sample(known, SAMPLE_SIZE)
        ready = [each for each in known if each.accepts_work(now_s)]
        return ready or [each for each in known if each.expires_s is None]

    def affinity_endpoint(self, service: str, part: str) -> Endpoint | None:
        """Return the endpoint that is the home of a shared part (rendezvous hash, by buckets).

        It is the same at every router that knows the same endpoints, and moves only with its own.
        """
        members = self._by_service.get(service)
        if members is None:
            return None
        return members.affinity_endpoint(xxh3_64_intdigest(part.encode()) % AFFINITY_BUCKETS)

    def note_answer(self, endpoint: Endpoint, now_s: float) -> None:
        """Note that an endpoint answered."""
        if endpoint.note_answer():
            self._assume_cold(endpoint, now_s, "its process had ended")
