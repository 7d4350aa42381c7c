"""Final permission check of an attempt, made by the agent from its own configuration."""

from umberhitch.config import Config, VersionState
from umberhitch.core.outcome import Reason
from umberhitch.core.session import Session

__all__ = ["refusal_for"]


def refusal_for(
    config: Config, customer: str, target: str, session: Session | None
) -> Reason | None:
    """Return why a customer may not run work on a target, or None if it is permitted.

    Parameters
    ----------
    config : Config
    customer : str
    target : str
        ``model@version``, or the name of a service.
    session : Session or None
        Verified session that pins the target, if any.
    """
    owner = config.customers.get(customer)
    if owner is None:
        return Reason.NOT_PERMITTED
    if target in config.services:
        return None if target in owner.services else Reason.NOT_PERMITTED
    ver = config.versions.get(target)
    if ver is None:
        return Reason.UNKNOWN_MODEL
    if not config.permits(customer, target):
        return Reason.NOT_PERMITTED
    if session is not None and (session.customer, session.target) != (customer, target):
        return Reason.NOT_PERMITTED
    match ver.state:
        case VersionState.ACTIVE:
            return None
        case VersionState.RETIRED if session is not None:
            return None
        case _:
            return Reason.WITHDRAWN
