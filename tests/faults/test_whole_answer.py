"""Answers and KV blocks under faults; the text is compared with the expected one.

Engines and stores are the stand-ins' state machines. The text that they generate
differs if any context, weight version or KV data is wrong.
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
from chivesaddle.standins.engine_transfers import BlockTransfers
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.expected import expected_text
from chivesaddle.standins.faults import EngineFaults, StoreFaults
from chivesaddle.standins.http_client import Response
from chivesaddle.standins.store_core import StoreConfig, StoreCore

PROMPT = "course handbook " * 256  # 4 blocks
ANSWER_TOKENS = 6
CACHE_SALT = scope("acc", "m", "v1", None)


def make_engine_core(clock, version="v1"):
    models = LoadedModels.from_config([f"m:{version}"], checks_fence=True)
    return EngineCore(clock, EngineConfig(), models, lambda: None)


def generate(core, clock, request_id, **fields):
    """Run a request until it is completed; return its stream."""
    values = {
        "max_tokens": ANSWER_TOKENS,
        "weight_version": "v1",
        "cache_salt": CACHE_SALT,
    }
    prompt = fields.pop("prompt", PROMPT)
    completion = Completion(request_id, "m", prompt, **values | fields)
    stream = core.submit(completion)
    clock.pump([0.5] * 4 + [0.01] * 20)
    return stream


class InMemoryEngines:
    """Engine client over the stand-ins' state machines.

    ``stream_faults`` are the faults of the next streams as (kind, number of events)
    pairs. After that number of events, the connection is closed (``closed``), stays
    open but delivers nothing more (``silent``), or its server fails (``server_lost``).
    """

    def __init__(self, clock, engines_conftest, versions):
        self._clock, self._engines_conftest = clock, engines_conftest
        self.engine_clock = Clock()
        self.cores = {
            f"http://{name}": make_engine_core(self.engine_clock, version)
            for name, version in versions.items()
        }
        self.stopped_urls = set()
        self.stream_faults = []
        self.replacement_stream = None

    def _core(self, url):
        if url in self.stopped_urls:
            raise EngineRefused("server lost")
        return self.cores[url]

    async def open_stream(self, url, path, body, deadline):
        fields = {k: v for k, v in body.items() if k not in ("model", "prompt")}
        core = self._core(url)
        try:
            stream = generate(
                core, self.engine_clock, fields.pop("request_id"), **fields
            )
        except Rejected as error:
            raise VersionNotLoaded(error.message) from None
        return self._make_stream(
            url, self.replacement_stream or stream, stream.first_index
        )

    async def resume(self, url, request_id, after, cache_salt, deadline):
        try:
            stream = self._core(url).find_stream(request_id, cache_salt)
        except Rejected as error:
            raise EngineNotFound(error.message) from None
        return self._make_stream(url, stream, after)

    async def cancel(self, url, request_id, cache_salt, deadline):
        if url not in self.stopped_urls:
            self.cores[url].cancel(request_id, cache_salt)

    def _make_stream(self, url, stream, index):
        chunk, request_id = self._engines_conftest.chunk, stream.completion.request_id
        events = [
            chunk(i, stream.tokens[i - stream.first_index], request_id)
            for i in range(index, stream.end_index)
        ]
        end = stream.end_index
        events += [chunk(end, "", request_id, usage=end), DONE]
        if not self.stream_faults:
            return self._engines_conftest.ScriptedStream(
                self._clock, events, ResponseDone()
            )
        kind, event_count = self.stream_faults.pop(0)
        if kind == "server_lost":
            self.stopped_urls.add(url)
        closing = None if kind == "silent" else ConnectionDone()
        return self._engines_conftest.ScriptedStream(
            self._clock, events[:event_count], closing
        )


@pytest.fixture
def engines_conftest(import_conftest):
    return import_conftest("engines")


class RelayRun:
    """Relays one request; it starts at engine ``a`` and may continue at the others."""

    def __init__(self, clock, engines_conftest, versions):
        self.clock, self.engines_conftest = clock, engines_conftest
        self.engines = InMemoryEngines(clock, engines_conftest, versions)
        self.relay = StreamRelay(self.engines, clock, engines_conftest.Budget())
        self.sink, self.delegate = (
            engines_conftest.RecordingSink(),
            engines_conftest.RecordingDelegate(),
        )

    def run(self, body=True, tokens=0):
        request = RelayRequest(
            RequestId("req-1"),
            "/v1/completions",
            {
                "model": "m",
                "prompt": PROMPT,
                "max_tokens": ANSWER_TOKENS,
                "weight_version": "v1",
                "cache_salt": CACHE_SALT,
                "request_id": "req-1",
            }
            if body
            else None,
            CACHE_SALT,
            ApiStyle.COMPLETION,
            deadline=10.0,
            max_tokens=ANSWER_TOKENS,
            tokens=tokens,
        )
        target = Target(BackendServerId("a"), "http://a")
        relaying = start(self.relay.run(request, target, self.sink, self.delegate))
        relaying.addErrback(lambda failure: None)
        self.clock.pump([0.5] * 40)
        return self.sink


@pytest.fixture
def make_relay_run(clock, engines_conftest):
    def make(a="v1", b="v1", c="v1", d="v1"):
        return RelayRun(clock, engines_conftest, {"a": a, "b": b, "c": c, "d": d})

    return make


EXPECTED_TEXT = expected_text("m", "v1", PROMPT, ANSWER_TOKENS)
STREAM_FAULT_SEQUENCES = {
    "broken": [("closed", 0)],
    "broken twice": [("closed", 0), ("closed", 1)],
    "silent": [("silent", 0)],
    "server lost": [("server_lost", 0)],
    "two servers lost": [("server_lost", 0), ("server_lost", 1)],
    "broken, then server lost": [("closed", 0), ("server_lost", 1)],
}


class TestStreams:
    @pytest.mark.fault("whole_answer", step="token {token}", fault="{name}")
    @pytest.mark.parametrize("token", range(ANSWER_TOKENS + 2))
    @pytest.mark.parametrize("name", STREAM_FAULT_SEQUENCES)
    def test_answer_is_whole_after_a_break_at_any_token(
        self, make_relay_run, token, name
    ):
        """Guards against lost, repeated or changed tokens after a recovery."""
        relay_run = make_relay_run()
        relay_run.engines.stream_faults = [
            (kind, count + (token if i == 0 else 0))
            for i, (kind, count) in enumerate(STREAM_FAULT_SEQUENCES[name])
        ]
        sink = relay_run.run()
        assert sink.text == EXPECTED_TEXT
        assert sink.finished
        assert sink.events[-1] == DONE

    @pytest.mark.fault("whole_answer", step="token {token}", fault="every server lost")
    @pytest.mark.parametrize("token", range(ANSWER_TOKENS))
    def test_answer_that_cannot_be_continued_ends_with_an_error(
        self, make_relay_run, token
    ):
        """Guards against a truncated answer that looks complete."""
        relay_run = make_relay_run()
        relay_run.engines.stopped_urls |= {"http://b", "http://c", "http://d"}
        relay_run.engines.stream_faults = [("server_lost", token)]
        sink = relay_run.run()
        assert isinstance(sink.error, StreamInterrupted if token else EngineRefused)
        assert sink.error.retry_after_s > 0
        assert not sink.finished
        assert DONE not in sink.data
        assert EXPECTED_TEXT.startswith(sink.text)

    @pytest.mark.fault(
        "whole_answer", step="token {token}", fault="resumed by another daemon"
    )
    @pytest.mark.parametrize("token", range(ANSWER_TOKENS + 1))
    def test_another_daemon_delivers_exactly_the_rest(
        self, make_relay_run, engines_conftest, token
    ):
        """Guards against a gap or overlap when a caller's daemon is lost."""
        relay_run = make_relay_run()
        relay_run.run()
        first = engines_conftest.RecordingSink()
        first.data = b"".join(relay_run.sink.events[:token])
        relay_run.sink = engines_conftest.RecordingSink()
        remainder = relay_run.run(body=False, tokens=token)
        assert first.text + remainder.text == EXPECTED_TEXT
        assert remainder.finished

    @pytest.mark.fault(
        "whole_answer", step="token {token}", fault="server lost during a version swap"
    )
    @pytest.mark.parametrize("token", range(ANSWER_TOKENS + 1))
    def test_answer_never_mixes_weight_versions(self, make_relay_run, token):
        """Guards against continuing at a server that already runs another version."""
        relay_run = make_relay_run(b="v2")
        relay_run.engines.stream_faults = [("server_lost", token)]
        assert relay_run.run().text == EXPECTED_TEXT

    @pytest.mark.fault(
        "whole_answer", step="{prompt}", fault="answer of another request"
    )
    @pytest.mark.parametrize("prompt", ["same prompt", "other prompt"])
    def test_answer_of_another_request_is_not_delivered(self, make_relay_run, prompt):
        """Guards against delivering another caller's answer."""
        relay_run = make_relay_run()
        engines = relay_run.engines
        text = PROMPT if prompt == "same prompt" else "secret " * 600
        other = generate(
            engines.cores["http://a"], engines.engine_clock, "req-2", prompt=text
        )
        engines.replacement_stream = other
        sink = relay_run.run()
        assert b"req-2" not in sink.data
        assert sink.text in (EXPECTED_TEXT, "")
        assert sink.finished == (sink.text == EXPECTED_TEXT)


