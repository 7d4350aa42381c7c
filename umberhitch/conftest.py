"""Fixtures and profiles that every test shares."""

import hypothesis
import pytest

from umberhitch.testing import World, WorldSettings, make_change

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=False
)
hypothesis.settings.register_profile("long", deadline=None, database=None, max_examples=100_000)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def world() -> World:
    """A started world with two routers and three endpoints of ``m@1``."""
    made = World(WorldSettings(endpoints={"e1": "m@1", "e2": "m@1", "e3": "m@1"}))
    made.publish(make_change())
    made.start()
    return made
