"""``umberhitch-explain FILE... --request ID``: a request's story from collected logs.

Exit codes: 0 told; 1 the logs do not mention the request; 2 bad usage.
"""

import sys

from absl import flags

from umberhitch.cli._log_files import read_files
from umberhitch.explain import tell

__all__ = ["run"]

EXIT_OK = 0
EXIT_UNKNOWN = 1
EXIT_BAD_USAGE = 2


def main(words: list[str]) -> int:
    """Run the command and return its exit code."""
    values = flags.FlagValues()
    flags.DEFINE_string("request", None, "id of the request", flag_values=values)
    try:
        files = values(["umberhitch-explain", *words])[1:]
    except flags.Error as exc:
        return _usage(str(exc))
    if not files or not values["request"].value:
        return _usage("usage: umberhitch-explain FILE... --request ID (FILE - is standard input)")
    try:
        lines = read_files(files)
    except OSError as exc:
        return _usage(f"{exc.filename}: {exc.strerror}")
    story = tell(lines, values["request"].value)
    for line in story:
        print(line)
    if not story:
        print("umberhitch-explain: no line names this request", file=sys.stderr)
    return EXIT_OK if story else EXIT_UNKNOWN


def _usage(problem: str) -> int:
    print(f"umberhitch-explain: {problem}", file=sys.stderr)
    return EXIT_BAD_USAGE


def run() -> None:
    """Entry point."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
