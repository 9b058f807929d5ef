"""gRPC calls between daemons, with JSON-encoded messages."""

from collections.abc import Callable
from typing import Any

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.server import Server, Stream
from twisted.internet.defer import CancelledError

from chivesaddle.core.aio import Clock, from_asyncio, with_deadline
from chivesaddle.core.errors import (
    ChivesaddleError,
    DeadlineExceeded,
    ListenFailed,
)
from chivesaddle.fleet.peer_address import parse_peer_address

EXCHANGE_PATH = "/chivesaddle.Fleet/Exchange"


class PeerUnreachable(ChivesaddleError):
    """A daemon did not answer; it may have received the message nevertheless."""

    code = "peer_unreachable"
    status = 503


class _JsonCodec(CodecBase):
    __content_subtype__ = "json"

    def encode(self, message: Any, message_type: Any) -> bytes:
        return msgspec.json.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        return message_type.decode(data)


class PeerClient:
    """Client for calls to other daemons; keeps one open channel per daemon.

    Parameters
    ----------
    clock : Clock
        Clock on which deadlines are expressed.
    message_type : type
        Struct type of both the request and the response, with a class method
        ``decode(data)``.
    """

    def __init__(self, clock: Clock, message_type: type) -> None:
        self._clock = clock
        self._message_type = message_type
        self._channels_by_address: dict[str, Channel] = {}

    async def call(self, address: str, message: Any, deadline: float) -> Any:
        """Send a message and return the response; raises `PeerUnreachable`."""
        try:
            method: Any = UnaryUnaryMethod(
                self._channel(address),
                EXCHANGE_PATH,
                self._message_type,
                self._message_type,
            )
            return await with_deadline(
                self._clock, deadline, from_asyncio(method(message)), "exchange"
            )
        except CancelledError:
            raise
        except (DeadlineExceeded, Exception) as error:
            # The channel may be dead; after this, the next call opens a new one.
            self.close_address(address)
            raise PeerUnreachable(f"No response from {address}: {error!r}") from error

    def _channel(self, address: str) -> Channel:
        channel = self._channels_by_address.get(address)
        if channel is None:
            host, port = parse_peer_address(address)
            channel = Channel(host, port, codec=_JsonCodec())
            self._channels_by_address[address] = channel
        return channel

    def close_address(self, address: str) -> None:
        """Close the channel to a daemon."""
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def keep_only(self, addresses: set[str]) -> None:
        """Close all channels except those to ``addresses``."""
        for address in set(self._channels_by_address) - addresses:
            self.close_address(address)

    def close(self) -> None:
        """Close all channels."""
        self.keep_only(set())


class PeerServer:
    """Server for the calls of other daemons.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    message_type : type
        Struct type of both the request and the response, with a class method
        ``decode(data)``.
    handle : callable
        Takes a request and returns its response.
    """

    def __init__(
        self, address: str, message_type: type, handle: Callable[[Any], Any]
    ) -> None:
        self._address = address
        self._message_type = message_type
        self._handle = handle
        self._server: Server | None = None

    async def start(self) -> None:
        """Start listening; raises `ListenFailed`."""
        self._server = Server([self], codec=_JsonCodec())
        host, _, port = self._address.rpartition(":")
        try:
            await from_asyncio(self._server.start(host, int(port)))
        except OSError as error:
            raise ListenFailed(f"Cannot listen on {self._address}: {error}") from error

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the service's handlers by method path; called by grpclib."""
        unary = Cardinality.UNARY_UNARY
        return {
            EXCHANGE_PATH: Handler(
                self._exchange, unary, self._message_type, self._message_type
            )
        }

    async def _exchange(self, stream: Stream[Any, Any]) -> None:
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(self._handle(message))


__all__ = ["PeerClient", "PeerServer", "PeerUnreachable"]
