"""Roll-out states and router membership in the platform's store."""

from logging import getLogger

from msgspec import json

from umberhitch.adapters.store_client import StoreClient, decode_response
from umberhitch.core.direct import Position, RolloutState, make_position
from umberhitch.errors import ConfigError
from umberhitch.platform._documents import decode_status, encode_status
from umberhitch.platform._feed import append_record_at, newest_records
from umberhitch.ports.direct import Member, StoredStatus

__all__ = ["ENDPOINT_TOPIC", "OPERATOR_TOPIC", "Members", "Statuses"]

log = getLogger(__name__)

OPERATOR_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
GROUP = "umberhitch-routers"
GROUP_TOPICS = ["umberhitch-seats-1", "umberhitch-seats-2", "umberhitch-seats-3"]
"""Used for their partitions only: a member without a partition is missing from the owners."""


class Statuses:
    """The states of roll-outs; implements `StatusPort`."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def read(self) -> StoredStatus:
        """Return all states."""
        rows, end = await newest_records(self._store, STATUS_TOPIC)
        states = {}
        for key, value in rows:
            try:
                decoded = decode_status(key, value) if value else None
            except ConfigError as exc:
                log.warning("record not valid", extra={"topic": STATUS_TOPIC, "problem": str(exc)})
                continue
            if decoded is not None:
                service, target, state = decoded
                states[service] = (target, state)
        return StoredStatus(states, end)

    async def write(self, service: str, target: str, state: RolloutState, end: Position) -> bool:
        """Write a state unless anything was written since ``end``; return whether it succeeded."""
        key, value = encode_status(service, target, state)
        return await append_record_at(self._store, STATUS_TOPIC, key, value, end)


class Members:
    """Membership of routers; implements `MembersPort`.

    The store assigns the partitions of topics to the members of a group; the list of partition
    owners gives the members. A member's label in the group includes its address.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._generation = 0
        self._epoch = 0
        """Epoch of the store that the generation is from."""

    async def join(self, member: Member, ttl_s: float) -> Position:
        """Join, or renew the membership; return a number that changes with the list of members."""
        if self._epoch != self._store.epochs.current:
            self._generation = 0
        body = {
            "group": GROUP,
            "member": _label(member),
            "topics": GROUP_TOPICS,
            "ttlMs": int(ttl_s * 1000),
            "generation": self._generation,
        }
        answer = await self._store.call("POST", "/-/log-join", {}, json.encode(body))
        self._generation = int(decode_response(answer)["generation"])
        self._epoch = answer.epoch
        return make_position(self._epoch, self._generation)

    async def leave(self, member: Member) -> None:
        """Remove a member."""
        await self._store.post_json("/-/log-leave", {"group": GROUP, "member": _label(member)})

    async def members(self) -> list[Member]:
        """Return all members."""
        answer = await self._store.read("/-/log-owners", {"group": GROUP})
        # The platform's documentation does not name this list; it is the response's only one.
        rows = next((v for v in decode_response(answer).values() if isinstance(v, list)), [])
        labels = {row[2] for row in rows if row[2]}
        parts = [label.rpartition("@") for label in sorted(labels)]
        return [Member(name, address) for name, _, address in parts]


def _label(member: Member) -> str:
    return f"{member.name}@{member.address}"
