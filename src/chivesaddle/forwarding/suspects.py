"""What of a request may crash the server that runs it, and how it is recognized."""

from dataclasses import dataclass

import xxhash

from chivesaddle.core.ids import AccountId, Fingerprint, ModelId
from chivesaddle.core.serving_model import Account, PromptPartId
from chivesaddle.forwarding.messages import CallerRequest

# Parts of one request whose crashes are counted.
MAX_PARTS = 32
_PART_PREFIX = "part:"


def fingerprint(target: bytes, account: AccountId | None, body: bytes) -> Fingerprint:
    """Return a fingerprint that is equal for repetitions of a request."""
    digest = xxhash.xxh3_64(target)
    digest.update(b"\0" + (account or "").encode() + b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


def part_fingerprint(
    part: PromptPartId, model: ModelId | None, isolated_account: AccountId | None
) -> Fingerprint:
    """Return the fingerprint of a prompt part.

    Parameters
    ----------
    isolated_account : AccountId or None
        The account, if it is isolated: its parts are not those of other accounts.
    """
    text = f"{model or ''}\0{isolated_account or ''}\0{part}"
    return Fingerprint(_PART_PREFIX + xxhash.xxh3_64_hexdigest(text.encode()))


def is_part(key: Fingerprint) -> bool:
    """Return whether a fingerprint is that of a prompt part."""
    return key.startswith(_PART_PREFIX)


@dataclass(frozen=True, slots=True)
class CrashSuspects:
    """What of a request may crash a server: all of it, or a part of its prompt."""

    request: Fingerprint
    parts: tuple[Fingerprint, ...] = ()

    @classmethod
    def from_request(
        cls, request: CallerRequest, account: Account | None
    ) -> "CrashSuspects":
        """Return the suspects of a request.

        The last part is specific to the request or its session.
        """
        account_id = account.id if account else None
        isolated = account.id if account and account.is_isolated else None
        parts = dict.fromkeys(
            part_fingerprint(part.id, request.model, isolated)
            for part in request.parts[:-1][:MAX_PARTS]
        )
        key = fingerprint(request.target, account_id, request.body)
        return cls(key, tuple(parts))


__all__ = ["CrashSuspects", "fingerprint", "is_part", "part_fingerprint"]
