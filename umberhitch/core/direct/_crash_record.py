"""Requests that were running on endpoints that crashed, and when one of them may be resent.

Which request crashed an endpoint can't be observed, since several were running there. The outcome
of their other runs shows it: a request that crashes its endpoints never completes. So a crash
counts against each request that was running, until a run of that request completes with its
endpoint alive. Crashes under runs that had started before this completion don't count either, so
that requests which many callers send aren't held when a zone is lost.

From the third crash on a request is held, as by a circuit breaker: it is resent only as one probe
at a time, at increasing intervals. Crashes and completions are merged with the same result in any
order and with any repetition, so that routers that received the same notices hold the same
requests.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Crash", "CrashLimits", "CrashRecord", "Hold"]

CUSTOMER_DIGITS = 16
"""Number of leading digits of a request's key that identify its customer."""


@dataclass(frozen=True, slots=True)
class CrashLimits:
    """Limits of a crash record. Times are in seconds.

    Attributes
    ----------
    crashes : int
        Number of crashed endpoints from which on a request is held. When a rack is lost and its
        requests are retried on the next rack, one or two endpoints crash under many requests that
        aren't the cause.
    probe_gaps_s : tuple of float
        Time from the last crash or probe to the first probe, to the second one and so on. The first
        probe is soon, since it serves and releases a request that only happened to be running on
        the endpoint. The second one follows after the endpoints of a lost rack are back.
    hold_s : float
        Time to the next probe after these, doubled for each further one. An endpoint is away for
        about 5 s after a crash, so that one probe in 600 s costs under 1 % of one endpoint.
    max_hold_s : float
        Maximum time to the next probe.
    survival_factor : float
        A run is assumed not to crash its endpoint once it has lasted after its first answer for
        this many times the duration of the longest run under which an endpoint crashed. When a
        rack is lost, some runs of a request that many callers send have lasted this long, so that
        the request isn't held at all.
    min_survival_s : float
        Minimum of that time.
    forget_s : float
        Time without a crash after which a request that isn't held is forgotten.
    max_requests : int
        Maximum number of requests that are remembered. Each takes under 1 kB.
    max_requests_per_customer : int
        Maximum number of them for one customer.
    max_run_ends : int
        Maximum number of requests of which the time of the last completed run is remembered. Each
        takes under 0.2 kB. A router that receives 54 requests per second remembers those of the
        last minute.
    """

    crashes: int = 3
    probe_gaps_s: tuple[float, ...] = (1.0, 10.0)
    hold_s: float = 600.0
    max_hold_s: float = 21_600.0
    survival_factor: float = 3.0
    min_survival_s: float = 1.0
    forget_s: float = 3_600.0
    max_requests: int = 2_048
    max_requests_per_customer: int = 256
    max_run_ends: int = 4_096


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an endpoint while a request was running there.

    Attributes
    ----------
    lifetime : str
        Lifetime of the endpoint.
    service_version : str
        Service and version that the endpoint ran.
    started_s : float
        When the request was sent to the endpoint.
    crashed_s : float
        When the endpoint crashed.
    """

    lifetime: str
    service_version: str
    started_s: float
    crashed_s: float


@dataclass(frozen=True, slots=True)
class Hold:
    """Why a request is held, and until when no probe of it is admitted."""

    crashes: int
    probes: int
    until_s: float


@dataclass(slots=True)
class _Suspect:
    crashes: dict[str, Crash] = field(default_factory=dict)
    probes: int = 0
    last_probe_s: float = float("-inf")
    """When the last probe was admitted."""
    probe_deadline_s: float = float("-inf")
    """When the probe that is running ends at the latest, or minus infinity if none is running."""
    probed_versions: set[str] = field(default_factory=set)
    """Services and versions that probes were admitted to."""

    def last_crash_s(self) -> float:
        return max((crash.crashed_s for crash in self.crashes.values()), default=self.last_probe_s)


class CrashRecord:
    """The crashes known to one router, both observed by it and reported by its peers.

    Parameters
    ----------
    limits : CrashLimits
    """

    def __init__(self, limits: CrashLimits | None = None) -> None:
        self.limits = limits or CrashLimits()
        self._suspects: dict[str, _Suspect] = {}
        self._by_customer: dict[str, dict[str, None]] = {}
        self._run_ends: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    # Recording of events

    def note_crash(self, key: str, crash: Crash) -> bool:
        """Count a crash against a request; return whether the crash is new."""
        if self.is_refuted(key, crash):
            return False
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = self._add(key)
        if crash.lifetime in suspect.crashes:
            return False
        suspect.crashes[crash.lifetime] = crash
        suspect.probe_deadline_s = float("-inf")
        return True

    def is_refuted(self, key: str, crash: Crash) -> bool:
        """Whether a run of the request has completed after the start of the crashed run."""
        completed_s = self._run_ends.get(key)
        return completed_s is not None and crash.started_s <= completed_s

    def note_run_end(self, key: str, at_s: float) -> bool:
        """Record a run that completed with its endpoint alive.

        Returns
        -------
        bool
            Whether the completion clears any crash that counted against the request.
        """
        at_s = max(at_s, self._run_ends.pop(key, at_s))
        self._run_ends[key] = at_s
        if len(self._run_ends) > self.limits.max_run_ends:
            self._run_ends.popitem(last=False)
        suspect = self._suspects.get(key)
        if suspect is None:
            return False
        later = {
            lifetime: crash for lifetime, crash in suspect.crashes.items() if crash.started_s > at_s
        }
        is_cleared = len(later) < len(suspect.crashes)
        suspect.crashes = later
        if not later:
            self._drop(key)
        return is_cleared

    def survival_s(self, key: str) -> float:
        """Return the seconds that a run must last after its first answer to clear the request."""
        longest_s = max(
            (crash.crashed_s - crash.started_s for crash in self.crashes(key)), default=0.0
        )
        return max(self.limits.min_survival_s, self.limits.survival_factor * longest_s)

    def last_run_end_s(self, key: str) -> float | None:
        """Return when a run of the request last completed, or None if that isn't known."""
        return self._run_ends.get(key)

    def note_probe(
        self, key: str, service_version: str, probes: int, at_s: float, until_s: float
    ) -> bool:
        """Record that the ``probes``-th probe was admitted; return whether that is new."""
        suspect = self._suspects.get(key)
        if suspect is None or probes <= suspect.probes:
            return False
        suspect.probes = probes
        suspect.last_probe_s = max(suspect.last_probe_s, at_s)
        suspect.probe_deadline_s = until_s
        suspect.probed_versions.add(service_version)
        return True

    def note_probe_end(self, key: str) -> bool:
        """Record that the last probe ended without a result; return whether one was running."""
        suspect = self._suspects.get(key)
        if suspect is None or suspect.probe_deadline_s == float("-inf"):
            return False
        suspect.probe_deadline_s = float("-inf")
        return True

    # Holds

    def is_suspect(self, key: str) -> bool:
        """Whether any crash counts against a request."""
        return key in self._suspects

    def is_held(self, key: str) -> bool:
        """Whether a request may run only as a probe."""
        suspect = self._suspects.get(key)
        return suspect is not None and len(suspect.crashes) >= self.limits.crashes

    def hold(self, key: str, now_s: float, service_version: str = "") -> Hold | None:
        """Return the hold of a request, or None if it isn't held.

        Parameters
        ----------
        key : str
        now_s : float
        service_version : str
            Service and version that would run the request. The next probe of a version that hasn't
            crashed yet is soon, since the fault may be fixed in that version or avoided by a
            changed configuration.
        """
        suspect = self._suspects.get(key)
        if suspect is None or len(suspect.crashes) < self.limits.crashes:
            return None
        gaps_s = self.limits.probe_gaps_s
        crashed = {crash.service_version for crash in suspect.crashes.values()}
        step = suspect.probes
        if step < len(gaps_s):
            gap_s = gaps_s[step]
        elif service_version and service_version not in crashed | suspect.probed_versions:
            gap_s = gaps_s[0]
        else:
            doubled = self.limits.hold_s * 2.0 ** min(step - len(gaps_s), 16)
            gap_s = min(self.limits.max_hold_s, doubled)
        last_s = max(suspect.last_crash_s(), suspect.last_probe_s)
        until_s = max(last_s + gap_s, suspect.probe_deadline_s)
        return Hold(len(suspect.crashes), suspect.probes, until_s)

    # Queries

    def crashes(self, key: str) -> list[Crash]:
        """Return the crashes that count against a request."""
        suspect = self._suspects.get(key)
        return [] if suspect is None else list(suspect.crashes.values())

    def last_probe(self, key: str) -> tuple[str, int, float] | None:
        """Return a probed version, the number of probes and the time of the last, if any."""
        suspect = self._suspects.get(key)
        if suspect is None or not suspect.probes:
            return None
        return max(suspect.probed_versions), suspect.probes, suspect.last_probe_s

    def suspects(self) -> list[str]:
        """Return the requests that any crash counts against, the oldest first."""
        return list(self._suspects)

    def held(self, now_s: float) -> Iterable[tuple[str, Hold]]:
        """Return the requests that are held, with their holds."""
        for key in self.suspects():
            hold = self.hold(key, now_s)
            if hold is not None:
                yield key, hold

    def forget(self, now_s: float) -> None:
        """Remove requests whose last crash and hold are older than ``forget_s``."""
        for key, suspect in list(self._suspects.items()):
            hold = self.hold(key, now_s)
            expires_s = suspect.last_crash_s() + self.limits.forget_s
            if now_s > expires_s and (hold is None or now_s > hold.until_s + self.limits.forget_s):
                self._drop(key)

    # Size limits

    def _add(self, key: str) -> _Suspect:
        """Add a request, evicting one of the same customer first where the customer has too many.

        So a customer with many requests doesn't evict those of others.
        """
        customer = key[:CUSTOMER_DIGITS]
        own = self._by_customer.setdefault(customer, {})
        if len(own) >= self.limits.max_requests_per_customer:
            self._drop(self._weakest(own))
        if len(self._suspects) >= self.limits.max_requests:
            self._drop(self._weakest(self._suspects))
        self._by_customer.setdefault(customer, own)[key] = None
        suspect = self._suspects[key] = _Suspect()
        return suspect

    def _weakest(self, keys: Iterable[str]) -> str:
        def strength(key: str) -> tuple[int, float]:
            suspect = self._suspects[key]
            return len(suspect.crashes), suspect.last_crash_s()

        return min(keys, key=strength)

    def _drop(self, key: str) -> _Suspect | None:
        suspect = self._suspects.pop(key, None)
        if suspect is not None:
            customer = key[:CUSTOMER_DIGITS]
            own = self._by_customer[customer]
            del own[key]
            if not own:
                del self._by_customer[customer]
        return suspect
