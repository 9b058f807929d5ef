import pytest

from chivesaddle.cachemap import CacheIndex, StoreCleaner

STORE = "10.9.0.1:80"


class CleanerHarness:
    def __init__(self, clock, run):
        self.clock, self.run = clock, run
        self.index = CacheIndex(clock)
        self.index.replace(
            STORE, 7, [(("1", "a"), 10), (("1.acme", "b"), 10), (("2", "a"), 10)]
        )
        self.oldest = 1
        self.freed = []
        self.cleaner = StoreCleaner(clock, self.index, self, lambda: self.oldest)

    async def free_parts(self, address, epoch, keys, deadline):
        self.freed.append((address, epoch, keys))

    def run_steps(self, seconds, may_free=True):
        for _ in range(seconds):
            self.index.confirm(STORE, 7)
            self.run(self.cleaner.step([STORE], may_free))
            self.clock.advance(1)


@pytest.fixture
def harness(clock, run):
    return CleanerHarness(clock, run)


class TestCleaner:
    def test_parts_of_replaced_versions_are_freed_after_a_quarantine(self, harness):
        """Guards against freeing a part that a server is still fetching."""
        harness.run_steps(6)
        harness.oldest = 2
        harness.run_steps(4)
        assert not harness.freed
        harness.run_steps(2)
        address, epoch, keys = harness.freed[0]
        assert (address, epoch) == (STORE, 7)
        assert sorted(keys) == [("1", "a"), ("1.acme", "b")]

    def test_parts_of_the_oldest_running_version_are_kept(self, harness):
        harness.run_steps(20)
        assert not harness.freed

    def test_daemon_that_does_not_give_orders_frees_nothing(self, harness):
        harness.oldest = 2
        harness.run_steps(20, may_free=False)
        assert not harness.freed

    def test_nothing_is_freed_while_versions_are_unknown(self, harness):
        harness.oldest = None
        harness.run_steps(20)
        assert not harness.freed
