"""Engines that send bytes without end, in a head or in a stream that nobody reads."""

import pytest
from twisted.internet.testing import StringTransport

from chivesaddle.core.aio import start
from chivesaddle.engines import Connections, EngineClient, EngineError, EngineStream

from .conftest import Network
from .test_cut_responses import CALLS

MEGABYTE = 1_000_000
PIECES = {
    "lines": b"X-A: " + b"a" * 1_000 + b"\r\n",
    "one line": b"a" * 1_000,
    "folded": b" " + b"a" * 1_000 + b"\r\n",
}


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize("piece", PIECES)
def test_head_is_broken_off(clock, name, piece):
    """Guards against header lines that fill the memory until the deadline."""
    network = Network()
    client = EngineClient(Connections(clock, network), clock)
    result = start(CALLS[name](client))
    outcome = []
    result.addBoth(outcome.append)
    sent = 0
    while not outcome and sent < 8 * MEGABYTE:
        for connection in network.connections:
            if not connection.connected:
                continue
            if not sent:
                connection.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nServer: a\r\n")
            connection.protocol.dataReceived(PIECES[piece])
            sent += len(PIECES[piece])
        clock.advance(0.001)
    assert sent < MEGABYTE
    assert outcome[0].check(EngineError)


@pytest.mark.parametrize("name", CALLS)
def test_interim_heads_are_broken_off(clock, name):
    network = Network()
    client = EngineClient(Connections(clock, network), clock)
    outcome = []
    start(CALLS[name](client)).addBoth(outcome.append)
    sent = 0
    while not outcome and sent < 8 * MEGABYTE:
        for connection in network.connections:
            if connection.connected:
                connection.protocol.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n")
                sent += 25
        clock.advance(0.001)
    assert sent < MEGABYTE
    assert outcome[0].check(EngineError)


@pytest.mark.parametrize("name", CALLS)
def test_request_that_an_engine_does_not_read_is_freed_with_its_connection(clock, name):
    """Guards against memory of requests to silent engines, which adds up to a kill."""
    network = Network()
    client = EngineClient(Connections(clock, network), clock)
    start(CALLS[name](client)).addBoth(lambda _: None)
    (connection, *_) = network.connections
    connection.dataBuffer = bytes(MEGABYTE)
    connection.drop()
    assert not connection.dataBuffer


def test_head_of_each_response_is_counted_by_itself(clock):
    network = Network()
    client = EngineClient(Connections(clock, network), clock)
    headers = "X-A: " + "a" * 10_000 + "\r\n"
    for _ in range(20):
        result = start(client.state("http://127.0.0.1:9", 100.0))
        network.connections[-1].answer(
            b'{"models": {}, "adapters": []}', headers=headers
        )
        assert result.called
        result.addErrback(lambda failure: failure.trap(EngineError, KeyError))
    assert len(network.connections) == 1


class TestStreamThatNobodyReads:
    def test_is_paused_after_few_long_events(self, clock):
        """Guards against 256 buffered events of 1 MB each."""
        stream = EngineStream(clock, 2.0)
        transport = StringTransport()
        stream.makeConnection(transport)
        sent = 0
        while transport.producerState == "producing" and sent < 64 * MEGABYTE:
            stream.dataReceived(b"data: " + b"x" * 500_000 + b"\n\n")
            sent += 500_000
        assert sent < 2 * MEGABYTE

    def test_is_resumed_once_it_was_read(self, clock):
        stream = EngineStream(clock, 2.0)
        transport = StringTransport()
        stream.makeConnection(transport)
        for _ in range(2):
            stream.dataReceived(b"data: " + b"x" * 500_000 + b"\n\n")
        assert transport.producerState == "paused"
        assert len(start(stream.next_events()).result) == 2
        assert transport.producerState == "producing"
