from collections import deque
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivesaddle.configuration import (
    ActiveConfig,
    ChangesCompacted,
    ConfigService,
    ConfirmOutcomeUnknown,
    Freshness,
    NoMajorityContact,
    PlanNotFound,
    PlanOutdated,
    RevisionGap,
)
from chivesaddle.configuration.repository import CHANGES_KIND, SNAPSHOTS_KIND
from chivesaddle.core.aio import start
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.core.objects import PlatformUnavailable
from chivesaddle.objects.memory import MemoryObjectApi, WriteFault


def put_store_intent(name):
    fields = {"url": "http://127.0.0.1:1", "zone": "z"}
    return {"operations": [{"kind": "put_store", "id": name, **fields}], "note": "n"}


class Daemon:
    """A configuration service; records every state of its active configuration."""

    def __init__(self, api, clock, name, ids):
        self.freshness = Freshness(name, "z")
        self.active_config = ActiveConfig()
        self.states = []
        self.active_config.add_listener(self.states.append)
        self.service = ConfigService(
            api,
            clock,
            name,
            self.active_config,
            self.freshness,
            lambda: f"c{next(ids)}",
        )


@pytest.fixture
def api(clock):
    return MemoryObjectApi(clock)


@pytest.fixture
def make_daemon(api, clock):
    ids = count()
    return lambda name="d0": Daemon(api, clock, name, ids)


@pytest.fixture
def daemon(make_daemon):
    return make_daemon()


@pytest.fixture
def plan_and_confirm(run, daemon):
    def confirm(name):
        plan = run(daemon.service.plan(put_store_intent(name), "ann"))
        return run(daemon.service.confirm(plan.change.id, "ann"))

    return confirm


class TestPlanAndConfirm:
    def test_planning_changes_nothing(self, run, daemon):
        plan = run(daemon.service.plan(put_store_intent("s"), "ann"))
        run(daemon.service.refresh())
        assert daemon.active_config.revision == 0
        assert run(daemon.service.get_plan(plan.change.id)) == plan

    def test_confirmed_plan_is_applied_by_every_daemon(
        self, run, plan_and_confirm, make_daemon
    ):
        assert plan_and_confirm("s").accepted
        other = make_daemon("d1")
        run(other.service.refresh())
        assert set(other.active_config.state.stores_by_id) == {"s"}

    def test_repeated_confirm_of_a_plan_returns_the_same_result(self, run, daemon):
        plan = run(daemon.service.plan(put_store_intent("s"), "ann"))
        first = run(daemon.service.confirm(plan.change.id, "ann"))
        assert run(daemon.service.confirm(plan.change.id, "bob")) == first
        assert daemon.active_config.revision == 1

    def test_plan_on_an_older_revision_is_outdated(self, run, daemon, plan_and_confirm):
        """Guards against overwriting a change that the plan does not include."""
        plan = run(daemon.service.plan(put_store_intent("s"), "ann"))
        plan_and_confirm("t")
        with pytest.raises(PlanOutdated):
            run(daemon.service.confirm(plan.change.id, "ann"))
        assert set(daemon.active_config.state.stores_by_id) == {"t"}

    def test_confirm_of_an_unknown_plan_raises_plan_not_found(self, run, daemon):
        with pytest.raises(PlanNotFound):
            run(daemon.service.confirm("c9", "ann"))

    def test_intent_that_cannot_be_applied_is_not_stored(self, run, api, daemon):
        with pytest.raises(InvalidValue):
            run(
                daemon.service.plan(
                    {"operations": [{"kind": "delete_store", "id": "x"}]}, "ann"
                )
            )
        assert api.calls["create"] == 0

    @pytest.mark.parametrize(
        "intent",
        [
            {"operations": [{"kind": "put_account", "id": "a", "weight": 1e999}]},
            put_store_intent("s") | {"note": "\ud800"},
        ],
    )
    def test_change_that_no_daemon_could_read_is_not_stored(
        self, run, api, daemon, intent
    ):
        """Guards against a committed change that blocks all later ones."""
        with pytest.raises(InvalidValue):
            run(daemon.service.plan(intent, "ann"))
        assert api.calls["create"] == 0


