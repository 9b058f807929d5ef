"""HTTP client of one or many model engines."""

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

import treq
from treq.response import _Response as Response

from chivesaddle.core.aio import Clock, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.ids import BlockKey, FencingToken, RequestId
from chivesaddle.engines.connections import Connections
from chivesaddle.engines.errors import (
    EngineConflict,
    EngineDraining,
    EngineError,
    EngineFull,
    EngineNotFound,
    EngineProtocolError,
    EngineRejected,
    EngineReset,
    EngineSilent,
    VersionNotLoaded,
)
from chivesaddle.engines.reports import (
    BlockRecord,
    BlockRecords,
    CachedBlocks,
    CacheEvents,
    EngineState,
    LoadReport,
)
from chivesaddle.engines.stream import EngineStream

# At 26 ms between tokens a gap of 2 s is a failure, not a slow step.
TOKEN_GAP_S = 2.0
MAX_ANSWER_BYTES = 16 << 20
DEFAULT_RETRY_AFTER_S = 1.0


class EngineClient:
    """Requests to model engines.

    A POST with a ``request_id`` that already runs at the engine attaches to that run
    and delivers its events from the start, so a submission may be repeated on a new
    connection. Closing a connection does not end a run; only `cancel` does. The first
    event of a prefill may take until ``deadline``; later gaps are bounded by 2 s.

    Parameters
    ----------
    connections : Connections
        Pool of connections.
    clock : Clock
        Clock of all deadlines, in seconds.
    """

    def __init__(self, connections: Connections, clock: Clock) -> None:
        self._connections = connections
        self._clock = clock

    @classmethod
    def from_reactor(cls, reactor: Any) -> "EngineClient":
        """Return a client over TCP with its own connection pool."""
        return cls(Connections.from_reactor(reactor), reactor)

    async def open_stream(
        self, url: str, path: str, body: dict[str, Any], deadline: float
    ) -> EngineStream:
        """Submit a request and return its stream when the headers have arrived.

        Raises
        ------
        EngineError
            One of its subclasses tells what happened and whether another backend
            server may succeed.
        """
        response = await self._connections.request(
            "POST",
            url + path,
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            deadline=deadline,
        )
        return await self._stream(response, deadline)

    async def resume(
        self,
        url: str,
        request_id: RequestId,
        after: int,
        cache_salt: str,
        deadline: float,
    ) -> EngineStream:
        """Return the stream of a run from the token after the first ``after`` ones.

        A fresh connection is used, so that `EngineRefused` after a reset means that
        the server died.
        """
        response = await self._connections.request(
            "GET",
            f"{url}/v1/streams/{quote(request_id, safe='')}?after={after}",
            headers={"X-Cache-Salt": cache_salt},
            deadline=deadline,
            fresh=True,
        )
        return await self._stream(response, deadline)

    async def cancel(
        self, url: str, request_id: RequestId, cache_salt: str, deadline: float
    ) -> None:
        """End a run; a run that is already gone is no failure."""
        try:
            await self._call(
                "DELETE",
                f"{url}/v1/streams/{quote(request_id, safe='')}",
                deadline,
                headers={"X-Cache-Salt": cache_salt},
            )
        except EngineNotFound:
            return

    async def load(self, url: str, deadline: float) -> LoadReport:
        """Return the engine's load report."""
        return LoadReport.from_json(await self._call("GET", f"{url}/load", deadline))

    async def events(self, url: str, after: int, deadline: float) -> CacheEvents:
        """Return cache events after a sequence number."""
        answer = await self._call("GET", f"{url}/events?after={after}", deadline)
        return CacheEvents.from_json(answer)

    async def blocks(self, url: str, deadline: float) -> CachedBlocks:
        """Return all cached blocks."""
        return CachedBlocks.from_json(
            await self._call("GET", f"{url}/blocks", deadline)
        )

    async def stage_import(
        self,
        url: str,
        import_id: str,
        source: str,
        cache_salt: str,
        block_keys: Sequence[BlockKey],
        deadline: float,
    ) -> tuple[BlockRecord, ...]:
        """Make the engine pull blocks from a store without using them yet."""
        body = {
            "import_id": import_id,
            "source": source,
            "cache_salt": cache_salt,
            "block_keys": list(block_keys),
        }
        answer = await self._call("POST", f"{url}/kv/imports", deadline, body)
        return BlockRecords.from_json(answer).blocks

    async def commit_import(self, url: str, import_id: str, deadline: float) -> None:
        """Make staged blocks usable."""
        path = f"/kv/imports/{quote(import_id, safe='')}/commit"
        await self._call("POST", url + path, deadline, {})

    async def discard_import(self, url: str, import_id: str, deadline: float) -> None:
        """Drop staged blocks; an unknown import is no failure."""
        path = f"/kv/imports/{quote(import_id, safe='')}"
        try:
            await self._call("DELETE", url + path, deadline)
        except EngineNotFound:
            return

    async def export(
        self,
        url: str,
        target: str,
        cache_salt: str,
        block_keys: Sequence[BlockKey],
        deadline: float,
    ) -> tuple[BlockRecord, ...]:
        """Make the engine push blocks to a store.

        Raises
        ------
        EngineConflict
            If a block was freed meanwhile.
        """
        body = {
            "target": target,
            "cache_salt": cache_salt,
            "block_keys": list(block_keys),
        }
        answer = await self._call("POST", f"{url}/kv/exports", deadline, body)
        return BlockRecords.from_json(answer).blocks

    async def order(
        self,
        url: str,
        fence: FencingToken,
        order: str,
        arguments: dict[str, Any],
        deadline: float,
    ) -> None:
        """Send an order; raises `EngineConflict` for a stale fencing token."""
        body = {**arguments, "fence": fence, "order": order}
        await self._call("POST", f"{url}/orders", deadline, body)

    async def state(self, url: str, deadline: float) -> EngineState:
        """Return what the engine has loaded."""
        return EngineState.from_json(await self._call("GET", f"{url}/state", deadline))

    async def close(self) -> None:
        """Close the idle connections."""
        await self._connections.close()

    async def _stream(self, response: Response, deadline: float) -> EngineStream:
        if response.code != 200:
            raise _failure(response, await self._read(response, deadline), stream=True)
        stream = EngineStream(self._clock, TOKEN_GAP_S, first_deadline=deadline)
        response.deliverBody(stream)
        return stream

    async def _call(
        self,
        method: str,
        url: str,
        deadline: float,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        sent_headers = dict(headers or {})
        if body is not None:
            sent_headers["Content-Type"] = "application/json"
        response = await self._connections.request(
            method,
            url,
            data=None if body is None else json.dumps(body).encode(),
            headers=sent_headers,
            deadline=deadline,
        )
        content = await self._read(response, deadline)
        if response.code >= 300:
            raise _failure(response, content, stream=False)
        if not content:
            return None
        try:
            return json.loads(content)
        except ValueError:
            raise EngineProtocolError(f"{url} answered with invalid JSON") from None

    async def _read(self, response: Response, deadline: float) -> bytes:
        parts: list[bytes] = []
        size = 0

        def collect(part: bytes) -> None:
            nonlocal size
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise EngineProtocolError(f"An answer exceeds {MAX_ANSWER_BYTES} bytes")
            parts.append(part)

        try:
            await with_deadline(
                self._clock, deadline, treq.collect(response, collect), "answer"
            )
        except DeadlineExceeded:
            raise EngineSilent("The engine's answer stopped before its end") from None
        except EngineError:
            raise
        except Exception as error:
            raise EngineReset(f"The engine's answer broke off: {error!r}") from None
        return b"".join(parts)


def _failure(response: Response, content: bytes, *, stream: bool) -> EngineError:
    message = _message(content) or f"The engine answered with {response.code}"
    match response.code:
        case 404:
            return EngineNotFound(message)
        case 409 if stream:
            return VersionNotLoaded(message)
        case 409:
            return EngineConflict(message)
        case 429:
            return EngineFull(message, retry_after_s=_retry_after(response))
        case 503:
            return EngineDraining(message, retry_after_s=_retry_after(response))
        case code if 400 <= code < 500:
            return EngineRejected(message)
    return EngineError(message)


def _message(content: bytes) -> str:
    try:
        return str(json.loads(content)["error"]["message"])[:500]
    except (ValueError, KeyError, TypeError):
        return ""


def _retry_after(response: Response) -> float:
    values = response.headers.getRawHeaders("Retry-After") or []
    try:
        return max(0.0, float(values[0]))
    except (IndexError, ValueError):
        return DEFAULT_RETRY_AFTER_S


__all__ = ["TOKEN_GAP_S", "EngineClient"]
