"""Each part of what holds a crashing request back is needed: without it, its scenario fails."""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import CrashRecord
from umberhitch.fakes import FakeEndpoints, Reply
from umberhitch.ports.direct import ListenerStatus
from umberhitch.tasks.direct.crash_guard import CrashGuard
from umberhitch.tasks.direct.crash_sharing import CrashSharing
from umberhitch.tasks.direct.crash_watch import CrashWatch
from umberhitch.tasks.direct.probing import Probing
from umberhitch.tasks.direct.proxied_request import HELD
from umberhitch.testing import CrashingFleet

SHORT = Reply(events=8, gap_s=0.05)
LONG = Reply(events=60, gap_s=0.05)


def _late_sends() -> int:
    fleet = CrashingFleet(routers=12, reply=SHORT)
    fleet.every(0.4, 19.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(25.0)
    return fleet.late_sends(3.0)


def _late_sends_of_a_crowd() -> int:
    """Return the same where it comes at all routers at once when a probe is due."""
    fleet = CrashingFleet(reply=SHORT)
    fleet.every(0.4, 2.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(20.0)
    for number in range(40):
        fleet.ask(number, "/draft/x")
    fleet.world.run(1.0)
    return fleet.late_sends(3.0)


def _popular_held() -> int:
    fleet = CrashingFleet(reply=LONG)
    asks = []
    fleet.every(0.05, 12.0, lambda n: asks.append(fleet.ask(n, "/draft/x", body=b"popular")))
    for at_s in (4.0, 6.0, 8.0):
        fleet.world.clock.callLater(at_s, fleet.crash_share, 0.5)
    fleet.world.run(16.0)
    return sum(HELD.encode() in ask.reply.body for ask in asks)


def _tell_nobody(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CrashSharing, "take_news", lambda self: [])
    patch.setattr(CrashSharing, "news_again", lambda self: [])


def _dial_nobody(patch: pytest.MonkeyPatch) -> None:
    check = FakeEndpoints.check
    patch.setattr(
        FakeEndpoints,
        "check",
        lambda self, address, on_found: check(
            self, address, lambda found: on_found(ListenerStatus.YES)
        ),
    )
    patch.setattr(CrashWatch, "ended", lambda self, endpoint: None)


def _hold_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CrashGuard, "is_held", lambda self, permit: False)


def _decide_alone(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Probing, "request_probe", lambda self, key, place, lease_s, decide: decide(None))


def _blame_all(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CrashRecord, "is_refuted", lambda self, key, crash: False)
    patch.setattr(CrashRecord, "note_run_end", lambda self, key, at_s: False)


@pytest.mark.parametrize(
    ("mutate", "measure", "most"),
    [
        (_tell_nobody, _late_sends, 3),
        (_dial_nobody, _late_sends, 3),
        (_hold_nothing, _late_sends, 3),
        (_decide_alone, _late_sends_of_a_crowd, 3),
        (_blame_all, _popular_held, 0),
    ],
    ids=["tell-nobody", "dial-nobody", "hold-nothing", "decide-alone", "blame-all"],
)
def test_without_it_the_scenario_fails(
    monkeypatch: pytest.MonkeyPatch,
    mutate: Callable[[pytest.MonkeyPatch], None],
    measure: Callable[[], int],
    most: int,
):
    assert measure() <= most
    with monkeypatch.context() as patch:
        mutate(patch)
        assert measure() > most
