"""Server side of HTTP/1.1: parses callers' requests, enforces limits, responds."""

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
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.http1.body_budget import LONG_BODY_BYTES, BodyBudget
from chivesaddle.http1.fields import HeaderList, header_value
from chivesaddle.http1.sockets import (
    UnreadInput,
    has_queued_bytes,
    peek,
    set_dead_peer_detection,
    write_at_once,
)

# Reading from a caller pauses if it sends more than this before the response to its
# current request is complete.
MAX_PIPELINED_BYTES = 65_536
# h11 writes this header line exactly so.
_CHUNKED_HEADER = b"\r\nTransfer-Encoding: chunked\r\n"
_METHODS_WITHOUT_BODY = (b"HEAD", b"CONNECT")
# Because of rounding, a timer may fire this much before its deadline.
_TIMER_TOLERANCE_S = 1e-6
_STATUSES_WITHOUT_BODY = (204, 304)
# A long body waits this long for the end of others, then it is refused.
MAX_BODY_WAIT_S = 3.0
# Then its caller may send the rest for this long, so that it gets the refusal.
MAX_LINGER_S = 2.0

log = ComponentLogger("callers")


class Headers:
    """Header fields, in the order received; names are case-insensitive."""

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
        When the whole request had been read, in seconds on the listener's clock.
    sender_host : str
        IP address that the request came from.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    sender_host: str = ""


@dataclass(slots=True)
class CallerLimits:
    """Limits on the size of requests and on the time to send them."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Responder:
    """Writes the response to one request.

    Attributes
    ----------
    disconnected : Deferred
        Fires if the caller disconnects before the response is complete.
    is_disconnected : bool
        Whether the caller has disconnected.
    started, finished : bool
        Whether the head and the end of the response have been written.
    """

    def __init__(self, connection: "CallerConnection") -> None:
        self.connection = connection
        self.disconnected: Deferred[None] = Deferred()
        self.is_disconnected = False
        self.started = False
        self.finished = False

    def start(
        self, status: int, reason: bytes, headers: HeaderList, body: bytes = b""
    ) -> None:
        """Write status and headers; without Content-Length the body is chunked.

        ``body`` is the begin of the body, which is written together with the head.
        """
        if self.is_disconnected:
            return
        self.started = True
        self.connection.send_head(status, reason, headers, body)

    def write(self, data: bytes) -> None:
        """Write body bytes."""
        if not self.is_disconnected and data:
            self.connection.send_data(data)

    def finish(self) -> None:
        """End a complete response."""
        if not self.is_disconnected and not self.finished:
            self.finished = True
            self.connection.send_end()

    def answer(
        self, status: int, body: bytes = b"", headers: HeaderList | None = None
    ) -> None:
        """Write a whole response."""
        framing = [(b"content-length", str(len(body)).encode())]
        self.start(status, b"", framing + (headers or []), body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection, so that a partial response cannot look complete."""
        if not self.is_disconnected:
            self.connection.abort()

    def has_caller_left(self) -> bool:
        """Return whether the caller has closed the connection, even if unnoticed.

        A reactor that is behind finds the close only after other work, such as sending
        the request that it has just read.
        """
        transport = self.connection.transport
        return self.is_disconnected or peek(transport) in (
            UnreadInput.END,
            UnreadInput.FAILURE,
        )

    async def wait_writable(self) -> None:
        """Wait until the caller has read enough for more bytes to be written."""
        await self.connection.wait_writable()

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected."""
        if not self.is_disconnected:
            self.is_disconnected = True
            if not self.finished:
                self.disconnected.callback(None)


Handler = Callable[[Request, Responder], None]


@dataclass(slots=True)
class Listener:
    """State that the connections of one listening address share."""

    clock: Clock
    handler: Handler
    limits: Callable[[], CallerLimits]
    draining: bool = False
    bodies: BodyBudget = field(default_factory=BodyBudget)
    connections: set["CallerConnection"] = field(default_factory=set)
    port: Any = None

    @property
    def in_flight(self) -> int:
        """Number of requests without a complete response."""
        return sum(c.responder is not None for c in self.connections)

    @property
    def unfinished(self) -> int:
        """Number of connections with a request that has begun to arrive.

        Counts until the kernel has taken the whole response.
        """
        return sum(
            c.has_request or has_queued_bytes(c.transport) for c in self.connections
        )

    def start_draining(self) -> None:
        """Close idle connections, and others after their current response."""
        self.draining = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def refuse_incomplete(self) -> None:
        """Answer 503 to requests that have not arrived entirely, and close."""
        for connection in list(self.connections):
            connection.refuse_incomplete()

    def stop(self) -> None:
        """Stop listening; open connections stay open."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None


