"""The adapter to the users' platform: its store, its documents, its headers. It decides nothing."""

from umberhitch.core.direct import EndpointEntry
from umberhitch.platform._documents import decode_endpoint, decode_operator
from umberhitch.platform._headers import PlatformWire
from umberhitch.platform._store import (
    ENDPOINT_TOPIC,
    OPERATOR_TOPIC,
    KeyedFeed,
    Members,
    Statuses,
    StoreClient,
)
from umberhitch.ports.direct import OperatorValue

__all__ = [
    "Members",
    "PlatformWire",
    "Statuses",
    "StoreClient",
    "make_endpoint_feed",
    "make_operator_feed",
]


def make_operator_feed(store: StoreClient) -> KeyedFeed[OperatorValue]:
    """Return the feed of what operators write."""
    return KeyedFeed(store, OPERATOR_TOPIC, decode_operator)


def make_endpoint_feed(store: StoreClient) -> KeyedFeed[EndpointEntry]:
    """Return the feed of the endpoints' entries."""
    return KeyedFeed(store, ENDPOINT_TOPIC, decode_endpoint)
