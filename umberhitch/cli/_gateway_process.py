"""The process of a router of the direct path, and how daemons stop and read settings again.

Imports only what it needs, as it has to start fast: no command line, no other role.
"""

import gc
import signal
from logging import getLogger
from pathlib import Path
from typing import Any

from msgspec import structs

from umberhitch.cli._hangup import keep_hangup, was_hung_up
from umberhitch.cli._lean import put_off_imports
from umberhitch.cli._listening import take_early_socket
from umberhitch.errors import SettingsError
from umberhitch.gateway_settings import GatewayFile, load_gateway_file

__all__ = ["EXIT_BAD_SETTINGS", "EXIT_NOT_DRAINED", "EXIT_OK", "Shutdown", "serve_gateway"]

log = getLogger(__name__)

EXIT_OK = 0
EXIT_NOT_DRAINED = 1
EXIT_BAD_SETTINGS = 2
MIN_LINGER_S = 0.1
"""After the stop, for what the process tells others last."""
MAX_LINGER_S = 0.4
"""After the stop, for callers to take the answers to what was cut."""
LINGER_POLL_S = 0.02


def serve_gateway(settings: GatewayFile, path: str) -> int:
    """Run a router of the direct path.

    It listens for callers before all else: they wait for the rest of a second instead of being
    turned away. What a start makes stays for good, so that the collector's passes over it find
    nothing; without them it takes an eighth less.
    """
    keep_hangup()
    callers_socket = take_early_socket(settings.listen.callers)
    gc.disable()
    put_off_imports()
    from time import time_ns

    from twisted.internet import reactor as default_reactor

    from umberhitch.adapters.logs import configure_logs
    from umberhitch.adapters.steady import make_steady
    from umberhitch.adapters.zmq_link import make_context
    from umberhitch.gateway_node import make_gateway_node
    from umberhitch.tasks.direct.gateway_limits import STOP_MARGIN_S

    reactor: Any = default_reactor
    make_steady(reactor)
    configure_logs(settings.log_level, settings.name)
    node = make_gateway_node(settings, reactor, make_context(), time_ns(), callers_socket)
    shutdown = Shutdown(reactor, node, settings.drain_s - STOP_MARGIN_S)
    shutdown.install()
    _Reload(reactor, path, settings).install()
    log.info("started", extra={"role": settings.role, "addresses": node.addresses()})
    gc.freeze()
    gc.enable()
    reactor.run(installSignalHandlers=False)
    return shutdown.exit_code


class _Reload:
    """Reads the settings file again at SIGHUP; what needs a restart is named in the log."""

    def __init__(self, reactor: Any, path: str, settings: GatewayFile) -> None:
        self._reactor = reactor
        self._path = path
        self._settings = settings

    def install(self) -> None:
        """Take the signal, also one that came during the start."""
        signal.signal(signal.SIGHUP, self._on_signal)
        if was_hung_up():
            self._reactor.callLater(0, self._reload)

    def _on_signal(self, number: int, frame: Any) -> None:
        self._reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        try:
            settings = load_gateway_file(Path(self._path))
        except SettingsError as exc:
            findings = [str(finding) for finding in exc.findings]
            log.error("settings not valid, the old ones hold", extra={"findings": findings})
            return
        if settings is None:
            log.error("settings of another role, the old ones hold")
            return
        old, new = structs.asdict(self._settings), structs.asdict(settings)
        changed = sorted(key for key in new if new[key] != old[key])
        if "log_level" in changed:
            getLogger().setLevel(settings.log_level)
            self._settings = structs.replace(self._settings, log_level=settings.log_level)
        need_restart = [key for key in changed if key != "log_level"]
        log.info("settings read again", extra={"changed": changed, "need_restart": need_restart})


class Shutdown:
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
        end_s = self._reactor.seconds() + MAX_LINGER_S
        self._reactor.callLater(MIN_LINGER_S, self._end, node, end_s)

    def _end(self, node: Any, end_s: float) -> None:
        """End the process once callers have taken what they get, or when time is up."""
        if node.is_delivering() and self._reactor.seconds() < end_s:
            self._reactor.callLater(LINGER_POLL_S, self._end, node, end_s)
        else:
            self._reactor.stop()
