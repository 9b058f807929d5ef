"""Export of cached blocks to a store and import of blocks from a store."""

from collections import Counter
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from twisted.internet.defer import DeferredSemaphore, FirstError, gatherResults

from chivesaddle.core.ids import BlockKey
from chivesaddle.standins.blocks import checksum
from chivesaddle.standins.engine_core import EngineCore
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.http_client import MAX_CONNECTIONS_PER_HOST, Response, send

T = TypeVar("T")


@dataclass
class StagedImport:
    """Blocks read from a store that are not yet in the cache."""

    cache_salt: str
    payloads_by_key: dict[BlockKey, bytes]


class BlockTransfers:
    """Copies blocks between the engine's cache and stores.

    Attributes
    ----------
    counters : collections.Counter
        Numbers of exported, staged and imported blocks.
    """

    def __init__(self, core: EngineCore) -> None:
        self._core = core
        self._staged_by_id: dict[str, StagedImport] = {}
        self.counters: Counter[str] = Counter()

    async def stage(
        self, import_id: str, source: str, salt: str, keys: Sequence[BlockKey]
    ) -> list[dict[str, Any]]:
        """Read blocks from a store; return entries that describe the received bytes.

        Raises
        ------
        Rejected
            409 if the store does not have a block, 502 if it cannot be reached.
        """
        results = await _transfer_concurrently(
            lambda key: self._read_block(source, key), keys
        )
        payloads = {key: data for key, (data, _) in zip(keys, results, strict=True)}
        self._staged_by_id[import_id] = StagedImport(salt, payloads)
        self.counters["staged_blocks"] += len(results)
        return [
            manifest_entry(key, data, generation)
            for key, (data, generation) in zip(keys, results, strict=True)
        ]

    def commit(self, import_id: str) -> int:
        """Store staged blocks in the cache; raises `Rejected` 404 if unknown."""
        staged = self._staged_by_id.pop(import_id, None)
        if staged is None:
            raise Rejected(404, "unknown_import", f"No import {import_id} is staged")
        blocks = list(staged.payloads_by_key.items())
        if blocks and self._core.faults.consume("wrong_commit_next"):
            key, data = blocks[0]
            blocks[0] = key, _invert_bits(data)
        self._core.cache.store(staged.cache_salt, blocks)
        self.counters["imported_blocks"] += len(blocks)
        return len(blocks)

    def discard(self, import_id: str) -> None:
        """Drop staged blocks; an unknown import is ignored."""
        self._staged_by_id.pop(import_id, None)

    async def export(
        self, target: str, salt: str, keys: Sequence[BlockKey]
    ) -> list[dict[str, Any]]:
        """Write cached blocks to a store and return their manifest entries.

        Raises
        ------
        Rejected
            409 if a block is not cached or was evicted during the export; the store's
            own status, such as 507, if it refuses a block; 502 if it cannot be reached.
        """
        middle_key = keys[len(keys) // 2] if keys else None
        freed_key = (
            middle_key if self._core.faults.consume("free_in_export_next") else None
        )
        entries = await _transfer_concurrently(
            lambda key: self._write_block(target, salt, key, key == freed_key), keys
        )
        self.counters["exported_blocks"] += len(entries)
        return entries

    async def _read_block(self, source: str, key: BlockKey) -> tuple[bytes, int]:
        # Counted down before the transfer, so that the fault affects keys in order.
        corrupt = self._core.faults.consume("corrupt_import_next")
        response = await _send_to_store("GET", f"{source}/blocks/{key}")
        if response.status != 200:
            raise Rejected(409, "block_missing", f"{source} does not have block {key}")
        data = _invert_bits(response.body) if corrupt else response.body
        return data, int(response.headers.get("X-Generation", "0"))

    async def _write_block(
        self, target: str, salt: str, key: BlockKey, is_freed: bool
    ) -> dict[str, Any]:
        if is_freed:
            self._core.cache.evict_block(salt, key)
        data = self._core.cache.payload(salt, key)
        if data is None:
            raise Rejected(409, "block_freed", f"Block {key} is not cached")
        corrupt = self._core.faults.consume("corrupt_export_next")
        entry = manifest_entry(key, data, 0)
        headers: dict[bytes | str, bytes | str] = {
            "X-Length": str(entry["length"]),
            "X-Checksum": entry["checksum"],
        }
        sent_data = _invert_bits(data) if corrupt else data
        response = await _send_to_store(
            "PUT", f"{target}/blocks/{key}", sent_data, headers
        )
        if response.status != 200:
            raise Rejected(
                response.status, "store_refused", f"{target} refused block {key}"
            )
        return {**entry, "generation": response.json()["generation"]}


async def _transfer_concurrently(
    transfer: Callable[[BlockKey], Coroutine[Any, Any, T]], keys: Sequence[BlockKey]
) -> list[T]:
    """Transfer blocks over a limited number of connections.

    Results are in the order of ``keys``. The first failure cancels the transfers that
    are still running.
    """
    connection_slots = DeferredSemaphore(MAX_CONNECTIONS_PER_HOST)
    transfers = [connection_slots.run(transfer, key) for key in keys]
    try:
        return await gatherResults(transfers, consumeErrors=True)
    except FirstError as error:
        for deferred in transfers:
            deferred.cancel()
        error.subFailure.raiseException()
        raise


def manifest_entry(key: BlockKey, data: bytes, generation: int) -> dict[str, Any]:
    """Return a block's entry for manifests and import responses."""
    return {
        "key": key,
        "length": len(data),
        "checksum": checksum(data),
        "generation": generation,
    }


async def _send_to_store(
    method: str,
    url: str,
    body: bytes = b"",
    headers: Mapping[bytes | str, bytes | str] | None = None,
) -> Response:
    try:
        return await send(method, url, body, headers)
    except OSError as error:
        raise Rejected(502, "store_unreachable", f"{url}: {error}") from None


def _invert_bits(data: bytes) -> bytes:
    return bytes(byte ^ 0xFF for byte in data)


__all__ = ["BlockTransfers", "StagedImport", "manifest_entry"]
