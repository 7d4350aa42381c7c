"""Quotas while the list of routers changes, and each router reads it at another moment.

Guards against a router that takes over the quota of another one which still uses it: when the store
gives its places to other routers, the former senders learn that only seconds later.
"""

from random import Random

import pytest

from umberhitch.core.direct import ColdLimits, FleetBound, FleetShare, LimitRules

OVERLAP_S = 4.0
"""A router reads a new list within this time."""
STEP_S = 0.25
CHANGE_EVERY_S = 5.0
BOUNDS = (
    LimitRules().bound(2.0),
    LimitRules().bound(20.0),
    LimitRules().bound(300.0),
    ColdLimits().bound(14.0),
)


class Fleet:
    """Routers that read the store's list at random moments, each within `OVERLAP_S`."""

    def __init__(self, rng: Random, overlap_s: float) -> None:
        self._rng = rng
        self._overlap_s = overlap_s
        self.shares: dict[str, FleetShare] = {}
        self._listed_s: dict[str, float] = {}
        self._lists: list[tuple[float, list[str]]] = []
        self._reads_s: dict[str, float] = {}

    def change(self, names: list[str], now_s: float) -> None:
        """Change the list in the store."""
        self._lists.append((now_s, names))
        for name in sorted({*names, *self.shares}):  # the order of a set differs by process
            self.shares.setdefault(name, FleetShare(name, self._overlap_s))
            self._reads_s[name] = now_s + self._rng.uniform(0.0, OVERLAP_S)

    def step(self, now_s: float) -> None:
        """Let the routers read the list whose moment has come."""
        for name, share in self.shares.items():
            if now_s >= self._reads_s[name]:
                names = self._lists[-1][1]
                share.set_routers(names)
                if name not in names:
                    self._listed_s.pop(name, None)
                elif name not in self._listed_s:
                    self._listed_s[name] = now_s
            listed_s = self._listed_s.get(name)
            is_settled = listed_s is not None and now_s >= listed_s + OVERLAP_S
            share.update_registration(is_settled, now_s)

    def quotas(self, lifetime: str, bound: FleetBound, now_s: float) -> int:
        """Return the sum of the quotas that the routers use now."""
        return sum(
            share.quota(lifetime, bound)
            for share in self.shares.values()
            if share.has_router_list(now_s)
        )


def _names(count: int) -> list[str]:
    return [f"r{number:03d}" for number in range(count)]


def _redealt(rng: Random, change: int) -> list[str]:
    """40 routers have places for 30, and a few others have none after each change."""
    names = _names(40)
    first = 4 * change % 40
    return sorted({*names} - {*(names + names)[first : first + 10]})


def _joining(rng: Random, change: int) -> list[str]:
    """A hundred routers join at a time."""
    return _names(20 + 100 * min(change, 3))


def _dying(rng: Random, change: int) -> list[str]:
    """A third of the routers is lost at a time."""
    names = _names(120)
    Random(3).shuffle(names)
    return sorted(names[: round(120 * (2 / 3) ** min(change, 5))])


CHANGES = (_redealt, _joining, _dying)
READ_SEEDS = (7, 8)
"""Seeds of the moments at which the routers read a list."""


def _sums(change, bound: FleetBound, overlap_s: float, seed: int = READ_SEEDS[0]) -> list[int]:
    rng = Random(seed)
    fleet = Fleet(rng, overlap_s)
    sums: list[int] = []
    for step in range(round(8 * CHANGE_EVERY_S / STEP_S)):
        now_s = step * STEP_S
        if step % round(CHANGE_EVERY_S / STEP_S) == 0:
            fleet.change(change(rng, round(now_s / CHANGE_EVERY_S)), now_s)
        fleet.step(now_s)
        sums += [fleet.quotas(f"e{number}", bound, now_s) for number in range(4)]
    return sums


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__.strip("_"))
@pytest.mark.parametrize("bound", BOUNDS, ids=lambda bound: f"{bound.rate:g}")
@pytest.mark.parametrize("seed", READ_SEEDS)
def test_routers_that_read_a_new_list_one_by_one_have_no_more_than_one_quota(change, bound, seed):
    assert max(_sums(change, bound, OVERLAP_S, seed)) <= FleetShare("r").total_quota(bound)


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__.strip("_"))
def test_half_of_the_quota_is_used_while_the_list_changes(change):
    bound = BOUNDS[1]
    sums = _sums(change, bound, OVERLAP_S)
    used = sums[4 * round(2 * OVERLAP_S / STEP_S) :]  # the first routers are listed by then
    assert sum(used) >= 0.5 * len(used) * FleetShare("r").total_quota(bound)


@pytest.mark.parametrize(("change", "bound"), [(_redealt, BOUNDS[3]), (_dying, BOUNDS[1])])
def test_without_the_former_lists_the_quotas_of_two_lists_add_up(change, bound):
    assert max(_sums(change, bound, 0.0)) > FleetShare("r").total_quota(bound)
