"""gRPC server of the peer service."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from chivesaddle.core.aio import from_asyncio, to_asyncio
from chivesaddle.core.settings import ListenAddress
from chivesaddle.peers.proto.peer_grpc import PeerBase

Handler = Callable[[str, Any], Coroutine[Any, Any, Any]]


class PeerServer(Protocol):
    """Accepts calls from peers."""

    async def start(self) -> None:
        """Start listening."""

    async def stop(self) -> None:
        """Stop listening and refuse further calls."""


class GrpcPeerServer:
    """`PeerServer` over grpclib.

    Parameters
    ----------
    handle : callable
        Twisted coroutine function that takes a method name and its request message
        and returns the response.
    """

    def __init__(self, listen: ListenAddress, handle: Handler) -> None:
        self._listen = listen
        self._handle = handle
        self._server: Server | None = None
        self._service: _Service | None = None

    async def start(self) -> None:
        """Start listening on the configured address; raises `ListenFailed`."""
        # Created here because grpclib binds to the event loop that is running.
        self._service = _Service(self._handle)
        self._server = Server([self._service])
        try:
            await from_asyncio(self._server.start(self._listen.host, self._listen.port))
        except OSError as error:
            raise self._listen.listen_error("peers", error) from error

    async def stop(self) -> None:
        """Stop listening; calls on connections that stay open are refused."""
        if self._server and self._service:
            self._service.stopped = True
            self._server.close()
            await from_asyncio(self._server.wait_closed())


class _Service(PeerBase):
    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self.stopped = False

    async def _respond(self, method: str, stream: Stream[Any, Any]) -> None:
        # grpclib does not close open connections when the server is closed.
        if self.stopped:
            raise GRPCError(Status.UNAVAILABLE, "The daemon has stopped")
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(await to_asyncio(self._handle(method, message)))

    async def Exchange(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._respond("Exchange", stream)

    async def GetChanges(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._respond("GetChanges", stream)

    async def GetEvents(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._respond("GetEvents", stream)

    async def GetSuspects(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._respond("GetSuspects", stream)

    async def GetStatus(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._respond("GetStatus", stream)

    async def Announce(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._respond("Announce", stream)

    async def Push(self, stream: Stream[Any, Any]) -> None:  # noqa: N802
        await self._respond("Push", stream)


__all__ = ["GrpcPeerServer", "PeerServer"]
