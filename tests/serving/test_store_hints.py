from chivesaddle.objects import Lease, StoreEra
from chivesaddle.objects.memory import MemoryObjectApi
from chivesaddle.serving.store_hints import StoreHints


def make(clock):
    era = StoreEra(clock)
    lease = Lease(MemoryObjectApi(clock), clock, "weights", "d", "1", era=era)
    return StoreHints(era, lease), era, lease


class TestStoreHints:
    def test_daemon_without_the_store_learns_of_a_new_era(self, clock):
        told, told_era, _ = make(clock)
        other, other_era, _ = make(clock)
        told_era.observe(0)
        other_era.observe(1)
        told.apply_remote(other.collect())
        assert told_era.current == 1
        assert told_era.rose_at is not None

    def test_era_of_a_peer_that_has_not_heard_of_the_store_is_no_news(self, clock):
        """Guards against a first era that looks like a return from a copy."""
        told, told_era, _ = make(clock)
        told.apply_remote(make(clock)[0].collect())
        told_era.observe(7)
        assert told_era.rose_at is None

    def test_highest_term_of_any_daemon_counts(self, clock):
        told, _, lease = make(clock)
        other, _, other_lease = make(clock)
        other_lease.observe_term(9)
        told.apply_remote(other.collect())
        assert lease.highest_term == 9
        told.apply_remote(make(clock)[0].collect())
        assert lease.highest_term == 9
