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
from chivesaddle.objects import MemoryObjectApi

ACCOUNT, KEY = "acc-1", "key-1"
SERVICE = Service(
    id="booking", urls=("http://10.0.0.1",), operations=(Operation(name="reserve"),)
)


@pytest.fixture
def world(make_world):
    return make_world()


def lookup(world, run, daemon=1):
    return run(world.daemons[daemon].actions.lookup(ACCOUNT, KEY))


def resolve(world, run, state, attempt, body=b"", daemon=1):
    found = Resolution(state, attempt, 200, body)
    return run(world.daemons[daemon].actions.resolve(ACCOUNT, KEY, found, "op-1"))


def put_in_doubt(world):
    world.service_faults.append("broken_before_run")
    return world.run().answer


class TestRun:
    def test_an_action_takes_three_writes_and_no_read(self, world):
        """Guards the platform's write budget."""
        assert world.run().answer.body == b"reserved 1"
        assert world.api.calls == {"create": 1, "update": 2}

    def test_silent_platform_refuses_at_once_without_a_call(self, clock, run):
        """Guards against callers that wait for two deadlines of a silent platform."""
        api = MemoryObjectApi(clock)
        actions = ActionService(
            api,
            None,
            clock,
            "d1",
            {"booking": SERVICE}.get,
            platform_answers=lambda: False,
        )
        told = run(actions.run(ACCOUNT, KEY, "booking", "reserve", b"{}", 10.0))
        assert (told.state, told.status) == (ActionState.NOT_RUN, 503)
        assert told.retry_after_s and not api.calls

    def test_recorded_outcome_repeats_at_another_daemon(self, world):
        first = world.run(0)
        assert world.run(1).answer == first.answer
        assert len(world.log) == 1

    def test_other_body_under_the_same_key_is_rejected(self, world):
        world.run(0)
        assert isinstance(world.run_other_body(1).answer, IdempotencyKeyReused)

    def test_missing_key_is_rejected(self, world):
        assert isinstance(world.run(key="").answer, IdempotencyKeyRequired)

    def test_unknown_operation_is_rejected(self, world):
        assert isinstance(world.run(operation="fly").answer, UnknownOperation)

    @pytest.mark.fault("not_run", step="before the record")
    def test_outage_rejects_at_once_as_not_run(self, world):
        world.outage(60)
        call = world.run()
        assert (call.answer.code, call.answer.status) == ("not_run", 503)
        assert call.answer.retry_after_s

    @pytest.mark.fault("not_run", step="read of the record")
    def test_unreadable_record_of_another_attempt_is_not_reported_as_not_run(
        self, world
    ):
        """Guards against a caller taking a new key for an action that ran."""
        world.run(0)
        gate = world.daemons[1].gate
        gate.points["prepared", "after"] = lambda: world.outage(20)
        assert world.run(1).answer.state is ActionState.IN_DOUBT


class TestOtherHolders:
    def test_prepared_is_replaced_after_five_seconds_of_own_observation(self, world):
        world.daemons[0].gate.points["prepared", "after"] = lambda: world.kill(0)
        world.run(0)
        first = world.run(1).answer
        assert (first.code, first.retry_after_s) == ("action_in_progress", 5.0)
        world.advance(4.75)
        assert world.run(1).answer.state is ActionState.PREPARED
        world.advance(0.25)
        assert world.run(1).answer.state is ActionState.DONE

    def test_sending_becomes_in_doubt_after_fifteen_seconds(self, world):
        world.daemons[0].gate.points["sending", "after"] = lambda: world.kill(0)
        world.run(0)
        assert world.run(1).answer.status == 409
        world.advance(14.75)
        assert world.run(1).answer.state is ActionState.SENDING
        world.advance(0.25)
        assert world.run(1).answer.state is ActionState.IN_DOUBT

    @pytest.mark.fault("at_most_once", step="after the outcome")
    def test_late_holder_writes_done_over_in_doubt(self, world, run):
        world.service_faults.append("slow")
        late = world.run(0, within=30)
        world.advance(1)
        lookup(world, run)
        world.advance(15)
        assert lookup(world, run).state is ActionState.IN_DOUBT
        world.advance(10)
        assert lookup(world, run) == late.answer
        assert late.answer.state is ActionState.DONE

    @pytest.mark.fault("at_most_once", step="send")
    def test_holder_paused_after_its_update_does_not_send_later(self, world, run):
        """Guards against a second run after an operator's correct resolution."""
        gate = world.daemons[0].gate
        gate.points["sending", "after"] = lambda: world.pause(0, 60)
        world.run(0, within=100)
        lookup(world, run)
        world.advance(15)
        seen = lookup(world, run)
        resolve(world, run, ActionState.NOT_RUN, seen.attempt)
        assert world.run(1).answer.state is ActionState.DONE
        world.advance(60)
        world.check()


