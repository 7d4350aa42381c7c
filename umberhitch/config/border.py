"""What every validated border shares: pydantic's errors as findings with their place."""

from pydantic import ValidationError

from umberhitch.findings import Finding

__all__ = ["findings_of"]


def findings_of(exc: ValidationError, place: str) -> list[Finding]:
    """Return pydantic's errors as findings below ``place``."""
    return [Finding(_path(place, err["loc"]), err["msg"]) for err in exc.errors()]


def _path(place: str, loc: tuple[int | str, ...]) -> str:
    for part in loc:
        if isinstance(part, int):
            place = f"{place}[{part}]"
        else:
            place = f"{place}.{part}" if place else part
    return place
