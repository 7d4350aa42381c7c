"""``python -m benchmarks NAME``: one benchmark, one JSON object on standard output."""

import sys
from importlib import import_module

from absl import app as absl_app
from msgspec import json

NAMES = (
    "direct",
    "relay",
    "footprint",
    "decide",
    "subsets",
    "appends",
    "recovery",
    "fleet",
    "limits",
    "exposure",
    "crashing",
    "overload",
    "slopes",
    "capacity",
    "start",
    "zones",
    "herd",
    "restored",
    "hot_router",
)


def main(argv: list[str]) -> int:
    """Run the benchmark that is named."""
    if len(argv) != 2 or argv[1] not in NAMES:
        print(f"usage: python -m benchmarks {'|'.join(NAMES)}", file=sys.stderr)
        return 2
    result = import_module(f"benchmarks.{argv[1]}").run()
    print(json.format(json.encode(result), indent=2).decode())
    return 0


if __name__ == "__main__":
    absl_app.run(main)
