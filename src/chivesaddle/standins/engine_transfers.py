"""Export of cached blocks to a store and import from one."""

from collections import Counter
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from twisted.internet.defer import DeferredSemaphore, FirstError, gatherResults

from chivesaddle.core.ids import BlockKey
from chivesaddle.standins.blocks import checksum
from chivesaddle.standins.engine_core import EngineCore
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.http_client import MAX_CONNECTIONS, Response, send

T = TypeVar("T")


@dataclass
class StagedImport:
    """Blocks read from a store that are not yet in the cache."""

    cache_salt: str
    payloads_by_key: dict[BlockKey, bytes]


class Transfers:
    """Moves blocks between the engine's cache and stores.

    Attributes
    ----------
    counters : collections.Counter
        Exported and imported blocks.
    """

    def __init__(self, core: EngineCore) -> None:
        self._core = core
        self._staged_by_id: dict[str, StagedImport] = {}
        self.counters: Counter[str] = Counter()

    async def stage(
        self, import_id: str, source: str, salt: str, keys: Sequence[BlockKey]
    ) -> list[dict[str, Any]]:
        """Read blocks from a store and describe the bytes that arrived.

        Raises
        ------
        Rejected
            409 if the store lacks a block, 502 if it cannot be reached.
        """
        read = await _in_parallel(lambda key: self._read(source, key), keys)
        payloads = {key: data for key, (data, _) in zip(keys, read, strict=True)}
        self._staged_by_id[import_id] = StagedImport(salt, payloads)
        self.counters["staged_blocks"] += len(read)
        return [
            describe(key, data, generation)
            for key, (data, generation) in zip(keys, read, strict=True)
        ]

    def commit(self, import_id: str) -> int:
        """Put staged blocks into the cache; raises `Rejected` 404."""
        staged = self._staged_by_id.pop(import_id, None)
        if staged is None:
            raise Rejected(404, "unknown_import", f"No import {import_id} is staged")
        blocks = list(staged.payloads_by_key.items())
        if blocks and self._core.faults.use("wrong_commit_next"):
            key, data = blocks[0]
            blocks[0] = key, _altered(data)
        self._core.cache.store(staged.cache_salt, blocks)
        self.counters["imported_blocks"] += len(blocks)
        return len(blocks)

    def discard(self, import_id: str) -> None:
        """Forget staged blocks; an unknown import is no error."""
        self._staged_by_id.pop(import_id, None)

    async def export(
        self, target: str, salt: str, keys: Sequence[BlockKey]
    ) -> list[dict[str, Any]]:
        """Write cached blocks to a store and describe them.

        Raises
        ------
        Rejected
            409 if a block is not cached or was freed meanwhile; the store's own status,
            such as 507, if it refuses a block; 502 if it cannot be reached.
        """
        middle = keys[len(keys) // 2] if keys else None
        freed = middle if self._core.faults.use("free_in_export_next") else None
        described = await _in_parallel(
            lambda key: self._write(target, salt, key, key == freed), keys
        )
        self.counters["exported_blocks"] += len(described)
        return described

    async def _read(self, source: str, key: BlockKey) -> tuple[bytes, int]:
        # Used up before the transfer, so that keys are affected in their order.
        corrupt = self._core.faults.use("corrupt_import_next")
        response = await _send("GET", f"{source}/blocks/{key}")
        if response.status != 200:
            raise Rejected(409, "block_missing", f"{source} lacks block {key}")
        data = _altered(response.body) if corrupt else response.body
        return data, int(response.headers.get("X-Generation", "0"))

    async def _write(
        self, target: str, salt: str, key: BlockKey, is_freed: bool
    ) -> dict[str, Any]:
        if is_freed:
            self._core.cache.free(salt, key)
        data = self._core.cache.payload(salt, key)
        if data is None:
            raise Rejected(409, "block_freed", f"Block {key} is not cached")
        corrupt = self._core.faults.use("corrupt_export_next")
        declared = describe(key, data, 0)
        headers: dict[bytes | str, bytes | str] = {
            "X-Length": str(declared["length"]),
            "X-Checksum": declared["checksum"],
        }
        sent = _altered(data) if corrupt else data
        response = await _send("PUT", f"{target}/blocks/{key}", sent, headers)
        if response.status != 200:
            raise Rejected(
                response.status, "store_refused", f"{target} refused block {key}"
            )
        return {**declared, "generation": response.json()["generation"]}


async def _in_parallel(
    transfer: Callable[[BlockKey], Coroutine[Any, Any, T]], keys: Sequence[BlockKey]
) -> list[T]:
    """Transfer blocks over a bounded number of connections; keep their order.

    The first failure cancels the transfers that have not ended.
    """
    places = DeferredSemaphore(MAX_CONNECTIONS)
    running = [places.run(transfer, key) for key in keys]
    try:
        return await gatherResults(running, consumeErrors=True)
    except FirstError as error:
        for deferred in running:
            deferred.cancel()
        error.subFailure.raiseException()
        raise


def describe(key: BlockKey, data: bytes, generation: int) -> dict[str, Any]:
    """Return a block's entry for manifests and import answers."""
    return {
        "key": key,
        "length": len(data),
        "checksum": checksum(data),
        "generation": generation,
    }


async def _send(
    method: str,
    url: str,
    body: bytes = b"",
    headers: Mapping[bytes | str, bytes | str] | None = None,
) -> Response:
    try:
        return await send(method, url, body, headers)
    except OSError as error:
        raise Rejected(502, "store_unreachable", f"{url}: {error}") from None


def _altered(data: bytes) -> bytes:
    return bytes(byte ^ 0xFF for byte in data)


__all__ = ["StagedImport", "Transfers", "describe"]
