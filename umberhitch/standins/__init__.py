"""Small HTTP stand-ins for the platform; see docs/standins.md."""

from umberhitch.standins.engine import EngineStandin
from umberhitch.standins.hosts import HostListStandin
from umberhitch.standins.log import LogStandin
from umberhitch.standins.ratings import RatingStandin
from umberhitch.standins.service import ServiceStandin

__all__ = ["EngineStandin", "HostListStandin", "LogStandin", "RatingStandin", "ServiceStandin"]
