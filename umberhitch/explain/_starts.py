"""The time line of each router's start, from its log lines: which stage takes how long."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from statistics import median

from umberhitch.explain._story import Line

__all__ = ["STAGES", "StageTimes", "Start", "stage_times", "starts"]

STAGES = ("configuration in force", "peers", "call sent", "request ended")
"""First lines of their kind after a start; `peers` with a name in it, the last with an answer."""
AT = "%Y-%m-%d %H:%M:%S,%f"


@dataclass(slots=True)
class Start:
    """One start of a router.

    Attributes
    ----------
    at_s : float
        Of its first line, on the clock of the logs.
    stages_s : dict of str to float
        By stage that it reached, the time from there.
    """

    node: str
    at_s: float
    stages_s: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StageTimes:
    """How long after their start routers reached a stage.

    Attributes
    ----------
    reached : int
        Routers that did.
    middle_s, slowest_s : float
    slowest : str
        The router that took longest.
    """

    stage: str
    reached: int
    middle_s: float
    slowest_s: float
    slowest: str


def starts(lines: Iterable[Line], after: str = "") -> list[Start]:
    """Return the starts in the order of time; of those that begin later than a time, if given.

    A process says ``started`` once; what it does before is in no line.
    """
    found: list[Start] = []
    newest: dict[str, Start] = {}
    for line in sorted(lines, key=lambda each: each.at):
        if line.at < after:
            continue
        at_s = _seconds(line.at)
        if at_s is None:
            continue
        if line.message == "started":
            newest[line.node] = start = Start(line.node, at_s)
            found.append(start)
        elif line.node in newest and _is_reached(line):
            start = newest[line.node]
            start.stages_s.setdefault(line.message, at_s - start.at_s)
    return found


def _seconds(at: str) -> float | None:
    try:
        return datetime.strptime(at, AT).timestamp()
    except ValueError:
        return None


def _is_reached(line: Line) -> bool:
    match line.message:
        case "peers":
            return bool(line.facts.get("names"))
        case "request ended":
            return line.facts.get("outcome") == "done"
    return line.message in STAGES


def stage_times(found: list[Start]) -> list[StageTimes]:
    """Return how long the starts took to each stage that any of them reached."""
    rows = []
    for stage in STAGES:
        times = [(each.stages_s[stage], each.node) for each in found if stage in each.stages_s]
        if times:
            slowest_s, slowest = max(times)
            middle_s = median(time_s for time_s, _ in times)
            rows.append(StageTimes(stage, len(times), middle_s, slowest_s, slowest))
    return rows
