"""Assembly of a plain answer from streamed chunks."""

from collections.abc import Iterable
from typing import Any

from chivesaddle.engines import ApiStyle
from chivesaddle.engines.chunks import decode

_OBJECTS = {ApiStyle.CHAT: "chat.completion", ApiStyle.COMPLETION: "text_completion"}


def assemble(events: Iterable[bytes], style: ApiStyle) -> dict[str, Any]:
    """Return the response object for the events of a complete answer."""
    answer: dict[str, Any] = {}
    merged: dict[str, Any] = {}
    usage = None
    for event in events:
        chunk = decode(event)
        usage = chunk.pop("usage", None) or usage
        chunk.pop("token_index", None)
        for choice in chunk.pop("choices", None) or ():
            _merge(merged, {k: v for k, v in choice.items() if k != "index"})
        answer = {**chunk, **answer}
    choice = {"index": 0, "finish_reason": None, "logprobs": None, **merged}
    if style is ApiStyle.CHAT:
        delta = choice.pop("delta", {})
        choice["message"] = {"role": "assistant", "content": None, **delta}
    else:
        choice.setdefault("text", "")
    return {
        **answer,
        "object": _OBJECTS[style],
        "choices": [choice],
        "usage": usage,
    }


def _merge(into: dict[str, Any], part: dict[str, Any]) -> None:
    """Add one chunk's part: text is appended, lists grow, objects are merged."""
    for key, value in part.items():
        known = into.get(key)
        if value is None:
            continue
        if known is None and isinstance(value, list | dict):
            known = into[key] = type(value)()
        if isinstance(known, dict) and isinstance(value, dict):
            _merge(known, value)
        elif isinstance(known, list) and isinstance(value, list):
            _extend(known, value)
        elif key != "role" and isinstance(known, str) and isinstance(value, str):
            into[key] = known + value
        else:
            into[key] = value


def _extend(into: list[Any], items: list[Any]) -> None:
    """Append items; those with an ``index``, such as tool calls, are merged by it."""
    for item in items:
        if not (isinstance(item, dict) and "index" in item):
            into.append(item)
            continue
        place = next((i for i in into if i.get("index") == item["index"]), None)
        if place is None:
            place = {"index": item["index"]}
            into.append(place)
        _merge(place, {k: v for k, v in item.items() if k != "index"})


__all__ = ["assemble"]
