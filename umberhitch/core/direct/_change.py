"""Differences between two configurations, which are small if the configurations are similar."""

from dataclasses import dataclass, replace

from umberhitch.core.direct._types import Customer, Document, IntakeLimits, Route, Service

__all__ = ["DocumentChange", "apply_change", "diff_documents"]

RouteKey = tuple[str, str]
"""Host and prefix of a route, which are unique within a document."""


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """The difference between two documents.

    Attributes
    ----------
    base : int
        Number of the document that the change applies to.
    number : int
        Number of the document that results.
    routes : tuple of Route
        Routes that were added or changed.
    routes_gone : tuple of (str, str)
        Host and prefix of the routes that were removed.
    services : dict of str to Service, or None
        All services, or None if none of them changed.
    customers : dict of str to Customer
        Customers that were added or changed, by digest of their key.
    keys_gone : tuple of str
        Digests of the keys that were removed.
    intake : IntakeLimits
        Limits of the new document.
    """

    base: int
    number: int
    routes: tuple[Route, ...]
    routes_gone: tuple[RouteKey, ...]
    services: dict[str, Service] | None
    customers: dict[str, Customer]
    keys_gone: tuple[str, ...]
    intake: IntakeLimits


def _route_key(route: Route) -> RouteKey:
    return route.host.lower(), route.prefix


def diff_documents(old: Document, new: Document) -> DocumentChange:
    """Return the change that turns ``old`` into ``new``."""
    before = {_route_key(route): route for route in old.routes}
    after = {_route_key(route): route for route in new.routes}
    return DocumentChange(
        old.number,
        new.number,
        tuple(route for key, route in after.items() if before.get(key) != route),
        tuple(key for key in before if key not in after),
        None if old.services == new.services else new.services,
        {
            key: customer
            for key, customer in new.customers.items()
            if old.customers.get(key) != customer
        },
        tuple(key for key in old.customers if key not in new.customers),
        new.intake,
    )


def apply_change(document: Document, change: DocumentChange) -> Document | None:
    """Return the document that results, or None if the change applies to another document."""
    if document.number != change.base:
        return None
    routes = {_route_key(route): route for route in document.routes}
    for route_key in change.routes_gone:
        routes.pop(route_key, None)
    routes.update((_route_key(route), route) for route in change.routes)
    customers = {**document.customers, **change.customers}
    for key in change.keys_gone:
        customers.pop(key, None)
    return replace(
        document,
        number=change.number,
        routes=tuple(routes.values()),
        services=document.services if change.services is None else change.services,
        customers=customers,
        intake=change.intake,
    )
