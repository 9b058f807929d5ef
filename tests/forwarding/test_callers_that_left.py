"""Callers that close their connections at each step of their request's handling."""

import gc
import tracemalloc

import pytest

from chivesaddle.core.ids import DaemonId
from chivesaddle.forwarding.passing import PeerDaemon
from chivesaddle.http1 import CallerLimits, server
from chivesaddle.http1.sockets import UnreadInput

EVENT = b"id: 1\ndata: a\n\n"
PEER_ADDRESS = "10.0.1.1:80"
TARGETS = ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"]


@pytest.fixture
def left_unnoticed(harness, caller, monkeypatch):
    """Make the kernel know that the caller left before the reactor does."""
    monkeypatch.setattr(
        server,
        "peek",
        lambda transport: (
            UnreadInput.END if transport is caller.transport else UnreadInput.NONE
        ),
    )


@pytest.mark.parametrize("target", TARGETS)
class TestCloseThatTheReactorHasNotRead:
    """Guards against work for callers that gave up while the daemon was behind."""

    def test_request_is_not_sent(self, harness, caller, left_unnoticed, target):
        caller.request(target)
        assert harness.connections == []
        assert caller.transport.is_lost
        assert caller.received() == b""
        assert harness.results == ["caller_left"]

    def test_request_is_not_passed_on(self, harness, caller, left_unnoticed, target):
        harness.peer_paths.peers = [PeerDaemon(DaemonId("d2"), PEER_ADDRESS)]
        caller.request(target)
        assert harness.connections == []
        assert harness.results == ["caller_left"]

    def test_request_whose_connection_opened_too_late_is_not_sent(
        self, harness, caller, monkeypatch, target
    ):
        answers = iter([UnreadInput.NONE])
        monkeypatch.setattr(
            server, "peek", lambda transport: next(answers, UnreadInput.END)
        )
        caller.request(target)
        assert [connection.head for connection in harness.connections] == [""]
        assert harness.results == ["caller_left"]

    def test_server_that_got_nothing_is_not_blamed(
        self, harness, caller, left_unnoticed, target
    ):
        caller.request(target)
        for tracked in harness.servers.all():
            assert not tracked.in_flight
            assert tracked.failure_rate == 0.0


@pytest.mark.parametrize("target", TARGETS)
class TestCloseThatTheReactorReads:
    """Guards against servers that work on for callers that have left."""

    def test_ends_the_run(self, harness, caller, target):
        caller.request(target)
        caller.close_connection()
        harness.advance()
        assert harness.connections[0].transport.is_lost
        assert harness.results == ["caller_left"]

    def test_ends_the_run_in_the_middle_of_a_response(self, harness, caller, target):
        caller.request(target)
        connection = harness.connections[0]
        connection.start_stream(EVENT)
        caller.close_connection()
        harness.advance()
        assert connection.transport.is_lost
        assert len(harness.connections) == 1

    def test_ends_a_request_that_was_passed_on(self, harness, caller, target):
        harness.peer_paths.peers = [PeerDaemon(DaemonId("d2"), PEER_ADDRESS)]
        caller.request(target)
        assert harness.connections[0].address == PEER_ADDRESS
        caller.close_connection()
        harness.advance()
        assert harness.connections[0].transport.is_lost

    def test_sends_nothing_on_a_connection_that_opens_later(
        self, harness, caller, target
    ):
        harness.reactor.unresponsive_addresses = {"10.0.0.1:80", "10.0.0.2:80"}
        caller.request(target)
        harness.reactor.unresponsive_addresses = set()
        caller.close_connection()
        harness.advance(1)
        assert harness.connections == []

    def test_takes_a_request_out_of_the_admission_queue(self, harness, caller, target):
        harness.use_model_engines()
        headers = (
            "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: 90,10\r\n"
            "X-Chivesaddle-Prompt-Prefix: p1:90"
        )
        for number in range(2):
            harness.caller().request(target, f"b{number}", headers=headers)
        caller.request(target, headers=headers)
        assert len(harness.connections) == 2
        caller.close_connection()
        for connection in harness.connections[:2]:
            connection.respond(body=EVENT)
        harness.advance(0.1)
        harness.advance(0.1)
        assert [c.request_id for c in harness.connections] == ["b0", "b1"]


class TestBodiesOfRequestsThatFailed:
    """Guards against bodies that stay until the garbage collector runs."""

    SIZE = 1_000_000

    @pytest.fixture
    def held_bytes(self, harness):
        """Return what 20 requests leave behind that end in a way."""
        harness.listener.limits = lambda: CallerLimits(body_bytes=self.SIZE)

        def measure(target, end):
            gc.collect()
            gc.disable()
            tracemalloc.start()
            try:
                for number in range(20):
                    caller = harness.caller()
                    body = bytes([number]) * self.SIZE
                    caller.request(target, f"a{number}", body=body)
                    end(harness, caller)
                    harness.advance(0.1)
                    caller.transport.clear()
                    for connection in harness.connections:
                        connection.transport.clear()
                    harness.connections.clear()
                    del caller, body
                return tracemalloc.get_traced_memory()[0]
            finally:
                tracemalloc.stop()
                gc.enable()

        return measure

    @staticmethod
    def leave(harness, caller):
        caller.close_connection()

    @staticmethod
    def wait(harness, caller):
        for _ in range(200):
            harness.advance(0.1)

    @staticmethod
    def lose_answers(harness, caller):
        for _ in range(3):
            for connection in list(harness.connections):
                connection.transport.lose_connection()
            harness.advance()

    @pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/resumable/x"])
    @pytest.mark.parametrize("end", ["leave", "wait", "lose_answers"])
    def test_are_freed_at_once(self, held_bytes, target, end):
        assert held_bytes(target, getattr(self, end)) < 2 * self.SIZE
