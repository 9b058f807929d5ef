"""Faults of ``tests/actions/test_fault_matrix.py`` with more daemons and callers."""

import importlib.util
from pathlib import Path

import pytest

from chivesaddle.actions import ActionState, OutcomeUnknown


def _import_fault_matrix():
    path = Path(__file__).parents[1] / "actions" / "test_fault_matrix.py"
    spec = importlib.util.spec_from_file_location("action_matrix", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


fault_matrix = _import_fault_matrix()
STEPS_AND_FAULTS = list(
    dict.fromkeys((step, fault) for step, fault, _, _ in fault_matrix.SCENARIOS)
)
DAEMON_COUNT = 4


@pytest.fixture(scope="session")
def make_cluster(import_conftest):
    return import_conftest("actions").SimulatedCluster


def inject_fault(cluster, step, fault):
    point, action = fault_matrix.STEP_FAULTS[fault]
    cluster.daemons[0].gate.points[step, point] = lambda: action(cluster)


class TestManyDaemons:
    @pytest.mark.fault(
        "at_most_once", step="{step}", fault="{fault}, four daemons at once"
    )
    @pytest.mark.parametrize(("step", "fault"), STEPS_AND_FAULTS)
    def test_same_key_at_four_daemons_runs_once(self, make_cluster, step, fault):
        """Guards against a second run when callers send one key to several daemons."""
        for service_fault in fault_matrix.SERVICE_FAULTS:
            cluster = make_cluster(DAEMON_COUNT)
            inject_fault(cluster, step, fault)
            if service_fault:
                cluster.service_faults.append(service_fault)
            for daemon in range(DAEMON_COUNT):
                cluster.run(daemon)
            cluster.advance(12)
            for daemon in range(1, DAEMON_COUNT):
                cluster.run(daemon)
            cluster.advance(60)
            cluster.check()
            cluster.service_faults.clear()
            cluster.run_until_final(DAEMON_COUNT - 1)
            cluster.check()


class TestNotRun:
    @pytest.mark.fault("not_run", step="{step}", fault="{fault}")
    @pytest.mark.parametrize(("step", "fault"), STEPS_AND_FAULTS)
    def test_action_reported_not_run_never_runs_and_can_be_repeated(
        self, make_cluster, step, fault
    ):
        """Guards against an action that runs after its caller was told ``not_run``."""
        for service_fault in fault_matrix.SERVICE_FAULTS:
            cluster = make_cluster(2)
            inject_fault(cluster, step, fault)
            if service_fault:
                cluster.service_faults.append(service_fault)
            first = cluster.run(0)
            cluster.advance(12)
            reported_state = first.answer.state if first.answers else None
            if reported_state is ActionState.NOT_RUN:
                assert first.answer.retry_after_s > 0
                assert cluster.log == []
            cluster.advance(60)
            cluster.check()
            if reported_state is not ActionState.NOT_RUN:
                continue
            # Messages that were still in transit when the caller got its answer
            # didn't run the action either.
            assert cluster.log == []
            cluster.service_faults.clear()
            assert cluster.run_until_final().state is ActionState.DONE
            assert len(cluster.log) == 1
            assert first.number not in cluster.log

    @pytest.mark.fault("not_run", step="new action", fault="platform: {name}")
    @pytest.mark.parametrize("name", ["outage just started", "long outage", "slow"])
    def test_new_action_in_an_outage_is_refused_with_a_retry_time(
        self, make_cluster, name
    ):
        """Guards against callers that wait for a platform that does not respond."""
        cluster = make_cluster(1)
        if name == "slow":
            cluster.slow(60)
        else:
            cluster.outage(60)
        if name == "long outage":
            cluster.advance(30)
        called_at = cluster.clock.seconds()
        call = cluster.run(0, within=10.0)
        if name == "slow":
            cluster.advance(10)
        else:
            assert call.answered_at == called_at
        assert call.answer.state is ActionState.NOT_RUN
        assert call.answer.retry_after_s > 0
        cluster.advance(80)
        assert cluster.log == []

    @pytest.mark.fault("not_run", step="connect", fault="{count} refused connections")
    @pytest.mark.parametrize("count", [1, 2, 5])
    def test_refused_connection_is_reported_as_not_run(self, make_cluster, count):
        """Guards against ``in_doubt`` for an action that was certainly not sent."""
        cluster = make_cluster(2)
        cluster.service_faults += ["refused"] * count
        for number in range(count):
            call = cluster.run(number % 2)
            cluster.advance(1)
            assert call.answer.state is ActionState.NOT_RUN
        assert cluster.run_until_final().state is ActionState.DONE
        assert len(cluster.log) == 1


class TestAgainstDirectCalls:
    """Compares `ActionService` with direct calls of the service on the same inputs."""

    def call_directly(self, cluster, daemon=0, key="key-1", body=b"{}"):
        """Call the service without an action record, as without chivesaddle."""
        actions_conftest = cluster.actions_conftest
        call = actions_conftest.ClientCall(
            len(cluster.calls), cluster.daemons[daemon], 1e9
        )
        cluster.calls.append(call)
        service = actions_conftest.FakeService(cluster, call.daemon.gate)

        token = actions_conftest.CALL.set(call.number)
        sending = actions_conftest.start(
            service.send("http://booking", "reserve", body, 1e9)
        )
        sending.addBoth(call.answers.append)
        actions_conftest.CALL.reset(token)
        return call

    def call_recorded(self, cluster, daemon=0, key="key-1", body=b"{}"):
        return cluster.run(daemon, key=key, body=body)

    @pytest.fixture
    def make_two_daemon_cluster(self, import_conftest):
        def make():
            actions_conftest = import_conftest("actions")
            cluster = actions_conftest.SimulatedCluster(2)
            cluster.actions_conftest = actions_conftest
            return cluster

        return make

    def test_equal_outcomes_without_faults(self, make_two_daemon_cluster):
        """Guards against calls that `ActionService` alters, loses or repeats."""
        outcomes = []
        for send_call in (self.call_recorded, self.call_directly):
            cluster = make_two_daemon_cluster()
            calls = [send_call(cluster, n % 2, key=f"k{n}") for n in range(20)]
            cluster.advance(1)
            outcomes.append(([c.answer.body for c in calls], cluster.log))
        assert outcomes[0] == outcomes[1]

    def resend_at_other_daemon(self, cluster, send_call, fault):
        """Send a call, inject the fault and repeat the call at another daemon.

        Returns the service's log of runs.
        """
        if fault == "answer lost":
            cluster.service_faults.append("broken_after_run")
            send_call(cluster, 0)
            cluster.advance(1)
        elif fault == "daemon paused":
            cluster.daemons[0].gate.points["send", "after"] = lambda: cluster.pause(
                0, 9
            )
            send_call(cluster, 0)
            cluster.advance(1)
        elif fault == "daemon killed":
            cluster.daemons[0].gate.points["send", "after"] = lambda: cluster.kill(0)
            send_call(cluster, 0)
            cluster.advance(1)
        else:
            send_call(cluster, 0)
        send_call(cluster, 1)
        cluster.advance(30)
        return cluster.log

    @pytest.mark.fault(
        "at_most_once", step="resend", fault="{fault}, against a direct call"
    )
    @pytest.mark.parametrize(
        "fault", ["answer lost", "daemon paused", "daemon killed", "both at once"]
    )
    def test_direct_call_runs_twice_and_recorded_call_once(
        self, make_two_daemon_cluster, fault
    ):
        """Shows that the test would detect a second run: direct calls run twice."""
        assert (
            len(
                self.resend_at_other_daemon(
                    make_two_daemon_cluster(), self.call_directly, fault
                )
            )
            == 2
        )
        assert (
            len(
                self.resend_at_other_daemon(
                    make_two_daemon_cluster(), self.call_recorded, fault
                )
            )
            == 1
        )

    @pytest.mark.fault(
        "not_run", step="response", fault="broken, against a direct call"
    )
    def test_direct_call_cannot_tell_what_was_not_run(self, make_two_daemon_cluster):
        """Shows that a failed direct call may have run, unlike one told ``not_run``."""
        cluster = make_two_daemon_cluster()
        cluster.service_faults.append("broken_after_run")
        call = self.call_directly(cluster)
        assert call.answer.check(OutcomeUnknown)
        assert call.number in cluster.log
        cluster = make_two_daemon_cluster()
        cluster.service_faults.append("broken_after_run")
        recorded_call = self.call_recorded(cluster)
        assert recorded_call.answer.state is ActionState.IN_DOUBT
