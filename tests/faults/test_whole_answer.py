"""Answers and KV blocks under faults, judged by the text that a right answer has.

Engines and stores are the state machines of the stand-ins, whose text changes with any
wrong context, weight version or KV data.
"""

import json
from types import SimpleNamespace

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.web.client import ResponseDone

from chivesaddle.core.aio import start
from chivesaddle.core.ids import BackendServerId, RequestId
from chivesaddle.core.model import BackendServer, ConfigState, Store
from chivesaddle.engines import (
    ApiStyle,
    EngineNotFound,
    EngineRefused,
    RelayRequest,
    StreamInterrupted,
    StreamRelay,
    Target,
    VersionNotLoaded,
)
from chivesaddle.engines.chunks import DONE
from chivesaddle.kv import KvService, Manifest, NotInStore, StoreFull, scope
from chivesaddle.kv.store import StoredBlock, StoreStatus
from chivesaddle.standins import engine_transfers
from chivesaddle.standins.blocks import block_keys
from chivesaddle.standins.engine_core import Completion, EngineConfig, EngineCore
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.engine_transfers import Transfers
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.expected import expected_text
from chivesaddle.standins.faults import EngineFaults, StoreFaults
from chivesaddle.standins.http_client import Response
from chivesaddle.standins.store_core import StoreConfig, StoreCore

PROMPT = "course handbook " * 256  # 4 blocks
TOKENS = 6
SALT = scope("acc", "m", "v1", None)


def make_core(clock, version="v1"):
    models = LoadedModels.from_config([f"m:{version}"], checks_fence=True)
    return EngineCore(clock, EngineConfig(), models, lambda: None)


def generate(core, clock, request_id, **fields):
    """Run a request to its end; return its stream."""
    values = {"max_tokens": TOKENS, "weight_version": "v1", "cache_salt": SALT}
    prompt = fields.pop("prompt", PROMPT)
    completion = Completion(request_id, "m", prompt, **values | fields)
    stream = core.submit(completion)
    clock.pump([0.5] * 4 + [0.01] * 20)
    return stream


class CoreEngines:
    """Engine client over state machines; ``cuts`` are the next streams' breaks.

    A cut is a number of events, after which the connection breaks, falls silent
    (``silent``) or breaks for good (``dead``).
    """

    def __init__(self, clock, parts, versions):
        self._clock, self._parts = clock, parts
        self.own_clock = Clock()
        self.cores = {
            f"http://{name}": make_core(self.own_clock, version)
            for name, version in versions.items()
        }
        self.dead = set()
        self.cuts = []
        self.swap = None

    def _core(self, url):
        if url in self.dead:
            raise EngineRefused("dead")
        return self.cores[url]

    async def open_stream(self, url, path, body, deadline):
        fields = {k: v for k, v in body.items() if k not in ("model", "prompt")}
        core = self._core(url)
        try:
            stream = generate(core, self.own_clock, fields.pop("request_id"), **fields)
        except Rejected as error:
            raise VersionNotLoaded(error.message) from None
        return self._script(url, self.swap or stream, stream.first_index)

    async def resume(self, url, request_id, after, cache_salt, deadline):
        try:
            stream = self._core(url).find_stream(request_id, cache_salt)
        except Rejected as error:
            raise EngineNotFound(error.message) from None
        return self._script(url, stream, after)

    async def cancel(self, url, request_id, cache_salt, deadline):
        if url not in self.dead:
            self.cores[url].cancel(request_id, cache_salt)

    def _script(self, url, stream, index):
        chunk, request_id = self._parts.chunk, stream.completion.request_id
        events = [
            chunk(i, stream.tokens[i - stream.first_index], request_id)
            for i in range(index, stream.end_index)
        ]
        end = stream.end_index
        events += [chunk(end, "", request_id, usage=end), DONE]
        if not self.cuts:
            return self._parts.Script(self._clock, events, ResponseDone())
        kind, kept = self.cuts.pop(0)
        if kind == "dead":
            self.dead.add(url)
        closing = None if kind == "silent" else ConnectionDone()
        return self._parts.Script(self._clock, events[:kept], closing)


@pytest.fixture
def engine_parts(parts_of):
    return parts_of("engines")


