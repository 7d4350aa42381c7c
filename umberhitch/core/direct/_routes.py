"""Lookup of routes and customers in the active configuration."""

from umberhitch.core.direct._keys import key_digest
from umberhitch.core.direct._types import Customer, Document, Route

__all__ = ["RouteTable"]


class RouteTable:
    """An index over one configuration document.

    Parameters
    ----------
    document : Document
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of the path, or None.

        Prefixes begin and end with a slash, so only the path's own slashes are tried: the cost does
        not grow with the number of routes.
        """
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_customer(self, key: str | None) -> Customer | None:
        """Return the customer who holds the API key, or None."""
        return None if key is None else self.document.customers.get(key_digest(key))