class InMemoryStores:
    """Store client, and HTTP client of the engine's transfers, over `StoreCore`."""

    def __init__(self, clock):
        size = {"memory_bytes": 64 << 20, "bytes_per_block": 1 << 20}
        self.cores = {
            f"http://s{i}": StoreCore(clock, StoreConfig(**size)) for i in range(2)
        }
        # Called at each block transfer and manifest call, with the step's name and the
        # number of calls of that step so far.
        self.on_call = lambda step, number: None
        self.counts = {}

    def _count_call(self, step):
        self.counts[step] = self.counts.get(step, 0) + 1
        self.on_call(step, self.counts[step])

    async def send(self, method, url, body=b"", headers=None):
        base, _, key = url.partition("/blocks/")
        core = self.cores[base]
        self._count_call("write" if method == "PUT" else "read")
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
        self._count_call("get manifest")
        try:
            found = self.cores[store.url].get_manifest(key)
        except Rejected:
            raise NotInStore(key) from None
        return Manifest.model_validate(found)

    async def put_manifest(self, store, manifest, *, deadline):
        self._count_call("put manifest")
        record = manifest.to_json()
        self.cores[store.url].put_manifest(manifest.prefix_key, record)

    async def status(self, store, *, deadline):
        return StoreStatus.model_validate(self.cores[store.url].status())


