from types import SimpleNamespace

import pytest

from chivesaddle.core.aio import start, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.kv import LinkId, NotInStore, scope
from chivesaddle.kv.identity import block_keys

SCOPE = scope("a", "m", "v1", None)


def fail(message="the engine died"):
    raise ChivesaddleError(message)


class TestIdentity:
    def test_scope_separates_accounts_versions_and_adapters(self):
        """Guards against one account's blocks being found by another."""
        scopes = [
            scope("a", "m", "v1", None),
            scope("b", "m", "v1", None),
            scope("a", "m", "v2", None),
            scope("a", "m", "v1", "x"),
        ]
        data = b"d" * 1_024
        assert len({block_keys(s, data)[0] for s in scopes}) == 4

    def test_key_depends_on_everything_before_the_block(self):
        first_keys = block_keys(SCOPE, b"a" * 1_024 + b"c" * 1_024)
        second_keys = block_keys(SCOPE, b"b" * 1_024 + b"c" * 1_024)
        assert first_keys[1] != second_keys[1]


class TestFind:
    def test_prompt_is_saved_in_two_stores_and_found_completely(self, env):
        assert len(env.save().store_ids) == 2
        found = env.run(env.service.find(SCOPE, env.keys, 1.0))
        assert found.blocks == 10
        assert found.predicted_load_s > 0

    def test_prompt_with_another_ending_finds_the_shared_prefix(self, env):
        """Guards against finding only prompts that were saved with the same ending."""
        env.save()
        other = [*env.keys[:9], "new", "newer"]
        assert env.run(env.service.find(SCOPE, other, 1.0)).blocks == 9

    @pytest.mark.fault("whole_answer", step="find")
    def test_other_scope_finds_nothing(self, env):
        env.save()
        assert env.run(env.service.find("0" * 32, env.keys, 1.0)) is None

    def test_prefix_of_an_unreachable_store_is_found_in_the_other_replica(self, env):
        first = env.saved_prefix()
        env.stores.down.add(first.store.url)
        second = env.run(env.service.find(SCOPE, env.keys, 1.0))
        assert second.blocks == 10
        assert second.store_id != first.store_id

    def test_unresponsive_store_delays_a_find_by_the_probe_timeout_only(
        self, env, clock, never_completes
    ):
        """Guards against one store using up the time for the first token."""
        env.saved_prefix()
        env.hooks.calls.clear()
        env.hooks.on("get_manifest", never_completes)
        finding = start(
            enforce_deadlines(env).find(SCOPE, env.keys, 1.0),
        )
        assert not finding.called
        clock.advance(0.051)
        assert finding.result.blocks == 10


def enforce_deadlines(env):
    """Make the in-memory stores enforce deadlines, as the HTTP client does."""
    get_without_deadline = env.stores.get_manifest

    async def get_manifest(store, key, *, deadline):
        call = get_without_deadline(store, key, deadline=deadline)
        return await with_deadline(env.clock, deadline, call, "get")

    env.stores.get_manifest = get_manifest
    return env.service


def drop_manifest(env, prefix):
    del env.stores.manifests[prefix.store.url][prefix.manifest.prefix_key]


def replace_block_and_manifest(env, prefix):
    """Replace a block and store a changed manifest under the same key."""
    env.replace_block(prefix)
    blocks = list(prefix.manifest.blocks)
    generation = env.stores.generation
    blocks[0] = blocks[0].model_copy(update={"generation": generation})
    changed = prefix.manifest.model_copy(update={"blocks": tuple(blocks)})
    env.stores.manifests[prefix.store.url][prefix.manifest.prefix_key] = changed


def corrupt(change):
    def install(env, prefix):
        env.engine.corrupt = lambda pulled: dict(change(list(pulled.items())))

    return install


def run_at_step(step, action):
    return lambda env, prefix: env.hooks.on(step, lambda: action(env, prefix))


