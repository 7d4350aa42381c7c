"""How routers that share a rate keep it, by ways of sharing, numbers of routers and delays.

``python -m benchmarks limits``, on a virtual clock. One endpoint names a rate after 2 s, and from
then on in each answer; each router has three calls a second that could go there, and all together
five times the rate at least. A fifth of what they tell each other is lost, and each goes by one of
four lists that lack a tenth of the routers.
"""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from random import Random

from xxhash import xxh3_64_intdigest

from umberhitch.core.direct import FleetShare, LimitRules

__all__ = ["run"]

SIZES = (6, 30, 100, 370)
RATES = (0.3, 2.3, 20.0)
DELAYS_S = (0.05, 1.0)
"""From the first answer that names the rate at one router to what the others are told of it."""
STEP_S = 0.05
NAMED_S = 2.0
CONTACT_S = 3.0
END_S = 42.0
REPLY_S = 0.3
OVERLOAD = 5.0
CALLS_A_ROUTER = 3.0
"""A second, for the endpoint's service; 5 in the users' deployment of 29 routers."""
LOST = 0.2
LISTS = 4
RULES = LimitRules()

MaySend = Callable[[int, float], bool]
"""Whether a router may send now, which counts as sent if so."""


def run() -> list[dict[str, float | str]]:
    """Return a row for each way, number of routers, rate and delay of telling."""
    rows: list[dict[str, float | str]] = []
    for way in WAYS:
        for routers in SIZES:
            for rate in RATES:
                for delay_s in DELAYS_S:
                    sent_s = _play(WAYS[way](routers, rate, Random(3)), routers, rate, delay_s)
                    rows.append(_row(way, routers, rate, delay_s, sent_s))
    return rows


def _row(
    way: str, routers: int, rate: float, delay_s: float, sent_s: list[float]
) -> dict[str, float | str]:
    times = [at_s for at_s in sent_s if at_s >= NAMED_S + CONTACT_S]
    worst = max((bisect_left(times, t + RULES.span_s) - n for n, t in enumerate(times)), default=0)
    used = len(times) / (rate * (END_S - NAMED_S - CONTACT_S))
    bound = RULES.bound(rate).max_requests
    return {
        "way": way,
        "routers": routers,
        "rate": rate,
        "told_after_s": delay_s,
        "worst_in_4_s": worst,
        "bound": round(bound, 1),
        "used": round(used, 2),
        "is_kept": "yes" if worst <= bound else "NO",
    }


def _play(may_send: MaySend, routers: int, rate: float, delay_s: float) -> list[float]:
    """Return when the endpoint got requests."""
    rng = Random(5)
    chance = max(CALLS_A_ROUTER, OVERLOAD * rate / routers) * STEP_S
    knows_s = [float("inf")] * routers
    answers: deque[tuple[float, int]] = deque()
    sent_s: list[float] = []
    is_told = False
    for step in range(round(END_S / STEP_S)):
        now_s = step * STEP_S
        while answers and answers[0][0] <= now_s:
            _, router = answers.popleft()
            knows_s[router] = min(knows_s[router], now_s)
            if not is_told:
                is_told = True
                for other in range(routers):
                    if rng.random() >= LOST:
                        knows_s[other] = min(knows_s[other], now_s + delay_s)
        for router in range(routers):
            if rng.random() >= chance:
                continue
            if now_s >= knows_s[router] and not may_send(router, now_s):
                continue
            sent_s.append(now_s)
            if now_s >= NAMED_S:
                answers.append((now_s + REPLY_S, router))
    return sent_s


def _lists(routers: int, rng: Random) -> list[list[str]]:
    """Return the list that each router goes by; each is on its own."""
    names = [f"r{number}" for number in range(routers)]
    views = [rng.sample(names, max(1, routers * 9 // 10)) for _ in range(LISTS)]
    return [sorted({*rng.choice(views), name}) for name in names]


def _a_share_each(routers: int, rate: float, rng: Random) -> MaySend:
    """Each router sends the rate by the number of routers."""
    last_s = [-1e9] * routers

    def may_send(router: int, now_s: float) -> bool:
        if now_s < last_s[router] + routers / rate:
            return False
        last_s[router] = now_s
        return True

    return may_send


def _few_by_hash(routers: int, rate: float, rng: Random) -> MaySend:
    """What the product does."""
    bound, shares = RULES.bound(rate), []
    for number, names in enumerate(_lists(routers, rng)):
        share = FleetShare(f"r{number}")
        share.set_routers(names)
        share.update_registration(True, 0.0)
        shares.append(share)

    def may_send(router: int, now_s: float) -> bool:
        if shares[router].wait_s("e1", bound, now_s) > 0.0:
            return False
        shares[router].note_sent("e1", now_s)
        return True

    return may_send


def _owner_lends(routers: int, rate: float, rng: Random) -> MaySend:
    """One router, by hash, counts for all that take it for the owner; a fifth of asks is lost."""
    lists = _lists(routers, rng)
    owners = [
        min(names, key=lambda name: xxh3_64_intdigest(f"e1|{name}".encode())) for names in lists
    ]
    lent: dict[str, deque[float]] = {}
    most = max(1, round(rate * RULES.span_s))
    window_s = max(RULES.span_s, most / rate)

    def may_send(router: int, now_s: float) -> bool:
        if rng.random() < LOST:
            return False
        counted = lent.setdefault(owners[router], deque(maxlen=most))
        if len(counted) == most and counted[0] > now_s - window_s:
            return False
        counted.append(now_s)
        return True

    return may_send


def _aimd(routers: int, rate: float, rng: Random, cap: float = float("inf")) -> MaySend:
    """Each router halves its pace where the endpoint rejects, and adds a little each second.

    The endpoint rejects what is more than 1.5 times its rate within a second; what is rejected has
    arrived all the same.
    """
    pace = [max(CALLS_A_ROUTER, OVERLOAD * rate / routers)] * routers
    last_s = [0.0] * routers
    arrived: deque[float] = deque()

    def may_send(router: int, now_s: float) -> bool:
        gap_s = now_s - last_s[router]
        if gap_s < 1.0 / pace[router]:
            return False
        pace[router] = min(cap, pace[router] + 0.05 * rate * min(gap_s, 1.0) / routers)
        last_s[router] = now_s
        arrived.append(now_s)
        while arrived[0] <= now_s - 1.0:
            arrived.popleft()
        if len(arrived) > max(1.0, 1.5 * rate):
            pace[router] = max(0.01, pace[router] / 2)
        return True

    return may_send


def _aimd_with_cap(routers: int, rate: float, rng: Random) -> MaySend:
    """The same, and no router alone sends more than the rate."""
    return _aimd(routers, rate, rng, cap=rate)


WAYS: dict[str, Callable[[int, float, Random], MaySend]] = {
    "a share each": _a_share_each,
    "few by hash (taken)": _few_by_hash,
    "an owner lends": _owner_lends,
    "AIMD": _aimd,
    "AIMD, capped": _aimd_with_cap,
}
