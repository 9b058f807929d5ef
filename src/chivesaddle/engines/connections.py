"""Pooled connections to engines that tell reused from fresh ones."""

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

from chivesaddle.core.aio import Clock, sleep_until, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.http import IpEndpoints, cancelled_at_once
from chivesaddle.engines.errors import (
    EngineCrashed,
    EngineRefused,
    EngineReset,
    EngineSilent,
    EngineUnreachable,
)

# Half of the first-token target of 0.36 s leaves time to repeat the request.
SILENCE_MS = 180
MAX_IDLE_CONNECTIONS_PER_SERVER = 16
IDLE_CONNECTION_S = 30
# An ending process can accept one more connection before its listener is closed.
# Taken for a reset, the crash would not count against the request that caused it.
PROCESS_END_S = 0.05
PROBE_S = 0.5
_BROKEN = (ResponseFailed, RequestTransmissionFailed, ConnectionClosed)


class EndpointFactory(Interface):
    """Makes the endpoint for a URI, as `twisted.web.iweb.IAgentEndpointFactory`."""

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return a stream client endpoint."""


@implementer(IStreamClientEndpoint)
class _ObservedEndpoint:
    """Notes whether a connection was opened, i.e. the pool had none to reuse."""

    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint
        self.opened = False

    def connect(self, factory: Any) -> Any:
        self.opened = True
        return self._endpoint.connect(factory)


@implementer(IAgentEndpointFactory)
class _ObservedEndpoints:
    def __init__(self, endpoints: EndpointFactory) -> None:
        self._endpoints = endpoints
        self.last: _ObservedEndpoint | None = None

    def endpointForURI(self, uri: Any) -> _ObservedEndpoint:  # noqa: N802
        self.last = _ObservedEndpoint(self._endpoints.endpointForURI(uri))
        return self.last


@implementer(IBodyProducer)
class _BytesProducer:
    """Writes the body at once; treq's own producer needs the global reactor."""

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
    """Sends requests on pooled connections and repeats them on fresh ones.

    Every request sent here is idempotent at its engine: a repeated ``request_id``
    attaches to the run that exists, imports carry an import id, orders a fencing token.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the deadlines and of the pool.
    endpoints : EndpointFactory
        Opens connections.
    """

    def __init__(self, reactor: Any, endpoints: EndpointFactory) -> None:
        self._clock: Clock = reactor
        self._endpoints = _ObservedEndpoints(endpoints)
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS_PER_SERVER
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        # The pool's own retry covers GET only and hides whether a server crashed.
        self._pool.retryAutomatically = False
        self._pooled = self._client(reactor, self._pool)
        self._fresh = self._client(reactor, HTTPConnectionPool(reactor, False))

    @classmethod
    def from_reactor(cls, reactor: Any) -> "Connections":
        """Return connections over TCP."""
        return cls(reactor, IpEndpoints(reactor))

    def _client(self, reactor: Any, pool: HTTPConnectionPool) -> HTTPClient:
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
    ) -> Response:
        """Return the response as soon as its headers arrived.

        Raises
        ------
        EngineRefused
            No connection could be opened.
        EngineCrashed
            The connection broke and a new one was refused.
        EngineReset
            The connection broke, also when repeated on a fresh one.
        EngineSilent
            No headers by ``deadline`` (seconds on the clock).
        """
        call = (method, url, data, headers or {})
        try:
            return await self._once(*call, deadline=deadline, fresh=fresh)
        except (EngineReset, _ReusedSilent) as first:
            try:
                return await self._once(*call, deadline=deadline, fresh=True)
            except EngineRefused:
                if isinstance(first, EngineReset):
                    raise _crashed(url) from first
                raise
            except EngineReset as second:
                if await self._refuses(url):
                    raise _crashed(url) from second
                raise

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()

    async def _refuses(self, url: str) -> bool:
        """Tell whether a server that broke connections refuses a new one."""
        await sleep_until(self._clock, self._clock.seconds() + PROCESS_END_S)
        endpoint = self._endpoints.endpointForURI(URI.fromBytes(url.encode()))
        connecting = endpoint.connect(Factory.forProtocol(Protocol))
        deadline = self._clock.seconds() + PROBE_S
        try:
            opened = await with_deadline(self._clock, deadline, connecting, url)
        except ConnectError:
            return True
        except (TimeoutError, DeadlineExceeded):
            return False
        opened.transport.abortConnection()
        return False

    async def _once(
        self,
        method: str,
        url: str,
        data: bytes | None,
        headers: dict[str, str],
        *,
        deadline: float,
        fresh: bool,
    ) -> Response:
        self._endpoints.last = None
        sent = (self._fresh if fresh else self._pooled).request(
            method,
            url,
            headers=Headers({name: [value] for name, value in headers.items()}),
            data=None if data is None else _BytesProducer(data),  # type: ignore[arg-type]
            unbuffered=True,
            allow_redirects=False,
        )
        endpoint = self._endpoints.last
        reused = endpoint is not None and not endpoint.opened
        limit = deadline
        if reused:
            limit = min(deadline, self._clock.seconds() + SILENCE_MS / 1_000)
        try:
            return await with_deadline(
                self._clock, limit, cancelled_at_once(sent), f"{method} {url}"
            )
        except ConnectError as error:
            raise EngineRefused(f"{url} refused the connection: {error}") from None
        except TimeoutError:
            raise EngineUnreachable(f"{url} did not accept a connection") from None
        except _BROKEN as error:
            raise EngineReset(f"{url} broke the connection: {error!r}") from None
        except DeadlineExceeded:
            pass
        if reused and limit < deadline:
            raise _ReusedSilent(f"{url} is silent on a reused connection")
        raise EngineSilent(f"{url} sent no answer before the deadline")


def _crashed(url: str) -> EngineCrashed:
    return EngineCrashed(f"{url} broke the connection and refused a new one")


class _ReusedSilent(EngineSilent):
    """A reused connection delivered no headers; a fresh one may work."""


__all__ = ["SILENCE_MS", "Connections", "EndpointFactory"]
