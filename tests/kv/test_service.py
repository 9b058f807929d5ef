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
        one = block_keys(SCOPE, b"a" * 1_024 + b"c" * 1_024)
        two = block_keys(SCOPE, b"b" * 1_024 + b"c" * 1_024)
        assert one[1] != two[1]


class TestFind:
    def test_prompt_is_saved_in_two_zones_and_found_whole(self, world):
        assert len(world.save().store_ids) == 2
        found = world.run(world.service.find(SCOPE, world.keys, 1.0))
        assert found.blocks == 10
        assert found.predicted_load_s > 0

    def test_prompt_with_another_ending_finds_a_shared_prefix(self, world):
        """Guards against only whole prompts being reused."""
        world.save()
        other = [*world.keys[:9], "new", "newer"]
        assert world.run(world.service.find(SCOPE, other, 1.0)).blocks == 9

    @pytest.mark.fault("whole_answer", step="find")
    def test_other_scope_finds_nothing(self, world):
        world.save()
        assert world.run(world.service.find("0" * 32, world.keys, 1.0)) is None

    def test_dead_store_is_covered_by_the_second_replica(self, world):
        first = world.saved_prefix()
        world.stores.down.add(first.store.url)
        second = world.run(world.service.find(SCOPE, world.keys, 1.0))
        assert second.blocks == 10
        assert second.store_id != first.store_id

    def test_silent_store_delays_a_find_by_the_probe_limit_only(
        self, world, clock, never
    ):
        """Guards against one silent store using up the first-token time."""
        world.saved_prefix()
        world.hooks.calls.clear()
        world.hooks.on("get_manifest", never)
        finding = start(
            _with_deadlines(world).find(SCOPE, world.keys, 1.0),
        )
        assert not finding.called
        clock.advance(0.051)
        assert finding.result.blocks == 10


def _with_deadlines(world):
    """Make the in-memory stores honour their deadlines, as the HTTP client does."""
    plain = world.stores.get_manifest

    async def get_manifest(store, key, *, deadline):
        call = plain(store, key, deadline=deadline)
        return await with_deadline(world.clock, deadline, call, "get")

    world.stores.get_manifest = get_manifest
    return world.service


def drop_manifest(world, prefix):
    del world.stores.manifests[prefix.store.url][prefix.manifest.prefix_key]


def commit_again(world, prefix):
    """Replace a block and commit it under the same manifest name."""
    world.replace_block(prefix)
    blocks = list(prefix.manifest.blocks)
    generation = world.stores.generation
    blocks[0] = blocks[0].model_copy(update={"generation": generation})
    changed = prefix.manifest.model_copy(update={"blocks": tuple(blocks)})
    world.stores.manifests[prefix.store.url][prefix.manifest.prefix_key] = changed


def damage(change):
    def install(world, prefix):
        world.engine.damage = lambda pulled: dict(change(list(pulled.items())))

    return install


def at(step, action):
    return lambda world, prefix: world.hooks.on(step, lambda: action(world, prefix))


IMPORT_FAULTS = {
    "block freed": lambda w, p: w.stores.blocks[p.store.url].pop(w.keys[9]),
    "block replaced, same bytes": lambda w, p: w.replace_block(p),
    "block corrupted in the store": lambda w, p: w.replace_block(p, 2, b"wrong"),
    "truncated on the way": damage(
        lambda items: [(k, (d[:-1], g)) for k, (d, g) in items]
    ),
    "corrupted on the way": damage(
        lambda items: [(k, (b"#" + d[1:], g)) for k, (d, g) in items]
    ),
    "generation changed": damage(
        lambda items: [(k, (d, g + 1)) for k, (d, g) in items]
    ),
    "block missing": damage(lambda items: items[:-1]),
    "blocks swapped": damage(lambda items: items[::-1]),
    "blocks of another prompt": damage(lambda items: [("f" * 32, i) for _, i in items]),
    "manifest deleted between reads": at("staged", drop_manifest),
    "manifest replaced between reads": at("staged", commit_again),
    "store killed before staging": lambda w, p: w.stores.down.add(p.store.url),
    "store killed after staging": at(
        "staged", lambda w, p: w.stores.down.add(p.store.url)
    ),
    "engine dies while staging": at("stage", lambda w, p: fail()),
    "engine dies after staging": at("staged", lambda w, p: fail()),
    "engine dies before the commit": at("commit", lambda w, p: fail()),
}