class TestBackgroundSettling:
    @pytest.mark.parametrize(
        ("fault", "state"),
        [(None, "done"), ("refused", "not_run"), ("broken_after_run", "in_doubt")],
    )
    def test_holder_settles_the_record_after_an_outage(self, world, run, fault, state):
        """Guards against an operator having to resolve what the holder knows."""
        world.service_faults.append(fault)
        gate = world.daemons[0].gate
        gate.points[state, "before"] = lambda: world.outage(60)
        call = world.run(0)
        world.advance(2)
        told = {"done": "done"}.get(state, "in_doubt")
        assert call.answer.state.value == told
        world.advance(70)
        assert lookup(world, run).state.value == state

    @pytest.mark.fault("not_run", step="sending")
    def test_unknown_update_during_an_outage_is_in_doubt_then_not_run(self, world, run):
        gate = world.daemons[0].gate
        gate.points["sending", "before"] = lambda: world.lose("lost_after_effect")
        gate.points["read", "before"] = lambda: world.outage(60)
        assert world.run(0).answer.state is ActionState.IN_DOUBT
        world.advance(70)
        assert lookup(world, run).state is ActionState.NOT_RUN

    def test_the_holder_repeats_an_outcome_that_is_not_recorded_yet(self, world):
        world.daemons[0].gate.points["done", "before"] = lambda: world.outage(60)
        first = world.run(0)
        world.advance(3)
        assert world.run(0).answer == first.answer

    def test_close_waits_for_a_running_attempt_and_not_for_an_outage(self, world):
        world.service_faults.append("slow")
        world.run(0, within=30)
        closing = world.close(0)
        world.advance(10)
        assert not closing.called
        world.outage(600)
        world.advance(15)
        assert closing.called


class TestResolve:
    def test_operator_records_an_outcome_that_repeats(self, world, run):
        attempt = put_in_doubt(world).attempt
        resolve(world, run, ActionState.DONE, attempt, b"reserved by phone")
        assert world.run(0).answer.body == b"reserved by phone"
        assert world.log == []

    def test_the_same_resolution_twice_is_one(self, world, run):
        attempt = put_in_doubt(world).attempt
        first = resolve(world, run, ActionState.DONE, attempt, b"x")
        assert resolve(world, run, ActionState.DONE, attempt, b"x") == first

    @pytest.mark.fault("not_run", step="resolve")
    def test_resolution_of_an_older_attempt_is_rejected(self, world, run):
        """Guards against a delayed finding that settles a newer attempt."""
        attempt = put_in_doubt(world).attempt
        resolve(world, run, ActionState.NOT_RUN, attempt)
        world.service_faults.append("broken_after_run")
        assert world.run(1).answer.state is ActionState.IN_DOUBT
        with pytest.raises(ActionNotInDoubt):
            resolve(world, run, ActionState.NOT_RUN, attempt)

    def test_a_settled_action_cannot_be_resolved(self, world, run):
        attempt = world.run().answer.attempt
        with pytest.raises(ActionNotInDoubt):
            resolve(world, run, ActionState.NOT_RUN, attempt)

    @pytest.mark.fault("not_run", step="resolve")
    def test_outcome_of_the_holder_replaces_a_wrong_not_run(self, world, run):
        """Guards against a second run after an operator's mistake."""
        world.service_faults.append("slow")
        world.run(0, within=30)
        world.advance(1)
        lookup(world, run)
        world.advance(15)
        seen = lookup(world, run)
        resolve(world, run, ActionState.NOT_RUN, seen.attempt)
        world.advance(10)
        assert world.run(1).answer.body == b"reserved 1"
        assert len(world.log) == 1


class TestLookup:
    def test_unknown_key_is_not_found(self, world, run):
        with pytest.raises(ActionNotFound):
            lookup(world, run)

    def test_outage_is_reported(self, world, run):
        world.outage(5)
        with pytest.raises(PlatformUnavailable):
            lookup(world, run)


class TestRepeatableOperations:
    def test_need_no_key_and_no_record(self, world):
        assert world.run(key="", operation="check").answer.status == 200
        assert not world.api.calls

    def test_are_retried_until_the_bound(self, world):
        world.service_faults += ["refused", "broken_before_run"]
        assert world.run(operation="check").answer.status == 200
        world.service_faults += ["refused"] * 3
        assert isinstance(world.run(operation="check").answer, ServiceUnavailable)
        assert world.service_faults == []

    def test_a_silent_instance_leaves_time_for_another_try(self, world):
        world.service_faults.append("silent")
        call = world.run(operation="check", within=9)
        world.advance(3)
        assert call.answer.status == 200
