"""Reading and rewriting of completion chunks as raw event bytes."""

import json
import re
from collections.abc import Iterable
from enum import Enum
from typing import Any

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.engines.errors import EngineProtocolError

DONE = b"data: [DONE]\n\n"
# Inside a JSON string the closing quote would be escaped, so this matches a key only.
_TOKEN_INDEX = re.compile(rb'(?<!\\)"token_index":\s*(\d+)')
_USAGE = re.compile(rb'(?<!\\)"usage":\s*\{')


class NotContinuable(ChivesaddleError):
    """The answer so far holds more than plain text, e.g. tool calls."""

    code = "not_continuable"
    status = 503


class ApiStyle(Enum):
    """Shape of the chunks."""

    CHAT = "chat"
    COMPLETION = "completion"


def token_index(event: bytes) -> int | None:
    r"""Return the token index of a chunk without decoding it; None if it has none.

    Examples
    --------
    >>> token_index(b'data: {"id": "r", "token_index": 3}\n\n')
    3
    >>> token_index(b'data: {"text": "\\"token_index\\": 3"}\n\n') is None
    True
    """
    found = _TOKEN_INDEX.search(event)
    return int(found[1]) if found else None


def has_usage(event: bytes) -> bool:
    """Tell whether the chunk carries the usage, which ends an answer."""
    return b'"usage"' in event and _USAGE.search(event) is not None


def with_token_index(event: bytes, index: int) -> bytes:
    """Return the event with another token index."""
    return _TOKEN_INDEX.sub(b'"token_index": %d' % index, event, count=1)


def decode(event: bytes) -> dict[str, Any]:
    """Return the JSON object of an event; raises `EngineProtocolError`."""
    try:
        value = json.loads(event.removeprefix(b"data:"))
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise EngineProtocolError("An event of the engine is not a JSON object")
    return value


def encode(chunk: dict[str, Any]) -> bytes:
    """Return a chunk as an event."""
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def has_content(chunk: dict[str, Any]) -> bool:
    """Tell whether a chunk adds something to the answer besides the role."""
    return any(
        choice.get("text")
        or any(v for k, v in (choice.get("delta") or {}).items() if k != "role")
        for choice in chunk.get("choices") or ()
    )


def text_of(chunk: dict[str, Any], style: ApiStyle) -> str:
    """Return the text that a chunk adds; raises `NotContinuable`."""
    text = ""
    for choice in chunk.get("choices") or ():
        if style is ApiStyle.COMPLETION:
            text += choice.get("text") or ""
            continue
        delta = choice.get("delta") or {}
        extra = [key for key in delta if key not in ("role", "content") and delta[key]]
        if extra:
            raise NotContinuable(f"The answer holds {extra[0]}, which has no text form")
        text += delta.get("content") or ""
    return text


def text_so_far(events: Iterable[bytes], style: ApiStyle) -> str:
    """Return the text of all events relayed so far; raises `NotContinuable`."""
    return "".join(text_of(decode(event), style) for event in events)


def with_total_usage(event: bytes, completion_tokens: int) -> bytes:
    """Return a last chunk whose usage counts the tokens of all servers."""
    chunk = decode(event)
    usage = chunk["usage"]
    usage["completion_tokens"] = completion_tokens
    usage["total_tokens"] = usage.get("prompt_tokens", 0) + completion_tokens
    return encode(chunk)


def length_chunk(last: bytes, style: ApiStyle) -> bytes:
    """Return the chunk that ends an answer which reached ``max_tokens``."""
    chunk = decode(last)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if style is ApiStyle.CHAT:
        choice["delta"] = {}
    else:
        choice["text"] = ""
    chunk["choices"] = [choice]
    chunk.pop("token_index", None)
    return encode(chunk)


__all__ = [
    "DONE",
    "ApiStyle",
    "NotContinuable",
    "decode",
    "encode",
    "has_content",
    "has_usage",
    "length_chunk",
    "text_of",
    "text_so_far",
    "token_index",
    "with_token_index",
    "with_total_usage",
]
