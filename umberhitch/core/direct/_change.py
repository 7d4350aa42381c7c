"""What differs between two configurations: small where they are large and alike."""

from dataclasses import dataclass, replace

from umberhitch.core.direct._types import Customer, Document, IntakeLimits, Route, Service

__all__ = ["DocumentChange", "apply_change", "diff_documents"]

RouteKey = tuple[str, str]
"""Host and prefix of a route: a document has one route at each."""


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """What makes one document of another.

    Attributes
    ----------
    base, number : int
        Numbers of the document that it goes with, and of the one that it makes.
    routes : tuple of Route
        New ones, and those that differ.
    routes_gone : tuple of (str, str)
        Host and prefix of routes that are no more.
    services : dict of str to Service, or None
        All of them, where any differs.
    customers : dict of str to Customer
        By digest of the key: new ones, and those that differ.
    keys_gone : tuple of str
        Digests.
    intake : IntakeLimits
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
    """Return what makes ``new`` of ``old``."""
    before = {_route_key(route): route for route in old.routes}
    after = {_route_key(route): route for route in new.routes}
    return DocumentChange(
        old.number,
        new.number,
        tuple(route for place, route in after.items() if before.get(place) != route),
        tuple(place for place in before if place not in after),
        None if old.services == new.services else new.services,
        {key: who for key, who in new.customers.items() if old.customers.get(key) != who},
        tuple(key for key in old.customers if key not in new.customers),
        new.intake,
    )


def apply_change(document: Document, change: DocumentChange) -> Document | None:
    """Return the document that a change makes, or None if it goes with another one."""
    if document.number != change.base:
        return None
    routes = {_route_key(route): route for route in document.routes}
    for place in change.routes_gone:
        routes.pop(place, None)
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
