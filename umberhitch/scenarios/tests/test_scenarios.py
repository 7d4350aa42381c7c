"""Every scenario file."""

from pathlib import Path

import pytest

from umberhitch.language import LanguageError
from umberhitch.scenarios import SCENARIO_FILES, parse_scenario, run_scenario
from umberhitch.scenarios.__main__ import make_table


@pytest.mark.parametrize("path", SCENARIO_FILES, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    scenario = parse_scenario(path)
    assert scenario.promises
    run_scenario(scenario)


def test_the_page_of_proofs_is_up_to_date() -> None:
    page = (Path(__file__).parents[3] / "docs" / "proof.md").read_text()
    assert page.endswith(make_table())


def test_a_line_that_cannot_be_understood_is_pointed_at(tmp_path: Path) -> None:
    path = tmp_path / "bad.scenario"
    path.write_text('scenario "x"\nstart\naks "q"\nexpect "q" is dun\n')
    with pytest.raises(LanguageError) as caught:
        parse_scenario(path)
    assert [finding.place for finding in caught.value.findings] == [
        "line 3, column 1",
        "line 4, column 15",
    ]
