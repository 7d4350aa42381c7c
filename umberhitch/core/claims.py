"""Idempotency keys: a fold of the claims stream, in which the first claim of a key wins.

A claim names the attempt and its agent. Another router can therefore determine the outcome by
asking that agent, whose tombstone guarantees that an attempt reported as not run never runs.
"""

from collections import OrderedDict
from dataclasses import dataclass

from msgspec import DecodeError, Struct, ValidationError, json

from umberhitch.wire import AttemptId, Usage

__all__ = [
    "Claim",
    "ClaimFold",
    "ClaimRecord",
    "ClaimState",
    "RecordedAnswer",
    "Release",
    "Settle",
    "decode_claim_record",
    "encode_claim_record",
]

MAX_KEYS = 200_000
MAX_RELEASED = 50_000


class Claim(Struct, frozen=True, tag="claim", omit_defaults=True):
    """A request claims the key for one attempt at one agent."""

    key: str
    request: str
    attempt: AttemptId
    endpoint: str
    agent_incarnation: int
    fingerprint: str
    """Hash of the request; reuse of the key for a different request is refused."""
    at_s: float
    """Time of the claim in seconds since the epoch, by the writer's clock."""


class RecordedAnswer(Struct, frozen=True, omit_defaults=True):
    """The answer returned to later requests with the same key."""

    text: str
    usage: Usage
    target: str
    endpoint: str
    finish: str = "stop"
    status: int = 200
    headers: list[tuple[str, str]] = []


class Settle(Struct, frozen=True, tag="settle", omit_defaults=True):
    """The final outcome of the request: an answer, or permanently unknown."""

    key: str
    request: str
    attempt: AttemptId
    answer: RecordedAnswer | None = None
    reason: str = ""


class Release(Struct, frozen=True, tag="release"):
    """Releases the key, since the claimed attempt certainly did not run."""

    key: str
    request: str
    attempt: AttemptId


ClaimRecord = Claim | Settle | Release

_encoder = json.Encoder()
_decoder = json.Decoder(ClaimRecord)


def encode_claim_record(record: ClaimRecord) -> bytes:
    """Return the record as JSON."""
    return _encoder.encode(record)


def decode_claim_record(data: bytes) -> ClaimRecord:
    """Decode a record written by `encode_claim_record`."""
    return _decoder.decode(data)


@dataclass(slots=True)
class ClaimState:
    """Claim that holds a key, and its outcome if it is settled."""

    claim: Claim
    settled: Settle | None = None


class ClaimFold:
    """State of the claims stream.

    Attributes
    ----------
    next_offset : int
        Offset of the next record to apply.
    """

    def __init__(self, ttl_s: float = 86400.0) -> None:
        self.next_offset = 0
        self.ttl_s = ttl_s
        self._keys: OrderedDict[str, ClaimState] = OrderedDict()
        self._released: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._keys)

    def holder(self, key: str) -> ClaimState | None:
        """Return the state of a key that is held, or None."""
        return self._keys.get(key)

    def apply(self, offset: int, data: bytes) -> ClaimRecord | None:
        """Apply the record at ``offset`` and return it, or None if it is malformed or old."""
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        try:
            record = decode_claim_record(data)
        except (ValidationError, DecodeError):
            return None
        match record:
            case Claim():
                self._claim(record)
            case Settle():
                self._settle(record)
            case Release():
                self._release(record)
        return record

    def _claim(self, claim: Claim) -> None:
        self._expire(claim.at_s)
        if claim.request in self._released:
            return
        state = self._keys.get(claim.key)
        if state is None:
            self._keys[claim.key] = ClaimState(claim)
        elif state.settled is None and _is_later_attempt(claim, state.claim):
            state.claim = claim

    def _settle(self, settle: Settle) -> None:
        state = self._keys.get(settle.key)
        if state is None or state.claim.attempt != settle.attempt:
            return
        if state.settled is None or state.settled.answer is None:
            state.settled = settle

    def _release(self, release: Release) -> None:
        state = self._keys.get(release.key)
        if state is None or state.claim.attempt != release.attempt or state.settled is not None:
            return
        del self._keys[release.key]
        self._released[release.request] = None
        while len(self._released) > MAX_RELEASED:
            self._released.popitem(last=False)

    def _expire(self, now_s: float) -> None:
        while self._keys:
            state = next(iter(self._keys.values()))
            if state.claim.at_s + self.ttl_s > now_s and len(self._keys) < MAX_KEYS:
                return
            self._keys.popitem(last=False)


def _is_later_attempt(new: Claim, old: Claim) -> bool:
    """Whether a claim is for a later attempt of the same request.

    A duplicate append of an older claim must not replace a newer one.
    """
    return new.request == old.request and new.attempt.seq > old.attempt.seq
