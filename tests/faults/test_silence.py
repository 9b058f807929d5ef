"""Connections that fall silent for good while new ones work."""

import json

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from chivesaddle.actions import NotSent, OutcomeUnknown
from chivesaddle.actions.client import CONNECT_WITHIN_S, TreqServiceClient
from chivesaddle.core.aio import start
from chivesaddle.core.ids import RequestId
from chivesaddle.engines.connections import SILENCE_MS
from chivesaddle.peers.service import EXCHANGE_WITHIN_S, ROUND_S

FIRST_TOKEN_TARGET_S = 0.36
URL = "http://127.0.0.1:1"
LOAD = json.dumps(
    {
        "running": 0,
        "queued": 0,
        "max_running": 4,
        "prefill_tokens_per_s": 1.0,
        "decode_tokens_per_s": 1.0,
        "state": "serving",
    }
).encode()


def open_stream(client, deadline):
    body = {"request_id": "r"}
    return start(client.open_stream(URL, "/v1/completions", body, deadline))


CALLS = {
    "completion": open_stream,
    "load": lambda client, deadline: start(client.load(URL, deadline)),
    "state": lambda client, deadline: start(client.state(URL, deadline)),
    "cancel": lambda client, deadline: start(
        client.cancel(URL, RequestId("r"), "5a", deadline)
    ),
    "order": lambda client, deadline: start(
        client.order(URL, 1, "set_role", {"role": "x"}, deadline)
    ),
    "export": lambda client, deadline: start(
        client.export(URL, "http://s", "5a", [], deadline)
    ),
}


@pytest.fixture
def parts(parts_of):
    return parts_of("engines")


@pytest.fixture
def network(parts):
    return parts.Network()


@pytest.fixture
def client(parts, clock, network):
    return parts.EngineClient(parts.Connections(clock, network), clock)


def bound():
    return SILENCE_MS / 1_000


class TestEngineConnections:
    @pytest.mark.fault("silence", step="bound", fault="derived from the target")
    def test_bound_leaves_half_of_the_target_for_the_new_connection(self):
        """Guards against a bound that grows beyond what the target allows."""
        assert bound() <= FIRST_TOKEN_TARGET_S / 2

    @pytest.mark.fault("silence", step="{name}", fault="reused connection silent")
    @pytest.mark.parametrize("name", CALLS)
    def test_call_is_repeated_on_a_new_connection_within_the_bound(
        self, client, network, clock, name
    ):
        """Guards against any call that waits for a silent connection to its end."""
        start(client.load(URL, 5.0))
        network.connections[0].answer(LOAD)
        waiting = CALLS[name](client, 5.0)
        assert len(network.connections) == 1
        clock.advance(bound())
        assert not network.connections[0].connected
        assert len(network.connections) == 2
        assert network.connections[1].value()
        waiting.addErrback(lambda _: None)

    @pytest.mark.fault("silence", step="{count} idle ones", fault="all silent")
    @pytest.mark.parametrize("count", [1, 2, 4])
    def test_several_silent_connections_cost_one_bound(
        self, client, network, clock, count
    ):
        """Guards against a repeat that takes another silent connection of the pool."""
        for call in [start(client.load(URL, 5.0)) for _ in range(count)]:
            call.addErrback(lambda _: None)
        for connection in list(network.connections):
            connection.answer(LOAD)
        waiting = open_stream(client, 5.0)
        clock.advance(bound())
        assert len(network.connections) == count + 1
        network.connections[-1].answer(b"data: 1\n\n")
        assert start(waiting.result.next_event()).result == b"data: 1\n\n"


class TestActions:
    """A call that must not repeat is written once, on a connection just opened."""

    @pytest.fixture
    def reactor(self):
        return MemoryReactorClock()

    def connect(self, reactor, number=0):
        factory = reactor.tcpClients[number][2]
        protocol = factory.buildProtocol(None)
        transport = StringTransport()
        transport.abortConnection = transport.loseConnection
        protocol.makeConnection(transport)
        return protocol, transport

    def outcome(self, reactor, deadline=10.0):
        caught = []
        client = TreqServiceClient(reactor)
        sending = start(
            client.send(URL, "reserve", b"{}", reactor.seconds() + deadline)
        )
        sending.addErrback(lambda failure: caught.append(failure.value))
        return caught

    @pytest.mark.fault("silence", step="action: connect", fault="never established")
    def test_connection_that_is_not_proved_alive_is_not_written(self, reactor):
        """Guards against a call that may run although nobody heard the answer."""
        caught = self.outcome(reactor)
        reactor.advance(10.0)
        assert isinstance(caught[0], NotSent)

    @pytest.mark.fault("silence", step="action: connect", fault="established late")
    def test_connection_established_after_the_bound_is_dropped(self, reactor):
        """Guards against writing on a connection that is no longer just proved."""
        caught = self.outcome(reactor)
        reactor.rightNow = CONNECT_WITHIN_S
        _, transport = self.connect(reactor)
        assert transport.value() == b""
        assert isinstance(caught[0], NotSent)

    @pytest.mark.fault("silence", step="action: response", fault="silent")
    def test_silent_response_is_in_doubt_and_never_repeated(self, reactor):
        """Guards against a second write for one action."""
        caught = self.outcome(reactor)
        _, transport = self.connect(reactor)
        assert transport.value().count(b"POST /operations/reserve") == 1
        reactor.advance(10.0)
        assert isinstance(caught[0], OutcomeUnknown)
        assert len(reactor.tcpClients) == 1

    @pytest.mark.fault("silence", step="action: next call", fault="kept connection")
    def test_next_action_opens_its_own_connection(self, reactor):
        """Guards against an action on a pooled connection that may be silent."""
        self.outcome(reactor)
        self.outcome(reactor)
        assert len(reactor.tcpClients) == 2


class TestPeerConnections:
    @pytest.mark.fault("silence", step="{count} peers", fault="all channels silent")
    @pytest.mark.parametrize("count", [1, 3, 6])
    def test_silent_channels_are_replaced_within_two_rounds(self, parts_of, count):
        """Guards against a daemon that stays lost while new connections work."""
        fleet = parts_of("peers").Fleet()
        for daemon in fleet.daemons[:count]:
            for channel in daemon.channels:
                channel.silent = True
        fleet.network.opened.clear()
        fleet.advance(2 * ROUND_S + EXCHANGE_WITHIN_S)
        assert len({source for source, _ in fleet.network.opened}) >= count
        fleet.advance(4 * ROUND_S)
        for number in range(6):
            assert fleet.states_seen_by(number) == ["live"] * 6
