"""Which routers share a service."""

from umberhitch.tasks.direct.active_routers import ACTIVE_S, ActiveRouters
from umberhitch.wire import EndpointUse, PeerReport


def _report(router: str, *lifetimes: str) -> PeerReport:
    uses = [EndpointUse(lifetime, 1, 0.0) for lifetime in lifetimes]
    return PeerReport(router, 1, 1, uses, [])


def _service_of(lifetime: str) -> str | None:
    return lifetime.split("/")[0]


def test_all_others_count_until_a_router_has_used_a_service_for_a_while() -> None:
    routers = ActiveRouters()
    routers.note_reports([_report("b"), _report("c")], ["b", "c"], _service_of, 0.0)
    routers.note_own("svc", 0.0)
    assert routers.count("svc", 0.1) == 3
    for tenth in range(1, 60):
        routers.note_own("svc", tenth / 10)
        routers.note_reports(
            [_report("b", "svc/e1"), _report("c", "other/e1")], ["b", "c"], _service_of, tenth / 10
        )
    assert routers.count("svc", 5.9) == 2


def test_a_listed_router_that_is_not_heard_keeps_its_part() -> None:
    routers = ActiveRouters()
    for tenth in range(60):
        routers.note_own("svc", tenth / 10)
        heard = [_report("b", "svc/e1")] if tenth < 20 else []
        routers.note_reports(heard, ["b", "never"], _service_of, tenth / 10)
    assert ACTIVE_S < 5.9 - 1.9
    assert routers.count("svc", 5.9) == 3


def test_a_router_that_has_left_has_no_part() -> None:
    routers = ActiveRouters()
    for tenth in range(60):
        routers.note_own("svc", tenth / 10)
        is_there = tenth < 20
        heard = [_report("b", "svc/e1")] if is_there else []
        routers.note_reports(heard, ["b"] if is_there else [], _service_of, tenth / 10)
    assert routers.count("svc", 5.9) == 1
