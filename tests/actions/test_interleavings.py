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
moves = st.lists(
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


def make_move(world, move):
    match move:
        case ("run", daemon, within):
            world.run(daemon, within)
        case ("advance", seconds):
            world.advance(seconds)
        case ("pause_at", daemon, point, seconds):
            points = world.daemons[daemon].gate.points
            points[point] = lambda: world.pause(daemon, seconds)
        case ("pause", daemon, seconds):
            world.pause(daemon, seconds)
        case ("kill_at", daemon, point):
            # The last daemon survives, to be asked at the end.
            if daemon < DAEMONS - 1:
                points = world.daemons[daemon].gate.points
                points[point] = lambda: world.kill(daemon)
        case ("outage", seconds):
            world.outage(seconds)
        case ("outage_at", daemon, point, seconds):
            points = world.daemons[daemon].gate.points
            points[point] = lambda: world.outage(seconds)
        case ("slow", seconds):
            world.slow(seconds)
        case ("lose", fault):
            world.lose(fault)
        case ("service_fault", fault):
            world.service_faults.append(fault)
        case ("other_body", daemon):
            world.run_other_body(daemon)
        case ("resolve", daemon):
            world.resolve_truthfully(daemon)


class TestInterleavings:
    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(moves=moves)
    @pytest.mark.fault(
        "at_most_once", step="any", fault="three daemons, any combination"
    )
    def test_no_interleaving_runs_a_key_twice_or_tells_a_lie(self, make_world, moves):
        """Guards against combinations of faults that the matrix does not list."""
        world = make_world(DAEMONS)
        for move in moves:
            make_move(world, move)
            world.check()
        world.advance(120)
        world.check()
        for daemon in world.daemons:
            daemon.gate.points.clear()
        world.api.faults.writes.clear()
        world.service_faults.clear()
        final = world.run_until_final(DAEMONS - 1)
        if final.state.value == "in_doubt":
            world.resolve_truthfully(DAEMONS - 1)
            final = world.run_until_final(DAEMONS - 1)
        world.check()
        # With everything working again, the action ends with exactly one run.
        assert final.state.value == "done"
        assert len(world.log) == 1
