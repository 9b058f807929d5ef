"""Builds a response that is not streamed from the chunks of a stream."""

from collections.abc import Iterable
from typing import Any

from chivesaddle.engines import ApiStyle
from chivesaddle.engines.chunks import decode

_OBJECT_BY_STYLE = {
    ApiStyle.CHAT: "chat.completion",
    ApiStyle.COMPLETION: "text_completion",
}


def assemble_response(events: Iterable[bytes], style: ApiStyle) -> dict[str, Any]:
    """Return the response object for all events of a complete stream."""
    response: dict[str, Any] = {}
    merged_choice: dict[str, Any] = {}
    usage = None
    for event in events:
        chunk = decode(event)
        usage = chunk.pop("usage", None) or usage
        chunk.pop("token_index", None)
        for choice in chunk.pop("choices", None) or ():
            _merge(merged_choice, {k: v for k, v in choice.items() if k != "index"})
        response = {**chunk, **response}
    choice = {"index": 0, "finish_reason": None, "logprobs": None, **merged_choice}
    if style is ApiStyle.CHAT:
        delta = choice.pop("delta", {})
        choice["message"] = {"role": "assistant", "content": None, **delta}
    else:
        choice.setdefault("text", "")
    return {
        **response,
        "object": _OBJECT_BY_STYLE[style],
        "choices": [choice],
        "usage": usage,
    }


def _merge(target: dict[str, Any], update: dict[str, Any]) -> None:
    """Merge one chunk's fields: strings and lists are appended, objects merged.

    ``role`` is replaced rather than appended.
    """
    for key, value in update.items():
        existing = target.get(key)
        if value is None:
            continue
        if existing is None and isinstance(value, list | dict):
            existing = target[key] = type(value)()
        if isinstance(existing, dict) and isinstance(value, dict):
            _merge(existing, value)
        elif isinstance(existing, list) and isinstance(value, list):
            _extend(existing, value)
        elif key != "role" and isinstance(existing, str) and isinstance(value, str):
            target[key] = existing + value
        else:
            target[key] = value


def _extend(target: list[Any], items: list[Any]) -> None:
    """Append items; those with the same ``index``, such as tool calls, are merged."""
    for item in items:
        if not (isinstance(item, dict) and "index" in item):
            target.append(item)
            continue
        entry = next((i for i in target if i.get("index") == item["index"]), None)
        if entry is None:
            entry = {"index": item["index"]}
            target.append(entry)
        _merge(entry, {k: v for k, v in item.items() if k != "index"})


__all__ = ["assemble_response"]
