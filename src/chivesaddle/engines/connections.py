"""Connection pool for engines that detects failures of reused connections."""

import math
import re
from typing import Any
from typing import Protocol as Interface

from treq.client import HTTPClient
from treq.response import _Response as Response
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import (
    ConnectError,
    ConnectionClosed,
    TimeoutError,
)
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
    RequestTransmissionFailed,
    ResponseFailed,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from chivesaddle.core.aio import (
    Clock,
    Task,
    sleep_until,
    wait_for_any,
    with_deadline,
)
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.http import IpEndpointFactory, with_immediate_cancel
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.engines.errors import (
    EngineCrashed,
    EngineError,
    EngineRefused,
    EngineReset,
    EngineTimeout,
    EngineUnreachable,
)
from chivesaddle.http1 import drop_queued_bytes

# Time without headers after which a request on a reused connection is repeated. Half of
# the first-token target of 0.36 s leaves time for that.
REUSED_CONNECTION_TIMEOUT_MS = 180
MAX_IDLE_CONNECTIONS_PER_SERVER = 16
IDLE_CONNECTION_TIMEOUT_S = 30
# Time between a second lost connection and the probe for a crash. A crashing process
# can accept one more connection before its listener is closed. The failure must not be
# classified as a reset, because then the crash would not be counted for the request
# that caused it.
LISTENER_CLOSE_DELAY_S = 0.05
PROBE_TIMEOUT_S = 0.5
# Longest head of a response, with the interim ones before it.
MAX_HEAD_BYTES = 65_536
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}", re.IGNORECASE)
_CONNECTION_LOST_ERRORS = (ResponseFailed, RequestTransmissionFailed, ConnectionClosed)
_log = ComponentLogger("engines")


