import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock


@pytest.fixture
def clock():
    """Return a virtual clock; only ``clock.advance`` advances its time."""
    return Clock()


@pytest.fixture
def run(clock):
    """Return a function that runs a Twisted coroutine and returns its result.

    The coroutine must finish without the virtual time advancing.
    """

    def run_coroutine(coroutine):
        results = []
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        assert results, "the coroutine waits for time to pass or for another event"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    return run_coroutine
