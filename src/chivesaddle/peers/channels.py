"""RPC calls to peers with deadlines, over one connection per peer."""

from collections.abc import Callable
from typing import Any, Protocol

from grpclib.client import Channel as GrpclibChannel
from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, from_asyncio, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.peers.proto.peer_grpc import PeerStub
from chivesaddle.peers.traffic import TrafficMeter


class PeerUnreachable(ChivesaddleError):
    """A peer did not respond; it may still have received the message."""

    code = "peer_unreachable"
    status = 503


class Channel(Protocol):
    """One connection to a peer."""

    def call(self, method: str, message: Any) -> "Deferred[Any]":
        """Call a method of the peer service; the Deferred can be cancelled."""

    def close(self) -> None:
        """Close the connection and fail its calls."""


class GrpcChannel:
    """`Channel` over grpclib; connects on the first call."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._channel = GrpclibChannel(host, int(port))
        self._stub = PeerStub(self._channel)
        self._calls: set[Deferred] = set()

    def call(self, method: str, message: Any) -> "Deferred[Any]":
        """Call a method of the peer service."""
        call = from_asyncio(getattr(self._stub, method)(message))
        self._calls.add(call)

        def discard_call(result):
            self._calls.discard(call)
            return result

        return call.addBoth(discard_call)

    def close(self) -> None:
        """Close the connection.

        Cancels pending calls, because grpclib would reconnect for a call that has
        not started yet.
        """
        for call in tuple(self._calls):
            call.cancel()
        self._channel.close()


class Channels:
    """Channels by peer address; a channel whose call failed is replaced.

    An open connection can stop responding permanently while new connections to the
    same peer work. A missed deadline is the only sign of this.
    """

    def __init__(
        self,
        clock: Clock,
        traffic: TrafficMeter,
        factory: Callable[[str], Channel] = GrpcChannel,
    ) -> None:
        self._clock = clock
        self._traffic = traffic
        self._factory = factory
        self._channels_by_address: dict[str, Channel] = {}
        self._closed = False

    async def call(
        self, address: str, method: str, message: Any, *, deadline: float
    ) -> Any:
        """Call a method of the peer at ``address``.

        Raises
        ------
        PeerUnreachable
            If there was no response by ``deadline`` or the connection failed.
        """
        if self._closed:
            raise PeerUnreachable(
                f"{method} at {address} not called: this daemon has stopped"
            )
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = self._channels_by_address[address] = self._factory(address)
        self._traffic.record(message.ByteSize(), self._clock.seconds())
        try:
            response = await with_deadline(
                self._clock, deadline, channel.call(method, message), method
            )
        except CancelledError:
            if self._channels_by_address.get(address) is channel:
                raise
            raise PeerUnreachable(
                f"{method} at {address} failed: another call replaced the connection"
            ) from None
        # grpclib and the socket layer raise many exception types; all of them mean
        # that the connection is unusable.
        except Exception as error:
            self._replace(address, channel)
            reason = error.message if isinstance(error, DeadlineExceeded) else error
            raise PeerUnreachable(
                f"{method} at {address} failed: {reason!s}",
                remedy="Check that the daemon runs and that its peer port is reachable",
            ) from error
        self._traffic.record(response.ByteSize(), self._clock.seconds())
        return response

    def close_except(self, addresses: set[str]) -> None:
        """Close the channels to addresses not in ``addresses``."""
        for address in self._channels_by_address.keys() - addresses:
            self._channels_by_address.pop(address).close()

    def close(self) -> None:
        """Close all channels and reject later calls."""
        self._closed = True
        self.close_except(set())

    def _replace(self, address: str, channel: Channel) -> None:
        # Another call that failed on this channel may have replaced it already.
        if self._channels_by_address.get(address) is channel:
            del self._channels_by_address[address]
        channel.close()


__all__ = ["Channel", "Channels", "GrpcChannel", "PeerUnreachable"]
