import json
import tracemalloc

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.http1 import ConnectionPool, Connector
from chivesaddle.platform.backend_client import BackendClient, ServerCallFailed
from chivesaddle.platform.documents import decode_server

ADDRESS = "127.0.0.1:9"


class Holder:
    """A backend server whose responses tests write."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        pool = ConnectionPool(Connector(self.reactor), self.reactor)
        self.client = BackendClient(pool, self.reactor)
        self.protocols = []

    def poll(self, position):
        return self._call(self.client.read_events(ADDRESS, position, 1.0, 9.0))

    def read_version(self):
        return self._call(self.client.read_version("s1", ADDRESS, "m", 9.0))

    def read_start(self):
        entry = {
            "service": "app",
            "address": ADDRESS,
            "zone": "z",
            "slots": 1,
            "state": "ready",
        }
        return self._call(self.client.read_start(decode_server("s1", entry), 9.0))

    def _call(self, coroutine):
        result = start(coroutine)
        if len(self.reactor.tcpClients) > len(self.protocols):
            protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
            transport = StringTransport()
            transport.abortConnection = lambda: self.reactor.callLater(
                0, protocol.connectionLost, Failure(ConnectionLost())
            )
            protocol.makeConnection(transport)
            self.protocols.append(protocol)
        return result

    def respond(self, **content):
        body = json.dumps(content).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.protocols[-1].dataReceived(head + body)


@pytest.fixture
def holder():
    return Holder()


class TestPollsForCacheEvents:
    def test_share_a_connection(self, holder):
        for position in (0, 3):
            result = holder.poll(position)
            holder.respond(boot_epoch=1, next_token=3)
            assert result.result.next_position == 3
        assert len(holder.protocols) == 1

    def test_do_not_take_a_late_copy_of_an_older_response(self, holder):
        """Guards against a map of cached parts that goes back to an older state."""
        for position in (0, 3):
            holder.poll(position)
            holder.respond(boot_epoch=1, next_token=position + 3)
        result = holder.poll(6)
        holder.respond(
            boot_epoch=1, next_token=3, events=[[1, "+", "scope", "part", 8, "m"]]
        )
        assert isinstance(result.result.value, ServerCallFailed)
        result.addErrback(lambda _: None)
        assert holder.protocols[0].lost


class TestReport:
    def test_is_not_a_late_copy_of_the_response_to_a_poll(self, holder):
        """All fields of a report are optional, so any object looks like one."""
        holder.poll(0)
        holder.respond(boot_epoch=1, next_token=3)
        result = holder.read_version()
        assert len(holder.protocols) == 2
        holder.respond(sequence=4, models=[{"name": "m", "version": 7}])
        assert result.result == (4, 7, False)


class TestStartOfAServer:
    """Guards against a process that is taken for an earlier one at its address."""

    def test_is_read_from_its_report(self, holder):
        result = holder.read_start()
        request = holder.protocols[-1].transport.value()
        assert request.startswith(b"GET /report HTTP/1.1\r\n")
        assert b"x-chivesaddle-expected-instance: s1\r\n" in request.lower()
        holder.respond(born=1_700_000_000_000, sequence=4)
        assert result.result == 1_700_000_000_000

    @pytest.mark.parametrize("content", [{}, {"born": "x"}, {"born": None}])
    def test_is_unknown_if_the_report_has_none(self, holder, content):
        result = holder.read_start()
        holder.respond(**content)
        assert result.result is None

    def test_is_unknown_if_another_server_answers(self, holder):
        result = holder.read_start()
        holder.protocols[-1].dataReceived(
            b'HTTP/1.1 421 X\r\nContent-Length: 12\r\n\r\n{"born":1000}'[:-1]
        )
        assert result.result is None

    def test_is_unknown_if_no_report_comes_in_time(self, holder):
        result = holder.read_start()
        holder.reactor.advance(9.0)
        assert result.result is None

    def test_does_not_make_a_report_unusable_for_orders(self, holder):
        result = holder.read_version()
        holder.respond(sequence=3, born="x", models=[{"name": "m", "version": 5}])
        assert result.result == (3, 5, False)


def test_report_that_is_nested_too_deeply_is_malformed(holder):
    """Guards against an error that ends the feed of a server, or a request."""
    result = holder.read_version()
    body = b'{"x": ' + b"[" * 10_000 + b"]" * 10_000 + b"}"
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    holder.protocols[-1].dataReceived(head + body)
    assert isinstance(result.result.value, ServerCallFailed)
    result.addErrback(lambda _: None)


class TestServersThatSendWithoutEnd:
    """Guards against bodies of control calls that fill the memory together."""

    SERVERS = 70
    # Users of small sites allow a process 150 MB in all.
    MAX_BYTES = 40_000_000

    @pytest.mark.parametrize("call", ["poll", "read_version", "read_start"])
    @pytest.mark.parametrize("framing", [b"", b"Transfer-Encoding: chunked\r\n"])
    def test_take_little_memory_together(self, call, framing):
        holders = [Holder() for _ in range(self.SERVERS)]
        for other in holders[1:]:
            other.client = holders[0].client
            other.reactor = holders[0].reactor
        piece = b"x" * 60_000
        if framing:
            piece = b"ea60\r\n" + piece + b"\r\n"
        results, open_holders = [], []
        for other in holders:
            arguments = (1,) if call == "poll" else ()
            result = getattr(other, call)(*arguments)
            result.addErrback(lambda failure: failure.trap(ServerCallFailed))
            results.append(result)
            (protocol,) = other.protocols
            protocol.dataReceived(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n")
            open_holders.append(other)
        tracemalloc.start()
        for _ in range(300):
            for other in open_holders:
                if not other.protocols[0].lost:
                    other.protocols[0].dataReceived(piece)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert all(result.called for result in results)
        assert peak < self.MAX_BYTES

    def test_do_not_hinder_the_others_for_long(self, holder):
        faulty = [holder.poll(1) for _ in range(5)]
        for protocol in holder.protocols:
            protocol.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 3_900_000)
        for result in faulty:
            result.addErrback(lambda failure: failure.trap(ServerCallFailed))
        holder.reactor.advance(10)
        sound = holder.poll(7)
        holder.respond(next_token=8, boot_epoch=1)
        assert sound.result.next_position == 8
