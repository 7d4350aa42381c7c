"""Decisions of the direct path, on which a router calls endpoints itself; no socket, no clock."""

from umberhitch.core.direct._budget import BudgetLimits, RetryBudget
from umberhitch.core.direct._cascade import Cascade, CascadeLimits
from umberhitch.core.direct._change import DocumentChange, apply_change, change_between
from umberhitch.core.direct._closed import ClosedEndpoints, Leaving, Rest
from umberhitch.core.direct._crash_record import Crash, CrashLimits, CrashRecord, Hold
from umberhitch.core.direct._directory import Directory
from umberhitch.core.direct._endpoint import Endpoint
from umberhitch.core.direct._engine_time import EngineDemand, EnginePrice, EngineTimeLimits
from umberhitch.core.direct._events import EventCutter
from umberhitch.core.direct._evidence import AnswerVerdict, Counts, EvidenceBar
from umberhitch.core.direct._fleet_share import ColdLimits, FleetBound, FleetShare
from umberhitch.core.direct._header_values import (
    Backoff,
    read_backoff,
    read_flag,
    read_load,
    read_numbers,
    read_prompt,
)
from umberhitch.core.direct._keys import key_digest
from umberhitch.core.direct._named_limits import LimitChange, LimitRules, NamedLimit, NamedLimits
from umberhitch.core.direct._pace import EventPace, Paces, PacesLimits
from umberhitch.core.direct._placement import EngineWork, Offer, Placed, Placement, PlacementLimits
from umberhitch.core.direct._rates import Rate, read_rate
from umberhitch.core.direct._readings import NO_READING, Readings
from umberhitch.core.direct._request_key import request_key
from umberhitch.core.direct._routes import RouteTable
from umberhitch.core.direct._signals import HeadSignals, ReportedLoad, SignalKind
from umberhitch.core.direct._trial import Trial, TrialLimits
from umberhitch.core.direct._types import (
    Ask,
    Customer,
    Document,
    EndpointEntry,
    EndpointState,
    IntakeLimits,
    PromptPart,
    ReplyHead,
    RolloutOrder,
    RolloutState,
    Route,
    RouteKind,
    Service,
    ZoneOut,
)
from umberhitch.core.direct._worth import Stake, WorthLimits, make_stake

__all__ = [
    "NO_READING",
    "AnswerVerdict",
    "Ask",
    "Backoff",
    "BudgetLimits",
    "Cascade",
    "CascadeLimits",
    "ClosedEndpoints",
    "ColdLimits",
    "Counts",
    "Crash",
    "CrashLimits",
    "CrashRecord",
    "Customer",
    "Directory",
    "Document",
    "DocumentChange",
    "Endpoint",
    "EndpointEntry",
    "EndpointState",
    "EngineDemand",
    "EnginePrice",
    "EngineTimeLimits",
    "EngineWork",
    "EventCutter",
    "EventPace",
    "EvidenceBar",
    "FleetBound",
    "FleetShare",
    "HeadSignals",
    "Hold",
    "IntakeLimits",
    "Leaving",
    "LimitChange",
    "LimitRules",
    "NamedLimit",
    "NamedLimits",
    "Offer",
    "Paces",
    "PacesLimits",
    "Placed",
    "Placement",
    "PlacementLimits",
    "PromptPart",
    "Rate",
    "Readings",
    "ReplyHead",
    "ReportedLoad",
    "Rest",
    "RetryBudget",
    "RolloutOrder",
    "RolloutState",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "SignalKind",
    "Stake",
    "Trial",
    "TrialLimits",
    "WorthLimits",
    "ZoneOut",
    "apply_change",
    "change_between",
    "key_digest",
    "make_stake",
    "read_backoff",
    "read_flag",
    "read_load",
    "read_numbers",
    "read_prompt",
    "read_rate",
    "request_key",
]
