"""HTTP/1.1 connections with callers and servers, on h11 and Twisted transports.

Forwarding has to detect bytes after a complete response, a reset during a response
without framing, and whether a request had been written when its connection was lost.
twisted.web and treq do not report these cases; this package does.
"""

from chivesaddle.http1.client import (
    Connector,
    Framing,
    NotSent,
    ResponseBroken,
    ResponseHead,
    ResponseLate,
    ServerConnection,
)
from chivesaddle.http1.exchange import BodyLimit, Reuse, exchange
from chivesaddle.http1.fields import HeaderList, header_value
from chivesaddle.http1.pool import ConnectionPool
from chivesaddle.http1.server import (
    CallerConnection,
    CallerLimits,
    Headers,
    Request,
    Responder,
    listen,
)
from chivesaddle.http1.sockets import drop_queued_bytes, has_queued_bytes

__all__ = [
    "BodyLimit",
    "CallerConnection",
    "CallerLimits",
    "ConnectionPool",
    "Connector",
    "Framing",
    "HeaderList",
    "Headers",
    "NotSent",
    "Request",
    "Responder",
    "ResponseBroken",
    "ResponseHead",
    "ResponseLate",
    "Reuse",
    "ServerConnection",
    "drop_queued_bytes",
    "exchange",
    "has_queued_bytes",
    "header_value",
    "listen",
]
