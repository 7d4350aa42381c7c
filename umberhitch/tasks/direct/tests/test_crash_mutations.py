"""Each mechanism that stops a crashing request is needed: without it, its scenario fails."""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import CrashRecord, _crash_record, request_key
from umberhitch.fakes import FakeEndpoints, Reply
from umberhitch.ports.direct import ListenerStatus
from umberhitch.tasks.direct import admission
from umberhitch.tasks.direct.crash_guard import CrashGuard
from umberhitch.tasks.direct.crash_sharing import CrashSharing
from umberhitch.tasks.direct.crash_watch import CrashWatch
from umberhitch.tasks.direct.probing import Probing
from umberhitch.tasks.direct.proxied_request import HELD
from umberhitch.testing import CrashingFleet, PartLoad

SHORT_STREAM = Reply(events=8, gap_s=0.05)
LONG_STREAM = Reply(events=60, gap_s=0.05)


def _late_sends() -> int:
    fleet = CrashingFleet(routers=12, reply=SHORT_STREAM)
    fleet.every(0.4, 19.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(25.0)
    return fleet.late_sends(3.0)


def _late_sends_at_all_routers() -> int:
    """Return the same for a request that arrives at all routers at once when a probe is due."""
    fleet = CrashingFleet(reply=SHORT_STREAM)
    fleet.every(0.4, 2.0, lambda n: fleet.ask(n, "/draft/x"))
    fleet.world.run(20.0)
    for number in range(40):
        fleet.ask(number, "/draft/x")
    fleet.world.run(1.0)
    return fleet.late_sends(3.0)


def _popular_held() -> int:
    fleet = CrashingFleet(reply=LONG_STREAM)
    reqs = []
    fleet.every(0.05, 12.0, lambda n: reqs.append(fleet.ask(n, "/draft/x", body=b"popular")))
    for crash_s in (4.0, 6.0, 8.0):
        fleet.world.clock.callLater(crash_s, fleet.crash_share, 0.5)
    fleet.world.run(16.0)
    return sum(HELD.encode() in req.reply.body for req in reqs)


def _play_part() -> PartLoad:
    load = PartLoad(CrashingFleet(endpoints=14, reply=SHORT_STREAM, crashing_parts=("bad",)))
    load.play()
    return load


def _late_sends_of_a_part() -> int:
    return _play_part().late_sends()


def _sound_not_served() -> int:
    load = _play_part()
    begin_s = load.fifth_crash_s + 0.1
    return sum(at_s > begin_s and req.status != 200 for at_s, req in load.sound)


def _new_documents_held() -> int:
    """Return how many sound requests are held that share a new part with one that just ran."""
    fleet = CrashingFleet(endpoints=14, reply=LONG_STREAM, crashing_parts=("bad",))
    fleet.every(0.05, 4.0, lambda n: fleet.ask(n, "/draft/x", body=b"old%d" % n, Prompt="s:1,o:1"))
    fleet.world.run(4.0)
    load = PartLoad(fleet, parts=("s",))
    documents = PartLoad(fleet)

    def send_document(number: int) -> None:
        documents.parts = ("s", f"d{number // 20}")
        documents.send_sound(number)

    fleet.every(0.05, 12.0, send_document)
    for number in range(30):
        load.send_bad(1000 + number)
    fleet.every(0.1, 12.0, load.send_bad)
    fleet.world.run(16.0)
    return sum(HELD.encode() in req.reply.body for _, req in documents.sound)


def _know_whole_requests_only(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(admission, "cause_keys", lambda req, customer: (request_key(req, customer),))


def _explain_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        _crash_record,
        "find_causes",
        lambda evidence, min_crashes: frozenset(
            key for key, item in evidence.items() if item.weight(set()) >= min_crashes
        ),
    )


def _believe_no_completion(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CrashRecord, "has_completed", lambda self, key: False)
    patch.setattr(CrashRecord, "note_run_end", lambda self, key, at_s: False)


def _send_no_updates(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CrashSharing, "pop_updates", lambda self: [])
    patch.setattr(CrashSharing, "updates_to_resend", lambda self: [])


def _check_no_listener(patch: pytest.MonkeyPatch) -> None:
    check = FakeEndpoints.check
    patch.setattr(
        FakeEndpoints,
        "check",
        lambda self, address, on_found: check(
            self, address, lambda found: on_found(ListenerStatus.YES)
        ),
    )
    patch.setattr(CrashWatch, "record_exit", lambda self, endpoint: None)


def _hold_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CrashGuard, "is_held", lambda self, admitted: False)


def _skip_arbiter(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Probing,
        "request_probe",
        lambda self, key, service_version, lease_s, on_decision: on_decision(None),
    )


def _clear_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(CrashRecord, "is_refuted", lambda self, key, crash: False)
    patch.setattr(CrashRecord, "note_run_end", lambda self, key, at_s: False)


@pytest.mark.parametrize(
    ("mutate", "measure", "max_count"),
    [
        (_send_no_updates, _late_sends, 3),
        (_check_no_listener, _late_sends, 3),
        (_hold_nothing, _late_sends, 3),
        (_skip_arbiter, _late_sends_at_all_routers, 3),
        (_clear_nothing, _popular_held, 0),
        (_know_whole_requests_only, _late_sends_of_a_part, 3),
        (_explain_nothing, _new_documents_held, 0),
        (_believe_no_completion, _sound_not_served, 0),
    ],
    ids=[
        "send-no-updates",
        "check-no-listener",
        "hold-nothing",
        "skip-arbiter",
        "clear-nothing",
        "know-whole-requests-only",
        "explain-nothing",
        "believe-no-completion",
    ],
)
def test_without_the_mechanism_the_scenario_fails(
    monkeypatch: pytest.MonkeyPatch,
    mutate: Callable[[pytest.MonkeyPatch], None],
    measure: Callable[[], int],
    max_count: int,
):
    assert measure() <= max_count
    with monkeypatch.context() as patch:
        mutate(patch)
        assert measure() > max_count
