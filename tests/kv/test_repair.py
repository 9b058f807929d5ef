import pytest

from chivesaddle.core.aio import start
from chivesaddle.kv import DeadlinePace, FixedPace, LinkScheduler, Repair, home_stores
from chivesaddle.kv.identity import home_key
from chivesaddle.kv.repair import LeaseLost


class FakeLease:
    def __init__(self):
        self.held = True

    def held_at(self, now):
        return self.held


class TestHomeStores:
    def test_homes_are_in_two_zones_and_move_only_with_their_store(self, world):
        """Guards against both copies being lost with one zone."""
        for n in range(50):
            first, second = home_stores(f"k{n}", world.configured)
            assert first.zone != second.zone
            third = next(s for s in world.configured if s not in (first, second))
            left = [s for s in world.configured if s != third]
            assert home_stores(f"k{n}", left) == (first, second)

    def test_single_zone_still_gives_two_stores(self, world):
        stores = [s.model_copy(update={"zone": "z"}) for s in world.configured]
        assert len({s.id for s in home_stores("k", stores)}) == 2


class TestRepair:
    @pytest.fixture
    def lease(self):
        return FakeLease()

    @pytest.fixture
    def build(self, world, lease, clock):
        def build_repair(pace):
            return Repair(
                lease,
                world.stores,
                LinkScheduler(clock),
                clock,
                pace,
                lambda: world.configured,
            )

        return build_repair

    @pytest.fixture
    def lost(self, world):
        """Save a prompt, then let its second home lose everything; return its URL."""
        world.save()
        url = home_stores(home_key(world.keys), world.configured)[1].url
        world.stores.blocks[url].clear()
        world.stores.manifests[url].clear()
        return url

    def finish(self, clock, repairing, seconds=600):
        for _ in range(seconds * 10):
            if repairing.called:
                return repairing.result
            clock.advance(0.1)
        raise AssertionError("the round did not end")

    @pytest.mark.parametrize("pace", [FixedPace(1e6), DeadlinePace(60.0)])
    def test_missing_replica_is_restored_once(self, world, build, lost, clock, pace):
        """Guards against a prompt that stays with one copy after a store loss."""
        result = self.finish(clock, start(build(pace).run_round()))
        # Checkpoints 4 to 9 and the whole prompt of 10; each block is copied once.
        assert (result.copied, result.failed) == (7, 0)
        assert result.copied_bytes == sum(map(len, world.truth.values()))
        copy = world.stores.manifests[lost][world.keys[-1]]
        assert copy.keys == tuple(world.keys)
        again = self.finish(clock, start(build(pace).run_round()))
        assert again.copied == 0

    def test_lost_lease_stops_before_the_next_write(
        self, world, build, lost, lease, clock
    ):
        """Guards against two daemons repairing at once after a pause."""
        world.hooks.calls.clear()
        world.hooks.on("get_block", lambda: setattr(lease, "held", False), call=2)
        repairing = start(build(FixedPace(1e6)).run_round())
        repairing.addErrback(lambda f: f.check(LeaseLost))
        assert self.finish(clock, repairing) is LeaseLost
        assert world.hooks.calls["put_block"] == 1
        assert world.stores.manifests[lost] == {}

    def test_damaged_source_block_is_not_copied(self, world, build, lost, clock):
        """Guards against repair spreading a corrupted block."""
        for url in world.stores.blocks:
            if url != lost and world.keys[0] in world.stores.blocks[url]:
                world.stores.put(url, world.keys[0], b"damaged")
        result = self.finish(clock, start(build(FixedPace(1e6)).run_round()))
        assert (result.copied, result.failed) == (0, 7)
        assert world.stores.blocks[lost] == {}
        assert world.stores.manifests[lost] == {}

    @pytest.mark.parametrize("dead", [True, False], ids=["dead", "full"])
    def test_target_that_cannot_take_a_copy_fails_the_copy_only(
        self, world, build, lost, clock, dead
    ):
        if dead:
            world.stores.down.add(lost)
        else:
            world.stores.capacity = 3
        result = self.finish(clock, start(build(FixedPace(1e6)).run_round()))
        assert result.copied == 0
        assert result.failed == (0 if dead else 7)

    def test_task_works_only_while_the_lease_is_held(
        self, world, build, lost, lease, clock
    ):
        repair, calls = build(FixedPace(1e6)), world.hooks.calls
        calls.clear()
        lease.held = False
        repair.start()
        clock.advance(1.0)
        assert not calls
        lease.held = True
        for _ in range(100):
            clock.advance(0.1)
        assert world.keys[-1] in world.stores.manifests[lost]
        repair.stop()
        calls.clear()
        clock.advance(100)
        assert not calls

    def test_nothing_is_deleted(self, world, build, lost, clock):
        """Guards against repair removing a copy that an import may be reading."""
        before = {url: dict(m) for url, m in world.stores.manifests.items()}
        self.finish(clock, start(build(FixedPace(1e6)).run_round()))
        for url, manifests in before.items():
            assert manifests.items() <= world.stores.manifests[url].items()
