from random import Random

import pytest

from chivesaddle.core.ids import BackendServerId
from chivesaddle.engines import (
    EnginePoller,
    EngineRefused,
    EngineState,
    LoadReport,
)
from chivesaddle.engines.reports import CachedBlocks, CacheEvents

SERVER = BackendServerId("a")


class FakeEngine:
    def __init__(self):
        self.reported_state = "serving"
        self.cache_events = []
        self.first_available_seq = 1
        self.blocks_read = 0
        self.refusing = False

    async def load(self, url, deadline):
        if self.refusing:
            raise EngineRefused("down")
        return LoadReport(
            running=0,
            queued=0,
            max_running=1,
            prefill_tokens_per_s=1,
            decode_tokens_per_s=1,
            state=self.reported_state,
        )

    async def state(self, url, deadline):
        return EngineState(models={"m": ("v1",)})

    async def events(self, url, after, deadline):
        events = [
            {"seq": s, "type": t, "block_key": k}
            for s, (t, k) in enumerate(self.cache_events, 1)
            if s > after and s >= self.first_available_seq
        ]
        return CacheEvents.from_json({"next": len(self.cache_events), "events": events})

    async def blocks(self, url, deadline):
        self.blocks_read += 1
        keys = {}
        for event_type, key in self.cache_events:
            keys[key] = event_type == "stored"
        cached_keys = [k for k, cached in keys.items() if cached]
        return CachedBlocks.from_json(
            {"seq": len(self.cache_events), "block_keys": cached_keys}
        )


class RecordingRouter:
    def __init__(self):
        self.blocks = set()
        self.loads = 0
        self.leaving = []
        self.versions = None
        self.restarts = 0
        self.refused = []

    def update_load(self, server_id, report, now):
        self.loads += 1

    def update_blocks(self, server_id, stored, evicted):
        self.blocks = (self.blocks | stored) - evicted

    def update_versions(self, server_id, state):
        self.versions = state.models

    def record_connection_refused(self, server_id):
        self.refused.append(server_id)

    def record_restart(self, server_id):
        self.restarts += 1

    def mark_leaving(self, server_id):
        self.leaving.append(server_id)


@pytest.fixture
def engine():
    return FakeEngine()


@pytest.fixture
def router():
    return RecordingRouter()


@pytest.fixture
def poller(engine, router, clock):
    engine.cache_events = [("stored", "a")]
    poller = EnginePoller(engine, clock, router)
    poller.set_servers({SERVER: "http://a"})
    return poller


class TestEnginePoller:
    def test_cache_events_update_the_cached_blocks(self, poller, engine, router, clock):
        engine.cache_events += [("stored", "b"), ("evicted", "a")]
        clock.advance(1)
        assert router.blocks == {"b"}
        assert engine.blocks_read == 1

    def test_after_a_gap_the_full_list_is_read(self, poller, engine, router, clock):
        """Guards against routing to blocks whose eviction event was lost."""
        engine.cache_events += [("evicted", "a"), ("stored", "c")]
        engine.first_available_seq = 3
        clock.advance(1)
        assert router.blocks == {"c"}
        assert engine.blocks_read == 2

    def test_a_restarted_engine_is_read_again(self, poller, engine, router, clock):
        engine.cache_events = []
        clock.advance(1)
        assert router.blocks == set()

    def test_loaded_versions_are_reported(self, poller, router):
        """Guards against sending requests to servers that lack their version."""
        assert router.versions == {"m": ("v1",)}

    def test_a_draining_server_is_reported_as_leaving(
        self, poller, engine, router, clock
    ):
        engine.reported_state = "draining"
        clock.advance(1)
        assert router.leaving == [SERVER]

    def test_a_server_that_refused_connections_was_restarted(
        self, poller, engine, router, clock
    ):
        """Guards against treating a restarted server as still leaving."""
        engine.refusing = True
        clock.advance(1)
        engine.refusing = False
        clock.advance(1)
        clock.advance(1)
        assert router.refused == [SERVER]
        assert router.restarts == 1

    def test_polling_continues_after_a_refused_connection(
        self, poller, engine, router, clock
    ):
        engine.refusing = True
        clock.advance(1)
        engine.refusing = False
        clock.advance(1)
        assert router.loads == 2

    def test_a_removed_server_is_no_longer_polled(self, poller, router, clock):
        poller.set_servers({})
        clock.advance(3)
        assert router.loads == 1

    def test_many_servers_share_a_limited_poll_rate(self, engine, router, clock):
        """Guards against polls that exceed the CPU budget for control work."""
        poller = EnginePoller(engine, clock, router, Random(1))
        poller.set_servers({BackendServerId(f"s{n}"): "http://a" for n in range(40)})
        clock.advance(0)
        assert router.loads <= 1
        for _ in range(100):
            clock.advance(0.1)
        assert router.loads == 40
        for _ in range(100):
            clock.advance(0.1)
        assert router.loads == 80
