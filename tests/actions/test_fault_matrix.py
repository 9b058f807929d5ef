"""Every fault at every step of an action, alone and with a second daemon.

`SCENARIOS` is the table fault x step. Run this file as a program to print it with the
answer of the first caller, the final answer and the number of runs.
"""

import itertools

import pytest

PLATFORM_STEPS = ("prepared", "sending", "done", "not_run", "in_doubt")
ALL_STEPS = (*PLATFORM_STEPS, "send", "read")


def _lose(kind):
    return lambda world: world.lose(kind)


def _lose_then_outage(kind):
    def apply(world):
        world.lose(kind)
        # The outage starts after the write itself was carried out.
        world.clock.callLater(0, world.outage, 20)
        world.daemons[0].gate.points["read", "before"] = lambda: world.outage(20)

    return apply


# Fault -> (point of the step, action).
STEP_FAULTS = {
    "refused": ("before", _lose("refused")),
    "lost_before_effect": ("before", _lose("lost_before_effect")),
    "lost_after_effect": ("before", _lose("lost_after_effect")),
    "delayed": ("before", _lose("delayed")),
    "lost_before_then_outage": ("before", _lose_then_outage("lost_before_effect")),
    "lost_after_then_outage": ("before", _lose_then_outage("lost_after_effect")),
    "delayed_then_outage": ("before", _lose_then_outage("delayed")),
    "outage_before": ("before", lambda world: world.outage(20)),
    "outage_after": ("after", lambda world: world.outage(20)),
    "outage_in_between": (
        "before",
        lambda world: world.clock.callLater(0, world.outage, 20),
    ),
    "slow": ("before", lambda world: world.slow(20)),
    "paused_6s_before": ("before", lambda world: world.pause(0, 6)),
    "paused_6s_after": ("after", lambda world: world.pause(0, 6)),
    "paused_40s_before": ("before", lambda world: world.pause(0, 40)),
    "paused_40s_after": ("after", lambda world: world.pause(0, 40)),
    "killed_before": ("before", lambda world: world.kill(0)),
    "killed_after": ("after", lambda world: world.kill(0)),
}
ANY_STEP_FAULTS = {
    name: fault
    for name, fault in STEP_FAULTS.items()
    if name.startswith(("outage", "paused", "killed"))
}
# The service's fault decides which of the last writes is reached.
SERVICE_FAULTS = (
    None,
    "refused",
    "broken_before_run",
    "broken_after_run",
    "silent",
    "slow",
)
COMPETITORS = ("none", "at_once", "later")

SCENARIOS = [
    (step, fault, service, competitor)
    for step, service, competitor in itertools.product(
        ALL_STEPS, SERVICE_FAULTS, COMPETITORS
    )
    for fault in (STEP_FAULTS if step in PLATFORM_STEPS else ANY_STEP_FAULTS)
]


def play(world, step, fault, service, competitor):
    """Run one scenario; return the first caller's answer and the final one."""
    point, action = STEP_FAULTS[fault]
    gate = world.daemons[0].gate
    gate.points[step, point] = lambda: action(world)
    if service:
        world.service_faults.append(service)
    first = world.run(0)
    if competitor == "at_once":
        world.run(1)
    world.advance(2)
    if competitor == "later":
        for _ in range(10):
            world.run(1, within=2.0)
            world.advance(2.25)
            world.check()
    world.advance(30)
    world.check()
    # A late holder is back, and the platform and the service work again.
    world.service_faults.clear()
    world.advance(40)
    final = world.run_until_final()
    world.check()
    return first, final


@pytest.mark.fault("at_most_once", step="{step}", fault="{fault}")
@pytest.mark.parametrize(
    ("step", "fault"), list(dict.fromkeys((s, f) for s, f, _, _ in SCENARIOS))
)
class TestFaultMatrix:
    def test_runs_at_most_once_and_callers_are_told_the_truth(
        self, make_world, step, fault
    ):
        """Guards against a second run, a run after not_run, and unanswered callers."""
        for service, competitor in itertools.product(SERVICE_FAULTS, COMPETITORS):
            world = make_world()
            first, final = play(world, step, fault, service, competitor)
            if not world.daemons[0].gate.killed:
                assert first.answers, (service, competitor)
            if final.state.value == "done":
                assert world.log, (service, competitor)
            # A recorded outcome repeats, through both daemons.
            again = world.run(1)
            world.advance(1)
            assert again.answer == final, (service, competitor)


def print_matrix():
    """Print the table with what happened in each scenario."""
    from conftest import World

    for step, fault, service, competitor in SCENARIOS:
        world = World()
        first, final = play(world, step, fault, service, competitor)
        told = first.answer.state.value if first.answer else "-"
        print(
            f"{step:9} {fault:24} {service or '-':18} {competitor:8} "
            f"first={told:9} final={final.state.value:9} runs={len(world.log)}"
        )


if __name__ == "__main__":
    print_matrix()
