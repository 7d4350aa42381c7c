"""What endpoints have said of themselves, as it stands at one router: one table for operators.

The load that an endpoint reports is not in it: it is an estimate that loses its weight with its
age, stands for every endpoint, and binds nobody.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from umberhitch.core.direct import Directory, SignalKind
from umberhitch.tasks.direct.send_gate import SendGate

__all__ = ["ActiveSignal", "active_signals"]


@dataclass(frozen=True, slots=True)
class ActiveSignal:
    """One thing that one lifetime of an endpoint has said.

    Attributes
    ----------
    lifetime : str
    kind : SignalKind
    source : str
        How it is known.
    age_s : float or None
        Since it was said last, where that is known.
    left_s : float or None
        Until it ends, where it ends by itself.
    details : dict of str to float
        What belongs to its kind.
    """

    lifetime: str
    kind: SignalKind
    source: str
    age_s: float | None = None
    remaining_s: float | None = None
    details: dict[str, float] = field(default_factory=dict)


def active_signals(gate: SendGate, directory: Directory, now_s: float) -> list[ActiveSignal]:
    """Return what stands now, by kind and endpoint."""
    return [
        *_leaving(gate, now_s),
        *_rests(gate, now_s),
        *_limits(gate, now_s),
        *_cold(directory, now_s),
    ]


def _leaving(gate: SendGate, now_s: float) -> Iterator[ActiveSignal]:
    for lifetime, word in gate.closed.draining.items():
        yield ActiveSignal(lifetime, SignalKind.DRAINING, word.source, now_s - word.received_s)


def _rests(gate: SendGate, now_s: float) -> Iterator[ActiveSignal]:
    for lifetime, rest in gate.closed.backoffs.items():
        age_s, left_s = now_s - rest.received_s, max(0.0, rest.until_s - now_s)
        opens = {"opens_in_s": round(max(0.0, rest.resume_s - now_s), 3)}
        yield ActiveSignal(lifetime, SignalKind.BACKOFF, "its answer", age_s, left_s, opens)


def _limits(gate: SendGate, now_s: float) -> Iterator[ActiveSignal]:
    for lifetime, limit in gate.limits:
        bound = gate.rules.bound(limit.rate)
        details = {
            "rate": limit.rate,
            "known_for_s": round(now_s - limit.since_s, 3),
            "share": gate.shares.quota(lifetime, bound),
            "share_window_s": round(gate.shares.window_s(bound), 3),
            "used": gate.shares.used(lifetime, bound, now_s),
        }
        age_s = now_s - limit.received_s
        yield ActiveSignal(lifetime, SignalKind.LIMIT, limit.source, age_s, None, details)


def _cold(directory: Directory, now_s: float) -> Iterator[ActiveSignal]:
    for each in directory.cold_endpoints(now_s):
        left_s = max(each.cold_until_s, each.presumed_cold_until_s) - now_s
        yield ActiveSignal(each.lifetime, SignalKind.COLD, each.cold_source, None, left_s)
