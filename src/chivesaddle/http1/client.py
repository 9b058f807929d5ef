"""Client side of HTTP/1.1: connections to servers, with one exchange at a time."""

import re
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import h11
from twisted.internet import error as net_error
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from chivesaddle.core.aio import Clock, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.http1.body_sender import BodySender
from chivesaddle.http1.chunks import ChunkDecoder, MalformedChunk
from chivesaddle.http1.fields import HeaderList, header_value
from chivesaddle.http1.sockets import (
    UnreadInput,
    drop_queued_bytes,
    has_queued_bytes,
    has_unacknowledged_bytes,
    peek,
    set_dead_peer_detection,
    write_at_once,
)

# Reading from the server pauses while more response bytes than this are buffered for a
# slow reader, and resumes at half of it.
READ_BUFFER_HIGH_WATER_BYTES = 65_536
# Longer bodies are written piece by piece.
MAX_WHOLE_BODY_BYTES = 131_072
# Of an error that the reactor raised.
MAX_CAUSE_CHARACTERS = 200
_HEAD_END = b"\r\n\r\n"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")
_METHODS_WITHOUT_BODY = (b"HEAD", b"CONNECT")
_STATUSES_WITHOUT_BODY = (204, 304)
# Interim responses (1xx) before a response, of which servers send one or two.
_MAX_INTERIM_RESPONSES = 100
# Bytes of responses to earlier requests that are skipped before a response.
_MAX_SKIPPED_BYTES = 1_048_576
# RFC 9110, section 15. The parser refuses those below 100.
_LAST_STATUS = 599


class NotSent(ChivesaddleError):
    """No byte of the request was written because there was no open connection."""

    code = "not_sent"
    status = 503


class ResponseBroken(ChivesaddleError):
    """The connection was lost or sent invalid data before a complete response."""

    code = "response_broken"
    status = 502


class ResponseLate(ResponseBroken):
    """No complete response arrived by the deadline."""

    code = "response_late"


