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

    def test_killed_daemon_becomes_unreachable_and_is_dropped_from_addresses(
        self, fleet
    ):
        fleet.kill(5)
        fleet.advance(10)
        assert fleet.states_seen_by(0)[5] == "unreachable"
        addresses = fleet.daemons[0].peers.address_list(fleet.clock.seconds())
        assert "http://10.0.0.5" not in addresses.urls

    def test_daemons_regain_contact_after_a_partition(self, fleet):
        """Guards against exchanging state with live daemons only."""
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
        """Guards against confirms that never see a majority apply the change."""
        fleet.confirm(3)
        fleet.advance(8)
        revisions_by_daemon_id = fleet.daemons[0].configuration.revisions_by_daemon_id
        assert set(revisions_by_daemon_id.values()) == {3}

    def test_only_zone_readers_read_the_platform(self, fleet):
        """Limits the rate of platform reads to one watch of each kind per zone."""
        fleet.api.calls.clear()
        fleet.advance(10)
        assert fleet.api.calls["get"] == 0
        assert fleet.api.calls["list"] == 0
        assert fleet.api.calls["watch"] <= 3 * 2 * 11

    def test_readings_stay_fresh_on_all_daemons(self, fleet):
        fleet.advance(20)
        ages = [d.freshness.reading_age(fleet.clock.seconds()) for d in fleet.daemons]
        assert max(ages) < 4

    def test_daemon_without_a_zone_reader_reads_the_platform_itself(self, fleet):
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

    def test_a_new_instance_is_known_to_all_daemons(self, fleet):
        value = {"role": "daemon", "zone": "zone-1", "peer_address": "10.0.0.9:7000"}
        fleet.write("instances", "daemon-9", value)
        fleet.advance(3)
        assert all(d.peers.membership.get("daemon-9") for d in fleet.daemons)

    @pytest.mark.parametrize(
        "odd_value",
        [
            "unreadable",
            5,
            ["role"],
            {"role": ["daemon"]},
            {"role": "daemon", "zone": {}},
            {"role": "backend_server", "state": "leaving", "url": []},
        ],
    )
    def test_an_unreadable_instance_hides_no_other(self, fleet, odd_value):
        """Guards against an entry of another writer that ends the watch of the list."""
        listed = []
        fleet.daemons[4].peers.on_instances(listed.append)
        fleet.write("instances", "odd", odd_value)
        fleet.advance(3)
        value = {"role": "daemon", "zone": "zone-1", "peer_address": "10.0.0.9:7000"}
        fleet.write("instances", "daemon-9", value)
        fleet.advance(3)
        assert all(d.peers.membership.get("daemon-9") for d in fleet.daemons)
        assert listed[-1]["odd"] == {}

    def test_a_failing_listener_does_not_end_the_watch(self, fleet):
        """Guards against one unexpected error that hides all later instances."""
        seen = []

        def fail_once(values):
            seen.append(values)
            if len(seen) == 1:
                raise RuntimeError("unexpected")

        fleet.daemons[0].peers.on_instances(fail_once)
        fleet.write("instances", "daemon-8", {"role": "daemon", "zone": "zone-1"})
        fleet.advance(3)
        fleet.write("instances", "daemon-9", {"role": "daemon", "zone": "zone-1"})
        fleet.advance(3)
        assert "daemon-9" in seen[-1]

    def test_pushes_relay_the_lease_version(self, fleet):
        assert fleet.daemons[3].lease.observed == 1


