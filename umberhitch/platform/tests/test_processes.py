"""The whole path as processes on a stand-in platform: store, endpoints, routers, over sockets."""

import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from time import monotonic

import pytest

from umberhitch.platform.standins.client import (
    API_KEY,
    COMPLETE_STREAM,
    LocalPlatform,
    RouterProcess,
    wait_until,
)


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[LocalPlatform]:
    found = LocalPlatform(tmp_path)
    try:
        found.publish(1)
        for name in ("e1", "e2"):
            found.add_endpoint(name, "v1")
        yield found
    finally:
        found.close()


def ran(platform: LocalPlatform, call_id: str, *names: str) -> int:
    runs = [run for name in names or ("e1", "e2") for run in platform.runs(name)]
    return sum(run["call_id"] == call_id for run in runs)


def settle(router: RouterProcess, endpoints: int) -> None:
    wait_until(lambda: router.status()["endpoints"] == endpoints)


def test_a_calm_day(platform):
    router = platform.start_router("r1")
    settle(router, 2)
    look = router.ask("/look/x", "a1", API_KEY)
    assert (look.status, look.headers["response-signature"].startswith("signed.")) == (200, True)
    order = router.ask("/order/x", "a2", API_KEY)
    assert (order.status, ran(platform, "a2")) == (200, 1)
    draft = router.ask("/draft/x", "a3", API_KEY, model="*")
    assert (draft.status, draft.body, draft.is_whole) == (200, COMPLETE_STREAM, True)
    assert {run["customer"] for run in platform.runs("e1") + platform.runs("e2")} == {"acme"}
    assert router.ask("/none/x", "a4", API_KEY).status == 404
    assert router.ask("/look/x", "a5", "stolen").status == 401


def test_operators_read_the_burn_of_all_routers_from_any(platform):
    routers = [platform.start_router(f"r{number}") for number in range(2)]
    wait_until(lambda: all(router.status()["routers"] == 2 for router in routers))
    for number, router in enumerate(routers):
        settle(router, 2)
        assert router.ask("/look/x", f"k{number}", API_KEY).status == 200
    report = wait_until(lambda: _whole_burn(routers[0]))
    (row,) = report["rows"]
    assert (row["customer"], row["class"], row["requests"], row["bad"]) == ("acme", "look", 2, 0)
    assert b"<h1>Service-level burn</h1>" in routers[1].page("/burn")


def _whole_burn(router: RouterProcess) -> dict | None:
    report = router.burn_report()
    return report if report["routers"] == ["r0", "r1"] else None


def test_a_broken_stream_goes_on_elsewhere_and_a_doubtful_answer_is_dropped(platform):
    router = platform.start_router("r1")
    settle(router, 2)
    for name in ("e1", "e2"):
        platform.control("POST", f"/endpoints/{name}/faults", {"break_after": 2})
    broken = router.ask("/draft/x", "b1", API_KEY, model="small")
    assert (broken.body, broken.is_whole) == (COMPLETE_STREAM, True)
    for name in ("e1", "e2"):
        faults = {"break_after": 0, "confidence": 0}
        platform.control("POST", f"/endpoints/{name}/faults", faults)
    doubtful = router.ask("/draft/x", "b2", API_KEY, model="*")
    assert (doubtful.body, doubtful.is_whole) == (COMPLETE_STREAM, True)
    models = [
        run["model"]
        for name in ("e1", "e2")
        for run in platform.runs(name)
        if run["call_id"] == "b2"
    ]
    assert sorted(models) == ["large", "small"]


def test_a_key_that_is_taken_away_and_an_endpoint_that_drains(platform):
    router = platform.start_router("r1")
    settle(router, 2)
    platform.publish(2, keys=("k2",))
    wait_until(lambda: router.status()["configuration"] == 2)
    assert router.ask("/look/x", "c1", API_KEY).status == 401
    assert ran(platform, "c1") == 0
    platform.control("POST", "/endpoints/e1/state/draining")
    wait_until(lambda: _reaches_only(platform, router, "e2"))


def _reaches_only(platform: LocalPlatform, router: RouterProcess, name: str) -> bool:
    before = {each: len(platform.runs(each)) for each in ("e1", "e2")}
    for number in range(4):
        router.send_request("/look/x", f"d{number}", "k2")
    after = {each: len(platform.runs(each)) for each in ("e1", "e2")}
    return all(after[each] == before[each] for each in after if each != name)


def test_a_refusal_says_that_nothing_has_run_and_when_to_come_back(platform):
    router = platform.start_router("r1")
    settle(router, 2)
    for name in ("e1", "e2"):
        platform.control("POST", f"/endpoints/{name}/faults", {"is_shedding": True})
    refused = router.ask("/order/x", "f1", API_KEY)
    assert (refused.status, ran(platform, "f1")) == (503, 0)
    assert float(refused.headers["retry-after"]) > 0


def test_a_roll_out_of_a_bad_version_survives_the_loss_of_a_router(platform):
    routers = [platform.start_router(f"r{number}") for number in range(2)]
    wait_until(lambda: all(router.status()["routers"] == 2 for router in routers))
    platform.add_endpoint("n1", "v2")
    platform.control("POST", "/endpoints/n1/faults", {"status": 500})
    for router in routers:
        settle(router, 3)
    order = {"service": "svc", "target": "v2", "durationS": 30}
    platform.control("POST", "/operator/rollout/svc", order)
    wait_until(lambda: platform.control("GET", "/status/rollout/svc"))
    routers[0].kill()
    numbers = iter(range(100_000))

    def is_turned_back() -> bool:
        for _ in range(20):
            routers[1].ask("/look/x", f"g{next(numbers)}", API_KEY)
        return platform.control("GET", "/status/rollout/svc")["state"] == "rolled_back"

    wait_until(is_turned_back)
    before = len(platform.runs("n1"))
    for number in range(20):
        assert routers[1].ask("/look/x", f"h{number}", API_KEY).status == 200
    assert len(platform.runs("n1")) == before