class Relayed:
    """One caller's request relayed over three engines."""

    def __init__(self, clock, parts, versions):
        self.clock, self.parts = clock, parts
        self.engines = CoreEngines(clock, parts, versions)
        self.relay = StreamRelay(self.engines, clock, parts.Budget())
        self.sink, self.guide = parts.Sink(), parts.Guide()

    def run(self, body=True, tokens=0):
        request = RelayRequest(
            RequestId("req-1"),
            "/v1/completions",
            {
                "model": "m",
                "prompt": PROMPT,
                "max_tokens": TOKENS,
                "weight_version": "v1",
                "cache_salt": SALT,
                "request_id": "req-1",
            }
            if body
            else None,
            SALT,
            ApiStyle.COMPLETION,
            deadline=10.0,
            max_tokens=TOKENS,
            tokens=tokens,
        )
        target = Target(BackendServerId("a"), "http://a")
        running = start(self.relay.run(request, target, self.sink, self.guide))
        running.addErrback(lambda failure: None)
        self.clock.pump([0.5] * 40)
        return self.sink


@pytest.fixture
def make_relayed(clock, engine_parts):
    def make(a="v1", b="v1", c="v1", d="v1"):
        return Relayed(clock, engine_parts, {"a": a, "b": b, "c": c, "d": d})

    return make


WHOLE = expected_text("m", "v1", PROMPT, TOKENS)
BREAKS = {
    "broken": [("cut", 0)],
    "broken twice": [("cut", 0), ("cut", 1)],
    "silent": [("silent", 0)],
    "server lost": [("dead", 0)],
    "two servers lost": [("dead", 0), ("dead", 1)],
    "broken, then server lost": [("cut", 0), ("dead", 1)],
}


class TestStreams:
    @pytest.mark.fault("whole_answer", step="token {token}", fault="{name}")
    @pytest.mark.parametrize("token", range(TOKENS + 2))
    @pytest.mark.parametrize("name", BREAKS)
    def test_answer_is_whole_after_a_break_at_any_token(
        self, make_relayed, token, name
    ):
        """Guards against lost, repeated or changed tokens after a recovery."""
        relayed = make_relayed()
        relayed.engines.cuts = [
            (k, n + (token if i == 0 else 0)) for i, (k, n) in enumerate(BREAKS[name])
        ]
        sink = relayed.run()
        assert sink.text == WHOLE
        assert sink.finished
        assert sink.events[-1] == DONE

    @pytest.mark.fault("whole_answer", step="token {token}", fault="every server lost")
    @pytest.mark.parametrize("token", range(TOKENS))
    def test_answer_that_cannot_be_continued_ends_with_an_error(
        self, make_relayed, token
    ):
        """Guards against a short answer that looks complete."""
        relayed = make_relayed()
        relayed.engines.dead |= {"http://b", "http://c", "http://d"}
        relayed.engines.cuts = [("dead", token)]
        sink = relayed.run()
        assert isinstance(sink.error, StreamInterrupted if token else EngineRefused)
        assert sink.error.retry_after_s > 0
        assert not sink.finished
        assert DONE not in sink.data
        assert WHOLE.startswith(sink.text)

    @pytest.mark.fault(
        "whole_answer", step="token {token}", fault="resumed by another daemon"
    )
    @pytest.mark.parametrize("token", range(TOKENS + 1))
    def test_another_daemon_delivers_exactly_the_rest(
        self, make_relayed, engine_parts, token
    ):
        """Guards against a gap or overlap when a caller's daemon is lost."""
        relayed = make_relayed()
        relayed.run()
        first = engine_parts.Sink()
        first.data = b"".join(relayed.sink.events[:token])
        relayed.sink = engine_parts.Sink()
        rest = relayed.run(body=False, tokens=token)
        assert first.text + rest.text == WHOLE
        assert rest.finished

    @pytest.mark.fault(
        "whole_answer", step="token {token}", fault="server lost during a version swap"
    )
    @pytest.mark.parametrize("token", range(TOKENS + 1))
    def test_answer_never_mixes_weight_versions(self, make_relayed, token):
        """Guards against a continuation by a server that has swapped already."""
        relayed = make_relayed(b="v2")
        relayed.engines.cuts = [("dead", token)]
        assert relayed.run().text == WHOLE

    @pytest.mark.fault("whole_answer", step="{prompt}", fault="answers crossed")
    @pytest.mark.parametrize("prompt", ["same prompt", "other prompt"])
    def test_crossed_answer_is_replaced_by_the_own_one(self, make_relayed, prompt):
        """Guards against delivering another caller's answer."""
        relayed = make_relayed()
        engines = relayed.engines
        text = PROMPT if prompt == "same prompt" else "secret " * 600
        other = generate(
            engines.cores["http://a"], engines.own_clock, "req-2", prompt=text
        )
        engines.swap = other
        sink = relayed.run()
        assert b"req-2" not in sink.data
        assert sink.text in (WHOLE, "")
        assert sink.finished == (sink.text == WHOLE)


