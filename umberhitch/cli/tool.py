"""``umberhitch``: the operators' query and command language over the administration API.

Exit codes: 0 done; 1 refused or rejected; 2 bad usage or a statement that is not understood;
3 no router answered; 4 accepted, but not in force everywhere within the timeout.
"""

import sys
from pathlib import Path

from absl import app as absl_app
from absl import flags

from umberhitch import __version__
from umberhitch.cli._client import Client
from umberhitch.cli._completion import SHELLS, WORDS, completion_script
from umberhitch.cli._output import FORMATS, format_rows
from umberhitch.cli._session import ExitCode, Options, Session

__all__ = ["run"]

HISTORY_FILE = ".umberhitch_history"

_ROUTER = flags.DEFINE_list(
    "router", ["127.0.0.1:8081"], "IP:PORT of operators' interfaces, tried in turn"
)
_KEY_FILE = flags.DEFINE_string("key_file", None, "file that holds the operator's key")
_CA_FILE = flags.DEFINE_string("ca_file", "", "certificates to trust, for https:// routers")
_OUTPUT = flags.DEFINE_enum("output", "table", FORMATS, "how rows are printed")
_FILE = flags.DEFINE_string("file", None, "read statements from a file; its changes go all or none")
_DRY_RUN = flags.DEFINE_boolean("dry_run", False, "show what changes would do")
_IF_REVISION = flags.DEFINE_integer(
    "if_revision", None, "change only objects that are still at this revision"
)
_WAIT = flags.DEFINE_boolean("wait", False, "wait until changes are in force everywhere")
_TIMEOUT = flags.DEFINE_float("timeout", 30.0, "seconds that --wait waits", lower_bound=0.0)
_COMPLETION = flags.DEFINE_enum(
    "completion", None, SHELLS, "print the completion script of a shell"
)
_VERSION = flags.DEFINE_boolean("version", False, "print the version and exit")


def main(argv: list[str]) -> int:
    """Run the tool and return its exit code."""
    if _VERSION.value:
        print(f"umberhitch {__version__}")
        return ExitCode.OK
    if _COMPLETION.value:
        print(completion_script(_COMPLETION.value), end="")
        return ExitCode.OK
    try:
        session = _make_session()
        text = _read_text(argv[1:])
    except OSError as exc:
        print(f"umberhitch: {exc}", file=sys.stderr)
        return ExitCode.BAD_USAGE
    if text is not None:
        return session.run(text)
    return _prompt(session)


def _read_text(words: list[str]) -> str | None:
    if _FILE.value:
        return Path(_FILE.value).read_text()
    if words:
        return " ".join(words)
    return None if sys.stdin.isatty() else sys.stdin.read()


def _make_session() -> Session:
    key = Path(_KEY_FILE.value).read_text().strip() if _KEY_FILE.value else ""
    options = Options(
        is_dry_run=_DRY_RUN.value,
        if_revision=_IF_REVISION.value,
        waits_in_force=_WAIT.value,
        timeout_s=_TIMEOUT.value,
    )
    return Session(
        Client(_ROUTER.value, key, _CA_FILE.value),
        options,
        lambda rows: print(format_rows(rows, _OUTPUT.value)),
        lambda line: print(line, file=sys.stderr),
    )


def _prompt(session: Session) -> int:
    """Read statements from a person until the end of input."""
    from prompt_toolkit import PromptSession
    from prompt_toolkit.completion import WordCompleter
    from prompt_toolkit.history import FileHistory

    prompt: PromptSession[str] = PromptSession(
        history=FileHistory(str(Path.home() / HISTORY_FILE)),
        completer=WordCompleter(WORDS.split(), ignore_case=True),
    )
    while True:
        try:
            session.run(prompt.prompt("umberhitch> "))
        except KeyboardInterrupt:
            continue
        except EOFError:
            return ExitCode.OK


def _parse_flags(argv: list[str]) -> list[str]:
    try:
        return flags.FLAGS(argv)
    except flags.Error as exc:
        print(f"umberhitch: {exc}", file=sys.stderr)
        sys.exit(ExitCode.BAD_USAGE)


def run() -> None:
    """Entry point."""
    absl_app.run(main, flags_parser=_parse_flags)


if __name__ == "__main__":
    run()
