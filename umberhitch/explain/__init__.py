"""What collected logs of several processes tell: a request's story, the stages of starts."""

from umberhitch.explain._starts import STAGES, StageTimes, Start, stage_times, starts
from umberhitch.explain._story import Line, read_lines, tell

__all__ = [
    "STAGES",
    "Line",
    "StageTimes",
    "Start",
    "read_lines",
    "stage_times",
    "starts",
    "tell",
]