class TestUnknownWriteOutcomes:
    @pytest.mark.parametrize("fault", [f for f in WriteFault if f.value != "refused"])
    @pytest.mark.fault("configuration", step="confirm", fault="answer lost")
    def test_confirm_resolves_an_unknown_write_outcome(
        self, run, api, clock, daemon, fault
    ):
        plan = run(daemon.service.plan(put_store_intent("s"), "ann"))
        api.faults.writes.append(fault)
        assert run(daemon.service.confirm(plan.change.id, "ann")).accepted
        clock.advance(2)
        assert run(daemon.service.refresh()) == 1

    @pytest.mark.fault("not_run", step="confirm")
    def test_refused_head_write_changes_nothing(self, run, api, daemon):
        plan = run(daemon.service.plan(put_store_intent("s"), "ann"))
        api.faults.writes.append(WriteFault.REFUSED)
        with pytest.raises(PlatformUnavailable):
            run(daemon.service.confirm(plan.change.id, "ann"))
        assert run(daemon.service.refresh()) == 0

    @pytest.mark.fault("configuration", step="confirm")
    def test_outage_after_the_write_is_reported_as_unknown_outcome(
        self, run, api, daemon, clock
    ):
        """Guards against reporting no change although the write succeeded."""
        plan = run(daemon.service.plan(put_store_intent("s"), "ann"))
        api.faults.writes.append(WriteFault.LOST_AFTER_EFFECT)
        write_head = daemon.service._repository.write_head

        async def write_and_fail(head):
            try:
                await write_head(head)
            finally:
                api.faults.outage = True

        daemon.service._repository.write_head = write_and_fail
        with pytest.raises(ConfirmOutcomeUnknown):
            run(daemon.service.confirm(plan.change.id, "ann"))
        api.faults.outage = False
        assert run(daemon.service.confirm(plan.change.id, "ann")).revision == 1

    @pytest.mark.fault("not_run", step="confirm")
    def test_majority_lost_after_an_unknown_write_is_not_reported_as_unwritten(
        self, run, api, daemon
    ):
        plan = run(daemon.service.plan(put_store_intent("s"), "ann"))
        api.faults.writes.append(WriteFault.LOST_BEFORE_EFFECT)
        contact_results = iter([True, False, False])
        daemon.freshness.has_majority_contact = lambda now: next(contact_results)
        assert run(daemon.service.confirm(plan.change.id, "ann")).accepted

    def test_plan_write_with_a_lost_response_is_stored_once(self, run, api, daemon):
        api.faults.writes.append(WriteFault.LOST_AFTER_EFFECT)
        plan = run(daemon.service.plan(put_store_intent("s"), "ann"))
        assert run(daemon.service.get_plan(plan.change.id)) == plan


class TestMajority:
    @pytest.fixture
    def three_daemons(self, daemon):
        daemon.freshness.set_members({"d0": "z", "d1": "z", "d2": "z"})
        return daemon

    @pytest.mark.fault("configuration", step="confirm")
    def test_confirm_without_majority_contact_writes_nothing(self, run, three_daemons):
        plan = run(three_daemons.service.plan(put_store_intent("s"), "ann"))
        with pytest.raises(NoMajorityContact):
            run(three_daemons.service.confirm(plan.change.id, "ann"))
        assert run(three_daemons.service.refresh()) == 0

    def test_change_is_accepted_when_a_majority_reports_it(
        self, run, three_daemons, clock
    ):
        three_daemons.freshness.record_contact("d1", "z", 0, 0)
        plan = run(three_daemons.service.plan(put_store_intent("s"), "ann"))
        confirmed = start(three_daemons.service.confirm(plan.change.id, "ann"))
        assert not confirmed.called
        three_daemons.service.record_revision("d1", 1)
        assert confirmed.result.accepted
        assert confirmed.result.not_in_force == ("d2",)

    def test_change_without_majority_report_lists_the_daemons_behind(
        self, run, three_daemons, clock
    ):
        three_daemons.freshness.record_contact("d1", "z", 0, 0)
        plan = run(three_daemons.service.plan(put_store_intent("s"), "ann"))
        confirmed = start(three_daemons.service.confirm(plan.change.id, "ann"))
        clock.advance(9)
        assert not confirmed.result.accepted
        assert confirmed.result.not_in_force == ("d1", "d2")

    def test_lower_revision_from_a_restarted_daemon_replaces_its_last_report(
        self, run, three_daemons
    ):
        three_daemons.freshness.record_contact("d1", "z", 0, 0)
        three_daemons.service.record_revision("d1", 5)
        three_daemons.service.record_revision("d1", 0)
        plan = run(three_daemons.service.plan(put_store_intent("s"), "ann"))
        assert not start(three_daemons.service.confirm(plan.change.id, "ann")).called