class CoreStores:
    """Store client and the engine's store access over `StoreCore`."""

    def __init__(self, clock):
        size = {"memory_bytes": 64 << 20, "bytes_per_block": 1 << 20}
        self.cores = {
            f"http://s{i}": StoreCore(clock, StoreConfig(**size)) for i in range(2)
        }
        # Called before each block transfer and manifest call, with its number.
        self.hook = lambda step, number: None
        self.counts = {}

    def _reach(self, step):
        self.counts[step] = self.counts.get(step, 0) + 1
        self.hook(step, self.counts[step])

    async def send(self, method, url, body=b"", headers=None):
        base, _, key = url.partition("/blocks/")
        core = self.cores[base]
        self._reach("write" if method == "PUT" else "read")
        try:
            if method == "PUT":
                length, digest = int(headers["X-Length"]), headers["X-Checksum"]
                generation = core.put_block(key, body, length, digest)
                answer = json.dumps({"generation": generation}).encode()
                return Response(200, {}, answer)
            block = core.read_block(key)
        except Rejected as error:
            return Response(error.status, {}, b"")
        headers = {"X-Generation": str(block.generation)}
        return Response(200, headers, block.payload)

    async def get_block(self, store, key, *, deadline):
        block = self.cores[store.url].read_block(key)
        return StoredBlock(block.payload, block.generation, block.checksum)

    async def put_block(self, store, key, data, *, deadline):
        raise StoreFull("only engines write here")

    async def get_manifest(self, store, key, *, deadline):
        self._reach("get manifest")
        try:
            found = self.cores[store.url].get_manifest(key)
        except Rejected:
            raise NotInStore(key) from None
        return Manifest.model_validate(found)

    async def put_manifest(self, store, manifest, *, deadline):
        self._reach("put manifest")
        record = manifest.to_json()
        self.cores[store.url].put_manifest(manifest.prefix_key, record)

    async def status(self, store, *, deadline):
        return StoreStatus.model_validate(self.cores[store.url].status())


class CoreEngineKv:
    """The engine's imports and exports over `Transfers`."""

    def __init__(self, core):
        self.core, self.transfers = core, Transfers(core)

    async def stage_import(self, url, import_id, source, salt, keys, deadline):
        return await self.transfers.stage(import_id, source, salt, keys)

    async def commit_import(self, url, import_id, deadline):
        self.transfers.commit(import_id)

    async def discard_import(self, url, import_id, deadline):
        self.transfers.discard(import_id)

    async def export(self, url, target, salt, keys, deadline):
        return await self.transfers.export(target, salt, keys)


STORE_FAULTS = ("missing_next", "freed_next", "truncate_next", "corrupt_next")
ENGINE_FAULTS = ("corrupt_import_next",)
WRITE_FAULTS = ("torn_write_next", "full")
EXPORT_FAULTS = ("free_in_export_next", "corrupt_export_next")
SERVER = BackendServer(id="e", url="http://e", zone="z0", models=("m",))


@pytest.fixture
def blocks(clock, monkeypatch):
    """Engine, two stores and the service under test, all on virtual clocks."""
    stores = CoreStores(clock)
    monkeypatch.setattr(engine_transfers, "_send", stores.send)
    engine_clock = Clock()
    engine = CoreEngineKv(make_core(engine_clock))
    service = KvService(stores, engine, clock)
    configured = {
        f"s{i}": Store(id=f"s{i}", url=f"http://s{i}", zone=f"z{i}") for i in range(2)
    }
    service.update_config(ConfigState(revision=1, stores_by_id=configured))
    keys = block_keys(SALT, PROMPT.encode())
    return SimpleNamespace(
        stores=stores,
        engine=engine,
        service=service,
        keys=keys,
        ask=lambda name, **kw: generate(engine.core, engine_clock, name, **kw),
    )


def text_of(stream):
    return "".join(stream.tokens)


def switch(blocks, fault):
    """Turn a fault switch of the stand-ins on, in both stores or in the engine."""
    if fault in StoreFaults.model_fields:
        for core in blocks.stores.cores.values():
            core.set_faults(StoreFaults(**{fault: 1}))
    else:
        blocks.engine.core.set_faults(EngineFaults(**{fault: 1}))


