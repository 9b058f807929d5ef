"""Reading and rewriting of completion chunks in raw server-sent events."""

import json
import re
from collections.abc import Iterable
from enum import Enum
from typing import Any

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.engines.errors import EngineProtocolError

DONE = b"data: [DONE]\n\n"
# A quote inside a JSON string is escaped, so these patterns match keys only.
_TOKEN_INDEX = re.compile(rb'(?<!\\)"token_index":\s*(\d+)')
_USAGE = re.compile(rb'(?<!\\)"usage":\s*\{')


class NotContinuable(ChivesaddleError):
    """The answer so far contains more than plain text, e.g. tool calls."""

    code = "not_continuable"
    status = 503


class ApiStyle(Enum):
    """API that defines the format of the chunks."""

    CHAT = "chat"
    COMPLETION = "completion"


def token_index(event: bytes) -> int | None:
    r"""Return the token index of a chunk without parsing JSON; None if it has none.

    Examples
    --------
    >>> token_index(b'data: {"id": "r", "token_index": 3}\n\n')
    3
    >>> token_index(b'data: {"text": "\\"token_index\\": 3"}\n\n') is None
    True
    """
    match = _TOKEN_INDEX.search(event)
    return int(match[1]) if match else None


def has_usage(event: bytes) -> bool:
    """Return whether the chunk contains the usage, which ends an answer."""
    return b'"usage"' in event and _USAGE.search(event) is not None


def with_token_index(event: bytes, index: int) -> bytes:
    """Return a copy of the event with ``index`` as its token index."""
    return _TOKEN_INDEX.sub(b'"token_index": %d' % index, event, count=1)


def decode(event: bytes) -> dict[str, Any]:
    """Return the JSON object of an event; raises `EngineProtocolError`."""
    try:
        value = json.loads(event.removeprefix(b"data:"))
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise EngineProtocolError("Engine event is not a JSON object")
    return value


def encode(chunk: dict[str, Any]) -> bytes:
    """Return a chunk as an event."""
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def has_content(chunk: dict[str, Any]) -> bool:
    """Return whether a chunk adds anything besides the role to the answer."""
    return any(
        choice.get("text")
        or any(v for k, v in (choice.get("delta") or {}).items() if k != "role")
        for choice in chunk.get("choices") or ()
    )


def chunk_text(chunk: dict[str, Any], style: ApiStyle) -> str:
    """Return the text that a chunk adds; raises `NotContinuable`."""
    text = ""
    for choice in chunk.get("choices") or ():
        if style is ApiStyle.COMPLETION:
            text += choice.get("text") or ""
            continue
        delta = choice.get("delta") or {}
        non_text_fields = [
            key for key in delta if key not in ("role", "content") and delta[key]
        ]
        if non_text_fields:
            raise NotContinuable(
                f"The answer contains {non_text_fields[0]}, which "
                "cannot be continued as text"
            )
        text += delta.get("content") or ""
    return text


def relayed_text(events: Iterable[bytes], style: ApiStyle) -> str:
    """Return the combined text of the relayed events; raises `NotContinuable`."""
    return "".join(chunk_text(decode(event), style) for event in events)


def with_total_usage(event: bytes, completion_tokens: int) -> bytes:
    """Return the last chunk with its usage covering the tokens of all servers."""
    chunk = decode(event)
    usage = chunk["usage"]
    usage["completion_tokens"] = completion_tokens
    usage["total_tokens"] = usage.get("prompt_tokens", 0) + completion_tokens
    return encode(chunk)


def length_limit_chunk(last_event: bytes, style: ApiStyle) -> bytes:
    """Return a final chunk for an answer that has reached ``max_tokens``.

    It is made from the last relayed event, without its text.
    """
    chunk = decode(last_event)
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
    "chunk_text",
    "decode",
    "encode",
    "has_content",
    "has_usage",
    "length_limit_chunk",
    "relayed_text",
    "token_index",
    "with_token_index",
    "with_total_usage",
]
