"""Ejection of servers that answer nothing."""

from .test_silent_servers import (
    advance,
)


class TestServerThatHangs:
    def test_is_ejected_if_the_retry_budget_is_used_up(self, harness):
        """Guards against new requests that go to a server that answers none."""
        while harness.budget.try_acquire("app"):
            pass
        harness.servers.get("i-2").ejected_until = 1e9
        callers = [harness.caller() for _ in range(4)]
        for number, caller in enumerate(callers):
            caller.request("/safe/x", f"a{number}")
        harness.servers.get("i-2").ejected_until = 0.0
        advance(harness, 1.2)
        assert harness.servers.get("i-1").ejected_until > harness.reactor.seconds()
