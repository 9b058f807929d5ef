import pytest

from chivesaddle.actions import (
    ActionNotFound,
    ActionNotInDoubt,
    ActionService,
    ActionState,
    IdempotencyKeyRequired,
    IdempotencyKeyReused,
    Resolution,
    ServiceUnavailable,
    UnknownOperation,
)
from chivesaddle.core.model import Operation, Service
from chivesaddle.core.objects import PlatformUnavailable
from chivesaddle.objects.memory import MemoryObjectApi

ACCOUNT, KEY = "acc-1", "key-1"
SERVICE = Service(
    id="booking", urls=("http://10.0.0.1",), operations=(Operation(name="reserve"),)
)


@pytest.fixture
def cluster(make_cluster):
    return make_cluster()


def lookup(cluster, run, daemon=1):
    return run(cluster.daemons[daemon].actions.lookup(ACCOUNT, KEY))


def resolve(cluster, run, state, attempt, body=b"", daemon=1):
    found = Resolution(state, attempt, 200, body)
    return run(cluster.daemons[daemon].actions.resolve(ACCOUNT, KEY, found, "op-1"))


def put_in_doubt(cluster):
    cluster.service_faults.append("broken_before_run")
    return cluster.run().answer


class TestRun:
    def test_action_takes_three_writes_and_no_read(self, cluster):
        """Guards against more load on the platform per action."""
        assert cluster.run().answer.body == b"reserved 1"
        assert cluster.api.calls == {"create": 1, "update": 2}

    def test_unresponsive_platform_refuses_at_once_without_a_call(self, clock, run):
        """Guards against callers that wait for two call timeouts of the platform."""
        api = MemoryObjectApi(clock)
        actions = ActionService(
            api,
            None,
            clock,
            "d1",
            {"booking": SERVICE}.get,
            is_platform_responsive=lambda: False,
        )
        result = run(actions.run(ACCOUNT, KEY, "booking", "reserve", b"{}", 10.0))
        assert (result.state, result.status) == (ActionState.NOT_RUN, 503)
        assert result.retry_after_s and not api.calls

    def test_other_daemon_returns_the_recorded_outcome(self, cluster):
        first = cluster.run(0)
        assert cluster.run(1).answer == first.answer
        assert len(cluster.log) == 1

    def test_other_body_under_the_same_key_is_rejected(self, cluster):
        cluster.run(0)
        assert isinstance(cluster.run_with_other_body(1).answer, IdempotencyKeyReused)

    def test_missing_key_is_rejected(self, cluster):
        assert isinstance(cluster.run(key="").answer, IdempotencyKeyRequired)

    def test_unknown_operation_is_rejected(self, cluster):
        assert isinstance(cluster.run(operation="fly").answer, UnknownOperation)

    @pytest.mark.fault("not_run", step="before the record")
    def test_outage_returns_not_run_at_once(self, cluster):
        cluster.outage(60)
        call = cluster.run()
        assert (call.answer.code, call.answer.status) == ("not_run", 503)
        assert call.answer.retry_after_s

    @pytest.mark.fault("not_run", step="read of the record")
    def test_unreadable_record_of_another_attempt_is_not_reported_as_not_run(
        self, cluster
    ):
        """Guards against a caller that retries a completed action under a new key."""
        cluster.run(0)
        gate = cluster.daemons[1].gate
        gate.points["prepared", "after"] = lambda: cluster.outage(20)
        assert cluster.run(1).answer.state is ActionState.IN_DOUBT


class TestOtherHolders:
    def test_prepared_is_replaced_five_seconds_after_it_was_first_seen(self, cluster):
        cluster.daemons[0].gate.points["prepared", "after"] = lambda: cluster.kill(0)
        cluster.run(0)
        first = cluster.run(1).answer
        assert (first.code, first.retry_after_s) == ("action_in_progress", 5.0)
        cluster.advance(4.75)
        assert cluster.run(1).answer.state is ActionState.PREPARED
        cluster.advance(0.25)
        assert cluster.run(1).answer.state is ActionState.DONE

    def test_sending_becomes_in_doubt_after_fifteen_seconds(self, cluster):
        cluster.daemons[0].gate.points["sending", "after"] = lambda: cluster.kill(0)
        cluster.run(0)
        assert cluster.run(1).answer.status == 409
        cluster.advance(14.75)
        assert cluster.run(1).answer.state is ActionState.SENDING
        cluster.advance(0.25)
        assert cluster.run(1).answer.state is ActionState.IN_DOUBT

    @pytest.mark.fault("at_most_once", step="after the outcome")
    def test_late_response_replaces_in_doubt_with_done(self, cluster, run):
        cluster.service_faults.append("slow")
        late = cluster.run(0, within=30)
        cluster.advance(1)
        lookup(cluster, run)
        cluster.advance(15)
        assert lookup(cluster, run).state is ActionState.IN_DOUBT
        cluster.advance(10)
        assert lookup(cluster, run) == late.answer
        assert late.answer.state is ActionState.DONE

    @pytest.mark.fault("at_most_once", step="send")
    def test_holder_paused_after_its_update_does_not_send(self, cluster, run):
        """Guards against a second run after a correct resolution by an operator."""
        gate = cluster.daemons[0].gate
        gate.points["sending", "after"] = lambda: cluster.pause(0, 60)
        cluster.run(0, within=100)
        lookup(cluster, run)
        cluster.advance(15)
        seen = lookup(cluster, run)
        resolve(cluster, run, ActionState.NOT_RUN, seen.attempt)
        assert cluster.run(1).answer.state is ActionState.DONE
        cluster.advance(60)
        cluster.check()


