"""Authentication of client accounts by bearer key."""

import hashlib

from chivesaddle.core.model import Account, ConfigState
from chivesaddle.gateway.dependencies import ConfigSource
from chivesaddle.gateway.errors import Unauthorized


class Authenticator:
    """Looks up the account of a bearer key by the key's SHA-256 digest.

    The configuration holds digests only, never the keys themselves.

    Parameters
    ----------
    config : ConfigSource
        Source of the accounts; the digest index is rebuilt when its state changes.
    """

    def __init__(self, config: ConfigSource) -> None:
        self._config = config
        self._indexed_state: ConfigState | None = None
        self._accounts_by_digest: dict[str, Account] = {}

    def authenticate(self, header: str) -> Account:
        """Return the account for an Authorization header.

        Raises
        ------
        Unauthorized
            The header has no bearer key, or the key belongs to no account.
        """
        scheme, _, key = header.partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            raise Unauthorized(
                "The Authorization header contains no bearer key",
                remedy="Send 'Authorization: Bearer KEY'",
            )
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        account = self._digest_index().get(digest)
        if account is None:
            raise Unauthorized(
                "The bearer key is unknown", remedy="Check the account's key"
            )
        return account

    def _digest_index(self) -> dict[str, Account]:
        state = self._config.state
        if state is not self._indexed_state:
            self._accounts_by_digest = {
                digest: account
                for account in state.accounts_by_id.values()
                for digest in account.key_sha256
            }
            self._indexed_state = state
        return self._accounts_by_digest


__all__ = ["Authenticator"]
