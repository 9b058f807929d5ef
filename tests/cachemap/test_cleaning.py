import pytest

from chivesaddle.cachemap import CacheIndex, Cleaner

STORE = "10.9.0.1:80"


class World:
    def __init__(self, clock, run):
        self.clock, self.run = clock, run
        self.index = CacheIndex(clock)
        self.index.replace(
            STORE, 7, [(("1", "a"), 10), (("1.acme", "b"), 10), (("2", "a"), 10)]
        )
        self.oldest = 1
        self.freed = []
        self.cleaner = Cleaner(clock, self.index, self, lambda: self.oldest)

    async def free_parts(self, address, epoch, keys, deadline):
        self.freed.append((address, epoch, keys))

    def play(self, seconds, may_act=True):
        for _ in range(seconds):
            self.index.confirm(STORE, 7)
            self.run(self.cleaner.step([STORE], may_act))
            self.clock.advance(1)


@pytest.fixture
def world(clock, run):
    return World(clock, run)


class TestCleaner:
    def test_parts_of_replaced_versions_are_freed_after_a_quarantine(self, world):
        """Guards against freeing a part that a server is still fetching."""
        world.play(6)
        world.oldest = 2
        world.play(4)
        assert not world.freed
        world.play(2)
        address, epoch, keys = world.freed[0]
        assert (address, epoch) == (STORE, 7)
        assert sorted(keys) == [("1", "a"), ("1.acme", "b")]

    def test_one_server_on_older_weights_keeps_their_parts(self, world):
        world.play(20)
        assert not world.freed

    def test_daemon_that_gives_no_orders_frees_nothing(self, world):
        world.oldest = 2
        world.play(20, may_act=False)
        assert not world.freed

    def test_unknown_versions_free_nothing(self, world):
        world.oldest = None
        world.play(20)
        assert not world.freed
