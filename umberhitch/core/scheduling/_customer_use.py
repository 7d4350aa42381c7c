"""What customers use of a service at one router, as it is told to the other routers."""

from collections.abc import Iterable

from msgspec import Struct
from xxhash import xxh32_intdigest

__all__ = ["OTHERS", "CustomerUse", "customer_digest", "fade", "largest_uses", "make_use"]

OTHERS = 0
"""In place of a customer, all of a priority that are not told one by one."""
UNITS = 10
"""Sizes are told in tenths, and shares in hundredths: small integers, to keep reports short."""
SHARE_UNITS = 100


class CustomerUse(Struct, frozen=True, array_like=True):
    """What a customer has of a service at one router, at one priority."""

    customer: int
    """Digest of the name; `OTHERS` for several."""
    priority: int
    share_units: int
    running_units: int
    waiting_units: int

    @property
    def share(self) -> float:
        """Return the weight of the customer."""
        return max(1, self.share_units) / SHARE_UNITS

    @property
    def running(self) -> float:
        """Return the sizes of the requests that run, added up."""
        return self.running_units / UNITS

    @property
    def waiting(self) -> float:
        """Return the sizes of the requests that wait, added up."""
        return self.waiting_units / UNITS


def make_use(
    customer: int, priority: int, share: float, running: float, waiting: float
) -> CustomerUse:
    """Return a use in the units in which it is told."""
    units = [round(share * SHARE_UNITS), round(running * UNITS), round(waiting * UNITS)]
    return CustomerUse(customer, priority, *units)


def customer_digest(name: str) -> int:
    """Return the number by which routers tell a customer; shorter than most names.

    Two customers of a thousand share one with a chance of 1 in 8,600; they share a part then.
    """
    return xxh32_intdigest(name.encode()) or 1


def fade(use: CustomerUse, weight: float) -> CustomerUse:
    """Return what a use is still worth by its age, from 1 for a fresh one to 0."""
    return CustomerUse(
        use.customer,
        use.priority,
        use.share_units,
        round(use.running_units * weight),
        round(use.waiting_units * weight),
    )


def largest_uses(uses: Iterable[CustomerUse], count: int) -> list[CustomerUse]:
    """Return the largest uses, and one sum for each priority of the others."""
    ordered = sorted(uses, key=lambda use: use.running_units + use.waiting_units, reverse=True)
    told, sums = ordered[:count], dict[int, CustomerUse]()
    for use in ordered[count:]:
        known = sums.get(use.priority, CustomerUse(OTHERS, use.priority, 0, 0, 0))
        sums[use.priority] = CustomerUse(
            OTHERS,
            use.priority,
            known.share_units + use.share_units,
            known.running_units + use.running_units,
            known.waiting_units + use.waiting_units,
        )
    return told + list(sums.values())
