"""Which of several possible causes the known crashes are attributed to.

Wherever an endpoint crashes, many requests are running, and several parts of prompts come with each
of them. All of these are possible causes of a crash. A cause that explains more crashes than
another one goes first, and a crash that it explains no longer counts against the others. A cause
that has completed before is less likely, and so explains a crash only if no other one does.
"""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["Crash", "Evidence", "find_causes"]

RETRY_S = 0.1
"""Seconds within which calls to a lost rack are retried on endpoints that are lost too."""
COMPLETED_HANDICAP = 2
"""Number of crashes that a cause which has completed before must explain beyond another one."""


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
    customer : str
        Customer of the request, as in its keys.
    """

    lifetime: str
    service_version: str
    started_s: float
    crashed_s: float
    customer: str = ""


@dataclass(frozen=True, slots=True)
class Evidence:
    """What counts against one possible cause.

    Attributes
    ----------
    crashes : mapping of str to Crash
        By the lifetime of the endpoint.
    has_completed : bool
        Whether a run with this cause has completed before.
    needs_two_customers : bool
        Whether crashes under the requests of a single customer are not enough.
    """

    crashes: Mapping[str, Crash]
    has_completed: bool = False
    needs_two_customers: bool = False

    def weight(self, explained: set[str]) -> int:
        """Return the number of crashes that no other cause explains.

        Of a cause that has completed, crashes within `MOMENT_S` count once: they are what
        the loss of a rack looks like, with requests that many callers send.
        """
        crashes = [crash for name, crash in self.crashes.items() if name not in explained]
        if self.needs_two_customers and len({crash.customer for crash in crashes}) < 2:
            return 0
        return _count_in_sequence(crashes) if self.has_completed else len(crashes)


def _count_in_sequence(crashes: list[Crash]) -> int:
    """Return the largest number of crashes whose runs were sent one after the other's crash."""
    count, last_s = 0, float("-inf")
    for crash in sorted(crashes, key=lambda each: each.crashed_s):
        if crash.started_s > last_s + RETRY_S:
            count, last_s = count + 1, crash.crashed_s
    return count


def find_causes(evidence: Mapping[str, Evidence], min_crashes: int) -> frozenset[str]:
    """Return the causes that the crashes are attributed to.

    Causes that explain equally much are all returned, since nothing tells them apart.

    Parameters
    ----------
    evidence : mapping of str to Evidence
        By the key of the cause.
    min_crashes : int
        Minimum number of crashes that a cause must explain.
    """
    left = {key: item for key, item in evidence.items() if len(item.crashes) >= min_crashes}
    causes: set[str] = set()
    explained: set[str] = set()
    while left:
        weights = {key: item.weight(explained) for key, item in left.items()}
        left = {key: item for key, item in left.items() if weights[key] >= min_crashes}
        if not left:
            break
        scores = {
            key: weights[key] - COMPLETED_HANDICAP * item.has_completed
            for key, item in left.items()
        }
        best = max(scores.values())
        found = [key for key, score in scores.items() if score == best]
        causes.update(found)
        for key in found:
            explained.update(left.pop(key).crashes)
    return frozenset(causes)