IMPORT_FAULTS = {
    "block freed": lambda env, prefix: env.stores.blocks[prefix.store.url].pop(
        env.keys[9]
    ),
    "block replaced, same bytes": lambda env, prefix: env.replace_block(prefix),
    "block corrupted in the store": lambda env, prefix: env.replace_block(
        prefix, 2, b"wrong"
    ),
    "truncated on the way": corrupt(
        lambda items: [(k, (d[:-1], g)) for k, (d, g) in items]
    ),
    "corrupted on the way": corrupt(
        lambda items: [(k, (b"#" + d[1:], g)) for k, (d, g) in items]
    ),
    "generation changed": corrupt(
        lambda items: [(k, (d, g + 1)) for k, (d, g) in items]
    ),
    "block missing": corrupt(lambda items: items[:-1]),
    "blocks swapped": corrupt(lambda items: items[::-1]),
    "blocks of another prompt": corrupt(
        lambda items: [("f" * 32, i) for _, i in items]
    ),
    "manifest deleted between reads": run_at_step("staged", drop_manifest),
    "manifest replaced between reads": run_at_step(
        "staged", replace_block_and_manifest
    ),
    "store killed before staging": lambda env, prefix: env.stores.down.add(
        prefix.store.url
    ),
    "store killed after staging": run_at_step(
        "staged", lambda env, prefix: env.stores.down.add(prefix.store.url)
    ),
    "engine dies while staging": run_at_step("stage", lambda env, prefix: fail()),
    "engine dies after staging": run_at_step("staged", lambda env, prefix: fail()),
    "engine dies before the commit": run_at_step("commit", lambda env, prefix: fail()),
}


class TestImport:
    def test_verified_blocks_are_committed(self, env, server):
        prefix = env.saved_prefix()
        result = env.run(env.service.load(prefix, server, 1.0))
        assert (result.blocks, result.error) == (10, None)
        assert env.engine.blocks == env.expected_blocks

    def test_server_that_has_more_than_the_prefix_imports_no_blocks(self, env, server):
        """Guards against a counter of imported blocks that goes back."""
        prefix = env.saved_prefix()
        imported = []
        env.service._metrics = SimpleNamespace(
            incr=lambda name, count=1: imported.append((name, count))
        )
        env.run(env.service.load(prefix, server, 1.0, cached_blocks=12))
        assert imported == [("kv.import.blocks", 0)]

    @pytest.mark.parametrize("fault", IMPORT_FAULTS.values(), ids=IMPORT_FAULTS)
    @pytest.mark.fault("whole_answer", step="import", fault="{id}")
    def test_nothing_is_committed_after_a_fault(self, env, server, fault):
        """Guards against a wrong or partial block being used."""
        prefix = env.saved_prefix()
        fault(env, prefix)
        result = env.run(env.service.load(prefix, server, 1.0))
        assert result.blocks == 0
        assert result.error is not None
        assert env.engine.blocks == {}
        assert env.engine.staged == {}
        assert len(env.engine.discarded) == 1

    @pytest.mark.parametrize("fault", IMPORT_FAULTS.values(), ids=IMPORT_FAULTS)
    @pytest.mark.fault("whole_answer", step="import, second part", fault="{id}")
    def test_fault_in_a_later_part_keeps_the_verified_parts(self, env, server, fault):
        """Guards against counting or committing a part before it is verified."""
        prefix = env.saved_prefix()
        # With this bandwidth a window of 50 ms holds four blocks of 256 bytes.
        for tier in ("memory", "disk"):
            env.service.links.set_reported_bandwidth(
                LinkId(prefix.store_id, tier), 4 * 256 / 0.05
            )
        env.hooks.on("stage", lambda: fault(env, prefix), call=2)
        result = env.run(env.service.load(prefix, server, 1.0))
        env.assert_only_correct_blocks()
        assert set(env.engine.blocks) >= set(env.keys[: result.blocks])
        assert env.engine.staged == {}

    @pytest.mark.parametrize("step", ["stage", "staged", "get_manifest", "commit"])
    @pytest.mark.fault("whole_answer", step="import: {step}", fault="silent step")
    def test_import_with_an_unresponsive_step_is_discarded_at_the_deadline(
        self, env, server, clock, never_completes, step
    ):
        """Guards against a request that waits past its deadline for an import."""
        prefix = env.saved_prefix()
        env.hooks.calls.clear()
        env.hooks.on(step, never_completes)
        loading = start(enforce_deadlines(env).load(prefix, server, 1.0))
        assert not loading.called
        clock.advance(1.0)
        assert loading.result.blocks == 0
        assert env.engine.blocks == {}
        assert len(env.engine.discarded) == 1

    @pytest.mark.fault("whole_answer", step="import: committed")
    def test_lost_response_to_a_commit_counts_as_not_loaded(
        self, env, server, clock, never_completes
    ):
        """Guards against relying on blocks that may not have been committed."""
        prefix = env.saved_prefix()
        env.hooks.on("committed", never_completes)
        loading = start(env.service.load(prefix, server, 1.0))
        clock.advance(1.0)
        assert loading.result.blocks == 0
        env.assert_only_correct_blocks()

    @pytest.mark.fault("whole_answer", step="import: staged")
    def test_late_response_to_staging_is_not_committed(
        self, env, server, clock, never_completes
    ):
        """Guards against committing an import that was already abandoned."""
        prefix = env.saved_prefix()
        late = never_completes()
        env.hooks.on("staged", lambda: late)
        loading = start(env.service.load(prefix, server, 1.0))
        clock.advance(1.0)
        assert late.called
        assert loading.result.blocks == 0
        assert env.engine.blocks == {}

    def test_close_discards_an_import_in_progress(self, env, server, never_completes):
        prefix = env.saved_prefix()
        env.hooks.on("staged", never_completes)
        loading = start(env.service.load(prefix, server, 1.0))
        loading.addErrback(lambda _: None)
        env.run(env.service.close())
        assert loading.called
        assert len(env.engine.discarded) == 1


