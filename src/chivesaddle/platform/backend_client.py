"""Client for the control calls of backend servers and KV stores.

These are load reports, weight orders and cache events; callers' requests are forwarded
elsewhere.
"""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from chivesaddle.cachemap import CacheEvent, CacheEvents
from chivesaddle.cachemap.index import PartKey
from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId, FencingToken, ModelId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import PromptPartId, ServerEntry
from chivesaddle.http1 import (
    BodyLimit,
    ConnectionPool,
    HeaderList,
    NotSent,
    ResponseBroken,
    ResponseHead,
    Reuse,
    exchange,
)

# Shorter than the idle timeout of any backend server, which is at least a few seconds.
MAX_POOLED_IDLE_S = 1.0

# Longest report or answer to an order, and of all that are read at a time. A server
# reports some hundred bytes and 30 a run.
MAX_REPORT_BYTES, MAX_REPORTS_BYTES = 262_144, 4_000_000
# The same for cached parts, of which a holder tells some 50 bytes each.
MAX_CACHE_BYTES, MAX_CACHES_BYTES = 4_000_000, 16_000_000

T = TypeVar("T")
log = ComponentLogger("servers")
_EXPECTED_SERVER_HEADER = b"x-chivesaddle-expected-instance"


class ServerCallFailed(ChivesaddleError):
    """A control call to a backend server or KV store got no valid response."""

    code = "server_call_failed"
    status = 502


class _LoadedModel(msgspec.Struct):
    name: str
    version: int


class _ServerReport(msgspec.Struct):
    # Number of orders accepted since the server started.
    sequence: int = 0
    # Whether the server is executing an order.
    busy: bool = False
    models: list[_LoadedModel] = msgspec.field(default_factory=list)


class _StartReport(msgspec.Struct):
    # Time when the server process started, in Unix milliseconds.
    born: int | None = None


class _NextPoll(msgspec.Struct):
    # Value of the query parameter ``since`` for the next call.
    next_token: int


class _CacheEvents(_NextPoll):
    # Changes when the cache holder (a backend server or KV store) restarts.
    boot_epoch: int
    # Whether events before these were discarded.
    lost: bool = False
    # Event number, "+" or "-", cache scope, prompt part, tokens stored after the event,
    # model.
    events: list[tuple[int, str, str, str, int, str]] = msgspec.field(
        default_factory=list
    )
    # Cache scope, prompt part, stored tokens, model.
    held: list[tuple[str, str, int, str]] = msgspec.field(default_factory=list)


