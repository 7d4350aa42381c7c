"""``crashing``: a request that ends endpoints, by the number of routers and how late they are told.

On the virtual clock; 40 endpoints, back 3 s after they end. The request comes each 0.1 s at the
routers in turn for 20 s. Counted: calls of it to endpoints, those later than 3 s after the third
crash, endpoints that ended; and how many of a popular harmless request are refused as held while a
part of all endpoints ends three times.
"""

import logging
from typing import Any

from umberhitch.fakes import Reply
from umberhitch.tasks.direct.proxied_request import HELD
from umberhitch.testing import CrashingFleet, DirectAsk, PartLoad
from umberhitch.wire import CrashUpdate, Message

__all__ = ["run"]

SIZES = (6, 30, 100, 370)
DELAYS_S = (0.001, 0.1, 1.0)
ENDPOINTS = 40
GAP_S = 0.1
LENGTH_S = 20.0
KNOWN_S = 3.0
STREAM = Reply(events=8, gap_s=0.05)
LONG = Reply(events=60, gap_s=0.05)
LOST_AT_S = (5.0, 10.0, 15.0)


def _fleet(routers: int, reply: Reply) -> CrashingFleet:
    return CrashingFleet(routers=routers, endpoints=ENDPOINTS, reply=reply)


def measure(routers: int, delay_s: float, is_told: bool = True) -> dict[str, Any]:
    """Return what a crashing request reached."""
    fleet = _fleet(routers, STREAM)
    network = fleet.world.network
    news = [0]

    def count(sender: str, receiver: str, message: Message) -> bool:
        is_news = isinstance(message, CrashUpdate)
        news[0] += is_news
        return is_news and not is_told

    network.drop_where(count)
    network.faults.late = 1.0 if delay_s > 0.001 else 0.0
    network.faults.late_s = delay_s
    before = network.bytes
    fleet.every(GAP_S, LENGTH_S, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(LENGTH_S + 4.0)
    return {
        "routers": routers,
        "told_after_s": delay_s if is_told else None,
        "sends": len(fleet.sends_s()),
        "late_sends": fleet.late_sends(KNOWN_S),
        "endpoints_ended": len(fleet.crashes_s),
        "crash_messages_a_router": round(news[0] / routers, 1),
        "bytes_a_router_a_second": round((network.bytes - before) / routers / (LENGTH_S + 4.0)),
    }


def measure_harmless(share: float, is_beside: bool) -> dict[str, Any]:
    """Return how a popular request fares while a part of the endpoints ends three times."""
    fleet = _fleet(6, LONG)
    popular: list[DirectAsk] = []
    others: list[DirectAsk] = []
    fleet.every(0.05, 19.0, lambda n: popular.append(fleet.ask(n, "/draft/x", body=b"popular")))
    fleet.every(0.05, 19.0, lambda n: others.append(fleet.ask(n, "/draft/x", body=b"%d" % n)))
    if is_beside:
        fleet.every(0.4, 19.0, lambda n: fleet.ask(n, "/draft/x"))
    for at_s in LOST_AT_S:
        fleet.world.clock.callLater(at_s, fleet.crash_share, share)
    fleet.world.run(25.0)
    return {
        "share_lost": share,
        "beside_a_crashing_request": is_beside,
        "popular": len(popular),
        "popular_done": sum(ask.status == 200 for ask in popular),
        "popular_held": sum(HELD.encode() in ask.reply.body for ask in popular),
        "others_done": sum(ask.status == 200 for ask in others),
        "others_held": sum(HELD.encode() in ask.reply.body for ask in others),
    }


def measure_part(routers: int) -> dict[str, Any]:
    """Return what requests with a crashing part reached, no two of which are alike."""
    fleet = CrashingFleet(
        routers=routers, endpoints=ENDPOINTS, reply=STREAM, crashing_parts=("bad",)
    )
    load = PartLoad(fleet)
    network = fleet.world.network
    news = [0]

    def count(sender: str, receiver: str, message: Message) -> bool:
        news[0] += isinstance(message, CrashUpdate)
        return False

    network.drop_where(count)
    load.play()
    return {
        "routers": routers,
        "sends": len(fleet.part_sends_s("bad")),
        "late_sends": load.late_sends(),
        "endpoints_ended": len(fleet.part_crashes_s("bad")),
        "sound_served": load.served_after(),
        "crash_messages_a_router": round(news[0] / routers, 1),
    }


def run() -> dict[str, Any]:
    """Return all rows."""
    logging.disable(logging.WARNING)
    rows = [measure(size, delay_s) for size in SIZES[:3] for delay_s in DELAYS_S]
    rows.append(measure(SIZES[3], DELAYS_S[0]))
    rows += [measure(size, 0.0, is_told=False) for size in SIZES[:2]]
    harmless = [
        measure_harmless(share, is_beside)
        for share in (0.0, 0.25, 0.5, 1.0)
        for is_beside in (False, True)
    ]
    parts = [measure_part(size) for size in SIZES[:3]]
    return {"crashing": rows, "harmless": harmless, "parts": parts}
