"""Billing: usage records, and a fold of the billing stream that counts each request once."""

from dataclasses import dataclass, field

from msgspec import DecodeError, ValidationError, json

from umberhitch.config import Version
from umberhitch.wire import Usage, UsageRecord

__all__ = ["Bill", "BillFold", "cost_micros", "decode_usage", "encode_usage"]

_encoder = json.Encoder()
_decoder = json.Decoder(UsageRecord)


def encode_usage(record: UsageRecord) -> bytes:
    """Return the usage record as JSON, as it is stored in the log."""
    return _encoder.encode(record)


def decode_usage(data: bytes) -> UsageRecord:
    """Decode a record written by `encode_usage`."""
    return _decoder.decode(data)


def cost_micros(ver: Version | None, usage: Usage) -> int:
    """Return the price of an attempt in millionths of the currency unit."""
    if ver is None:
        return 0
    return round(
        usage.input_tokens * ver.input_micros_per_token
        + usage.output_tokens * ver.output_micros_per_token
    )


@dataclass(slots=True)
class Bill:
    """Totals of one customer."""

    requests: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    cost_micros: int = 0
    by_target: dict[str, int] = field(default_factory=dict)


class BillFold:
    """State of the billing stream; only the first record of each request is counted."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.duplicates = 0
        self.malformed = 0
        self.bills: dict[str, Bill] = {}
        self.records: dict[str, UsageRecord] = {}

    def apply(self, offset: int, data: bytes) -> None:
        """Apply the record at ``offset``; applying the same offset twice has no effect."""
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        try:
            record = decode_usage(data)
        except (ValidationError, DecodeError):
            self.malformed += 1
            return
        if record.request in self.records:
            self.duplicates += 1
            return
        self.records[record.request] = record
        self._count(record)

    def _count(self, record: UsageRecord) -> None:
        bill = self.bills.setdefault(record.customer, Bill())
        bill.requests += 1
        bill.input_tokens += record.usage.input_tokens
        bill.output_tokens += record.usage.output_tokens
        bill.cost_micros += record.cost_micros
        bill.by_target[record.target] = bill.by_target.get(record.target, 0) + record.cost_micros
