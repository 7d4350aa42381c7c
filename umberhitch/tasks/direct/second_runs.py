"""Counts of work that is done twice: second runs of requests, and prompts read again."""

from collections import Counter
from dataclasses import dataclass, field

from umberhitch.core.direct import CallerRequest, Directory, Endpoint, Placement
from umberhitch.tasks.direct.services import RunCause

__all__ = ["SecondRuns", "tokens_read_again"]

MAX_ENDPOINTS = 48
"""Maximum number of endpoints that are all looked at, as in a selection."""


@dataclass(slots=True)
class SecondRuns:
    """Counts since the start of the process, by service.

    Attributes
    ----------
    calls : Counter
        Calls of requests that may have run before, by service and cause.
    prompt_tokens : Counter
        Prompt tokens expected to be read again though some endpoint had them in its cache.
    """

    calls: Counter[tuple[str, RunCause]] = field(default_factory=Counter)
    prompt_tokens: Counter[str] = field(default_factory=Counter)

    def metrics(self) -> list[str]:
        """Return the counts in the Prometheus text format."""
        lines = [
            f'umberhitch_second_runs_total{{service="{service}",cause="{cause}"}} {count}'
            for (service, cause), count in sorted(self.calls.items())
        ]
        lines += [
            f'umberhitch_prompt_tokens_read_again_total{{service="{service}"}} {count}'
            for service, count in sorted(self.prompt_tokens.items())
        ]
        return lines

    def rows(self) -> dict[str, dict[str, int]]:
        """Return the counts by service and name."""
        rows: dict[str, dict[str, int]] = {}
        for (service, cause), count in sorted(self.calls.items()):
            rows.setdefault(service, {})[cause] = count
        for service, count in sorted(self.prompt_tokens.items()):
            rows.setdefault(service, {})["prompt_tokens_read_again"] = count
        return rows


def tokens_read_again(
    placement: Placement,
    directory: Directory,
    service: str,
    endpoint: Endpoint,
    model: str,
    req: CallerRequest,
) -> int:
    """Return the prompt tokens that an endpoint must read though another one has them cached.

    Of many endpoints only the one that probably has the shared parts is looked at.
    """
    own = placement.cached_tokens(endpoint.lifetime, model, req)
    if len(req.prompt) < 2 or own == req.prompt_tokens - req.prompt[-1].tokens:
        return 0
    others = directory.listed(service)
    if len(others) > MAX_ENDPOINTS:
        affinity_endpoint = directory.affinity_endpoint(service, req.prompt[-2].part_id)
        others = [] if affinity_endpoint is None else [affinity_endpoint]
    most = max(
        (placement.cached_tokens(each.lifetime, model, req) for each in others),
        default=0,
    )
    return max(0, most - own)