def free_block_in_engine(env):
    env.engine.blocks.pop(env.keys[5], None)


EXPORT_FAULTS = {
    "block freed before the export": (None, free_block_in_engine),
    "block freed during the export": ("push", free_block_in_engine),
    "store killed during the export": (
        "push",
        lambda env: env.stores.down.update({"u0", "u1", "u2"}),
    ),
    "store full": (None, lambda env: setattr(env.stores, "capacity", 4)),
    "engine dies during the export": ("push", lambda env: fail()),
    "engine dies after the export": ("exported", lambda env: fail()),
    "block replaced before the manifest": (
        "put_manifest",
        lambda env: [
            env.stores.put(url, env.keys[0], b"other") for url in ("u0", "u1", "u2")
        ],
    ),
    "store killed before the manifest": (
        "put_manifest",
        lambda env: env.stores.down.update({"u0", "u1", "u2"}),
    ),
}


class TestExport:
    @pytest.mark.parametrize(
        ("step", "action"), EXPORT_FAULTS.values(), ids=EXPORT_FAULTS
    )
    @pytest.mark.fault("whole_answer", step="export", fault="{id}")
    def test_fault_leaves_no_manifest_of_blocks_that_differ(
        self, env, server, step, action
    ):
        """Guards against a manifest that lists a missing or different block."""
        for call in (1, 2):
            if step:
                env.hooks.on(step, lambda: action(env), call=call)
            else:
                action(env)
        result = env.save()
        assert result.errors_by_store_id
        env.stores.down.clear()
        for store_id in result.errors_by_store_id:
            url = store_id.replace("st", "u")
            assert env.keys[-1] not in env.stores.manifests[url]
        env.engine.blocks.clear()
        env.clock.advance(5)
        found = env.run(env.service.find(SCOPE, env.keys, 9.0))
        if found is not None:
            env.run(env.service.load(found, server, 9.0))
        env.assert_only_correct_blocks()

    def test_second_save_exports_only_new_blocks(self, env, server):
        """Guards against exporting the whole conversation again with each request."""
        env.save()
        longer, _ = env.compute_prompt(b"x", 12)
        assert longer[:10] == env.keys
        env.hooks.calls.clear()
        assert len(env.run(env.service.save(SCOPE, longer, server)).store_ids) == 2
        # Two new blocks are pushed to each of two stores.
        assert env.hooks.calls["push"] == 4

    def test_replaced_block_of_a_saved_prefix_is_exported_again(self, env, server):
        """Guards against a prompt that can't be saved after one block was replaced."""
        for store_id in env.save().store_ids:
            env.stores.put(store_id.replace("st", "u"), env.keys[0], b"other")
        longer, _ = env.compute_prompt(b"x", 12)
        result = env.run(env.service.save(SCOPE, longer, server))
        assert len(result.store_ids) == 2
        env.expected_blocks = dict(env.engine.blocks)
        env.engine.blocks.clear()
        found = env.run(env.service.find(SCOPE, longer, 1.0))
        assert env.run(env.service.load(found, server, 1.0)).blocks == 12
        env.assert_only_correct_blocks()

    def test_unresponsive_export_times_out_and_frees_its_slot(
        self, env, server, clock, never_completes
    ):
        env.hooks.on("export", never_completes)
        saving = start(env.service.save(SCOPE, env.keys, server))
        clock.advance(30)
        assert saving.called
        assert not env.service._saving_keys
        with pytest.raises(NotInStore):
            env.run(
                env.stores.get_manifest(
                    env.configured_stores[0], env.keys[-1], deadline=99
                )
            )