class TestBackgroundRecording:
    @pytest.mark.parametrize(
        ("fault", "state"),
        [(None, "done"), ("refused", "not_run"), ("broken_after_run", "in_doubt")],
    )
    def test_holder_records_the_outcome_after_an_outage(
        self, cluster, run, fault, state
    ):
        """Guards against operators having to resolve outcomes that the holder knows."""
        cluster.service_faults.append(fault)
        gate = cluster.daemons[0].gate
        gate.points[state, "before"] = lambda: cluster.outage(60)
        call = cluster.run(0)
        cluster.advance(2)
        expected = {"done": "done"}.get(state, "in_doubt")
        assert call.answer.state.value == expected
        cluster.advance(70)
        assert lookup(cluster, run).state.value == state

    @pytest.mark.fault("not_run", step="sending")
    def test_update_with_unknown_outcome_is_in_doubt_then_not_run(self, cluster, run):
        gate = cluster.daemons[0].gate
        gate.points["sending", "before"] = lambda: cluster.add_write_fault(
            "lost_after_effect"
        )
        gate.points["read", "before"] = lambda: cluster.outage(60)
        assert cluster.run(0).answer.state is ActionState.IN_DOUBT
        cluster.advance(70)
        assert lookup(cluster, run).state is ActionState.NOT_RUN

    def test_holder_returns_the_same_outcome_before_it_is_recorded(self, cluster):
        cluster.daemons[0].gate.points["done", "before"] = lambda: cluster.outage(60)
        first = cluster.run(0)
        cluster.advance(3)
        assert cluster.run(0).answer == first.answer

    def test_close_waits_for_running_attempts_but_not_for_the_platform(self, cluster):
        cluster.service_faults.append("slow")
        cluster.run(0, within=30)
        closing = cluster.close(0)
        cluster.advance(10)
        assert not closing.called
        cluster.outage(600)
        cluster.advance(15)
        assert closing.called


class TestResolve:
    def test_outcome_from_an_operator_is_returned_to_retries(self, cluster, run):
        attempt = put_in_doubt(cluster).attempt
        resolve(cluster, run, ActionState.DONE, attempt, b"reserved by phone")
        assert cluster.run(0).answer.body == b"reserved by phone"
        assert cluster.log == []

    def test_same_resolution_twice_is_idempotent(self, cluster, run):
        attempt = put_in_doubt(cluster).attempt
        first = resolve(cluster, run, ActionState.DONE, attempt, b"x")
        assert resolve(cluster, run, ActionState.DONE, attempt, b"x") == first

    @pytest.mark.fault("not_run", step="resolve")
    def test_resolution_of_an_older_attempt_is_rejected(self, cluster, run):
        """Guards against a delayed resolution that applies to a newer attempt."""
        attempt = put_in_doubt(cluster).attempt
        resolve(cluster, run, ActionState.NOT_RUN, attempt)
        cluster.service_faults.append("broken_after_run")
        assert cluster.run(1).answer.state is ActionState.IN_DOUBT
        with pytest.raises(ActionNotInDoubt):
            resolve(cluster, run, ActionState.NOT_RUN, attempt)

    def test_done_action_cannot_be_resolved(self, cluster, run):
        attempt = cluster.run().answer.attempt
        with pytest.raises(ActionNotInDoubt):
            resolve(cluster, run, ActionState.NOT_RUN, attempt)

    @pytest.mark.fault("not_run", step="resolve")
    def test_late_outcome_replaces_a_wrong_not_run_resolution(self, cluster, run):
        """Guards against a second run after a wrong resolution by an operator."""
        cluster.service_faults.append("slow")
        cluster.run(0, within=30)
        cluster.advance(1)
        lookup(cluster, run)
        cluster.advance(15)
        seen = lookup(cluster, run)
        resolve(cluster, run, ActionState.NOT_RUN, seen.attempt)
        cluster.advance(10)
        assert cluster.run(1).answer.body == b"reserved 1"
        assert len(cluster.log) == 1


class TestLookup:
    def test_unknown_key_is_not_found(self, cluster, run):
        with pytest.raises(ActionNotFound):
            lookup(cluster, run)

    def test_outage_is_reported(self, cluster, run):
        cluster.outage(5)
        with pytest.raises(PlatformUnavailable):
            lookup(cluster, run)


class TestRepeatableOperations:
    def test_need_neither_key_nor_record(self, cluster):
        assert cluster.run(key="", operation="check").answer.status == 200
        assert not cluster.api.calls

    def test_are_retried_up_to_the_limit(self, cluster):
        cluster.service_faults += ["refused", "broken_before_run"]
        assert cluster.run(operation="check").answer.status == 200
        cluster.service_faults += ["refused"] * 3
        assert isinstance(cluster.run(operation="check").answer, ServiceUnavailable)
        assert cluster.service_faults == []

    def test_unresponsive_instance_leaves_time_for_another_try(self, cluster):
        cluster.service_faults.append("silent")
        call = cluster.run(operation="check", within=9)
        cluster.advance(3)
        assert call.answer.status == 200
