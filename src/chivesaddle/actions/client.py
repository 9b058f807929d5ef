"""Calls to plain services, with what is known after a failed call."""

from typing import Any, Protocol

import treq
from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint, wrapClientTLS
from twisted.internet.error import ConnectError
from twisted.internet.ssl import optionsForClientTLS
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from chivesaddle.actions.record import Outcome
from chivesaddle.core.aio import with_deadline
from chivesaddle.core.errors import ChivesaddleError

# Nothing is written later than this after the call, so that an action in doubt for
# 15 s is no longer about to be sent.
CONNECT_WITHIN_S = 2.0
# A record may have 1 MB; base64 adds a third.
MAX_RESPONSE_BYTES = 640_000


class NotSent(ChivesaddleError):
    """No byte of the request was written."""

    code = "service_not_reached"
    status = 503


class OutcomeUnknown(ChivesaddleError):
    """The request was written, but its complete response did not arrive."""

    code = "service_outcome_unknown"
    status = 504


class ServiceClient(Protocol):
    """Sends one operation to a plain service."""

    async def send(
        self, url: str, operation: str, body: bytes, deadline: float
    ) -> Outcome:
        """Send once on a fresh connection and return the complete response.

        Raises
        ------
        NotSent
            If the connection was refused or never established.
        OutcomeUnknown
            If it broke or stayed silent until ``deadline`` after that.
        """


class _ConnectionLate(ConnectError):
    """The connection was established after the deadline for writing."""


class _GuardedEndpoint:
    """Endpoint that tells whether a connection was ever handed to the writer."""

    def __init__(self, clock: Any, endpoint: Any, call: "_Call") -> None:
        self._clock = clock
        self._endpoint = endpoint
        self._call = call

    def connect(self, factory: Any) -> Any:
        """Connect; a connection that comes too late is closed unused."""
        return self._endpoint.connect(factory).addCallback(self._check)

    def _check(self, protocol: Any) -> Any:
        # Checked directly before the first write: a process paused while connecting
        # must not send afterwards.
        if self._clock.seconds() >= self._call.write_by:
            protocol.transport.abortConnection()
            raise _ConnectionLate("The connection was established too late")
        self._call.may_have_written = True
        return protocol


@implementer(IAgentEndpointFactory)
class _Call:
    """One call: its connection and what became of it."""

    def __init__(self, reactor: Any, write_by: float) -> None:
        self._reactor = reactor
        self.write_by = write_by
        self.may_have_written = False

    def endpointForURI(self, uri: URI) -> _GuardedEndpoint:  # noqa: N802
        """Return the endpoint of a service given by IP address."""
        host = uri.host.decode()
        endpoint: Any = TCP4ClientEndpoint(
            self._reactor, host, uri.port, timeout=CONNECT_WITHIN_S
        )
        if uri.scheme == b"https":
            endpoint = wrapClientTLS(optionsForClientTLS(host), endpoint)
        return _GuardedEndpoint(self._reactor, endpoint, self)


class TreqServiceClient:
    """`ServiceClient` over HTTP: ``POST {url}/operations/{operation}``."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    async def send(
        self, url: str, operation: str, body: bytes, deadline: float
    ) -> Outcome:
        """Send once on a connection of its own; see `ServiceClient.send`."""
        write_by = min(deadline, self._reactor.seconds() + CONNECT_WITHIN_S)
        call = _Call(self._reactor, write_by)
        exchange = self._exchange(call, f"{url}/operations/{operation}", body)
        try:
            return await with_deadline(
                self._reactor, deadline, exchange, f"{operation} at {url}"
            )
        except OutcomeUnknown:
            raise
        # Any failure counts, because the kind of error does not tell whether bytes
        # were written; only the connection does.
        except Exception as error:
            kind = OutcomeUnknown if call.may_have_written else NotSent
            raise kind(f"{operation} at {url} failed: {error!r}") from error

    async def _exchange(self, call: _Call, url: str, body: bytes) -> Outcome:
        pool = HTTPConnectionPool(self._reactor, persistent=False)
        client = HTTPClient(Agent.usingEndpointFactory(self._reactor, call, pool=pool))
        response = await client.post(
            url,
            data=body,
            headers=Headers({"Content-Type": ["application/json"]}),
            allow_redirects=False,
            unbuffered=True,
        )
        received = bytearray()
        await treq.collect(response, lambda part: _append(received, part))
        return Outcome(response.code, bytes(received))


def _append(received: bytearray, part: bytes) -> None:
    received += part
    if len(received) > MAX_RESPONSE_BYTES:
        raise OutcomeUnknown(
            f"The response is larger than {MAX_RESPONSE_BYTES} bytes",
            remedy="Ask the service for its outcome and resolve the action",
        )


__all__ = [
    "CONNECT_WITHIN_S",
    "MAX_RESPONSE_BYTES",
    "NotSent",
    "OutcomeUnknown",
    "ServiceClient",
    "TreqServiceClient",
]
