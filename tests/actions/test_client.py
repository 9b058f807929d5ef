import pytest
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from chivesaddle.actions import NotSent, OutcomeUnknown, TreqServiceClient
from chivesaddle.actions.client import CONNECT_WITHIN_S, MAX_RESPONSE_BYTES
from chivesaddle.core.aio import start

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbooked!"


class Call:
    """One call of the client over an in-memory connection driven by the test."""

    def __init__(self, deadline=10.0):
        self.reactor = MemoryReactorClock()
        client = TreqServiceClient(self.reactor)
        self.results = []
        start(client.send("http://127.0.0.1:80", "reserve", b"{}", deadline)).addBoth(
            self.results.append
        )
        self.factory = self.reactor.tcpClients[0][2]

    def connect(self):
        self.protocol = self.factory.buildProtocol(None)
        self.transport = StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.protocol.makeConnection(self.transport)

    def break_connection(self):
        self.protocol.connectionLost(Failure(ConnectionLost()))

    def raise_failure(self):
        self.results[0].raiseException()


@pytest.fixture
def call():
    return Call()


class TestTreqServiceClient:
    def test_complete_response_is_the_outcome(self, call):
        call.connect()
        assert call.transport.value().startswith(b"POST /operations/reserve ")
        call.protocol.dataReceived(OK)
        assert call.results[0].body == b"booked!"

    @pytest.mark.fault("not_run", step="connect")
    def test_refused_connection_was_not_sent(self, call):
        call.factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        with pytest.raises(NotSent):
            call.raise_failure()

    @pytest.mark.fault("not_run", step="connect")
    def test_connection_that_is_never_established_was_not_sent(self, call):
        """Guards against unreachable services that leave actions in doubt.

        An operator would have to resolve each of them.
        """
        call.reactor.advance(10)
        with pytest.raises(NotSent):
            call.raise_failure()

    @pytest.mark.fault("at_most_once", step="connect")
    def test_connection_established_too_late_is_not_used(self, call):
        """Guards against a process suspended while connecting that sends later."""
        call.reactor.rightNow += CONNECT_WITHIN_S
        call.connect()
        assert call.transport.value() == b""
        with pytest.raises(NotSent):
            call.raise_failure()

    @pytest.mark.fault("at_most_once", step="response")
    def test_connection_broken_after_writing_leaves_the_outcome_unknown(self, call):
        call.connect()
        call.break_connection()
        with pytest.raises(OutcomeUnknown):
            call.raise_failure()

    @pytest.mark.fault("at_most_once", step="response")
    def test_incomplete_response_at_the_deadline_leaves_the_outcome_unknown(self, call):
        call.connect()
        call.protocol.dataReceived(OK[:30])
        call.reactor.advance(10)
        with pytest.raises(OutcomeUnknown):
            call.raise_failure()

    @pytest.mark.fault("at_most_once", step="response")
    def test_truncated_response_leaves_the_outcome_unknown(self, call):
        """Guards against recording a truncated response as the outcome."""
        call.connect()
        call.protocol.dataReceived(OK[:-2])
        call.break_connection()
        with pytest.raises(OutcomeUnknown):
            call.raise_failure()

    def test_response_too_large_for_a_record_leaves_the_outcome_unknown(self, call):
        call.connect()
        size = MAX_RESPONSE_BYTES + 1
        header = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        call.protocol.dataReceived(header + bytes(size))
        call.break_connection()
        with pytest.raises(OutcomeUnknown):
            call.raise_failure()

    @pytest.mark.fault("silence", step="action")
    def test_each_call_has_its_own_connection(self, call):
        """Guards against sending an action on an unresponsive connection."""
        call.connect()
        call.protocol.dataReceived(OK)
        assert call.transport.disconnecting
