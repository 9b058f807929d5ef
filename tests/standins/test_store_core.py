import pytest

from chivesaddle.standins.blocks import checksum
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.faults import StoreFaults
from chivesaddle.standins.store_core import DISK, MEMORY, StoreConfig, StoreCore

CONFIG = StoreConfig(
    memory_bytes=200,
    disk_bytes=100,
    memory_bytes_per_s=1_000,
    disk_bytes_per_s=100,
    bytes_per_block=100,
)


@pytest.fixture
def store(clock):
    return StoreCore(clock, CONFIG)


def write_block(store, key, data=b"payload"):
    generation = store.put_block(key, data, len(data), checksum(data))
    return {
        "key": key,
        "length": len(data),
        "checksum": checksum(data),
        "generation": generation,
    }


def write_manifest(store, prefix_key, entries):
    record = {"scope": "s", "blocks": entries, "tokens": 256 * len(entries)}
    store.put_manifest(prefix_key, record)


class TestBlocks:
    def test_bytes_that_differ_from_their_declaration_are_refused(self, store):
        """Guards against import of a partly written block."""
        with pytest.raises(Rejected) as rejected:
            store.put_block("k", b"pay", 7, checksum(b"payload"))
        assert rejected.value.status == 422

    def test_same_content_keeps_its_generation(self, store):
        first = write_block(store, "k")
        write_manifest(store, "p", [first])
        assert write_block(store, "k") == first
        assert write_block(store, "k", b"other")["generation"] > first["generation"]

    def test_least_recently_used_block_moves_to_disk(self, store):
        for key in "abc":
            write_manifest(store, key, [write_block(store, key)])
        assert [store.block_tier(key) for key in "abc"] == [DISK, MEMORY, MEMORY]
        assert store.get_manifest("a")["tier"] == DISK
        store.read_block("a")
        assert [store.block_tier(key) for key in "abc"] == [MEMORY, DISK, MEMORY]

    def test_full_store_frees_unreferenced_blocks_then_refuses(self, store):
        write_block(store, "unreferenced")
        for key in "abc":
            write_manifest(store, key, [write_block(store, key)])
        with pytest.raises(Rejected) as rejected:
            write_block(store, "d")
        assert rejected.value.status == 507
        assert store.status()["disk_used"] == 100


class TestManifests:
    def test_missing_or_differing_block_is_refused(self, store):
        """Guards against a manifest that references data that was never written."""
        entry = write_block(store, "k")
        for wrong in ({"key": "x"}, {"generation": 99}, {"checksum": "0"}):
            with pytest.raises(Rejected) as rejected:
                write_manifest(store, "p", [{**entry, **wrong}])
            assert rejected.value.status == 409

    def test_deletion_frees_only_blocks_without_other_references(self, store):
        shared, own = write_block(store, "shared"), write_block(store, "own")
        write_manifest(store, "p", [shared])
        write_manifest(store, "q", [shared, own])
        store.delete_manifest("q")
        assert store.block_tier("shared") == MEMORY
        with pytest.raises(Rejected):
            store.block_tier("own")

    def test_pages_cover_all_manifests_once(self, store):
        entry = write_block(store, "k")
        for name in "abcde":
            write_manifest(store, name, [entry])
        seen, after = [], ""
        while after is not None:
            page = store.list_manifests(after, 2)
            seen += [record["prefix_key"] for record in page["manifests"]]
            after = page["next"]
        assert seen == list("abcde")


class TestLinks:
    def test_transfers_queue_at_the_bandwidth_of_their_tier(self, store, clock):
        assert store.transfer(MEMORY) == pytest.approx(0.1)
        assert store.transfer(MEMORY) == pytest.approx(0.2)
        assert store.transfer(DISK) == pytest.approx(1.0)
        clock.advance(0.1)
        assert store.status()["tiers"][MEMORY]["queued_bytes"] == 100

    def test_slow_link_takes_longer(self, store):
        store.set_faults(StoreFaults(link_slowdown=10))
        assert store.transfer(MEMORY) == pytest.approx(1.0)


class TestFaults:
    @pytest.mark.parametrize("switch", ["truncate_next", "corrupt_next", "freed_next"])
    def test_damaged_read_differs_from_the_manifest(self, store, switch):
        entry = write_block(store, "k")
        store.set_faults(StoreFaults(**{switch: 1}))
        block = store.read_block("k")
        actual = (len(block.payload), checksum(block.payload), block.generation)
        assert actual != (entry["length"], entry["checksum"], entry["generation"])

    def test_torn_write_reports_success_and_stores_half(self, store):
        store.set_faults(StoreFaults(torn_write_next=1))
        write_manifest(store, "p", [write_block(store, "k")])
        assert store.read_block("k").payload == b"pay"

    def test_manifest_without_blocks_references_missing_blocks(self, store):
        entry = write_block(store, "k")
        store.set_faults(StoreFaults(manifest_without_blocks_next=1))
        write_manifest(store, "p", [entry])
        assert store.get_manifest("p")["blocks"] == [entry]
        with pytest.raises(Rejected):
            store.read_block("k")
