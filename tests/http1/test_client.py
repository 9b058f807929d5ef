import pytest
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.http1 import Connector, NotSent


@pytest.fixture
def reactor():
    return MemoryReactorClock()


def take_error(deferred):
    error = deferred.result.value
    deferred.addErrback(lambda _: None)
    return error


class TestConnector:
    def test_nested_failure_gives_a_short_message(self, reactor):
        """Guards against a traceback in the log of a daemon that can't start."""
        result = start(Connector(reactor).connect("127.0.0.1:9", 5))
        error = ConnectError(string=str(Failure(ConnectionLost())))
        factory = reactor.tcpClients[0][2]
        factory.clientConnectionFailed(None, Failure(error))
        raised = take_error(result)
        assert isinstance(raised, NotSent)
        assert "Traceback" not in str(raised)
        assert "ConnectError" in str(raised)

    def test_connect_timeout_raises_not_sent(self, reactor):
        result = start(Connector(reactor).connect("127.0.0.1:9", 1))
        reactor.advance(1.1)
        assert isinstance(take_error(result), NotSent)
