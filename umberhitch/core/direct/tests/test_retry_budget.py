"""Retry budget that all routers share."""

from umberhitch.core.direct import RetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(ratio=0.5, slack=60.0, window_s=10.0)


def test_a_router_that_does_not_know_its_peers_uses_none_of_the_slack():
    """Thirty routers that started together used the slack thirty times, each as if alone."""
    budget = RetryBudget(LIMITS)
    assert budget.remaining("svc", 0.0) == 0.0
    for _ in range(10):
        budget.record_request("svc", 0.0)
    assert budget.remaining("svc", 0.0) == 0.85 * 5


def test_routers_that_know_each_other_share_the_slack():
    budgets = [RetryBudget(LIMITS) for _ in range(30)]
    for budget in budgets:
        budget.router_count = 30
    acquired = sum(budget.acquire("svc", 0.0) for budget in budgets for _ in range(100))
    assert 0 < acquired <= 60
