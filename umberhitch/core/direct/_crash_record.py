"""Requests under which endpoints ended, and when one of them may be run again.

Whose run ended an endpoint cannot be seen, since others were under way there. What tells them apart
is what came of their other runs: one that ends its endpoints never comes to an end itself. So a
crash counts against each request that was under way, until a run of it ends with its endpoint
alive; and a run that had begun before such an end counts for nothing, which keeps what many callers
ask for out of it when a zone is lost.

From the third crash on a request is held, as by a circuit breaker: it is run again by one probe at
a time, and by ever fewer of them. Crashes and ends add up to the same in whatever order and however
often they are told, so that routers that heard the same hold the same.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Crash", "CrashLimits", "CrashRecord", "Hold"]

CUSTOMER_DIGITS = 16
"""The first digits of a request's key are its customer's."""


@dataclass(frozen=True, slots=True)
class CrashLimits:
    """Times in seconds.

    Attributes
    ----------
    crashes : int
        From so many endpoints on a request is held. One or two end under many a request that has
        no part in it, where a rack is lost and what ran there is tried on the next.
    probe_gaps_s : tuple of float
        Time from the last crash or probe to the first probe, and so on. The first is soon, since
        a request that only happened to be there is served by it and free again; the second after
        the endpoints of a lost rack are back.
    hold_s : float
        The same after these; doubled each time. An endpoint is away for some 5 s after a crash, so
        that one probe in 600 s costs under 1 % of one endpoint.
    longest_hold_s : float
    outlived : float
    outlived_s : float
        A run that goes on so many times as long after its first answer as the longest one under
        which an endpoint ended, and for so long at least, is not going to end its own. Of what many
        ask for some runs have, when a rack is lost: so it is held for no time.
    forget_s : float
        A request that is not held and under which no endpoint ended for so long is forgotten.
    kept_requests, kept_of_customer : int
        Requests that are remembered, in all and of one customer. Each takes under 1 kB.
    kept_ends : int
        Requests of which it is remembered when a run ended last; under 0.2 kB each. A router that
        gets 54 requests a second remembers those of the last minute.
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
    """The end of an endpoint while a request was under way there.

    Attributes
    ----------
    lifetime : str
        Of the endpoint.
    place : str
        Service and version that it ran.
    began_s, ended_s : float
        When the request was sent there, and when the endpoint ended.
    """

    lifetime: str
    service_version: str
    started_s: float
    crashed_s: float


@dataclass(frozen=True, slots=True)
class Hold:
    """Why a request is held, and until when no probe of it is let through."""

    crashes: int
    probes: int
    until_s: float


@dataclass(slots=True)
class _Suspect:
    crashes: dict[str, Crash] = field(default_factory=dict)
    probes: int = 0
    last_probe_s: float = float("-inf")
    """When the last probe was let through."""
    probe_deadline_s: float = float("-inf")
    """While it is under way, when it must have ended."""
    probed_versions: set[str] = field(default_factory=set)
    """Places where probes were let through."""

    def last_crash_s(self) -> float:
        return max((each.crashed_s for each in self.crashes.values()), default=self.last_probe_s)


