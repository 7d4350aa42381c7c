"""Register of the headers and fields in the platform's documentation, and of their use."""

from pathlib import Path
from typing import Literal

from msgspec import Struct, json

__all__ = ["DROPPED_HEADERS", "FORWARDED_HEADERS", "REGISTER", "REPLY_HEADERS"]


class _RegisterEntry(Struct, frozen=True):
    name: str
    use: Literal["read", "set", "passed", "aside"]
    where: str
    why: str
    is_dropped: bool = False
    """Whether the header of a caller is dropped instead of forwarded to an endpoint."""


REGISTER = json.decode(
    Path(__file__).with_name("register.json").read_bytes(), type=dict[str, list[_RegisterEntry]]
)
HEADERS = [(entry, entry.name.lower().encode()) for entry in REGISTER["headers"]]
DROPPED_HEADERS = frozenset(name for entry, name in HEADERS if entry.is_dropped)
FORWARDED_HEADERS = frozenset(name for entry, name in HEADERS if not entry.is_dropped)
REPLY_HEADERS = frozenset(name for entry, name in HEADERS if entry.where == "reply")
