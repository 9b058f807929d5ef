import json

import pytest

from chivesaddle.core.aio import start
from chivesaddle.core.events import EventFilter, EventKind
from chivesaddle.routing import (
    SuspectCleared,
    SuspectCrashed,
    SuspectRunning,
    SuspectStopped,
)

CRASHED = SuspectCrashed("fp", "crash-1", "server-1", "daemon-0", 1.5)


class TestMembership:
    def test_every_daemon_sees_every_other_as_live(self, fleet):
        for number in range(6):
            assert fleet.states_seen_by(number) == ["live"] * 6

    def test_killed_daemon_becomes_unreachable_and_leaves_the_addresses(self, fleet):
        fleet.kill(5)
        fleet.advance(10)
        assert fleet.states_seen_by(0)[5] == "unreachable"
        answer = fleet.daemons[0].peers.address_answer(fleet.clock.seconds())
        assert "http://10.0.0.5" not in answer.urls

    def test_daemons_find_each_other_again_after_a_partition(self, fleet):
        """Guards against exchanging with live daemons only."""
        fleet.cut_off(0, 3)
        fleet.advance(20)
        assert fleet.states_seen_by(0)[1] == "unreachable"
        fleet.cut_off()
        fleet.advance(20)
        assert fleet.states_seen_by(0) == ["live"] * 6

    def test_a_changed_state_is_recorded_as_an_event(self, fleet):
        fleet.kill(5)
        fleet.advance(10)
        changes = fleet.daemons[0].events.select(EventFilter(object="daemon-5"))
        assert changes[-1].detail == {"state": "unreachable"}


class TestRelay:
    def test_a_change_reaches_every_daemon_within_nine_seconds(self, fleet):
        fleet.confirm(3)
        fleet.advance(5)
        assert [d.configuration.revision for d in fleet.daemons] == [3] * 6

    def test_revisions_of_peers_are_reported(self, fleet):
        """Guards against confirms that never learn that a majority has the change."""
        fleet.confirm(3)
        fleet.advance(8)
        known = fleet.daemons[0].configuration.revisions_by_daemon_id
        assert set(known.values()) == {3}

    def test_only_zone_readers_read_the_platform(self, fleet):
        """Guards the platform's rate of reads: one watch of each kind per zone."""
        fleet.api.calls.clear()
        fleet.advance(10)
        assert fleet.api.calls["get"] == 0
        assert fleet.api.calls["list"] == 0
        assert fleet.api.calls["watch"] <= 3 * 2 * 11

    def test_readings_stay_fresh_everywhere(self, fleet):
        fleet.advance(20)
        ages = [d.freshness.reading_age(fleet.clock.seconds()) for d in fleet.daemons]
        assert max(ages) < 4

    def test_a_lost_reader_is_bridged_by_direct_readings(self, fleet):
        fleet.kill(0)
        fleet.cut_off(0, 1, 2, 4, 5)
        fleet.confirm(7)
        fleet.advance(8)
        assert fleet.daemons[3].configuration.revision == 7
        assert fleet.daemons[3].freshness.is_confirmed(fleet.clock.seconds())

    def test_an_outage_is_recorded_and_ends(self, fleet):
        fleet.api.faults.outage = True
        fleet.advance(10)
        assert all(d.freshness.failures for d in fleet.daemons)
        assert not fleet.daemons[4].freshness.is_confirmed(fleet.clock.seconds())
        fleet.api.faults.outage = False
        fleet.advance(5)
        assert fleet.daemons[4].freshness.is_confirmed(fleet.clock.seconds())

    def test_a_new_instance_is_known_everywhere(self, fleet):
        value = {"role": "daemon", "zone": "zone-1", "peer_address": "10.0.0.9:7000"}
        fleet.write("instances", "daemon-9", value)
        fleet.advance(3)
        assert all(d.peers.membership.get("daemon-9") for d in fleet.daemons)

    def test_pushes_tell_the_lease_about_its_holder(self, fleet):
        assert fleet.daemons[3].lease.observed == 1


