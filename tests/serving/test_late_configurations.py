"""Configurations that reach daemons late, without a network."""

import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import with_deadline
from chivesaddle.fleet import Update
from chivesaddle.objects.memory import MemoryClient

from .conftest import Daemon

# The users' `config_propagation_ms`: of small deployments, and of large ones.
BOUND_BY_SIZE_S = {9: 2.0, 78: 3.0}


@pytest.fixture(params=BOUND_BY_SIZE_S)
def fleet(request, store_fleet):
    return store_fleet(request.param)


def late_daemons(fleet, version):
    """Write a version; return the daemons that do not have it within the bound."""
    fleet.configure(version)
    fleet.advance(BOUND_BY_SIZE_S[len(fleet.daemons)])
    return [d.own.id for d in fleet.daemons if d.configuration_version != version]


class TestLostDatagrams:
    def test_daemons_without_a_watch_get_a_version_in_time(self, fleet, monkeypatch):
        """Guards against lost updates that only random exchanges make up for."""
        send = Daemon.send

        def lose_updates(self, message, receivers):
            if not isinstance(message, Update):
                send(self, message, receivers)

        monkeypatch.setattr(Daemon, "send", lose_updates)
        assert [late_daemons(fleet, version) for version in range(2, 12)] == [[]] * 10


class TestHungWatches:
    @pytest.mark.parametrize("ran_for_s", [0.0, 3.0, 9.0])
    @pytest.mark.parametrize("size", BOUND_BY_SIZE_S)
    def test_of_all_daemons_do_not_hold_up_versions_after_a_silence_of_the_store(
        self, store_fleet, size, ran_for_s, clock, monkeypatch
    ):
        """Guards against watches that the store will never answer."""
        wait_for_changes = MemoryClient.wait_for_changes
        forgets_before = 0.0

        async def wait(client, kind, *, after, deadline):
            began_at = clock.seconds()
            changes = await wait_for_changes(
                client, kind, after=after, deadline=deadline
            )
            if began_at < forgets_before:
                await with_deadline(clock, deadline, Deferred(), "watch")
            return changes

        monkeypatch.setattr(MemoryClient, "wait_for_changes", wait)
        fleet = store_fleet(size)
        fleet.advance(ran_for_s)
        forgets_before = clock.seconds() + 2.0
        # The users count daemons from 4 s after a disturbance on.
        fleet.advance(2.0 + 4.0)
        assert [late_daemons(fleet, version) for version in range(2, 6)] == [[]] * 4
