"""Requests to servers that are cold, through the forwarder."""

import pytest

from chivesaddle.core.serving_model import ColdStart
from chivesaddle.placement import ColdStarts


@pytest.fixture
def cold(harness):
    return ColdStarts(
        harness.reactor, harness.servers, harness.limits, lambda _: ColdStart(3.0, 8.0)
    )


def cold_servers(harness):
    return [tracked.entry.id for tracked in harness.limits.cold_servers()]


class TestColdHeader:
    @pytest.mark.parametrize(
        "value, count", [("900", 1), ("0", 0), ("x", 0), ("-1", 0)]
    )
    def test_a_response_tells_that_its_server_is_cold(
        self, harness, cold, value, count
    ):
        harness.caller().request("/safe/x")
        header = f"X-Chivesaddle-Cold-Milliseconds: {value}"
        harness.connections[0].respond(extra_header=header)
        assert len(cold_servers(harness)) == count

    def test_another_servers_response_tells_nothing(self, harness, cold):
        harness.caller().request("/safe/x")
        header = "X-Chivesaddle-Cold-Milliseconds: 900\r\nX-Chivesaddle-Instance: i-9"
        harness.connections[0].respond(extra_header=header)
        assert not cold_servers(harness)


class TestWaiting:
    def test_requests_get_turns_when_only_cold_servers_have_room(self, harness, cold):
        """They were held to their deadline if nothing else ended the wait."""
        for number in (1, 2):
            cold.record_response(harness.servers.get(f"i-{number}").entry, 3.0)
        callers = [harness.caller() for _ in range(6)]
        for number, caller in enumerate(callers):
            caller.request("/safe/x", f"r{number}")
        for _ in range(16):
            harness.advance(0.05)
            for connection in harness.connections:
                if connection.request_id and not connection.transport.is_lost:
                    connection.respond()
                    connection.transport.clear()
        assert [caller.status for caller in callers] == [200] * 6

    def test_a_cold_server_at_work_takes_full_load_when_warm(self, harness, cold):
        for number in (1, 2):
            cold.record_response(harness.servers.get(f"i-{number}").entry, 0.3)
        for number in range(8):
            harness.caller().request("/safe/x", f"r{number}")
        assert not harness.connections
        harness.advance(0.15)
        harness.advance(0.01)
        assert len(harness.connections) < 8
        harness.advance(0.16)
        harness.advance(0)
        harness.advance(0)
        assert len(harness.connections) == 8
