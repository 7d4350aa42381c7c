"""Findings: what is wrong with an input, and where."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Finding", "format_findings"]


@dataclass(frozen=True, slots=True)
class Finding:
    """One defect of an input.

    Attributes
    ----------
    place : str
        Path to the offending value, such as ``customers[2].models[0]``.
    problem : str
        What is wrong with it, without the offending value where that may be secret.
    """

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Return the findings one a line, in the order given."""
    return "\n".join(str(finding) for finding in findings)
