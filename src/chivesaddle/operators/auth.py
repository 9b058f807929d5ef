"""Operator keys and roles."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.settings import OperatorKey


class Role(Enum):
    """What an operator may do."""

    VIEWER = "viewer"
    OPERATOR = "operator"


@dataclass(frozen=True)
class Operator:
    """An authenticated operator."""

    name: str
    role: Role


class Unauthenticated(ChivesaddleError):
    """The bearer key is missing or unknown."""

    code = "unauthenticated"
    status = 401


class Forbidden(ChivesaddleError):
    """The operator's role does not allow the request."""

    code = "forbidden"
    status = 403


class OperatorKeys:
    """The keys accepted by the operators' API, held as digests."""

    def __init__(self, keys: Iterable[OperatorKey]) -> None:
        self._keys = tuple(keys)

    def authenticate(self, authorization: str | None) -> Operator:
        """Return the operator of an ``Authorization`` header.

        Every digest is compared in constant time, so that the duration tells nothing
        about the keys.

        Raises
        ------
        Unauthenticated
            The header is missing or its key is unknown.
        """
        scheme, _, key = (authorization or "").partition(" ")
        digest = key_digest(key.strip())
        found = None
        for candidate in self._keys:
            if hmac.compare_digest(candidate.key_sha256, digest):
                found = candidate
        if found is None or scheme.lower() != "bearer":
            raise Unauthenticated(
                "The operator key is missing or unknown",
                remedy="Send Authorization: Bearer with a key from operator_keys",
            )
        return Operator(found.name, Role(found.role))


def require(operator: Operator, role: Role) -> None:
    """Check a role; an operator may do what a viewer may.

    Raises
    ------
    Forbidden
        The operator is only a viewer.
    """
    if role is Role.OPERATOR and operator.role is not Role.OPERATOR:
        raise Forbidden(
            f"{operator.name} has role {operator.role.value}",
            remedy="Use a key with role operator",
        )


def key_digest(key: str) -> str:
    """Return the hex SHA-256 digest under which a key is stored."""
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
    "require",
]
