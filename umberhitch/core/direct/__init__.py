"""Decision logic of the direct path, on which a router itself calls the endpoints.

Nothing here uses a socket or a clock.
"""

from umberhitch.core.direct._advertised_limits import (
    AdvertisedLimit,
    AdvertisedLimits,
    LimitChange,
    LimitRules,
)
from umberhitch.core.direct._answer_value import AnswerValue, AnswerValueLimits, make_answer_value
from umberhitch.core.direct._canary import Canary
from umberhitch.core.direct._canary_limits import CanaryLimits, RolloutStage
from umberhitch.core.direct._cascade import Cascade, CascadeLimits, LargerChoice
from umberhitch.core.direct._cause_keys import (
    cause_keys,
    customer_of_key,
    is_part_of_all,
    part_of_key,
    request_key,
)
from umberhitch.core.direct._change import DocumentChange, apply_change, diff_documents
from umberhitch.core.direct._closed import ClosedEndpoints, Draining, EndpointBackoff
from umberhitch.core.direct._crash_causes import Crash
from umberhitch.core.direct._crash_record import CrashLimits, CrashRecord, Hold
from umberhitch.core.direct._directory import Directory
from umberhitch.core.direct._endpoint import Endpoint
from umberhitch.core.direct._endpoint_room import EndpointCounts, count_places
from umberhitch.core.direct._engine_time import EngineDemand, EnginePrice, EngineTimeLimits
from umberhitch.core.direct._escalation_rules import (
    MIN_IN_TIME_SHARE,
    LargerWait,
    LargerWaits,
    ModelValues,
    WaitSample,
    give_up_s,
    is_worth_calling,
    latest_delivery_s,
)
from umberhitch.core.direct._events import EventSplitter, is_event_boundary
from umberhitch.core.direct._evidence import AnswerCounts, AnswerVerdict, EvidenceThreshold
from umberhitch.core.direct._fleet_share import ColdLimits, FleetBound, FleetShare
from umberhitch.core.direct._header_values import (
    Backoff,
    parse_backoff,
    parse_flag,
    parse_ints,
    parse_load,
    parse_prompt,
)
from umberhitch.core.direct._keys import key_digest
from umberhitch.core.direct._placement import (
    Candidate,
    EngineCall,
    PlacedCall,
    Placement,
    PlacementLimits,
)
from umberhitch.core.direct._position import (
    NO_POSITION,
    Position,
    epoch_of,
    make_position,
    offset_of,
    padding_before,
)
from umberhitch.core.direct._prefills import NO_PREFILL, ActivePrefills
from umberhitch.core.direct._rates import Rate, parse_rate
from umberhitch.core.direct._restored_copy import (
    KEPT_S,
    KeepS,
    KeptValue,
    RestoredCopy,
    is_superseded,
    keep_endpoint_s,
    keep_operator_value_s,
)
from umberhitch.core.direct._retry_budget import RetryBudget, RetryBudgetLimits
from umberhitch.core.direct._return_book import Appointment, ReturnBook
from umberhitch.core.direct._return_plan import ReturnPlan
from umberhitch.core.direct._room import RoomForecast
from umberhitch.core.direct._router_part import PLACES_ERROR, RouterPart, ServicePlaces
from umberhitch.core.direct._routes import RouteTable
from umberhitch.core.direct._session_pins import SessionAge
from umberhitch.core.direct._signals import HeadSignals, ReportedLoad, SignalKind
from umberhitch.core.direct._store_epoch import EpochVerdict, StoreEpoch
from umberhitch.core.direct._token_latency import (
    InterTokenLatency,
    TokenLatencies,
    TokenLatencyLimits,
)
from umberhitch.core.direct._types import (
    CallerRequest,
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
from umberhitch.core.direct._work_times import WorkTime, WorkTimes

__all__ = [
    "KEPT_S",
    "MIN_IN_TIME_SHARE",
    "NO_POSITION",
    "NO_PREFILL",
    "PLACES_ERROR",
    "ActivePrefills",
    "AdvertisedLimit",
    "AdvertisedLimits",
    "AnswerCounts",
    "AnswerValue",
    "AnswerValueLimits",
    "AnswerVerdict",
    "Appointment",
    "Backoff",
    "CallerRequest",
    "Canary",
    "CanaryLimits",
    "Candidate",
    "Cascade",
    "CascadeLimits",
    "ClosedEndpoints",
    "ColdLimits",
    "Crash",
    "CrashLimits",
    "CrashRecord",
    "Customer",
    "Directory",
    "Document",
    "DocumentChange",
    "Draining",
    "Endpoint",
    "EndpointBackoff",
    "EndpointCounts",
    "EndpointEntry",
    "EndpointState",
    "EngineCall",
    "EngineDemand",
    "EnginePrice",
    "EngineTimeLimits",
    "EpochVerdict",
    "EventSplitter",
    "EvidenceThreshold",
    "FleetBound",
    "FleetShare",
    "HeadSignals",
    "Hold",
    "IntakeLimits",
    "InterTokenLatency",
    "KeepS",
    "KeptValue",
    "LargerChoice",
    "LargerWait",
    "LargerWaits",
    "LimitChange",
    "LimitRules",
    "ModelValues",
    "PlacedCall",
    "Placement",
    "PlacementLimits",
    "Position",
    "PromptPart",
    "Rate",
    "ReplyHead",
    "ReportedLoad",
    "RestoredCopy",
    "RetryBudget",
    "RetryBudgetLimits",
    "ReturnBook",
    "ReturnPlan",
    "RolloutOrder",
    "RolloutStage",
    "RolloutState",
    "RoomForecast",
    "Route",
    "RouteKind",
    "RouteTable",
    "RouterPart",
    "Service",
    "ServicePlaces",
    "SessionAge",
    "SignalKind",
    "StoreEpoch",
    "TokenLatencies",
    "TokenLatencyLimits",
    "WaitSample",
    "WorkTime",
    "WorkTimes",
    "ZoneOut",
    "apply_change",
    "cause_keys",
    "count_places",
    "customer_of_key",
    "diff_documents",
    "epoch_of",
    "give_up_s",
    "is_event_boundary",
    "is_part_of_all",
    "is_superseded",
    "is_worth_calling",
    "keep_endpoint_s",
    "keep_operator_value_s",
    "key_digest",
    "latest_delivery_s",
    "make_answer_value",
    "make_position",
    "offset_of",
    "padding_before",
    "parse_backoff",
    "parse_flag",
    "parse_ints",
    "parse_load",
    "parse_prompt",
    "parse_rate",
    "part_of_key",
    "request_key",
]