def strike_at(blocks, step, number, fault):
    def hook(reached, count):
        if (reached, count) == (step, number):
            switch(blocks, fault)

    blocks.stores.hook = hook


class TestBlocks:
    @pytest.mark.fault("whole_answer", step="import, block {number}", fault="{fault}")
    @pytest.mark.parametrize("number", [1, 2, 3, 4])
    @pytest.mark.parametrize("fault", STORE_FAULTS + ENGINE_FAULTS)
    def test_text_is_right_after_a_fault_in_an_import(self, blocks, run, number, fault):
        """Guards against a response built from a freed or partly written block."""
        blocks.ask("r0")
        assert run(blocks.service.save(SALT, blocks.keys, SERVER)).store_ids
        blocks.engine.core.cache.evict()
        found = run(blocks.service.find(SALT, blocks.keys, 1.0))
        assert found.blocks == 4
        blocks.stores.counts.clear()
        strike_at(blocks, "read", number, fault)
        result = run(blocks.service.load(found, SERVER, 1.0))
        # The engine alters a block after it was asked for, so it meets the next one.
        assert result.blocks == 0 or (fault, number) == ("corrupt_import_next", 4)
        stream = blocks.ask("r1")
        assert text_of(stream) == WHOLE

    @pytest.mark.fault("whole_answer", step="export, block {number}", fault="{fault}")
    @pytest.mark.parametrize("number", [1, 2, 3, 4, 5, 8])
    @pytest.mark.parametrize("fault", WRITE_FAULTS)
    def test_text_is_right_after_a_fault_in_an_export(self, blocks, run, number, fault):
        """Guards against a manifest that names a missing or partly written block."""
        strike_at(blocks, "write", number, fault)
        self._save_and_reuse(blocks, run)

    @pytest.mark.fault("whole_answer", step="export", fault="{fault}")
    @pytest.mark.parametrize("fault", [*EXPORT_FAULTS, "manifest_without_blocks_next"])
    def test_text_is_right_after_a_fault_of_an_exporter(self, blocks, run, fault):
        """Guards against manifests whose blocks were freed or sent wrong."""
        switch(blocks, fault)
        self._save_and_reuse(blocks, run)

    def _save_and_reuse(self, blocks, run):
        blocks.ask("r0")
        run(blocks.service.save(SALT, blocks.keys, SERVER))
        blocks.engine.core.cache.evict()
        found = run(blocks.service.find(SALT, blocks.keys, 1.0))
        if found is not None:
            run(blocks.service.load(found, SERVER, 1.0))
        assert text_of(blocks.ask("r1")) == WHOLE

    @pytest.mark.fault("whole_answer", step="reuse", fault="{name}")
    @pytest.mark.parametrize(
        ("name", "other"),
        [
            ("other account", ("other", "m", "v1", None)),
            ("other adapter", ("acc", "m", "v1", "x")),
            ("other model", ("acc", "n", "v1", None)),
            ("other weight version", ("acc", "m", "v2", None)),
        ],
    )
    def test_nothing_is_reused_across_scopes(self, blocks, run, name, other):
        """Guards against one account's or version's blocks in another's answer."""
        blocks.ask("r0")
        run(blocks.service.save(SALT, blocks.keys, SERVER))
        other_keys = block_keys(scope(*other), PROMPT.encode())
        assert run(blocks.service.find(scope(*other), other_keys, 1.0)) is None
        assert run(blocks.service.find(scope(*other), blocks.keys, 1.0)) is None
        assert blocks.ask("r1", cache_salt=scope(*other)).cached_tokens == 0

    @pytest.mark.fault("whole_answer", step="reuse", fault="version swap")
    def test_new_version_computes_its_own_blocks(self, blocks, run):
        """Guards against answers of a swapped server from old blocks."""
        blocks.ask("r0")
        run(blocks.service.save(SALT, blocks.keys, SERVER))
        blocks.engine.core.models.apply(
            {"order": "load_version", "model": "m", "version": "v2"}
        )
        salt = scope("acc", "m", "v2", None)
        stream = blocks.ask("r1", weight_version="v2", cache_salt=salt)
        assert text_of(stream) == expected_text("m", "v2", PROMPT, TOKENS)
        assert text_of(blocks.ask("r2")) == WHOLE
