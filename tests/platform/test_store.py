import json

import pytest
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.core.errors import DeadlineExceeded, InvalidValue
from chivesaddle.core.objects import (
    ObjectNotFound,
    PlatformUnavailable,
    RevisionCompacted,
    VersionConflict,
    WriteOutcomeUnknown,
)
from chivesaddle.platform.store import StoreClient

ITEM = {
    "metadata": {"name": "a/b", "revision": 7, "finalizers": [], "deleting": False},
    "specification": {"x": 1},
    "status": None,
}


class Wire:
    """The network below the client: each connection is opened and answered by hand."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.api = StoreClient.from_config("http://127.0.0.1:9", self.reactor)
        self.opened = []

    def open(self):
        """Accept the newest connection and return (protocol, transport)."""
        factory = self.reactor.tcpClients[len(self.opened)][2]
        transport = StringTransport()
        protocol = factory.buildProtocol(None)
        transport.abortConnection = lambda: protocol.connectionLost(
            Failure(ConnectionLost())
        )
        protocol.makeConnection(transport)
        self.opened.append((protocol, transport))
        return protocol, transport

    def refuse(self):
        factory = self.reactor.tcpClients[len(self.opened)][2]
        factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        self.opened.append(None)

    def create(self):
        return start(self.api.create("k", "a/b", {"x": 1}, deadline=2))


def answer(protocol, status, data=None, headers=""):
    body = b"" if data is None else json.dumps(data).encode()
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    protocol.dataReceived(head.encode() + body)


def failed(deferred, kind):
    error = deferred.result.value
    deferred.addErrback(lambda _: None)
    assert isinstance(error, kind)
    return error


@pytest.fixture
def wire():
    return Wire()


class TestWrites:
    def test_create_sends_the_name_and_returns_the_revision(self, wire):
        result = wire.create()
        protocol, transport = wire.open()
        answer(protocol, 200, ITEM)
        head, _, body = transport.value().partition(b"\r\n\r\n")
        assert head.startswith(b"POST /objects/k HTTP/1.1\r\n")
        assert json.loads(body) == {
            "metadata": {"name": "a/b"},
            "specification": {"x": 1},
        }
        assert result.result.version == 7

    def test_update_sends_a_quoted_name_and_the_expected_revision(self, wire):
        start(wire.api.update("k", "a/b", {"x": 2}, version=7, deadline=2))
        protocol, transport = wire.open()
        answer(protocol, 200, ITEM)
        head, _, body = transport.value().partition(b"\r\n\r\n")
        assert head.startswith(b"PUT /objects/k/a%2Fb HTTP/1.1\r\n")
        assert json.loads(body)["metadata"] == {"name": "a/b", "revision": 7}

    def test_delete_names_the_expected_revision(self, wire):
        start(wire.api.delete("k", "a/b", version=7, deadline=2))
        assert (
            wire.open()[1]
            .value()
            .startswith(b"DELETE /objects/k/a%2Fb?revision=7 HTTP/1.1\r\n")
        )

    def test_refused_connection_proves_that_nothing_was_written(self, wire):
        result = wire.create()
        wire.refuse()
        failed(result, PlatformUnavailable)

    def test_deadline_while_connecting_proves_that_nothing_was_written(self, wire):
        result = wire.create()
        wire.reactor.advance(2)
        failed(result, PlatformUnavailable)

    def test_connection_lost_after_the_request_leaves_the_outcome_unknown(self, wire):
        """Guards against reporting "not run" for a write that may have happened."""
        result = wire.create()
        protocol, _ = wire.open()
        protocol.connectionLost(Failure(ConnectionLost()))
        failed(result, WriteOutcomeUnknown)

    def test_silence_until_the_deadline_leaves_the_outcome_unknown(self, wire):
        result = wire.create()
        wire.open()
        wire.reactor.advance(2)
        failed(result, WriteOutcomeUnknown)

    @pytest.mark.parametrize(
        "status, kind",
        [
            (404, ObjectNotFound),
            (408, WriteOutcomeUnknown),
            (409, VersionConflict),
            (413, InvalidValue),
            (429, PlatformUnavailable),
            (500, WriteOutcomeUnknown),
            (502, WriteOutcomeUnknown),
            (503, PlatformUnavailable),
            (504, WriteOutcomeUnknown),
        ],
    )
    def test_status_decides_whether_the_write_happened(self, wire, status, kind):
        result = wire.create()
        answer(wire.open()[0], status, {}, "Retry-After: 3\r\n")
        error = failed(result, kind)
        if kind is PlatformUnavailable:
            assert error.retry_after_s == 3

    def test_success_with_a_truncated_body_leaves_the_outcome_unknown(self, wire):
        result = wire.create()
        protocol, _ = wire.open()
        protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
        protocol.connectionLost(Failure(ConnectionLost()))
        failed(result, WriteOutcomeUnknown)

    def test_each_write_opens_its_own_connection(self, wire):
        """Guards against a silent pooled connection that eats a write's deadline."""
        for _ in range(2):
            wire.create()
            answer(wire.open()[0], 200, ITEM)
        assert len(wire.reactor.tcpClients) == 2

    def test_value_over_the_limit_is_rejected_before_sending(self, wire):
        result = start(wire.api.create("k", "a", {"x": "y" * 1_000_000}, deadline=2))
        failed(result, InvalidValue)
        assert not wire.reactor.tcpClients


