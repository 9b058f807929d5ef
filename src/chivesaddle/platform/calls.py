"""Calls to backend servers beside requests: their report, and orders."""

from collections.abc import Sequence

import msgspec

from chivesaddle.cachemap import CacheEvent, CacheEvents
from chivesaddle.cachemap.index import PartKey
from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId, FencingToken, ModelId
from chivesaddle.core.serving_model import PartId
from chivesaddle.http1 import (
    ConnectionPool,
    NotSent,
    ResponseBroken,
    ResponseHead,
    exchange,
)
from chivesaddle.http1.client import HeaderList

# Servers close idle connections after seconds at the least.
POOLED_IDLE_S = 1.0

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
    """Report and orders of backend servers.

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
        head, body = await self._call(server, address, "GET", "/report", b"", deadline)
        if head.status != 200:
            raise ServerCallFailed(f"Server {server} answered its report {head.status}")
        try:
            found = msgspec.json.decode(body, type=_Report)
        except msgspec.MsgspecError as error:
            raise ServerCallFailed(
                f"Report of server {server} is malformed: {error}"
            ) from None
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
        head, _ = await self._call(server, address, "POST", "/order", body, deadline)
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
        try:
            head, _ = await exchange(
                self._pool,
                self._clock,
                address,
                "POST",
                "/kv-free",
                deadline=deadline,
                body=body,
            )
        except (NotSent, ResponseBroken) as error:
            raise ServerCallFailed(
                f"No answer of store {address}: {error.message}"
            ) from error
        if head.status != 200:
            raise ServerCallFailed(f"Store {address} answered {head.status}")

    async def _read_cache(
        self, address: str, target: str, headers: HeaderList, deadline: float
    ) -> _CacheEvents:
        try:
            head, body = await exchange(
                self._pool,
                self._clock,
                address,
                "GET",
                target,
                deadline=deadline,
                headers=headers,
                max_idle_s=POOLED_IDLE_S,
            )
        except (NotSent, ResponseBroken) as error:
            raise ServerCallFailed(
                f"No answer of cache holder {address}: {error.message}"
            ) from error
        if head.status != 200:
            raise ServerCallFailed(f"Cache holder {address} answered {head.status}")
        try:
            return msgspec.json.decode(body, type=_CacheEvents)
        except msgspec.MsgspecError as error:
            raise ServerCallFailed(
                f"Answer of cache holder {address} is malformed: {error}"
            ) from None

    async def _call(
        self,
        server: BackendServerId,
        address: str,
        method: str,
        path: str,
        body: bytes,
        deadline: float,
    ) -> tuple[ResponseHead, bytes]:
        try:
            return await exchange(
                self._pool,
                self._clock,
                address,
                method,
                path,
                deadline=deadline,
                headers=[(_SERVER_HEADER, server.encode())],
                body=body,
                max_idle_s=POOLED_IDLE_S if method == "GET" else 0.0,
            )
        except (NotSent, ResponseBroken) as error:
            raise ServerCallFailed(
                f"No answer of server {server}: {error.message}"
            ) from error


__all__ = ["ServerApi", "ServerCallFailed"]
