"""Stored prompts: one platform object per prompt, keyed by account and prompt id."""

import json
import re
import uuid
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from chivesaddle.configuration.errors import PromptNotFound
from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import DeadlineExceeded, InvalidValue
from chivesaddle.core.ids import AccountId, PromptId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
    WriteOutcomeUnknown,
)

PROMPTS_KIND = "prompts"
CALL_TIMEOUT_S = 1.0
# A deletion reaches every daemon within 9 s, like a configuration change.
CACHE_TTL_S = 9.0
# Counts towards the 64 MB of memory that the control plane may use per daemon.
MAX_CACHE_BYTES = 16_000_000

_PROMPT_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+/-]{0,199}")

log = ComponentLogger("prompts")


@dataclass(frozen=True)
class StoredPrompt:
    """An immutable prompt of an account; ``body`` consists of JSON values."""

    account_id: AccountId
    id: PromptId
    body: dict[str, Any]


@dataclass(frozen=True)
class _CacheEntry:
    prompt: StoredPrompt
    size: int
    expires_at: float


class PromptStore:
    """Stored prompts, read on demand and cached for 9 s.

    Object names include the account id, so an account cannot read another account's
    prompts. While the platform is unreachable, expired entries are still used: serving
    continues during an outage, and because prompts are immutable only a deletion can
    be missed.

    Parameters
    ----------
    api : ObjectApi
        Object API of the platform.
    clock : Clock
        Monotonic clock of this process.
    """

    def __init__(self, api: ObjectApi, clock: Clock) -> None:
        self._api = api
        self._clock = clock
        self._cache: OrderedDict[str, _CacheEntry] = OrderedDict()
        self._cached_bytes = 0

    async def create(
        self,
        account_id: AccountId,
        body: dict[str, Any],
        prompt_id: PromptId | None = None,
    ) -> StoredPrompt:
        """Store a prompt; idempotent for the same id and body.

        Raises
        ------
        InvalidValue
            The id is taken by another prompt, or the body is over 1 MB.
        WriteOutcomeUnknown
            The prompt may be stored; retry with the same id.
        """
        if prompt_id is not None and not _PROMPT_ID_PATTERN.fullmatch(prompt_id):
            raise InvalidValue(
                f"Prompt id {prompt_id!r} is not valid",
                field="id",
                remedy="Use up to 200 letters, digits and ._:@+/-",
            )
        _check_body(body)
        prompt = StoredPrompt(account_id, prompt_id or PromptId(uuid.uuid4().hex), body)
        name = _object_name(account_id, prompt.id)
        try:
            await self._api.create(
                PROMPTS_KIND, name, _to_value(prompt), deadline=self._call_deadline()
            )
        except (VersionConflict, WriteOutcomeUnknown) as error:
            await self._check_stored(name, prompt, error)
        self._add_to_cache(name, prompt)
        return prompt

    async def get(self, account_id: AccountId, prompt_id: PromptId) -> StoredPrompt:
        """Return a prompt of the account; raises `PromptNotFound`."""
        name = _object_name(account_id, prompt_id)
        cached = self._cache.get(name)
        if cached is not None and self._clock.seconds() < cached.expires_at:
            self._cache.move_to_end(name)
            return cached.prompt
        try:
            item = await self._api.get(
                PROMPTS_KIND, name, deadline=self._call_deadline()
            )
        except ObjectNotFound:
            self._remove_from_cache(name)
            raise _not_found(account_id, prompt_id) from None
        except (PlatformUnavailable, DeadlineExceeded) as error:
            if cached is None:
                raise
            log.info("platform unavailable, using an expired cache entry: %s", error)
            return cached.prompt
        prompt = _from_object(item)
        self._add_to_cache(name, prompt)
        return prompt

    async def list(self, account_id: AccountId) -> list[StoredPrompt]:
        """Return all prompts of the account, ordered by id."""
        object_list = await self._api.list_objects(
            PROMPTS_KIND,
            prefix=_object_name(account_id, PromptId("")),
            deadline=self._call_deadline(),
        )
        prompts = [_from_object(item) for item in object_list.items_by_name.values()]
        return sorted(prompts, key=lambda prompt: prompt.id)

    async def delete(self, account_id: AccountId, prompt_id: PromptId) -> None:
        """Delete a prompt of the account; raises `PromptNotFound`.

        Other daemons may still use it from their cache for 9 s.
        """
        name = _object_name(account_id, prompt_id)
        self._remove_from_cache(name)
        try:
            item = await self._api.get(
                PROMPTS_KIND, name, deadline=self._call_deadline()
            )
            await self._api.delete(
                PROMPTS_KIND, name, version=item.version, deadline=self._call_deadline()
            )
        except ObjectNotFound:
            raise _not_found(account_id, prompt_id) from None
        finally:
            # A read that started before the deletion may have cached the prompt again.
            self._remove_from_cache(name)

    async def _check_stored(
        self, name: str, prompt: StoredPrompt, error: Exception
    ) -> None:
        try:
            item = await self._api.get(
                PROMPTS_KIND, name, deadline=self._call_deadline()
            )
        except (ObjectNotFound, PlatformUnavailable, DeadlineExceeded):
            # The write may still take effect.
            raise WriteOutcomeUnknown(
                f"Prompt {prompt.id} may or may not be stored",
                remedy="Retry the request with the same prompt id",
            ) from error
        if _from_object(item) != prompt:
            raise InvalidValue(
                f"Prompt id {prompt.id} is taken by another prompt",
                field="id",
                remedy="Use another id; stored prompts cannot be changed",
            )

    def _call_deadline(self) -> float:
        return self._clock.seconds() + CALL_TIMEOUT_S

    def _add_to_cache(self, name: str, prompt: StoredPrompt) -> None:
        self._remove_from_cache(name)
        size = len(json.dumps(prompt.body))
        expires_at = self._clock.seconds() + CACHE_TTL_S
        self._cache[name] = _CacheEntry(prompt, size, expires_at)
        self._cached_bytes += size
        while self._cached_bytes > MAX_CACHE_BYTES:
            self._remove_from_cache(next(iter(self._cache)))

    def _remove_from_cache(self, name: str) -> None:
        cached = self._cache.pop(name, None)
        if cached is not None:
            self._cached_bytes -= cached.size


def _object_name(account_id: AccountId, prompt_id: PromptId) -> str:
    # Encodes slashes, so that account "a" with id "b/c" and account "a/b" with id "c"
    # have different names.
    return f"{_percent_encode(account_id)}/{_percent_encode(prompt_id)}"


def _percent_encode(text: str) -> str:
    # Ids from request JSON can contain lone surrogates. Encoding them anyway lets the
    # lookup report that the prompt does not exist.
    return quote(text, safe="", errors="surrogatepass")


def _check_body(body: dict[str, Any]) -> None:
    try:
        json.dumps(body, allow_nan=False)
    except ValueError:
        raise InvalidValue(
            "The prompt contains a number that JSON cannot represent",
            field="body",
            remedy="Use finite numbers",
        ) from None


def _to_value(prompt: StoredPrompt) -> dict[str, Any]:
    return {"account": prompt.account_id, "id": prompt.id, "body": prompt.body}


def _from_object(item: StoredObject) -> StoredPrompt:
    value = item.value
    return StoredPrompt(
        AccountId(value["account"]), PromptId(value["id"]), value["body"]
    )


def _not_found(account_id: AccountId, prompt_id: PromptId) -> PromptNotFound:
    return PromptNotFound(
        f"Account {account_id} has no prompt {prompt_id}",
        remedy="List the account's prompts",
    )


__all__ = ["PromptStore", "StoredPrompt"]
