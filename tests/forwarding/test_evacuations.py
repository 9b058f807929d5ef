"""Requests of a forwarder whose servers are in evacuated zones."""

import pytest

from chivesaddle.placement import Evacuations

from .test_forwarder import EVENT_1
from .test_lost_paths import PathFleet

PROMPT = (
    "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: 50,10\r\n"
    "X-Chivesaddle-Prompt-Prefix: aa:20,bb:30"
)


@pytest.fixture
def evacuations(harness):
    return Evacuations(harness.reactor, harness.servers)


class TestEvacuatedService:
    def test_request_is_refused_at_once_as_not_run(self, harness, caller, evacuations):
        evacuations.put("z")
        caller.request("/safe/x")
        assert caller.status == 503 and harness.results == ["not_run"]
        assert harness.connections == []

    def test_request_that_waits_is_refused_at_once(self, harness, evacuations):
        """Guards against waits for servers that take no requests any more."""
        harness.use_model_engines()
        for name in ("first", "second", "waiting"):
            waiting = harness.caller()
            waiting.request("/resumable/", name, headers=PROMPT)
        assert waiting.status is None and len(harness.connections) == 2
        evacuations.put("z")
        harness.advance()
        assert waiting.status == 503

    def test_run_in_progress_is_finished(self, harness, caller, evacuations):
        caller.request("/stream/x")
        harness.connections[0].start_stream(EVENT_1)
        evacuations.put("z")
        harness.advance(1.0)
        harness.connections[0].chunk(b"data: end\n\n")
        harness.connections[0].end_stream()
        harness.advance()
        assert caller.status == 200 and b"data: end" in caller.received()


class TestPartlyEvacuatedService:
    def test_requests_go_to_the_other_zones(self, harness, evacuations):
        harness.add_server(2, zone="y")
        evacuations.put("z")
        for number in range(6):
            harness.caller().request("/safe/x", f"a{number}")
        assert {c.address for c in harness.connections} == {"10.0.0.2:80"}
        evacuations.remove("z")
        harness.caller().request("/safe/x", "last")
        assert harness.connections[-1].address == "10.0.0.1:80"

    def test_daemon_that_reaches_only_evacuated_servers_is_cut_off(self):
        """It cannot run requests, so callers must not be led to it."""
        fleet = PathFleet(3)
        daemon = fleet.daemons[0]
        evacuations = Evacuations(daemon.reactor, daemon.servers)
        for server in daemon.servers.all():
            daemon.servers.record_connection_failure(server.entry.id, "refused")
        daemon.add_server(99, zone="y")
        assert not daemon.paths.is_cut_off
        evacuations.put("y")
        assert daemon.paths.is_cut_off
