"""What the pages of a router show of larger models and of work that is done twice."""

from umberhitch.tasks.direct.gateway import Gateway

__all__ = ["escalation_metrics", "escalation_status"]


def escalation_status(gateway: Gateway) -> dict[str, object]:
    """Return the fields of the status page."""
    waits = gateway.selector.larger_waits.rows(gateway.clock.seconds())
    return {
        "ready_answers": gateway.counters.ready_answers,
        "second_runs": gateway.counters.second_runs.rows(),
        "larger_model_waits": waits,
    }


def escalation_metrics(gateway: Gateway) -> list[str]:
    """Return the lines of the metrics page, in the Prometheus text format."""
    waits = gateway.selector.larger_waits.rows(gateway.clock.seconds())
    lines = gateway.counters.second_runs.metrics()
    for service, by_model in waits.items():
        for model, row in by_model.items():
            labels = f'service="{service}",model="{model}"'
            lines.append(
                f"umberhitch_larger_model_in_time_share{{{labels}}} {row['in_time_share']}"
            )
    return lines
