"""HTTP server of the fake store."""

from collections.abc import Callable
from typing import Any

from twisted.web.server import Request

from chivesaddle.core.aio import Clock, sleep_until
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import BlockKey
from chivesaddle.standins.faults import StoreFaults
from chivesaddle.standins.http_server import (
    FakeServer,
    HttpResponse,
    header,
    query_integer,
    query_parameter,
    read_body,
    read_json,
    required_field,
)
from chivesaddle.standins.store_core import MEMORY, StoreConfig, StoreCore

MAX_MANIFESTS_PER_PAGE = 1_000


class FakeStore(FakeServer):
    """HTTP server of a store.

    Parameters
    ----------
    on_crash : callable
        Called to end the process.
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
        self.add_route("/blocks/<key>", "PUT", self._put_block)
        self.add_route("/blocks/<key>", "GET", self._get_block)
        self.add_route("/manifests/<prefix_key>", "PUT", self._put_manifest)
        self.add_route("/manifests/<prefix_key>", "GET", self._get_manifest)
        self.add_route("/manifests/<prefix_key>", "DELETE", self._delete_manifest)
        self.add_route("/manifests", "GET", self._list_manifests)
        self.add_route("/status", "GET", self._status)

    def apply_faults(self) -> None:
        """Pass the fault switches to the state machine."""
        self.core.set_faults(self.faults)

    def extra_counters(self) -> dict[str, int]:
        """Return block, manifest and link counters."""
        return dict(self.core.counters)

    async def _put_block(self, request: Request, key: str) -> HttpResponse:
        data = read_body(request)
        length = _parse_integer(header(request, "X-Length"), "X-Length")
        await self._transfer(MEMORY)
        declared_checksum = header(request, "X-Checksum")
        generation = self.core.put_block(BlockKey(key), data, length, declared_checksum)
        return HttpResponse({"generation": generation})

    async def _get_block(self, request: Request, key: str) -> HttpResponse:
        await self._transfer(self.core.block_tier(BlockKey(key)))
        block = self.core.read_block(BlockKey(key))
        return HttpResponse(
            block.payload,
            headers={
                "Content-Type": "application/octet-stream",
                "X-Generation": str(block.generation),
                "X-Checksum": block.checksum,
            },
        )

    async def _transfer(self, tier: str) -> None:
        remaining = self.faults.die_after_blocks
        if remaining == 0:
            self._on_crash()
        if remaining:
            self.faults.die_after_blocks = remaining - 1
        await sleep_until(self.clock, self.core.transfer(tier))

    async def _put_manifest(self, request: Request, prefix_key: str) -> HttpResponse:
        body = read_json(request)
        record: dict[str, Any] = {
            "scope": required_field(body, "scope", str),
            "blocks": required_field(body, "blocks", list),
            "tokens": required_field(body, "tokens", int),
        }
        if not all(isinstance(b, dict) and "key" in b for b in record["blocks"]):
            raise InvalidValue(
                "Each block of a manifest must be an object with a key", field="blocks"
            )
        self.core.put_manifest(prefix_key, record)
        return HttpResponse(self.core.get_manifest(prefix_key))

    async def _get_manifest(self, request: Request, prefix_key: str) -> HttpResponse:
        return HttpResponse(self.core.get_manifest(prefix_key))

    async def _delete_manifest(self, request: Request, prefix_key: str) -> HttpResponse:
        self.core.delete_manifest(prefix_key)
        return HttpResponse({})

    async def _list_manifests(self, request: Request) -> HttpResponse:
        limit = max(
            1, min(MAX_MANIFESTS_PER_PAGE, query_integer(request, "limit", 100))
        )
        return HttpResponse(
            self.core.list_manifests(query_parameter(request, "after"), limit)
        )

    async def _status(self, request: Request) -> HttpResponse:
        return HttpResponse(self.core.status())


def _parse_integer(value: str, name: str) -> int:
    if not value.isdigit():
        raise InvalidValue(
            f"{name} {value!r} is not a non-negative integer", field=name
        )
    return int(value)


__all__ = ["FakeStore"]