class TestReads:
    def test_silent_connection_is_replaced_within_the_deadline(self, wire):
        result = start(wire.api.get("k", "a/b", deadline=2))
        wire.open()
        wire.reactor.advance(0.5)
        answer(wire.open()[0], 200, ITEM)
        assert result.result.value == {"x": 1}

    def test_reads_reuse_a_connection(self, wire):
        for _ in range(2):
            start(wire.api.get("k", "a/b", deadline=2))
            protocol, transport = wire.opened[0] if wire.opened else wire.open()
            answer(protocol, 200, ITEM)
        assert transport.value().count(b"GET ") == 2

    def test_read_without_any_answer_misses_its_deadline(self, wire):
        result = start(wire.api.get("k", "a/b", deadline=2))
        wire.open()
        wire.reactor.advance(0.5)
        wire.open()
        wire.reactor.advance(2)
        failed(result, DeadlineExceeded)

    def test_refused_read_reports_an_unavailable_platform(self, wire):
        result = start(wire.api.list_objects("k", deadline=2))
        wire.refuse()
        failed(result, PlatformUnavailable)

    def test_list_reads_all_pages_and_keeps_the_first_pages_revision(self, wire):
        """Guards against missing a change that is made between two pages."""
        result = start(wire.api.list_objects("k", deadline=2))
        protocol, transport = wire.open()
        answer(protocol, 200, {"items": [ITEM], "more": True, "at": 9})
        assert b"GET /objects/k?after=a%2Fb " in transport.value()
        last = {**ITEM, "metadata": {"name": "c", "revision": 11}}
        answer(protocol, 200, {"items": [last], "more": False, "at": 12})
        assert result.result.revision == 9
        assert sorted(result.result.items_by_name) == ["a/b", "c"]


class TestWatch:
    def test_watch_leaves_time_for_its_answer(self, wire):
        result = start(wire.api.wait_for_changes("k", after=3, deadline=5))
        protocol, transport = wire.open()
        assert b"?watch=3&wait_ms=4000 " in transport.value()
        event = {"object": ITEM, "deleted": False}
        answer(protocol, 200, {"events": [event], "at": 8})
        assert result.result.changes[0].item.version == 7
        assert result.result.revision == 8

    def test_compacted_revision_is_reported(self, wire):
        result = start(wire.api.wait_for_changes("k", after=3, deadline=5))
        answer(wire.open()[0], 410, {})
        failed(result, RevisionCompacted)
