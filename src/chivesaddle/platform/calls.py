"""Calls to servers and KV stores beside requests: reports, orders, cache events."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

from chivesaddle.cachemap import CacheEvent, CacheEvents
from chivesaddle.cachemap.index import PartKey
from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId, FencingToken, ModelId
from chivesaddle.core.serving_model import PartId
from chivesaddle.http1 import (
    ConnectionPool,
    HeaderList,
    NotSent,
    ResponseBroken,
    ResponseHead,
    exchange,
)

# Servers close idle connections after seconds at the least.
POOLED_IDLE_S = 1.0

T = TypeVar("T")
_SERVER_HEADER = b"x-chivesaddle-expected-instance"


class ServerCallFailed(ChivesaddleError):
    """A backend server gave no answer to a call beside requests."""

    code = "server_call_failed"
    status = 502


class _Model(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    # Orders accepted since the server started.
    sequence: int = 0
    # An order is being carried out.
    busy: bool = False
    models: list[_Model] = msgspec.field(default_factory=list)


class _CacheEvents(msgspec.Struct):
    # Changes when the holder restarts.
    boot_epoch: int
    # Value of ``since`` for the next call.
    next_token: int
    # Events before these are gone.
    lost: bool = False
    # Number, "+" or "-", scope, part, tokens stored now, model.
    events: list[tuple[int, str, str, str, int, str]] = msgspec.field(
        default_factory=list
    )
    # Scope, part, tokens, model.
    held: list[tuple[str, str, int, str]] = msgspec.field(default_factory=list)


class ServerApi:
    """Reports and orders of backend servers; events and frees of cache holders.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to backend servers.
    clock : Clock
        Clock of all deadlines.
    """

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock

    async def read_version(
        self, server: BackendServerId, address: str, model: ModelId, deadline: float
    ) -> tuple[int, int, bool]:
        """Return orders accepted, the model's version, and whether an order runs.

        The report is some 0.1 s old. Raises `ServerCallFailed`.
        """
        holder = f"server {server}"
        head, body = await self._call_server(
            server, address, "GET", "/report", deadline
        )
        found = _decoded(head, body, _Report, holder)
        versions = {m.name: m.version for m in found.models}
        return found.sequence, versions.get(model, 0), found.busy

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
        runs_go_on: bool,
        deadline: float,
    ) -> bool:
        """Order a weight version.

        It is loaded at once if runs go on under it, else after they have finished.

        Returns whether the server took the order or already has the version.

        The order holds only while the server has accepted ``orders_accepted`` orders,
        so one that is carried out late cannot undo a newer one.

        Raises
        ------
        ServerCallFailed
            If there is no answer; the order may still be carried out.
        """
        body = msgspec.json.encode(
            {
                "operation": "version",
                "model": model,
                "version": version,
                "mode": "retain" if runs_go_on else "wait",
                "holder": holder,
                "fencing_token": fence,
                "precondition": orders_accepted,
            }
        )
        head, _ = await self._call_server(
            server, address, "POST", "/order", deadline, body
        )
        return head.status in (200, 202)

    async def read_events(
        self, address: str, position: int, wait_s: float, deadline: float
    ) -> CacheEvents:
        """Wait for cache events after a position; raises `ServerCallFailed`."""
        target = f"/kv-events?since={position}"
        headers = [(b"wait-ms", str(int(wait_s * 1_000)).encode())]
        found = await self._read_cache(address, target, headers, deadline)
        events = [
            CacheEvent((scope, PartId(part)), tokens)
            for _, _, scope, part, tokens, _ in found.events
        ]
        return CacheEvents(
            found.boot_epoch, found.next_token, found.lost, tuple(events)
        )

    async def read_list(self, address: str, deadline: float) -> CacheEvents:
        """Read all parts that a holder has; raises `ServerCallFailed`."""
        found = await self._read_cache(address, "/kv-list", [], deadline)
        events = [
            CacheEvent((scope, PartId(part)), tokens)
            for scope, part, tokens, _ in found.held
        ]
        return CacheEvents(found.boot_epoch, found.next_token, False, tuple(events))

    async def free_parts(
        self, address: str, epoch: int, keys: Sequence[PartKey], deadline: float
    ) -> None:
        """Free parts of a store; raises `ServerCallFailed`."""
        body = msgspec.json.encode({"parts": keys, "boot_epoch": epoch})
        head, _ = await self._exchange(
            f"store {address}", address, "POST", "/kv-free", deadline, body=body
        )
        if head.status != 200:
            raise ServerCallFailed(f"Store {address} answered {head.status}")

    async def _read_cache(
        self, address: str, target: str, headers: HeaderList, deadline: float
    ) -> _CacheEvents:
        holder = f"cache holder {address}"
        head, body = await self._exchange(
            holder,
            address,
            "GET",
            target,
            deadline,
            headers=headers,
            max_idle_s=POOLED_IDLE_S,
        )
        return _decoded(head, body, _CacheEvents, holder)

    async def _call_server(
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
            headers=[(_SERVER_HEADER, server.encode())],
            body=body,
            max_idle_s=POOLED_IDLE_S if method == "GET" else 0.0,
        )

    async def _exchange(
        self,
        holder: str,
        address: str,
        method: str,
        target: str,
        deadline: float,
        *,
        headers: HeaderList | None = None,
        body: bytes = b"",
        max_idle_s: float = 0.0,
    ) -> tuple[ResponseHead, bytes]:
        """Call ``holder``, as error messages name it; raises `ServerCallFailed`."""
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
                max_idle_s=max_idle_s,
            )
        except (NotSent, ResponseBroken) as error:
            raise ServerCallFailed(f"No answer of {holder}: {error.message}") from error


def _decoded(head: ResponseHead, body: bytes, shape: type[T], holder: str) -> T:
    if head.status != 200:
        raise ServerCallFailed(f"Answer of {holder} has status {head.status}")
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.MsgspecError as error:
        raise ServerCallFailed(f"Answer of {holder} is malformed: {error}") from None


__all__ = ["ServerApi", "ServerCallFailed"]
