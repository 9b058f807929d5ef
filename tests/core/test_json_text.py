"""Splitting must agree with a decoder wherever one accepts the text.

For all other text, it must agree with a plain reader of one byte at a time.
"""

import json
import sys

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivesaddle.core.json_text import nests_at_most, split_array, split_object

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text('a"\\[]{},:', max_size=5),
    lambda values: (
        st.lists(values, max_size=4)
        | st.dictionaries(st.text('b"\\[{,', max_size=3), values, max_size=4)
    ),
    max_leaves=60,
)


def depth(value):
    if isinstance(value, dict):
        value = list(value.values())
    return 1 + max(map(depth, value), default=0) if isinstance(value, list) else 0


def nested(levels):
    return b'[{"]":' * levels + b"1" + b"}]" * levels


def string_end(text, begin):
    """Return the end of the string that begins at a quote, None if it is not closed."""
    position = begin + 1
    while position < len(text):
        if text[position] == ord('"'):
            return position + 1
        position += 2 if text[position] == ord("\\") else 1
    return None


def symbols(text):
    """Yield the position and value of each byte outside of closed strings."""
    position = 0
    while position < len(text):
        end = string_end(text, position) if text[position] == ord('"') else None
        if end is None:
            yield position, text[position : position + 1]
        position = end or position + 1


def levels_after_symbols(text):
    level = 0
    for _, symbol in symbols(text):
        level += (symbol in (b"[", b"{")) - (symbol in (b"]", b"}"))
        yield level


def reference_depth(text):
    return max(levels_after_symbols(text), default=0)


def reference_nests_at_most(text, levels):
    found = [0, *levels_after_symbols(text)]
    return min(found) == 0 and max(found) <= levels and found[-1] == 0


def reference_split(text, opening):
    text = text.strip()
    if text[:1] != opening:
        raise ValueError
    parts, begin, level = [], 1, 0
    for (position, symbol), level in zip(
        symbols(text), levels_after_symbols(text), strict=True
    ):
        if symbol == b'"' or (level == 0 and position != len(text) - 1):
            raise ValueError
        if level == 0 or (level == 1 and symbol == b","):
            parts.append(text[begin:position].strip())
            begin = position + 1
    if level != 0:
        raise ValueError
    return [] if parts == [b""] else parts


def reference_split_object(text):
    values = {}
    for member in reference_split(text, b"{"):
        end = string_end(member, 0) if member.startswith(b'"') else None
        rest = member[end:].lstrip() if end else b""
        if rest.startswith(b":"):
            try:
                values[msgspec.json.decode(member[:end], type=str)] = rest[1:].strip()
            except ValueError:
                continue
    return values


def result(function, *arguments):
    try:
        return function(*arguments)
    except ValueError:
        return ValueError


# Every byte that separates nothing, so that none is free to mark a place in the text.
OTHER_BYTES = bytes(set(range(256)) - set(b'"[]{},\\'))
PIECES = [
    *(bytes([byte]) for byte in b"{},,,:\\ \n\x0b1\xff\x00"),
    *[b"[]", b"[1,2]", b"[[[]]],", b'"],"', b'"a":', rb'"\ud800":', OTHER_BYTES],
    *[
        b'"a"',
        b'""',
        rb'"\""',
        rb'"\\"',
        rb'"[\"[,"',
        rb'"\\\",["',
        rb'\"],"',
        rb'\\","',
    ],
]
# Around these lengths and levels, nesting is counted in another way.
COUNTS = [1, 1, 1, 2, 3, 31, 32, 33, 65, 128, 160, 192, 300]
DISTURBANCES = [b"", b"", b"", b'"', rb"\"", b"\\", b"[", b"]", b"}", b'"]', b" 1"]


@st.composite
def texts(draw):
    """Return text whose brackets match, or did so before a piece was inserted."""
    text = draw(st.sampled_from([b"[", b"[", b'{"a":', b" ["]))
    level = 1
    pieces = st.sampled_from([b"[", b"[", b"]", b"]", *PIECES])
    counts = st.sampled_from(COUNTS)
    for piece, count in draw(st.lists(st.tuples(pieces, counts), max_size=25)):
        if piece == b"]":
            count = min(count, level - 1)
        level += {b"[": count, b"]": -count}.get(piece, 0)
        text += piece * count
    text += b"]" * (level - 1) + draw(st.sampled_from([b"]", b"}", b"]\n", b",]"]))
    position = draw(st.integers(0, len(text)))
    return text[:position] + draw(st.sampled_from(DISTURBANCES)) + text[position:]


@settings(derandomize=True, deadline=None, max_examples=400)
@given(texts())
def test_any_text_is_split_as_by_a_plain_reader(text):
    """Guards against another result for text that no decoder accepts."""
    assert result(split_array, text) == result(reference_split, text, b"[")
    assert result(split_object, text) == result(reference_split_object, text)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(texts(), st.integers(-2, 2))
def test_any_text_is_nested_as_for_a_plain_reader(text, difference):
    """Guards against another result for text that no decoder accepts."""
    levels = max(0, reference_depth(text) + difference)
    assert nests_at_most(text, levels) == reference_nests_at_most(text, levels)


