import pytest

from chivesaddle.fleet import Member
from chivesaddle.fleet.working_set import (
    MAX_UTILIZATION,
    select_working_daemons,
)

LARGE, SMALL = 2.15, 0.25


def members(large, small, zones=3):
    return [
        Member(f"z{zone}-{n:02}", "1", f"z{zone}", f"z{zone}-{n}:80", "", capacity)
        for zone in range(zones)
        for n, capacity in enumerate([LARGE] * large + [SMALL] * small)
    ]


def capacities(chosen, zone="z0"):
    return [member.capacity for member in chosen if member.zone == zone]


class TestSelection:
    def test_two_largest_daemons_of_each_zone_work(self):
        chosen = select_working_daemons(members(2, 24), {}, 10)
        assert all(capacities(chosen, f"z{n}") == [LARGE, LARGE] for n in range(3))

    def test_selection_does_not_depend_on_the_order_of_the_list(self):
        listed = members(3, 20)
        chosen = select_working_daemons(listed, {}, 10)
        assert select_working_daemons(listed[::-1], {}, 10) == chosen

    def test_equally_large_daemons_join_up_to_the_maximum(self):
        assert len(select_working_daemons(members(8, 0), {}, 12)) == 12

    def test_small_daemons_do_not_join_large_ones_without_need(self):
        assert capacities(select_working_daemons(members(1, 5), {}, 30)) == [
            LARGE,
            SMALL,
        ]

    @pytest.mark.parametrize("demand", [0.5, 1.0, 2.0, 2.5])
    def test_large_daemons_alone_carry_what_they_can(self, demand):
        chosen = select_working_daemons(members(2, 24), {"z0": demand}, 10)
        assert capacities(chosen) == [LARGE, LARGE]

    def test_no_daemon_gets_more_than_its_capacity_where_enough_can_join(self):
        """Callers choose with equal probability, so the smallest daemon binds."""
        demand = 0.9
        chosen = select_working_daemons(members(1, 25), {"z0": demand}, 10)
        share = demand / len(capacities(chosen))
        assert share <= MAX_UTILIZATION * SMALL

    def test_overloaded_zone_uses_the_set_with_the_lowest_utilization(self):
        chosen = select_working_daemons(members(2, 1), {"z0": 9.0}, 10)
        assert capacities(chosen) == [LARGE, LARGE]

    def test_ranks_alternate_between_zones(self):
        chosen = select_working_daemons(members(2, 4), {}, 10)
        assert [member.zone for member in chosen[:3]] == ["z0", "z1", "z2"]

    def test_no_candidates_give_no_daemons(self):
        assert select_working_daemons([], {}, 10) == []


class TestFleetOf78:
    """78 daemons of 3 zones, 2 large ones in each, as in the grown deployments."""

    def test_all_daemons_choose_the_same_six(self, network):
        (chosen,) = network.working_sets()
        assert sorted(chosen) == [f"z{z}-0{n}" for z in range(3) for n in range(2)]

    def test_callers_get_the_working_daemons_of_their_zone_from_any_daemon(
        self, network
    ):
        answers = {
            tuple(sorted(daemon.working_set.caller_addresses("z1", True)))
            for daemon in network.daemons.values()
        }
        assert answers == {("z1-00:80", "z1-01:80")}

    @pytest.mark.parametrize("lost", [{"z0-00"}, {"z0-00", "z0-01"}])
    def test_lost_working_daemons_are_replaced_within_four_seconds(self, network, lost):
        network.down |= lost
        network.advance(4)
        (chosen,) = network.working_sets()
        assert not lost & set(chosen)
        assert sum(name.startswith("z0") for name in chosen) >= 2

    def test_replacements_that_are_down_as_well_are_passed_over(self, network):
        """Guards against callers that are sent to daemons that nobody has heard of."""
        down = {name for name in network.daemons if name.startswith("z0")}
        down -= {"z0-20", "z0-21"}
        network.down |= down
        network.advance(40)
        (chosen,) = network.working_sets()
        assert {name for name in chosen if name.startswith("z0")} == {"z0-20", "z0-21"}

    def test_returning_daemon_works_again(self, network):
        network.down = {"z0-00"}
        network.advance(5)
        network.down = set()
        network.advance(4)
        (chosen,) = network.working_sets()
        assert "z0-00" in chosen

    def test_leaving_daemon_is_replaced_at_once(self, network):
        leaving = network.daemons["z2-01"]
        leaving.members.is_leaving = True
        leaving.beacons.announce_leaving()
        network.advance(0.5)
        assert all("z2-01" not in chosen for chosen in network.working_sets())

    def test_demand_that_large_daemons_cannot_carry_brings_in_others(self, network):
        network.down = {"z0-00", "z0-01"}
        for name, daemon in network.daemons.items():
            daemon.cores = 0.2 if name.startswith("z0") else 0.1
        network.advance(10)
        (chosen,) = network.working_sets()
        in_zone = [name for name in chosen if name.startswith("z0")]
        assert len(in_zone) > 2

    def test_daemon_without_contact_works_alone(self, network):
        """A partition must leave callers of a cut-off daemon served by it."""
        cut_off = network.daemons["z1-09"]
        network.down = set(network.daemons) - {"z1-09"}
        network.advance(35)
        assert cut_off.working_set.includes_own
        assert cut_off.watch_role.may_watch()


class TestBeaconsOf78:
    def test_idle_daemons_send_nothing(self, network):
        before = network.daemons["z0-10"].datagrams.sent
        network.advance(5)
        assert network.daemons["z0-10"].datagrams.sent == before

    def test_working_daemon_sends_a_sign_of_life_each_second(self, network):
        before = network.daemons["z0-00"].datagrams.sent
        network.advance(10)
        sent = network.daemons["z0-00"].datagrams.sent - before
        assert sent <= 11 * len(network.daemons)


class TestWatchRole:
    def test_only_working_daemons_watch_the_store(self, network):
        watching = [n for n, d in network.daemons.items() if d.watch_role.may_watch()]
        assert len(watching) == 6

    def test_others_stand_in_where_no_working_daemon_reaches_the_store(self, network):
        for daemon in network.daemons.values():
            daemon.has_store = False
        network.advance(5)
        watching = [n for n, d in network.daemons.items() if d.watch_role.may_watch()]
        assert 10 < len(watching) <= 16

    def test_more_stand_in_as_long_as_the_store_answers_them(self, network):
        """Guards against a fleet whose few stand-ins do not reach the store either."""
        for daemon in network.daemons.values():
            daemon.has_store = False
        network.advance(5)
        assert network.watching() <= 16
        for daemon in network.daemons.values():
            daemon.watch_role._reaches_store = lambda: True
        network.advance(7)
        assert network.watching() >= 26

    def test_report_that_the_store_is_lost_counts_at_once(self, network):
        """Guards against stand-ins that wait until earlier reports are old."""
        network.advance(1)
        assert network.watching() == 6
        for daemon in network.daemons.values():
            daemon.has_store = False
        network.advance(1.1)
        assert network.watching() == 16

    def test_one_working_daemon_that_reaches_the_store_is_enough(self, network):
        for daemon in network.daemons.values():
            daemon.has_store = False
        network.daemons["z0-00"].has_store = True
        network.advance(5)
        watching = [n for n, d in network.daemons.items() if d.watch_role.may_watch()]
        assert len(watching) == 6
