"""``umberhitchd``: one router or agent, as its settings file says.

Without ``--settings`` the file's path is taken from the environment, as the platform sets it.

Exit codes: 0 after a drained shutdown, 1 if the drain did not end in time, 2 for bad settings.
"""

import os
import signal
import sys
from logging import getLogger
from pathlib import Path
from typing import Any

from absl import flags
from msgspec import structs

from umberhitch import __version__
from umberhitch.cli._lean import keep_out_tls
from umberhitch.cli._listening import SETTINGS_VARIABLE, take_early_socket
from umberhitch.errors import SettingsError
from umberhitch.gateway_settings import GatewayFile, load_gateway_file

__all__ = ["run"]

log = getLogger(__name__)

EXIT_OK = 0
EXIT_NOT_DRAINED = 1
EXIT_BAD_SETTINGS = 2
STOP_MARGIN_S = 0.6
"""A shutdown that has to be cut short is cut so long before its time is up."""

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
    shutdown = _Shutdown(reactor, node, settings.drain_s)
    shutdown.install()
    started = {"role": settings.role, "version": __version__, "addresses": node.addresses()}
    log.info("started", extra=started)
    reactor.run(installSignalHandlers=False)
    return shutdown.exit_code


def serve_gateway(settings: GatewayFile, path: str) -> int:
    """Run a router of the direct path.

    Imports only what it needs, as it has to start fast, and listens for callers before that: they
    wait for the rest of a second instead of being turned away.
    """
    callers_socket = take_early_socket(settings.listen.callers)
    from time import time_ns

    from twisted.internet import reactor as default_reactor

    from umberhitch.adapters.logs import configure_logs
    from umberhitch.adapters.steady import make_steady
    from umberhitch.adapters.zmq_link import make_context
    from umberhitch.gateway_node import make_gateway_node

    reactor: Any = default_reactor
    make_steady(reactor)
    configure_logs(settings.log_level, settings.name)
    node = make_gateway_node(settings, reactor, make_context(), time_ns(), callers_socket)
    shutdown = _Shutdown(reactor, node, settings.drain_s - STOP_MARGIN_S)
    shutdown.install()
    _Reload(reactor, path, settings).install()
    log.info("started", extra={"role": settings.role, "addresses": node.addresses()})
    reactor.run(installSignalHandlers=False)
    return shutdown.exit_code


class _Reload:
    """Reads the settings file again at SIGHUP; what needs a restart is named in the log."""

    def __init__(self, reactor: Any, path: str, settings: GatewayFile) -> None:
        self._reactor = reactor
        self._path = path
        self._settings = settings

    def install(self) -> None:
        """Take the signal."""
        signal.signal(signal.SIGHUP, self._on_signal)

    def _on_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        try:
            settings = load_any(Path(self._path))
        except SettingsError as exc:
            findings = [str(finding) for finding in exc.findings]
            log.error("settings not valid, the old ones hold", extra={"findings": findings})
            return
        if not isinstance(settings, GatewayFile):
            log.error("settings of another role, the old ones hold")
            return
        old, new = structs.asdict(self._settings), structs.asdict(settings)
        changed = sorted(key for key in new if new[key] != old[key])
        if "log_level" in changed:
            getLogger().setLevel(settings.log_level)
            self._settings = structs.replace(self._settings, log_level=settings.log_level)
        need_restart = [key for key in changed if key != "log_level"]
        log.info("settings read again", extra={"changed": changed, "need_restart": need_restart})


class _Shutdown:
    """Drains the node at the first signal, and stops at the second or when time is up."""

    def __init__(self, reactor: Any, node: Any, limit_s: float) -> None:
        self.exit_code = EXIT_OK
        self._reactor = reactor
        self._node = node
        self._limit_s = limit_s
        self._is_draining = False

    def install(self) -> None:
        """Take the signals."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        self._wake()

    def _wake(self) -> None:
        """Let the interpreter look at signals while the reactor sleeps."""
        self._reactor.callLater(0.2, self._wake)

    def _on_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self._drain)

    def _drain(self) -> None:
        if self._is_draining:
            self._stop(EXIT_NOT_DRAINED)
            return
        self._is_draining = True
        log.info("draining", extra={"limit_s": self._limit_s})
        drained = self._node.drain()
        drained.addCallback(lambda result: self._stop(EXIT_OK))
        self._reactor.callLater(self._limit_s, self._stop, EXIT_NOT_DRAINED)

    def _stop(self, exit_code: int) -> None:
        node, self._node = self._node, None
        if node is None:
            return
        self.exit_code = exit_code
        log.info("stopped", extra={"exit_code": exit_code})
        node.stop()
        self._reactor.callLater(0.1, self._reactor.stop)


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
