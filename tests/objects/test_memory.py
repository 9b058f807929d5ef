import pytest

from chivesaddle.core.aio import start
from chivesaddle.core.objects import (
    PlatformUnavailable,
    RevisionCompacted,
    VersionConflict,
    WriteOutcomeUnknown,
)
from chivesaddle.objects.memory import MemoryObjectApi, WriteFault


@pytest.fixture
def api(clock):
    return MemoryObjectApi(clock)


class TestConditionalWrites:
    def test_second_create_of_a_name_conflicts(self, api, run):
        """Guards against two processes that both succeed in creating a record."""
        run(api.create("k", "a", {"x": 1}, deadline=1))
        with pytest.raises(VersionConflict):
            run(api.create("k", "a", {"x": 2}, deadline=1))

    def test_update_at_an_old_version_conflicts(self, api, run):
        first = run(api.create("k", "a", {"x": 1}, deadline=1))
        run(api.update("k", "a", {"x": 2}, version=first.version, deadline=1))
        with pytest.raises(VersionConflict):
            run(api.update("k", "a", {"x": 3}, version=first.version, deadline=1))


class TestFaults:
    def test_write_with_a_lost_response_takes_effect(self, api, run):
        api.faults.writes.append(WriteFault.LOST_AFTER_EFFECT)
        with pytest.raises(WriteOutcomeUnknown):
            run(api.create("k", "a", {"x": 1}, deadline=1))
        assert run(api.get("k", "a", deadline=1)).value == {"x": 1}

    def test_delayed_write_is_dropped_after_a_newer_write(self, api, run, clock):
        first = run(api.create("k", "a", {"x": 1}, deadline=1))
        api.faults.writes.append(WriteFault.DELAYED)
        with pytest.raises(WriteOutcomeUnknown):
            run(api.update("k", "a", {"x": 2}, version=first.version, deadline=1))
        run(api.update("k", "a", {"x": 3}, version=first.version, deadline=1))
        clock.advance(2)
        assert run(api.get("k", "a", deadline=9)).value == {"x": 3}

    def test_outage_refuses_reads_and_writes(self, api, run):
        api.faults.outage = True
        with pytest.raises(PlatformUnavailable):
            run(api.list_objects("k", deadline=1))


class TestWatch:
    def test_waiting_watch_returns_the_change(self, api, run):
        waiting = start(api.wait_for_changes("k", after=0, deadline=5))
        assert not waiting.called
        run(api.create("k", "a", {"x": 1}, deadline=1))
        assert [c.item.name for c in waiting.result.changes] == ["a"]

    def test_watch_without_change_ends_empty_at_its_deadline(self, api, clock):
        waiting = start(api.wait_for_changes("k", after=0, deadline=5))
        clock.advance(5)
        assert waiting.result.changes == ()

    def test_watch_after_a_compacted_revision_fails(self, api, run):
        run(api.create("k", "a", {"x": 1}, deadline=1))
        api.compact()
        with pytest.raises(RevisionCompacted):
            run(api.wait_for_changes("k", after=0, deadline=5))
