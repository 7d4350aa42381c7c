"""What customers use of a service at one router, as it is told to the other routers."""

from collections.abc import Iterable

from msgspec import Struct, structs
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
    refused_units: int = 0

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

    @property
    def refused(self) -> float:
        """Return the sizes of the requests that were refused lately, added up."""
        return self.refused_units / UNITS

    @property
    def size_units(self) -> int:
        """Return all that the customer wants."""
        return self.running_units + self.waiting_units + self.refused_units

    def plus(self, other: "CustomerUse") -> "CustomerUse":
        """Return this and another use as one of this customer, which keeps its share."""
        return CustomerUse(
            self.customer,
            self.priority,
            self.share_units,
            self.running_units + other.running_units,
            self.waiting_units + other.waiting_units,
            self.refused_units + other.refused_units,
        )


def make_use(
    customer: int,
    priority: int,
    share: float,
    running: float,
    waiting: float,
    refused: float = 0.0,
) -> CustomerUse:
    """Return a use in the units in which it is told."""
    sizes = [round(size * UNITS) for size in (running, waiting, refused)]
    return CustomerUse(customer, priority, round(share * SHARE_UNITS), *sizes)


def customer_digest(name: str) -> int:
    """Return the number by which routers tell a customer; shorter than most names.

    Customers with equal digests, which is improbable, are counted as one.
    """
    return xxh32_intdigest(name.encode()) or 1


def fade(use: CustomerUse, weight: float) -> CustomerUse:
    """Return what a use is still worth by its age, from 1 for a fresh one to 0."""
    sizes = (use.running_units, use.waiting_units, use.refused_units)
    return CustomerUse(
        use.customer, use.priority, use.share_units, *(round(size * weight) for size in sizes)
    )


def largest_uses(uses: Iterable[CustomerUse], count: int) -> list[CustomerUse]:
    """Return the largest uses, and one sum for each priority of the others."""
    ordered = sorted(uses, key=lambda use: use.size_units, reverse=True)
    told, sums, shares = ordered[:count], dict[int, CustomerUse](), dict[int, int]()
    for use in ordered[count:]:
        shares[use.priority] = shares.get(use.priority, 0) + use.share_units
        known = sums.get(use.priority, CustomerUse(OTHERS, use.priority, 0, 0, 0))
        sums[use.priority] = known.plus(use)
    return told + [
        structs.replace(each, share_units=shares[priority]) for priority, each in sums.items()
    ]