class Framing(Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names are lower case."""

    status: int
    reason: bytes
    headers: HeaderList

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        return header_value(self.headers, name)

    @property
    def framing(self) -> Framing:
        """What marks the end of the body."""
        names = {name for name, _ in self.headers}
        if b"transfer-encoding" in names:
            return Framing.CHUNKS
        return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION


@dataclass(frozen=True, slots=True)
class _EndOfResponse:
    """The end of a complete response."""


_ResponseEvent = ResponseHead | bytes | _EndOfResponse | ChivesaddleError


@implementer(IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """Connection to a server for consecutive exchanges, without pipelining.

    Attributes
    ----------
    when_connected : Deferred
        Fires with the connection when it is open; fails with `NotSent`.
    lost : bool
        Whether the connection is closed, aborted or failed.
    connected_at : float
        When the connection was opened, in seconds on the connector's clock.
    idle_since : float
        When the last exchange ended, in seconds on the pool's clock; set by the pool.
    requests_sent : int
        Number of requests sent on this connection.
    has_unsent_request : bool
        Whether the server closed the connection before it had the whole request.
    on_idle_loss : callable or None
        Called with the connection if it is lost while it is reusable.
    """

    transport: Any

    def __init__(self) -> None:
        self._h11 = h11.Connection(h11.CLIENT)
        self._events: deque[_ResponseEvent] = deque()
        self._buffered_bytes = 0
        self._waiter: Deferred[_ResponseEvent] | None = None
        self._request: h11.Request | None = None
        # Sends a long body; None before the first one, and once the connection is lost.
        self._body_sender: BodySender | None = None
        self._paused = False
        # Whether the head of the response has not been parsed yet.
        self._expects_head = False
        self._interim_responses = 0
        # Decodes the body of a chunked response; None while h11 does.
        self._decoder: ChunkDecoder | None = None
        self.when_connected: Deferred[ServerConnection] = Deferred()
        self.lost = False
        # Whether the kernel has told of a failure, which the reactor does not see then.
        self._has_failed = False
        self.connected_at = 0.0
        self.idle_since = 0.0
        self.requests_sent = 0
        self.has_unsent_request = False
        self.on_idle_loss: Callable[[ServerConnection], None] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Set socket options and fire ``when_connected``."""
        set_dead_peer_detection(self.transport)
        if not self.when_connected.called:
            self.when_connected.callback(self)

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange is complete and another one may follow."""
        return (
            not self.lost
            and not self._events
            and not self._is_sending
            and self._h11.our_state is h11.IDLE
            and self._h11.their_state is h11.IDLE
        )

    @property
    def is_seen_open(self) -> bool:
        """Whether the kernel has neither unread bytes of the server nor its close.

        It knows of a close before the reactor does. Behind unread bytes, a close cannot
        be seen.
        """
        if self.lost:
            return False
        unread = peek(self.transport)
        self._has_failed = self._has_failed or unread is UnreadInput.FAILURE
        return unread is UnreadInput.NONE

    def send(
        self, method: bytes, target: bytes, headers: HeaderList, body: bytes
    ) -> None:
        """Write a whole request and frame its body; ``headers`` must not frame it too.

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
            framed = self._h11.send(h11.Data(data=body)) or b""
            if len(body) <= MAX_WHOLE_BODY_BYTES:
                data += framed
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._request = request
        self._expects_head = True
        self._interim_responses = 0
        self.requests_sent += 1
        write_at_once(self.transport, data)
        if len(body) > MAX_WHOLE_BODY_BYTES:
            self._body_sender = BodySender(self.transport, body)
            self._body_sender.start()

    @property
    def _is_sending(self) -> bool:
        """Whether a part of the request has not been written to the transport yet."""
        return self._body_sender is not None and not self._body_sender.is_done

    async def read_head(self) -> ResponseHead:
        """Wait for status and headers of the response; raises `ResponseBroken`."""
        event = await self._next_event()
        if isinstance(event, ResponseHead):
            return event
        raise ResponseBroken(f"Expected a response head, got {type(event).__name__}")

    async def read_chunk(self) -> bytes | None:
        """Wait for body bytes; None means the end of a complete response."""
        event = await self._next_event()
        if isinstance(event, bytes):
            return event
        if isinstance(event, _EndOfResponse):
            self._finish_exchange()
            return None
        raise ResponseBroken(f"Expected body bytes, got {type(event).__name__}")

    async def skip_response(self) -> None:
        """Discard a response to an earlier request and parse the one that follows.

        A server may send a second response to an earlier request. It then precedes the
        response to the current request. Call after `read_head`.
        """
        skipped = 0
        while (chunk := await self._next_body_chunk()) is not None:
            skipped += len(chunk)
            if skipped > _MAX_SKIPPED_BYTES:
                raise ResponseBroken("A response to an earlier request does not end")
        unparsed, closed = self._h11.trailing_data
        # A new parser reads the remaining bytes as the response to the same request. It
        # needs the request's head and the length of its body, not the body itself.
        request = self._request
        self._h11 = h11.Connection(h11.CLIENT)
        self._expects_head = True
        self._decoder = None
        if request is not None:
            self._h11.send(request)
            for name, value in request.headers:
                if name == b"content-length" and int(value):
                    self._h11.send(h11.Data(data=bytes(int(value))))
            self._h11.send(h11.EndOfMessage())
        if unparsed:
            self._parse_response(unparsed)
        if closed or self.lost:
            self._parse_response(b"")

    def abort(self) -> None:
        """Reset the connection, so that the server stops work on the request."""
        self.lost = True
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading from the server until `resume`."""
        if not self._paused and not self.lost:
            self._paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        if self._paused and not self.lost:
            self._paused = False
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse response bytes; abort if they arrive outside an exchange."""
        if self.is_reusable:
            self.abort()
            return
        self._parse_response(data)

    def readConnectionLost(self) -> None:  # noqa: N802
        """End the connection that the server has closed, as without half-closing."""
        # The socket, with what it has not sent, is gone in `connectionLost`.
        self.has_unsent_request = has_unacknowledged_bytes(self.transport)
        self.transport.connectionLost(Failure(net_error.ConnectionDone()))

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this side never closes one direction alone."""

    def connectionLost(self, reason: Failure = net_error.ConnectionDone) -> None:  # type: ignore[assignment] # noqa: N802
        """End the response.

        A response without framing is complete if the connection was closed cleanly.
        """
        was_idle = self.is_reusable
        self.lost = True
        self.has_unsent_request |= self._is_sending or has_queued_bytes(self.transport)
        self._body_sender = None
        drop_queued_bytes(self.transport)
        if not self.when_connected.called:
            self.when_connected.errback(
                Failure(NotSent("Connection was lost before it was open"))
            )
            return
        if was_idle:
            if self.on_idle_loss is not None:
                self.on_idle_loss(self)
            return
        if reason.check(net_error.ConnectionDone) and not self._has_failed:
            self._parse_response(b"")
        self._deliver(ResponseBroken(f"Connection lost: {reason.getErrorMessage()}"))

    def _parse_response(self, data: bytes) -> None:
        """Parse response bytes; empty ones mean that the connection was closed."""
        try:
            while True:
                if self._decoder is not None and data:
                    rest = self._decode_chunks(self._decoder, data)
                    if rest is None:
                        return
                    self._decoder, data = None, rest
                # h11 gets a head alone, so that another decoder can take the body.
                head_end = data.find(_HEAD_END) if self._expects_head else -1
                size = len(data) if head_end < 0 else head_end + len(_HEAD_END)
                self._h11.receive_data(data[:size])
                data = self._handle_events(data[size:])
                if not data:
                    return
        except h11.RemoteProtocolError as error:
            self._deliver(ResponseBroken(f"Malformed response: {error}"))
            self.abort()

    def _decode_chunks(self, decoder: ChunkDecoder, data: bytes) -> bytes | None:
        """Deliver body bytes; return the rest for h11, None if there is none."""
        try:
            body, rest = decoder.feed(data)
        except MalformedChunk as error:
            if error.body:
                self._deliver(error.body)
            raise
        if body:
            self._deliver(body)
        return rest

    def _handle_events(self, rest: bytes) -> bytes:
        """Deliver what h11 has parsed, up to the end of a response.

        h11 gets ``rest``, which follows the head, before the head is delivered: at the
        end of a response, it must know the bytes after it. What no decoder has got is
        returned.
        """
        while True:
            event = self._h11.next_event()
            match event:
                case h11.NEED_DATA | h11.PAUSED:
                    return rest
                case h11.InformationalResponse():
                    self._interim_responses += 1
                    if self._interim_responses > _MAX_INTERIM_RESPONSES:
                        raise h11.RemoteProtocolError("interim responses do not end")
                case h11.Response():
                    head = ResponseHead(
                        event.status_code, bytes(event.reason), list(event.headers)
                    )
                    _check_status(head)
                    _check_single(head)
                    self._expects_head = False
                    if self._can_decode(head):
                        self._decoder = ChunkDecoder()
                    elif rest:
                        self._h11.receive_data(rest)
                        rest = b""
                    self._deliver(head)
                case h11.Data():
                    self._deliver(bytes(event.data))
                case h11.EndOfMessage():
                    self._deliver(_EndOfResponse())
                    return rest
                case h11.ConnectionClosed():
                    return rest

    def _can_decode(self, head: ResponseHead) -> bool:
        """Return whether `ChunkDecoder` can take the body that follows the head."""
        return (
            head.framing is Framing.CHUNKS
            and head.status not in _STATUSES_WITHOUT_BODY
            and self._request is not None
            and self._request.method not in _METHODS_WITHOUT_BODY
            and self._h11.trailing_data == (b"", False)
        )

    def _deliver(self, event: _ResponseEvent) -> None:
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            waiter.callback(event)
            return
        self._events.append(event)
        if isinstance(event, bytes):
            self._buffered_bytes += len(event)
            if self._buffered_bytes > READ_BUFFER_HIGH_WATER_BYTES:
                self.pause()

    async def _next_event(self) -> _ResponseEvent:
        if self._events:
            event = self._events.popleft()
            if isinstance(event, bytes):
                self._buffered_bytes -= len(event)
                if self._buffered_bytes <= READ_BUFFER_HIGH_WATER_BYTES // 2:
                    self.resume()
        elif self.lost:
            raise ResponseBroken("Connection was lost")
        else:
            self._waiter = Deferred(self._clear_waiter)
            event = await self._waiter
        if isinstance(event, ChivesaddleError):
            raise event
        return event

    async def _next_body_chunk(self) -> bytes | None:
        event = await self._next_event()
        return event if isinstance(event, bytes) else None

    def _clear_waiter(self, _: Any) -> None:
        self._waiter = None

    def _finish_exchange(self) -> None:
        """Prepare for the next request, or close the connection.

        It is closed if the server does not keep it alive, and aborted if extra bytes
        followed the response or the request has not been written completely.
        """
        extra_bytes = self._h11.trailing_data[0]
        if self.lost:
            return
        if (
            extra_bytes
            or self._events
            or self._is_sending
            or self._h11.our_state is not h11.DONE
        ):
            self.abort()
            return
        if self._h11.their_state is not h11.DONE:
            self.lost = True
            self.transport.loseConnection()
            return
        self._h11.start_next_cycle()
        self._request = None


def _check_status(head: ResponseHead) -> None:
    """Raise `h11.RemoteProtocolError` for a status that HTTP does not have."""
    if head.status > _LAST_STATUS:
        raise h11.RemoteProtocolError(f"there is no status {head.status}")


def _check_single(head: ResponseHead) -> None:
    """Raise `h11.RemoteProtocolError` if a head goes on with that of another response.

    A server that fails inside a head may send another response behind it, whose status
    line then ends a field, and whose body would be taken for that of the first one.
    """
    values = [head.reason, *(value for _, value in head.headers)]
    if any(b"HTTP/1." in value and _STATUS_LINE.search(value) for value in values):
        raise h11.RemoteProtocolError("another response begins inside the head")


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802
        return self._connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._connection.lost = True
        if not self._connection.when_connected.called:
            # The error message may contain the traceback of a nested failure.
            cause = reason.getErrorMessage().partition(": [Failure")[0]
            message = f"Cannot connect: {type(reason.value).__name__}: {cause}"
            self._connection.when_connected.errback(Failure(NotSent(message)))


def _split_address(address: str) -> tuple[str, int]:
    """Return host and port; raises `ValueError`.

    The reactor would attempt to connect to a port out of range only later, and report
    the error to nobody.
    """
    host, _, text = address.rpartition(":")
    port = int(text)
    if not host or not 0 < port < 65_536:
        raise ValueError(f"{address[:100]} is no address")
    return host, port


class Connector:
    """Opens connections to servers.

    Parameters
    ----------
    reactor : IReactorTCP and Clock
        Opens TCP connections and is the clock of deadlines.
    local_ip : str or None
        Source address of connections; None lets the system select one.
    """

    def __init__(self, reactor: Any, local_ip: str | None = None) -> None:
        self._reactor = reactor
        self._clock: Clock = reactor
        self._bind_address = (local_ip, 0) if local_ip else None

    async def connect(self, address: str, deadline: float) -> ServerConnection:
        """Open a connection to ``address`` (``ip:port``); raises `NotSent`."""
        connection = ServerConnection()
        timeout = max(0.01, deadline - self._clock.seconds())
        try:
            host, port = _split_address(address)
            tcp_connector = self._reactor.connectTCP(
                host,
                port,
                _Factory(connection),
                timeout=timeout,
                bindAddress=self._bind_address,
            )
        except Exception as error:
            # The reactor attempts some connections at once, and fails at once.
            raise NotSent(
                f"Cannot connect: {type(error).__name__}: {error}"[
                    :MAX_CAUSE_CHARACTERS
                ]
            ) from error
        try:
            await with_deadline(
                self._clock,
                deadline,
                connection.when_connected,
                f"connect to {address}",
            )
            connection.connected_at = self._clock.seconds()
            return connection
        except DeadlineExceeded as error:
            raise NotSent(f"Connection to {address} was not open in time") from error
        finally:
            if connection.transport is None or not connection.when_connected.called:
                tcp_connector.disconnect()


__all__ = [
    "Connector",
    "Framing",
    "NotSent",
    "ResponseBroken",
    "ResponseHead",
    "ResponseLate",
    "ServerConnection",
]
