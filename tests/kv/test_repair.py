import pytest

from chivesaddle.core.aio import start
from chivesaddle.kv import DeadlinePace, FixedPace, LinkScheduler, Repair, home_stores
from chivesaddle.kv.identity import home_key
from chivesaddle.kv.repair import LeaseLost


class FakeLease:
    def __init__(self):
        self.held = True

    def is_held_at(self, now):
        return self.held


class TestHomeStores:
    def test_home_stores_are_in_two_zones_and_unaffected_by_other_stores(self, env):
        """Guards against losing both replicas with one zone."""
        for n in range(50):
            first, second = home_stores(f"k{n}", env.configured_stores)
            assert first.zone != second.zone
            third = next(s for s in env.configured_stores if s not in (first, second))
            left = [s for s in env.configured_stores if s != third]
            assert home_stores(f"k{n}", left) == (first, second)

    def test_single_zone_gives_two_home_stores(self, env):
        stores = [s.model_copy(update={"zone": "z"}) for s in env.configured_stores]
        assert len({s.id for s in home_stores("k", stores)}) == 2


class TestRepair:
    @pytest.fixture
    def lease(self):
        return FakeLease()

    @pytest.fixture
    def build_repair(self, env, lease, clock):
        def build(pace):
            return Repair(
                lease,
                env.stores,
                LinkScheduler(clock),
                clock,
                pace,
                lambda: env.configured_stores,
            )

        return build

    @pytest.fixture
    def emptied_store_url(self, env):
        """Save a prompt, empty its second home store and return the store's URL."""
        env.save()
        url = home_stores(home_key(env.keys), env.configured_stores)[1].url
        env.stores.blocks[url].clear()
        env.stores.manifests[url].clear()
        return url

    def wait_for(self, clock, repairing, seconds=600):
        for _ in range(seconds * 10):
            if repairing.called:
                return repairing.result
            clock.advance(0.1)
        raise AssertionError("the round did not end")

    @pytest.mark.parametrize("pace", [FixedPace(1e6), DeadlinePace(60.0)])
    def test_missing_replica_is_restored_once(
        self, env, build_repair, emptied_store_url, clock, pace
    ):
        """Guards against a prompt that keeps a single replica after a store loss."""
        result = self.wait_for(clock, start(build_repair(pace).run_round()))
        # Prefixes of 4 to 9 blocks and the whole prompt of 10; each block is copied
        # once.
        assert (result.copied, result.failed) == (7, 0)
        assert result.copied_bytes == sum(map(len, env.expected_blocks.values()))
        replica = env.stores.manifests[emptied_store_url][env.keys[-1]]
        assert replica.keys == tuple(env.keys)
        second_round = self.wait_for(clock, start(build_repair(pace).run_round()))
        assert second_round.copied == 0

    def test_lost_lease_stops_before_the_next_write(
        self, env, build_repair, emptied_store_url, lease, clock
    ):
        """Guards against two daemons repairing at once after one was suspended."""
        env.hooks.calls.clear()
        env.hooks.on("get_block", lambda: setattr(lease, "held", False), call=2)
        repairing = start(build_repair(FixedPace(1e6)).run_round())
        repairing.addErrback(lambda f: f.check(LeaseLost))
        assert self.wait_for(clock, repairing) is LeaseLost
        assert env.hooks.calls["put_block"] == 1
        assert env.stores.manifests[emptied_store_url] == {}

    def test_corrupted_source_block_is_not_copied(
        self, env, build_repair, emptied_store_url, clock
    ):
        """Guards against repair spreading a corrupted block."""
        for url in env.stores.blocks:
            if url != emptied_store_url and env.keys[0] in env.stores.blocks[url]:
                env.stores.put(url, env.keys[0], b"damaged")
        result = self.wait_for(clock, start(build_repair(FixedPace(1e6)).run_round()))
        assert (result.copied, result.failed) == (0, 7)
        assert env.stores.blocks[emptied_store_url] == {}
        assert env.stores.manifests[emptied_store_url] == {}

    @pytest.mark.parametrize("down", [True, False], ids=["down", "full"])
    def test_target_that_is_down_or_full_receives_no_replica(
        self, env, build_repair, emptied_store_url, clock, down
    ):
        if down:
            env.stores.down.add(emptied_store_url)
        else:
            env.stores.capacity = 3
        result = self.wait_for(clock, start(build_repair(FixedPace(1e6)).run_round()))
        assert result.copied == 0
        assert result.failed == (0 if down else 7)

    def test_task_runs_only_while_the_lease_is_held(
        self, env, build_repair, emptied_store_url, lease, clock
    ):
        repair, calls = build_repair(FixedPace(1e6)), env.hooks.calls
        calls.clear()
        lease.held = False
        repair.start()
        clock.advance(1.0)
        assert not calls
        lease.held = True
        for _ in range(100):
            clock.advance(0.1)
        assert env.keys[-1] in env.stores.manifests[emptied_store_url]
        repair.stop()
        calls.clear()
        clock.advance(100)
        assert not calls

    def test_nothing_is_deleted(self, env, build_repair, emptied_store_url, clock):
        """Guards against repair removing a replica that an import may be reading."""
        before = {url: dict(m) for url, m in env.stores.manifests.items()}
        self.wait_for(clock, start(build_repair(FixedPace(1e6)).run_round()))
        for url, manifests in before.items():
            assert manifests.items() <= env.stores.manifests[url].items()
