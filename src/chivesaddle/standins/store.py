"""HTTP shell of the store."""

from collections.abc import Callable
from typing import Any

from twisted.web.server import Request

from chivesaddle.core.aio import Clock, sleep_until
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import BlockKey
from chivesaddle.standins.faults import StoreFaults
from chivesaddle.standins.shell import (
    Answer,
    Shell,
    field_of,
    header,
    query,
    query_number,
    read_body,
    read_json,
)
from chivesaddle.standins.store_core import MEMORY, StoreConfig, StoreCore

MAX_PAGE = 1_000


class StoreShell(Shell):
    """HTTP routes of a store.

    Parameters
    ----------
    on_crash : callable
        Ends the process.
    """

    fault_type = StoreFaults
    faults: StoreFaults

    def __init__(
        self, clock: Clock, config: StoreConfig, *, on_crash: Callable[[], None]
    ) -> None:
        super().__init__(clock)
        self.core = StoreCore(clock, config)
        self._on_crash = on_crash
        self.apply_faults()
        self.route("/blocks/<key>", "PUT", self._put_block)
        self.route("/blocks/<key>", "GET", self._get_block)
        self.route("/manifests/<prefix_key>", "PUT", self._put_manifest)
        self.route("/manifests/<prefix_key>", "GET", self._get_manifest)
        self.route("/manifests/<prefix_key>", "DELETE", self._delete_manifest)
        self.route("/manifests", "GET", self._list_manifests)
        self.route("/status", "GET", self._status)

    def apply_faults(self) -> None:
        """Pass the switches to the state machine."""
        self.core.set_faults(self.faults)

    def extra_counters(self) -> dict[str, int]:
        """Return block, manifest and link counters."""
        return dict(self.core.counters)

    async def _put_block(self, request: Request, key: str) -> Answer:
        data = read_body(request)
        length = _number(header(request, "X-Length"), "X-Length")
        await self._transfer(MEMORY)
        declared = header(request, "X-Checksum")
        generation = self.core.put_block(BlockKey(key), data, length, declared)
        return Answer({"generation": generation})

    async def _get_block(self, request: Request, key: str) -> Answer:
        await self._transfer(self.core.block_tier(BlockKey(key)))
        block = self.core.read_block(BlockKey(key))
        return Answer(
            block.payload,
            headers={
                "Content-Type": "application/octet-stream",
                "X-Generation": str(block.generation),
                "X-Checksum": block.checksum,
            },
        )

    async def _transfer(self, tier: str) -> None:
        left = self.faults.die_after_blocks
        if left == 0:
            self._on_crash()
        if left:
            self.faults.die_after_blocks = left - 1
        await sleep_until(self.clock, self.core.transfer(tier))

    async def _put_manifest(self, request: Request, prefix_key: str) -> Answer:
        body = read_json(request)
        record: dict[str, Any] = {
            "scope": field_of(body, "scope", str),
            "blocks": field_of(body, "blocks", list),
            "tokens": field_of(body, "tokens", int),
        }
        if not all(isinstance(b, dict) and "key" in b for b in record["blocks"]):
            raise InvalidValue("Each block of a manifest needs a key", field="blocks")
        self.core.put_manifest(prefix_key, record)
        return Answer(self.core.get_manifest(prefix_key))

    async def _get_manifest(self, request: Request, prefix_key: str) -> Answer:
        return Answer(self.core.get_manifest(prefix_key))

    async def _delete_manifest(self, request: Request, prefix_key: str) -> Answer:
        self.core.delete_manifest(prefix_key)
        return Answer({})

    async def _list_manifests(self, request: Request) -> Answer:
        limit = max(1, min(MAX_PAGE, query_number(request, "limit", 100)))
        return Answer(self.core.list_manifests(query(request, "after"), limit))

    async def _status(self, request: Request) -> Answer:
        return Answer(self.core.status())


def _number(value: str, name: str) -> int:
    if not value.isdigit():
        raise InvalidValue(f"{name} {value!r} is not a number", field=name)
    return int(value)


__all__ = ["StoreShell"]
