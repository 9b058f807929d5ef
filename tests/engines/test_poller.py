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


class Engine:
    def __init__(self):
        self.mode = "serving"
        self.log = []
        self.first_seq = 1
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
            state=self.mode,
        )

    async def state(self, url, deadline):
        return EngineState(models={"m": ("v1",)})

    async def events(self, url, after, deadline):
        events = [
            {"seq": s, "type": t, "block_key": k}
            for s, (t, k) in enumerate(self.log, 1)
            if s > after and s >= self.first_seq
        ]
        return CacheEvents.from_json({"next": len(self.log), "events": events})

    async def blocks(self, url, deadline):
        self.blocks_read += 1
        keys = {}
        for type_, key in self.log:
            keys[key] = type_ == "stored"
        present = [k for k, there in keys.items() if there]
        return CachedBlocks.from_json({"seq": len(self.log), "block_keys": present})


class Router:
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

    def note_refused(self, server_id):
        self.refused.append(server_id)

    def note_restart(self, server_id):
        self.restarts += 1

    def set_leaving(self, server_id):
        self.leaving.append(server_id)


@pytest.fixture
def engine():
    return Engine()


@pytest.fixture
def router():
    return Router()


@pytest.fixture
def poller(engine, router, clock):
    engine.log = [("stored", "a")]
    poller = EnginePoller(engine, clock, router)
    poller.set_servers({SERVER: "http://a"})
    return poller


class TestEnginePoller:
    def test_events_change_the_known_blocks(self, poller, engine, router, clock):
        engine.log += [("stored", "b"), ("evicted", "a")]
        clock.advance(1)
        assert router.blocks == {"b"}
        assert engine.blocks_read == 1

    def test_a_gap_is_closed_by_the_full_list(self, poller, engine, router, clock):
        """Guards against routing to blocks whose eviction event was lost."""
        engine.log += [("evicted", "a"), ("stored", "c")]
        engine.first_seq = 3
        clock.advance(1)
        assert router.blocks == {"c"}
        assert engine.blocks_read == 2

    def test_a_restarted_engine_is_read_again(self, poller, engine, router, clock):
        engine.log = []
        clock.advance(1)
        assert router.blocks == set()

    def test_loaded_versions_are_reported(self, poller, router):
        """Guards against sending requests to servers that lack their version."""
        assert router.versions == {"m": ("v1",)}

    def test_draining_is_reported(self, poller, engine, router, clock):
        engine.mode = "draining"
        clock.advance(1)
        assert router.leaving == [SERVER]

    def test_a_server_that_refused_connections_was_restarted(
        self, poller, engine, router, clock
    ):
        """Guards against a restarted server being taken for the one that left."""
        engine.refusing = True
        clock.advance(1)
        engine.refusing = False
        clock.advance(1)
        clock.advance(1)
        assert router.refused == [SERVER]
        assert router.restarts == 1

    def test_polling_survives_a_refused_connection(self, poller, engine, router, clock):
        engine.refusing = True
        clock.advance(1)
        engine.refusing = False
        clock.advance(1)
        assert router.loads == 2

    def test_a_removed_server_is_polled_no_more(self, poller, router, clock):
        poller.set_servers({})
        clock.advance(3)
        assert router.loads == 1

    def test_many_servers_share_a_bounded_rate(self, engine, router, clock):
        """Guards against polls that take more than the control budget."""
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
