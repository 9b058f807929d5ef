"""Configurations that reach daemons late, without a network."""

import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import with_deadline
from chivesaddle.fleet import Update
from chivesaddle.objects.memory import MemoryClient
from chivesaddle.platform import SERVERS_KIND

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


class TestLostAnswers:
    @pytest.mark.parametrize("size", [3, *BOUND_BY_SIZE_S])
    def test_to_all_daemons_hide_no_server_that_drains(
        self, store_fleet, size, clock, monkeypatch
    ):
        """Guards against watches of a kind that all daemons wait for in vain."""
        wait_for_changes = MemoryClient.wait_for_changes
        loses_answers = False

        async def wait(client, kind, *, after, deadline):
            changes = await wait_for_changes(
                client, kind, after=after, deadline=deadline
            )
            if loses_answers and kind == SERVERS_KIND:
                await with_deadline(clock, deadline, Deferred(), "watch")
            return changes

        monkeypatch.setattr(MemoryClient, "wait_for_changes", wait)
        fleet = store_fleet(size)
        fleet.advance(20.0)
        # The users count daemons some time after a disturbance, and allow another time
        # for a server's end.
        stable_s, drain_s = (4.0, 3.0) if size == 78 else (3.0, 2.0)
        for number in range(6):
            name = f"s{number}"
            loses_answers = True
            fleet.put_server(name)
            fleet.advance(0.3)
            loses_answers = False
            fleet.advance(stable_s)
            fleet.put_server(name, state="draining")
            fleet.advance(drain_s)
            entries = [d.replicas[SERVERS_KIND].get(name) for d in fleet.daemons]
            assert {e and e.value["state"] for e in entries} == {"draining"}


class TestSilentStore:
    """Guards against daemons that only know what silent watches of others tell."""

    @pytest.fixture
    def silence(self, clock, monkeypatch):
        """Return a function that makes the store silent to some daemons."""
        silent = set()

        def hang(name):
            call = getattr(MemoryClient, name)

            async def wait(client, *args, deadline, **kwargs):
                result = await call(client, *args, deadline=deadline, **kwargs)
                if client in silent:
                    await with_deadline(clock, deadline, Deferred(), name)
                return result

            monkeypatch.setattr(MemoryClient, name, wait)

        for name in ("list_objects", "wait_for_changes"):
            hang(name)

        def begin(daemons):
            silent.update(daemon.client for daemon in daemons)

        return begin

    @pytest.mark.parametrize("silent_s", [0.5, 4.0, 20.0])
    def test_to_all_daemons_but_one_holds_up_no_version(self, fleet, silence, silent_s):
        fleet.advance(20.0)
        silence(fleet.daemons[:-1])
        fleet.advance(silent_s)
        assert [late_daemons(fleet, version) for version in range(2, 6)] == [[]] * 4

    def test_to_the_working_daemons_holds_up_no_version(self, store_fleet, silence):
        fleet = store_fleet(78)
        fleet.advance(20.0)
        silence([d for d in fleet.daemons if d.working_set.includes_own])
        assert [late_daemons(fleet, version) for version in range(2, 6)] == [[]] * 4

    def test_to_the_working_daemons_holds_up_no_server_entry(
        self, store_fleet, silence
    ):
        """Guards against a draining server that gets requests until watches end."""
        fleet = store_fleet(78)
        fleet.put_server("s1")
        fleet.advance(20.0)
        silence([d for d in fleet.daemons if d.working_set.includes_own])
        # Watches of the working daemons end within 3 s, and their peers hear of that.
        fleet.advance(6.0)
        fleet.put_server("s1", state="draining")
        fleet.advance(2.0)
        entries = [d.replicas[SERVERS_KIND].get("s1") for d in fleet.daemons]
        assert {entry.value["state"] for entry in entries} == {"draining"}
