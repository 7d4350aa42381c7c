"""Each mechanism of the order and of the returns is needed: without it, a test fails."""

from collections.abc import Callable

import pytest

from umberhitch.core.direct import ReturnBook, ReturnPlan
from umberhitch.core.direct.tests import test_return_plan as returns
from umberhitch.core.scheduling import CustomerShares
from umberhitch.core.scheduling._fair_queue import FairQueue
from umberhitch.core.scheduling._flow import Flow
from umberhitch.core.scheduling._least_parts import LeastParts
from umberhitch.core.scheduling.tests import test_fair_queue as queue
from umberhitch.core.scheduling.tests import test_shares as shares
from umberhitch.core.tests import test_queue_reference as reference
from umberhitch.tasks.direct import share_reports
from umberhitch.tasks.direct.tests import test_share_reports as reports
from umberhitch.testing._mutations import Mutation, assert_missed

Test = Callable[[], None]


def no_part_is_earned(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(LeastParts, "part", lambda self, kind: 0.0)
    return lambda: queue.test_a_low_priority_is_served_a_quarter_as_often_as_all(1.0)


def what_is_removed_is_paid(patch: pytest.MonkeyPatch) -> Test:
    remove = Flow.remove
    patch.setattr(Flow, "remove", lambda self, ticket, is_paid: remove(self, ticket, True))
    return queue.test_a_customer_pays_only_for_what_is_served


def agents_do_not_pay_for_what_is_removed(patch: pytest.MonkeyPatch) -> Test:
    remove = FairQueue.remove
    patch.setattr(FairQueue, "remove", lambda self, ticket, is_paid: remove(self, ticket))
    return reference.test_the_agents_queue_serves_as_tags_on_arrival_do


def nothing_stays_free(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(CustomerShares, "reserved", lambda self, claim, capacity, now_s, routers=1: 0.0)
    return shares.test_use_at_peers_counts_as_own_use_does


def reports_never_age(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(share_reports, "fade", lambda use, weight: use)
    return lambda: reports.test_the_use_of_a_router_that_vanished_fades_by_age(1.5, 6.0)


def all_return_at_once(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ReturnPlan, "_find", lambda self, *args: 2)
    return returns.test_returns_come_at_the_rate_of_room


def new_arrivals_do_not_count(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ReturnPlan, "note_arrival", lambda self, now_s: None)
    return returns.test_returns_leave_room_for_new_arrivals


def early_callers_are_recognized(patch: pytest.MonkeyPatch) -> Test:
    patch.setattr(ReturnBook, "_is_due", lambda self, appointment, now_s: True)
    return returns.test_a_caller_is_recognized_once_and_only_at_its_time


MUTATIONS = [
    no_part_is_earned,
    what_is_removed_is_paid,
    agents_do_not_pay_for_what_is_removed,
    nothing_stays_free,
    reports_never_age,
    all_return_at_once,
    new_arrivals_do_not_count,
    early_callers_are_recognized,
]


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutate: mutate.__name__)
def test_each_mechanism_is_needed(mutate: Mutation, monkeypatch: pytest.MonkeyPatch) -> None:
    assert_missed(mutate, monkeypatch)
