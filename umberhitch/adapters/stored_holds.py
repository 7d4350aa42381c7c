"""Requests that are held, as documents of our own in the platform's store."""

from logging import getLogger

from msgspec import DecodeError, Struct, ValidationError, json

from umberhitch.adapters.store_client import StoreClient
from umberhitch.platform import append_record, newest_records
from umberhitch.ports.direct import StoredHold

__all__ = ["HoldsStore"]

log = getLogger(__name__)

TOPIC = "keyed.umberhitch-held"
MAX_LIFETIMES = 16


class _Document(Struct):
    """The value under a request's key."""

    place: str
    lifetimes: list[str]
    probes: int = 0


class HoldsStore:
    """A `HoldsPort`.

    Parameters
    ----------
    store : StoreClient
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def read(self) -> list[StoredHold]:
        """Return all requests that are held; what does not validate is logged and left out."""
        rows, _ = await newest_records(self._store, TOPIC)
        found = []
        for key, value in rows:
            if not value:
                continue
            try:
                document = json.decode(value, type=_Document)
            except (ValidationError, DecodeError) as exc:
                log.warning("record not valid", extra={"key": key, "problem": str(exc)})
                continue
            lifetimes = tuple(document.lifetimes[:MAX_LIFETIMES])
            found.append(StoredHold(key, document.place, lifetimes, document.probes))
        return found

    async def write(self, key: str, hold: StoredHold | None) -> None:
        """Let a hold stand, or none."""
        value = b""
        if hold is not None:
            value = json.encode(_Document(hold.service_version, list(hold.lifetimes), hold.probes))
        await append_record(self._store, TOPIC, key, value)
