"""HTTP API for operators, authenticated by bearer keys that carry a role."""

from chivesaddle.operators.api import OperatorApi
from chivesaddle.operators.auth import (
    Forbidden,
    Operator,
    OperatorKeys,
    Role,
    Unauthenticated,
    key_digest,
)
from chivesaddle.operators.interfaces import (
    ActionResolver,
    FleetClient,
    FleetEvents,
    FleetStatus,
    ResolvedAction,
)

__all__ = [
    "ActionResolver",
    "FleetClient",
    "FleetEvents",
    "FleetStatus",
    "Forbidden",
    "Operator",
    "OperatorApi",
    "OperatorKeys",
    "ResolvedAction",
    "Role",
    "Unauthenticated",
    "key_digest",
]
