"""What `/status` and `/metrics` tell about roll-outs."""

from umberhitch.core.direct import Canary

__all__ = ["rollout_metrics", "rollout_status"]


def rollout_status(canaries: list[Canary], now_s: float) -> list[dict[str, object]]:
    """Return a row for each roll-out."""
    return [
        {
            "service": canary.order.service,
            "target": canary.order.target,
            "state": canary.state,
            "part": round(canary.progress(now_s), 3),
            "stage": canary.stage(now_s),
            "new_answers": canary.pooled_counts(True).answers,
            "old_answers": canary.pooled_counts(False).answers,
            "e_value": float(f"{canary.e_value:.3g}"),
            "failing_after_completion": canary.is_failing_after_completion,
        }
        for canary in canaries
    ]


def rollout_metrics(canaries: list[Canary]) -> list[str]:
    """Return a line for each roll-out: whether a version that was declared good is failing."""
    return [
        f'umberhitch_completed_version_failing{{service="{canary.order.service}",'
        f'version="{canary.order.target}"}} {int(canary.is_failing_after_completion)}'
        for canary in canaries
    ]
