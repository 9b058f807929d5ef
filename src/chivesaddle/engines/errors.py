"""Failures of requests to model engines."""

from chivesaddle.core.errors import ChivesaddleError


class EngineError(ChivesaddleError):
    """A request to a model engine failed.

    Attributes
    ----------
    elsewhere : bool
        Whether another backend server may succeed with the same request.
    """

    code = "engine_error"
    status = 502
    elsewhere = True


class EngineRefused(EngineError):
    """The connection was refused; nothing was sent."""

    code = "engine_refused"
    status = 503


class EngineUnreachable(EngineError):
    """No connection could be opened in time, which does not prove a crash."""

    code = "engine_unreachable"
    status = 503


class EngineReset(EngineError):
    """The connection broke after the request was sent."""

    code = "engine_reset"


class EngineCrashed(EngineError):
    """The connection broke and a new connection was refused."""

    code = "engine_crashed"


class EngineSilent(EngineError):
    """An open connection delivered nothing for longer than its idle timeout."""

    code = "engine_silent"
    status = 504


class EngineFull(EngineError):
    """The engine accepts no more requests until ``retry_after_s`` has passed."""

    code = "engine_full"
    status = 429


class EngineDraining(EngineError):
    """The engine is leaving and accepts no new requests."""

    code = "engine_draining"
    status = 503


class VersionNotLoaded(EngineError):
    """The engine has the model but not the weight version."""

    code = "version_not_loaded"
    status = 503


class EngineConflict(EngineError):
    """An import, export or order met a newer state: freed block or stale token."""

    code = "engine_conflict"
    status = 409
    elsewhere = False


class EngineNotFound(EngineError):
    """The engine does not know the model, stream or import."""

    code = "not_found"
    status = 404


class EngineRejected(EngineError):
    """The engine found the request invalid; another engine would too."""

    code = "invalid_request"
    status = 400
    elsewhere = False


class EngineProtocolError(EngineError):
    """The engine's answer does not follow the protocol."""

    code = "engine_protocol_error"


class StreamMismatch(EngineError):
    """The stream carried an event of another request or skipped a token."""

    code = "stream_mismatch"


class StreamInterrupted(EngineError):
    """A started answer could neither be resumed nor continued elsewhere."""

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
    "EngineSilent",
    "EngineUnreachable",
    "StreamInterrupted",
    "StreamMismatch",
    "VersionNotLoaded",
]
