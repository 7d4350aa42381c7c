"""The deployment on the users' platform: routers alone, on stand-ins of its store and endpoints."""

from pathlib import Path
from tempfile import TemporaryDirectory

from umberhitch.demo._checks import Check
from umberhitch.platform.standins.client import EVENTS, KEY, LocalPlatform, eventually

__all__ = ["run_direct"]

NEW_KEY = "k2"
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
    eventually(lambda: first.status()["endpoints"] == second.status()["endpoints"] == 2)
    checks = []

    answers = [first.ask("/look/x", f"look-{number}", KEY) for number in range(ASKS)]
    done = sum(answer.status == 200 for answer in answers)
    checks.append(Check("every request has its own answer", done == ASKS, f"{done} of {ASKS}"))

    order = first.ask("/order/x", "order-1", KEY)
    ran = [run for name in ("e1", "e2") for run in platform.runs(name)]
    runs = sum(run["call_id"] == "order-1" for run in ran)
    holds = (order.status, runs) == (200, 1)
    checks.append(Check("what must not be repeated runs once", holds, f"{runs} run"))

    for name in ("e1", "e2"):
        platform.break_streams(name, after_events=2)
    stream = second.ask("/draft/x", "draft-1", KEY, model="small")
    holds = stream.is_whole and stream.body == EVENTS
    checks.append(Check("a stream that breaks off goes on elsewhere", holds))
    for name in ("e1", "e2"):
        platform.break_streams(name, after_events=0)

    platform.publish(2, keys=(NEW_KEY,))
    eventually(lambda: second.status()["configuration"] == 2)
    status = second.ask("/look/x", "look-old-key", KEY).status
    checks.append(Check("a key that was taken away opens nothing", status == 401, f"{status}"))

    platform.take_store_away(True)
    eventually(lambda: second.ask("/look/x", "look-no-store", NEW_KEY).status == 503)
    platform.take_store_away(False)
    eventually(lambda: second.ask("/look/x", "look-store-back", NEW_KEY).status == 200)
    checks.append(Check("without proof of the keys nothing is passed on; with it, all is", True))

    first.kill()
    answers = [second.ask("/look/x", f"look-alone-{number}", NEW_KEY) for number in range(ASKS)]
    done = sum(answer.status == 200 for answer in answers)
    checks.append(Check("a router that is lost takes nothing along", done == ASKS))
    return checks
