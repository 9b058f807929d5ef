"""Routing decisions: synchronous, without I/O; callers pass the current time."""

from chivesaddle.routing.decisions import (
    AccountLimited,
    DeadlineUnreachable,
    Decision,
    NoBackendServer,
    QueueFull,
    Refuse,
    RequestCrashesBackend,
    RouteRequest,
    Send,
    StoredCopy,
    UnknownModel,
    Wait,
)
from chivesaddle.routing.router import Router
from chivesaddle.routing.servers import LoadReport
from chivesaddle.routing.suspects import (
    Announcement,
    SuspectCleared,
    SuspectCrashed,
    SuspectRunning,
    SuspectStopped,
)

__all__ = [
    "AccountLimited",
    "Announcement",
    "DeadlineUnreachable",
    "Decision",
    "LoadReport",
    "NoBackendServer",
    "QueueFull",
    "Refuse",
    "RequestCrashesBackend",
    "RouteRequest",
    "Router",
    "Send",
    "StoredCopy",
    "SuspectCleared",
    "SuspectCrashed",
    "SuspectRunning",
    "SuspectStopped",
    "UnknownModel",
    "Wait",
]
