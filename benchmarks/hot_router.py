"""``hot_router``: most new connections go to one of the routers, at several times its share.

Real processes on this machine: three routers, a stand-in platform with six endpoints, and three
processes of callers, who send plain requests at a fixed rate, each on a new connection, whatever
becomes of them. A caller whose connection is refused, or closed before any answer, tries the other
routers. Counted: what was served by the first attempt that a router read, and when.
"""

import asyncio
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from typing import Any

from umberhitch.platform.standins.client import API_KEY, LocalPlatform, wait_until

__all__ = ["run"]

ROUTERS, ENDPOINTS, CALLERS = 3, 6, 3
RATES = (60.0, 180.0, 600.0, 1_100.0, 1_500.0)
"""New connections a second at all routers together."""
HOT_SHARE = 0.9
LENGTH_S = 6.0
CONNECT_S = 1.0
ANSWER_S = 3.0
OBJECTIVE_S = 0.25
REQUEST = (
    "POST /look/x HTTP/1.1\r\nHost: models.example\r\nAttempt-Id: {call_id}\r\n"
    f"Authorization: Bearer {API_KEY}\r\nDeadline-Ms: 3000\r\n"
    "Content-Length: 4\r\nConnection: close\r\n\r\nbody"
)


async def _try(address: str, call_id: str) -> str:
    """Send a request on a new connection; return what came of it."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT_S)
    except (OSError, TimeoutError):
        return "unread"
    try:
        writer.write(REQUEST.format(call_id=call_id).encode())
        line = await asyncio.wait_for(reader.readline(), ANSWER_S)
        if not line:
            return "unread"
        await asyncio.wait_for(reader.read(), ANSWER_S)
        return line.split()[1].decode()
    except ConnectionError:
        return "unread"
    except TimeoutError:
        return "late"
    finally:
        writer.close()


async def _ask(addresses: list[str], first: int, call_id: str, seen: Counter[str]) -> None:
    """Send a request to one router, and to the others while none reads it."""
    began_s = monotonic()
    order = [first, *(n for n in range(len(addresses)) if n != first)]
    for tries, number in enumerate(order):
        found = await _try(addresses[number], f"{call_id}.{tries}")
        if found != "unread":
            break
        seen["closed unread"] += 1
    seen["requests"] += 1
    seen[found] += 1
    if found == "200":
        seen["on time"] += monotonic() - began_s <= OBJECTIVE_S


async def _send(addresses: list[str], rate: float, hot_share: float, seed: int) -> Counter[str]:
    rng, seen = Random(seed), Counter[str]()
    tasks = []
    began_s = monotonic()
    for number in range(round(rate * LENGTH_S)):
        await asyncio.sleep(max(0.0, began_s + number / rate - monotonic()))
        first = 0 if rng.random() < hot_share else rng.randrange(len(addresses))
        call_id = f"{seed}-{rate}-{hot_share}-{number}"
        tasks.append(asyncio.create_task(_ask(addresses, first, call_id, seen)))
    await asyncio.gather(*tasks)
    return seen


def _call(addresses: list[str], rate: float, hot_share: float, seed: int) -> dict[str, int]:
    return dict(asyncio.run(_send(addresses, rate, hot_share, seed)))


def _measure(platform: LocalPlatform, rate: float, hot_share: float) -> dict[str, Any]:
    addresses = [router.addresses["callers"] for router in platform.routers]
    with ProcessPoolExecutor(CALLERS) as pool:
        parts = [
            pool.submit(_call, addresses, rate / CALLERS, hot_share, seed)
            for seed in range(CALLERS)
        ]
        seen = sum((Counter(part.result()) for part in parts), Counter[str]())
    total = seen["requests"]
    return {
        "rate_per_s": rate,
        "share_of_one_router": hot_share or round(1 / ROUTERS, 2),
        "served": round(seen["200"] / total, 3),
        "on_time": round(seen["on time"] / total, 3),
        "closed_unread": seen["closed unread"],
        "late": seen["late"],
        "other": total - seen["200"] - seen["late"],
    }


def run() -> dict[str, Any]:
    """Return a row for each rate, with even shares and with most for one router."""
    with TemporaryDirectory() as folder:
        platform = LocalPlatform(Path(folder))
        try:
            platform.publish(1)
            for number in range(ENDPOINTS):
                platform.add_endpoint(f"e{number}")
            for number in range(ROUTERS):
                platform.start_router(f"r{number}")
            wait_until(
                lambda: all(each.status()["routers"] == ROUTERS for each in platform.routers)
            )
            sleep(2.0)
            rows = [_measure(platform, rate, share) for rate in RATES for share in (0.0, HOT_SHARE)]
        finally:
            platform.close()
    return {"hot_router": rows}
