"""What the platform's terms call for."""

from collections.abc import Collection

__all__ = ["calls_for_admission_control"]

PRESSURE = "pressure"
"""Callers may ask for more than the endpoints can do."""


def calls_for_admission_control(terms: Collection[str]) -> bool:
    """Return whether a deployment under these terms needs admission control."""
    return PRESSURE in terms
