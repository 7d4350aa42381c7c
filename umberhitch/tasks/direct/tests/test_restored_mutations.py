"""The tests of the store's return detect each rule of it that is broken on purpose."""

from collections.abc import Callable, Mapping
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from umberhitch.core.direct import RestoredCopy, epoch_of
from umberhitch.fakes import KeyedMemory
from umberhitch.tasks.direct.change_log import ChangeLog
from umberhitch.tasks.direct.feeds import Feed
from umberhitch.tasks.direct.membership import Membership
from umberhitch.tasks.direct.shared_view import SharedView
from umberhitch.tasks.direct.store_view import StoreView
from umberhitch.tasks.direct.stored_holds import StoredHolds
from umberhitch.tasks.direct.stored_states import StoredRolloutStates
from umberhitch.tasks.direct.tests import test_store_restored as tests
from umberhitch.tasks.direct.tests.test_restored_fuzz import RestoredMachine

Mutation = Callable[[pytest.MonkeyPatch], None]


def compare_offsets_alone(patch: pytest.MonkeyPatch) -> None:
    restore = KeyedMemory.restore

    def restore_unnamed(self: Any, end: int, *, is_noticed: bool = True) -> None:
        restore(self, end, is_noticed=is_noticed)
        self.epoch = 0

    patch.setattr(KeyedMemory, "restore", restore_unnamed)


def take_the_copy_for_the_state(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        RestoredCopy, "merge", lambda self, restored, known, removed, now_s: dict(restored)
    )


def forget_what_was_removed(patch: pytest.MonkeyPatch) -> None:
    merge = RestoredCopy.merge

    def merge_known(
        self: Any, restored: Mapping[str, Any], known: Mapping[str, Any], *rest: Any
    ) -> Any:
        return merge(self, restored, known, (), rest[-1])

    patch.setattr(RestoredCopy, "merge", merge_known)


def keep_for_good(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RestoredCopy, "pop_expired", lambda self, now_s: {})


def drop_missing_endpoints_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Feed, "is_new_epoch", lambda self, batch: False)
    patch.setattr(StoreView, "_last_read_s", lambda self, batch: float("-inf"))
    patch.setattr(StoreView, "_apply_endpoint_snapshot", _drop_missing)


def _drop_missing(self: Any, batch: Any) -> None:
    present = {record.key for record in batch.records}
    for incarnation in self.directory.incarnations():
        if incarnation not in present:
            self.directory.drop(incarnation)
    self._apply_endpoints(batch, False)
    self.directory.is_loaded = True


def cover_what_was_lost(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ChangeLog, "covers", lambda self, position: 0 <= self.start <= position)


def pass_nothing_across_epochs(patch: pytest.MonkeyPatch) -> None:
    covers = ChangeLog.covers
    patch.setattr(
        ChangeLog,
        "covers",
        lambda self, position: covers(self, position) and epoch_of(position) == epoch_of(self.end),
    )


def keep_stored_states(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoredRolloutStates, "_on_epoch", lambda self, before, epoch: None)


def believe_states_of_any_epoch(patch: pytest.MonkeyPatch) -> None:
    apply_state = StoredRolloutStates.apply_peer_state
    patch.setattr(
        StoredRolloutStates,
        "apply_peer_state",
        lambda self, canary, state, epoch: apply_state(self, canary, state, self.epoch),
    )


def keep_written_holds(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoredHolds, "_on_epoch", lambda self, before, epoch: None)


def drop_missing_members(patch: pytest.MonkeyPatch) -> None:
    set_members = Membership._set_members

    def set_listed(self: Any, listed: Any) -> None:
        self._missing = {}
        set_members(self, listed)

    patch.setattr(Membership, "_set_members", set_listed)


def keep_missing_members(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Membership, "_drop_missing", lambda self: None)


def start_without_asking_peers(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoreView, "is_outdated", lambda self: False)


def settle_alone(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SharedView, "_adopt_kept", lambda self, batch, position: None)


def _configuration_after_losing(lost: int) -> None:
    tests.test_a_configuration_is_in_force_in_time_at_every_router_after_the_store_returned(lost)


def _final_state_of(routers: int) -> Callable[[], None]:
    return lambda: tests.test_a_final_state_that_was_lost_is_written_again_by_few_routers(routers)


CASES: list[tuple[Mutation, Callable[[], None]]] = [
    (compare_offsets_alone, lambda: _configuration_after_losing(3)),
    (compare_offsets_alone, lambda: _configuration_after_losing(6)),
    (
        take_the_copy_for_the_state,
        tests.test_a_zone_out_of_service_stays_out_though_the_copy_lacks_it,
    ),
    (
        forget_what_was_removed,
        lambda: tests.test_an_endpoint_that_drains_or_has_gone_gets_no_requests_from_the_copy(None),
    ),
    (
        drop_missing_endpoints_at_once,
        lambda: tests.test_endpoints_that_the_copy_lacks_go_on_serving(False),
    ),
    (
        pass_nothing_across_epochs,
        lambda: tests.test_few_routers_read_the_store_after_its_return(30),
    ),
    (keep_for_good, tests.test_a_zone_that_nobody_takes_out_again_is_back_in_service),
    (keep_stored_states, _final_state_of(4)),
    (
        believe_states_of_any_epoch,
        tests.test_a_state_that_a_peer_read_in_another_epoch_is_not_taken_for_one_in_the_store,
    ),
    (keep_written_holds, tests.test_holds_that_the_store_has_lost_are_written_again),
    (keep_written_holds, tests.test_a_released_request_is_not_held_again_by_the_copy),
    (drop_missing_members, tests.test_routers_that_the_list_lacks_are_still_peers),
    (keep_missing_members, tests.test_a_router_that_is_gone_is_no_peer_after_the_list_is_complete),
    (
        start_without_asking_peers,
        tests.test_a_router_that_starts_with_an_older_configuration_than_its_peers_refuses_nothing_for_good,
    ),
]


@pytest.mark.parametrize(
    ("mutate", "test"), CASES, ids=[f"{n}-{case[0].__name__}" for n, case in enumerate(CASES)]
)
def test_a_broken_rule_is_detected(mutate: Mutation, test: Callable[[], None], monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        test()


FOUND_BY_SEARCH: tuple[Mutation, ...] = (
    compare_offsets_alone,
    take_the_copy_for_the_state,
    cover_what_was_lost,
    settle_alone,
    keep_for_good,
)
SETTINGS = settings(
    max_examples=2000, stateful_step_count=40, phases=(Phase.generate,), report_multiple_bugs=False
)


@pytest.mark.parametrize("mutate", FOUND_BY_SEARCH, ids=lambda mutate: mutate.__name__)
def test_the_search_detects_a_broken_rule(mutate: Mutation, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(RestoredMachine, settings=SETTINGS)
