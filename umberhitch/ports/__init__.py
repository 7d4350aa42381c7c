"""Interfaces to the world outside the core: log, host list, back ends, peers and time."""

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
