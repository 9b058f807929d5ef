import pytest

from chivesaddle.core.ids import ServiceId
from chivesaddle.forwarding import RetryBudget

APP = ServiceId("app")


@pytest.mark.parametrize("daemons", [1, 9, 80])
def test_all_daemons_together_stay_below_the_limit(clock, daemons):
    """Ratio 0.2 and slack 58 over any 10 s, without messages between daemons."""
    budgets = [RetryBudget(clock, 0.2, 58, 10, lambda: daemons) for _ in range(daemons)]
    retries = 0
    for budget in budgets:
        for _ in range(10):
            budget.record_request(APP)
        while budget.try_acquire(APP):
            retries += 1
    assert 0 < retries <= 0.2 * 10 * daemons + 58


def test_budget_is_restored_after_the_window(clock):
    budget = RetryBudget(clock, 0.0, 4, 10, lambda: 1)
    assert [budget.try_acquire(APP) for _ in range(4)] == [True, True, True, False]
    clock.advance(11)
    assert budget.try_acquire(APP)
