"""Conversion of the documents in the platform's store to the router's types.

Some of the platform's names differ from the router's: a ``tenant`` is a customer, a ``server`` or
replica is an endpoint, and an endpoint's ``id`` names one incarnation. A replica may restart under
the same ``id``; its entry then has another ``born`` and stands for another lifetime.
"""

import re
from typing import Annotated, Literal

from msgspec import DecodeError, Meta, Struct, ValidationError, json

from umberhitch.addresses import split_address
from umberhitch.core.direct import (
    Customer,
    Document,
    EndpointEntry,
    EndpointState,
    IntakeLimits,
    RolloutOrder,
    RolloutState,
    Route,
    RouteKind,
    Service,
    ZoneOut,
    key_digest,
)
from umberhitch.errors import ConfigError
from umberhitch.ports.direct import OperatorValue

__all__ = ["CONFIG_KEY", "decode_endpoint", "decode_operator", "decode_status", "encode_status"]

CONFIG_KEY = "config"
MAX_SLOTS = 1_000_000
MAX_BORN_MS = 2**53
"""Larger values are invalid: JSON numbers are exact, and can be sent to peers, up to this one."""
ENDPOINT_KEY = re.compile(r"[!-~]{1,255}", re.ASCII)
"""The key is sent in a header, so it has only printable ASCII without spaces."""
ROLLOUT_PREFIX = "rollout/"
ZONE_PREFIX = "evacuate/"
MAX_COLD_MS = 3_600_000.0  # one hour, longer than any cold start
ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


class _Split(Struct):
    service: str
    weight: float


class _Route(Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float = 1000.0
    sizes: list[str] = []


class _Model(Struct):
    name: str
    cost: float = 0.0


class _Engine(Struct, rename="camel"):
    slots: int = 0
    kv_capacity_tokens: int = 0
    models: list[_Model] = []


class _Service(Struct, rename="camel"):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None
    cold_start_s: Annotated[float, Meta(ge=0)] = 0.0
    cold_per_s: Annotated[float, Meta(ge=0)] = 0.0


class _Limits(Struct, rename="camel", frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


class _RolloutOrder(Struct, rename="camel"):
    service: str
    target: str
    duration_s: float


_Text = Annotated[str, Meta(max_length=255)]


class _Entry(Struct, rename="camel"):
    service: _Text
    address: _Text
    version: _Text
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    zone: _Text = ""
    born: Annotated[int, Meta(ge=0, le=MAX_BORN_MS)] | None = None
    cold_remaining_ms: float | None = None


class _Status(Struct):
    target: str = ""
    state: str = "in_progress"


_config = json.Decoder(_Config)
_rollout_order = json.Decoder(_RolloutOrder)
_entry = json.Decoder(_Entry)


def decode_operator(key: str, value: bytes) -> OperatorValue | None:
    """Return the decoded record of an operator, or None if its key is unknown.

    A zone is out of service while its record exists; the content of the record is ignored.

    Raises `ConfigError`, which names the position in the record, if it does not validate.
    """
    try:
        if key == CONFIG_KEY:
            return _make_document(_config.decode(value))
        if key.startswith(ROLLOUT_PREFIX):
            order = _rollout_order.decode(value)
            return RolloutOrder(order.service, order.target, order.duration_s)
        if key.startswith(ZONE_PREFIX):
            return ZoneOut(key.removeprefix(ZONE_PREFIX))
    except (DecodeError, ValidationError, KeyError) as exc:
        raise ConfigError([f"{key}: {exc}"]) from exc
    return None


def _make_document(raw: _Config) -> Document:
    limits = raw.limits
    timeouts_s = (limits.header_timeout_ms / 1000, limits.idle_timeout_ms / 1000)
    return Document(
        raw.version,
        tuple(map(_make_route, raw.routes)),
        {service.name: _make_service(service) for service in raw.services},
        {
            key_digest(key): Customer(tenant.name, tenant.priority)
            for tenant in raw.tenants
            for key in tenant.api_keys
        },
        IntakeLimits(limits.max_header_bytes, limits.max_body_bytes, *timeouts_s),
    )


def _make_route(raw: _Route) -> Route:
    services = tuple((split.service, split.weight) for split in raw.traffic_split)
    return Route(
        raw.name,
        raw.host,
        raw.path_prefix,
        ROUTE_KINDS[raw.kind],
        raw.timeout_ms / 1000,
        raw.target_latency_ms / 1000,
        raw.priority,
        services or ((raw.service or "", 1.0),),
        raw.max_attempts,
        raw.public,
        raw.resumable,
        raw.target_gap_ms / 1000,
        tuple(raw.sizes),
    )


def _make_service(raw: _Service) -> Service:
    engine = raw.engine or _Engine()
    prices = {model.name: model.cost for model in engine.models}
    sizes = (raw.max_connections, engine.slots, engine.kv_capacity_tokens)
    return Service(raw.name, *sizes, prices, raw.cold_start_s, raw.cold_per_s)


def decode_endpoint(key: str, value: bytes) -> EndpointEntry | None:
    """Return an endpoint's entry; raises `ConfigError` if it does not validate.

    Any client of the store may have written the entry, so all of it is validated.
    """
    if not ENDPOINT_KEY.fullmatch(key):
        raise ConfigError([f"{key[:80]!r}: not a valid key of an endpoint"])
    try:
        raw = _entry.decode(value)
        if not split_address(raw.address)[1]:
            raise ValueError("no port - at `$.address`")
    except (ValueError, RecursionError) as exc:  # msgspec's errors are subclasses of these
        raise ConfigError([f"{key}: {exc}"]) from exc
    fields = (raw.service, raw.address, raw.zone, raw.version, raw.slots, EndpointState(raw.state))
    cold_ms = raw.cold_remaining_ms
    cold_s = None if cold_ms is None else min(max(0.0, cold_ms), MAX_COLD_MS) / 1000
    return EndpointEntry(key, *fields, raw.born, cold_s)


def decode_status(key: str, value: bytes) -> tuple[str, str, RolloutState] | None:
    """Return service, target and state of a roll-out, or None for any other record.

    Raises `ConfigError` if the record does not validate.
    """
    if not key.startswith(ROLLOUT_PREFIX):
        return None
    try:
        raw = json.decode(value, type=_Status)
        return key.removeprefix(ROLLOUT_PREFIX), raw.target, RolloutState(raw.state)
    except (DecodeError, ValidationError, ValueError) as exc:
        raise ConfigError([f"{key}: {exc}"]) from exc


def encode_status(service: str, target: str, state: RolloutState) -> tuple[str, bytes]:
    """Return key and value of the record of a roll-out's state."""
    return ROLLOUT_PREFIX + service, json.encode({"target": target, "state": state.value})
