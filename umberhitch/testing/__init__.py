"""What tests share: builders of data, and a deployment on a virtual clock."""

from umberhitch.testing._builders import (
    SIGNING_SECRET,
    make_change,
    make_customer,
    make_document,
    make_start,
    make_state_change,
    make_version,
    make_work,
)
from umberhitch.testing._claims import make_claim
from umberhitch.testing._crashing import CrashingFleet, CrashShape
from umberhitch.testing._crashing_parts import PartLoad
from umberhitch.testing._direct import (
    DirectAsk,
    DirectRouter,
    DirectWorld,
    LostRecords,
    StoreCopy,
    make_direct_document,
    make_endpoint_entry,
    make_route,
)
from umberhitch.testing._endpoint_words import sent_after_leaving, sent_while_resting
from umberhitch.testing._limited import LIMIT_SPAN_S, limit_bound, most_from_told, most_within
from umberhitch.testing._load import LoadRecord, LoadWorld, Stream, make_load_document
from umberhitch.testing._oracle import check_world
from umberhitch.testing._overload import FalseRefusal, OverloadWorld, make_overload_world
from umberhitch.testing._paced import (
    LOOKS,
    changing_pace,
    make_paced_world,
    offer_share,
    steady_pace,
)
from umberhitch.testing._rollouts import RolloutPlay, RolloutTraffic, VersionFault
from umberhitch.testing._session_play import SessionPlay, VersionChange
from umberhitch.testing._stopping import StoppedCaller, StoppingRouter
from umberhitch.testing._transports import FakeTransport, dial
from umberhitch.testing._violation import Violation
from umberhitch.testing._world import AskOptions, CallerRecord, World, WorldSettings

__all__ = [
    "LIMIT_SPAN_S",
    "LOOKS",
    "SIGNING_SECRET",
    "AskOptions",
    "CallerRecord",
    "CrashShape",
    "CrashingFleet",
    "DirectAsk",
    "DirectRouter",
    "DirectWorld",
    "FakeTransport",
    "FalseRefusal",
    "LoadRecord",
    "LoadWorld",
    "LostRecords",
    "OverloadWorld",
    "PartLoad",
    "RolloutPlay",
    "RolloutTraffic",
    "SessionPlay",
    "StoppedCaller",
    "StoppingRouter",
    "StoreCopy",
    "Stream",
    "VersionChange",
    "VersionFault",
    "Violation",
    "World",
    "WorldSettings",
    "changing_pace",
    "check_world",
    "dial",
    "limit_bound",
    "make_change",
    "make_claim",
    "make_customer",
    "make_direct_document",
    "make_document",
    "make_endpoint_entry",
    "make_load_document",
    "make_overload_world",
    "make_paced_world",
    "make_route",
    "make_start",
    "make_state_change",
    "make_version",
    "make_work",
    "most_from_told",
    "most_within",
    "offer_share",
    "sent_after_leaving",
    "sent_while_resting",
    "steady_pace",
]
