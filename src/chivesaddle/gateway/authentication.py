"""Accounts by bearer key."""

import hashlib

from chivesaddle.core.model import Account, ConfigState
from chivesaddle.gateway.dependencies import ConfigSource
from chivesaddle.gateway.errors import Unauthorized


class Authenticator:
    """Finds the account of a bearer key; only digests of keys are held.

    Parameters
    ----------
    config : ConfigSource
        The index of digests is rebuilt when its state changes.
    """

    def __init__(self, config: ConfigSource) -> None:
        self._config = config
        self._indexed: ConfigState | None = None
        self._accounts_by_digest: dict[str, Account] = {}

    def authenticate(self, header: str) -> Account:
        """Return the account for an Authorization header; raises `Unauthorized`."""
        scheme, _, key = header.partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise Unauthorized(
                "The Authorization header holds no bearer key",
                remedy="Send 'Authorization: Bearer KEY'",
            )
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        account = self._index().get(digest)
        if account is None:
            raise Unauthorized(
                "The bearer key is unknown", remedy="Check the account's key"
            )
        return account

    def _index(self) -> dict[str, Account]:
        state = self._config.state
        if state is not self._indexed:
            self._accounts_by_digest = {
                digest: account
                for account in state.accounts_by_id.values()
                for digest in account.key_sha256
            }
            self._indexed = state
        return self._accounts_by_digest


__all__ = ["Authenticator"]
