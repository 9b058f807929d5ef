"""Streams of a silent server that goes on after another one did not take them."""

import pytest

from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.serving_model import PromptPartId
from chivesaddle.forwarding import stream_key
from chivesaddle.forwarding.suspects import part_fingerprint
from chivesaddle.platform import decode_configuration

from .conftest import CONFIGURATION
from .test_silent_peers import PEERS, REFUSAL
from .test_silent_servers import EVENT_1, EVENT_2, MAX_GAP_S, NOT_RUN, advance
from .test_software_versions import VERSION_BY_SERVER, start_version_mix, version_of

EVENT_3 = b"id: 3\ndata: c\n\n"
PROMPT_HEADERS = (
    "X-Chivesaddle-Model: m\r\n"
    "X-Chivesaddle-Token-Counts: 15,4\r\n"
    "X-Chivesaddle-Prompt-Prefix: a:10,b:5"
)


def refuse(other):
    other.respond(503, extra_header=NOT_RUN)


def lose_connection(other):
    other.transport.lose_connection()


def fail(other):
    other.respond(500)


def stay_silent(other):
    """Send nothing; the attempt is closed after the time for both."""


ENDINGS = pytest.mark.parametrize("end", [refuse, lose_connection, fail, stay_silent])


def begin_without_event(harness, caller, headers=""):
    """Return the connection to a server that has sent a head only."""
    allow_attempts(harness, 3)
    caller.request("/resumable/x", headers=headers)
    (server,) = harness.connections
    server.start_stream()
    return server


def end_successor(harness, end):
    """Let the silence last until there is a successor, and end that one."""
    count = len(harness.connections)
    advance(harness, MAX_GAP_S + 0.1)
    (other, *_) = harness.connections[count:]
    end(other)
    advance(harness, 0.5)


def allow_attempts(harness, attempts):
    routes = [route | {"attempts": attempts} for route in CONFIGURATION["routes"]]
    configuration = {**CONFIGURATION, "version": 4, "routes": routes}
    harness.serving_state.put_configuration(decode_configuration(configuration))


def keep_other_versions(harness, connection):
    for number, version in VERSION_BY_SERVER.items():
        if version == version_of(connection):
            server = BackendServerId(f"i-{number}")
            harness.servers.remove(server, may_have_expired=False)


@pytest.fixture
def mixed(harness):
    start_version_mix(harness)
    return harness


class TestStreamAfterTheEndOfItsSuccessor:
    @ENDINGS
    def test_goes_on_at_its_version_only(self, mixed, caller, end):
        """Guards against events of two versions once another attempt has ended."""
        server = begin_without_event(mixed, caller)
        end_successor(mixed, end)
        server.chunk(EVENT_1)
        keep_other_versions(mixed, server)
        count = len(mixed.connections)
        server.transport.lose_connection()
        advance(mixed, 0.5)
        assert mixed.connections[count:] == []
        assert caller.received().count(b"data: ") == 1
        assert caller.transport.is_lost

    @ENDINGS
    def test_its_origin_is_known_to_callers_that_resume_it(self, mixed, caller, end):
        """Guards against streams of unknown origin once another attempt has ended."""
        server = begin_without_event(mixed, caller)
        end_successor(mixed, end)
        server.chunk(EVENT_1)
        (report,) = mixed.origins.reports([stream_key("acme", "a1")])
        assert report.version == version_of(server)

    @ENDINGS
    def test_its_server_counts_as_answering(self, harness, caller, end):
        """Guards against harmless parts that are taken for the cause of a crash."""
        harness.use_model_engines()
        server = begin_without_event(harness, caller, PROMPT_HEADERS)
        end_successor(harness, end)
        server.chunk(EVENT_1)
        advance(harness, 0.4)
        server.chunk(EVENT_2)
        server.transport.lose_connection()
        harness.advance()
        assert (
            harness.crashes.count(part_fingerprint(PromptPartId("a"), "m", None)) == 0
        )

    @ENDINGS
    def test_it_stays_there_if_it_goes_on_beside_a_second_successor(
        self, harness, caller, end
    ):
        """Guards against two servers that work on one stream."""
        harness.add_server(3)
        server = begin_without_event(harness, caller)
        end_successor(harness, end)
        server.chunk(EVENT_1)
        count = len(harness.connections)
        advance(harness, MAX_GAP_S + 0.1)
        later = harness.connections[count:]
        server.chunk(EVENT_2)
        harness.advance(0.01)
        assert all(other.transport.is_lost for other in later)
        for other in later:
            other.start_stream(EVENT_2, EVENT_3)
        server.chunk(EVENT_3)
        server.end_stream()
        assert caller.received().count(b"data: ") == 3
        assert caller.received().endswith(b"0\r\n\r\n")

    def test_goes_on_at_its_version_after_a_daemon_refused_it(self, mixed, caller):
        """Guards against events of two versions if the successor was a daemon."""
        server = begin_without_event(mixed, caller)
        mixed.peer_paths.peers = PEERS[:1]
        end_successor(mixed, lambda other: other.send(REFUSAL))
        mixed.peer_paths.peers = []
        server.chunk(EVENT_1)
        keep_other_versions(mixed, server)
        count = len(mixed.connections)
        server.transport.lose_connection()
        advance(mixed, 0.5)
        assert mixed.connections[count:] == []