class TestCatchUp:
    def test_new_daemon_starts_from_a_snapshot(
        self, run, api, make_daemon, daemon, plan_and_confirm
    ):
        for i in range(150):
            plan_and_confirm(f"s{i}")
        new = make_daemon("d1")
        run(new.service.refresh())
        assert new.active_config.state == daemon.active_config.state
        assert new.states[0].revision == 128

    def test_old_snapshots_and_changes_are_deleted(self, run, api, plan_and_confirm):
        for i in range(200):
            plan_and_confirm(f"s{i}")
        snapshots = run(api.list_objects(SNAPSHOTS_KIND, deadline=9)).items_by_name
        changes = run(api.list_objects(CHANGES_KIND, deadline=9)).items_by_name
        assert set(snapshots) == {"128", "192"}
        assert len(changes) == 200 - 127

    def test_daemon_retries_when_cleanup_deletes_changes_it_is_reading(
        self, run, make_daemon, daemon, plan_and_confirm
    ):
        """Guards against a daemon that never catches up after a concurrent cleanup."""
        for i in range(60):
            plan_and_confirm(f"s{i}")
        behind = make_daemon("d1")
        read_head = behind.service._repository.read_head
        stale_head = run(read_head())
        for i in range(140):
            plan_and_confirm(f"t{i}")
        stale_heads = iter([stale_head])

        async def read_stale_head_first():
            return next(stale_heads, None) or await read_head()

        behind.service._repository.read_head = read_stale_head_first
        assert run(behind.service.refresh()) == 200

    def test_confirm_can_be_repeated_after_a_crash_between_snapshot_and_head(
        self, run, api, daemon, make_daemon, plan_and_confirm
    ):
        for i in range(64):
            plan_and_confirm(f"s{i}")
        plan = run(daemon.service.plan(put_store_intent("last"), "ann"))
        api.faults.writes.extend([None, WriteFault.REFUSED])
        with pytest.raises(PlatformUnavailable):
            run(daemon.service.confirm(plan.change.id, "ann"))
        other = make_daemon("d1")
        assert run(other.service.confirm(plan.change.id, "ann")).revision == 65

    @pytest.mark.fault("not_run", step="snapshot")
    def test_failed_snapshot_write_changes_nothing(
        self, run, api, daemon, plan_and_confirm
    ):
        for i in range(64):
            plan_and_confirm(f"s{i}")
        plan = run(daemon.service.plan(put_store_intent("last"), "ann"))
        api.faults.writes.extend([WriteFault.LOST_BEFORE_EFFECT] * 2)
        with pytest.raises(PlatformUnavailable):
            run(daemon.service.confirm(plan.change.id, "ann"))

    def test_snapshot_of_5600_backend_servers_fits_in_one_object(self, run, daemon):
        common_fields = {
            "zone": "region-3-zone-2",
            "region": "region-3",
            "models": ["m"],
        }
        operations = [
            {
                "kind": "put_backend_server",
                "id": f"backend-{i:05}",
                "url": f"http://10.{i // 256}.{i % 256}.7:8000",
                **common_fields,
            }
            for i in range(5_600)
        ]
        model = {"kind": "put_model", "id": "m", "weight_version": "1"}
        # A change with 2,800 servers would exceed the 1 MB limit of an object value.
        for i in range(0, 5_600, 1_400):
            part = [model, *operations[i : i + 1_400]]
            plan = run(daemon.service.plan({"operations": part}, "ann"))
            run(daemon.service.confirm(plan.change.id, "ann"))
        repository = daemon.service._repository
        run(repository.write_snapshot(daemon.active_config.state))
        assert run(repository.read_snapshot(4)) == daemon.active_config.state

    def test_changes_come_from_memory_then_from_the_platform(
        self, run, api, daemon, make_daemon, plan_and_confirm
    ):
        for i in range(70):
            plan_and_confirm(f"s{i}")
        reads = api.calls["get"]
        assert len(run(daemon.service.changes_after(3))) == 67
        assert api.calls["get"] == reads
        other = make_daemon("d1")
        run(other.service.refresh())
        assert len(run(other.service.changes_after(10))) == 60
        with pytest.raises(ChangesCompacted):
            run(other.service.changes_after(3))

    @pytest.mark.fault("configuration", step="apply")
    def test_holder_rejects_a_revision_gap_and_skips_applied_changes(
        self, run, daemon, make_daemon, plan_and_confirm
    ):
        plan_and_confirm("a"), plan_and_confirm("b")
        first, second = run(daemon.service.changes_after(0))
        active_config = make_daemon("d1").active_config
        with pytest.raises(RevisionGap):
            active_config.apply(second)
        assert active_config.apply(first) and not active_config.apply(first)
        assert not daemon.active_config.replace(active_config.state)
        assert daemon.active_config.revision == 2


