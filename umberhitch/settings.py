"""Settings files of the daemon: one JSON object, validated whole."""

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import DecodeError, json
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, TypeAdapter, ValidationError
from pydantic import model_validator as model_check

from umberhitch.addresses import split_address
from umberhitch.config.border import findings_of
from umberhitch.errors import SettingsError
from umberhitch.findings import Finding

__all__ = [
    "AgentFile",
    "LinkKeys",
    "LogLevel",
    "Platform",
    "RouterFile",
    "SettingsFile",
    "load_settings",
    "parse_settings",
]


def _check_address(text: str) -> str:
    split_address(text)
    return text


def _is_loopback(address: str) -> bool:
    return ip_address(split_address(address)[0].strip("[]")).is_loopback


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[A-Za-z0-9_.@-]+$")]
LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]
Seconds = Annotated[float, Field(gt=0, le=86400)]
Url = Annotated[str, Field(pattern=r"^https?://[0-9.:\[\]a-fA-F]+(/.*)?$")]
"""By IP number, as the hosts have no name service."""


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class LinkKeys(_Section):
    """CurveZMQ key pair of the deployment, Z85-encoded."""

    public: Annotated[str, Field(min_length=40, max_length=40)]
    secret: Annotated[str, Field(min_length=40, max_length=40, repr=False)]


class Platform(_Section):
    """Where the platform's services are."""

    log: Url
    hosts: Url
    ratings: Url | None = None
    """Without a rating service, versions are judged by failures and latency alone."""


class Tls(_Section):
    """Files of the certificate chain and the key, in PEM."""

    certificate: Path
    key: Path


class RouterListen(_Section):
    """Addresses of a router."""

    callers: Address
    operators: Address
    link: Address


class AgentListen(_Section):
    """Addresses of an agent."""

    link: Address
    health: Address


class Backend(_Section):
    """What an agent stands before."""

    url: Url
    targets: Annotated[list[Name], Field(min_length=1)]
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    queue: Annotated[int, Field(ge=0, le=65536)] = 64
    checks_fencing: bool = True
    """Whether the engine itself refuses orders with an old fencing number."""


class _Common(_Section):
    name: Name
    zone: Name
    region: Name = "default"
    link_keys: LinkKeys | None = None
    """May be left out only while the link listens on loopback."""
    log_level: LogLevel = "INFO"
    drain_s: Seconds = 60.0
    """How long a shutdown waits for running work."""


class RouterFile(_Common):
    """Settings of a router."""

    role: Literal["router"]
    listen: RouterListen
    platform: Platform
    tls: Tls | None = None
    operators: dict[str, Literal["read", "change", "withdraw"]] = {}
    """Hex SHA-256 of operators' keys, with the role of each."""
    hello_s: Seconds = 1.0
    hosts_s: Seconds = 2.0
    token_flush_s: Annotated[float, Field(ge=0, le=1)] = 0.0
    rating_sample: Annotated[float, Field(ge=0, le=1)] = 1.0
    """Share of answers that are sent to the rating service."""
    max_body_bytes: Annotated[int, Field(ge=1024, le=1 << 28)] = 4 * 1024 * 1024

    @model_check(mode="after")
    def _check_keys(self) -> "RouterFile":
        return _require_keys(self)


class AgentFile(_Common):
    """Settings of an agent."""

    role: Literal["agent"]
    listen: AgentListen
    backend: Backend
    beat_s: Seconds = 1.0
    token_flush_s: Annotated[float, Field(ge=0, le=1)] = 0.005
    """How long pieces of answers wait for others to the same router, to share a frame."""

    @model_check(mode="after")
    def _check_keys(self) -> "AgentFile":
        return _require_keys(self)


def _require_keys(settings: Any) -> Any:
    if settings.link_keys is None and not _is_loopback(settings.listen.link):
        raise ValueError("link_keys are needed unless listen.link is on loopback")
    return settings


AnyFile = RouterFile | AgentFile
SettingsFile = Annotated[AnyFile, Field(discriminator="role")]
_adapter: TypeAdapter[AnyFile] = TypeAdapter(SettingsFile)


def parse_settings(data: bytes) -> AnyFile:
    """Return the settings in a file's content.

    Raises
    ------
    SettingsError
        With every finding.
    """
    try:
        raw = json.decode(data)
    except DecodeError as exc:
        raise SettingsError([Finding("settings", f"not JSON: {exc}")]) from exc
    try:
        return _adapter.validate_python(raw)
    except ValidationError as exc:
        findings = findings_of(exc, "")
        raise SettingsError([_without_role(finding) for finding in findings]) from exc


def _without_role(finding: Finding) -> Finding:
    """Drop the role that pydantic puts in front of each place."""
    for role in ("router", "agent"):
        if finding.place.startswith(f"{role}."):
            return Finding(finding.place[len(role) + 1 :], finding.problem)
        if finding.place == role:
            return Finding("settings", finding.problem)
    return Finding(finding.place or "settings", finding.problem)


def load_settings(path: Path) -> AnyFile:
    """Return the settings in a file; raises `SettingsError` with every finding."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise SettingsError([Finding(str(path), exc.strerror or str(exc))]) from exc
    return parse_settings(data)
