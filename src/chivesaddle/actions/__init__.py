"""At-most-once execution of non-repeatable operations."""

from chivesaddle.actions.client import (
    NotSent,
    OutcomeUnknown,
    ServiceClient,
    TreqServiceClient,
)
from chivesaddle.actions.errors import (
    ActionNotFound,
    ActionNotInDoubt,
    IdempotencyKeyRequired,
    IdempotencyKeyReused,
    ServiceUnavailable,
    UnknownOperation,
)
from chivesaddle.actions.record import ActionState, Outcome
from chivesaddle.actions.repeatable import RetryBudget
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.service import ActionService, Resolution

__all__ = [
    "ActionNotFound",
    "ActionNotInDoubt",
    "ActionResult",
    "ActionService",
    "ActionState",
    "IdempotencyKeyRequired",
    "IdempotencyKeyReused",
    "NotSent",
    "Outcome",
    "OutcomeUnknown",
    "Resolution",
    "RetryBudget",
    "ServiceClient",
    "ServiceUnavailable",
    "TreqServiceClient",
    "UnknownOperation",
]