class CrashRecord:
    """What one router knows of crashes, its own and what the others told.

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

    # What happened

    def note_crash(self, key: str, crash: Crash) -> bool:
        """Count the end of an endpoint against a request; return whether that is new."""
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
        """Whether a run of the request has ended since this one began, its endpoint alive."""
        ended_s = self._run_ends.get(key)
        return ended_s is not None and crash.started_s <= ended_s

    def note_run_end(self, key: str, at_s: float) -> bool:
        """Take note that a run ended with its endpoint alive; return whether that frees it."""
        at_s = max(at_s, self._run_ends.pop(key, at_s))
        self._run_ends[key] = at_s
        if len(self._run_ends) > self.limits.max_run_ends:
            self._run_ends.popitem(last=False)
        suspect = self._suspects.get(key)
        if suspect is None:
            return False
        kept = {name: each for name, each in suspect.crashes.items() if each.started_s > at_s}
        is_freed = len(kept) < len(suspect.crashes)
        suspect.crashes = kept
        if not kept:
            self._drop(key)
        return is_freed

    def survival_s(self, key: str) -> float:
        """Return how long a run of a request must go on after its first answer to free it."""
        longest_s = max(
            (each.crashed_s - each.started_s for each in self.crashes(key)), default=0.0
        )
        return max(self.limits.min_survival_s, self.limits.survival_factor * longest_s)

    def last_run_end_s(self, key: str) -> float | None:
        """Return when a run of the request ended last with its endpoint alive, if that is known."""
        return self._run_ends.get(key)

    def note_probe(
        self, key: str, service_version: str, probes: int, at_s: float, until_s: float
    ) -> bool:
        """Take note that a probe was let through, the ``probes``-th; return whether it is new."""
        suspect = self._suspects.get(key)
        if suspect is None or probes <= suspect.probes:
            return False
        suspect.probes = probes
        suspect.last_probe_s = max(suspect.last_probe_s, at_s)
        suspect.probe_deadline_s = until_s
        suspect.probed_versions.add(service_version)
        return True

    def note_probe_end(self, key: str) -> bool:
        """Take note that the last probe has ended and shows nothing."""
        suspect = self._suspects.get(key)
        if suspect is None or suspect.probe_deadline_s == float("-inf"):
            return False
        suspect.probe_deadline_s = float("-inf")
        return True

    # What follows

    def is_suspect(self, key: str) -> bool:
        """Whether an endpoint has ended under a request, and nothing speaks for it."""
        return key in self._suspects

    def is_held(self, key: str) -> bool:
        """Whether a request is run by probes only."""
        suspect = self._suspects.get(key)
        return suspect is not None and len(suspect.crashes) >= self.limits.crashes

    def hold(self, key: str, now_s: float, service_version: str = "") -> Hold | None:
        """Return why a request is held, or None.

        Parameters
        ----------
        key : str
        now_s : float
        service_version : str
            Service and version that would run it. One under which no endpoint has ended yet may be
            mended, or get it by a changed configuration: the next probe of it is soon.
        """
        suspect = self._suspects.get(key)
        if suspect is None or len(suspect.crashes) < self.limits.crashes:
            return None
        gaps_s = self.limits.probe_gaps_s
        known = {each.service_version for each in suspect.crashes.values()}
        step = suspect.probes
        if step < len(gaps_s):
            gap_s = gaps_s[step]
        elif service_version and service_version not in known | suspect.probed_versions:
            gap_s = gaps_s[0]
        else:
            doubled = self.limits.hold_s * 2.0 ** min(step - len(gaps_s), 16)
            gap_s = min(self.limits.max_hold_s, doubled)
        last_s = max(suspect.last_crash_s(), suspect.last_probe_s)
        until_s = max(last_s + gap_s, suspect.probe_deadline_s)
        return Hold(len(suspect.crashes), suspect.probes, until_s)

    # Telling

    def crashes(self, key: str) -> list[Crash]:
        """Return what is held against a request."""
        suspect = self._suspects.get(key)
        return [] if suspect is None else list(suspect.crashes.values())

    def last_probe(self, key: str) -> tuple[str, int, float] | None:
        """Return a place, the number of probes and the time of the last one, if there was any."""
        suspect = self._suspects.get(key)
        if suspect is None or not suspect.probes:
            return None
        return max(suspect.probed_versions), suspect.probes, suspect.last_probe_s

    def suspects(self) -> list[str]:
        """Return the requests against which something is held, the oldest first."""
        return list(self._suspects)

    def held(self, now_s: float) -> Iterable[tuple[str, Hold]]:
        """Return the requests that are held."""
        for key in self.suspects():
            hold = self.hold(key, now_s)
            if hold is not None:
                yield key, hold

    def forget(self, now_s: float) -> None:
        """Forget what is long past."""
        for key, suspect in list(self._suspects.items()):
            hold = self.hold(key, now_s)
            old_s = suspect.last_crash_s() + self.limits.forget_s
            if now_s > old_s and (hold is None or now_s > hold.until_s + self.limits.forget_s):
                self._drop(key)

    # Bounds

    def _add(self, key: str) -> _Suspect:
        """Make room in the customer's own share first, so that no other one pays for it."""
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
