"""Leases as a fold of one log stream; the offset of an accepted acquisition is its fencing token.

The fold does not depend on time. A router that finds a lease expired names the token that it
replaces; if several routers do so, the order of the log decides. A holder that was replaced while
it was paused may still believe that it holds the lease. Therefore every order carries the holder's
token, which is checked where the order takes effect (Lamport's fencing; see
docs/design/0006-leases-and-orders.md).
"""

from dataclasses import dataclass

from msgspec import DecodeError, Struct, ValidationError, json

__all__ = [
    "NO_TOKEN",
    "Acquire",
    "Lease",
    "LeaseFold",
    "Renew",
    "Yield",
    "decode_lease_record",
    "encode_lease_record",
]

NO_TOKEN = -1


class Acquire(Struct, frozen=True, tag="acquire"):
    """A router acquires a lease that is free or has expired."""

    name: str
    holder: str
    incarnation: int
    previous: int
    """Token of the lease that is replaced; `NO_TOKEN` if there was none."""
    ttl_s: float


class Renew(Struct, frozen=True, tag="renew"):
    """The holder renews its lease.

    The record describes the lease in full, since the retention of the log may have removed the
    acquisition before a reader starts.
    """

    name: str
    token: int
    holder: str
    incarnation: int
    ttl_s: float


class Yield(Struct, frozen=True, tag="yield"):
    """The holder releases its lease."""

    name: str
    token: int


LeaseRecord = Acquire | Renew | Yield

_encoder = json.Encoder()
_decoder = json.Decoder(LeaseRecord)


def encode_lease_record(record: LeaseRecord) -> bytes:
    """Return the record as JSON."""
    return _encoder.encode(record)


def decode_lease_record(data: bytes) -> LeaseRecord:
    """Decode a record written by `encode_lease_record`."""
    return _decoder.decode(data)


@dataclass(slots=True)
class Lease:
    """State of one lease, according to the log."""

    holder: str
    incarnation: int
    token: int
    ttl_s: float
    is_yielded: bool = False


class LeaseFold:
    """State of the leases stream."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.leases: dict[str, Lease] = {}

    def apply(self, offset: int, data: bytes) -> str | None:
        """Apply the record at ``offset``.

        Returns
        -------
        str or None
            Name of the lease, or None if the record is malformed or was applied before.
        """
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        try:
            record = decode_lease_record(data)
        except (ValidationError, DecodeError):
            return None
        lease = self.leases.get(record.name)
        match record:
            case Acquire():
                if lease is None or lease.is_yielded or lease.token == record.previous:
                    self.leases[record.name] = Lease(
                        record.holder, record.incarnation, offset, record.ttl_s
                    )
            case Renew(token=token):
                if lease is None:
                    self.leases[record.name] = Lease(
                        record.holder, record.incarnation, token, record.ttl_s
                    )
            case Yield(token=token):
                if lease is not None and lease.token == token:
                    lease.is_yielded = True
        return record.name
