"""Configuration under faults of the platform, the network and the daemons."""

import pytest

from chivesaddle.configuration import PlanOutdated
from chivesaddle.objects.memory import WriteFault

OTHER_DAEMONS = (1, 2, 3, 4, 5)
FAULTS = {
    "platform unreachable from the confirming daemon": lambda fleet: (
        fleet.disconnect_platform(0)
    ),
    "platform unreachable from one other daemon": lambda fleet: (
        fleet.disconnect_platform(4)
    ),
    "platform unreachable from the other daemons": lambda fleet: (
        fleet.disconnect_platform(*OTHER_DAEMONS)
    ),
    "platform outage": lambda fleet: fleet.start_platform_outage(),
    "confirming daemon isolated from peers": lambda fleet: fleet.partition(0),
    "one other daemon isolated from peers": lambda fleet: fleet.partition(4),
    "peers split into two halves": lambda fleet: fleet.partition(0, 1, 2),
    "confirming daemon isolated from platform and peers": lambda fleet: (
        fleet.disconnect_platform(0),
        fleet.partition(0),
    ),
    "minority isolated from platform and peers": lambda fleet: (
        fleet.disconnect_platform(1, 4),
        fleet.partition(1, 4),
    ),
    "majority isolated from platform and peers": lambda fleet: (
        fleet.disconnect_platform(1, 2, 4, 5),
        fleet.partition(1, 2, 4, 5),
    ),
    "platform outage and minority isolated": lambda fleet: (
        fleet.start_platform_outage(),
        fleet.partition(1, 4),
    ),
    "platform outage and zone of the confirming daemon isolated": lambda fleet: (
        fleet.start_platform_outage(),
        fleet.partition(0, 3),
    ),
    "Push calls lost": lambda fleet: fleet.network.blocked_methods.add("Push"),
    "Exchange calls lost": lambda fleet: fleet.network.blocked_methods.add("Exchange"),
    "calls to one other daemon lost": lambda fleet: fleet.block_incoming_calls(4),
    "calls to a zone lost": lambda fleet: (
        fleet.block_incoming_calls(1),
        fleet.block_incoming_calls(4),
    ),
    "GetChanges calls lost": lambda fleet: fleet.network.blocked_methods.add(
        "GetChanges"
    ),
    "confirming daemon killed": lambda fleet: fleet.kill(0),
    "zone reader restarted": lambda fleet: fleet.restart(1),
    "confirming daemon restarted": lambda fleet: fleet.restart(0),
    "majority restarted": lambda fleet: [fleet.restart(n) for n in (2, 3, 4, 5)],
    "write answer lost before effect": lambda fleet: fleet.api.faults.writes.append(
        WriteFault.LOST_BEFORE_EFFECT
    ),
    "write answer lost after effect": lambda fleet: fleet.api.faults.writes.append(
        WriteFault.LOST_AFTER_EFFECT
    ),
    "write takes effect late": lambda fleet: fleet.api.faults.writes.append(
        WriteFault.DELAYED
    ),
}
STEPS = {
    "before the change": None,
    "before the plan is written": ("before", "create", "config-changes"),
    "before the plan is read back": ("before", "get", "config-changes"),
    "before the head is created": ("before", "create", "config"),
    "before the head is updated": ("before", "update", "config"),
    "after the head is updated": ("after", "update", "config"),
    "3 s after the start": 3.0,
    "7 s after the start": 7.0,
}


# A write fault affects one write, so it is injected only at a write step.
STEPS_AND_FAULTS = [
    (step, name)
    for name in FAULTS
    for step, call_point in STEPS.items()
    if not name.startswith("write") or isinstance(call_point, tuple)
]


def inject_fault(fleet, step, fault):
    """Inject a fault at a step of daemon 0's next configuration change."""
    match STEPS[step]:
        case None:
            fault(fleet)
        case tuple() as call_point:
            fleet.daemons[0].api.hooks[call_point] = lambda: fault(fleet)
        case seconds:
            fleet.clock.callLater(seconds, fault, fleet)


class TestConfigurationFaults:
    @pytest.mark.fault("configuration", step="{step}", fault="{name}")
    @pytest.mark.parametrize(("step", "name"), STEPS_AND_FAULTS)
    def test_accepted_change_is_applied_within_nine_seconds_and_kept(
        self, make_configured_fleet, step, name
    ):
        """Guards against a daemon that serves without applying an accepted change."""
        fleet = make_configured_fleet()
        if step != "before the head is created":
            fleet.submit_change(3, "first")
            fleet.advance(3)
            assert fleet.changes[0].accepted_at is not None
        inject_fault(fleet, step, FAULTS[name])
        fleet.submit_change(0, "second")
        fleet.advance(12)
        # Another daemon submits a change while the fault lasts.
        fleet.submit_change(5, "third")
        fleet.advance(6)
        fleet.clear_faults()
        fleet.advance(10)
        last_change = fleet.submit_change(2, "fourth")
        fleet.advance(5)
        assert last_change.accepted_at is not None
        now = fleet.clock.seconds()
        assert all(daemon.freshness.is_confirmed(now) for daemon in fleet.daemons)
        final_state = fleet.daemons[0].active_config.state
        assert all(
            daemon.active_config.state == final_state for daemon in fleet.daemons
        )
        accepted_names = {
            change.name for change in fleet.changes if change.accepted_at is not None
        }
        assert accepted_names <= set(final_state.stores_by_id)

    @pytest.mark.fault(
        "configuration",
        step="{start_delay_s} s, {second_operator}",
        fault="concurrent operators",
    )
    @pytest.mark.parametrize("start_delay_s", [0.0, 0.1, 2.0])
    @pytest.mark.parametrize("second_operator", ["same daemon", "other daemon"])
    def test_one_of_two_racing_operators_wins(
        self, make_configured_fleet, start_delay_s, second_operator
    ):
        """Guards against a change that overwrites one that its plan did not show."""
        fleet = make_configured_fleet()
        api_client = fleet.daemons[0].api
        other_daemon = 0 if second_operator == "same daemon" else 4
        # The second operator confirms just before the first one writes the head.
        api_client.hooks["before", "create", "config"] = lambda: fleet.submit_change(
            other_daemon, "b"
        )
        fleet.clock.callLater(start_delay_s, fleet.submit_change, 0, "a")
        fleet.advance(6)
        refused_changes = [change for change in fleet.changes if change.error]
        assert len(fleet.changes) == 2
        assert [type(change.error) for change in refused_changes] == [PlanOutdated]
        assert len(fleet.daemons[1].active_config.state.stores_by_id) == 1
