"""Settings of a router of the direct path.

They are validated by msgspec, the other roles' by pydantic: importing pydantic takes a third of the
time in which such a router starts, and a router that starts late refuses callers.
"""

from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import DecodeError, Meta, Struct, ValidationError, convert, json, structs

from umberhitch.addresses import split_address
from umberhitch.errors import SettingsError
from umberhitch.findings import Finding

__all__ = ["Bounds", "GatewayFile", "GatewayListen", "load_gateway_file", "parse_gateway_file"]

ROLE = "gateway"
Name = Annotated[str, Meta(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9_.@-]+$")]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class GatewayListen(Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of a router of the direct path, each ``IP:PORT``."""

    callers: str
    readiness: str
    pages: str
    """Metrics and status."""
    link: str


class Bounds(Struct, frozen=True, forbid_unknown_fields=True):
    """What the platform bounds; it hands these over with the settings."""

    configuration_s: Seconds = 3.0
    """A configuration that was confirmed is in force after this; a router that knows of one and has
    not been able to read it refuses requests."""
    revocation_s: Seconds = 5.0
    """A key that was taken away has no effect after this, and"""
    strict_revocation: bool | None = None
    """whether that holds also while the store is away: then requests with keys are refused once
    nothing proves that their keys still stand. Where false, the last keys known go on being served.
    Strict where it is not said."""
    retry_ratio: Annotated[float, Meta(ge=0, le=10)] = 0.5
    """Calls beyond the first, for each request."""
    retry_slack: Annotated[float, Meta(ge=0)] = 20.0
    """Calls beyond the first that are allowed besides, over all routers."""
    retry_window_s: Seconds = 10.0
    exposure_share: Annotated[float, Meta(gt=0, le=1)] = 0.15
    """Share of all requests that a bad version may get during its roll-out, and"""
    exposure_slack: Annotated[float, Meta(ge=0)] = 30.0
    """so many besides."""
    cold_overrun: Annotated[float, Meta(ge=1, le=100)] = 1.5
    """In any second a cold endpoint gets so many times the rate that its service names, and"""
    cold_slack: Annotated[float, Meta(ge=0)] = 5.0
    """so many requests more, over all routers."""
    session_s: Seconds = 5.0
    """Requests of a session that are not further apart belong together."""


class GatewayFile(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a router of the direct path."""

    role: Literal["gateway"]
    name: Name
    zone: Name
    listen: GatewayListen
    store: str
    """``IP:PORT`` of the platform's store."""
    region: Name = "default"
    log_level: LogLevel = "INFO"
    drain_s: Seconds = 8.0
    """How long a shutdown may take in all."""
    drain_notice_s: Seconds = 2.6
    """How long the balancer takes to notice that a router is not ready: two checks, 1 s apart."""
    memory_mb: Annotated[float, Meta(ge=32)] = 128
    """What the process may use."""
    link_mbps: Annotated[float, Meta(ge=0)] = 0.0
    """Bandwidth of the host's link, Mbit/s; 0 where it is not known. Of several routers those with
    the fastest links read the store for the others."""
    bounds: Bounds = Bounds()
    good_share: Annotated[float, Meta(gt=0, lt=1)] = 0.99
    """Share of a route's requests to be done within its objective; for the burn report."""
    admission_control: bool | None = None
    """Whether requests for which there is no room wait in order, or are rejected at once; if not
    set, as the platform's terms call for it."""
    terms: tuple[str, ...] = ()
    """Terms of the platform that are in force for the deployment."""


def parse_gateway_file(data: bytes) -> GatewayFile:
    """Return the settings in a file's content.

    Raises
    ------
    SettingsError
        With every finding: each field is looked at by itself.
    """
    try:
        raw = json.decode(data)
    except DecodeError as exc:
        raise SettingsError([Finding("settings", f"not JSON: {exc}")]) from exc
    if not isinstance(raw, dict):
        raise SettingsError([Finding("settings", "not an object")])
    findings = _findings(raw, GatewayFile, "")
    if findings:
        raise SettingsError(findings)
    return convert(raw, GatewayFile)


def _findings(raw: dict[str, Any], kind: type[Struct], place: str) -> list[Finding]:
    fields = {field.name: field for field in structs.fields(kind)}
    found = [Finding(place + name, "unknown field") for name in raw if name not in fields]
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                found.append(Finding(place + name, "missing"))
            continue
        value = raw[name]
        if field.type in (GatewayListen, Bounds) and isinstance(value, dict):
            found += _findings(value, field.type, f"{place}{name}.")
            continue
        try:
            convert(value, field.type)
            if kind is GatewayListen or name == "store":
                split_address(value)
        except (ValidationError, ValueError) as exc:
            found.append(Finding(place + name, str(exc)))
    return found


def load_gateway_file(path: Path) -> GatewayFile | None:
    """Return the settings in a file, or None if they are of another role.

    Raises
    ------
    SettingsError
        With every finding.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise SettingsError([Finding(str(path), exc.strerror or str(exc))]) from exc
    try:
        role = json.decode(data, type=_Role).role
    except (DecodeError, ValidationError):
        return None
    return parse_gateway_file(data) if role == ROLE else None


class _Role(Struct):
    role: str
