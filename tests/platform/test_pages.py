"""One unreadable object must not hide the others of the same response of the store."""

import json

import pytest

from chivesaddle.core.objects import UNREADABLE_VALUE
from chivesaddle.platform import pages

GOOD = {"metadata": {"name": "good", "revision": 5}, "specification": {"x": 1}}
HUGE = b"9" * 5_000
# Text of values that a writer may leave in the store, or that a store may return.
UNREADABLE_VALUES = {
    "lone surrogate": rb'{"zone": "zone \ud83d"}',
    "lone surrogate as a key": rb'{"\udc00": 1}',
    "reversed surrogates": rb'["\udc00\ud800"]',
    "invalid UTF-8": b'{"zone": "\xff\xfe"}',
    "invalid UTF-8 outside of text": b"\xff\xfe",
    "control character": b'{"zone": "a\x00b"}',
    "unknown escape": rb'["\q"]',
    "nested arrays": b"[" * 1_500 + b"]" * 1_500,
    "nested objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "nested below the limit of the decoder": b"[" * 800 + b"]" * 800,
    "integer of thousands of digits": HUGE,
    "float out of range": b'{"slots": 1e999}',
    "not a number": b'{"slots": NaN}',
    "infinity": b'{"slots": -Infinity}',
    "leading zero": b"007",
    "no JSON value": b"tru",
    "no value": b"",
}
UNREADABLE_METADATA = {
    "revision is text": b'{"name": "odd", "revision": "7"}',
    "revision is a fraction": b'{"name": "odd", "revision": 7.5}',
    "revision is null": b'{"name": "odd", "revision": null}',
    "revision is missing": b'{"name": "odd"}',
    "revision is negative": b'{"name": "odd", "revision": -1}',
    "revision of a later era": b'{"name": "odd", "revision": 1099511627776}',
    "revision of many digits": b'{"name": "odd", "revision": ' + HUGE + b"}",
    "nested member": b'{"name": "odd", "revision": 7, "x": '
    + b"[" * 2_000
    + b"]" * 2_000
    + b"}",
}
UNREADABLE_NAMES = {
    "lone surrogate": rb'{"name": "\ud83d", "revision": 7}',
    "no text": b'{"name": 5, "revision": 7}',
    "missing": b'{"revision": 7}',
    "metadata is null": b"null",
    "metadata is a list": b"[]",
    "a million characters": b'{"name": "' + b"x" * 1_000_000 + b'", "revision": 7}',
}


