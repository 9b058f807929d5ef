"""Errors returned to callers, in the error format of the OpenAI API."""

import math
from typing import Any

from chivesaddle.core.errors import ChivesaddleError


class Unauthorized(ChivesaddleError):
    """The bearer key is missing or unknown."""

    code = "invalid_api_key"
    status = 401


class NotFound(ChivesaddleError):
    """The path or the named object does not exist for this account."""

    code = "not_found"
    status = 404


class ModelNotFound(NotFound):
    """The configuration does not contain the model or adapter."""

    code = "model_not_found"


class MethodNotAllowed(ChivesaddleError):
    """The path does not support the method."""

    code = "method_not_allowed"
    status = 405


class Draining(ChivesaddleError):
    """The daemon is shutting down and accepts no new requests."""

    code = "draining"
    status = 503


class ConfigurationUnconfirmed(ChivesaddleError):
    """The daemon's configuration is not confirmed to be current."""

    code = "configuration_unconfirmed"
    status = 503


class RoutingDeadlineExceeded(ChivesaddleError):
    """No backend server could accept the request before its deadline."""

    code = "request_given_up"
    status = 503


class IdempotencyKeyRequired(ChivesaddleError):
    """A non-repeatable operation was called without an idempotency key."""

    code = "idempotency_key_required"
    status = 400


def error_type(status: int) -> str:
    """Return the error type of the OpenAI API for an HTTP status.

    Examples
    --------
    >>> error_type(429), error_type(422), error_type(503)
    ('rate_limit_error', 'invalid_request_error', 'server_error')
    """
    match status:
        case 401:
            return "authentication_error"
        case 403:
            return "permission_error"
        case 429:
            return "rate_limit_error"
    return "invalid_request_error" if 400 <= status < 500 else "server_error"


def error_body(error: ChivesaddleError) -> dict[str, Any]:
    """Return the JSON body of an error response."""
    return {
        "error": {
            "message": str(error),
            "type": error_type(error.status),
            "code": error.code,
            "param": getattr(error, "field", None) or None,
        }
    }


def retry_after_header(seconds: float) -> str:
    """Return a Retry-After value, rounded up to whole seconds and at least 1.

    Examples
    --------
    >>> retry_after_header(0.2), retry_after_header(7)
    ('1', '7')
    """
    return str(max(1, math.ceil(seconds)))


__all__ = [
    "ConfigurationUnconfirmed",
    "Draining",
    "IdempotencyKeyRequired",
    "MethodNotAllowed",
    "ModelNotFound",
    "NotFound",
    "RoutingDeadlineExceeded",
    "Unauthorized",
    "error_body",
    "error_type",
    "retry_after_header",
]
