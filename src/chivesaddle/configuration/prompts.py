"""Stored prompts: one platform object per prompt, named by account and id."""

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
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
    WriteOutcomeUnknown,
)

KIND = "prompts"
CALL_S = 1.0
# A deleted prompt is gone everywhere within the time of a configuration change.
CACHE_S = 9.0
# A part of the 64 MB that the control plane may use per daemon.
CACHE_BYTES = 16_000_000

_PROMPT_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+/-]{0,199}")

log = PartLogger("prompts")


@dataclass(frozen=True)
class StoredPrompt:
    """A prompt of an account; ``body`` holds JSON values and never changes."""

    account_id: AccountId
    id: PromptId
    body: dict[str, Any]


@dataclass(frozen=True)
class _Cached:
    prompt: StoredPrompt
    size: int
    deadline: float


class PromptStore:
    """Stored prompts, read on demand and cached until a deadline.

    Every name contains the account, so another account's prompt id is not found.
    Prompts are immutable. While the platform is unreachable an expired entry is still
    used, because serving continues in an outage and only a deletion could be missed.

    Parameters
    ----------
    api : ObjectApi
        The platform.
    clock : Clock
        Monotonic clock of this process.
    """

    def __init__(self, api: ObjectApi, clock: Clock) -> None:
        self._api = api
        self._clock = clock
        self._cache: OrderedDict[str, _Cached] = OrderedDict()
        self._cached_bytes = 0

    async def create(
        self,
        account_id: AccountId,
        body: dict[str, Any],
        prompt_id: PromptId | None = None,
    ) -> StoredPrompt:
        """Store a prompt; repeating it with the same id and body is one prompt.

        Raises
        ------
        InvalidValue
            The id is taken by another body, or the body is over 1 MB.
        WriteOutcomeUnknown
            The prompt may be stored; repeat with the same id.
        """
        if prompt_id is not None and not _PROMPT_ID.fullmatch(prompt_id):
            raise InvalidValue(
                f"Prompt id {prompt_id!r} is not accepted",
                field="id",
                remedy="Use up to 200 letters, digits and ._:@+/-",
            )
        _check_body(body)
        prompt = StoredPrompt(account_id, prompt_id or PromptId(uuid.uuid4().hex), body)
        name = _name(account_id, prompt.id)
        try:
            await self._api.create(KIND, name, _value(prompt), deadline=self._limit())
        except (VersionConflict, WriteOutcomeUnknown) as error:
            await self._check_stored(name, prompt, error)
        self._remember(name, prompt)
        return prompt

    async def get(self, account_id: AccountId, prompt_id: PromptId) -> StoredPrompt:
        """Return a prompt of the account; raises `PromptNotFound`."""
        name = _name(account_id, prompt_id)
        cached = self._cache.get(name)
        if cached is not None and self._clock.seconds() < cached.deadline:
            self._cache.move_to_end(name)
            return cached.prompt
        try:
            item = await self._api.get(KIND, name, deadline=self._limit())
        except ObjectNotFound:
            self._forget(name)
            raise _not_found(account_id, prompt_id) from None
        except (PlatformUnavailable, DeadlineExceeded) as error:
            if cached is None:
                raise
            log.info("using an expired entry: %s", error)
            return cached.prompt
        prompt = _prompt(item)
        self._remember(name, prompt)
        return prompt

    async def list(self, account_id: AccountId) -> list[StoredPrompt]:
        """Return all prompts of the account, ordered by id."""
        found = await self._api.list_objects(
            KIND, prefix=_name(account_id, PromptId("")), deadline=self._limit()
        )
        prompts = [_prompt(item) for item in found.items_by_name.values()]
        return sorted(prompts, key=lambda prompt: prompt.id)

    async def delete(self, account_id: AccountId, prompt_id: PromptId) -> None:
        """Delete a prompt of the account; raises `PromptNotFound`.

        Other daemons may still use it from their cache for 9 s.
        """
        name = _name(account_id, prompt_id)
        self._forget(name)
        try:
            item = await self._api.get(KIND, name, deadline=self._limit())
            await self._api.delete(
                KIND, name, version=item.version, deadline=self._limit()
            )
        except ObjectNotFound:
            raise _not_found(account_id, prompt_id) from None
        finally:
            # A read that started before the deletion may have cached it again.
            self._forget(name)

    async def _check_stored(
        self, name: str, prompt: StoredPrompt, error: Exception
    ) -> None:
        try:
            item = await self._api.get(KIND, name, deadline=self._limit())
        except (ObjectNotFound, PlatformUnavailable, DeadlineExceeded):
            # The write may still take effect.
            raise WriteOutcomeUnknown(
                f"Prompt {prompt.id} may or may not be stored",
                remedy="Repeat the request with the same prompt id",
            ) from error
        if _prompt(item) != prompt:
            raise InvalidValue(
                f"Prompt id {prompt.id} is taken by another prompt",
                field="id",
                remedy="Use another id; stored prompts cannot be changed",
            )

    def _limit(self) -> float:
        return self._clock.seconds() + CALL_S

    def _remember(self, name: str, prompt: StoredPrompt) -> None:
        self._forget(name)
        size = len(json.dumps(prompt.body))
        deadline = self._clock.seconds() + CACHE_S
        self._cache[name] = _Cached(prompt, size, deadline)
        self._cached_bytes += size
        while self._cached_bytes > CACHE_BYTES:
            self._forget(next(iter(self._cache)))

    def _forget(self, name: str) -> None:
        cached = self._cache.pop(name, None)
        if cached is not None:
            self._cached_bytes -= cached.size


def _name(account_id: AccountId, prompt_id: PromptId) -> str:
    # Quoting keeps account "a" with id "b/c" apart from account "a/b" with id "c".
    return f"{_quoted(account_id)}/{_quoted(prompt_id)}"


def _quoted(text: str) -> str:
    # Callers' JSON can contain lone surrogates; such an id is simply not found.
    return quote(text, safe="", errors="surrogatepass")


def _check_body(body: dict[str, Any]) -> None:
    try:
        json.dumps(body, allow_nan=False)
    except ValueError:
        raise InvalidValue(
            "The prompt contains a number that JSON cannot hold",
            field="body",
            remedy="Use finite numbers",
        ) from None


def _value(prompt: StoredPrompt) -> dict[str, Any]:
    return {"account": prompt.account_id, "id": prompt.id, "body": prompt.body}


def _prompt(item: StoredObject) -> StoredPrompt:
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
