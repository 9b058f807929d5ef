"""Errors of actions that callers and operators receive."""

from chivesaddle.core.errors import ChivesaddleError


class UnknownOperation(ChivesaddleError):
    """The service or its operation is not configured."""

    code = "unknown_operation"
    status = 404


class IdempotencyKeyRequired(ChivesaddleError):
    """A non-repeatable operation was called without an idempotency key."""

    code = "idempotency_key_required"
    status = 400


class IdempotencyKeyReused(ChivesaddleError):
    """The idempotency key already names a different request."""

    code = "idempotency_key_reused"
    status = 422


class ActionNotFound(ChivesaddleError):
    """No action is recorded under the idempotency key."""

    code = "action_not_found"
    status = 404


class ActionNotInDoubt(ChivesaddleError):
    """An operator tried to resolve an action that is not in doubt."""

    code = "action_not_in_doubt"
    status = 409


class ForbiddenTransition(ChivesaddleError):
    """The current state of a record does not allow this step."""

    code = "forbidden_transition"
    status = 409


class ServiceUnavailable(ChivesaddleError):
    """Every try of a repeatable operation failed."""

    code = "service_unavailable"
    status = 503


__all__ = [
    "ActionNotFound",
    "ActionNotInDoubt",
    "ForbiddenTransition",
    "IdempotencyKeyRequired",
    "IdempotencyKeyReused",
    "ServiceUnavailable",
    "UnknownOperation",
]
