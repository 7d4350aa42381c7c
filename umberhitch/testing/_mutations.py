"""Shows that a test misses a part that is switched off, and passes with it."""

from collections.abc import Callable

import pytest

__all__ = ["Mutation", "assert_missed"]

Mutation = Callable[[pytest.MonkeyPatch], Callable[[], None]]
"""Switches a part off, and returns the test that is to miss it."""


def assert_missed(mutate: Mutation, monkeypatch: pytest.MonkeyPatch) -> None:
    """Assert that the test fails while the part is switched off, and passes afterwards."""
    with monkeypatch.context() as patch:
        test = mutate(patch)
        with pytest.raises(AssertionError):
            test()
    test()