class TestReadingAge:
    def test_head_read_does_not_count_until_its_changes_are_applied(
        self, run, api, clock, make_daemon, plan_and_confirm
    ):
        """Guards against confirming an old state by the reading of a newer head."""
        plan_and_confirm("s")
        behind = make_daemon("d1")
        get = api.get

        async def fail_on_changes(kind, name, *, deadline):
            if kind == CHANGES_KIND:
                raise PlatformUnavailable("down")
            return await get(kind, name, deadline=deadline)

        api.get = fail_on_changes
        with pytest.raises(PlatformUnavailable):
            run(behind.service.refresh())
        assert behind.freshness.reading_age(0) is None

    def test_relayed_reading_of_an_unapplied_head_does_not_count(self, daemon):
        assert not daemon.service.record_relayed_reading(1, 0.5)
        assert daemon.freshness.reading_age(0) is None
        assert daemon.service.record_relayed_reading(0, 0.5)
        assert daemon.freshness.reading_age(0) == 0.5

    def test_age_counts_from_before_the_read(self, api, clock, daemon):
        api.faults.delay_s = 0.5
        start(daemon.service.refresh())
        clock.advance(0.5)
        assert daemon.freshness.reading_age(0.5) == 0.5


# Plans and confirms are repeated so that most generated scripts commit several changes.
PLAN_STEP = st.tuples(st.just("plan"), st.integers(0, 1))
CONFIRM_STEP = st.tuples(st.just("confirm"), st.integers(0, 1), st.integers(0, 2))
FAULT_STEP = st.tuples(st.just("fault"), st.sampled_from([None, *WriteFault]))
PLATFORM_STEP = st.one_of(
    st.tuples(st.just("refresh"), st.integers(0, 1)),
    st.tuples(st.just("outage"), st.sampled_from([False, False, True])),
    st.tuples(st.just("delay"), st.sampled_from([0.0, 0.0, 0.125, 0.5, 2.0])),
)
SCRIPT_STEP = st.one_of(
    PLAN_STEP,
    PLAN_STEP,
    CONFIRM_STEP,
    CONFIRM_STEP,
    CONFIRM_STEP,
    FAULT_STEP,
    FAULT_STEP,
    PLATFORM_STEP,
)
ERRORS_WITHOUT_WRITE = (PlanOutdated, PlatformUnavailable, NoMajorityContact)


class TestConcurrentOperators:
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(SCRIPT_STEP, st.sampled_from([0.0, 0.125, 0.25, 1.0])),
            min_size=8,
            max_size=40,
        )
    )
    @pytest.mark.fault(
        "configuration", step="any", fault="operators racing under faults"
    )
    def test_each_confirmed_change_is_applied_once_on_all_holders(self, script):
        """Guards against lost, duplicate and reverted changes when writes fail."""
        clock, ids = Clock(), count()
        api = MemoryObjectApi(clock)
        daemons = [Daemon(api, clock, f"d{i}", ids) for i in range(2)]
        planned, results_by_id = [], {}

        def record_plan(plan):
            planned.append(plan.change.id)

        def expect_service_error(failure):
            failure.trap(ChivesaddleError)

        for (name, *args), pause in script:
            match name:
                case "plan":
                    intent = put_store_intent(f"s{next(ids)}")
                    planning = start(daemons[args[0]].service.plan(intent, "ann"))
                    planning.addCallbacks(record_plan, expect_service_error)
                case "refresh":
                    start(daemons[args[0]].service.refresh()).addErrback(
                        expect_service_error
                    )
                case "confirm" if planned:
                    change_id = planned[-1 - args[1] % len(planned)]
                    results = results_by_id.setdefault(change_id, [])
                    confirming = start(
                        daemons[args[0]].service.confirm(change_id, "ann")
                    )
                    confirming.addBoth(results.append)
                case "fault":
                    api.faults.writes.append(args[0])
                case "outage":
                    api.faults.outage = args[0]
                case "delay":
                    api.faults.delay_s = args[0]
            clock.advance(pause)
        api.faults.outage, api.faults.delay_s = False, 0.0
        api.faults.writes = deque()
        for _ in range(40):
            clock.advance(0.5)

        for daemon in daemons:
            start(daemon.service.refresh())
            revisions = [state.revision for state in daemon.states]
            assert revisions == sorted(set(revisions))
        assert daemons[0].active_config.state == daemons[1].active_config.state
        log = start(daemons[0].service.changes_after(0)).result
        committed = [change.id for change in log]
        assert (
            len(set(committed)) == len(committed) == daemons[0].active_config.revision
        )
        for change_id, results in results_by_id.items():
            failures = [getattr(r, "value", None) for r in results]
            if None in failures:
                assert change_id in committed
            elif all(isinstance(f, ERRORS_WITHOUT_WRITE) for f in failures):
                assert change_id not in committed
        assert set(committed) <= set(results_by_id)
        assert len(daemons[0].active_config.state.stores_by_id) == len(committed)
