import logging

import pytest

from chivesaddle.serving.loop_lag import LATE_S, LoopLag


@pytest.fixture
def observed():
    return []


@pytest.fixture
def lag(clock, observed):
    return LoopLag(clock, observed.append, lambda: 3)


def test_delay_of_each_timer_is_observed(clock, lag, observed):
    clock.advance(2.0)
    lag.record_timer(1.5)
    lag.record_timer(2.1)
    assert observed == [0.5, 0.0]


def test_late_timers_are_logged_until_one_is_in_time(clock, lag, caplog):
    """Guards against requests that are late without a trace of the cause."""
    with caplog.at_level(logging.WARNING):
        lag.record_timer(0.0)
        clock.advance(LATE_S)
        lag.record_timer(0.0)
        lag.record_timer(clock.seconds())
        lag.record_timer(clock.seconds())
    assert [record.getMessage() for record in caplog.records] == [
        "[event loop] late",
        "[event loop] in time",
    ]
    assert caplog.records[0].lag_ms == 250
    assert caplog.records[0].in_flight == 3