class CallerConnection(Protocol):
    """Connection from one caller, with one request at a time."""

    transport: Any

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        # Those in force when the current request began, or the last one ended.
        self._limits = listener.limits()
        self._h11 = _parser(self._limits)
        self._idle_since = 0.0
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        # Whether the body is long, and whether it waits for others.
        self._has_long_body = False
        self._waits_for_bodies = False
        self._timer: DelayedCall | None = None
        self._timer_limits_request = False
        # Waiters of `wait_writable` while the transport's buffer is full, else None.
        self._write_waiters: list[Deferred[None]] | None = None
        self._pipelined_bytes = 0
        self._is_closed = False
        self._is_parsing = False
        # Whether the response that is being sent has a chunked body.
        self._is_chunked = False
        self.responder: Responder | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Start the idle timeout of the first request."""
        set_dead_peer_detection(self.transport)
        self._listener.connections.add(self)
        self.transport.registerProducer(self, True)
        self._start_idle_timer()

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment] # noqa: N802
        """Report the disconnect to the handler of the current request."""
        self._is_closed = True
        self._listener.connections.discard(self)
        self._cancel_timer()
        self._release_body()
        if self.responder is not None:
            responder, self.responder = self.responder, None
            responder.mark_disconnected()
        # A writer that waits must find out about the disconnect before it goes on.
        self.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse request bytes."""
        if self._is_closed:
            return
        if self.responder is not None:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                self.transport.pauseProducing()
        elif self._head is None and not self._timer_limits_request:
            self._apply_limits()
            self._set_timer(self._limits.header_timeout_s, True)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            self._reject(400)
            return
        self._parse()

    def pauseProducing(self) -> None:  # noqa: N802
        """Make `wait_writable` wait; the transport calls this if its buffer is full."""
        if self._write_waiters is None:
            self._write_waiters = []

    def resumeProducing(self) -> None:  # noqa: N802
        """Wake the waiters of `wait_writable`; called by the transport."""
        waiters, self._write_waiters = self._write_waiters or [], None
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Ignore the closing of the transport; `connectionLost` follows."""

    async def wait_writable(self) -> None:
        """Wait until the transport's buffer accepts more data."""
        if self._write_waiters is not None:
            waiter: Deferred[None] = Deferred()
            self._write_waiters.append(waiter)
            await waiter

    def send_head(
        self, status: int, reason: bytes, headers: HeaderList, body: bytes = b""
    ) -> None:
        """Write status and headers of the response, and the begin of its body."""
        if self._listener.draining:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, reason=reason, headers=headers)
        head = self._h11.send(response) or b""
        self._is_chunked = (
            _CHUNKED_HEADER in head
            and status not in _STATUSES_WITHOUT_BODY
            and self._head is not None
            and self._head.method not in _METHODS_WITHOUT_BODY
        )
        try:
            if body:
                head += self._frame(body)
        finally:
            write_at_once(self.transport, head)

    def send_data(self, data: bytes) -> None:
        """Write body bytes of the response."""
        write_at_once(self.transport, self._frame(data))

    def send_end(self) -> None:
        """End the response and parse the next request."""
        self._is_chunked = False
        write_at_once(self.transport, self._h11.send(h11.EndOfMessage()) or b"")
        self.responder = None
        self._release_body()
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._head = None
            self._apply_limits()
            self._start_idle_timer()
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                self.transport.resumeProducing()
            self._pipelined_bytes = 0
            self._parse()
            if self._listener.draining:
                # The response began before the draining, so it did not say so.
                self.close_if_idle()
        else:
            self._close()

    def _frame(self, data: bytes) -> bytes:
        """Return body bytes as they are sent.

        A chunk does not change the state of h11, which would take ten times as long to
        build it.
        """
        if self._is_chunked and data:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return self._h11.send(h11.Data(data=data)) or b""

    def abort(self) -> None:
        """Reset the connection."""
        self._is_closed = True
        self.transport.abortConnection()

    @property
    def has_request(self) -> bool:
        """Whether a request is being read or processed, or waits in the kernel."""
        if self.responder is not None:
            return True
        if self._is_closed:
            return False
        return (
            self._head is not None
            or self._timer_limits_request
            or bool(self._h11.trailing_data[0])
            or peek(self.transport) is UnreadInput.BYTES
        )

    def close_if_idle(self) -> None:
        """Close unless there is a request."""
        if not self.has_request:
            self._close()

    def refuse_incomplete(self) -> None:
        """Answer 503 to a request that has not arrived entirely, and close."""
        if self.responder is None and self.has_request:
            self._reject(503)

    def _parse(self) -> None:
        """Parse requests until one has no response yet.

        The call that `send_end` makes from within a handler returns at once, and the
        loop goes on after the handler. Nested calls would exceed the depth of the stack
        if many pipelined requests were answered at once.
        """
        if self._is_parsing:
            return
        self._is_parsing = True
        try:
            while (
                self.responder is None
                and not self._is_closed
                and not self._waits_for_bodies
            ):
                event = self._h11.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    if self._h11.they_are_waiting_for_100_continue:
                        response = h11.InformationalResponse(
                            status_code=100, headers=[]
                        )
                        self.transport.write(self._h11.send(response))
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
        finally:
            self._is_parsing = False

    def _handle_event(self, event: Any) -> None:
        match event:
            case h11.Request():
                self._head = event
                self._body = []
                self._body_bytes = 0
                self._check_framing(event)
                # A stalled body is rejected after the idle timeout, which starts here
                # and covers the whole body.
                self._set_timer(self._limits.idle_timeout_s, True)
            case h11.Data():
                self._body_bytes += len(event.data)
                # A limit may be raised while a body arrives that began under it.
                if (
                    self._body_bytes > self._limits.body_bytes
                    and self._body_bytes > self._listener.limits().body_bytes
                ):
                    self._reject(413)
                    return
                self._body.append(bytes(event.data))
                if self._body_bytes >= LONG_BODY_BYTES and not self._has_long_body:
                    self._admit_body()
            case h11.EndOfMessage():
                self._dispatch()
            case h11.ConnectionClosed():
                self._close()

    def _admit_body(self) -> None:
        """Stop reading a long body until there is memory for it."""
        assert self._head is not None
        self._has_long_body = True
        lengths = [v for name, v in self._head.headers if name == b"content-length"]
        size = max(self._limits.body_bytes, self._listener.limits().body_bytes)
        if lengths:
            size = min(size, int(lengths[0]))
        if self._listener.bodies.admit(self, size, self._resume_body):
            return
        self._waits_for_bodies = True
        self.transport.pauseProducing()
        self._set_timer(MAX_BODY_WAIT_S, True)

    def _resume_body(self) -> None:
        """Read on in a turn of its own, since another connection calls this."""
        if not self._is_closed:
            self._cancel_timer()
            self._timer = self._listener.clock.callLater(0, self._read_body)

    def _read_body(self) -> None:
        self._waits_for_bodies = False
        self._set_timer(self._limits.idle_timeout_s, True)
        self.transport.resumeProducing()
        self._parse()

    def _release_body(self) -> None:
        if self._has_long_body:
            self._has_long_body = self._waits_for_bodies = False
            self._body = []
            self._listener.bodies.release(self)

    def _check_framing(self, head: h11.Request) -> None:
        """Raise if a request has two framings.

        Servers could disagree about the end of its body, which allows request
        smuggling.
        """
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise h11.RemoteProtocolError("Content-Length with Transfer-Encoding", 400)

    def _dispatch(self) -> None:
        assert self._head is not None
        self._cancel_timer()
        if self._has_long_body:
            self._listener.bodies.shrink(self, self._body_bytes)
        request = Request(
            bytes(self._head.method),
            bytes(self._head.target),
            Headers(list(self._head.headers)),
            b"".join(self._body),
            self._listener.clock.seconds(),
            self.transport.getPeer().host,
        )
        self._body = []
        self.responder = Responder(self)
        self._listener.handler(request, self.responder)

    def _reject(self, status: int, *, reads_rest: bool = False) -> None:
        """Send an error response to a request that can't be read, and close.

        If another request is being processed or a response has been started, the
        connection is reset instead. A close before the rest of the request is read
        resets the connection, and the caller may lose the response; ``reads_rest``
        reads and drops the rest for a while.
        """
        if self._is_closed:
            return
        self._release_body()
        if self.responder is not None or self._h11.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            self.abort()
            return
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        head = self._h11.send(response) or b""
        end = self._h11.send(h11.EndOfMessage()) or b""
        write_at_once(self.transport, head + end)
        if reads_rest:
            self._is_closed = True
            self.transport.resumeProducing()
            self._cancel_timer()
            self._timer = self._listener.clock.callLater(
                MAX_LINGER_S, self._end_connection
            )
        else:
            self._close()

    def _apply_limits(self) -> None:
        """Apply the limits in force now to the request that begins.

        Connections stay open while configurations change.
        """
        before, self._limits = self._limits, self._listener.limits()
        if self._limits.header_bytes == before.header_bytes:
            return
        unparsed, _ = self._h11.trailing_data
        self._h11 = _parser(self._limits)
        if unparsed:
            self._h11.receive_data(unparsed)

    def _start_idle_timer(self) -> None:
        self._idle_since = self._listener.clock.seconds()
        self._set_timer(self._limits.idle_timeout_s, False)

    def _set_timer(self, seconds: float, limits_request: bool) -> None:
        self._cancel_timer()
        self._timer_limits_request = limits_request
        self._timer = self._listener.clock.callLater(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._timer_limits_request = False

    def _on_timeout(self) -> None:
        if self._waits_for_bodies:
            log.warning(
                "body refused",
                extra={"held_bytes": self._listener.bodies.held_bytes},
            )
            self._reject(503, reads_rest=True)
            return
        if self._timer_limits_request:
            self._reject(408)
            return
        # The limit may have been raised meanwhile.
        idle_until = self._idle_since + self._listener.limits().idle_timeout_s
        remaining_s = idle_until - self._listener.clock.seconds()
        if remaining_s > _TIMER_TOLERANCE_S:
            self._set_timer(remaining_s, False)
        else:
            self._close()

    def _close(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._cancel_timer()
            self._end_connection()

    def _end_connection(self) -> None:
        self.transport.unregisterProducer()
        self.transport.loseConnection()


def _parser(limits: CallerLimits) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)


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
    """Listen for callers at ``address`` (``ip:port``).

    Raises
    ------
    ListenFailed
        If the address is in use or does not belong to this instance.
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
