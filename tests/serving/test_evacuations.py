"""Evacuations reach all daemons, whatever becomes of the store."""

import logging

import pytest

from chivesaddle.platform import EVACUATIONS_KIND

from .conftest import Daemon, StoreFleet

ZONE = "z1"


def evacuated(fleet):
    return {daemon.servers.is_evacuated(ZONE) for daemon in fleet.daemons}


def restart(fleet, number, has_evacuations=True):
    """Replace a daemon by a new one; without evacuations it is of an old build."""
    own = fleet.daemons[number].own
    fleet.daemons[number].is_down = True
    daemon = Daemon(fleet, own, has_evacuations)
    fleet.daemons[number] = fleet.by_address[own.peers] = daemon
    daemon.start()
    return daemon


@pytest.fixture
def make_fleet(clock):
    def make(size):
        fleet = StoreFleet(clock, size, has_evacuations=True)
        fleet.configure(1)
        fleet.start()
        fleet.advance(6)
        return fleet

    return make


@pytest.fixture
def fleet(make_fleet):
    return make_fleet(3)


class TestDistribution:
    @pytest.mark.parametrize("size", [3, 80])
    def test_entry_and_its_removal_reach_all_daemons(self, make_fleet, size):
        fleet = make_fleet(size)
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.advance(2)
        assert evacuated(fleet) == {True}
        fleet.delete(EVACUATIONS_KIND, ZONE)
        fleet.advance(2)
        assert evacuated(fleet) == {False}

    @pytest.mark.parametrize("size", [3, 80])
    def test_daemon_without_the_store_hears_it_from_a_peer(self, make_fleet, size):
        fleet = make_fleet(size)
        cut = fleet.daemons[1]
        cut.client.is_cut = True
        fleet.advance(1)
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.advance(1.5)
        assert cut.servers.is_evacuated(ZONE)

    def test_last_known_state_stays_while_the_store_is_away(self, fleet):
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.advance(2)
        fleet.go_away(8)
        seen = set()
        fleet.advance(3, lambda: seen.update(evacuated(fleet)))
        assert seen == {True}

    def test_daemon_that_starts_without_the_store_gets_it(self, fleet):
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.advance(2)
        fleet.api.faults.outage = True
        late = restart(fleet, 0)
        # As after a list of the members that the daemon has read before.
        late.members.record_seen(fleet.daemons[1].own.id, "1", 0.0, False)
        late.exchange.pull_from(fleet.daemons[1].own.peers, 0.0)
        late.exchange.pull_from(fleet.daemons[2].own.peers, 0.7)
        fleet.advance(2)
        assert late.servers.is_evacuated(ZONE)

    @pytest.mark.parametrize("size", [3, 80])
    def test_daemons_of_an_old_build_do_no_harm(self, make_fleet, size):
        """They neither watch the kind nor keep what others send of it."""
        fleet = make_fleet(size)
        for number in range(0, len(fleet.daemons), 2):
            restart(fleet, number, has_evacuations=False)
        fleet.advance(6)
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.configure(2)
        fleet.advance(5)
        news = fleet.daemons[1::2]
        assert all(daemon.servers.is_evacuated(ZONE) for daemon in news)
        assert {d.configuration_version for d in fleet.daemons} == {2}
        assert not any(EVACUATIONS_KIND in d.replicas for d in fleet.daemons[::2])


class TestStoreReturnsFromACopy:
    @pytest.mark.parametrize("size", [3, 80])
    def test_entry_that_is_written_again_never_ends(self, make_fleet, size):
        fleet = make_fleet(size)
        copied = fleet.api.take_copy()
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.advance(3)
        fleet.api.restore(copied)
        seen = set()
        fleet.advance(1, lambda: seen.update(evacuated(fleet)))
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.advance(6, lambda: seen.update(evacuated(fleet)))
        assert seen == {True}

    def test_entry_that_is_not_written_again_ends(self, fleet):
        copied = fleet.api.take_copy()
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.advance(3)
        fleet.api.restore(copied)
        fleet.advance(6)
        assert evacuated(fleet) == {False}

    def test_entry_that_is_in_the_copy_counts(self, fleet):
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        copied = fleet.api.take_copy()
        fleet.delete(EVACUATIONS_KIND, ZONE)
        fleet.advance(3)
        fleet.api.restore(copied)
        fleet.advance(3)
        assert evacuated(fleet) == {True}


class TestEntryWithAnInvalidValue:
    """Guards against requests to a zone that an operator believes evacuated."""

    @pytest.mark.parametrize("value", [None, "", "yes", [], 0, 1, False, True])
    def test_counts_and_is_logged_once(self, fleet, caplog, value):
        caplog.set_level(logging.WARNING)
        fleet.write(EVACUATIONS_KIND, ZONE, value)
        fleet.write(EVACUATIONS_KIND, "z2", {"since": 5})
        fleet.advance(3)
        lines = [r for r in caplog.records if "invalid evacuation" in r.getMessage()]
        assert [line.zone for line in lines] == [ZONE] * len(fleet.daemons)
        assert evacuated(fleet) == {True}
        assert all(d.servers.is_evacuated("z2") for d in fleet.daemons)

    @pytest.mark.parametrize("value", [None, "no"])
    def test_does_not_end_an_evacuation_until_it_is_removed(self, fleet, value):
        fleet.write(EVACUATIONS_KIND, ZONE, {})
        fleet.advance(2)
        fleet.write(EVACUATIONS_KIND, ZONE, value)
        fleet.advance(2)
        assert evacuated(fleet) == {True}
        fleet.delete(EVACUATIONS_KIND, ZONE)
        fleet.advance(2)
        assert evacuated(fleet) == {False}

    def test_is_heard_from_a_peer_without_the_store(self, fleet):
        cut = fleet.daemons[1]
        cut.client.is_cut = True
        fleet.advance(1)
        fleet.write(EVACUATIONS_KIND, ZONE, None)
        fleet.advance(3)
        assert evacuated(fleet) == {True}

    def test_is_known_to_a_daemon_that_starts(self, fleet):
        fleet.write(EVACUATIONS_KIND, ZONE, None)
        fleet.advance(2)
        restart(fleet, 2)
        fleet.advance(3)
        assert evacuated(fleet) == {True}
