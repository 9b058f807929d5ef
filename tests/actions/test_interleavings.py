import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

DAEMONS = 3
POINTS = [
    (step, point)
    for step in ("prepared", "sending", "send", "done", "not_run", "in_doubt", "read")
    for point in ("before", "after")
]
daemon = st.integers(0, DAEMONS - 1)
seconds = st.sampled_from([0.25, 1.0, 6.0, 16.0, 40.0])
fault = st.sampled_from(
    ["refused", "lost_before_effect", "lost_after_effect", "delayed"]
)
service_fault = st.sampled_from(
    ["refused", "broken_before_run", "broken_after_run", "silent", "slow"]
)
operations = st.lists(
    st.one_of(
        st.tuples(st.just("run"), daemon, st.sampled_from([0.5, 3.0, 10.0, 30.0])),
        st.tuples(st.just("advance"), seconds),
        st.tuples(st.just("pause_at"), daemon, st.sampled_from(POINTS), seconds),
        st.tuples(st.just("pause"), daemon, seconds),
        st.tuples(st.just("kill_at"), daemon, st.sampled_from(POINTS)),
        st.tuples(st.just("outage"), seconds),
        st.tuples(st.just("outage_at"), daemon, st.sampled_from(POINTS), seconds),
        st.tuples(st.just("slow"), seconds),
        st.tuples(st.just("lose"), fault),
        st.tuples(st.just("service_fault"), service_fault),
        st.tuples(st.just("other_body"), daemon),
        st.tuples(st.just("resolve"), daemon),
    ),
    min_size=4,
    max_size=24,
)


def apply_operation(cluster, operation):
    match operation:
        case ("run", daemon, within):
            cluster.run(daemon, within)
        case ("advance", seconds):
            cluster.advance(seconds)
        case ("pause_at", daemon, point, seconds):
            points = cluster.daemons[daemon].gate.points
            points[point] = lambda: cluster.pause(daemon, seconds)
        case ("pause", daemon, seconds):
            cluster.pause(daemon, seconds)
        case ("kill_at", daemon, point):
            # The last daemon is never killed; it returns the final result.
            if daemon < DAEMONS - 1:
                points = cluster.daemons[daemon].gate.points
                points[point] = lambda: cluster.kill(daemon)
        case ("outage", seconds):
            cluster.outage(seconds)
        case ("outage_at", daemon, point, seconds):
            points = cluster.daemons[daemon].gate.points
            points[point] = lambda: cluster.outage(seconds)
        case ("slow", seconds):
            cluster.slow(seconds)
        case ("lose", fault):
            cluster.add_write_fault(fault)
        case ("service_fault", fault):
            cluster.service_faults.append(fault)
        case ("other_body", daemon):
            cluster.run_with_other_body(daemon)
        case ("resolve", daemon):
            cluster.resolve_from_log(daemon)


class TestInterleavings:
    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(operations=operations)
    @pytest.mark.fault(
        "at_most_once", step="any", fault="three daemons, any combination"
    )
    def test_interleavings_run_a_key_at_most_once_with_correct_results(
        self, make_cluster, operations
    ):
        """Guards against combinations of faults that the matrix does not list."""
        cluster = make_cluster(DAEMONS)
        for operation in operations:
            apply_operation(cluster, operation)
            cluster.check()
        cluster.advance(120)
        cluster.check()
        for daemon in cluster.daemons:
            daemon.gate.points.clear()
        cluster.api.faults.writes.clear()
        cluster.service_faults.clear()
        final = cluster.run_until_final(DAEMONS - 1)
        if final.state.value == "in_doubt":
            cluster.resolve_from_log(DAEMONS - 1)
            final = cluster.run_until_final(DAEMONS - 1)
        cluster.check()
        # After all faults are over, the action ends with exactly one run.
        assert final.state.value == "done"
        assert len(cluster.log) == 1
