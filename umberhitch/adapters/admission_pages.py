"""What `/status` and `/metrics` tell about admission control."""

from umberhitch.tasks.direct.admission_control import AdmissionControl
from umberhitch.tasks.direct.admission_counters import WAIT_BUCKETS_S

__all__ = ["admission_metrics", "admission_status"]


def admission_status(control: AdmissionControl | None) -> dict[str, dict[str, object]]:
    """Return a row for each service that was asked for."""
    if control is None:
        return {}
    return {service: _row(control, service) for service in sorted(control.counters)}


def _row(control: AdmissionControl, service: str) -> dict[str, object]:
    counters, room = control.counters[service], control.room(service)
    row: dict[str, object] = {
        "waiting": control.waiting(service),
        "refused": counters.refused,
        "waited": counters.waited,
    }
    if room is not None:
        row |= {
            "slots": room.service.slots,
            "places": round(room.service.places, 1),
            "taken": round(room.service.taken, 1),
            "free": round(control.forecast(service).free, 1),
            "own": room.service.own,
            "routers": room.service.routers,
        }
    return row


def admission_metrics(control: AdmissionControl | None) -> list[str]:
    """Return counters and the histogram of waiting times, in the Prometheus text format."""
    if control is None:
        return []
    lines = []
    for service in sorted(control.counters):
        lines += _service_metrics(control, service)
    return lines


def _service_metrics(control: AdmissionControl, service: str) -> list[str]:
    counters, label = control.counters[service], f'service="{service}"'
    name = "umberhitch_room_wait_seconds"
    bounds = [f"{bound_s:g}" for bound_s in WAIT_BUCKETS_S] + ["+Inf"]
    lines = [
        f"umberhitch_room_waiting{{{label}}} {control.waiting(service)}",
        f"umberhitch_room_waited_total{{{label}}} {counters.waited}",
        f"umberhitch_room_sent_after_waiting_total{{{label}}} {counters.sent_after_waiting}",
        f"umberhitch_room_free{{{label}}} {control.forecast(service).free:.3f}",
    ]
    lines += [
        f'umberhitch_room_refused_total{{{label},reason="{reason}"}} {count}'
        for reason, count in sorted(counters.refused.items())
    ]
    lines += [
        f'{name}_bucket{{{label},le="{bound}"}} {count}'
        for bound, count in zip(bounds, counters.wait_counts, strict=True)
    ]
    lines.append(f"{name}_sum{{{label}}} {counters.wait_s:.6f}")
    lines.append(f"{name}_count{{{label}}} {counters.wait_counts[-1]}")
    return lines
