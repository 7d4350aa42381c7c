"""Stand-ins for the users' platform on loopback sockets: its store, endpoints and operator."""

from umberhitch.platform.standins._endpoint import EndpointFaults, EndpointStandin
from umberhitch.platform.standins._limited_link import LimitedLink
from umberhitch.platform.standins._store import StoreFaults, StoreStandin

__all__ = ["EndpointFaults", "EndpointStandin", "LimitedLink", "StoreFaults", "StoreStandin"]
