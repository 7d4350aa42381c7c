"""Every scenario file."""

from pathlib import Path

import pytest

from umberhitch.scenarios import SCENARIO_FILES, parse_scenario, run_scenario


@pytest.mark.parametrize("path", SCENARIO_FILES, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    scenario = parse_scenario(path)
    assert scenario.promises
    run_scenario(scenario)
