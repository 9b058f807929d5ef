import pytest

from chivesaddle.fleet import RequestDemand
from chivesaddle.fleet.demand import CORE_S_PER_REQUEST


class TestRequestDemand:
    def test_demand_follows_the_rate_of_requests(self, clock):
        demand = RequestDemand(clock)
        for _ in range(100):
            demand.record_request()
            clock.advance(0.02)
        assert demand.cores() == pytest.approx(50 * CORE_S_PER_REQUEST, rel=0.05)

    def test_demand_ends_with_the_requests(self, clock):
        demand = RequestDemand(clock)
        demand.record_request()
        clock.advance(3)
        assert demand.cores() == 0

    def test_daemon_that_has_just_started_has_no_demand(self, clock):
        """Guards against counting the start of a process as load."""
        assert RequestDemand(clock).cores() == 0
