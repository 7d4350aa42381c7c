"""What a router's pages show of the paces that endpoints report."""

from umberhitch.tasks.direct.gateway import Gateway

__all__ = ["pace_lines", "pace_status"]


def pace_status(gateway: Gateway) -> dict[str, float]:
    """Return how many endpoints report a pace, and the largest that is expected now."""
    paces = gateway.placement.reported_paces(gateway.clock.seconds())
    return {"endpoints": len(paces), "largest": round(max(paces.values(), default=1.0), 2)}


def pace_lines(gateway: Gateway) -> list[str]:
    """Return the same and the number of malformed headers, in the Prometheus text format."""
    status = pace_status(gateway)
    lines = [
        f"umberhitch_pace_endpoints {status['endpoints']}",
        f"umberhitch_pace_largest {status['largest']}",
    ]
    unclear = gateway.gate.unknown_headers.unclear
    lines += [
        f'umberhitch_unclear_headers_total{{header="{name}"}} {count}'
        for name, count in sorted(unclear.items())
    ]
    return lines