class InMemoryEngineTransfers:
    """The engine's imports and exports over `BlockTransfers`."""

    def __init__(self, core):
        self.core, self.transfers = core, BlockTransfers(core)

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
def kv_setup(clock, monkeypatch):
    """Engine, two stores and the service under test, all on virtual clocks."""
    stores = InMemoryStores(clock)
    monkeypatch.setattr(engine_transfers, "_send_to_store", stores.send)
    engine_clock = Clock()
    engine = InMemoryEngineTransfers(make_engine_core(engine_clock))
    service = KvService(stores, engine, clock)
    stores_by_id = {
        f"s{i}": Store(id=f"s{i}", url=f"http://s{i}", zone=f"z{i}") for i in range(2)
    }
    service.update_config(ConfigState(revision=1, stores_by_id=stores_by_id))
    keys = block_keys(CACHE_SALT, PROMPT.encode())
    return SimpleNamespace(
        stores=stores,
        engine=engine,
        service=service,
        keys=keys,
        generate=lambda name, **kw: generate(engine.core, engine_clock, name, **kw),
    )


def text_of(stream):
    return "".join(stream.tokens)


def enable_fault(kv_setup, fault):
    """Enable a fault of the stand-ins, in both stores or in the engine."""
    if fault in StoreFaults.model_fields:
        for core in kv_setup.stores.cores.values():
            core.set_faults(StoreFaults(**{fault: 1}))
    else:
        kv_setup.engine.core.set_faults(EngineFaults(**{fault: 1}))


def enable_fault_at(kv_setup, step, number, fault):
    def on_call(called_step, count):
        if (called_step, count) == (step, number):
            enable_fault(kv_setup, fault)

    kv_setup.stores.on_call = on_call


