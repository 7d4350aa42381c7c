"""Roll-out states and router membership in the platform's store."""

from logging import getLogger

from umberhitch.core.direct import RolloutState
from umberhitch.errors import ConfigError
from umberhitch.platform._client import StoreClient, decode_response
from umberhitch.platform._documents import decode_status, encode_status
from umberhitch.platform._feed import append_record, newest_records
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

    async def write(self, service: str, target: str, state: RolloutState, end: int) -> bool:
        """Write a state unless anything was written since ``end``; return whether it succeeded."""
        key, value = encode_status(service, target, state)
        return await append_record(self._store, STATUS_TOPIC, key, value, expectedOffset=end)


class Members:
    """Membership of routers; implements `MembersPort`.

    The store assigns the partitions of topics to the members of a group; the list of partition
    owners gives the members. A member's label in the group includes its address.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._generation = 0

    async def join(self, member: Member, ttl_s: float) -> int:
        """Join, or renew the membership; return a number that changes with the list of members."""
        body = {
            "group": GROUP,
            "member": _label(member),
            "topics": GROUP_TOPICS,
            "ttlMs": int(ttl_s * 1000),
            "generation": self._generation,
        }
        reply = await self._store.post_json("/-/log-join", body)
        self._generation = int(reply["generation"])
        return self._generation

    async def leave(self, member: Member) -> None:
        """Remove a member."""
        await self._store.post_json("/-/log-leave", {"group": GROUP, "member": _label(member)})

    async def members(self) -> list[Member]:
        """Return all members."""
        status, data = await self._store.read("/-/log-owners", {"group": GROUP})
        # The platform's documentation does not name this list; it is the response's only one.
        rows = next((v for v in decode_response(status, data).values() if isinstance(v, list)), [])
        labels = {row[2] for row in rows if row[2]}
        parts = [label.rpartition("@") for label in sorted(labels)]
        return [Member(name, address) for name, _, address in parts]


def _label(member: Member) -> str:
    return f"{member.name}@{member.address}"
