"""Helpers shared by the HTTP clients."""

from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.python.failure import Failure
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

T = TypeVar("T")

CONNECT_TIMEOUT_S = 1.0


@implementer(IAgentEndpointFactory)
class IpEndpointFactory:
    """Endpoint factory for URLs whose host is an IP address.

    Twisted's default factory reports a refused connection only after 0.3 s, in which it
    would try further addresses of a host name.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float = CONNECT_TIMEOUT_S):
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return the endpoint of a URI whose host is an IP address."""
        host = uri.host.decode("ascii").strip("[]")
        endpoint_class = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return endpoint_class(
            self._reactor, host, uri.port, timeout=self._connect_timeout_s
        )


def with_immediate_cancel(request: "Deferred[T]") -> "Deferred[T]":
    """Return a Deferred that fails with `CancelledError` as soon as it is cancelled.

    A cancelled request of Twisted's agent itself fails with the same error as a request
    whose connection was lost, so the two could not be distinguished.
    """
    cancelled = False

    def cancel(_: "Deferred[T]") -> None:
        nonlocal cancelled
        cancelled = True
        request.cancel()

    def forward(result: "T | Failure") -> None:
        if not cancelled:
            outer.callback(result)

    outer: Deferred[T] = Deferred(cancel)
    request.addBoth(forward)
    return outer


__all__ = ["CONNECT_TIMEOUT_S", "IpEndpointFactory", "with_immediate_cancel"]
