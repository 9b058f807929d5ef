"""Checking of request bodies and their translation for engines."""

import hashlib
import json
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import AccountId, Fingerprint, PromptId
from chivesaddle.engines import ApiStyle

B = TypeVar("B", bound=BaseModel)

# Callers must not choose another account's cache scope, a version that is not in
# force, another request's stream, or their own priority.
ENGINE_FIELDS = frozenset(
    {"cache_salt", "weight_version", "request_id", "priority", "resume_text"}
)
# Block size in bytes over block size in tokens.
BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 512


class CompletionBody(BaseModel):
    """Fields common to both completion calls; others pass through to the engine.

    One choice only: an answer with several cannot be continued from its text.
    """

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1)
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    max_tokens: int | None = Field(default=None, gt=0)
    temperature: float | None = Field(default=None, ge=0, le=2)
    top_p: float | None = Field(default=None, ge=0, le=1)
    n: int | None = Field(default=None, ge=1, le=1)
    best_of: int | None = Field(default=None, ge=1, le=1)
    prompt_id: PromptId | None = None
    adapter: str | None = None


class TextBody(CompletionBody):
    """Body of ``/v1/completions``."""

    prompt: str = ""


class Message(BaseModel):
    """A chat message; content is text, a list of parts, or absent."""

    model_config = ConfigDict(extra="allow")

    role: str = Field(min_length=1)
    content: str | list[dict[str, Any]] | None = None


class ChatBody(CompletionBody):
    """Body of ``/v1/chat/completions``."""

    messages: list[Message] = Field(min_length=1)
    max_completion_tokens: int | None = Field(default=None, gt=0)


class PromptBody(BaseModel):
    """Body of ``POST /v1/prompts``."""

    model_config = ConfigDict(extra="forbid")

    text: str = Field(min_length=1)


def parse_json(content: bytes) -> dict[str, Any]:
    """Return the JSON object in a request body; raises `InvalidValue`."""
    try:
        value = json.loads(content, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidValue(
            f"The body is not valid JSON: {error}", remedy="Send a JSON object"
        ) from None
    if not isinstance(value, dict):
        raise InvalidValue(
            f"The body is a JSON {type(value).__name__}", remedy="Send a JSON object"
        )
    return value


def check(body_class: type[B], value: dict[str, Any]) -> B:
    """Return the checked body; raises `InvalidValue` naming the field."""
    try:
        return body_class.model_validate(value)
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        raise InvalidValue(
            f"Field {field}: {first['msg']}",
            field=field,
            remedy="Correct the field",
        ) from None


class Completion:
    """A checked completion request.

    Attributes
    ----------
    style : ApiStyle
        Which call it came by.
    body : CompletionBody
        The checked fields.
    """

    def __init__(self, style: ApiStyle, raw: dict[str, Any]) -> None:
        self.style = style
        wanted = {k: v for k, v in raw.items() if k not in ENGINE_FIELDS}
        body_class = ChatBody if style is ApiStyle.CHAT else TextBody
        self.body: CompletionBody = check(body_class, wanted)
        self._fields = wanted

    @property
    def max_tokens(self) -> int | None:
        """Longest answer in tokens, or None if the caller set no limit."""
        chat_limit = getattr(self.body, "max_completion_tokens", None)
        return chat_limit or self.body.max_tokens

    def put_first(self, text: str) -> None:
        """Put a stored prompt before the prompt or the first message."""
        if self.style is ApiStyle.CHAT:
            stored = {"role": "system", "content": text}
            messages = [stored, *self._fields["messages"]]
            self._fields = {**self._fields, "messages": messages}
        else:
            prompt = text + self._fields.get("prompt", "")
            self._fields = {**self._fields, "prompt": prompt}

    def prompt_bytes(self) -> bytes:
        """Return the prompt as engines split it into blocks."""
        if self.style is ApiStyle.COMPLETION:
            return _encode(self._fields.get("prompt", ""))
        return b"".join(
            _encode(f"<|{m['role']}|>{_content_text(m.get('content'))}\n")
            for m in self._fields["messages"]
        )

    def engine_body(self, **fields: Any) -> dict[str, Any]:
        """Return the body for an engine with our own fields added."""
        options = {**(self.body.stream_options or {}), "include_usage": True}
        passed = {k: v for k, v in self._fields.items() if k != "prompt_id"}
        return {**passed, "stream": True, "stream_options": options, **fields}

    def fingerprint(self, account_id: AccountId) -> Fingerprint:
        """Return the identity of the request's content for crash counting.

        How the answer is delivered does not matter to the engine and is left out.
        """
        ignored = ("stream", "stream_options", "user")
        content = {k: v for k, v in self._fields.items() if k not in ignored}
        canonical = json.dumps(
            [account_id, self.style.value, content],
            sort_keys=True,
            separators=(",", ":"),
        )
        digest = hashlib.blake2b(canonical.encode(), digest_size=16)
        return Fingerprint(digest.hexdigest())


def prompt_tokens(prompt: bytes) -> int:
    """Estimate the tokens of a prompt."""
    return len(prompt) // BYTES_PER_TOKEN + 1


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return content or ""


def _encode(text: str) -> bytes:
    # JSON may hold lone surrogates, which UTF-8 has no form for.
    return text.encode("utf-8", "replace")


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


__all__ = [
    "DEFAULT_MAX_TOKENS",
    "Completion",
    "PromptBody",
    "check",
    "parse_json",
    "prompt_tokens",
]
