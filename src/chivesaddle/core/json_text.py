"""Splits JSON text that a decoder refuses, so that its readable parts can be used.

The functions find where the members of one array or object begin and end, by strings
and brackets alone and without recursion. What lies in between is not looked at: it may
be nested to any depth, or hold numbers and text that no decoder accepts.
"""

import re

import msgspec

# Levels from which brackets are not stepped over one by one.
MANY_LEVELS = 32

# The repetitions are possessive, so that text of any length is matched without memory
# for backtracking.
_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_STRINGS = re.compile(_STRING, re.DOTALL)
_NO_BRACKET = rb'(?:[^"\[\]{}]++|%b)*+' % _STRING
# The next bracket or comma between the members, and the next brackets within one.
_NEXT_BETWEEN = re.compile(rb'(?:[^"\[\]{},]++|%b)*+([\[\]{},])' % _STRING, re.DOTALL)
_NEXT_WITHIN = re.compile(_NO_BRACKET + rb"([\[\]{}])", re.DOTALL)
_NEXT_OPENING = re.compile(rb"(?:%b[\[{])++" % _NO_BRACKET, re.DOTALL)
_CLOSING = rb"(?:%b[\]}])" % _NO_BRACKET
_NEXT_CLOSING = re.compile(_CLOSING + rb"++", re.DOTALL)
_KEY = re.compile(rb"\s*+(%b)\s*+:" % _STRING, re.DOTALL)
_ANY_BRACKET = bytes.maketrans(b"[{]}", b"(())")
_NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


def nests_at_most(text: bytes, levels: int) -> bool:
    """Return whether arrays and objects in JSON text are nested no deeper.

    Examples
    --------
    >>> nests_at_most(b'{"a": [1, {}]}', 3), nests_at_most(b'{"a": [1, {}]}', 2)
    (True, False)
    >>> nests_at_most(b'["[[[[["]', 1)
    True
    """
    return _peels_off(_STRINGS.sub(b"", text), levels)


def _peels_off(text: bytes, levels: int) -> bool:
    brackets = text.translate(_ANY_BRACKET, _NO_BRACKETS)
    too_deep = b"(" * (levels + 1)
    for _ in range(levels):
        if not brackets or too_deep in brackets:
            break
        # Removes the innermost level.
        brackets = brackets.replace(b"()", b"")
    return not brackets


def split_array(text: bytes) -> list[bytes]:
    """Return the text of each item of an array; raises `ValueError` if it is none.

    Examples
    --------
    >>> split_array(b'[1, {"a": [2, "],"]}, x]')
    [b'1', b'{"a": [2, "],"]}', b'x']
    """
    return _split(text, b"[")


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the text of each value of an object; raises `ValueError` if it is none.

    Members whose keys cannot be decoded are left out; of equal keys, the last counts.

    Examples
    --------
    >>> split_object(b'{"a": [1], "b": 1e999}')
    {'a': b'[1]', 'b': b'1e999'}
    """
    values = {}
    for member in _split(text, b"{"):
        key = _KEY.match(member)
        if key is None:
            continue
        try:
            name = msgspec.json.decode(key[1], type=str)
        except ValueError:
            continue
        values[name] = member[key.end() :].strip()
    return values


def _split(text: bytes, opening: bytes) -> list[bytes]:
    """Return the parts between the commas of the outermost array or object."""
    text = text.strip()
    if not text.startswith(opening):
        raise ValueError(f"Text does not begin with {opening.decode()}")
    # Of equal length, with fewer brackets to step over.
    outline = text[:1] + text[1:].replace(b"[]", b"00").replace(b"{}", b"00")
    parts: list[bytes] = []
    begin = position = 1
    while found := _NEXT_BETWEEN.match(outline, position):
        position = found.end()
        mark = found[1]
        if mark in b"[{":
            position = _end_of_member(outline, position)
        elif mark == b",":
            parts.append(text[begin : position - 1].strip())
            begin = position
        elif position != len(text):
            raise ValueError("Text goes on after its end")
        else:
            last = text[begin : position - 1].strip()
            return [*parts, last] if parts or last else []
    raise ValueError("A string or bracket is not closed")


def _end_of_member(text: bytes, position: int) -> int:
    """Return where the array or object ends that has begun before a position.

    Both kinds of brackets count alike; those of a malformed member need not match.
    """
    level = 1
    while level:
        # One by one is faster until the member is nested deeply.
        if level < MANY_LEVELS:
            found = _NEXT_WITHIN.match(text, position)
            opened = 1 if found is not None and found[1] in b"[{" else -1
        elif found := _NEXT_OPENING.match(text, position):
            opened = _count_brackets(found[0])
        elif found := _NEXT_CLOSING.match(text, position):
            opened = -_count_brackets(found[0])
            if opened < -level:
                opened = -level
                found = re.compile(b"%b{%d}" % (_CLOSING, level), re.DOTALL).match(
                    text, position
                )
        if found is None:
            raise ValueError("A string or bracket is not closed")
        position = found.end()
        level += opened
    return position


def _count_brackets(text: bytes) -> int:
    return len(_STRINGS.sub(b"", text).translate(None, _NO_BRACKETS))


__all__ = ["nests_at_most", "split_array", "split_object"]
