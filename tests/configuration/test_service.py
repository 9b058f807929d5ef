from collections import deque
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivesaddle.configuration import (
    ChangesCompacted,
    ConfigHolder,
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
from chivesaddle.objects import MemoryObjectApi, WriteFault


def store(name):
    fields = {"url": "http://127.0.0.1:1", "zone": "z"}
    return {"operations": [{"kind": "put_store", "id": name, **fields}], "note": "n"}


class Daemon:
    """A service with its holder; keeps every state that was in force."""

    def __init__(self, api, clock, name, ids):
        self.freshness = Freshness(name, "z")
        self.holder = ConfigHolder()
        self.states = []
        self.holder.add_listener(self.states.append)
        self.service = ConfigService(
            api, clock, name, self.holder, self.freshness, lambda: f"c{next(ids)}"
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
def confirm_new(run, daemon):
    def confirm(name):
        plan = run(daemon.service.plan(store(name), "ann"))
        return run(daemon.service.confirm(plan.change.id, "ann"))

    return confirm


class TestPlanAndConfirm:
    def test_planning_changes_nothing(self, run, daemon):
        plan = run(daemon.service.plan(store("s"), "ann"))
        run(daemon.service.refresh())
        assert daemon.holder.revision == 0
        assert run(daemon.service.get_plan(plan.change.id)) == plan

    def test_confirmed_plan_is_in_force_on_every_daemon(
        self, run, confirm_new, make_daemon
    ):
        assert confirm_new("s").accepted
        other = make_daemon("d1")
        run(other.service.refresh())
        assert set(other.holder.state.stores_by_id) == {"s"}

    def test_second_confirm_of_one_plan_is_the_same_change(self, run, daemon):
        plan = run(daemon.service.plan(store("s"), "ann"))
        first = run(daemon.service.confirm(plan.change.id, "ann"))
        assert run(daemon.service.confirm(plan.change.id, "bob")) == first
        assert daemon.holder.revision == 1

    def test_plan_on_an_older_revision_is_outdated(self, run, daemon, confirm_new):
        """Guards against an operator overwriting a change that the plan ignored."""
        plan = run(daemon.service.plan(store("s"), "ann"))
        confirm_new("t")
        with pytest.raises(PlanOutdated):
            run(daemon.service.confirm(plan.change.id, "ann"))
        assert set(daemon.holder.state.stores_by_id) == {"t"}

    def test_unknown_plan_is_not_found(self, run, daemon):
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
            store("s") | {"note": "\ud800"},
        ],
    )
    def test_change_that_no_daemon_could_read_is_not_stored(
        self, run, api, daemon, intent
    ):
        """Guards against a committed change that blocks all later ones."""
        with pytest.raises(InvalidValue):
            run(daemon.service.plan(intent, "ann"))
        assert api.calls["create"] == 0


class TestLostAnswers:
    @pytest.mark.parametrize("fault", [f for f in WriteFault if f.value != "refused"])
    @pytest.mark.fault("configuration", step="confirm", fault="answer lost")
    def test_confirm_finds_out_whether_it_took_effect(
        self, run, api, clock, daemon, fault
    ):
        plan = run(daemon.service.plan(store("s"), "ann"))
        api.faults.writes.append(fault)
        assert run(daemon.service.confirm(plan.change.id, "ann")).accepted
        clock.advance(2)
        assert run(daemon.service.refresh()) == 1

    @pytest.mark.fault("not_run", step="confirm")
    def test_refused_confirm_certainly_changed_nothing(self, run, api, daemon):
        plan = run(daemon.service.plan(store("s"), "ann"))
        api.faults.writes.append(WriteFault.REFUSED)
        with pytest.raises(PlatformUnavailable):
            run(daemon.service.confirm(plan.change.id, "ann"))
        assert run(daemon.service.refresh()) == 0

    @pytest.mark.fault("configuration", step="confirm")
    def test_outage_after_the_write_is_told_as_unknown(self, run, api, daemon, clock):
        """Guards against telling an operator "nothing changed" when it did."""
        plan = run(daemon.service.plan(store("s"), "ann"))
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
    def test_lost_majority_after_an_unknown_write_is_not_told_as_nothing(
        self, run, api, daemon
    ):
        plan = run(daemon.service.plan(store("s"), "ann"))
        api.faults.writes.append(WriteFault.LOST_BEFORE_EFFECT)
        answers = iter([True, False, False])
        daemon.freshness.has_majority_contact = lambda now: next(answers)
        assert run(daemon.service.confirm(plan.change.id, "ann")).accepted

    def test_plan_whose_storing_was_lost_is_stored_once(self, run, api, daemon):
        api.faults.writes.append(WriteFault.LOST_AFTER_EFFECT)
        plan = run(daemon.service.plan(store("s"), "ann"))
        assert run(daemon.service.get_plan(plan.change.id)) == plan


