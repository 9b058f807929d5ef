"""Streams that began through another daemon, which is lost then."""

import pytest

from chivesaddle.core.ids import ServiceId, SoftwareVersion
from chivesaddle.forwarding import stream_key
from chivesaddle.forwarding.stream_origins import OriginReport

from .test_refused_successors import allow_attempts
from .test_silent_peers import PEERS
from .test_silent_servers import EVENT_1, MAX_GAP_S, advance
from .test_software_versions import start_version_mix, version_of


@pytest.fixture
def mixed(harness):
    start_version_mix(harness)
    return harness


class TestStreamThatBeganThroughAnotherDaemon:
    """Guards against another version after that daemon is gone."""

    def begin_and_lose_daemon(self, harness, caller):
        """The daemon that began the stream is killed, the next one is silent."""
        allow_attempts(harness, 3)
        harness.peer_paths.peers = PEERS[:2]
        caller.request("/resumable/x")
        (first,) = harness.connections
        first.start_stream(EVENT_1)
        first.transport.lose_connection()
        harness.advance()
        harness.advance()
        (_, second) = harness.connections
        assert second.header("last-event-id") == "1"
        # The servers are reached again.
        harness.peer_paths.peers = []

    @pytest.mark.parametrize("version", ["v1", "v2"])
    def test_goes_on_at_the_version_that_daemons_know(self, mixed, caller, version):
        self.begin_and_lose_daemon(mixed, caller)
        key = stream_key("acme", "a1")
        mixed.origins.apply_reports([OriginReport(key, "app", version, 9_000)])
        for server in mixed.servers.all():
            is_own = server.entry.software_version == version
            server.failure_rate = 0.9 if is_own else 0.0
        advance(mixed, MAX_GAP_S + 0.1)
        (successor,) = mixed.connections[2:]
        assert version_of(successor) == version
        assert successor.header("last-event-id") == "1"

    def test_is_sent_to_no_server_if_no_daemon_knows_its_version(self, mixed, caller):
        self.begin_and_lose_daemon(mixed, caller)
        advance(mixed, MAX_GAP_S + 0.4)
        assert mixed.connections[2:] == []

    def test_the_only_version_is_that_of_the_stream(self, harness, caller):
        self.begin_and_lose_daemon(harness, caller)
        assert harness.software.versions(ServiceId("app")) == {SoftwareVersion("")}
        advance(harness, MAX_GAP_S + 0.1)
        assert len(harness.connections) == 3
