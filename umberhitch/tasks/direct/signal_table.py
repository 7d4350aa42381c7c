"""Table for operators of the signals of endpoints that are active at one router.

The load that an endpoint reports is not listed: it is an estimate that loses weight with age,
exists for every endpoint, and restricts nothing.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from umberhitch.core.direct import Directory, SignalKind
from umberhitch.tasks.direct.send_gate import SendGate

__all__ = ["ActiveSignal", "active_signals"]


@dataclass(frozen=True, slots=True)
class ActiveSignal:
    """A signal from one lifetime of an endpoint.

    Attributes
    ----------
    lifetime : str
    kind : SignalKind
    source : str
        How this router learned of the signal.
    age_s : float or None
        Seconds since the signal was last received, if that is known.
    remaining_s : float or None
        Seconds until the signal expires, if it expires by itself.
    details : dict of str to float
        Further values, which depend on the kind.
    """

    lifetime: str
    kind: SignalKind
    source: str
    age_s: float | None = None
    remaining_s: float | None = None
    details: dict[str, float] = field(default_factory=dict)


def active_signals(gate: SendGate, directory: Directory, now_s: float) -> list[ActiveSignal]:
    """Return the active signals, by kind and endpoint."""
    return [
        *_draining(gate, now_s),
        *_backoffs(gate, now_s),
        *_limits(gate, now_s),
        *_cold(directory, now_s),
    ]


def _draining(gate: SendGate, now_s: float) -> Iterator[ActiveSignal]:
    for lifetime, draining in gate.closed.draining.items():
        yield ActiveSignal(
            lifetime, SignalKind.DRAINING, draining.source, now_s - draining.received_s
        )


def _backoffs(gate: SendGate, now_s: float) -> Iterator[ActiveSignal]:
    for lifetime, backoff in gate.closed.backoffs.items():
        age_s, remaining_s = now_s - backoff.received_s, max(0.0, backoff.until_s - now_s)
        details = {"opens_in_s": round(max(0.0, backoff.resume_s - now_s), 3)}
        yield ActiveSignal(lifetime, SignalKind.BACKOFF, "its answer", age_s, remaining_s, details)


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
    for endpoint in directory.cold_endpoints(now_s):
        remaining_s = max(endpoint.cold_until_s, endpoint.presumed_cold_until_s) - now_s
        yield ActiveSignal(
            endpoint.lifetime, SignalKind.COLD, endpoint.cold_source, None, remaining_s
        )