class TestImport:
    def test_verified_blocks_are_committed(self, world, server):
        prefix = world.saved_prefix()
        result = world.run(world.service.load(prefix, server, 1.0))
        assert (result.blocks, result.error) == (10, None)
        assert world.engine.blocks == world.truth

    @pytest.mark.parametrize("fault", IMPORT_FAULTS.values(), ids=IMPORT_FAULTS)
    @pytest.mark.fault("whole_answer", step="import", fault="{id}")
    def test_nothing_is_committed_after_a_fault(self, world, server, fault):
        """Guards against a wrong or partial block being used (invariant 1)."""
        prefix = world.saved_prefix()
        fault(world, prefix)
        result = world.run(world.service.load(prefix, server, 1.0))
        assert result.blocks == 0
        assert result.error is not None
        assert world.engine.blocks == {}
        assert world.engine.staged == {}
        assert len(world.engine.discarded) == 1

    @pytest.mark.parametrize("fault", IMPORT_FAULTS.values(), ids=IMPORT_FAULTS)
    @pytest.mark.fault("whole_answer", step="import, second part", fault="{id}")
    def test_fault_in_a_later_part_keeps_the_verified_parts(self, world, server, fault):
        """Guards against a part being counted or committed before its own check."""
        prefix = world.saved_prefix()
        # 12,800 bytes per window hold 50 blocks of 256 bytes; leave room for four.
        for tier in ("memory", "disk"):
            world.service.links.report(LinkId(prefix.store_id, tier), 4 * 256 / 0.05)
        world.hooks.on("stage", lambda: fault(world, prefix), call=2)
        result = world.run(world.service.load(prefix, server, 1.0))
        world.assert_only_true_blocks()
        assert set(world.engine.blocks) >= set(world.keys[: result.blocks])
        assert world.engine.staged == {}

    @pytest.mark.parametrize("step", ["stage", "staged", "get_manifest", "commit"])
    @pytest.mark.fault("whole_answer", step="import: {step}", fault="silent step")
    def test_silent_step_ends_at_the_deadline_and_is_discarded(
        self, world, server, clock, never, step
    ):
        """Guards against a request that waits for an import past its deadline."""
        prefix = world.saved_prefix()
        world.hooks.calls.clear()
        world.hooks.on(step, never)
        loading = start(_with_deadlines(world).load(prefix, server, 1.0))
        assert not loading.called
        clock.advance(1.0)
        assert loading.result.blocks == 0
        assert world.engine.blocks == {}
        assert len(world.engine.discarded) == 1

    @pytest.mark.fault("whole_answer", step="import: committed")
    def test_lost_answer_to_a_commit_counts_as_not_loaded(
        self, world, server, clock, never
    ):
        """Guards against relying on blocks that may not be there."""
        prefix = world.saved_prefix()
        world.hooks.on("committed", never)
        loading = start(world.service.load(prefix, server, 1.0))
        clock.advance(1.0)
        assert loading.result.blocks == 0
        world.assert_only_true_blocks()

    @pytest.mark.fault("whole_answer", step="import: staged")
    def test_late_answer_to_staging_is_not_committed(self, world, server, clock, never):
        """Guards against a late answer reviving an import that was given up."""
        prefix = world.saved_prefix()
        late = never()
        world.hooks.on("staged", lambda: late)
        loading = start(world.service.load(prefix, server, 1.0))
        clock.advance(1.0)
        assert late.called
        assert loading.result.blocks == 0
        assert world.engine.blocks == {}

    def test_close_discards_an_import_in_progress(self, world, server, never):
        prefix = world.saved_prefix()
        world.hooks.on("staged", never)
        loading = start(world.service.load(prefix, server, 1.0))
        loading.addErrback(lambda _: None)
        world.run(world.service.close())
        assert loading.called
        assert len(world.engine.discarded) == 1


