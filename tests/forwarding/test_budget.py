import pytest

from chivesaddle.core.ids import ServiceId
from chivesaddle.forwarding import RetryBudget

APP = ServiceId("app")


@pytest.mark.parametrize("daemons", [1, 9, 80])
def test_all_daemons_together_stay_under_the_bound(clock, daemons):
    """Ratio 0.2 and slack 58 over any 10 s, without a message between daemons."""
    budgets = [RetryBudget(clock, 0.2, 58, 10, lambda: daemons) for _ in range(daemons)]
    taken = 0
    for budget in budgets:
        for _ in range(10):
            budget.record_request(APP)
        while budget.take(APP):
            taken += 1
    assert 0 < taken <= 0.2 * 10 * daemons + 58


def test_budget_comes_back_with_the_window(clock):
    budget = RetryBudget(clock, 0.0, 4, 10, lambda: 1)
    assert [budget.take(APP) for _ in range(4)] == [True, True, True, False]
    clock.advance(11)
    assert budget.take(APP)
