"""Errors of requests to model engines."""

from typing import Any

from chivesaddle.core.aio import Task
from chivesaddle.core.errors import ChivesaddleError


class EngineError(ChivesaddleError):
    """A request to a model engine failed.

    Attributes
    ----------
    retry_on_other_server : bool
        Whether another backend server may succeed with the same request.
    pending : Task or None
        The same request on another connection to the server, which is silent and may
        still be answered. Whoever handles the error takes it over or cancels it.
    """

    code = "engine_error"
    status = 502
    retry_on_other_server = True
    pending: Task[Any] | None = None


class EngineRefused(EngineError):
    """The connection was refused; nothing was sent."""

    code = "engine_refused"
    status = 503


class EngineUnreachable(EngineError):
    """No connection could be opened in time, which does not prove a crash."""

    code = "engine_unreachable"
    status = 503


class EngineReset(EngineError):
    """The connection was lost after the request was sent."""

    code = "engine_reset"


class EngineCrashed(EngineError):
    """The connection was lost and a new connection was refused."""

    code = "engine_crashed"


class EngineTimeout(EngineError):
    """No data arrived on an open connection before its timeout."""

    code = "engine_silent"
    status = 504


class EngineFull(EngineError):
    """The engine accepts no more requests until ``retry_after_s`` has passed."""

    code = "engine_full"
    status = 429


class EngineDraining(EngineError):
    """The engine is draining and accepts no new requests."""

    code = "engine_draining"
    status = 503


class VersionNotLoaded(EngineError):
    """The engine has the model but not the requested weight version."""

    code = "version_not_loaded"
    status = 503


class EngineConflict(EngineError):
    """An import, export or order is outdated: freed block or stale fencing token."""

    code = "engine_conflict"
    status = 409
    retry_on_other_server = False


class EngineNotFound(EngineError):
    """The engine does not know the model, stream or import."""

    code = "not_found"
    status = 404


class EngineRejected(EngineError):
    """The engine rejected the request as invalid; any other engine would too."""

    code = "invalid_request"
    status = 400
    retry_on_other_server = False


class EngineProtocolError(EngineError):
    """The engine's response violates the protocol."""

    code = "engine_protocol_error"


class StreamMismatch(EngineError):
    """The stream contained an event of another request or skipped a token."""

    code = "stream_mismatch"


class StreamInterrupted(EngineError):
    """A started answer could be neither resumed nor continued on another server."""

    code = "stream_interrupted"
    status = 503


__all__ = [
    "EngineConflict",
    "EngineCrashed",
    "EngineDraining",
    "EngineError",
    "EngineFull",
    "EngineNotFound",
    "EngineProtocolError",
    "EngineRefused",
    "EngineRejected",
    "EngineReset",
    "EngineTimeout",
    "EngineUnreachable",
    "StreamInterrupted",
    "StreamMismatch",
    "VersionNotLoaded",
]