class TestAnnouncements:
    def test_every_daemon_is_told_once(self, fleet):
        news = [
            CRASHED,
            SuspectRunning("fp", "run-1", "server-1"),
            SuspectStopped("run-1"),
            SuspectCleared("fp", frozenset({"crash-1"})),
        ]
        told = fleet.daemons[0].peers.announce_suspects(news)
        assert told.result == []
        fleet.advance(5)
        assert [d.suspects for d in fleet.daemons[1:]] == [news] * 5
        assert fleet.daemons[0].suspects == []

    def test_a_silent_peer_is_named_after_the_deadline(self, fleet):
        fleet.cut_off(5)
        told = fleet.daemons[0].peers.announce_suspects([CRASHED])
        assert not told.called
        fleet.advance(1)
        assert told.result == ["daemon-5"]

    def test_a_missed_report_arrives_by_exchange(self, fleet):
        fleet.cut_off(5)
        fleet.daemons[0].peers.announce_suspects([CRASHED])
        fleet.advance(2)
        fleet.cut_off()
        fleet.advance(5)
        assert fleet.daemons[5].suspects == [CRASHED]

    def test_a_daemon_that_was_cut_off_asks_what_it_missed(self, fleet):
        """Guards against a third crash after announcements expired unseen."""
        fleet.daemons[1].peers.set_suspect_source(lambda: [CRASHED])
        fleet.cut_off(5)
        fleet.advance(30)
        for daemon in (0, 2, 3, 4):
            fleet.daemons[daemon].peers.set_suspect_source(lambda: [CRASHED])
        fleet.cut_off()
        fleet.advance(10)
        assert CRASHED in fleet.daemons[5].suspects

    def test_a_large_fleet_is_told_through_one_daemon_per_zone(self, make_fleet):
        fleet = make_fleet(size=40, zones=4)
        fleet.daemons[0].peers.announce_suspects([CRASHED])
        fleet.advance(1)
        assert all(d.suspects == [CRASHED] for d in fleet.daemons[1:])


class TestDemand:
    def test_others_demand_is_summed_without_the_own(self, fleet):
        for daemon in fleet.daemons:
            daemon.peers.set_demand_source(lambda: {"acc": 10.0})
        fleet.advance(5)
        assert fleet.daemons[0].peers.demand_by_account_id() == {"acc": 50.0}


class TestCollecting:
    def test_events_of_all_daemons_are_ordered_and_missing_ones_named(self, fleet):
        """Guards against a time line that silently lacks a daemon."""
        for daemon in reversed(fleet.daemons):
            daemon.events.record(EventKind.REQUEST_ROUTED, request="r-1")
            fleet.advance(0.1)
        fleet.cut_off(4)
        wanted = EventFilter(request="r-1")
        deadline = fleet.clock.seconds() + 3
        collecting = start(fleet.daemons[0].peers.collect_events(wanted, deadline))
        fleet.advance(3)
        found = collecting.result
        assert [event.daemon[-1] for event in found.events] == list("53210")
        assert list(found.missing_by_daemon_id) == ["daemon-4"]

    def test_status_names_daemons_that_did_not_answer(self, fleet):
        fleet.kill(2)
        deadline = fleet.clock.seconds() + 3
        collecting = start(fleet.daemons[0].peers.collect_status(deadline))
        fleet.advance(3)
        assert collecting.result.answers_by_daemon_id["daemon-1"] == {"id": "daemon-1"}
        assert list(collecting.result.missing_by_daemon_id) == ["daemon-2"]

    def test_an_unreadable_answer_counts_as_missing(self, fleet, monkeypatch):
        monkeypatch.setattr(json, "dumps", lambda *args, **kw: "{")
        collecting = start(fleet.daemons[0].peers.collect_status(1e9))
        assert "daemon-1" in collecting.result.missing_by_daemon_id


class TestLeaving:
    def test_a_leaving_daemon_is_named_in_no_answer(self, fleet):
        fleet.daemons[1].peers.start_leaving()
        now = fleet.clock.seconds()
        for daemon in fleet.daemons:
            assert "http://10.0.0.1" not in daemon.peers.address_answer(now).urls

    def test_it_serves_until_the_last_answer_that_named_it_expired(self, fleet):
        fleet.daemons[1].peers.start_leaving()
        now = fleet.clock.seconds()
        assert fleet.daemons[1].peers.serve_until == pytest.approx(now + 10)

    def test_it_serves_longer_if_the_announcement_was_missed(self, fleet):
        fleet.cut_off(5)
        now = fleet.clock.seconds()
        fleet.daemons[1].peers.start_leaving()
        fleet.advance(2)
        assert fleet.daemons[1].peers.serve_until == pytest.approx(now + 16)
        fleet.advance(6)
        answer = fleet.daemons[5].peers.address_answer(fleet.clock.seconds())
        assert "http://10.0.0.1" not in answer.urls


class TestTraffic:
    def test_a_small_fleet_stays_within_the_budget(self, make_fleet):
        """Guards the budget of 2 KB/s for nine daemons in three zones."""
        fleet = make_fleet(size=9)
        fleet.advance(60)
        rates = [d.traffic.bytes_per_s(fleet.clock.seconds()) for d in fleet.daemons]
        assert max(rates) < 2_000