def complete(steps):
    """Run a generator to its end and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def decode_page(content, report):
    return complete(pages.decode_page(content, report))


def decode_events(content, report):
    return complete(pages.decode_events(content, report))


def decode_object(content, report):
    return complete(pages.decode_object(content, report))


def item(metadata, value):
    return b'{"metadata": ' + metadata + b', "specification": ' + value + b"}"


def page(*items):
    return b'{"items": [' + b",".join(items) + b'], "more": true, "at": 9}'


def events(*items, deleted=b"false"):
    texts = [
        b'{"object": ' + text + b', "deleted": ' + deleted + b"}" for text in items
    ]
    return b'{"at": 9, "events": [' + b",".join(texts) + b"]}"


def odd(value):
    return item(b'{"name": "odd", "revision": 7}', value)


@pytest.fixture
def reports():
    return []


@pytest.fixture
def report(reports):
    return lambda *details: reports.append(details)


def by_name(objects):
    return {o.metadata.name: (o.metadata.revision, o.specification) for o in objects}


good_text = json.dumps(GOOD).encode()
last_text = good_text.replace(b"good", b"last")
EXPECTED_GOOD = {"good": (5, {"x": 1}), "last": (5, {"x": 1})}


class TestUnreadableObject:
    @pytest.mark.parametrize("value", UNREADABLE_VALUES.values(), ids=UNREADABLE_VALUES)
    def test_value_leaves_the_others_of_a_page_readable(self, value, report, reports):
        decoded = decode_page(page(good_text, odd(value), last_text), report)
        assert by_name(decoded.items) == {
            **EXPECTED_GOOD,
            "odd": (7, UNREADABLE_VALUE),
        }
        assert (decoded.at, decoded.more) == (9, True)
        [(name, revision, cause)] = reports
        assert (name, revision) == ("odd", 7)
        assert cause

    @pytest.mark.parametrize("value", UNREADABLE_VALUES.values(), ids=UNREADABLE_VALUES)
    def test_value_leaves_the_other_events_readable(self, value, report):
        decoded = decode_events(events(good_text, odd(value), last_text), report)
        found = by_name(event.object for event in decoded.events)
        assert found == {**EXPECTED_GOOD, "odd": (7, UNREADABLE_VALUE)}
        assert decoded.at == 9
        assert not any(event.deleted for event in decoded.events)

    @pytest.mark.parametrize("value", UNREADABLE_VALUES.values(), ids=UNREADABLE_VALUES)
    def test_value_of_a_single_object_keeps_its_revision(self, value, report):
        decoded = decode_object(odd(value), report)
        assert by_name([decoded]) == {"odd": (7, UNREADABLE_VALUE)}

    @pytest.mark.parametrize(
        "metadata", UNREADABLE_METADATA.values(), ids=UNREADABLE_METADATA
    )
    def test_revision_is_replaced_by_that_of_the_response(self, metadata, report):
        """Guards against one object that raises the era of the whole fleet, too."""
        text = page(good_text, item(metadata, b'{"x": 2}'), last_text)
        found = by_name(decode_page(text, report).items)
        revision, value = found.pop("odd")
        assert found == EXPECTED_GOOD
        assert value == UNREADABLE_VALUE
        assert revision in (7, 9)
        text = events(good_text, item(metadata, b'{"x": 2}'))
        found = by_name(event.object for event in decode_events(text, report).events)
        assert found["odd"] == (revision, UNREADABLE_VALUE)

    @pytest.mark.parametrize(
        "metadata", UNREADABLE_NAMES.values(), ids=UNREADABLE_NAMES
    )
    def test_name_leaves_out_only_that_object(self, metadata, report, reports):
        text = page(good_text, item(metadata, b"{}"), last_text)
        assert by_name(decode_page(text, report).items) == EXPECTED_GOOD
        text = events(good_text, item(metadata, b"{}"), last_text)
        found = by_name(event.object for event in decode_events(text, report).events)
        assert found == EXPECTED_GOOD
        assert [name for name, _, _ in reports] == [None, None]

    @pytest.mark.parametrize("text", [b"null", b"5", b"[]", b'"text"', b"{}", b"x"])
    def test_that_is_no_object_is_left_out(self, text, report):
        assert by_name(decode_page(page(good_text, text), report).items) == {
            "good": (5, {"x": 1})
        }

    def test_deletion_of_an_unreadable_object_is_a_deletion(self, report):
        text = events(odd(UNREADABLE_VALUES["lone surrogate"]), deleted=b"true")
        [event] = decode_events(text, report).events
        assert event.deleted

    @pytest.mark.parametrize("deleted", [b"1", b"null", b'"\\ud83d"'])
    def test_event_of_an_unknown_type_is_an_unreadable_object(self, deleted, report):
        text = events(good_text, deleted=deleted)
        [event] = decode_events(text, report).events
        assert not event.deleted
        assert event.object.specification == UNREADABLE_VALUE


class TestReadableObject:
    @pytest.mark.parametrize(
        "value",
        [
            [[[[]]]],
            {"text": "[[[[{{{{" * 200},
            {"text": '\\"]}', "more": ["}", "\\"]},
            "x" * 1_000_000,
            10**30,
            -(10**30),
            None,
        ],
    )
    def test_stays_readable_beside_an_unreadable_one(self, value, report):
        text = json.dumps({**GOOD, "specification": value}).encode()
        decoded = decode_page(page(odd(rb'"\ud800"'), text), report)
        assert by_name(decoded.items)["good"] == (5, value)

    def test_last_of_two_equal_keys_counts(self, report, reports):
        decoded = decode_page(page(odd(b'{"a": 1, "a": 2}')), report)
        assert by_name(decoded.items) == {"odd": (7, {"a": 2})}
        assert not reports


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"null",
        b"[]",
        b"{}",
        b'{"items": {}, "at": 9}',
        b'{"items": [], "at": "9"}',
        b'{"items": []}',
        b'{"items": [{"a": 1}, "at": 9}',
        b'{"items": ["x], "at": 9}',
        b"[" * 100_000,
        page(good_text)[:-1],
    ],
)
def test_response_that_is_no_page_is_an_error(text, report):
    """Guards against taking a part of a listing for all of it."""
    with pytest.raises(ValueError):
        decode_page(text, report)
