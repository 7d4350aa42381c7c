"""Adapter to the users' platform: its store, documents and headers. It makes no decisions."""

from umberhitch.adapters.h11_endpoints import EndpointClient
from umberhitch.adapters.store_client import StoreClient
from umberhitch.core.direct import EndpointEntry, StoreEpoch
from umberhitch.platform._documents import CONFIG_KEY, decode_endpoint, decode_operator
from umberhitch.platform._feed import KeyedFeed, LargeRecords, append_record, newest_records
from umberhitch.platform._headers import PlatformWire, read_store_epoch
from umberhitch.platform._store import ENDPOINT_TOPIC, OPERATOR_TOPIC, Members, Statuses
from umberhitch.platform._terms import calls_for_admission_control
from umberhitch.ports.clock import Clock
from umberhitch.ports.direct import OperatorValue

__all__ = [
    "Members",
    "PlatformWire",
    "Statuses",
    "append_record",
    "calls_for_admission_control",
    "make_endpoint_feed",
    "make_operator_feed",
    "make_store_client",
    "newest_records",
]

CONFIGURATIONS = LargeRecords(CONFIG_KEY, skip_after_bytes=32 * 1024)
"""Only the newest of several configurations is read: over 5 Mbit/s, the last of 12 that are 0.33 s
apart, 0.8 MB each, is in force after 1.6 s; after 11.6 s if every one is read."""


def make_store_client(
    http: EndpointClient, clock: Clock, address: str, epochs: StoreEpoch
) -> StoreClient:
    """Return a client of the store at ``IP:PORT``."""
    return StoreClient(http, clock, address, read_store_epoch, epochs)


def make_operator_feed(store: StoreClient) -> KeyedFeed[OperatorValue]:
    """Return the feed of the records that operators write."""
    return KeyedFeed(store, OPERATOR_TOPIC, decode_operator, CONFIGURATIONS)


def make_endpoint_feed(store: StoreClient) -> KeyedFeed[EndpointEntry]:
    """Return the feed of the endpoints' registry entries."""
    return KeyedFeed(store, ENDPOINT_TOPIC, decode_endpoint, invalid_deletes=True)