class TestMajority:
    @pytest.fixture
    def three(self, daemon):
        daemon.freshness.set_members({"d0": "z", "d1": "z", "d2": "z"})
        return daemon

    @pytest.mark.fault("configuration", step="confirm")
    def test_confirm_without_majority_contact_writes_nothing(self, run, three):
        plan = run(three.service.plan(store("s"), "ann"))
        with pytest.raises(NoMajorityContact):
            run(three.service.confirm(plan.change.id, "ann"))
        assert run(three.service.refresh()) == 0

    def test_change_is_accepted_when_a_majority_reports_it(self, run, three, clock):
        three.freshness.record_heard("d1", "z", 0, 0)
        plan = run(three.service.plan(store("s"), "ann"))
        confirmed = start(three.service.confirm(plan.change.id, "ann"))
        assert not confirmed.called
        three.service.record_revision("d1", 1)
        assert confirmed.result.accepted
        assert confirmed.result.not_in_force == ("d2",)

    def test_committed_change_without_majority_names_the_daemons_behind(
        self, run, three, clock
    ):
        three.freshness.record_heard("d1", "z", 0, 0)
        plan = run(three.service.plan(store("s"), "ann"))
        confirmed = start(three.service.confirm(plan.change.id, "ann"))
        clock.advance(9)
        assert not confirmed.result.accepted
        assert confirmed.result.not_in_force == ("d1", "d2")

    def test_restarted_daemon_that_reports_less_no_longer_counts(self, run, three):
        three.freshness.record_heard("d1", "z", 0, 0)
        three.service.record_revision("d1", 5)
        three.service.record_revision("d1", 0)
        plan = run(three.service.plan(store("s"), "ann"))
        assert not start(three.service.confirm(plan.change.id, "ann")).called


class TestCatchingUp:
    def test_new_daemon_starts_from_a_snapshot(
        self, run, api, make_daemon, daemon, confirm_new
    ):
        for i in range(150):
            confirm_new(f"s{i}")
        new = make_daemon("d1")
        run(new.service.refresh())
        assert new.holder.state == daemon.holder.state
        assert new.states[0].revision == 128

    def test_old_snapshots_and_changes_are_deleted(self, run, api, confirm_new):
        for i in range(200):
            confirm_new(f"s{i}")
        snapshots = run(api.list_objects(SNAPSHOTS_KIND, deadline=9)).items_by_name
        changes = run(api.list_objects(CHANGES_KIND, deadline=9)).items_by_name
        assert set(snapshots) == {"128", "192"}
        assert len(changes) == 200 - 127

    def test_daemon_overtaken_by_the_cleanup_reads_the_head_again(
        self, run, make_daemon, daemon, confirm_new
    ):
        """Guards against a daemon stuck on changes that were deleted meanwhile."""
        for i in range(60):
            confirm_new(f"s{i}")
        behind = make_daemon("d1")
        read_head = behind.service._repository.read_head
        old = run(read_head())
        for i in range(140):
            confirm_new(f"t{i}")
        heads = iter([old])

        async def old_head_first():
            return next(heads, None) or await read_head()

        behind.service._repository.read_head = old_head_first
        assert run(behind.service.refresh()) == 200

    def test_crash_after_the_snapshot_is_harmless(
        self, run, api, daemon, make_daemon, confirm_new
    ):
        for i in range(64):
            confirm_new(f"s{i}")
        plan = run(daemon.service.plan(store("last"), "ann"))
        api.faults.writes.extend([None, WriteFault.REFUSED])
        with pytest.raises(PlatformUnavailable):
            run(daemon.service.confirm(plan.change.id, "ann"))
        other = make_daemon("d1")
        assert run(other.service.confirm(plan.change.id, "ann")).revision == 65

    @pytest.mark.fault("not_run", step="snapshot")
    def test_unstored_snapshot_certainly_changed_nothing(
        self, run, api, daemon, confirm_new
    ):
        for i in range(64):
            confirm_new(f"s{i}")
        plan = run(daemon.service.plan(store("last"), "ann"))
        api.faults.writes.extend([WriteFault.LOST_BEFORE_EFFECT] * 2)
        with pytest.raises(PlatformUnavailable):
            run(daemon.service.confirm(plan.change.id, "ann"))

    def test_snapshot_of_the_target_fleet_fits_into_one_object(self, run, daemon):
        place = {"zone": "region-3-zone-2", "region": "region-3", "models": ["m"]}
        operations = [
            {
                "kind": "put_backend_server",
                "id": f"backend-{i:05}",
                "url": f"http://10.{i // 256}.{i % 256}.7:8000",
                **place,
            }
            for i in range(5_600)
        ]
        model = {"kind": "put_model", "id": "m", "weight_version": "1"}
        # One change of 2,800 servers would be over the 1 MB of a value.
        for i in range(0, 5_600, 1_400):
            part = [model, *operations[i : i + 1_400]]
            plan = run(daemon.service.plan({"operations": part}, "ann"))
            run(daemon.service.confirm(plan.change.id, "ann"))
        repository = daemon.service._repository
        run(repository.write_snapshot(daemon.holder.state))
        assert run(repository.read_snapshot(4)) == daemon.holder.state

    def test_changes_come_from_memory_then_from_the_platform(
        self, run, api, daemon, make_daemon, confirm_new
    ):
        for i in range(70):
            confirm_new(f"s{i}")
        reads = api.calls["get"]
        assert len(run(daemon.service.changes_after(3))) == 67
        assert api.calls["get"] == reads
        other = make_daemon("d1")
        run(other.service.refresh())
        assert len(run(other.service.changes_after(10))) == 60
        with pytest.raises(ChangesCompacted):
            run(other.service.changes_after(3))

    @pytest.mark.fault("configuration", step="apply")
    def test_holder_refuses_a_gap_and_ignores_what_it_has(
        self, run, daemon, make_daemon, confirm_new
    ):
        confirm_new("a"), confirm_new("b")
        first, second = run(daemon.service.changes_after(0))
        holder = make_daemon("d1").holder
        with pytest.raises(RevisionGap):
            holder.apply(second)
        assert holder.apply(first) and not holder.apply(first)
        assert not daemon.holder.replace(holder.state)
        assert daemon.holder.revision == 2


