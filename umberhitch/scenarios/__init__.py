"""The scenario language: promises under faults, in files that a non-programmer can read."""

from pathlib import Path

from umberhitch.scenarios._parser import Scenario, Step, parse_scenario
from umberhitch.scenarios._runner import ScenarioError, run_scenario

__all__ = [
    "SCENARIO_FILES",
    "Scenario",
    "ScenarioError",
    "Step",
    "parse_scenario",
    "run_scenario",
]

SCENARIO_FILES = sorted((Path(__file__).parent / "files").glob("*.scenario"))
