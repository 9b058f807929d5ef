"""Demand that silent requests report."""

from .test_silent_servers import (
    MAX_GAP_S,
    advance,
    start_stream,
)


class TestDemandOfSilentRequests:
    def test_counts_a_request_once_for_each_send(self, harness, caller):
        """Guards against shares of limits that waiting requests inflate."""
        demands = []
        harness.limits.record_demand = demands.append
        harness.servers.remove("i-2", may_have_expired=False)
        start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 2.0)
        assert len(demands) <= 2
