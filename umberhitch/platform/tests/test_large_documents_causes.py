"""Each cause of late large configurations, if reintroduced alone, makes its own test fail."""

from collections.abc import Callable

import pytest

from umberhitch import platform
from umberhitch.adapters.h11_fetch import _Fetch
from umberhitch.platform.tests import test_large_documents as large_documents
from umberhitch.tasks.direct import shared_view
from umberhitch.tasks.direct.change_encoding import OperatorChangeEncoder
from umberhitch.tasks.direct.read_sharing import ReadSharing
from umberhitch.tasks.direct.shared_view import SharedView
from umberhitch.tasks.direct.store_view import StoreView


def limit_the_total_duration_of_a_read(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(_Fetch, "on_head", lambda self, head: setattr(self, "_head", head))


def read_every_version(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(platform, "CONFIGURATIONS", None)


def forward_only_complete_values_and_choose_readers_by_name(patch: pytest.MonkeyPatch) -> None:
    """Each fix alone keeps the bound, and so does asking the next reader, so all are disabled."""
    reader = ReadSharing.choose_reader

    async def ask_no_next_reader(self: SharedView[object], failed: str, offset: int) -> None:
        return None

    def ignore_link_speeds(
        self: ReadSharing, excluded: set[str], excludes_self: bool = False
    ) -> str | None:
        link_mbps, self.link_mbps = self.link_mbps, lambda name: 0.0
        found = reader(self, excluded, excludes_self)
        self.link_mbps = link_mbps
        return found

    patch.setattr(ReadSharing, "choose_reader", ignore_link_speeds)
    patch.setattr(shared_view, "EARLY_NOTICE_S", 100.0)
    patch.setattr(SharedView, "_request_from_next", ask_no_next_reader)


def use_outdated_configurations(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoreView, "behind_s", lambda self: 0.0)


def send_no_changes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(OperatorChangeEncoder, "encode", lambda self, key, known, value, max_bytes: None)


Cause = Callable[[pytest.MonkeyPatch], None]
CAUSES: list[tuple[Cause, Callable[..., None], tuple[object, ...]]] = [
    (
        limit_the_total_duration_of_a_read,
        large_documents.test_a_configuration_that_takes_longer_to_read_than_the_call_timeout_is_read,
        (True,),
    ),
    (
        read_every_version,
        large_documents.test_of_configurations_in_quick_succession_only_the_newest_is_read,
        (),
    ),
    (
        forward_only_complete_values_and_choose_readers_by_name,
        large_documents.test_a_reader_on_a_slow_link_does_not_delay_the_others,
        (True, 0.1),
    ),
    (
        use_outdated_configurations,
        large_documents.test_a_configuration_known_to_be_replaced_is_not_used_past_the_bound,
        ("/n2/x", True),
    ),
    (send_no_changes, large_documents.test_other_routers_receive_only_the_changes, ()),
]


@pytest.mark.parametrize(("cause", "test", "args"), CAUSES)
def test_each_cause_alone_makes_its_test_fail(cause, test, args, monkeypatch):
    test(*args)
    cause(monkeypatch)
    with pytest.raises(AssertionError):
        test(*args)
