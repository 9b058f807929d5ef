"""Documents that a beacon shows to be missing."""

import pytest

from chivesaddle.fleet import Beacon, Entry

from .conftest import Network, change

WORKING = ["z0-00", "z0-01", "z1-00", "z1-01", "z2-00", "z2-01"]


@pytest.mark.parametrize("late", ["z0-00", "z2-20"])
def test_are_pulled_though_no_update_arrives(network, late):
    """Guards against a daemon that learns of a change by chance only."""
    deliver = network.deliver

    def lose_updates(sender, receiver, message):
        if isinstance(message, Beacon):
            deliver(sender, receiver, message)

    network.deliver = lose_updates
    for name in WORKING:
        if name != late:
            change(network.daemons[name], Entry("main", 5, {"version": 1}))
    network.advance(2.0)
    daemon = network.daemons[late]
    assert daemon.replica.get("main") is not None
    assert daemon.late_kinds == []


def test_are_late_if_a_pull_does_not_bring_them(clock):
    """Guards against a watch that begins its response again, or that hangs for good."""
    daemon = Network(clock, zones=3, per_zone=26).daemons["z2-20"]
    for seconds, late_kinds in ((0.9, []), (1.0, ["config"]), (1.0, ["config"] * 2)):
        for _ in range(round(seconds / 0.1)):
            daemon.catch_up.observe("z0-00", {"config": 9})
            clock.advance(0.1)
        assert daemon.late_kinds == late_kinds


def test_are_not_pulled_if_they_arrive(network):
    """Guards against a load of all daemons at each change."""
    for name in WORKING:
        network.daemons[name].replica.applied_revision = 4
        change(network.daemons[name], Entry("main", 5, {"version": 1}))
    network.advance(5.0)
    assert [d.late_kinds for d in network.daemons.values()] == [[]] * 78


def test_that_do_not_arrive_are_pulled_once_a_second_at_most(network):
    """Guards against a peer that names a progress which it cannot bring."""
    daemon = network.daemons["z2-20"]
    for _ in range(100):
        daemon.catch_up.observe("z0-00", {"config": 9, "unknown": 9})
        network.clock.advance(0.1)
    assert 9 <= len(daemon.pulls) <= 10


def test_of_a_daemon_that_left_the_list_are_not_pulled(network):
    daemon = network.daemons["z2-20"]
    daemon.catch_up.observe("gone", {"config": 9})
    assert daemon.pulls == []


def test_are_told_to_a_working_daemon_by_one_that_sends_no_beacons(network):
    """Guards against an idle daemon that alone knows a version."""
    change(network.daemons["z2-20"], Entry("main", 5, {"version": 1}))
    network.advance(2.5)
    assert all(d.replica.get("main") is not None for d in network.daemons.values())


def test_are_told_a_few_times_to_a_peer_that_stays_behind(clock):
    """Guards against datagrams without end to a peer that needs no document."""
    daemon = Network(clock, zones=3, per_zone=26).daemons["z2-20"]
    change(daemon, Entry("main", 5, {"version": 1}))
    answered = []
    daemon.catch_up._answer = lambda member: answered.append(member.id)
    for _ in range(200):
        daemon.catch_up.observe("z0-00", {"config": 4})
        clock.advance(0.1)
    assert answered == ["z0-00"] * 5
    daemon.catch_up.observe("z0-00", {})
    daemon.catch_up.observe("z0-00", {"config": 5})
    daemon.catch_up.observe("z0-00", {"config": 4})
    assert answered == ["z0-00"] * 6
