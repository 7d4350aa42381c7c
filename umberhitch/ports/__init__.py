"""Ports of the core: the log, the host list, back ends, peers and the clock.

Modules are imported lazily, on first access to one of their names. A router of the direct path
needs only the clock and the link, and starts faster without the other modules.
"""

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from umberhitch.ports.clock import Clock, Timer
    from umberhitch.ports.engine import (
        BackendCall,
        BackendDone,
        BackendEvent,
        BackendFailed,
        BackendLoad,
        BackendPort,
        BackendRefused,
        BackendText,
        EventSink,
    )
    from umberhitch.ports.hosts import Host, HostListPort, HostRole, HostState
    from umberhitch.ports.link import LinkPort, Receiver
    from umberhitch.ports.log import LogBatch, LogPort

__all__ = [
    "BackendCall",
    "BackendDone",
    "BackendEvent",
    "BackendFailed",
    "BackendLoad",
    "BackendPort",
    "BackendRefused",
    "BackendText",
    "Clock",
    "EventSink",
    "Host",
    "HostListPort",
    "HostRole",
    "HostState",
    "LinkPort",
    "LogBatch",
    "LogPort",
    "Receiver",
    "Timer",
]

MODULES = ("clock", "engine", "hosts", "link", "log")


def __getattr__(name: str) -> object:
    """Import a name of ``__all__`` on first access (PEP 562)."""
    if name in __all__:
        for module_name in MODULES:
            module = import_module(f"{__name__}.{module_name}")
            if hasattr(module, name):
                return getattr(module, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