class BackendClient:
    """Client for load reports and weight orders, and for cache events and frees.

    Cache holders are backend servers and KV stores.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to backend servers and KV stores, used for cache events only: a
        response to any other call could be taken for one to a poll.
    clock : Clock
        Clock on which deadlines are expressed.
    """

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._report_limit = BodyLimit(MAX_REPORT_BYTES, MAX_REPORTS_BYTES)
        self._cache_limit = BodyLimit(MAX_CACHE_BYTES, MAX_CACHES_BYTES)

    async def read_version(
        self, server: BackendServerId, address: str, model: ModelId, deadline: float
    ) -> tuple[int, int, bool]:
        """Return the orders accepted, the model's version, and whether an order runs.

        The server's report is about 0.1 s old. Raises `ServerCallFailed`.
        """
        endpoint = f"server {server}"
        head, body = await self._call_backend_server(
            server, address, "GET", "/report", deadline
        )
        decoded = _decode_body(head, body, _ServerReport, endpoint)
        versions = {m.name: m.version for m in decoded.models}
        return decoded.sequence, versions.get(model, 0), decoded.busy

    async def read_start(self, server: ServerEntry, deadline: float) -> int | None:
        """Return when the process at a model engine's address was started.

        In Unix milliseconds; None if the engine does not report it by the deadline.
        """
        endpoint = f"server {server.id}"
        try:
            head, body = await self._call_backend_server(
                server.id, server.address, "GET", "/report", deadline
            )
            return _decode_body(head, body, _StartReport, endpoint).born
        except ServerCallFailed as error:
            log.info(
                "start not reported",
                extra={"server": server.id, "cause": error.message},
            )
            return None

    async def order(
        self,
        server: BackendServerId,
        address: str,
        model: ModelId,
        version: int,
        *,
        orders_accepted: int,
        holder: str,
        fence: FencingToken,
        continue_runs: bool,
        deadline: float,
    ) -> bool:
        """Order a backend server to load a weight version.

        Parameters
        ----------
        orders_accepted : int
            Precondition: the server rejects the order if it has accepted another number
            of orders, so that a delayed order cannot undo a newer one.
        holder : str
            Holder of the lease for weight orders.
        fence : FencingToken
            Fencing token of that lease.
        continue_runs : bool
            True to load the version at once and continue running requests with it;
            False to load it after the running requests have finished.

        Returns
        -------
        bool
            Whether the server accepted the order or already has the version.

        Raises
        ------
        ServerCallFailed
            If there is no response; the server may still execute the order.
        """
        body = msgspec.json.encode(
            {
                "operation": "version",
                "model": model,
                "version": version,
                "mode": "retain" if continue_runs else "wait",
                "holder": holder,
                "fencing_token": fence,
                "precondition": orders_accepted,
            }
        )
        head, _ = await self._call_backend_server(
            server, address, "POST", "/order", deadline, body
        )
        return head.status in (200, 202)

    async def read_events(
        self, address: str, position: int, wait_s: float, deadline: float
    ) -> CacheEvents:
        """Wait for cache events from ``position`` on; raises `ServerCallFailed`."""
        target = f"/kv-events?since={position}"
        headers = [(b"wait-ms", str(int(wait_s * 1_000)).encode())]
        reuse = Reuse(
            MAX_POOLED_IDLE_S, lambda head, body: _may_follow(position, head, body)
        )
        decoded = await self._read_cache(address, target, headers, deadline, reuse)
        events = [
            CacheEvent((scope, PromptPartId(part)), tokens)
            for _, _, scope, part, tokens, _ in decoded.events
        ]
        return CacheEvents(
            decoded.boot_epoch, decoded.next_token, decoded.lost, tuple(events)
        )

    async def list_parts(self, address: str, deadline: float) -> CacheEvents:
        """List all prompt parts that a holder stores; raises `ServerCallFailed`."""
        decoded = await self._read_cache(address, "/kv-list", [], deadline)
        events = [
            CacheEvent((scope, PromptPartId(part)), tokens)
            for scope, part, tokens, _ in decoded.held
        ]
        return CacheEvents(decoded.boot_epoch, decoded.next_token, False, tuple(events))

    async def free_parts(
        self, address: str, epoch: int, keys: Sequence[PartKey], deadline: float
    ) -> None:
        """Free prompt parts of a KV store; raises `ServerCallFailed`."""
        body = msgspec.json.encode({"parts": keys, "boot_epoch": epoch})
        head, _ = await self._exchange(
            f"KV store {address}", address, "POST", "/kv-free", deadline, body=body
        )
        if head.status != 200:
            raise ServerCallFailed(
                f"KV store {address} responded with status {head.status}"
            )

    async def _read_cache(
        self,
        address: str,
        target: str,
        headers: HeaderList,
        deadline: float,
        reuse: Reuse | None = None,
    ) -> _CacheEvents:
        endpoint = f"cache holder {address}"
        head, body = await self._exchange(
            endpoint,
            address,
            "GET",
            target,
            deadline,
            headers=headers,
            reuse=reuse,
            limit=self._cache_limit,
        )
        return _decode_body(head, body, _CacheEvents, endpoint)

    async def _call_backend_server(
        self,
        server: BackendServerId,
        address: str,
        method: str,
        target: str,
        deadline: float,
        body: bytes = b"",
    ) -> tuple[ResponseHead, bytes]:
        return await self._exchange(
            f"server {server}",
            address,
            method,
            target,
            deadline,
            headers=[(_EXPECTED_SERVER_HEADER, server.encode())],
            body=body,
        )

    async def _exchange(
        self,
        endpoint: str,
        address: str,
        method: str,
        target: str,
        deadline: float,
        *,
        headers: HeaderList | None = None,
        body: bytes = b"",
        reuse: Reuse | None = None,
        limit: BodyLimit | None = None,
    ) -> tuple[ResponseHead, bytes]:
        """Call ``address``, named ``endpoint`` in errors; raises `ServerCallFailed`."""
        try:
            return await exchange(
                self._pool,
                self._clock,
                address,
                method,
                target,
                deadline=deadline,
                headers=headers,
                body=body,
                reuse=reuse,
                limit=limit or self._report_limit,
            )
        except (NotSent, ResponseBroken) as error:
            raise ServerCallFailed(
                f"No response from {endpoint}: {error.message}"
            ) from error


def _may_follow(position: int, head: ResponseHead, body: bytes) -> bool:
    """Return whether a response may be that to a poll from ``position`` on.

    A second copy of a response to an earlier poll names an older position. A copy of
    one that names the same position changes nothing if it is applied again.
    """
    if head.status != 200:
        return True
    try:
        return msgspec.json.decode(body, type=_NextPoll).next_token >= position
    except (ValueError, RecursionError):
        return False


def _decode_body(
    head: ResponseHead, body: bytes, expected_type: type[T], endpoint: str
) -> T:
    if head.status != 200:
        raise ServerCallFailed(f"Response from {endpoint} has status {head.status}")
    try:
        return msgspec.json.decode(body, type=expected_type)
    except (ValueError, RecursionError) as error:
        raise ServerCallFailed(
            f"Response from {endpoint} is malformed: {error}"
        ) from None


__all__ = ["BackendClient", "ServerCallFailed"]
