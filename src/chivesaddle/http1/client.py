"""One HTTP/1.1 connection to a server; one exchange at a time."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11
from twisted.internet import error as net_error
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from chivesaddle.core.aio import Clock, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.http1.fields import HeaderList, header_value
from chivesaddle.http1.sockets import detect_silence

# Response bytes held for a slow reader before the server is asked to pause.
READ_AHEAD_BYTES = 65_536


class NotSent(ChivesaddleError):
    """The connection could not be opened; no byte of the request was written."""

    code = "not_sent"
    status = 503


class ResponseBroken(ChivesaddleError):
    """The connection ended or sent other bytes before a complete response."""

    code = "response_broken"
    status = 502


class ResponseLate(ResponseBroken):
    """No complete response arrived by the deadline."""

    code = "response_late"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are lower case."""

    status: int
    reason: bytes
    headers: HeaderList

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        return header_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class _End:
    """End of a complete response body."""


_Event = ResponseHead | bytes | _End | ChivesaddleError


class ServerConnection(Protocol):
    """Connection to a server that carries one exchange after the other.

    Attributes
    ----------
    idle_since : float
        When the last exchange ended, in seconds of the owner's clock; set by the pool.
    exchanges : int
        Requests sent on this connection.
    """

    transport: Any

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT)
        self._events: deque[_Event] = deque()
        self._buffered = 0
        self._waiter: Deferred[_Event] | None = None
        self._request: h11.Request | None = None
        self._paused = False
        self.opened: Deferred[ServerConnection] = Deferred()
        self.lost = False
        self.idle_since = 0.0
        self.exchanges = 0
        self.on_idle_loss: Callable[[ServerConnection], None] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Report the connection as usable."""
        detect_silence(self.transport)
        if not self.opened.called:
            self.opened.callback(self)

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange ended completely and another may follow."""
        return (
            not self.lost
            and not self._events
            and self._h11.our_state is h11.IDLE
            and self._h11.their_state is h11.IDLE
        )

    def send(
        self, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> None:
        """Write a whole request; ``headers`` must not frame the body.

        Raises
        ------
        NotSent
            If the connection was already lost; nothing was written.
        """
        if self.lost:
            raise NotSent("Connection was lost before the request was written")
        framing = (
            []
            if not body and method in (b"GET", b"HEAD", b"DELETE")
            else [(b"content-length", str(len(body)).encode())]
        )
        request = h11.Request(method=method, target=target, headers=headers + framing)
        data = self._h11.send(request) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._request = request
        self.exchanges += 1
        self.transport.write(data)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response; raises `ResponseBroken`."""
        event = await self._next()
        if isinstance(event, ResponseHead):
            return event
        raise ResponseBroken(f"Expected a response head, got {type(event).__name__}")

    async def read_chunk(self) -> bytes | None:
        """Wait for body bytes; None at the end of a complete response."""
        event = await self._next()
        if isinstance(event, bytes):
            return event
        if isinstance(event, _End):
            self._finish_exchange()
            return None
        raise ResponseBroken(f"Expected body bytes, got {type(event).__name__}")

    async def skip_response(self) -> None:
        """Discard a response that belongs to an earlier request, and await the next.

        A server may answer an earlier request twice; the surplus answer stands before
        the one that is due.
        """
        while await self._next_of_body() is not None:
            pass
        rest, closed = self._h11.trailing_data
        request = self._request
        self._h11 = h11.Connection(h11.CLIENT)
        if request is not None:
            self._h11.send(request)
            for name, value in request.headers:
                if name == b"content-length" and int(value):
                    self._h11.send(h11.Data(data=bytes(int(value))))
            self._h11.send(h11.EndOfMessage())
        if rest:
            self._feed(rest)
        if closed or self.lost:
            self._feed(b"")

    def abort(self) -> None:
        """Drop the connection; a server that still works on the request stops."""
        self.lost = True
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading until `resume`, because the receiver is slow."""
        if not self._paused and not self.lost:
            self._paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read again."""
        if self._paused and not self.lost:
            self._paused = False
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse response bytes; bytes outside an exchange end the connection."""
        if self.is_reusable:
            self.abort()
            return
        self._feed(data)

    def connectionLost(self, reason: Failure = net_error.ConnectionDone) -> None:  # type: ignore[assignment] # noqa: N802
        """End the response: complete if an unframed one was closed in order."""
        idle = self.is_reusable
        self.lost = True
        if not self.opened.called:
            self.opened.errback(Failure(NotSent("Connection was lost at once")))
            return
        if idle:
            if self.on_idle_loss is not None:
                self.on_idle_loss(self)
            return
        if reason.check(net_error.ConnectionDone):
            self._feed(b"")
        self._push(ResponseBroken(f"Connection lost: {reason.getErrorMessage()}"))

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if not self._take(event):
                    return
        except h11.RemoteProtocolError as error:
            self._push(ResponseBroken(f"Malformed response: {error}"))
            self.abort()

    def _take(self, event: Any) -> bool:
        """Queue one parsed event; return False after the last one."""
        match event:
            case h11.Response():
                head = ResponseHead(
                    event.status_code, bytes(event.reason), list(event.headers)
                )
                self._push(head)
            case h11.Data():
                self._push(bytes(event.data))
            case h11.EndOfMessage():
                self._push(_End())
                return False
            case h11.ConnectionClosed():
                return False
        return True

    def _push(self, event: _Event) -> None:
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.callback(event)
            return
        self._events.append(event)
        if isinstance(event, bytes):
            self._buffered += len(event)
            if self._buffered > READ_AHEAD_BYTES:
                self.pause()

    async def _next(self) -> _Event:
        if self._events:
            event = self._events.popleft()
            if isinstance(event, bytes):
                self._buffered -= len(event)
                if self._buffered <= READ_AHEAD_BYTES // 2:
                    self.resume()
        elif self.lost:
            raise ResponseBroken("Connection was lost")
        else:
            self._waiter = Deferred(self._forget_waiter)
            event = await self._waiter
        if isinstance(event, ChivesaddleError):
            raise event
        return event

    async def _next_of_body(self) -> bytes | None:
        event = await self._next()
        return event if isinstance(event, bytes) else None

    def _forget_waiter(self, _: Any) -> None:
        self._waiter = None

    def _finish_exchange(self) -> None:
        """Prepare for the next request, or close if the server wants that."""
        surplus = self._h11.trailing_data[0]
        if self.lost:
            return
        if surplus or self._events or self._h11.our_state is not h11.DONE:
            self.abort()
            return
        if self._h11.their_state is not h11.DONE:
            self.lost = True
            self.transport.loseConnection()
            return
        self._h11.start_next_cycle()
        self._request = None


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._connection.lost = True
        if not self._connection.opened.called:
            # The message of a failure may quote the traceback of another one.
            cause = reason.getErrorMessage().partition(": [Failure")[0]
            message = f"Cannot connect: {type(reason.value).__name__}: {cause}"
            self._connection.opened.errback(Failure(NotSent(message)))


class Connector:
    """Opens connections to servers.

    Parameters
    ----------
    reactor : IReactorTCP and Clock
        Opens TCP connections and keeps the time.
    local_ip : str or None
        Source address of connections; None leaves it to the system.
    """

    def __init__(self, reactor: Any, local_ip: str | None = None) -> None:
        self._reactor = reactor
        self._clock: Clock = reactor
        self._bind = (local_ip, 0) if local_ip else None

    async def connect(self, address: str, deadline: float) -> ServerConnection:
        """Open a connection to ``address`` (``ip:port``); raises `NotSent`."""
        host, _, port = address.rpartition(":")
        connection = ServerConnection()
        timeout = max(0.01, deadline - self._clock.seconds())
        handle = self._reactor.connectTCP(
            host,
            int(port),
            _Factory(connection),
            timeout=timeout,
            bindAddress=self._bind,
        )
        try:
            return await with_deadline(
                self._clock, deadline, connection.opened, f"connect to {address}"
            )
        except DeadlineExceeded as error:
            raise NotSent(f"Connection to {address} was not open in time") from error
        finally:
            if connection.transport is None or not connection.opened.called:
                handle.disconnect()


__all__ = [
    "Connector",
    "NotSent",
    "ResponseBroken",
    "ResponseHead",
    "ResponseLate",
    "ServerConnection",
]
