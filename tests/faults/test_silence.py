"""Connections that stay open but no longer deliver data, while new ones work."""

import json

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from chivesaddle.actions import NotSent, OutcomeUnknown
from chivesaddle.actions.client import CONNECT_WITHIN_S, TreqServiceClient
from chivesaddle.core.aio import start
from chivesaddle.core.ids import RequestId
from chivesaddle.engines.connections import REUSED_CONNECTION_TIMEOUT_MS
from chivesaddle.peers.service import EXCHANGE_TIMEOUT_S, ROUND_INTERVAL_S

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
def engines_conftest(import_conftest):
    return import_conftest("engines")


@pytest.fixture
def network(engines_conftest):
    return engines_conftest.Network()


@pytest.fixture
def client(engines_conftest, clock, network):
    return engines_conftest.EngineClient(
        engines_conftest.Connections(clock, network), clock
    )


def silence_timeout_s():
    return REUSED_CONNECTION_TIMEOUT_MS / 1_000


class TestEngineConnections:
    @pytest.mark.fault(
        "silence", step="silence timeout", fault="limited by the first token target"
    )
    def test_silence_timeout_leaves_half_of_the_target_for_the_new_connection(self):
        """Guards against a silence timeout that uses up the time to the first token."""
        assert silence_timeout_s() <= FIRST_TOKEN_TARGET_S / 2

    @pytest.mark.fault("silence", step="{name}", fault="reused connection silent")
    @pytest.mark.parametrize("name", CALLS)
    def test_call_is_repeated_on_a_new_connection_within_the_silence_timeout(
        self, client, network, clock, name
    ):
        """Guards against waiting on a silent connection until the call's deadline."""
        start(client.load(URL, 5.0))
        network.connections[0].answer(LOAD)
        pending = CALLS[name](client, 5.0)
        assert len(network.connections) == 1
        clock.advance(silence_timeout_s())
        assert len(network.connections) == 2
        assert network.connections[1].value()
        network.connections[1].answer(LOAD)
        assert not network.connections[0].connected
        pending.addErrback(lambda _: None)

    @pytest.mark.fault("silence", step="{count} idle connections", fault="all silent")
    @pytest.mark.parametrize("count", [1, 2, 4])
    def test_several_silent_connections_cost_one_silence_timeout(
        self, client, network, clock, count
    ):
        """Guards against a retry on another silent connection of the pool."""
        for pending_load in [start(client.load(URL, 5.0)) for _ in range(count)]:
            pending_load.addErrback(lambda _: None)
        for connection in list(network.connections):
            connection.answer(LOAD)
        pending = open_stream(client, 5.0)
        clock.advance(silence_timeout_s())
        assert len(network.connections) == count + 1
        network.connections[-1].answer(b"data: 1\n\n")
        assert start(pending.result.next_event()).result == b"data: 1\n\n"


class TestActions:
    """A call that must not be repeated is written once, on a new connection."""

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

    def send_action(self, reactor, timeout_s=10.0):
        errors = []
        client = TreqServiceClient(reactor)
        sending = start(
            client.send(URL, "reserve", b"{}", reactor.seconds() + timeout_s)
        )
        sending.addErrback(lambda failure: errors.append(failure.value))
        return errors

    @pytest.mark.fault("silence", step="action: connect", fault="never established")
    def test_nothing_is_written_before_the_connection_is_established(self, reactor):
        """Guards against a request that may run although no response can arrive."""
        errors = self.send_action(reactor)
        reactor.advance(10.0)
        assert isinstance(errors[0], NotSent)

    @pytest.mark.fault("silence", step="action: connect", fault="established late")
    def test_connection_established_after_the_connect_timeout_is_dropped(self, reactor):
        """Guards against writing after the connect timeout was reported as not sent."""
        errors = self.send_action(reactor)
        reactor.rightNow = CONNECT_WITHIN_S
        _, transport = self.connect(reactor)
        assert transport.value() == b""
        assert isinstance(errors[0], NotSent)

    @pytest.mark.fault("silence", step="action: response", fault="silent")
    def test_silent_response_is_in_doubt_and_never_repeated(self, reactor):
        """Guards against sending one action twice."""
        errors = self.send_action(reactor)
        _, transport = self.connect(reactor)
        assert transport.value().count(b"POST /operations/reserve") == 1
        reactor.advance(10.0)
        assert isinstance(errors[0], OutcomeUnknown)
        assert len(reactor.tcpClients) == 1

    @pytest.mark.fault("silence", step="action: next call", fault="kept connection")
    def test_next_action_opens_its_own_connection(self, reactor):
        """Guards against an action on a pooled connection that may be silent."""
        self.send_action(reactor)
        self.send_action(reactor)
        assert len(reactor.tcpClients) == 2


class TestPeerConnections:
    @pytest.mark.fault("silence", step="{count} peers", fault="all channels silent")
    @pytest.mark.parametrize("count", [1, 3, 6])
    def test_silent_channels_are_replaced_within_two_rounds(
        self, import_conftest, count
    ):
        """Guards against a daemon that stays unreachable while new connections work."""
        fleet = import_conftest("peers").Fleet()
        for daemon in fleet.daemons[:count]:
            for channel in daemon.channels:
                channel.silent = True
        fleet.network.opened.clear()
        fleet.advance(2 * ROUND_INTERVAL_S + EXCHANGE_TIMEOUT_S)
        assert len({source for source, _ in fleet.network.opened}) >= count
        fleet.advance(4 * ROUND_INTERVAL_S)
        for number in range(6):
            assert fleet.states_seen_by(number) == ["live"] * 6
