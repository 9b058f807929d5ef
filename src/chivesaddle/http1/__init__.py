"""HTTP/1.1 connections to callers and to servers, over h11 and Twisted transports.

twisted.web and treq do not tell apart what forwarding needs to know: bytes after a
complete answer, an unframed answer that was reset, and whether a request was written
before its connection broke. These connections report all three.
"""

from chivesaddle.http1.client import (
    Connector,
    NotSent,
    ResponseBroken,
    ResponseHead,
    ResponseLate,
    ServerConnection,
)
from chivesaddle.http1.exchange import exchange
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

__all__ = [
    "CallerConnection",
    "CallerLimits",
    "ConnectionPool",
    "Connector",
    "HeaderList",
    "Headers",
    "NotSent",
    "Request",
    "Responder",
    "ResponseBroken",
    "ResponseHead",
    "ResponseLate",
    "ServerConnection",
    "exchange",
    "header_value",
    "listen",
]
