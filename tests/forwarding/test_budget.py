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


def use_up(budgets):
    """Return how many retries are allowed, with one request each."""
    retries = 0
    for budget in budgets:
        budget.record_request(APP)
        while budget.try_acquire(APP):
            retries += 1
    return retries


@pytest.mark.parametrize("daemons", [1, 6, 30])
@pytest.mark.parametrize("down_s", [0.5, 4.0, 9.0])
def test_fleet_that_is_killed_at_once_stays_below_the_limit(clock, daemons, down_s):
    """Guards against a slack that is used twice within a window."""

    def start_all():
        now = clock.seconds()
        return [
            RetryBudget(clock, 0.2, 52, 10, lambda: daemons, now)
            for _ in range(daemons)
        ]

    budgets = start_all()
    clock.advance(20)
    retries = use_up(budgets)
    clock.advance(down_s)
    retries += use_up(start_all())
    assert 0 < retries <= 0.2 * 2 * daemons + 52


def test_budget_is_whole_after_the_first_window(clock):
    budget = RetryBudget(clock, 0.0, 52, 10, lambda: 1, clock.seconds())
    assert use_up([budget]) == 13
    clock.advance(10.1)
    assert use_up([budget]) == 39
