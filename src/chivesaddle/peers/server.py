"""The gRPC server for calls of peers."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from chivesaddle.core.aio import from_asyncio, to_asyncio
from chivesaddle.core.settings import Listen
from chivesaddle.peers.proto.peer_grpc import PeerBase

Handler = Callable[[str, Any], Coroutine[Any, Any, Any]]


class PeerServer(Protocol):
    """Accepts calls of peers."""

    async def start(self) -> None:
        """Listen."""

    async def stop(self) -> None:
        """Stop listening and answer no more calls."""


class GrpcPeerServer:
    """`PeerServer` by grpclib.

    Parameters
    ----------
    handle : callable
        Twisted coroutine function of a method name and its message.
    """

    def __init__(self, listen: Listen, handle: Handler) -> None:
        self._listen = listen
        self._handle = handle
        self._server: Server | None = None
        self._service: _Service | None = None

    async def start(self) -> None:
        """Listen on the configured address; raises `ListenFailed`."""
        # Created here because grpclib takes the running loop.
        self._service = _Service(self._handle)
        self._server = Server([self._service])
        try:
            await from_asyncio(self._server.start(self._listen.host, self._listen.port))
        except OSError as error:
            raise self._listen.failed("peers", error) from error

    async def stop(self) -> None:
        """Stop listening; calls on connections that are still open are refused."""
        if self._server and self._service:
            self._service.stopped = True
            self._server.close()
            await from_asyncio(self._server.wait_closed())


class _Service(PeerBase):
    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self.stopped = False

    async def _answer(self, method: str, stream: Stream[Any, Any]) -> None:
        # grpclib keeps open connections when the server is closed.
        if self.stopped:
            raise GRPCError(Status.UNAVAILABLE, "The daemon has stopped")
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await to_asyncio(self._handle(method, message)))

    async def Exchange(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._answer("Exchange", stream)

    async def GetChanges(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._answer("GetChanges", stream)

    async def GetEvents(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._answer("GetEvents", stream)

    async def GetSuspects(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._answer("GetSuspects", stream)

    async def GetStatus(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._answer("GetStatus", stream)

    async def Announce(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._answer("Announce", stream)

    async def Push(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._answer("Push", stream)


__all__ = ["GrpcPeerServer", "PeerServer"]
