"""Soak: real routers as processes, faults from outside, and checks while it runs.

See `python -m umberhitch.soak --help`.
"""

from umberhitch.soak._checks import Finding, check_requests
from umberhitch.soak._records import Departure, Record, Revocation, RunSeen
from umberhitch.soak._schedule import SoakConfig, Step, make_schedule

__all__ = [
    "Departure",
    "Finding",
    "Record",
    "Revocation",
    "RunSeen",
    "SoakConfig",
    "Step",
    "check_requests",
    "make_schedule",
]
