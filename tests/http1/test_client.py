import pytest
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.http1 import Connector, NotSent


@pytest.fixture
def reactor():
    return MemoryReactorClock()


def failed(deferred):
    error = deferred.result.value
    deferred.addErrback(lambda _: None)
    return error


class TestConnector:
    def test_failure_that_quotes_another_one_gives_a_short_message(self, reactor):
        """Guards against a traceback in the log of a daemon that cannot start."""
        result = start(Connector(reactor).connect("127.0.0.1:9", 5))
        error = ConnectError(string=str(Failure(ConnectionLost())))
        factory = reactor.tcpClients[0][2]
        factory.clientConnectionFailed(None, Failure(error))
        found = failed(result)
        assert isinstance(found, NotSent)
        assert "Traceback" not in str(found)
        assert "ConnectError" in str(found)

    def test_connection_that_does_not_open_in_time_was_not_used(self, reactor):
        result = start(Connector(reactor).connect("127.0.0.1:9", 1))
        reactor.advance(1.1)
        assert isinstance(failed(result), NotSent)
