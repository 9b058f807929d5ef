"""Connections from callers: parses requests, writes answers, enforces limits."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h11
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.core.errors import ListenFailed
from chivesaddle.http1.fields import HeaderList, header_value
from chivesaddle.http1.sockets import detect_silence

# Bytes of further requests that a caller may send before its answer is complete.
MAX_PIPELINED_BYTES = 65_536


class Headers:
    """Header fields with case-insensitive names, in the order received."""

    def __init__(self, items: HeaderList) -> None:
        self.items = items

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        return header_value(self.items, name.lower().encode())


@dataclass(slots=True)
class Request:
    """A complete request of a caller.

    Attributes
    ----------
    received_at : float
        When its last byte was read, in seconds of the listener's clock.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float


@dataclass(slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take; times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Responder:
    """Writes the answer to one request."""

    def __init__(self, connection: "CallerConnection") -> None:
        self.connection = connection
        self.gone: Deferred[None] = Deferred()
        self.is_gone = False
        self.started = False
        self.finished = False

    def start(self, status: int, reason: bytes, headers: HeaderList) -> None:
        """Write the head; without Content-Length the body is sent in chunks."""
        if self.is_gone:
            return
        self.started = True
        self.connection.send_head(status, reason, headers)

    def write(self, data: bytes) -> None:
        """Write body bytes."""
        if not self.is_gone and data:
            self.connection.send_data(data)

    def finish(self) -> None:
        """End a complete answer."""
        if not self.is_gone and not self.finished:
            self.finished = True
            self.connection.send_end()

    def answer(
        self, status: int, body: bytes = b"", headers: HeaderList | None = None
    ) -> None:
        """Write a whole answer."""
        framing = [(b"content-length", str(len(body)).encode())]
        self.start(status, b"", framing + (headers or []))
        self.write(body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection so that a partial answer cannot look complete."""
        if not self.is_gone:
            self.connection.abort()

    async def drained(self) -> None:
        """Wait until the caller has read enough for more to be written."""
        await self.connection.drained()

    def mark_gone(self) -> None:
        """Note that the caller has left."""
        if not self.is_gone:
            self.is_gone = True
            if not self.finished:
                self.gone.callback(None)


Handler = Callable[[Request, Responder], None]


@dataclass(slots=True)
class Listener:
    """State shared by the connections of one listening address."""

    clock: Clock
    handler: Handler
    limits: Callable[[], CallerLimits]
    leaving: bool = False
    connections: set["CallerConnection"] = field(default_factory=set)
    port: Any = None

    @property
    def in_flight(self) -> int:
        """Requests that have been read and not answered completely."""
        return sum(c.responder is not None for c in self.connections)

    def leave(self) -> None:
        """Close idle connections; others close after their current answer."""
        self.leaving = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop(self) -> None:
        """Accept no more connections."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None


class CallerConnection(Protocol):
    """Connection of one caller."""

    transport: Any

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        limits = listener.limits()
        self._limits = limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._timer: DelayedCall | None = None
        self._timer_ends_head = False
        # Waiters while the transport is full; None while it accepts data.
        self._blocked: list[Deferred[None]] | None = None
        self._pipelined = 0
        self._ended = False
        self.responder: Responder | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start to wait for a request."""
        detect_silence(self.transport)
        self._listener.connections.add(self)
        self.transport.registerProducer(self, True)
        self._wait_idle()

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment] # noqa: N802
        """Tell the handler that the caller has left."""
        self._ended = True
        self._listener.connections.discard(self)
        self._cancel_timer()
        self.resumeProducing()
        if self.responder is not None:
            responder, self.responder = self.responder, None
            responder.mark_gone()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse request bytes."""
        if self._ended:
            return
        if self.responder is not None:
            self._pipelined += len(data)
            if self._pipelined > MAX_PIPELINED_BYTES:
                self.transport.pauseProducing()
        elif self._head is None and not self._timer_ends_head:
            self._set_timer(self._limits.header_timeout_s, True)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            self._refuse(400)
            return
        self._parse()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing; called by the transport when its buffer is full."""
        if self._blocked is None:
            self._blocked = []

    def resumeProducing(self) -> None:  # noqa: N802
        """Write again; called by the transport."""
        waiters, self._blocked = self._blocked or [], None
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Stop writing; the transport is closing."""

    async def drained(self) -> None:
        """Wait until the transport accepts more data."""
        if self._blocked is not None:
            waiter: Deferred[None] = Deferred()
            self._blocked.append(waiter)
            await waiter

    def send_head(self, status: int, reason: bytes, headers: HeaderList) -> None:
        """Write the head of the answer."""
        if self._listener.leaving:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, reason=reason, headers=headers)
        self.transport.write(self._h11.send(response))

    def send_data(self, data: bytes) -> None:
        """Write body bytes of the answer."""
        self.transport.write(self._h11.send(h11.Data(data=data)))

    def send_end(self) -> None:
        """End the answer and go on with the next request."""
        self.transport.write(self._h11.send(h11.EndOfMessage()))
        self.responder = None
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._head = None
            self._wait_idle()
            if self._pipelined > MAX_PIPELINED_BYTES:
                self.transport.resumeProducing()
            self._pipelined = 0
            self._parse()
        else:
            self._close()

    def abort(self) -> None:
        """Reset the connection."""
        self._ended = True
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        if self.responder is None and self._head is None and not self._timer_ends_head:
            self._close()

    def _parse(self) -> None:
        try:
            while self.responder is None and not self._ended:
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    if self._h11.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self.transport.write(self._h11.send(go_on))
                    return
                self._take(event)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)

    def _take(self, event: Any) -> None:
        match event:
            case h11.Request():
                self._head = event
                self._body = []
                self._body_bytes = 0
                self._check_framing(event)
                # A body that stalls is bounded by the idle timeout.
                self._set_timer(self._limits.idle_timeout_s, True)
            case h11.Data():
                self._body_bytes += len(event.data)
                if self._body_bytes > self._limits.body_bytes:
                    self._refuse(413)
                    return
                self._body.append(bytes(event.data))
            case h11.EndOfMessage():
                self._dispatch()
            case h11.ConnectionClosed():
                self._close()

    def _check_framing(self, head: h11.Request) -> None:
        """Refuse two framings at once: servers could disagree on where a body ends."""
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise h11.RemoteProtocolError("Content-Length with Transfer-Encoding", 400)

    def _dispatch(self) -> None:
        assert self._head is not None
        self._cancel_timer()
        request = Request(
            bytes(self._head.method),
            bytes(self._head.target),
            Headers(list(self._head.headers)),
            b"".join(self._body),
            self._listener.clock.seconds(),
        )
        self._body = []
        self.responder = Responder(self)
        self._listener.handler(request, self.responder)

    def _refuse(self, status: int) -> None:
        """Answer a request that cannot be read, and close."""
        if self._ended:
            return
        if self.responder is not None or self._h11.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            self.abort()
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        self.transport.write(self._h11.send(response))
        self.transport.write(self._h11.send(h11.EndOfMessage()))
        self._close()

    def _wait_idle(self) -> None:
        self._set_timer(self._limits.idle_timeout_s, False)

    def _set_timer(self, seconds: float, ends_head: bool) -> None:
        self._cancel_timer()
        self._timer_ends_head = ends_head
        self._timer = self._listener.clock.callLater(seconds, self._expire)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._timer_ends_head = False

    def _expire(self) -> None:
        if self._timer_ends_head:
            self._refuse(408)
        else:
            self._close()

    def _close(self) -> None:
        if not self._ended:
            self._ended = True
            self._cancel_timer()
            self.transport.unregisterProducer()
            self.transport.loseConnection()


class _Factory(Factory):
    noisy = False

    def __init__(self, listener: Listener) -> None:
        self._listener = listener

    def buildProtocol(self, addr: Any) -> CallerConnection:  # noqa: N802
        return CallerConnection(self._listener)


def listen(
    reactor: Any,
    address: str,
    handler: Handler,
    limits: Callable[[], CallerLimits] = CallerLimits,
) -> Listener:
    """Accept callers at ``address`` (``ip:port``).

    Raises
    ------
    ListenFailed
        If the address is taken or not one of this instance.
    """
    host, _, port = address.rpartition(":")
    listener = Listener(reactor, handler, limits)
    try:
        listener.port = reactor.listenTCP(
            int(port), _Factory(listener), backlog=512, interface=host
        )
    except (OSError, CannotListenError) as error:
        raise ListenFailed(f"Cannot listen on {address}: {error}") from error
    return listener


__all__ = [
    "CallerConnection",
    "CallerLimits",
    "Headers",
    "Listener",
    "Request",
    "Responder",
    "listen",
]
