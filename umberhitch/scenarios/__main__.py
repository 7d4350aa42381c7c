"""``python -m umberhitch.scenarios``: run scenario files, or print the table of proofs.

With files as arguments it runs those, else all; ``--table`` prints promise by fault instead.
"""

import logging
import sys
from collections import defaultdict
from pathlib import Path

from absl import app as absl_app
from absl import flags

from umberhitch.language import LanguageError
from umberhitch.scenarios import SCENARIO_FILES, ScenarioError, parse_scenario, run_scenario

_TABLE = flags.DEFINE_boolean("table", False, "print which scenario proves which promise")


def make_table() -> str:
    """Return the table of promises, faults and scenarios, in Markdown."""
    rows: dict[str, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    for path in SCENARIO_FILES:
        scenario = parse_scenario(path)
        for promise in scenario.promises:
            for fault in scenario.faults:
                rows[promise][fault].append(path.stem)
    lines = ["| promise | fault | scenarios |", "| --- | --- | --- |"]
    for promise in sorted(rows):
        for fault, names in sorted(rows[promise].items()):
            lines.append(f"| {promise} | {fault} | {', '.join(f'`{name}`' for name in names)} |")
    return "\n".join(lines) + "\n"


def main(argv: list[str]) -> int:
    """Run the scenarios and return the exit code."""
    if _TABLE.value:
        print(make_table(), end="")
        return 0
    logging.disable(logging.CRITICAL)
    failed = 0
    for path in [Path(name) for name in argv[1:]] or SCENARIO_FILES:
        try:
            run_scenario(parse_scenario(path))
            print(f"held    {path.stem}")
        except (ScenarioError, LanguageError) as exc:
            failed += 1
            print(f"BROKEN  {path.stem}\n{exc}", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    absl_app.run(main)
