"""The deployment on the users' platform: routers alone, on stand-ins of its store and endpoints."""

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic

from umberhitch.demo._checks import Check
from umberhitch.platform.standins.client import (
    API_KEY,
    COMPLETE_STREAM,
    LocalPlatform,
    RouterProcess,
    wait_until,
)

__all__ = ["run_direct"]

ZONE_A = ("e1", "e2")
COLD_RATE = 2.0
"""Requests a second that a cold endpoint bears; at 8 within one second it ends."""
COLD_S = 30.0
CROWD = 120
CALLERS = 8

LIMIT_RATE = 2.0
"""Requests a second that an endpoint in need names."""
PRESS_S = 6.0
REST_S = 30.0
"""For how long an endpoint wants nothing: longer than the step takes."""

NEW_KEY = "k2"
LATE_KEY = "k3"
COPY_AGE_S = 10.0
ASKS = 20


def run_direct() -> list[Check]:
    """Play a short day, with a fault for each promise, and return what held."""
    with TemporaryDirectory() as folder:
        platform = LocalPlatform(Path(folder))
        try:
            return _play(platform)
        finally:
            platform.close()


def _play(platform: LocalPlatform) -> list[Check]:
    platform.publish(1)
    for name in ("e1", "e2"):
        platform.add_endpoint(name)
    first, second = (platform.start_router(f"router-{number}") for number in (1, 2))
    wait_until(lambda: first.status()["endpoints"] == second.status()["endpoints"] == 2)
    checks = []

    answers = [first.send_request("/look/x", f"look-{number}", API_KEY) for number in range(ASKS)]
    done = sum(answer.status == 200 for answer in answers)
    checks.append(Check("every request has its own answer", done == ASKS, f"{done} of {ASKS}"))

    order = first.send_request("/order/x", "order-1", API_KEY)
    ran = [run for name in ("e1", "e2") for run in platform.runs(name)]
    runs = sum(run["call_id"] == "order-1" for run in ran)
    holds = (order.status, runs) == (200, 1)
    checks.append(Check("what must not be repeated runs once", holds, f"{runs} run"))

    for name in ("e1", "e2"):
        platform.break_streams(name, after_events=2)
    stream = second.send_request("/draft/x", "draft-1", API_KEY, model="small")
    holds = stream.is_complete and stream.body == COMPLETE_STREAM
    checks.append(Check("a stream that breaks off goes on elsewhere", holds))
    for name in ("e1", "e2"):
        platform.break_streams(name, after_events=0)

    platform.publish(2, keys=(NEW_KEY,))
    wait_until(lambda: second.status()["configuration"] == 2)
    status = second.send_request("/look/x", "look-old-key", API_KEY).status
    checks.append(Check("a key that was taken away opens nothing", status == 401, f"{status}"))

    platform.set_store_down(True)
    wait_until(lambda: second.send_request("/look/x", "look-no-store", NEW_KEY).status == 503)
    platform.set_store_down(False)
    wait_until(lambda: second.send_request("/look/x", "look-store-back", NEW_KEY).status == 200)
    checks.append(Check("without proof of the keys nothing is passed on; with it, all is", True))

    checks.append(_return_store(platform, [first, second]))
    checks += _name_limit(platform, [first, second])
    checks += _take_zone_out(platform, second)
    checks += _leave_and_rest(platform, [first, second])

    first.kill()
    answers = [
        second.send_request("/look/x", f"look-alone-{number}", NEW_KEY) for number in range(ASKS)
    ]
    done = sum(answer.status == 200 for answer in answers)
    checks.append(Check("a router that is lost takes nothing along", done == ASKS))
    return checks


def _return_store(platform: LocalPlatform, routers: list[RouterProcess]) -> Check:
    """Let the store lose four configurations; keys stay as confirmed, and new ones come in time."""
    for number in range(3, 7):
        platform.publish(number, keys=(NEW_KEY,))
    wait_until(lambda: all(router.status()["configuration"] == 6 for router in routers))
    platform.restore_store(COPY_AGE_S, away_s=0.5, written_s=1.0)
    wait_until(lambda: all(router.status()["store_returns"] == 1 for router in routers))
    statuses = [router.send_request("/look/x", "look-lost", API_KEY).status for router in routers]
    platform.publish(7, keys=(NEW_KEY, LATE_KEY))
    began_s = monotonic()
    wait_until(lambda: all(router.status()["configuration"] == 7 for router in routers))
    print(
        f"  the store has lost 4 configurations; the next one is in force after {_since(began_s)}"
    )
    statuses += [router.send_request("/look/x", "look-late", LATE_KEY).status for router in routers]
    holds = statuses == [401, 401, 200, 200]
    return Check("a store that returns from an older copy takes nothing back", holds, f"{statuses}")


def _since(began_s: float) -> str:
    return f"{monotonic() - began_s:.2f} s"