class TestAnnouncements:
    def test_every_daemon_receives_each_report_once(self, fleet):
        reports = [
            CRASHED,
            SuspectRunning("fp", "run-1", "server-1"),
            SuspectStopped("run-1"),
            SuspectCleared("fp", frozenset({"crash-1"})),
        ]
        announced = fleet.daemons[0].peers.announce_suspects(reports)
        assert announced.result == []
        fleet.advance(5)
        assert [d.suspects for d in fleet.daemons[1:]] == [reports] * 5
        assert fleet.daemons[0].suspects == []

    def test_an_unresponsive_peer_is_returned_after_the_deadline(self, fleet):
        fleet.cut_off(5)
        announced = fleet.daemons[0].peers.announce_suspects([CRASHED])
        assert not announced.called
        fleet.advance(1)
        assert announced.result == ["daemon-5"]

    @pytest.mark.parametrize("size", [6, 60])
    def test_a_peer_whose_call_fails_otherwise_is_returned(self, make_fleet, size):
        """Guards against an error that ends the announcement to all others."""
        fleet = make_fleet(size)
        announcer = fleet.daemons[0].peers._announcer
        call = announcer._call

        def break_one(peer, message, deadline):
            if peer.id == "daemon-5":
                raise RuntimeError("a defect in the channel")
            return call(peer, message, deadline)

        announcer._call = break_one
        announced = fleet.daemons[0].peers.announce_suspects([CRASHED])
        fleet.advance(1)
        assert "daemon-5" in announced.result

    def test_a_missed_report_arrives_by_exchange(self, fleet):
        fleet.cut_off(5)
        fleet.daemons[0].peers.announce_suspects([CRASHED])
        fleet.advance(2)
        fleet.cut_off()
        fleet.advance(5)
        assert fleet.daemons[5].suspects == [CRASHED]

    def test_a_daemon_that_was_cut_off_requests_missed_suspects(self, fleet):
        """Guards against a third crash caused by a request whose reports expired."""
        fleet.daemons[1].peers.set_suspect_source(lambda: [CRASHED])
        fleet.cut_off(5)
        fleet.advance(30)
        for daemon in (0, 2, 3, 4):
            fleet.daemons[daemon].peers.set_suspect_source(lambda: [CRASHED])
        fleet.cut_off()
        fleet.advance(10)
        assert CRASHED in fleet.daemons[5].suspects

    def test_in_a_large_fleet_one_daemon_per_zone_forwards(self, make_fleet):
        fleet = make_fleet(size=40, zones=4)
        fleet.daemons[0].peers.announce_suspects([CRASHED])
        fleet.advance(1)
        assert all(d.suspects == [CRASHED] for d in fleet.daemons[1:])


class TestDemand:
    def test_own_demand_is_not_part_of_the_sum(self, fleet):
        for daemon in fleet.daemons:
            daemon.peers.set_demand_source(lambda: {"acc": 10.0})
        fleet.advance(5)
        assert fleet.daemons[0].peers.demand_by_account_id() == {"acc": 50.0}


class TestFleetQueries:
    def test_events_are_ordered_and_missing_daemons_are_listed(self, fleet):
        """Guards against a timeline that silently lacks the events of a daemon."""
        for daemon in reversed(fleet.daemons):
            daemon.events.record(EventKind.REQUEST_ROUTED, request="r-1")
            fleet.advance(0.1)
        fleet.cut_off(4)
        event_filter = EventFilter(request="r-1")
        deadline = fleet.clock.seconds() + 3
        query = start(fleet.daemons[0].peers.collect_events(event_filter, deadline))
        fleet.advance(3)
        collected = query.result
        assert [event.daemon[-1] for event in collected.events] == list("53210")
        assert list(collected.missing_by_daemon_id) == ["daemon-4"]

    def test_status_lists_daemons_that_did_not_respond(self, fleet):
        fleet.kill(2)
        deadline = fleet.clock.seconds() + 3
        query = start(fleet.daemons[0].peers.collect_status(deadline))
        fleet.advance(3)
        assert query.result.responses_by_daemon_id["daemon-1"] == {"id": "daemon-1"}
        assert list(query.result.missing_by_daemon_id) == ["daemon-2"]

    def test_a_malformed_response_counts_as_missing(self, fleet, monkeypatch):
        monkeypatch.setattr(json, "dumps", lambda *args, **kw: "{")
        query = start(fleet.daemons[0].peers.collect_status(1e9))
        assert "daemon-1" in query.result.missing_by_daemon_id


class TestLeaving:
    def test_a_leaving_daemon_is_in_no_address_list(self, fleet):
        fleet.daemons[1].peers.start_leaving()
        now = fleet.clock.seconds()
        for daemon in fleet.daemons:
            assert "http://10.0.0.1" not in daemon.peers.address_list(now).urls

    def test_it_serves_until_the_last_address_list_with_it_expires(self, fleet):
        fleet.daemons[1].peers.start_leaving()
        now = fleet.clock.seconds()
        assert fleet.daemons[1].peers.accept_until == pytest.approx(now + 10)

    def test_it_serves_longer_if_the_announcement_was_missed(self, fleet):
        fleet.cut_off(5)
        now = fleet.clock.seconds()
        fleet.daemons[1].peers.start_leaving()
        fleet.advance(2)
        assert fleet.daemons[1].peers.accept_until == pytest.approx(now + 16)
        fleet.advance(6)
        addresses = fleet.daemons[5].peers.address_list(fleet.clock.seconds())
        assert "http://10.0.0.1" not in addresses.urls


class TestTraffic:
    def test_a_small_fleet_stays_within_the_budget(self, make_fleet):
        """Checks the traffic budget of 2 KB/s per daemon; nine daemons, three zones."""
        fleet = make_fleet(size=9)
        fleet.advance(60)
        rates = [d.traffic.bytes_per_s(fleet.clock.seconds()) for d in fleet.daemons]
        assert max(rates) < 2_000
