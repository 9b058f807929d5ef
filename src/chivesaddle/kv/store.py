"""HTTP client of the KV stores."""

import json
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

import treq
import xxhash
from pydantic import ValidationError
from treq.client import HTTPClient
from twisted.internet.error import (
    ConnectError,
    ConnectionClosed,
    DNSLookupError,
)
from twisted.web.client import (
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
)
from twisted.web.iweb import IResponse

from chivesaddle.core.aio import Clock, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.ids import BlockKey
from chivesaddle.core.model import Store
from chivesaddle.kv.manifests import Manifest, Record

T = TypeVar("T")

# Limit the memory that a faulty store's response can take.
MAX_BLOCK_BYTES = 32 * 1024 * 1024
MAX_JSON_BYTES = 4 * 1024 * 1024
CONNECTION_ERRORS = (
    ConnectError,
    ConnectionClosed,
    DNSLookupError,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
)


class StoreUnavailable(ChivesaddleError):
    """The store cannot be reached, failed, or sent an invalid response."""

    code = "store_unavailable"
    status = 503


class StoreFull(ChivesaddleError):
    """The store has no capacity left for a block."""

    code = "store_full"
    status = 507


class NotInStore(ChivesaddleError):
    """The store has no such block or manifest."""

    code = "not_in_store"
    status = 404


class ManifestRejected(ChivesaddleError):
    """The store lacks a block of a manifest, or holds a different one."""

    code = "manifest_rejected"
    status = 409


class TierStatus(Record):
    """Bandwidth of the link to a tier and the bytes queued for it."""

    bytes_per_s: float
    queued_bytes: int = 0


class StoreStatus(Record):
    """Capacity and use of a store's memory and disk, and its links by tier."""

    memory_bytes: int
    memory_used: int
    disk_bytes: int
    disk_used: int
    tiers: dict[str, TierStatus]


@dataclass(frozen=True, slots=True)
class StoredBlock:
    """Bytes of a block with the store's generation and checksum."""

    data: bytes
    generation: int
    checksum: str


class StoreClient(Protocol):
    """Calls to stores; deadlines are in seconds on the client's clock.

    Every method may raise `StoreUnavailable` or `DeadlineExceeded`; a write may then
    have taken effect nevertheless.
    """

    async def get_block(
        self, store: Store, key: BlockKey, *, deadline: float
    ) -> StoredBlock:
        """Read a block; raises `NotInStore`."""

    async def put_block(
        self, store: Store, key: BlockKey, data: bytes, *, deadline: float
    ) -> int:
        """Write a block and return its generation; raises `StoreFull`."""

    async def get_manifest(
        self, store: Store, key: BlockKey, *, deadline: float
    ) -> Manifest:
        """Read a manifest; raises `NotInStore`."""

    async def put_manifest(
        self, store: Store, manifest: Manifest, *, deadline: float
    ) -> None:
        """Write a manifest; raises `ManifestRejected`, `StoreFull`."""

    async def list_manifests(
        self, store: Store, *, after: str, limit: int, deadline: float
    ) -> list[Manifest]:
        """Read manifests in order of their keys, from the first one after ``after``.

        Returns at most ``limit`` manifests, and an empty list at the end.
        """

    async def status(self, store: Store, *, deadline: float) -> StoreStatus:
        """Read the capacity, use and links of a store."""


