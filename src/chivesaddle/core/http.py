"""Common parts of the HTTP clients."""

from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.python.failure import Failure
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

T = TypeVar("T")

CONNECT_TIMEOUT_S = 1.0


@implementer(IAgentEndpointFactory)
class IpEndpoints:
    """Connects to IP addresses directly.

    The default factory reports a refused connection only after a 0.3 s timer, in which
    it would try further addresses of a host name.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float = CONNECT_TIMEOUT_S):
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return the endpoint for a URI whose host is an IP address."""
        host = uri.host.decode("ascii").strip("[]")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._connect_timeout_s)


def cancelled_at_once(sent: "Deferred[T]") -> "Deferred[T]":
    """Fail with `CancelledError` when cancelled, and only then.

    A cancelled request of Twisted's agent fails like one whose connection broke.
    """
    cancelled = False

    def cancel(_: "Deferred[T]") -> None:
        nonlocal cancelled
        cancelled = True
        sent.cancel()

    def forward(result: "T | Failure") -> None:
        if not cancelled:
            waiting.callback(result)

    waiting: Deferred[T] = Deferred(cancel)
    sent.addBoth(forward)
    return waiting


__all__ = ["CONNECT_TIMEOUT_S", "IpEndpoints", "cancelled_at_once"]
