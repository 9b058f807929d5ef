"""Configuration under faults of the platform, the network and the daemons."""

import pytest

from chivesaddle.configuration import PlanOutdated
from chivesaddle.objects import WriteFault

OTHERS = (1, 2, 3, 4, 5)
FAULTS = {
    "platform cut off from the confirming daemon": lambda f: f.cut_platform(0),
    "platform cut off from one other daemon": lambda f: f.cut_platform(4),
    "platform cut off from the other daemons": lambda f: f.cut_platform(*OTHERS),
    "platform out for everybody": lambda f: f.outage(),
    "peers cut off from the confirming daemon": lambda f: f.partition(0),
    "peers cut off from one other daemon": lambda f: f.partition(4),
    "half of the peers cut off": lambda f: f.partition(0, 1, 2),
    "confirming daemon cut off from both": lambda f: (
        f.cut_platform(0),
        f.partition(0),
    ),
    "minority cut off from both": lambda f: (f.cut_platform(1, 4), f.partition(1, 4)),
    "majority cut off from both": lambda f: (
        f.cut_platform(1, 2, 4, 5),
        f.partition(1, 2, 4, 5),
    ),
    "platform out and minority cut off": lambda f: (f.outage(), f.partition(1, 4)),
    "platform out and the rest cut off": lambda f: (f.outage(), f.partition(0, 3)),
    "pushes to the zone lost": lambda f: f.network.lost.add("Push"),
    "exchange lost": lambda f: f.network.lost.add("Exchange"),
    "calls to one other daemon lost": lambda f: f.deafen(4),
    "calls to a zone lost": lambda f: (f.deafen(1), f.deafen(4)),
    "changes lost": lambda f: f.network.lost.add("GetChanges"),
    "confirming daemon killed": lambda f: f.kill(0),
    "zone reader restarted": lambda f: f.restart(1),
    "confirming daemon restarted": lambda f: f.restart(0),
    "majority restarted": lambda f: [f.restart(n) for n in (2, 3, 4, 5)],
    "write answer lost before effect": lambda f: f.api.faults.writes.append(
        WriteFault.LOST_BEFORE_EFFECT
    ),
    "write answer lost after effect": lambda f: f.api.faults.writes.append(
        WriteFault.LOST_AFTER_EFFECT
    ),
    "write takes effect late": lambda f: f.api.faults.writes.append(WriteFault.DELAYED),
}
STEPS = {
    "before the plan": None,
    "plan written": ("before", "create", "config-changes"),
    "plan read back": ("before", "get", "config-changes"),
    "head first written": ("before", "create", "config"),
    "head written": ("before", "update", "config"),
    "after the head": ("after", "update", "config"),
    "3 s later": 3.0,
    "7 s later": 7.0,
}


# A fault of one write is placed at the write.
CELLS = [
    (step, name)
    for name in FAULTS
    for step, point in STEPS.items()
    if not name.startswith("write") or isinstance(point, tuple)
]


def strike(fleet, step, fault):
    """Let a fault happen at a step of daemon 0's next change."""
    match STEPS[step]:
        case None:
            fault(fleet)
        case tuple() as point:
            fleet.daemons[0].api.at[point] = lambda: fault(fleet)
        case seconds:
            fleet.clock.callLater(seconds, fault, fleet)


class TestConfigurationFaults:
    @pytest.mark.fault("configuration", step="{step}", fault="{name}")
    @pytest.mark.parametrize(("step", "name"), CELLS)
    def test_accepted_change_is_in_force_within_nine_seconds_and_stays(
        self, make_configured_fleet, step, name
    ):
        """Guards against a daemon that serves without an accepted change."""
        fleet = make_configured_fleet()
        if step != "head first written":
            fleet.change(3, "first")
            fleet.advance(3)
            assert fleet.operators[0].accepted_at is not None
        strike(fleet, step, FAULTS[name])
        fleet.change(0, "second")
        fleet.advance(12)
        # A second change through another daemon, in the middle of the fault.
        fleet.change(5, "third")
        fleet.advance(6)
        fleet.heal()
        fleet.advance(10)
        last = fleet.change(2, "fourth")
        fleet.advance(5)
        assert last.accepted_at is not None
        now = fleet.clock.seconds()
        assert all(d.freshness.is_confirmed(now) for d in fleet.daemons)
        final = fleet.daemons[0].holder.state
        assert all(d.holder.state == final for d in fleet.daemons)
        kept = {o.name for o in fleet.operators if o.accepted_at is not None}
        assert kept <= set(final.stores_by_id)

    @pytest.mark.fault(
        "configuration", step="{first}, {second}", fault="operators race"
    )
    @pytest.mark.parametrize("first", [0.0, 0.1, 2.0])
    @pytest.mark.parametrize("second", ["same daemon", "other daemon"])
    def test_one_of_two_racing_operators_wins(
        self, make_configured_fleet, first, second
    ):
        """Guards against a change that overwrites one its plan did not show."""
        fleet = make_configured_fleet()
        link = fleet.daemons[0].api
        other = 0 if second == "same daemon" else 4
        # The second operator confirms while the first is about to write the head.
        link.at["before", "create", "config"] = lambda: fleet.change(other, "b")
        fleet.clock.callLater(first, fleet.change, 0, "a")
        fleet.advance(6)
        refused = [o for o in fleet.operators if o.refused]
        assert len(fleet.operators) == 2
        assert [type(o.refused) for o in refused] == [PlanOutdated]
        assert len(fleet.daemons[1].holder.state.stores_by_id) == 1
