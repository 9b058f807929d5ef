"""Events are the same as with a search of all received bytes."""

import re

from hypothesis import given, settings
from hypothesis import strategies as st

from chivesaddle.forwarding.events import EventSplitter

PIECES = [b"\n", b"\r", b"\n\n", b"\r\n\r\n", b"id:", b"id: 7", b" ", b"a", b"data: x"]


def split_plainly(data, found_before):
    """Return the bytes up to the last boundary of all data, and the last id of them."""
    end = found_before
    for boundary in re.finditer(rb"\r?\n\r?\n|\r\r", data[found_before:]):
        end = found_before + boundary.end()
    ids = re.findall(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)", data[found_before:end])
    return end, ids[-1].decode() if ids else None


@settings(derandomize=True, max_examples=2_000, deadline=None)
@given(st.lists(st.lists(st.sampled_from(PIECES), min_size=1, max_size=6), max_size=6))
def test_events_and_ids_are_those_of_a_search_of_all_bytes(chunks):
    """Guards against a chunk of whole events that is split elsewhere, or loses an id.

    A resumed stream would then repeat or miss events.
    """
    splitter, data, end, last_id = EventSplitter(), b"", 0, None
    for chunk in map(b"".join, chunks):
        data += chunk
        new_end, new_id = split_plainly(data, end)
        assert splitter.feed(chunk) == data[end:new_end]
        end, last_id = new_end, last_id if new_id is None else new_id
        assert (splitter.last_id, splitter.remainder) == (last_id, data[end:])
