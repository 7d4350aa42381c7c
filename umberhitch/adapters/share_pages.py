"""What `/status` and `/metrics` tell about customers' shares and planned returns."""

from umberhitch.tasks.direct.gateway import Gateway

__all__ = ["share_metrics", "share_status"]


def share_status(gateway: Gateway) -> dict[str, list[dict[str, object]]]:
    """Return by service what the customers with most places have at all routers."""
    control = gateway.admission_control
    if control is None:
        return {}
    return {service: shares.rows() for service, shares in sorted(control.shares.items())}


def share_metrics(gateway: Gateway) -> list[str]:
    """Return the counters of shares and returns, in the Prometheus text format."""
    control, returns = gateway.admission_control, gateway.returns
    if control is None or returns is None:
        return []
    lines = []
    for service, shares in sorted(control.shares.items()):
        label = f'service="{service}"'
        lines.append(f"umberhitch_places_withheld_total{{{label}}} {shares.withheld}")
        for row in shares.rows():
            name = str(row["customer"]).replace("\\", "\\\\").replace('"', '\\"')
            who = f'{label},customer="{name}",priority="{row["priority"]}"'
            lines.append(f"umberhitch_customer_places{{{who}}} {row['running']}")
    for service, plan in sorted(returns.plans.items()):
        label = f'service="{service}"'
        lines.append(f'umberhitch_returns_total{{{label},room="yes"}} {plan.planned}')
        lines.append(f'umberhitch_returns_total{{{label},room="no"}} {plan.unplanned}')
    lines.append(f"umberhitch_returns_recognized_total {returns.recognized}")
    return lines
