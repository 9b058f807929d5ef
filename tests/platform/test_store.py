import json
from itertools import pairwise

import pytest
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.core.errors import DeadlineExceeded, InvalidValue
from chivesaddle.core.objects import (
    UNREADABLE_VALUE,
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


class FakeNetwork:
    """Fake network of a store client; tests accept and answer each connection."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.api = StoreClient.from_config("http://127.0.0.1:9", self.reactor)
        self.connections = []

    def open(self):
        """Accept the next pending connection and return (protocol, transport)."""
        factory = self.reactor.tcpClients[len(self.connections)][2]
        transport = StringTransport()
        protocol = factory.buildProtocol(None)
        transport.abortConnection = lambda: protocol.connectionLost(
            Failure(ConnectionLost())
        )
        protocol.makeConnection(transport)
        self.connections.append((protocol, transport))
        return protocol, transport

    def refuse(self):
        """Refuse the next pending connection."""
        factory = self.reactor.tcpClients[len(self.connections)][2]
        factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        self.connections.append(None)

    def create(self):
        return start(self.api.create("k", "a/b", {"x": 1}, deadline=2))


def respond(protocol, status, data=None, headers=""):
    body = data if isinstance(data, bytes) else b""
    if data is not None and body is not data:
        body = json.dumps(data).encode()
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    protocol.dataReceived(head.encode() + body)


def expect_error(deferred, kind):
    error = deferred.result.value
    deferred.addErrback(lambda _: None)
    assert isinstance(error, kind)
    return error


@pytest.fixture
def network():
    return FakeNetwork()


class TestWrites:
    def test_create_sends_the_name_and_returns_the_revision(self, network):
        result = network.create()
        protocol, transport = network.open()
        respond(protocol, 200, ITEM)
        head, _, body = transport.value().partition(b"\r\n\r\n")
        assert head.startswith(b"POST /objects/k HTTP/1.1\r\n")
        assert json.loads(body) == {
            "metadata": {"name": "a/b"},
            "specification": {"x": 1},
        }
        assert result.result.version == 7

    def test_update_sends_a_quoted_name_and_the_expected_revision(self, network):
        start(network.api.update("k", "a/b", {"x": 2}, version=7, deadline=2))
        protocol, transport = network.open()
        respond(protocol, 200, ITEM)
        head, _, body = transport.value().partition(b"\r\n\r\n")
        assert head.startswith(b"PUT /objects/k/a%2Fb HTTP/1.1\r\n")
        assert json.loads(body)["metadata"] == {"name": "a/b", "revision": 7}

    def test_delete_names_the_expected_revision(self, network):
        start(network.api.delete("k", "a/b", version=7, deadline=2))
        assert (
            network.open()[1]
            .value()
            .startswith(b"DELETE /objects/k/a%2Fb?revision=7 HTTP/1.1\r\n")
        )

    def test_refused_connection_is_reported_as_not_written(self, network):
        result = network.create()
        network.refuse()
        expect_error(result, PlatformUnavailable)

    def test_deadline_while_connecting_is_reported_as_not_written(self, network):
        result = network.create()
        network.reactor.advance(2)
        expect_error(result, PlatformUnavailable)

    def test_connection_lost_after_the_request_leaves_the_outcome_unknown(
        self, network
    ):
        """Guards against reporting "not written" for a write that may have happened."""
        result = network.create()
        protocol, _ = network.open()
        protocol.connectionLost(Failure(ConnectionLost()))
        expect_error(result, WriteOutcomeUnknown)

    def test_no_response_before_the_deadline_leaves_the_outcome_unknown(self, network):
        result = network.create()
        network.open()
        network.reactor.advance(2)
        expect_error(result, WriteOutcomeUnknown)

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
    def test_status_determines_the_write_error(self, network, status, kind):
        result = network.create()
        respond(network.open()[0], status, {}, "Retry-After: 3\r\n")
        error = expect_error(result, kind)
        if kind is PlatformUnavailable:
            assert error.retry_after_s == 3

    def test_success_with_a_truncated_body_leaves_the_outcome_unknown(self, network):
        result = network.create()
        protocol, _ = network.open()
        protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
        protocol.connectionLost(Failure(ConnectionLost()))
        expect_error(result, WriteOutcomeUnknown)

    def test_each_write_opens_its_own_connection(self, network):
        """Guards against a write that times out on a dead pooled connection."""
        for _ in range(2):
            network.create()
            respond(network.open()[0], 200, ITEM)
        assert len(network.reactor.tcpClients) == 2

    def test_value_over_the_limit_is_rejected_before_sending(self, network):
        result = start(network.api.create("k", "a", {"x": "y" * 1_000_000}, deadline=2))
        expect_error(result, InvalidValue)
        assert not network.reactor.tcpClients


class TestReads:
    def test_read_without_response_is_repeated_on_a_new_connection(self, network):
        result = start(network.api.get("k", "a/b", deadline=2))
        network.open()
        network.reactor.advance(0.5)
        respond(network.open()[0], 200, ITEM)
        assert result.result.value == {"x": 1}

    @pytest.mark.parametrize("is_watch", [False, True])
    def test_each_call_opens_its_own_connection(self, network, is_watch):
        """Guards against a late second copy of a list of another kind.

        The responses have no id, and name no kind.
        """
        start(network.api.list_objects("servers", deadline=2))
        respond(network.open()[0], 200, {"items": [ITEM], "at": 9})
        if is_watch:
            start(network.api.wait_for_changes("k", after=3, deadline=5))
        else:
            start(network.api.list_objects("k", deadline=2))
        _, transport = network.open()
        assert transport.value().startswith(b"GET /objects/k?" if is_watch else b"GET ")

    def test_read_without_any_response_fails_at_its_deadline(self, network):
        result = start(network.api.get("k", "a/b", deadline=2))
        network.open()
        network.reactor.advance(0.5)
        network.open()
        network.reactor.advance(2)
        expect_error(result, DeadlineExceeded)

    def test_refused_read_reports_an_unavailable_platform(self, network):
        result = start(network.api.list_objects("k", deadline=2))
        network.refuse()
        expect_error(result, PlatformUnavailable)

    def test_list_reads_all_pages_and_returns_the_first_pages_revision(self, network):
        """Guards against missing a change that is made between two pages."""
        result = start(network.api.list_objects("k", deadline=2))
        respond(network.open()[0], 200, {"items": [ITEM], "more": True, "at": 9})
        last = {**ITEM, "metadata": {"name": "c", "revision": 11}}
        respond(network.open()[0], 200, {"items": [last], "more": False, "at": 12})
        assert b"GET /objects/k?after=a%2Fb " in network.connections[1][1].value()
        assert result.result.revision == 9
        assert sorted(result.result.items_by_name) == ["a/b", "c"]


class TestWatch:
    def test_watch_reserves_time_for_its_response(self, network):
        result = start(network.api.wait_for_changes("k", after=3, deadline=5))
        protocol, transport = network.open()
        assert b"?watch=3&wait_ms=4000 " in transport.value()
        event = {"object": ITEM, "deleted": False}
        respond(protocol, 200, {"events": [event], "at": 8})
        assert result.result.changes[0].item.version == 7
        assert result.result.revision == 8

    def test_changes_are_read_without_waiting_for_more(self, network):
        """Guards against a read that waits as long as a watch, or lacks its answer."""
        result = start(network.api.read_changes("k", after=3, deadline=0.3))
        protocol, transport = network.open()
        assert b"?watch=3&wait_ms=1 " in transport.value()
        respond(protocol, 200, {"events": [], "at": 8})
        assert result.result.revision == 8
        assert result.result.changes == ()

    def test_compacted_revision_is_reported(self, network):
        result = start(network.api.wait_for_changes("k", after=3, deadline=5))
        respond(network.open()[0], 410, {})
        expect_error(result, RevisionCompacted)


class TestUnreadableObjects:
    """Guards against one object that hides all changes of its kind; see test_pages."""

    ODD = rb'{"metadata": {"name": "odd", "revision": 8}, "specification": "\ud83d"}'
    NAMELESS = ODD.replace(b'"odd"', rb'"\ud83d"')
    DEEP = ODD.replace(rb'"\ud83d"', b"[" * 1_500 + b"]" * 1_500)

    def page(self, *items, more=b"false"):
        return b'{"items": [%b], "at": 9, "more": %b}' % (b",".join(items), more)

    @pytest.mark.parametrize("odd", [ODD, DEEP])
    def test_do_not_keep_a_listing_from_being_read(self, network, odd, caplog):
        result = start(network.api.list_objects("k", deadline=2))
        respond(network.open()[0], 200, self.page(odd, json.dumps(ITEM).encode()))
        items = result.result.items_by_name
        assert items["a/b"].value == {"x": 1}
        assert (items["odd"].version, items["odd"].value) == (8, UNREADABLE_VALUE)
        [record] = caplog.records
        assert (record.kind, record.object) == ("k", "odd")
        assert 0 < len(record.cause) <= 200

    @pytest.mark.parametrize("odd", [ODD, DEEP])
    def test_do_not_keep_a_watch_from_being_read(self, network, odd):
        result = start(network.api.wait_for_changes("k", after=3, deadline=5))
        events = [b'{"object": %b}' % item for item in (odd, json.dumps(ITEM).encode())]
        body = b'{"events": [%b], "at": 9}' % b",".join(events)
        respond(network.open()[0], 200, body)
        changed = [change.item for change in result.result.changes]
        assert [item.name for item in changed] == ["odd", "a/b"]
        assert result.result.revision == 9

    @pytest.mark.parametrize("odd", [ODD, DEEP])
    def test_are_read_with_the_version_that_replaces_them(self, network, odd):
        result = start(network.api.get("k", "odd", deadline=2))
        respond(network.open()[0], 200, odd)
        assert (result.result.version, result.result.value) == (8, UNREADABLE_VALUE)

    def test_are_logged_once(self, network, caplog):
        for _ in range(3):
            deadline = network.reactor.seconds() + 2
            start(network.api.list_objects("k", deadline=deadline))
            respond(network.open()[0], 200, self.page(self.ODD))
        assert len(caplog.records) == 1

    def test_that_end_a_page_do_not_end_the_listing(self, network):
        result = start(network.api.list_objects("k", deadline=2))
        first = self.page(json.dumps(ITEM).encode(), self.NAMELESS, more=b"true")
        respond(network.open()[0], 200, first)
        last = json.dumps(ITEM).replace("a/b", "c").encode()
        respond(network.open()[0], 200, self.page(self.NAMELESS, last))
        assert b"?after=a%2Fb " in network.connections[1][1].value()
        assert sorted(result.result.items_by_name) == ["a/b", "c"]

    def test_without_names_on_a_whole_page_fail_the_listing(self, network):
        """A listing that ends there would remove all later objects."""
        result = start(network.api.list_objects("k", deadline=2))
        respond(network.open()[0], 200, self.page(self.NAMELESS, more=b"true"))
        expect_error(result, PlatformUnavailable)

    def many(self, separator=b"%b"):
        odds = (self.ODD.replace(b"odd", b"odd-%d" % n) for n in range(2_000))
        return b",".join(separator % odd for odd in odds)

    def test_that_are_many_let_other_events_be_handled(self, network, caplog):
        """Guards against 0.7 s without other events for 1 MB of small odd objects."""
        result = start(network.api.list_objects("k", deadline=2))
        respond(network.open()[0], 200, self.page(self.many()))
        logged_by_turn = [0]

        def other_event():
            logged_by_turn.append(len(caplog.records))
            if not result.called:
                network.reactor.callLater(0, other_event)

        other_event()
        network.reactor.advance(0)
        assert len(result.result.items_by_name) == logged_by_turn[-1] == 2_000
        # At 50 us each, 500 objects take 25 ms.
        turns = pairwise(logged_by_turn)
        assert max(end - begin for begin, end in turns) <= 500

    def test_that_are_many_are_all_in_a_watch(self, network):
        result = start(network.api.wait_for_changes("k", after=3, deadline=5))
        body = b'{"events": [%b], "at": 9}' % self.many(b'{"object": %b}')
        respond(network.open()[0], 200, body)
        network.reactor.advance(0)
        names = {change.item.name for change in result.result.changes}
        assert names == {f"odd-{n}" for n in range(2_000)}

    def test_of_an_earlier_era_are_no_changes(self, network):
        """Guards against an era that begins while the response is read in turns."""
        result = start(network.api.wait_for_changes("k", after=3, deadline=5))
        body = b'{"events": [%b], "at": 9}' % self.many(b'{"object": %b}')
        respond(network.open()[0], 200, body)
        assert not result.called
        network.api.era.observe(1)
        network.reactor.advance(0)
        expect_error(result, RevisionCompacted)


def in_era(network, era, revision=7):
    """Make the client read an object of an era; return the object's version."""
    result = start(network.api.get("k", "a/b", deadline=network.reactor.seconds() + 2))
    protocol, _ = network.open()
    metadata = {**ITEM["metadata"], "revision": revision}
    respond(protocol, 200, {**ITEM, "metadata": metadata}, f"Store-Era: {era}\r\n")
    protocol.connectionLost(Failure(ConnectionLost()))
    return result.result.version


class TestEras:
    """The store may return from a copy and give out revisions again."""

    def test_store_without_eras_gives_its_own_revisions(self, network):
        result = start(network.api.get("k", "a/b", deadline=2))
        protocol, _ = network.open()
        respond(protocol, 200, ITEM)
        assert result.result.version == 7

    def test_lower_revision_of_a_later_era_is_newer(self, network):
        assert in_era(network, 3, revision=900) < in_era(network, 4, revision=7)

    def test_conditional_write_of_an_earlier_era_is_not_sent(self, network):
        version = in_era(network, 3)
        in_era(network, 4)
        opened = len(network.reactor.tcpClients)
        result = start(network.api.update("k", "a/b", {}, version=version, deadline=9))
        expect_error(result, VersionConflict)
        assert len(network.reactor.tcpClients) == opened

    def test_conditional_write_names_the_revision_as_the_store_knows_it(self, network):
        version = in_era(network, 3)
        start(network.api.update("k", "a/b", {}, version=version, deadline=9))
        _, transport = network.open()
        body = transport.value().partition(b"\r\n\r\n")[2]
        assert json.loads(body)["metadata"]["revision"] == 7

    def test_write_that_a_later_era_did_is_no_success(self, network):
        """Its condition may have held for another state of the object."""
        version = in_era(network, 3)
        result = start(network.api.update("k", "a/b", {}, version=version, deadline=9))
        protocol, _ = network.open()
        respond(protocol, 200, ITEM, "Store-Era: 4\r\n")
        expect_error(result, WriteOutcomeUnknown)

    def test_watch_of_an_earlier_era_asks_for_a_new_listing(self, network):
        version = in_era(network, 3)
        in_era(network, 4)
        result = start(network.api.wait_for_changes("k", after=version, deadline=9))
        expect_error(result, RevisionCompacted)

    def test_watch_that_a_later_era_answers_asks_for_a_new_listing(self, network):
        version = in_era(network, 3)
        result = start(network.api.wait_for_changes("k", after=version, deadline=9))
        protocol, _ = network.open()
        respond(protocol, 200, {"events": [], "at": 9}, "Store-Era: 4\r\n")
        expect_error(result, RevisionCompacted)

    def test_refused_calls_name_the_era_as_well(self, network):
        in_era(network, 3)
        result = start(network.api.get("k", "a/b", deadline=9))
        protocol, _ = network.open()
        respond(protocol, 503, None, "Store-Era: 4\r\n")
        expect_error(result, PlatformUnavailable)
        assert network.api.era.current == 4

    def test_listing_across_two_eras_is_refused(self, network):
        result = start(network.api.list_objects("k", deadline=9))
        protocol, _ = network.open()
        respond(
            protocol, 200, {"items": [ITEM], "at": 9, "more": True}, "Store-Era: 3\r\n"
        )
        respond(network.open()[0], 200, {"items": [], "at": 4}, "Store-Era: 4\r\n")
        expect_error(result, PlatformUnavailable)

    def test_malformed_era_changes_nothing(self, network):
        in_era(network, 3)
        assert in_era(network, "x") > 0
        assert network.api.era.current == 3