class EndpointFactory(Interface):
    """Creates the endpoint for a URI; see `twisted.web.iweb.IAgentEndpointFactory`."""

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return a stream client endpoint."""


def _bound_memory(protocol: Any) -> Any:
    """Abort an agent's connection if a response does not end its head.

    The agent limits each line of a head, but not their number. What a server has not
    read of a request is freed when its connection is lost.
    """
    head_bytes: int | None = None
    send, receive = getattr(protocol, "request", None), protocol.dataReceived
    lose = protocol.connectionLost
    if send is None:
        return protocol

    def request(request: Any) -> "Deferred[Any]":
        nonlocal head_bytes
        head_bytes = 0
        response: Deferred[Any] = send(request)
        return response.addBoth(end_head)

    def end_head(result: Any) -> Any:
        nonlocal head_bytes
        head_bytes = None
        return result

    def data_received(data: bytes) -> None:
        nonlocal head_bytes
        receive(data)
        if head_bytes is None:
            return
        head_bytes += len(data)
        if head_bytes > MAX_HEAD_BYTES:
            head_bytes = None
            protocol.abort()

    def connection_lost(reason: Any) -> None:
        drop_queued_bytes(protocol.transport)
        lose(reason)

    protocol.request, protocol.dataReceived = request, data_received
    protocol.connectionLost = connection_lost
    return protocol


@implementer(IStreamClientEndpoint)
class _RecordingEndpoint:
    """Records whether a connection was opened, i.e. none was reused from the pool."""

    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint
        self.opened = False

    def connect(self, factory: Any) -> Any:
        self.opened = True
        return self._endpoint.connect(factory).addCallback(_bound_memory)


@implementer(IAgentEndpointFactory)
class _RecordingEndpointFactory:
    def __init__(self, endpoints: EndpointFactory) -> None:
        self._endpoints = endpoints
        self.last_endpoint: _RecordingEndpoint | None = None

    def endpointForURI(self, uri: Any) -> _RecordingEndpoint:  # noqa: N802
        self.last_endpoint = _RecordingEndpoint(self._endpoints.endpointForURI(uri))
        return self.last_endpoint


@implementer(IBodyProducer)
class _BytesProducer:
    """Writes the whole body at once.

    treq's own producer depends on the global reactor.
    """

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data

    def startProducing(self, consumer: Any) -> "Deferred[None]":  # noqa: N802
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


class Connections:
    """Sends requests on pooled connections and repeats them on new ones.

    Repeating is safe because all requests are idempotent at the engine: a repeated
    ``request_id`` attaches to the existing run, imports carry an import id and orders
    carry a fencing token.

    Parameters
    ----------
    reactor : IReactorTime
        Clock for the deadlines and the pool.
    endpoints : EndpointFactory
        Opens connections.
    """

    def __init__(self, reactor: Any, endpoints: EndpointFactory) -> None:
        self._clock: Clock = reactor
        self._endpoints = _RecordingEndpointFactory(endpoints)
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_SERVER
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        # Twisted's own retry applies to GET only and hides whether a server crashed.
        self._pool.retryAutomatically = False
        self._pooled_client = self._make_client(reactor, self._pool)
        self._fresh_client = self._make_client(
            reactor, HTTPConnectionPool(reactor, False)
        )

    @classmethod
    def from_reactor(cls, reactor: Any) -> "Connections":
        """Return a pool of TCP connections."""
        return cls(reactor, IpEndpointFactory(reactor))

    def _make_client(self, reactor: Any, pool: HTTPConnectionPool) -> HTTPClient:
        return HTTPClient(Agent.usingEndpointFactory(reactor, self._endpoints, pool))

    async def request(
        self,
        method: str,
        url: str,
        *,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
        deadline: float,
        fresh: bool = False,
        keep_pending: bool = False,
    ) -> Response:
        """Return the response once its headers have arrived.

        A request on a silent reused connection is repeated on a new one, and the first
        response counts. If the new connection fails, the request on the silent one may
        still be answered: with ``keep_pending`` it is ``pending`` of the error,
        otherwise it is closed.

        Raises
        ------
        EngineRefused
            The server refused the connection.
        EngineUnreachable
            The server did not accept a connection in time.
        EngineCrashed
            The connection was lost and a new one was refused.
        EngineReset
            The connection was lost, and so was the new one of the second attempt.
        EngineTimeout
            No headers arrived by ``deadline`` (seconds on the clock).
        """
        arguments = (method, url, data, headers or {}, deadline)
        first, reused = self._send(*arguments, fresh=fresh)
        unread = [first]
        lost: EngineReset | None = None
        try:
            await self._wait_for_headers(first, reused, deadline)
            if first.is_done:
                unread.remove(first)
                try:
                    return first.result()
                except EngineReset as error:
                    lost = error
            second, _ = self._send(*arguments, fresh=True)
            unread.append(second)
            await wait_for_any(
                self._clock, math.inf, *(response.ended() for response in unread)
            )
            if first in unread and first.is_done:
                unread.remove(first)
                try:
                    return first.result()
                except EngineReset as error:
                    lost = error
                except EngineTimeout as error:
                    _log.debug("no response on a reused connection: %s", error)
            unread.remove(second)
            try:
                return await self._receive_repeated(second, url, lost)
            except EngineCrashed:
                raise
            except EngineError as error:
                if keep_pending and unread:
                    error.pending = unread.pop()
                raise
        finally:
            for response in unread:
                response.cancel()

    async def _wait_for_headers(
        self, response: Task[Response], reused: bool, deadline: float
    ) -> None:
        """Wait for the headers, on a reused connection until it counts as silent."""
        silent_at = self._clock.seconds() + REUSED_CONNECTION_TIMEOUT_MS / 1_000
        until = silent_at if reused and silent_at < deadline else math.inf
        await wait_for_any(self._clock, until, response.ended())

    async def _receive_repeated(
        self, response: Task[Response], url: str, lost: EngineReset | None
    ) -> Response:
        """Return the response on a new connection; raises `EngineCrashed` for a crash.

        ``lost`` is the error of the connection before, if that was lost.
        """
        try:
            return await response.outcome()
        except EngineRefused:
            if lost is not None:
                raise _crash_error(url) from lost
            raise
        except EngineReset as error:
            if await self._refuses_connections(url):
                raise _crash_error(url) from error
            raise

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()

    async def _refuses_connections(self, url: str) -> bool:
        """Return whether the server refuses a connection after two were lost."""
        await sleep_until(self._clock, self._clock.seconds() + LISTENER_CLOSE_DELAY_S)
        endpoint = self._endpoints.endpointForURI(URI.fromBytes(url.encode()))
        connecting = endpoint.connect(Factory.forProtocol(Protocol))
        deadline = self._clock.seconds() + PROBE_TIMEOUT_S
        try:
            opened = await with_deadline(self._clock, deadline, connecting, url)
        except ConnectError:
            return True
        except (TimeoutError, DeadlineExceeded):
            return False
        opened.transport.abortConnection()
        return False

    def _send(
        self,
        method: str,
        url: str,
        data: bytes | None,
        headers: dict[str, str],
        deadline: float,
        *,
        fresh: bool,
    ) -> tuple[Task[Response], bool]:
        """Send a request; return its response and whether the connection was reused."""
        self._endpoints.last_endpoint = None
        pending_response = (
            self._fresh_client if fresh else self._pooled_client
        ).request(
            method,
            url,
            headers=Headers({name: [value] for name, value in headers.items()}),
            data=None if data is None else _BytesProducer(data),  # type: ignore[arg-type]
            unbuffered=True,
            allow_redirects=False,
        )
        endpoint = self._endpoints.last_endpoint
        reused = endpoint is not None and not endpoint.opened
        receiving = self._receive(pending_response, method, url, deadline)
        return Task(receiving, _discard), reused

    async def _receive(
        self,
        pending_response: "Deferred[Response]",
        method: str,
        url: str,
        deadline: float,
    ) -> Response:
        try:
            response = await with_deadline(
                self._clock,
                deadline,
                with_immediate_cancel(pending_response),
                f"{method} {url}",
            )
            _check_single(response, url)
            return response
        except ConnectError as error:
            raise EngineRefused(f"{url} refused the connection: {error}") from None
        except TimeoutError:
            raise EngineUnreachable(f"{url} did not accept a connection") from None
        except _CONNECTION_LOST_ERRORS as error:
            raise EngineReset(f"{url} dropped the connection: {error!r}") from None
        except DeadlineExceeded:
            raise EngineTimeout(f"{url} sent no response before the deadline") from None


def _discard(response: Response) -> None:
    """Close the connection of a response that is not used."""
    response.deliverBody(_Discard())


class _Discard(Protocol):
    """Closes the connection of a response that is not used."""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.loseConnection()  # type: ignore[misc, union-attr]


def _check_single(response: Response, url: str) -> None:
    """Raise `EngineReset` if a head goes on with that of another response.

    An engine that fails inside a head may send another response behind it, whose status
    line then ends a field, and whose body would be taken for that of the first one.
    """
    values = [
        value
        for name, values in response.headers.getAllRawHeaders()
        for value in (name, *values)
    ]
    is_single = response.version[0] == b"HTTP" and not any(
        _STATUS_LINE.search(value) for value in (response.phrase, *values)
    )
    if not is_single:
        _discard(response)
        raise EngineReset(f"{url} began another response inside a head")


def _crash_error(url: str) -> EngineCrashed:
    return EngineCrashed(f"{url} dropped the connection and refused a new one")


__all__ = ["REUSED_CONNECTION_TIMEOUT_MS", "Connections", "EndpointFactory"]