def _take_zone_out(platform: LocalPlatform, router: RouterProcess) -> list[Check]:
    """Take zone a out of service under load, and back when its endpoints are cold."""
    platform.publish(9, keys=(NEW_KEY,), cold_rate=COLD_RATE)
    platform.add_endpoint("e3", zone="b")
    wait_until(lambda: router.status()["endpoints"] == 3 and not router.endpoint_signals("cold"))
    usual, served = _crowd(platform, router, "in")
    print(f"  in service: {usual} calls to zone a, {served} of {CROWD} served")
    platform.evacuate_zone("a")
    wait_until(lambda: "a" in router.status()["zones_out"])
    during, served = _crowd(platform, router, "out")
    print(f"  out of service: {during} calls to zone a, {served} of {CROWD} served")
    holds = during == 0 and usual > 0 and served == CROWD
    checks = [Check("nothing new goes to a zone out of service", holds)]

    for name in ZONE_A:
        platform.make_cold(name, COLD_S, COLD_RATE)
    platform.restore_zone("a")
    wait_until(lambda: not router.status()["zones_out"])
    after, served = _crowd(platform, router, "back")
    print(f"  back, its endpoints cold: {after} calls to zone a, {served} of {CROWD} served")
    has_ended = any(platform.has_crashed(name) for name in ZONE_A)
    return [*checks, Check("cold endpoints get no more than they bear", not has_ended)]


def _name_limit(platform: LocalPlatform, routers: list[RouterProcess]) -> list[Check]:
    """Let one endpoint name a limit: the routers keep it together, and the rest goes elsewhere."""
    platform.set_rate_limit("e2", LIMIT_RATE)
    wait_until(lambda: _all_know(routers, True))
    began_s, before = monotonic(), len(platform.arrivals("e2"))

    def ask(number: int) -> bool:
        router = routers[number % len(routers)]
        return router.send_request("/look/x", f"limit-{number}", NEW_KEY).status == 200

    asked = served = 0
    with ThreadPoolExecutor(CALLERS) as pool:
        while monotonic() < began_s + PRESS_S:
            served += sum(pool.map(ask, range(asked, asked + CROWD)))
            asked += CROWD
    arrived, lasted_s = len(platform.arrivals("e2")) - before, monotonic() - began_s
    print(
        f"  e2 takes {LIMIT_RATE:g} a second: {arrived} calls to it in {lasted_s:.1f} s,"
        f" {served} of {asked} served"
    )
    platform.set_rate_limit("e2", None)
    wait_until(lambda: _all_know(routers, False))
    spans = 1 + lasted_s // 4.0
    holds = 0 < arrived <= spans * (4.0 * 1.5 * LIMIT_RATE + 5.0) and served == asked
    return [Check("an endpoint in need gets no more than it takes, from all routers", holds)]


def _leave_and_rest(platform: LocalPlatform, routers: list[RouterProcess]) -> list[Check]:
    """Let one endpoint say that it leaves, and another want rest: the others serve."""
    platform.add_endpoint("e5")
    platform.add_endpoint("e6")
    wait_until(lambda: all(router.status()["endpoints"] == 5 for router in routers))
    platform.signal_draining("e5")
    platform.request_backoff("e6", REST_S)
    wait_until(lambda: _have_heard(routers, "leaving") and _have_heard(routers, "rest"))
    before = len(platform.arrivals("e5")), len(platform.arrivals("e6"))
    served = sum(
        routers[number % len(routers)].send_request("/look/x", f"words-{number}", NEW_KEY).status
        == 200
        for number in range(CROWD)
    )
    leaving = len(platform.arrivals("e5")) - before[0]
    resting = len(platform.arrivals("e6")) - before[1]
    print(
        f"  e5 says that it leaves, e6 wants {REST_S:g} s of rest: {leaving} and {resting} calls"
        f" to them, {served} of {CROWD} served"
    )
    holds = leaving == resting == 0 and served == CROWD
    platform.request_backoff("e6", None)
    for name in ("e5", "e6"):
        platform.drain_endpoint(name)
    return [Check("nothing goes to endpoints that leave or rest, and others serve", holds)]


def _have_heard(routers: list[RouterProcess], kind: str) -> bool:
    """Send calls at the same time, and return whether all know of an endpoint that says this."""
    _ask_together(routers, kind)
    return all(router.endpoint_signals(kind) for router in routers)


def _all_know(routers: list[RouterProcess], is_limited: bool) -> bool:
    """Send calls at the same time, and return whether all know whether an endpoint is limited."""
    _ask_together(routers, "known")
    return all(bool(router.endpoint_signals("limit")) == is_limited for router in routers)


def _ask_together(routers: list[RouterProcess], name: str) -> None:
    """Send so many calls at the same time that each router uses all endpoints."""

    def ask(number: int) -> None:
        router = routers[number % len(routers)]
        router.send_request("/draft/x", f"{name}-{number}-{monotonic()}", NEW_KEY, model="small")

    with ThreadPoolExecutor(4 * CALLERS) as pool:
        list(pool.map(ask, range(4 * CALLERS)))


def _crowd(platform: LocalPlatform, router: RouterProcess, name: str) -> tuple[int, int]:
    """Let many callers come at once; return calls to zone a, and how many callers were served."""
    before = sum(len(platform.runs(each)) for each in ZONE_A)

    def ask(number: int) -> bool:
        answer = router.send_request("/draft/x", f"{name}-{number}", NEW_KEY, model="small")
        return answer.status == 200 and answer.body == COMPLETE_STREAM

    with ThreadPoolExecutor(CALLERS) as pool:
        served = sum(pool.map(ask, range(CROWD)))
    return sum(len(platform.runs(each)) for each in ZONE_A) - before, served
