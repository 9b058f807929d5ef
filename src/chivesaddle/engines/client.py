"""HTTP client for model engines."""

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

import treq
from treq.response import _Response as Response

from chivesaddle.core.aio import Clock, Task, with_deadline
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
    EngineTimeout,
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

# Tokens arrive about every 26 ms; 2 s without data is a failure, not a slow step.
MAX_TOKEN_GAP_S = 2.0
MAX_RESPONSE_BYTES = 16 << 20
DEFAULT_RETRY_AFTER_S = 1.0


class EngineClient:
    """Sends requests to model engines.

    A run is the generation of one answer at an engine. A POST whose ``request_id`` is
    already running attaches to that run and delivers its events from the start, so a
    submission may be repeated on a new connection. Closing a connection does not end a
    run; only `cancel` does. The first event follows the prefill and may take until
    ``deadline``; later gaps in the stream are limited to 2 s.

    Parameters
    ----------
    connections : Connections
        Connection pool.
    clock : Clock
        Clock, in seconds, on which all deadlines are expressed.
    """

    def __init__(self, connections: Connections, clock: Clock) -> None:
        self._connections = connections
        self._clock = clock

    @classmethod
    def from_reactor(cls, reactor: Any) -> "EngineClient":
        """Return a TCP client with its own connection pool."""
        return cls(Connections.from_reactor(reactor), reactor)

    async def open_stream(
        self, url: str, path: str, body: dict[str, Any], deadline: float
    ) -> EngineStream:
        """Submit a request and return its stream once the headers have arrived.

        Raises
        ------
        EngineError
            The subclass identifies the failure; ``retry_on_other_server`` states
            whether another backend server may succeed. ``pending`` may still give the
            stream, if the server is silent on one connection and failed on another.
        """
        try:
            response = await self._connections.request(
                "POST",
                url + path,
                data=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                deadline=deadline,
                keep_pending=True,
            )
        except EngineError as error:
            if error.pending is not None:
                error.pending = Task(
                    self._await_stream(error.pending, deadline), EngineStream.close
                )
            raise
        return await self._start_stream(response, deadline)

    async def resume(
        self,
        url: str,
        request_id: RequestId,
        after: int,
        cache_salt: str,
        deadline: float,
    ) -> EngineStream:
        """Return the stream of a run, skipping its first ``after`` tokens.

        Always opens a new connection, so that `EngineRefused` after a reset means that
        the server has crashed.
        """
        response = await self._connections.request(
            "GET",
            f"{url}/v1/streams/{quote(request_id, safe='')}?after={after}",
            headers={"X-Cache-Salt": cache_salt},
            deadline=deadline,
            fresh=True,
        )
        return await self._start_stream(response, deadline)

    async def cancel(
        self, url: str, request_id: RequestId, cache_salt: str, deadline: float
    ) -> None:
        """End a run; does nothing if the engine no longer has it."""
        try:
            await self._request_json(
                "DELETE",
                f"{url}/v1/streams/{quote(request_id, safe='')}",
                deadline,
                headers={"X-Cache-Salt": cache_salt},
            )
        except EngineNotFound:
            return

    async def load(self, url: str, deadline: float) -> LoadReport:
        """Return the engine's load report."""
        return LoadReport.from_json(
            await self._request_json("GET", f"{url}/load", deadline)
        )

    async def events(self, url: str, after: int, deadline: float) -> CacheEvents:
        """Return the cache events after sequence number ``after``."""
        response = await self._request_json(
            "GET", f"{url}/events?after={after}", deadline
        )
        return CacheEvents.from_json(response)

    async def blocks(self, url: str, deadline: float) -> CachedBlocks:
        """Return all blocks in the engine's cache."""
        return CachedBlocks.from_json(
            await self._request_json("GET", f"{url}/blocks", deadline)
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
        """Have the engine fetch blocks from a store without using them yet."""
        body = {
            "import_id": import_id,
            "source": source,
            "cache_salt": cache_salt,
            "block_keys": list(block_keys),
        }
        response = await self._request_json("POST", f"{url}/kv/imports", deadline, body)
        return BlockRecords.from_json(response).blocks

    async def commit_import(self, url: str, import_id: str, deadline: float) -> None:
        """Make the staged blocks of an import available to requests."""
        path = f"/kv/imports/{quote(import_id, safe='')}/commit"
        await self._request_json("POST", url + path, deadline, {})

    async def discard_import(self, url: str, import_id: str, deadline: float) -> None:
        """Drop the staged blocks of an import; does nothing if it is unknown."""
        path = f"/kv/imports/{quote(import_id, safe='')}"
        try:
            await self._request_json("DELETE", url + path, deadline)
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
        """Have the engine upload blocks to a store.

        Raises
        ------
        EngineConflict
            If the engine has freed one of the blocks in the meantime.
        """
        body = {
            "target": target,
            "cache_salt": cache_salt,
            "block_keys": list(block_keys),
        }
        response = await self._request_json("POST", f"{url}/kv/exports", deadline, body)
        return BlockRecords.from_json(response).blocks

    async def order(
        self,
        url: str,
        fence: FencingToken,
        order: str,
        arguments: dict[str, Any],
        deadline: float,
    ) -> None:
        """Send an order, e.g. to load a weight version.

        Raises
        ------
        EngineConflict
            If the fencing token is stale.
        """
        body = {**arguments, "fence": fence, "order": order}
        await self._request_json("POST", f"{url}/orders", deadline, body)

    async def state(self, url: str, deadline: float) -> EngineState:
        """Return the models and adapters that the engine has loaded."""
        return EngineState.from_json(
            await self._request_json("GET", f"{url}/state", deadline)
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._connections.close()

    async def _await_stream(
        self, pending: Task[Response], deadline: float
    ) -> EngineStream:
        return await self._start_stream(await pending.outcome(), deadline)

    async def _start_stream(self, response: Response, deadline: float) -> EngineStream:
        if response.code != 200:
            raise _error_from_response(
                response, await self._read_body(response, deadline), stream=True
            )
        stream = EngineStream(self._clock, MAX_TOKEN_GAP_S, first_deadline=deadline)
        response.deliverBody(stream)
        return stream

    async def _request_json(
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
        content = await self._read_body(response, deadline)
        if response.code >= 300:
            raise _error_from_response(response, content, stream=False)
        if not content:
            return None
        try:
            return json.loads(content)
        except ValueError:
            raise EngineProtocolError(f"{url} returned invalid JSON") from None

    async def _read_body(self, response: Response, deadline: float) -> bytes:
        parts: list[bytes] = []
        size = 0

        def collect(part: bytes) -> None:
            nonlocal size
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                raise EngineProtocolError(
                    f"Engine response exceeds {MAX_RESPONSE_BYTES} bytes"
                )
            parts.append(part)

        try:
            await with_deadline(
                self._clock, deadline, treq.collect(response, collect), "response body"
            )
        except DeadlineExceeded:
            raise EngineTimeout(
                "Engine response was not complete before the deadline"
            ) from None
        except EngineError:
            raise
        except Exception as error:
            raise EngineReset(
                f"Connection to the engine failed during the response: {error!r}"
            ) from None
        return b"".join(parts)


def _error_from_response(
    response: Response, content: bytes, *, stream: bool
) -> EngineError:
    message = _error_message(content) or f"Engine responded with status {response.code}"
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


def _error_message(content: bytes) -> str:
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


__all__ = ["MAX_TOKEN_GAP_S", "EngineClient"]
