"""An error of a silent server while another one may respond."""

import pytest

from .test_silent_servers import (
    EVENT_1,
    EVENT_2,
    MAX_GAP_S,
    later_connections,
)


class TestServerErrorOfASilentServer:
    """Guards against an error that is passed on while another server may respond."""

    @pytest.mark.parametrize(
        ("target", "wait_s"),
        [("/safe/x", 0.51), ("/resumable/x", MAX_GAP_S + 0.1)],
    )
    def test_leaves_the_request_to_its_successor(self, harness, caller, target, wait_s):
        caller.request(target)
        server = harness.connections[0]
        harness.advance(wait_s)
        harness.advance()
        harness.advance()
        (other,) = later_connections(harness)
        server.respond(500)
        harness.advance()
        if not other.transport.is_lost:
            other.start_stream(EVENT_1, EVENT_2)
            other.end_stream()
        harness.advance()
        assert caller.status == 200

    def test_is_not_passed_on_before_the_other_server_was_tried(self, harness):
        """Guards against a silent server that is counted twice as used."""
        callers = [harness.caller() for _ in range(2)]
        harness.servers.get("i-1").ejected_until = 1e9
        callers[0].request("/safe/x", "a0")
        (busy,) = harness.connections
        harness.advance(0.1)
        harness.servers.get("i-1").ejected_until = 0.0
        harness.servers.get("i-2").ejected_until = 1e9
        callers[1].request("/safe/x", "a1")
        server = harness.connections[-1]
        # The other server is silent as well until now.
        harness.advance(0.51)
        busy.respond()
        harness.servers.get("i-2").ejected_until = 0.0
        server.respond(500)
        harness.advance()
        harness.advance()
        busy.respond(request_id="a1")
        assert callers[1].status == 200
