"""What operators see of admission control."""

from umberhitch.adapters.admission_pages import admission_metrics, admission_status
from umberhitch.testing import make_overload_world


def test_status_and_metrics_tell_who_waits_and_why_requests_were_refused() -> None:
    world = make_overload_world(1, 1, endpoints=2)
    world.load(3.0, 0.5)
    control = world.routers["r0"].gateway.admission_control
    assert control is not None
    row = admission_status(control)["svc"]
    assert row["slots"] == 12
    assert row["routers"] == 1
    assert row["waiting"] == 0
    refused = row["refused"]
    assert isinstance(refused, dict)
    assert sum(refused.values()) == world.refusals > 0
    lines = admission_metrics(control)
    counters = control.counters["svc"]
    assert f'umberhitch_room_waited_total{{service="svc"}} {counters.waited}' in lines
    name = "umberhitch_room_wait_seconds"
    assert f'{name}_bucket{{service="svc",le="+Inf"}} {counters.waited}' in lines
    assert f'{name}_count{{service="svc"}} {counters.waited}' in lines
    for reason, count in refused.items():
        label = f'service="svc",reason="{reason}"'
        assert f"umberhitch_room_refused_total{{{label}}} {count}" in lines


def test_without_admission_control_there_is_nothing_to_tell() -> None:
    assert admission_status(None) == {}
    assert admission_metrics(None) == []
