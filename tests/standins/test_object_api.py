import pytest

from chivesaddle.core.aio import start
from chivesaddle.core.objects import ObjectNotFound
from chivesaddle.standins.object_api import LaggingObjectApi
from chivesaddle.standins.rate_limiting import TokenBucket


@pytest.fixture
def api(clock):
    return LaggingObjectApi(clock, 2.0)


class TestLaggingInstances:
    def test_instances_are_visible_only_after_the_lag(self, api, run, clock):
        run(api.create("instances", "i", {"state": "live"}, deadline=9))
        assert run(api.list_objects("instances", deadline=9)).items_by_name == {}
        with pytest.raises(ObjectNotFound):
            run(api.get("instances", "i", deadline=9))
        clock.advance(2.0)
        assert run(api.get("instances", "i", deadline=9)).value == {"state": "live"}

    def test_watch_of_instances_returns_after_the_lag(self, api, run, clock):
        waiting = start(api.wait_for_changes("instances", after=0, deadline=9))
        run(api.create("instances", "i", {}, deadline=9))
        assert not waiting.called
        clock.advance(2.0)
        assert [change.item.name for change in waiting.result.changes] == ["i"]

    def test_other_kinds_do_not_lag(self, api, run):
        run(api.create("leases", "l", {}, deadline=9))
        assert run(api.get("leases", "l", deadline=9)).version == 1

    def test_shortened_lag_never_restores_an_older_state(self, api, run, clock):
        """Guards against an instance that left and is listed as live again."""
        first = run(api.create("instances", "i", {"n": 1}, deadline=9))
        api.lag_s = 0
        run(api.update("instances", "i", {"n": 2}, version=first.version, deadline=9))
        clock.advance(2.0)
        assert run(api.get("instances", "i", deadline=9)).value == {"n": 2}


class TestTokenBucket:
    def test_rate_holds_over_time(self, clock):
        bucket = TokenBucket(clock, 10)
        assert sum(bucket.take() for _ in range(20)) == 10
        clock.advance(0.55)
        assert sum(bucket.take() for _ in range(20)) == 5