def test_all_routers_killed_and_started_again_go_on_from_the_store(platform):
    for number in range(2):
        platform.start_router(f"r{number}")
    platform.publish(5, keys=("k5",))
    for router in platform.routers:
        router.kill()
    platform.routers.clear()
    again = platform.start_router("r0")
    assert again.status()["configuration"] == 5
    settle(again, 2)
    assert again.ask("/look/x", "i1", API_KEY).status == 401
    assert again.ask("/look/x", "i2", "k5").status == 200


def test_a_store_that_is_away_is_waited_for_and_a_router_that_stops_ends_what_it_has(platform):
    router = platform.start_router("r1")
    settle(router, 2)
    platform.control("POST", "/store/faults", {"is_down": True})
    wait_until(lambda: router.ask("/look/x", "j1", API_KEY).status == 503)
    platform.control("POST", "/store/faults", {"is_down": False})
    wait_until(lambda: router.ask("/look/x", "j2", API_KEY).status == 200)
    router.process.send_signal(signal.SIGTERM)
    wait_until(lambda: not router.is_ready)
    late = router.ask("/look/x", "j3", API_KEY)
    assert (late.status, late.headers.get("connection")) == (200, "close")
    assert router.process.wait() == 0


def test_a_request_that_ends_endpoints_is_held_by_all_routers(platform):
    """Once all know of three endpoints, two probes more; what else is asked for is served.

    Requests follow each other in 2 ms here, and routers are told 0.03 s after a crash: how many
    come in between goes by the machine, so it is counted from when both say that they know.
    """
    names = ("e1", "e2", *(f"x{number}" for number in range(6)))
    for name in names[2:]:
        platform.add_endpoint(name)
    routers = [platform.start_router(f"r{number}") for number in range(2)]
    wait_until(lambda: all(router.status()["routers"] == 2 for router in routers))
    for router in routers:
        settle(router, len(names))
    for name in names:
        platform.control("POST", f"/endpoints/{name}/faults", {"crashes_on": "crash"})
    sent = 0

    def ask() -> int:
        nonlocal sent
        sent += 1
        router = routers[sent % 2]
        return router.ask("/order/x", f"p{sent}", API_KEY, body=b"crash").status

    def ran_in_all() -> int:
        runs = [run["call_id"] for name in names for run in platform.runs(name)]
        return sum(call_id.startswith("p") for call_id in runs)

    def is_held() -> bool:
        if ran_in_all() < 3:
            ask()
        return all(router.status()["held"] == 1 for router in routers)

    wait_until(is_held)
    known = ran_in_all()
    assert known >= 3
    statuses = [ask() for _ in range(60)]
    assert ran_in_all() <= known + 2
    assert statuses.count(503) >= 58
    wait_until(lambda: routers[1].ask("/look/x", "fine", API_KEY).status == 200)


def test_a_limit_that_an_endpoint_names_is_kept_by_all_routers_and_ends(platform):
    """Counted by the endpoint; how many spans of 4 s pass depends on the machine."""
    routers = [platform.start_router(f"r{number}") for number in range(2)]
    for router in routers:
        settle(router, 2)
    platform.name_limit("e2", 1.0)
    wait_until(lambda: _knows_limit(routers, [1.0]))
    began_s, before = monotonic(), len(platform.arrivals("e2"))
    for number in range(60):
        assert routers[number % 2].ask("/look/x", f"l{number}", API_KEY).status == 200
    spans = 1 + (monotonic() - began_s) // 4.0
    assert len(platform.arrivals("e2")) - before <= spans * (1.5 * 1.0 * 4.0 + 5.0)
    platform.name_limit("e2", None)
    wait_until(lambda: _knows_limit(routers, []))


def _knows_limit(routers: list[RouterProcess], rates: list[float]) -> bool:
    """Send calls so that the endpoint is heard, and return whether all routers know its rate."""
    for router in routers:
        router.send_request("/look/x", f"hear-{monotonic()}", API_KEY)
        router.send_request("/draft/x", f"hear-{monotonic()}", API_KEY, model="small")
    return all([row["rate"] for row in each.endpoint_signals("limit")] == rates for each in routers)


def test_endpoints_that_leave_or_rest_by_their_own_word_get_nothing_more(platform):
    """Their entries say nothing of it; both routers hear it from answers, or from peers."""
    routers = [platform.start_router(f"r{number}") for number in range(2)]
    for name in ("e3", "e4"):
        platform.add_endpoint(name)
    for router in routers:
        settle(router, 4)
    platform.say_leaving("e3")
    platform.ask_for_rest("e4", 600.0)

    def have_heard() -> bool:
        with ThreadPoolExecutor(16) as pool:
            list(pool.map(hear, range(32)))
        return all(router.signals("leaving") and router.signals("rest") for router in routers)

    def hear(number: int) -> None:
        call_id = f"hear-{number}-{monotonic()}"
        routers[number % 2].ask("/draft/x", call_id, API_KEY, model="small")

    wait_until(have_heard)
    before = [len(platform.arrivals(name)) for name in ("e3", "e4")]
    for number in range(60):
        assert routers[number % 2].ask("/look/x", f"w{number}", API_KEY).status == 200
    assert [len(platform.arrivals(name)) for name in ("e3", "e4")] == before
    assert routers[0].status()["unknown_headers"] == {}
