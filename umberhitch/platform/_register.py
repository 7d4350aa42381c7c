"""The register of the platform's words: each header and field that its pages name, and its use."""

from pathlib import Path
from typing import Literal

from msgspec import Struct, json

__all__ = ["DROPPED_HEADERS", "REGISTER", "REPLY_HEADERS"]


class _Word(Struct, frozen=True):
    name: str
    use: Literal["read", "set", "passed", "aside"]
    where: str
    why: str
    is_dropped: bool = False
    """Whether a caller's own does not pass on to an endpoint."""


REGISTER = json.decode(
    Path(__file__).with_name("register.json").read_bytes(), type=dict[str, list[_Word]]
)
HEADERS = [(each, each.name.lower().encode()) for each in REGISTER["headers"]]
DROPPED_HEADERS = frozenset(name for each, name in HEADERS if each.is_dropped)
REPLY_HEADERS = frozenset(name for each, name in HEADERS if each.where == "reply")
