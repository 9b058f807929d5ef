"""Actions under the faults of the action matrix, with more daemons and more callers."""

import importlib.util
from pathlib import Path

import pytest

from chivesaddle.actions import ActionState, OutcomeUnknown


def _load_matrix():
    path = Path(__file__).parents[1] / "actions" / "test_fault_matrix.py"
    spec = importlib.util.spec_from_file_location("action_matrix", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


matrix = _load_matrix()
CELLS = list(dict.fromkeys((step, fault) for step, fault, _, _ in matrix.SCENARIOS))
DAEMONS = 4


@pytest.fixture(scope="session")
def make_world(parts_of):
    return parts_of("actions").World


def strike(world, step, fault):
    point, action = matrix.STEP_FAULTS[fault]
    world.daemons[0].gate.points[step, point] = lambda: action(world)


class TestManyDaemons:
    @pytest.mark.fault(
        "at_most_once", step="{step}", fault="{fault}, four daemons at once"
    )
    @pytest.mark.parametrize(("step", "fault"), CELLS)
    def test_same_key_at_four_daemons_runs_once(self, make_world, step, fault):
        """Guards against callers that send one key to several daemons at a time."""
        for service in matrix.SERVICE_FAULTS:
            world = make_world(DAEMONS)
            strike(world, step, fault)
            if service:
                world.service_faults.append(service)
            for daemon in range(DAEMONS):
                world.run(daemon)
            world.advance(12)
            for daemon in range(1, DAEMONS):
                world.run(daemon)
            world.advance(60)
            world.check()
            world.service_faults.clear()
            world.run_until_final(DAEMONS - 1)
            world.check()


class TestNotRun:
    @pytest.mark.fault("not_run", step="{step}", fault="{fault}")
    @pytest.mark.parametrize(("step", "fault"), CELLS)
    def test_told_not_run_stays_true_and_may_be_repeated(self, make_world, step, fault):
        """Guards against a run after the caller was told that there was none."""
        for service in matrix.SERVICE_FAULTS:
            world = make_world(2)
            strike(world, step, fault)
            if service:
                world.service_faults.append(service)
            first = world.run(0)
            world.advance(12)
            told = first.answer.state if first.answers else None
            if told is ActionState.NOT_RUN:
                assert first.answer.retry_after_s > 0
                assert world.log == []
            world.advance(60)
            world.check()
            if told is not ActionState.NOT_RUN:
                continue
            # Whatever was still on its way by then has not run either.
            assert world.log == []
            world.service_faults.clear()
            assert world.run_until_final().state is ActionState.DONE
            assert len(world.log) == 1
            assert first.number not in world.log

    @pytest.mark.fault("not_run", step="new action", fault="platform {name}")
    @pytest.mark.parametrize("name", ["just out", "out for long", "slow"])
    def test_new_action_in_an_outage_is_refused_with_a_time_to_come_back(
        self, make_world, name
    ):
        """Guards against callers that wait for a platform that will not answer."""
        world = make_world(1)
        if name == "slow":
            world.slow(60)
        else:
            world.outage(60)
        if name == "out for long":
            world.advance(30)
        called_at = world.clock.seconds()
        call = world.run(0, within=10.0)
        if name == "slow":
            world.advance(10)
        else:
            assert call.answered_at == called_at
        assert call.answer.state is ActionState.NOT_RUN
        assert call.answer.retry_after_s > 0
        world.advance(80)
        assert world.log == []

    @pytest.mark.fault("not_run", step="connect", fault="{count} refused connections")
    @pytest.mark.parametrize("count", [1, 2, 5])
    def test_refused_service_is_told_and_recorded(self, make_world, count):
        """Guards against an action in doubt that certainly was not sent."""
        world = make_world(2)
        world.service_faults += ["refused"] * count
        for number in range(count):
            call = world.run(number % 2)
            world.advance(1)
            assert call.answer.state is ActionState.NOT_RUN
        assert world.run_until_final().state is ActionState.DONE
        assert len(world.log) == 1


class TestAgainstDirectCalls:
    """The same inputs to `ActionService` and to a direct call of the service."""

    def direct(self, world, daemon=0, key="key-1", body=b"{}"):
        """Call the service without a record, as a client without chivesaddle does."""
        parts = world.parts
        call = parts.CallersCall(len(world.calls), world.daemons[daemon], 1e9)
        world.calls.append(call)
        service = parts.FakeService(world, call.daemon.gate)

        token = parts.CALL.set(call.number)
        sending = parts.start(service.send("http://booking", "reserve", body, 1e9))
        sending.addBoth(call.answers.append)
        parts.CALL.reset(token)
        return call

    def recorded(self, world, daemon=0, key="key-1", body=b"{}"):
        return world.run(daemon, key=key, body=body)

    @pytest.fixture
    def new_world(self, parts_of):
        def make():
            parts = parts_of("actions")
            world = parts.World(2)
            world.parts = parts
            return world

        return make

    def test_equal_outcomes_without_faults(self, new_world):
        """Guards against an operation that chivesaddle changes, loses or repeats."""
        outcomes = []
        for way in (self.recorded, self.direct):
            world = new_world()
            calls = [way(world, n % 2, key=f"k{n}") for n in range(20)]
            world.advance(1)
            outcomes.append(([c.answer.body for c in calls], world.log))
        assert outcomes[0] == outcomes[1]

    def resend(self, world, way, fault):
        """Send, lose the answer, send again at another daemon."""
        if fault == "answer lost":
            world.service_faults.append("broken_after_run")
            way(world, 0)
            world.advance(1)
        elif fault == "daemon paused":
            world.daemons[0].gate.points["send", "after"] = lambda: world.pause(0, 9)
            way(world, 0)
            world.advance(1)
        elif fault == "daemon killed":
            world.daemons[0].gate.points["send", "after"] = lambda: world.kill(0)
            way(world, 0)
            world.advance(1)
        else:
            way(world, 0)
        way(world, 1)
        world.advance(30)
        return world.log

    @pytest.mark.fault("at_most_once", step="resend", fault="{fault}, against naive")
    @pytest.mark.parametrize(
        "fault", ["answer lost", "daemon paused", "daemon killed", "both at once"]
    )
    def test_direct_call_runs_twice_and_recorded_one_does_not(self, new_world, fault):
        """Shows that the check of one run fails without the record."""
        assert len(self.resend(new_world(), self.direct, fault)) == 2
        assert len(self.resend(new_world(), self.recorded, fault)) == 1

    @pytest.mark.fault("not_run", step="response", fault="broken, against naive")
    def test_direct_call_cannot_tell_what_was_not_run(self, new_world):
        """Shows that a direct caller who takes a failure for not run is wrong."""
        world = new_world()
        world.service_faults.append("broken_after_run")
        call = self.direct(world)
        assert call.answer.check(OutcomeUnknown)
        assert call.number in world.log
        world = new_world()
        world.service_faults.append("broken_after_run")
        recorded = self.recorded(world)
        assert recorded.answer.state is ActionState.IN_DOUBT