def free_block(world):
    world.engine.blocks.pop(world.keys[5], None)


EXPORT_FAULTS = {
    "block freed before the export": (None, free_block),
    "block freed during the export": ("push", free_block),
    "store killed during the export": (
        "push",
        lambda w: w.stores.down.update({"u0", "u1", "u2"}),
    ),
    "store full": (None, lambda w: setattr(w.stores, "capacity", 4)),
    "engine dies during the export": ("push", lambda w: fail()),
    "engine dies after the export": ("exported", lambda w: fail()),
    "block replaced before the manifest": (
        "put_manifest",
        lambda w: [w.stores.put(u, w.keys[0], b"other") for u in ("u0", "u1", "u2")],
    ),
    "store killed before the manifest": (
        "put_manifest",
        lambda w: w.stores.down.update({"u0", "u1", "u2"}),
    ),
}


class TestExport:
    @pytest.mark.parametrize(
        ("step", "action"), EXPORT_FAULTS.values(), ids=EXPORT_FAULTS
    )
    @pytest.mark.fault("whole_answer", step="export", fault="{id}")
    def test_fault_leaves_no_manifest_of_blocks_that_differ(
        self, world, server, step, action
    ):
        """Guards against a manifest that commits a missing or different block."""
        for call in (1, 2):
            if step:
                world.hooks.on(step, lambda: action(world), call=call)
            else:
                action(world)
        result = world.save()
        assert result.errors_by_store_id
        world.stores.down.clear()
        for store_id in result.errors_by_store_id:
            url = store_id.replace("st", "u")
            assert world.keys[-1] not in world.stores.manifests[url]
        world.engine.blocks.clear()
        world.clock.advance(5)
        found = world.run(world.service.find(SCOPE, world.keys, 9.0))
        if found is not None:
            world.run(world.service.load(found, server, 9.0))
        world.assert_only_true_blocks()

    def test_second_save_exports_only_new_blocks(self, world, server):
        """Guards against exporting a long conversation again at every turn."""
        world.save()
        longer, _ = world.prompt(b"x", 12)
        assert longer[:10] == world.keys
        world.hooks.calls.clear()
        assert len(world.run(world.service.save(SCOPE, longer, server)).store_ids) == 2
        # Two new blocks to each of two stores.
        assert world.hooks.calls["push"] == 4

    def test_replaced_block_of_a_saved_prefix_is_exported_again(self, world, server):
        """Guards against a prompt that can never be saved after one block changed."""
        for store_id in world.save().store_ids:
            world.stores.put(store_id.replace("st", "u"), world.keys[0], b"other")
        longer, _ = world.prompt(b"x", 12)
        result = world.run(world.service.save(SCOPE, longer, server))
        assert len(result.store_ids) == 2
        world.truth = dict(world.engine.blocks)
        world.engine.blocks.clear()
        found = world.run(world.service.find(SCOPE, longer, 1.0))
        assert world.run(world.service.load(found, server, 1.0)).blocks == 12
        world.assert_only_true_blocks()

    def test_silent_export_ends_and_frees_its_place(self, world, server, clock, never):
        world.hooks.on("export", never)
        saving = start(world.service.save(SCOPE, world.keys, server))
        clock.advance(30)
        assert saving.called
        assert not world.service._saving
        with pytest.raises(NotInStore):
            world.run(
                world.stores.get_manifest(
                    world.configured[0], world.keys[-1], deadline=99
                )
            )
