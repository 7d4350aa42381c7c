"""States of roll-outs and membership of routers, in the platform's store."""

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
"""Only their partitions matter: a member that holds none does not appear among the owners."""


class Statuses:
    """The states of roll-outs; a `StatusPort`."""

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
        """Write a state unless anything was written since ``end``; return whether it was done."""
        key, value = encode_status(service, target, state)
        return await append_record(self._store, STATUS_TOPIC, key, value, expectedOffset=end)


class Members:
    """Membership of routers; a `MembersPort`.

    The store gives the partitions of a topic to the members of a group; the rows of owners are the
    list of members. A member's name in the group carries its address.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._generation = 0

    async def join(self, member: Member, ttl_s: float) -> int:
        """Join or stay; return a number that changes with the membership."""
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
        """Leave."""
        await self._store.post_json("/-/log-leave", {"group": GROUP, "member": _label(member)})

    async def members(self) -> list[Member]:
        """Return all members."""
        status, data = await self._store.read("/-/log-owners", {"group": GROUP})
        # The pages do not name the list of rows; it is the only list in the answer.
        rows = next((v for v in decode_response(status, data).values() if isinstance(v, list)), [])
        labels = {row[2] for row in rows if row[2]}
        parts = [label.rpartition("@") for label in sorted(labels)]
        return [Member(name, address) for name, _, address in parts]


def _label(member: Member) -> str:
    return f"{member.name}@{member.address}"
