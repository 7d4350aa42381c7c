"""Small fakes of what lies behind the ports, for tests, the demo and benchmarks.

They hold no socket and run on any clock; the HTTP stand-ins in `umberhitch.standins` serve them.
"""

from umberhitch.fakes._clock import ProcessClock
from umberhitch.fakes._direct_callers import FakeReply, FakeWire
from umberhitch.fakes._direct_endpoints import FakeEndpoint, FakeEndpoints, Reply, part_ids
from umberhitch.fakes._direct_store import (
    FakeFeed,
    FakeHolds,
    FakeMembers,
    FakeStatuses,
    KeyedMemory,
    MemberRows,
    StatusRows,
    StoreFaults,
)
from umberhitch.fakes._engine import EngineFaults, EnginePace, FakeEngine, expected_answer
from umberhitch.fakes._hosts import FakeHostList
from umberhitch.fakes._log import FakeLog, LogFaults, MemoryLog
from umberhitch.fakes._network import FakeLink, FakeNetwork, NetworkFaults
from umberhitch.fakes._ratings import FakeRatings, RatingFaults

__all__ = [
    "EngineFaults",
    "EnginePace",
    "FakeEndpoint",
    "FakeEndpoints",
    "FakeEngine",
    "FakeFeed",
    "FakeHolds",
    "FakeHostList",
    "FakeLink",
    "FakeLog",
    "FakeMembers",
    "FakeNetwork",
    "FakeRatings",
    "FakeReply",
    "FakeStatuses",
    "FakeWire",
    "KeyedMemory",
    "LogFaults",
    "MemberRows",
    "MemoryLog",
    "NetworkFaults",
    "ProcessClock",
    "RatingFaults",
    "Reply",
    "StatusRows",
    "StoreFaults",
    "expected_answer",
    "part_ids",
]
