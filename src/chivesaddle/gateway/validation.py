"""Validation of request bodies and their conversion to engine requests."""

import hashlib
import json
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import AccountId, Fingerprint, PromptId
from chivesaddle.engines import ApiStyle

BodyT = TypeVar("BodyT", bound=BaseModel)

# Fields that only the gateway sets. Callers must not choose another account's cache
# scope, a weight version that is not in force, another request's stream, or their own
# priority.
RESERVED_ENGINE_FIELDS = frozenset(
    {"cache_salt", "weight_version", "request_id", "priority", "resume_text"}
)
# A block's size in bytes of prompt text, divided by its size in tokens.
BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 512


class CompletionBody(BaseModel):
    """Fields common to both completion endpoints; others are passed to the engine.

    Only one choice is allowed: an answer with several choices cannot be continued from
    its text on another server.
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


class TextCompletionBody(CompletionBody):
    """Body of ``POST /v1/completions``."""

    prompt: str = ""


class Message(BaseModel):
    """Chat message whose content is text, a list of parts, or absent."""

    model_config = ConfigDict(extra="allow")

    role: str = Field(min_length=1)
    content: str | list[dict[str, Any]] | None = None


class ChatCompletionBody(CompletionBody):
    """Body of ``POST /v1/chat/completions``."""

    messages: list[Message] = Field(min_length=1)
    max_completion_tokens: int | None = Field(default=None, gt=0)


class PromptBody(BaseModel):
    """Body of ``POST /v1/prompts``."""

    model_config = ConfigDict(extra="forbid")

    text: str = Field(min_length=1)


def parse_json(content: bytes) -> dict[str, Any]:
    """Decode the JSON object in a request body; raises `InvalidValue`."""
    try:
        value = json.loads(content, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidValue(
            f"The body is not valid JSON: {error}", remedy="Send a JSON object"
        ) from None
    if not isinstance(value, dict):
        raise InvalidValue(
            f"The body is a JSON {type(value).__name__}", remedy="Send a JSON object"
        )
    return value


def validate_body(body_class: type[BodyT], value: dict[str, Any]) -> BodyT:
    """Return the validated body; raises `InvalidValue` with the invalid field."""
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
    """Validated completion request.

    Attributes
    ----------
    style : ApiStyle
        Endpoint that received the request: chat or text completion.
    body : CompletionBody
        Validated fields.
    """

    def __init__(self, style: ApiStyle, raw: dict[str, Any]) -> None:
        self.style = style
        accepted = {k: v for k, v in raw.items() if k not in RESERVED_ENGINE_FIELDS}
        body_class = (
            ChatCompletionBody if style is ApiStyle.CHAT else TextCompletionBody
        )
        self.body: CompletionBody = validate_body(body_class, accepted)
        self._fields = accepted

    @property
    def max_tokens(self) -> int | None:
        """Maximum number of tokens to generate, or None if the caller set no limit."""
        chat_limit = getattr(self.body, "max_completion_tokens", None)
        return chat_limit or self.body.max_tokens

    def prepend_prompt(self, text: str) -> None:
        """Insert a stored prompt before the prompt or the first message."""
        if self.style is ApiStyle.CHAT:
            stored = {"role": "system", "content": text}
            messages = [stored, *self._fields["messages"]]
            self._fields = {**self._fields, "messages": messages}
        else:
            prompt = text + self._fields.get("prompt", "")
            self._fields = {**self._fields, "prompt": prompt}

    def prompt_bytes(self) -> bytes:
        """Return the prompt in the byte form that engines split into blocks."""
        if self.style is ApiStyle.COMPLETION:
            return _encode_utf8(self._fields.get("prompt", ""))
        return b"".join(
            _encode_utf8(f"<|{m['role']}|>{_content_text(m.get('content'))}\n")
            for m in self._fields["messages"]
        )

    def engine_body(self, **fields: Any) -> dict[str, Any]:
        """Return the body for an engine, with the gateway's own fields added."""
        options = {**(self.body.stream_options or {}), "include_usage": True}
        passed = {k: v for k, v in self._fields.items() if k != "prompt_id"}
        return {**passed, "stream": True, "stream_options": options, **fields}

    def fingerprint(self, account_id: AccountId) -> Fingerprint:
        """Return a digest of the request's content, under which crashes are counted.

        Fields that do not affect what the engine computes, such as how the answer is
        delivered, are left out.
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


def estimate_prompt_tokens(prompt: bytes) -> int:
    """Estimate the number of tokens in a prompt."""
    return len(prompt) // BYTES_PER_TOKEN + 1


def _content_text(content: Any) -> str:
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return content or ""


def _encode_utf8(text: str) -> bytes:
    # JSON strings may contain lone surrogates, which UTF-8 cannot encode.
    return text.encode("utf-8", "replace")


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


__all__ = [
    "DEFAULT_MAX_TOKENS",
    "Completion",
    "PromptBody",
    "estimate_prompt_tokens",
    "parse_json",
    "validate_body",
]
