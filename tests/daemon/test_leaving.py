from types import SimpleNamespace

import pytest

from chivesaddle.core.events import EventRing
from chivesaddle.daemon.leaving import LeavingServers


@pytest.fixture
def router():
    leaving = set()
    return SimpleNamespace(
        is_leaving=leaving.__contains__,
        mark_leaving=leaving.add,
        set_listed_leaving=leaving.update,
    )


class TestLeavingServers:
    def test_a_draining_server_is_announced_once(self, router):
        """Guards against announcing a draining server after every poll."""
        announced = []
        leaving = LeavingServers(router, announced.append, EventRing("d1"))
        for _ in range(2):
            router.mark_leaving("a")
            leaving.announce_new(["a", "b"])
        assert [report.server for report in announced] == ["a"]

    def test_a_server_reported_by_a_peer_is_not_announced_again(self, router):
        """Guards against every daemon repeating each announcement to all others."""
        announced = []
        leaving = LeavingServers(router, announced.append, EventRing("d1"))
        leaving.record_peer_report("a", "peer")
        leaving.announce_new(["a"])
        assert announced == [] and router.is_leaving("a")
