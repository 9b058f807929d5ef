"""Every fault at every step of an action, with one daemon and with two.

`SCENARIOS` lists the combinations of step and fault. Run this file as a program to
print each with the first caller's result, the final result and the number of runs.
"""

import itertools

import pytest

PLATFORM_STEPS = ("prepared", "sending", "done", "not_run", "in_doubt")
ALL_STEPS = (*PLATFORM_STEPS, "send", "read")


def _write_fault(kind):
    return lambda cluster: cluster.add_write_fault(kind)


def _write_fault_then_outage(kind):
    def apply(cluster):
        cluster.add_write_fault(kind)
        # The outage starts after the write has been processed.
        cluster.clock.callLater(0, cluster.outage, 20)
        cluster.daemons[0].gate.points["read", "before"] = lambda: cluster.outage(20)

    return apply


# Fault -> (point of the step, function that injects the fault).
STEP_FAULTS = {
    "refused": ("before", _write_fault("refused")),
    "lost_before_effect": ("before", _write_fault("lost_before_effect")),
    "lost_after_effect": ("before", _write_fault("lost_after_effect")),
    "delayed": ("before", _write_fault("delayed")),
    "lost_before_then_outage": (
        "before",
        _write_fault_then_outage("lost_before_effect"),
    ),
    "lost_after_then_outage": ("before", _write_fault_then_outage("lost_after_effect")),
    "delayed_then_outage": ("before", _write_fault_then_outage("delayed")),
    "outage_before": ("before", lambda cluster: cluster.outage(20)),
    "outage_after": ("after", lambda cluster: cluster.outage(20)),
    "outage_in_between": (
        "before",
        lambda cluster: cluster.clock.callLater(0, cluster.outage, 20),
    ),
    "slow": ("before", lambda cluster: cluster.slow(20)),
    "paused_6s_before": ("before", lambda cluster: cluster.pause(0, 6)),
    "paused_6s_after": ("after", lambda cluster: cluster.pause(0, 6)),
    "paused_40s_before": ("before", lambda cluster: cluster.pause(0, 40)),
    "paused_40s_after": ("after", lambda cluster: cluster.pause(0, 40)),
    "killed_before": ("before", lambda cluster: cluster.kill(0)),
    "killed_after": ("after", lambda cluster: cluster.kill(0)),
}
ANY_STEP_FAULTS = {
    name: fault
    for name, fault in STEP_FAULTS.items()
    if name.startswith(("outage", "paused", "killed"))
}
# The fault of the service decides which of the final states is written.
SERVICE_FAULTS = (
    None,
    "refused",
    "broken_before_run",
    "broken_after_run",
    "silent",
    "slow",
)
SECOND_DAEMON_CALLS = ("none", "at_once", "later")

SCENARIOS = [
    (step, fault, service, second_daemon)
    for step, service, second_daemon in itertools.product(
        ALL_STEPS, SERVICE_FAULTS, SECOND_DAEMON_CALLS
    )
    for fault in (STEP_FAULTS if step in PLATFORM_STEPS else ANY_STEP_FAULTS)
]


def run_scenario(cluster, step, fault, service, second_daemon):
    """Run one scenario; return the first call and the final result."""
    point, action = STEP_FAULTS[fault]
    gate = cluster.daemons[0].gate
    gate.points[step, point] = lambda: action(cluster)
    if service:
        cluster.service_faults.append(service)
    first = cluster.run(0)
    if second_daemon == "at_once":
        cluster.run(1)
    cluster.advance(2)
    if second_daemon == "later":
        for _ in range(10):
            cluster.run(1, within=2.0)
            cluster.advance(2.25)
            cluster.check()
    cluster.advance(30)
    cluster.check()
    # By the end of this time a paused holder has resumed and all faults are over.
    cluster.service_faults.clear()
    cluster.advance(40)
    final = cluster.run_until_final()
    cluster.check()
    return first, final


@pytest.mark.fault("at_most_once", step="{step}", fault="{fault}")
@pytest.mark.parametrize(
    ("step", "fault"), list(dict.fromkeys((s, f) for s, f, _, _ in SCENARIOS))
)
class TestFaultMatrix:
    def test_runs_at_most_once_and_callers_get_correct_results(
        self, make_cluster, step, fault
    ):
        """Guards against a second run, a run after not_run and calls without result."""
        for service, second_daemon in itertools.product(
            SERVICE_FAULTS, SECOND_DAEMON_CALLS
        ):
            cluster = make_cluster()
            first, final = run_scenario(cluster, step, fault, service, second_daemon)
            if not cluster.daemons[0].gate.killed:
                assert first.answers, (service, second_daemon)
            if final.state.value == "done":
                assert cluster.log, (service, second_daemon)
            # The other daemon returns the same recorded outcome.
            again = cluster.run(1)
            cluster.advance(1)
            assert again.answer == final, (service, second_daemon)


def print_matrix():
    """Print each scenario with its results and number of runs."""
    from conftest import SimulatedCluster

    for step, fault, service, second_daemon in SCENARIOS:
        cluster = SimulatedCluster()
        first, final = run_scenario(cluster, step, fault, service, second_daemon)
        first_state = first.answer.state.value if first.answer else "-"
        print(
            f"{step:9} {fault:24} {service or '-':18} {second_daemon:8} "
            f"first={first_state:9} final={final.state.value:9} runs={len(cluster.log)}"
        )


if __name__ == "__main__":
    print_matrix()
