"""Shares and returns on the pages of operators."""

from umberhitch.adapters.share_pages import share_metrics, share_status
from umberhitch.testing import DirectWorld
from umberhitch.testing._rivals import make_rivals, run_customers


def test_the_pages_tell_who_has_places_and_how_many_come_back() -> None:
    world = make_rivals(1, 1, endpoints=2)
    run_customers(world, 3.0, 0.2)
    gateway = world.routers["r0"].gateway
    assert set(share_status(gateway)) == {"svc"}
    lines = share_metrics(gateway)
    values = {line.rpartition(" ")[0]: float(line.rpartition(" ")[2]) for line in lines}
    assert values['umberhitch_places_withheld_total{service="svc"}'] > 0
    returns = [value for name, value in values.items() if name.startswith("umberhitch_returns_t")]
    assert sum(returns) == world.refusals


def test_without_admission_control_there_is_nothing_to_tell() -> None:
    router = DirectWorld().ready_router()
    assert share_status(router.gateway) == {}
    assert share_metrics(router.gateway) == []
