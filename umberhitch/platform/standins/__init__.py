"""Stand-ins for the users' platform: on loopback sockets, and endpoints on a virtual clock."""

from umberhitch.platform.standins._endpoint import EndpointFaults, EndpointStandin
from umberhitch.platform.standins._limited_link import LimitedLink
from umberhitch.platform.standins._loaded_endpoint import LoadedEndpoint, LoadedEndpoints
from umberhitch.platform.standins._store import StoreFaults, StoreStandin

__all__ = [
    "EndpointFaults",
    "EndpointStandin",
    "LimitedLink",
    "LoadedEndpoint",
    "LoadedEndpoints",
    "StoreFaults",
    "StoreStandin",
]