class HttpStoreClient:
    """Implementation of `StoreClient` over HTTP."""

    def __init__(self, http: HTTPClient, clock: Clock) -> None:
        self._http = http
        self._clock = clock

    async def get_block(
        self, store: Store, key: BlockKey, *, deadline: float
    ) -> StoredBlock:
        """Read a block and verify its checksum."""

        async def read() -> StoredBlock:
            response = await self._request("GET", store, f"/blocks/{key}")
            data = await _read_body(response, MAX_BLOCK_BYTES)
            try:
                generation = int(_first_header(response, "X-Generation"))
            except ValueError:
                raise StoreUnavailable(
                    f"Store {store.id} sent no valid X-Generation with block {key}"
                ) from None
            checksum = _first_header(response, "X-Checksum")
            if xxhash.xxh3_128_hexdigest(data) != checksum:
                raise StoreUnavailable(
                    f"Store {store.id} sent data with a wrong checksum for block {key}"
                )
            return StoredBlock(data, generation, checksum)

        return await self._call_with_deadline(deadline, read(), store)

    async def put_block(
        self, store: Store, key: BlockKey, data: bytes, *, deadline: float
    ) -> int:
        """Write a block and return its generation."""

        async def write() -> int:
            headers = {
                "X-Length": str(len(data)),
                "X-Checksum": xxhash.xxh3_128_hexdigest(data),
            }
            response = await self._request(
                "PUT", store, f"/blocks/{key}", data=data, headers=headers
            )
            payload = await _read_json(response, store)
            if not isinstance(payload, dict) or not isinstance(
                payload.get("generation"), int
            ):
                raise StoreUnavailable(
                    f"Store {store.id} returned {payload!r} for a written block, "
                    "without an integer generation"
                )
            return payload["generation"]

        return await self._call_with_deadline(deadline, write(), store)

    async def get_manifest(
        self, store: Store, key: BlockKey, *, deadline: float
    ) -> Manifest:
        """Read a manifest."""

        async def read() -> Manifest:
            response = await self._request("GET", store, f"/manifests/{key}")
            return _validate_payload(Manifest, await _read_json(response, store), store)

        return await self._call_with_deadline(deadline, read(), store)

    async def put_manifest(
        self, store: Store, manifest: Manifest, *, deadline: float
    ) -> None:
        """Write a manifest."""

        async def write() -> None:
            path = f"/manifests/{manifest.prefix_key}"
            response = await self._request("PUT", store, path, json=manifest.to_json())
            await _read_body(response, MAX_JSON_BYTES)

        await self._call_with_deadline(deadline, write(), store)

    async def list_manifests(
        self, store: Store, *, after: str, limit: int, deadline: float
    ) -> list[Manifest]:
        """Read one page of manifests."""

        async def read() -> list[Manifest]:
            params = {"after": after, "limit": str(limit)}
            response = await self._request("GET", store, "/manifests", params=params)
            payload = await _read_json(response, store)
            items = payload.get("manifests") if isinstance(payload, dict) else None
            if not isinstance(items, list):
                raise StoreUnavailable(f"Store {store.id} sent no list of manifests")
            return [_validate_payload(Manifest, item, store) for item in items]

        return await self._call_with_deadline(deadline, read(), store)

    async def status(self, store: Store, *, deadline: float) -> StoreStatus:
        """Read the capacity, use and links of a store."""

        async def read() -> StoreStatus:
            response = await self._request("GET", store, "/status")
            return _validate_payload(
                StoreStatus, await _read_json(response, store), store
            )

        return await self._call_with_deadline(deadline, read(), store)

    async def _call_with_deadline(
        self, deadline: float, call: Awaitable[T], store: Store
    ) -> T:
        try:
            return await with_deadline(
                self._clock, deadline, call, f"call to store {store.id}"
            )
        except CONNECTION_ERRORS as error:
            if self._clock.seconds() >= deadline:
                # The HTTP client may report the cancellation as a failed response.
                raise DeadlineExceeded(
                    f"Call to store {store.id} missed its deadline"
                ) from None
            raise StoreUnavailable(
                f"Store {store.id} at {store.url} failed: {error}"
            ) from None

    async def _request(
        self, method: str, store: Store, path: str, **kwargs: Any
    ) -> IResponse:
        response = await self._http.request(method, store.url + path, **kwargs)
        operation = f"{method} {path} at store {store.id}"
        match response.code:
            case 200 | 201 | 204:
                return response
            case 404:
                raise NotInStore(f"{operation}: not found")
            case 409:
                raise ManifestRejected(f"{operation}: a block is missing or differs")
            case 507:
                raise StoreFull(f"{operation}: the store is full")
        raise StoreUnavailable(f"{operation}: status {response.code}")


async def _read_body(response: IResponse, limit: int) -> bytes:
    parts: list[bytes] = []
    size = 0

    def collect(part: bytes) -> None:
        nonlocal size
        size += len(part)
        if size <= limit:
            parts.append(part)

    await treq.collect(response, collect)
    if size > limit:
        raise StoreUnavailable(
            f"Response body of {size} bytes exceeds the limit of {limit}"
        )
    return b"".join(parts)


async def _read_json(response: IResponse, store: Store) -> Any:
    try:
        return json.loads(await _read_body(response, MAX_JSON_BYTES))
    except ValueError:
        raise StoreUnavailable(f"Store {store.id} sent invalid JSON") from None


def _first_header(response: IResponse, name: str) -> str:
    values = response.headers.getRawHeaders(name) or [""]
    return values[0]


def _validate_payload(record_type: type[T], payload: Any, store: Store) -> T:
    try:
        return record_type.model_validate(payload)  # type: ignore[attr-defined]
    except ValidationError as error:
        raise StoreUnavailable(
            f"Store {store.id} sent an invalid {record_type.__name__}: {error}"
        ) from None


__all__ = [
    "HttpStoreClient",
    "ManifestRejected",
    "NotInStore",
    "StoreClient",
    "StoreFull",
    "StoreStatus",
    "StoreUnavailable",
    "StoredBlock",
    "TierStatus",
]