@pytest.mark.parametrize(
    "levels", [31, 64, 100, 158, 159, 160, 192, 205, 210, 215, 300]
)
def test_nesting_of_many_members_is_found(levels):
    """Guards against an error where levels are counted by blocks of bytes."""
    steps = levels - 8
    text = fill((b"[" * 8 + b"]" * 7) * steps + b"[" * 7 + b"]" * (levels - 1) + b",")
    assert nests_at_most(text, levels)
    assert not nests_at_most(text, levels - 1)


def test_string_longer_than_what_is_read_at_once_is_found():
    string = b'"' + b"]" * 200_000 + b'"'
    assert split_array(b"[" + string + b",[1,2],3]") == [string, b"[1,2]", b"3"]


def fill(piece, before=b"[", after=b"1]"):
    return before + piece * (100_000 // len(piece)) + after


# Text that took a Python step, or several, for each bracket, string or item.
LONG_TEXTS = {
    "small arrays": fill(b"[[[]]],"),
    "arrays and strings, 40 deep": fill(b'[1],"]",', b"[" * 41, b"1" + b"]" * 41),
    "many deep arrays": fill(b"[" * 60 + b"]" * 60 + b","),
    "one deep array": b"[" * 50_000 + b"]" * 50_000,
    "small arrays, 300 deep": fill(b"[[[]]],", b"[" * 301, b"1" + b"]" * 301),
    "commas": fill(b","),
    "items beside a nested comma": fill(b"1,", b"[[1,1],"),
    "items beside every byte": fill(b"1,", b"[[1,1]," + OTHER_BYTES + b","),
    "every byte again and again": fill(OTHER_BYTES + b","),
    "brackets within strings": fill(b'"]",'),
    "escaped quotes": fill(rb"\"", b'["', b'"]'),
    "quotes after backslashes outside of strings": fill(rb"""\""]],"""),
    "a string that is not closed": fill(rb"\"", b'["', b""),
    "an array that is not closed": fill(b"[1,", b"[", b""),
}


def count_instructions(function, *arguments):
    """Return how many bytecode instructions of Python run in a call."""
    counted = 0

    def trace(frame, event, _):
        nonlocal counted
        frame.f_trace_opcodes = True
        counted += event == "opcode"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        result(function, *arguments)
    finally:
        sys.settrace(previous)
    return counted


@pytest.mark.parametrize("text", LONG_TEXTS.values(), ids=LONG_TEXTS)
def test_no_python_step_is_taken_for_each_bracket_string_or_item(text):
    """Guards against a response of 1 MB that holds up the event loop for 0.6 s."""
    assert count_instructions(split_array, text) < len(text)
    assert count_instructions(nests_at_most, text, 64) < len(text)


def test_escaped_quotes_of_a_string_that_is_not_closed_are_read_once():
    """Guards against a search for the end of a string from each quote in it.

    Such a search of 1 MB would take an hour, and the test would exceed its time limit.
    """
    text = b'["' + rb"\"" * 500_000
    assert not nests_at_most(text, 64)
    assert result(split_array, text) is ValueError


@given(st.lists(VALUES, max_size=5), st.sampled_from([None, 1]))
def test_items_of_an_array_are_found(values, indent):
    text = json.dumps(values, indent=indent).encode()
    assert [json.loads(item) for item in split_array(text)] == values


@given(st.dictionaries(st.text(), VALUES, max_size=5))
def test_members_of_an_object_are_found(members):
    text = json.dumps(members).encode()
    found = split_object(text)
    assert {key: json.loads(value) for key, value in found.items()} == members


@given(VALUES)
def test_nesting_is_that_of_the_value(value):
    text = json.dumps(value).encode()
    assert nests_at_most(text, depth(value))
    assert depth(value) == 0 or not nests_at_most(text, depth(value) - 1)


@pytest.mark.parametrize("levels", [2, 62, 200])
def test_brackets_within_strings_do_not_hide_nesting(levels):
    """Guards against a document nested deeper than `MAX_NESTING` that is decoded."""
    text = b'["]",' * levels + b"1" + b',"["]' * levels
    assert not nests_at_most(text, levels - 1)
    assert nests_at_most(text, levels)


@pytest.mark.parametrize("levels", [31, 32, 33, 100, 50_000])
def test_members_of_any_nesting_are_found(levels):
    """Guards against recursion, and against the step from single brackets to many."""
    items = [b"1", nested(levels), b'{"a":[' + nested(levels) + b"]}", b'"x"']
    assert split_array(b"[" + b",".join(items) + b"]") == items
    assert not nests_at_most(nested(levels), 61)


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"1",
        b"{}",
        b"[",
        b"[1",
        b'["a]',
        b"[1]]",
        b"[1] 2",
        b"[[1]",
        b"[" * 1_000,
        nested(1_000)[:-1],
    ],
)
def test_text_that_is_no_array_is_an_error(text):
    with pytest.raises(ValueError):
        split_array(text)
