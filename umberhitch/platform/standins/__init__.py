"""Stand-ins of the users' platform over sockets on loopback: its store, endpoints, an operator."""

from umberhitch.platform.standins._endpoint import EndpointFaults, EndpointStandin
from umberhitch.platform.standins._store import StoreFaults, StoreStandin
from umberhitch.platform.standins._thin_link import ThinLink

__all__ = ["EndpointFaults", "EndpointStandin", "StoreFaults", "StoreStandin", "ThinLink"]
