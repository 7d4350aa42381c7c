"""``umberhitch-starts FILE... [--after TIME]``: how long routers' starts took, stage by stage.

Exit codes: 0 told; 1 the logs hold no start; 2 bad usage.
"""

import sys

from absl import flags

from umberhitch.cli._log_files import read_files
from umberhitch.explain import stage_times, starts

__all__ = ["run"]

EXIT_OK = 0
EXIT_NONE = 1
EXIT_BAD_USAGE = 2


def main(words: list[str]) -> int:
    """Run the command and return its exit code."""
    values = flags.FlagValues()
    flags.DEFINE_string("after", "", "only starts later than this, as in the logs", values)
    try:
        files = values(["umberhitch-starts", *words])[1:]
    except flags.Error as exc:
        return _usage(str(exc))
    if not files:
        return _usage("usage: umberhitch-starts FILE... [--after TIME] (FILE - is standard input)")
    try:
        found = starts(read_files(files), values["after"].value or "")
    except OSError as exc:
        return _usage(f"{exc.filename}: {exc.strerror}")
    if not found:
        print("umberhitch-starts: no line tells of a start", file=sys.stderr)
        return EXIT_NONE
    print(f"{len(found)} starts within {found[-1].at_s - found[0].at_s:.2f} s")
    print(f"{'stage':<24} {'reached':>7} {'middle s':>9} {'slowest s':>10}  slowest")
    for row in stage_times(found):
        print(
            f"{row.stage:<24} {row.reached:>7} {row.middle_s:>9.2f} {row.slowest_s:>10.2f}"
            f"  {row.slowest}"
        )
    return EXIT_OK


def _usage(problem: str) -> int:
    print(f"umberhitch-starts: {problem}", file=sys.stderr)
    return EXIT_BAD_USAGE


def run() -> None:
    """Entry point."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
