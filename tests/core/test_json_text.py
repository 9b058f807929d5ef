"""Splitting must agree with a decoder wherever one accepts the text."""

import json

import pytest
from hypothesis import given
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
