"""What the pages of a router show of the bytes that it holds."""

from umberhitch.adapters.held_bytes import HeldBytes

__all__ = ["held_metrics", "held_status"]


def held_status(held: HeldBytes) -> dict[str, object]:
    """Return the fields of the status page."""
    return {
        "held_bytes": {**_by_kind(held), "total": held.total_bytes, "bound": held.max_bytes},
        "slow_readers_let_go": {
            f"{side} {reason}": count for (side, reason), count in sorted(held.let_go.items())
        },
    }


def held_metrics(held: HeldBytes) -> list[str]:
    """Return the lines of the metrics page, in the Prometheus text format."""
    lines = [
        f'umberhitch_held_bytes{{kind="{kind}"}} {count}' for kind, count in _by_kind(held).items()
    ]
    if held.max_bytes is not None:
        lines.append(f"umberhitch_held_bytes_bound {held.max_bytes}")
    return lines + [
        f'umberhitch_slow_readers_let_go_total{{side="{side}",reason="{reason}"}} {count}'
        for (side, reason), count in sorted(held.let_go.items())
    ]


def _by_kind(held: HeldBytes) -> dict[str, int]:
    return {
        "bodies": held.body_bytes,
        "waiting": held.waiting_bytes,
        "buffered": held.buffered.count,
    }
