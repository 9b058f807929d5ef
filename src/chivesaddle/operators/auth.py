"""Authentication and authorization of operators."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.settings import OperatorKey


class Role(Enum):
    """Role of an operator, which determines the permitted requests."""

    VIEWER = "viewer"
    OPERATOR = "operator"


@dataclass(frozen=True)
class Operator:
    """An operator whose key was verified."""

    name: str
    role: Role


class Unauthenticated(ChivesaddleError):
    """The bearer key is missing or unknown."""

    code = "unauthenticated"
    status = 401


class Forbidden(ChivesaddleError):
    """The operator's role does not permit the request."""

    code = "forbidden"
    status = 403


class OperatorKeys:
    """The keys that the operator API accepts, stored as SHA-256 digests."""

    def __init__(self, keys: Iterable[OperatorKey]) -> None:
        self._keys = tuple(keys)

    def authenticate(self, authorization: str | None) -> Operator:
        """Return the operator whose key is in an ``Authorization`` header.

        The digest is compared with all stored digests, each in constant time, so that
        the response time reveals nothing about the stored keys.

        Raises
        ------
        Unauthenticated
            The header is missing, is not of scheme Bearer, or its key is unknown.
        """
        scheme, _, key = (authorization or "").partition(" ")
        digest = key_digest(key.strip())
        matched = None
        for candidate in self._keys:
            if hmac.compare_digest(candidate.key_sha256, digest):
                matched = candidate
        if matched is None or scheme.lower() != "bearer":
            raise Unauthenticated(
                "The operator key is missing or unknown",
                remedy="Send Authorization: Bearer KEY with a key from operator_keys",
            )
        return Operator(matched.name, Role(matched.role))


def require_role(operator: Operator, role: Role) -> None:
    """Check that an operator has a role; role OPERATOR includes role VIEWER.

    Raises
    ------
    Forbidden
        The role is OPERATOR and the operator has role VIEWER.
    """
    if role is Role.OPERATOR and operator.role is not Role.OPERATOR:
        raise Forbidden(
            f"{operator.name} has role {operator.role.value}",
            remedy="Use a key with role operator",
        )


def key_digest(key: str) -> str:
    """Return the hex SHA-256 digest that is stored in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def new_account_key() -> str:
    """Return a random bearer key for a client account."""
    return f"ck-{secrets.token_urlsafe(32)}"


__all__ = [
    "Forbidden",
    "Operator",
    "OperatorKeys",
    "Role",
    "Unauthenticated",
    "key_digest",
    "new_account_key",
    "require_role",
]