class TestFreshnessOfReadings:
    def test_head_that_is_not_yet_applied_confirms_nothing(
        self, run, api, clock, make_daemon, confirm_new
    ):
        """Guards against serving an old state on the strength of a newer head."""
        confirm_new("s")
        behind = make_daemon("d1")
        get = api.get

        async def head_only(kind, name, *, deadline):
            if kind == CHANGES_KIND:
                raise PlatformUnavailable("down")
            return await get(kind, name, deadline=deadline)

        api.get = head_only
        with pytest.raises(PlatformUnavailable):
            run(behind.service.refresh())
        assert behind.freshness.reading_age(0) is None

    def test_relayed_reading_of_a_newer_head_confirms_nothing(self, daemon):
        assert not daemon.service.record_relayed_reading(1, 0.5)
        assert daemon.freshness.reading_age(0) is None
        assert daemon.service.record_relayed_reading(0, 0.5)
        assert daemon.freshness.reading_age(0) == 0.5

    def test_age_counts_from_before_the_read(self, api, clock, daemon):
        api.faults.delay_s = 0.5
        start(daemon.service.refresh())
        clock.advance(0.5)
        assert daemon.freshness.reading_age(0.5) == 0.5


# Plans and confirms are frequent, so that most scripts commit several changes.
PLAN = st.tuples(st.just("plan"), st.integers(0, 1))
CONFIRM = st.tuples(st.just("confirm"), st.integers(0, 1), st.integers(0, 2))
FAULT = st.tuples(st.just("fault"), st.sampled_from([None, *WriteFault]))
PLATFORM = st.one_of(
    st.tuples(st.just("refresh"), st.integers(0, 1)),
    st.tuples(st.just("outage"), st.sampled_from([False, False, True])),
    st.tuples(st.just("delay"), st.sampled_from([0.0, 0.0, 0.125, 0.5, 2.0])),
)
STEPS = st.one_of(PLAN, PLAN, CONFIRM, CONFIRM, CONFIRM, FAULT, FAULT, PLATFORM)
NOTHING_WRITTEN = (PlanOutdated, PlatformUnavailable, NoMajorityContact)


class TestOperatorsRacing:
    @settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(STEPS, st.sampled_from([0.0, 0.125, 0.25, 1.0])),
            min_size=8,
            max_size=40,
        )
    )
    @pytest.mark.fault(
        "configuration", step="any", fault="operators racing under faults"
    )
    def test_each_confirmed_change_is_applied_once_on_all_holders(self, script):
        """Guards against lost, doubled and reverted changes under lost writes."""
        clock, ids = Clock(), count()
        api = MemoryObjectApi(clock)
        daemons = [Daemon(api, clock, f"d{i}", ids) for i in range(2)]
        planned, results_by_id = [], {}

        def remember(plan):
            planned.append(plan.change.id)

        def expected(failure):
            failure.trap(ChivesaddleError)

        for (name, *args), pause in script:
            match name:
                case "plan":
                    intent = store(f"s{next(ids)}")
                    planning = start(daemons[args[0]].service.plan(intent, "ann"))
                    planning.addCallbacks(remember, expected)
                case "refresh":
                    start(daemons[args[0]].service.refresh()).addErrback(expected)
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
        assert daemons[0].holder.state == daemons[1].holder.state
        log = start(daemons[0].service.changes_after(0)).result
        committed = [change.id for change in log]
        assert len(set(committed)) == len(committed) == daemons[0].holder.revision
        for change_id, results in results_by_id.items():
            failures = [getattr(r, "value", None) for r in results]
            if None in failures:
                assert change_id in committed
            elif all(isinstance(f, NOTHING_WRITTEN) for f in failures):
                assert change_id not in committed
        assert set(committed) <= set(results_by_id)
        assert len(daemons[0].holder.state.stores_by_id) == len(committed)