class TestBlocks:
    @pytest.mark.fault("whole_answer", step="import, block {number}", fault="{fault}")
    @pytest.mark.parametrize("number", [1, 2, 3, 4])
    @pytest.mark.parametrize("fault", STORE_FAULTS + ENGINE_FAULTS)
    def test_text_is_right_after_a_fault_in_an_import(
        self, kv_setup, run, number, fault
    ):
        """Guards against a response built from a freed or partly written block."""
        kv_setup.generate("r0")
        assert run(kv_setup.service.save(CACHE_SALT, kv_setup.keys, SERVER)).store_ids
        kv_setup.engine.core.cache.evict()
        found = run(kv_setup.service.find(CACHE_SALT, kv_setup.keys, 1.0))
        assert found.blocks == 4
        kv_setup.stores.counts.clear()
        enable_fault_at(kv_setup, "read", number, fault)
        result = run(kv_setup.service.load(found, SERVER, 1.0))
        # The engine chooses the block to corrupt before it requests it, so a fault set
        # during a read affects the next block; block 4 has no next one.
        assert result.blocks == 0 or (fault, number) == ("corrupt_import_next", 4)
        stream = kv_setup.generate("r1")
        assert text_of(stream) == EXPECTED_TEXT

    @pytest.mark.fault("whole_answer", step="export, block {number}", fault="{fault}")
    @pytest.mark.parametrize("number", [1, 2, 3, 4, 5, 8])
    @pytest.mark.parametrize("fault", WRITE_FAULTS)
    def test_text_is_right_after_a_fault_in_an_export(
        self, kv_setup, run, number, fault
    ):
        """Guards against a manifest that names a missing or partly written block."""
        enable_fault_at(kv_setup, "write", number, fault)
        self._save_and_reuse(kv_setup, run)

    @pytest.mark.fault("whole_answer", step="export", fault="{fault}")
    @pytest.mark.parametrize("fault", [*EXPORT_FAULTS, "manifest_without_blocks_next"])
    def test_text_is_right_after_a_fault_of_an_exporter(self, kv_setup, run, fault):
        """Guards against manifests whose blocks were freed or corrupted."""
        enable_fault(kv_setup, fault)
        self._save_and_reuse(kv_setup, run)

    def _save_and_reuse(self, kv_setup, run):
        kv_setup.generate("r0")
        run(kv_setup.service.save(CACHE_SALT, kv_setup.keys, SERVER))
        kv_setup.engine.core.cache.evict()
        found = run(kv_setup.service.find(CACHE_SALT, kv_setup.keys, 1.0))
        if found is not None:
            run(kv_setup.service.load(found, SERVER, 1.0))
        assert text_of(kv_setup.generate("r1")) == EXPECTED_TEXT

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
    def test_nothing_is_reused_across_scopes(self, kv_setup, run, name, other):
        """Guards against one account's or version's blocks in another's answer."""
        kv_setup.generate("r0")
        run(kv_setup.service.save(CACHE_SALT, kv_setup.keys, SERVER))
        other_keys = block_keys(scope(*other), PROMPT.encode())
        assert run(kv_setup.service.find(scope(*other), other_keys, 1.0)) is None
        assert run(kv_setup.service.find(scope(*other), kv_setup.keys, 1.0)) is None
        assert kv_setup.generate("r1", cache_salt=scope(*other)).cached_tokens == 0

    @pytest.mark.fault("whole_answer", step="reuse", fault="version swap")
    def test_new_version_computes_its_own_blocks(self, kv_setup, run):
        """Guards against reusing blocks of the old version after a version swap."""
        kv_setup.generate("r0")
        run(kv_setup.service.save(CACHE_SALT, kv_setup.keys, SERVER))
        kv_setup.engine.core.models.apply(
            {"order": "load_version", "model": "m", "version": "v2"}
        )
        salt = scope("acc", "m", "v2", None)
        stream = kv_setup.generate("r1", weight_version="v2", cache_salt=salt)
        assert text_of(stream) == expected_text("m", "v2", PROMPT, ANSWER_TOKENS)
        assert text_of(kv_setup.generate("r2")) == EXPECTED_TEXT
