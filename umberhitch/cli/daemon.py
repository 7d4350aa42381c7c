"""``umberhitchd``: one router or agent, as its settings file says.

Without ``--settings`` the file's path is taken from the environment, as the platform sets it.

Exit codes: 0 after a drained shutdown, 1 if the drain did not end in time, 2 for bad settings.
"""

import os
import sys
from logging import getLogger
from pathlib import Path
from typing import Any

from absl import flags

from umberhitch import __version__
from umberhitch.cli._gateway_process import EXIT_BAD_SETTINGS, EXIT_OK, Shutdown, serve_gateway
from umberhitch.cli._lean import keep_out_tls
from umberhitch.cli._listening import SETTINGS_VARIABLE
from umberhitch.errors import SettingsError
from umberhitch.gateway_settings import GatewayFile, load_gateway_file

__all__ = ["run"]

log = getLogger(__name__)

_SETTINGS = flags.DEFINE_string("settings", None, "path of the JSON settings file")
_CHECK = flags.DEFINE_boolean("check", False, "validate the settings file and exit")
_VERSION = flags.DEFINE_boolean("version", False, "print the version and exit")


def main(argv: list[str]) -> int:
    """Run the daemon and return its exit code."""
    if _VERSION.value:
        print(f"umberhitchd {__version__}")
        return EXIT_OK
    path = _SETTINGS.value or os.environ.get(SETTINGS_VARIABLE)
    if len(argv) > 1 or not path:
        print("umberhitchd: usage: umberhitchd --settings=FILE [--check]", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        settings = load_any(Path(path))
    except SettingsError as exc:
        for finding in exc.findings:
            print(f"{path}: {finding}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if _CHECK.value:
        print(f"{path}: ok")
        return EXIT_OK
    return serve(settings, path)


def load_any(path: Path) -> Any:
    """Return the settings in a file; raises `SettingsError` with every finding.

    The other roles' are loaded by a module that a router of the direct path has no time to import.
    """
    settings = load_gateway_file(path)
    if settings is not None:
        return settings
    from umberhitch.settings import load_settings

    return load_settings(path)


def serve(settings: Any, path: str) -> int:
    """Run until a signal has drained the process."""
    if isinstance(settings, GatewayFile):
        return serve_gateway(settings, path)
    from umberhitch.settings import AgentFile, RouterFile

    if isinstance(settings, AgentFile) and not settings.backend.url.startswith("https"):
        keep_out_tls()
    from twisted.internet import reactor as default_reactor

    from umberhitch.adapters.logs import configure_logs
    from umberhitch.adapters.steady import make_steady
    from umberhitch.adapters.zmq_link import make_context
    from umberhitch.nodes import curve_keys, make_agent_node, make_router_node

    reactor: Any = default_reactor
    make_steady(reactor)
    configure_logs(settings.log_level, settings.name)
    context = make_context(curve_keys(settings.link_keys))
    node: Any
    match settings:
        case RouterFile():
            node = make_router_node(settings, reactor, context)
        case AgentFile():
            node = make_agent_node(settings, reactor, context)
    shutdown = Shutdown(reactor, node, settings.drain_s)
    shutdown.install()
    started = {"role": settings.role, "version": __version__, "addresses": node.addresses()}
    log.info("started", extra=started)
    reactor.run(installSignalHandlers=False)
    return shutdown.exit_code


def run() -> None:
    """Entry point."""
    sys.exit(main(_parse_flags(sys.argv)))


def _parse_flags(argv: list[str]) -> list[str]:
    try:
        return flags.FLAGS(argv)
    except flags.Error as exc:
        print(f"umberhitchd: {exc}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    run()
