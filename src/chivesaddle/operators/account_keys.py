"""Generates the keys of client accounts that an intent creates or re-keys.

The key itself is returned to the operator once; only its digest is stored.
"""

from typing import Any

from chivesaddle.core.model import ConfigState
from chivesaddle.operators.auth import key_digest, new_account_key


def complete_account_keys(
    intent: Any, state: ConfigState
) -> tuple[Any, dict[str, str]]:
    """Add the missing key digests to the ``put_account`` operations of an intent.

    An existing account whose operation has no ``key_sha256`` keeps its keys, so that
    changing a limit does not lock the account's clients out. A key is generated for a
    new account, and for an operation whose ``key_sha256`` is an empty list.

    An intent or operation of an unexpected type is returned unchanged; planning it
    reports the error.

    Returns
    -------
    tuple
        The intent with all key digests, and the generated keys by account id.
    """
    if not isinstance(intent, dict) or not isinstance(intent.get("operations"), list):
        return intent, {}
    keys_by_account: dict[str, str] = {}
    operations = [
        _complete_operation(operation, state, keys_by_account)
        for operation in intent["operations"]
    ]
    return {**intent, "operations": operations}, keys_by_account


def _complete_operation(
    operation: Any, state: ConfigState, keys_by_account: dict[str, str]
) -> Any:
    if not isinstance(operation, dict) or operation.get("kind") != "put_account":
        return operation
    account_id = operation.get("id")
    if not isinstance(account_id, str) or operation.get("key_sha256"):
        return operation
    existing = state.accounts_by_id.get(account_id)  # type: ignore[call-overload]
    if "key_sha256" not in operation and existing and existing.key_sha256:
        return {**operation, "key_sha256": list(existing.key_sha256)}
    key = keys_by_account.setdefault(account_id, new_account_key())
    return {**operation, "key_sha256": [key_digest(key)]}


__all__ = ["complete_account_keys"]
