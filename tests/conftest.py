import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock


@pytest.fixture
def clock():
    """Virtual clock; time passes only through ``clock.advance``."""
    return Clock()


@pytest.fixture
def run(clock):
    """Run a Twisted coroutine that needs no time to pass and return its result."""

    def run_now(coroutine):
        results = []
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        assert results, "the coroutine waits for time to pass or for another event"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    return run_now
