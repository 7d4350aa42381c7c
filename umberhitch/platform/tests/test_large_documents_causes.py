"""Each cause for which large configurations were late: with it back, its own test is red."""

from collections.abc import Callable

import pytest

from umberhitch import platform
from umberhitch.adapters.h11_fetch import _Fetch
from umberhitch.platform.tests import test_large_documents as seen
from umberhitch.tasks.direct import shared_view
from umberhitch.tasks.direct.change_encoding import OperatorChangeEncoder
from umberhitch.tasks.direct.read_sharing import ReadSharing
from umberhitch.tasks.direct.shared_view import SharedView
from umberhitch.tasks.direct.store_view import StoreView


def give_up_by_the_whole_duration(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(_Fetch, "on_head", lambda self, head: setattr(self, "_head", head))


def read_every_version(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(platform, "CONFIGURATIONS", None)


def tell_only_what_is_read_whole_and_read_by_name(patch: pytest.MonkeyPatch) -> None:
    """Each repair by itself keeps the bound; so does asking the next reader since that is done."""
    reader = ReadSharing.choose_reader

    async def ask_no_other(self: SharedView[object], failed: str, offset: int) -> None:
        return None

    def as_if_all_alike(
        self: ReadSharing, excluded: set[str], excludes_self: bool = False
    ) -> str | None:
        link_mbps, self.link_mbps = self.link_mbps, lambda name: 0.0
        found = reader(self, excluded, excludes_self)
        self.link_mbps = link_mbps
        return found

    patch.setattr(ReadSharing, "choose_reader", as_if_all_alike)
    patch.setattr(shared_view, "EARLY_NOTICE_S", 100.0)
    patch.setattr(SharedView, "_request_from_next", ask_no_other)


def serve_on(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoreView, "behind_s", lambda self: 0.0)


def tell_no_changes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(OperatorChangeEncoder, "encode", lambda self, key, known, value, max_bytes: None)


Cause = Callable[[pytest.MonkeyPatch], None]
CAUSES: list[tuple[Cause, Callable[..., None], tuple[object, ...]]] = [
    (
        give_up_by_the_whole_duration,
        seen.test_a_configuration_that_takes_longer_to_read_than_the_store_to_answer_is_read,
        (True,),
    ),
    (
        read_every_version,
        seen.test_of_configurations_in_quick_succession_only_the_newest_is_read,
        (),
    ),
    (
        tell_only_what_is_read_whole_and_read_by_name,
        seen.test_a_reader_on_a_slow_link_does_not_hold_up_the_others,
        (True, 0.1),
    ),
    (
        serve_on,
        seen.test_a_configuration_that_is_known_to_be_replaced_does_not_serve_past_the_bound,
        ("/n2/x", True),
    ),
    (tell_no_changes, seen.test_a_change_costs_the_others_what_changed, ()),
]


@pytest.mark.parametrize(("cause", "test", "args"), CAUSES)
def test_a_cause_by_itself_keeps_its_test_red(cause, test, args, monkeypatch):
    test(*args)
    cause(monkeypatch)
    with pytest.raises(AssertionError):
        test(*args)
