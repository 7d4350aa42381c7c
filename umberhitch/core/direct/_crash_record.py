"""Possible causes of endpoints' crashes, and when a request with one of them may be sent again.

Which request crashed an endpoint can't be observed, since several were running there. The outcome
of other runs shows it: what crashes its endpoints never completes. So a crash counts against each
possible cause that was running there, the whole requests and the parts of their prompts, until a
run with this cause completes with its endpoint alive. Crashes under runs that had started before
this completion don't count either, so that what many callers send isn't held when a zone is lost.

From the third crash on a cause is held, as by a circuit breaker, unless another cause explains its
crashes: requests with it are sent only as one probe at a time, at increasing intervals. Crashes and
completions are merged with the same result in any order and with any repetition, so that routers
that received the same notices hold the same causes.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from umberhitch.core.direct._cause_keys import customer_of_key, is_part_of_all, part_of_key
from umberhitch.core.direct._crash_causes import Crash, Evidence, find_causes

__all__ = ["CrashLimits", "CrashRecord", "Hold"]


@dataclass(frozen=True, slots=True)
class CrashLimits:
    """Limits of a crash record. Times are in seconds.

    Attributes
    ----------
    crashes : int
        Number of crashed endpoints from which on a cause is held. When a rack is lost and its
        requests are retried on the next rack, one or two endpoints crash under many requests that
        aren't the cause.
    probe_gaps_s : tuple of float
        Time from the last crash or probe to the first probe, to the second one and so on. The first
        probe is soon, since it serves and releases a request that only happened to be running on
        the endpoint. The second one follows after the endpoints of a lost rack are back.
    hold_s : float
        Time to the next probe after these, doubled for each further one. An endpoint is away for
        about 5 s after a crash, so that one probe in 600 s costs under 1 % of one endpoint. A
        cause that has completed before keeps the last of the gaps before this, as many sound
        requests may wait for it.
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
        Time without a crash after which a cause that isn't held is forgotten.
    max_causes : int
        Maximum number of causes that are remembered. Each takes under 1 kB, or 4 kB at most.
    max_causes_per_customer : int
        Maximum number of them for one customer.
    max_parts_of_all : int
        Maximum number of them that are parts in the prompts of any customer.
    max_crashes_per_cause : int
        Maximum number of crashes that are remembered for one cause, the newest ones.
    max_run_ends : int
        Maximum number of requests, and of parts of prompts, of which the time of the last completed
        run is remembered. Each takes under 0.2 kB. A router that receives 54 requests per second
        remembers those of the last minute.
    """

    crashes: int = 3
    probe_gaps_s: tuple[float, ...] = (1.0, 10.0)
    hold_s: float = 600.0
    max_hold_s: float = 21_600.0
    survival_factor: float = 3.0
    min_survival_s: float = 1.0
    forget_s: float = 3_600.0
    max_causes: int = 2_048
    max_causes_per_customer: int = 256
    max_parts_of_all: int = 512
    max_crashes_per_cause: int = 32
    max_run_ends: int = 4_096


@dataclass(frozen=True, slots=True)
class Hold:
    """Why a cause is held, and until when no probe of it is admitted."""

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
        self._part_run_ends: OrderedDict[str, float] = OrderedDict()
        self._held: frozenset[str] | None = frozenset()
        """Causes that the crashes are attributed to; None if that must be found anew."""

    def __len__(self) -> int:
        return len(self._suspects)

    # Recording of events

    def note_crash(self, key: str, crash: Crash) -> bool:
        """Count a crash against a cause; return whether the crash is new."""
        if self.is_refuted(key, crash):
            return False
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = self._add(key)
        known = suspect.crashes.get(crash.lifetime)
        if known is not None:
            # Another run with the cause, sent to the same endpoint later, is refuted later.
            if crash.started_s > known.started_s:
                suspect.crashes[crash.lifetime] = replace(known, started_s=crash.started_s)
                self._held = None
            return False
        suspect.crashes[crash.lifetime] = crash
        suspect.probe_deadline_s = float("-inf")
        if len(suspect.crashes) > self.limits.max_crashes_per_cause:
            oldest = min(suspect.crashes.values(), key=lambda each: each.crashed_s)
            del suspect.crashes[oldest.lifetime]
        self._held = None
        return True

    def is_refuted(self, key: str, crash: Crash) -> bool:
        """Whether a run with the cause has completed after the start of the crashed run."""
        completed_s = self.last_run_end_s(key)
        return completed_s is not None and crash.started_s <= completed_s

    def note_run_end(self, key: str, at_s: float) -> bool:
        """Record a run that completed with its endpoint alive.

        Returns
        -------
        bool
            Whether the completion clears any crash that counted against the cause.
        """
        ends = self._ends_of(key)
        at_s = max(at_s, ends.pop(key, at_s))
        ends[key] = at_s
        if len(ends) > self.limits.max_run_ends:
            ends.popitem(last=False)
        suspect = self._suspects.get(key)
        if suspect is None:
            return False
        self._held = None
        later = {
            lifetime: crash for lifetime, crash in suspect.crashes.items() if crash.started_s > at_s
        }
        is_cleared = len(later) < len(suspect.crashes)
        suspect.crashes = later
        if not later:
            self._drop(key)
        return is_cleared

    def _ends_of(self, key: str) -> OrderedDict[str, float]:
        """Return the ends of runs of requests or of parts, which don't evict each other."""
        return self._run_ends if part_of_key(key) is None else self._part_run_ends

    def survival_s(self, key: str) -> float:
        """Return the seconds that a run must last after its first answer to clear the cause."""
        longest_s = max(
            (crash.crashed_s - crash.started_s for crash in self.crashes(key)), default=0.0
        )
        return max(self.limits.min_survival_s, self.limits.survival_factor * longest_s)

    def last_run_end_s(self, key: str) -> float | None:
        """Return when a run with the cause last completed, or None if that isn't known."""
        return self._ends_of(key).get(key)

    def has_completed(self, key: str) -> bool:
        """Whether a run with the cause is known to have completed at any time."""
        return key in self._ends_of(key)

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
        """Whether any crash counts against a cause."""
        return key in self._suspects

    def is_likely(self, key: str) -> bool:
        """Whether a crash counts against a cause that isn't known to be harmless before.

        A part that many requests share is a suspect after any crash, and cleared within a second.
        """
        return key in self._suspects and (part_of_key(key) is None or not self.has_completed(key))

    def is_unproven(self, key: str) -> bool:
        """Whether a complete reply alone doesn't prove a cause harmless.

        Its endpoint may still crash right after the reply, so it must be checked. A request that
        isn't a suspect needs no check, as it may never come again.
        """
        if part_of_key(key) is None:
            return key in self._suspects
        return not self.has_completed(key)

    def is_held(self, key: str) -> bool:
        """Whether requests with this cause may run only as probes."""
        return key in self.held_keys()

    def held_keys(self) -> frozenset[str]:
        """Return the causes that are held."""
        if self._held is None:
            evidence = {
                key: Evidence(suspect.crashes, self.has_completed(key), is_part_of_all(key))
                for key, suspect in self._suspects.items()
                if len(suspect.crashes) >= self.limits.crashes
            }
            self._held = find_causes(evidence, self.limits.crashes)
        return self._held

    def hold(self, key: str, now_s: float, service_version: str = "") -> Hold | None:
        """Return the hold of a cause, or None if it isn't held.

        Parameters
        ----------
        key : str
        now_s : float
        service_version : str
            Service and version that would run the request. The next probe of a version that hasn't
            crashed yet is soon, since the fault may be fixed in that version or avoided by a
            changed configuration.
        """
        if not self.is_held(key):
            return None
        suspect = self._suspects[key]
        last_s = max(suspect.last_crash_s(), suspect.last_probe_s)
        gap_s = self._probe_gap_s(key, suspect, service_version)
        until_s = max(last_s + gap_s, suspect.probe_deadline_s)
        return Hold(len(suspect.crashes), suspect.probes, until_s)

    def _probe_gap_s(self, key: str, suspect: _Suspect, service_version: str) -> float:
        """Return the time from the last crash or probe to the next probe."""
        gaps_s = self.limits.probe_gaps_s
        crashed = {crash.service_version for crash in suspect.crashes.values()}
        step = suspect.probes
        if step < len(gaps_s):
            return gaps_s[step]
        if service_version and service_version not in crashed | suspect.probed_versions:
            return gaps_s[0]
        if self.has_completed(key):
            return gaps_s[-1]
        doubled_s = self.limits.hold_s * 2.0 ** min(step - len(gaps_s), 16)
        return min(self.limits.max_hold_s, doubled_s)

    # Queries

    def crashes(self, key: str) -> list[Crash]:
        """Return the crashes that count against a cause."""
        suspect = self._suspects.get(key)
        return [] if suspect is None else list(suspect.crashes.values())

    def last_probe(self, key: str) -> tuple[str, int, float] | None:
        """Return a probed version, the number of probes and the time of the last, if any."""
        suspect = self._suspects.get(key)
        if suspect is None or not suspect.probes:
            return None
        return max(suspect.probed_versions), suspect.probes, suspect.last_probe_s

    def suspects(self) -> list[str]:
        """Return the causes that any crash counts against, the oldest first."""
        return list(self._suspects)

    def held(self, now_s: float) -> Iterable[tuple[str, Hold]]:
        """Return the causes that are held, with their holds, the oldest first."""
        for key in self.suspects():
            hold = self.hold(key, now_s)
            if hold is not None:
                yield key, hold

    def forget(self, now_s: float) -> None:
        """Remove causes whose last crash and hold are older than ``forget_s``."""
        for key, suspect in list(self._suspects.items()):
            hold = self.hold(key, now_s)
            expires_s = suspect.last_crash_s() + self.limits.forget_s
            if now_s > expires_s and (hold is None or now_s > hold.until_s + self.limits.forget_s):
                self._drop(key)

    # Size limits

    def _add(self, key: str) -> _Suspect:
        """Add a cause, evicting one of the same customer first where the customer has too many.

        So a customer with many requests doesn't evict those of others.
        """
        customer = customer_of_key(key)
        limits = self.limits
        own = self._by_customer.setdefault(customer, {})
        most = limits.max_parts_of_all if is_part_of_all(key) else limits.max_causes_per_customer
        if len(own) >= most:
            self._drop(self._weakest(own))
        if len(self._suspects) >= limits.max_causes:
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
            self._held = None
            customer = customer_of_key(key)
            own = self._by_customer[customer]
            del own[key]
            if not own:
                del self._by_customer[customer]
        return suspect
