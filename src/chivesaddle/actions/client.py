"""HTTP client for services; its errors show whether a request may have been sent."""

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

# Longest time after the start of a call at which the request may still be written. An
# action is marked in doubt after its record was seen as ``sending`` for 15 s; by then
# it can no longer be sent.
CONNECT_WITHIN_S = 2.0
# Base64 adds a third, and a stored record has at most 1 MB.
MAX_RESPONSE_BYTES = 640_000


class NotSent(ChivesaddleError):
    """No byte of the request was written."""

    code = "service_not_reached"
    status = 503


class OutcomeUnknown(ChivesaddleError):
    """The request may have been written, but no complete response arrived."""

    code = "service_outcome_unknown"
    status = 504


class ServiceClient(Protocol):
    """Sends one operation to a service."""

    async def send(
        self, url: str, operation: str, body: bytes, deadline: float
    ) -> Outcome:
        """Send once on a fresh connection and return the complete response.

        Raises
        ------
        NotSent
            If the connection was refused or never established.
        OutcomeUnknown
            If the connection was established but broke, or no complete response
            arrived by ``deadline``.
        """


class _ConnectedTooLate(ConnectError):
    """The connection was established after the deadline for writing."""


class _DeadlineEndpoint:
    """Endpoint that refuses connections established after the write deadline."""

    def __init__(self, clock: Any, endpoint: Any, call: "_CallEndpointFactory") -> None:
        self._clock = clock
        self._endpoint = endpoint
        self._call = call

    def connect(self, factory: Any) -> Any:
        """Connect; abort a connection that is established after the deadline."""
        return self._endpoint.connect(factory).addCallback(self._check_deadline)

    def _check_deadline(self, protocol: Any) -> Any:
        # Checked directly before the first write, because a process that was suspended
        # while connecting must not send after it resumes.
        if self._clock.seconds() >= self._call.write_deadline:
            protocol.transport.abortConnection()
            raise _ConnectedTooLate("The connection was established too late")
        self._call.may_have_written = True
        return protocol


@implementer(IAgentEndpointFactory)
class _CallEndpointFactory:
    """Endpoint factory of one call; records whether its request may be written."""

    def __init__(self, reactor: Any, write_deadline: float) -> None:
        self._reactor = reactor
        self.write_deadline = write_deadline
        self.may_have_written = False

    def endpointForURI(self, uri: URI) -> _DeadlineEndpoint:  # noqa: N802
        """Return the endpoint of a service whose host is an IP address."""
        host = uri.host.decode()
        endpoint: Any = TCP4ClientEndpoint(
            self._reactor, host, uri.port, timeout=CONNECT_WITHIN_S
        )
        if uri.scheme == b"https":
            endpoint = wrapClientTLS(optionsForClientTLS(host), endpoint)
        return _DeadlineEndpoint(self._reactor, endpoint, self)


class TreqServiceClient:
    """`ServiceClient` over HTTP: ``POST {url}/operations/{operation}``."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    async def send(
        self, url: str, operation: str, body: bytes, deadline: float
    ) -> Outcome:
        """Send once on a new connection; see `ServiceClient.send`."""
        write_deadline = min(deadline, self._reactor.seconds() + CONNECT_WITHIN_S)
        call = _CallEndpointFactory(self._reactor, write_deadline)
        response = self._post(call, f"{url}/operations/{operation}", body)
        try:
            return await with_deadline(
                self._reactor, deadline, response, f"{operation} at {url}"
            )
        except OutcomeUnknown:
            raise
        # The type of the error does not show whether bytes were written; only the
        # connection does, so every failure is classified by it.
        except Exception as error:
            kind = OutcomeUnknown if call.may_have_written else NotSent
            raise kind(f"{operation} at {url} failed: {error!r}") from error

    async def _post(self, call: _CallEndpointFactory, url: str, body: bytes) -> Outcome:
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
        await treq.collect(response, lambda chunk: _append_bounded(received, chunk))
        return Outcome(response.code, bytes(received))


def _append_bounded(received: bytearray, chunk: bytes) -> None:
    received += chunk
    if len(received) > MAX_RESPONSE_BYTES:
        raise OutcomeUnknown(
            f"The response is larger than {MAX_RESPONSE_BYTES} bytes",
            remedy="Look up the outcome at the service and resolve the action",
        )


__all__ = [
    "CONNECT_WITHIN_S",
    "MAX_RESPONSE_BYTES",
    "NotSent",
    "OutcomeUnknown",
    "ServiceClient",
    "TreqServiceClient",
]
