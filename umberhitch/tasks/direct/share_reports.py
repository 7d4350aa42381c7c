"""What routers tell each other of customers' use of services under pressure."""

from collections.abc import Iterable, Mapping

from umberhitch.core.scheduling import CustomerShares, CustomerUse, fade
from umberhitch.wire import PeerReport, ServiceUse

__all__ = ["apply_uses", "told_uses"]

MAX_SERVICES = 4
"""Services that a report tells of: those with the most customers under way."""
FRESH_PART = 0.5
"""A report counts in full for this part of the time after which its sender is taken to be gone, and
then less and less: what a vanished router had running ends one by one."""


def told_uses(shares: Mapping[str, CustomerShares], now_s: float) -> list[ServiceUse]:
    """Return what to tell the other routers; nothing in a quiet time."""
    told = [ServiceUse(service, each.told(now_s)) for service, each in shares.items()]
    told = [each for each in told if each.uses]
    told.sort(key=lambda each: len(each.uses), reverse=True)
    return told[:MAX_SERVICES]


def apply_uses(
    shares: Mapping[str, CustomerShares], reports: Iterable[tuple[PeerReport, float, float]]
) -> None:
    """Pass on what the other routers told.

    Parameters
    ----------
    shares : Mapping
        By service; what is told of others is ignored.
    reports : Iterable
        Reports, their ages, and the ages at which their senders are taken to be gone.
    """
    found: dict[str, list[CustomerUse]] = {service: [] for service in shares}
    for report, age_s, silence_s in reports:
        weight = min(1.0, (1.0 - age_s / silence_s) / (1.0 - FRESH_PART))
        for told in report.customers:
            if told.service in found and weight > 0.0:
                found[told.service] += [fade(use, weight) for use in told.uses]
    for service, uses in found.items():
        shares[service].set_peers(uses)
