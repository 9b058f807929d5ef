"""Operators' HTTP API, with keys and roles."""

from chivesaddle.operators.api import OperatorApi
from chivesaddle.operators.auth import (
    Forbidden,
    Operator,
    OperatorKeys,
    Role,
    Unauthenticated,
    key_digest,
)
from chivesaddle.operators.fleet import (
    Actions,
    Fleet,
    FleetEvents,
    FleetStatus,
    ResolvedAction,
)

__all__ = [
    "Actions",
    "Fleet",
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
