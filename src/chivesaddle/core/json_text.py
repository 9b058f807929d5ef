"""Splits JSON text that a decoder refuses, so that its readable parts can be used.

The functions find where the members of one array or object begin and end, by strings
and brackets alone and without recursion. What lies in between is not looked at: it may
be nested to any depth, or hold numbers and text that no decoder accepts.

Text of a megabyte is read within one turn of the daemon's event loop. So no step is
taken in Python for each string, bracket or part: text is translated, replaced and split
as a whole, and levels of nesting are added up for many bytes at once, as the bytes of
one large integer.
"""

import re
from array import array
from collections.abc import Iterable
from itertools import accumulate

import msgspec

_KEY = re.compile(rb'\s*+("(?:[^"\\]++|\\.)*+")\s*+:\s*+', re.DOTALL)
_DECODE_KEY = msgspec.json.Decoder(str).decode
_WHITESPACE = b" \t\n\r\x0b\f"


def _table(symbols: dict[bytes, bytes], other: bytes) -> bytes:
    """Return a table for ``bytes.translate``."""
    table = bytearray(other * 256)
    for characters, symbol in symbols.items():
        for byte in characters:
            table[byte] = symbol[0]
    return bytes(table)


# Text is translated to one symbol a byte: "(" and ")" stand for both kinds of
# brackets, "e" for a quote after an odd number of backslashes, "0" for all that
# separates nothing.
_SYMBOLS = _table(
    {b"[{": b"(", b"]}": b")", b",": b",", b'"': b'"', b"\\": b"\\"}, b"0"
)
_IS_QUOTE = _table({b'"': b"\1"}, b"\0")
_IS_ESCAPED_QUOTE = _table({b"e": b"\1"}, b"\0")
_IS_COMMA = _table({b",": b"\1"}, b"\0")
_NO_BRACKETS = bytes(set(range(256)) - set(b"()"))

# Levels of nesting are added up by blocks. A block's changes, and the level before it,
# of which at most `_MAX_BASE` is used, fit into a byte together.
_BLOCK_BYTES = 32
_MAX_BASE = 255 - 2 * _BLOCK_BYTES
_MAX_COUNTED_LEVEL = _MAX_BASE - _BLOCK_BYTES - 1
# Levels are stored as bytes higher by this, since some text has levels below 0.
_LEVEL_0 = _BLOCK_BYTES
# Larger integers do not fit into the processor's cache.
_CHUNK_BYTES = 65_536
_CHUNK_BLOCKS = _CHUNK_BYTES // _BLOCK_BYTES
# Up to this length, adding up one by one is faster.
_SHORT_BYTES = 512
# Changes of the level by symbol; the unsigned ones are higher by 1.
_SIGNED_CHANGES = _table({b"(": b"\1", b")": b"\xff"}, b"\0")
_CHANGES = _table({b"(": b"\2", b")": b"\0"}, b"\1")
_SIGNED_SUMS = bytes((total - _BLOCK_BYTES) % 256 for total in range(256))
_LIMITED_BASES = bytes(min(base, _MAX_BASE) for base in range(256))
# By distance, the bytes that lie at least that far from the begin of their block.
_MASKS_BY_DISTANCE = {
    distance: int.from_bytes(
        (bytes(distance) + b"\xff" * (_BLOCK_BYTES - distance)) * _CHUNK_BLOCKS,
        "little",
    )
    for distance in (1, 2, 4, 8, 16)
}
# By position in a block, by how much the sum of the unsigned changes must be raised to
# be higher by `_LEVEL_0` than that of the signed ones.
_RAMP = bytes(range(_BLOCK_BYTES - 1, -1, -1)) * _CHUNK_BLOCKS
_IS_LEVEL_1 = _table({bytes([_LEVEL_0 + 1]): b"\1"}, b"\0")


def nests_at_most(text: bytes, levels: int) -> bool:
    """Return whether arrays and objects in JSON text are nested no deeper.

    Examples
    --------
    >>> nests_at_most(b'{"a": [1, {}]}', 3), nests_at_most(b'{"a": [1, {}]}', 2)
    (True, False)
    >>> nests_at_most(b'["[[[[["]', 1)
    True
    """
    brackets = _brackets(_symbols(text))
    # The innermost brackets are removed while they are a good part of the text.
    remaining = levels
    length = len(brackets)
    while brackets and remaining and len(brackets) <= length:
        length = len(brackets) * 3 // 4
        brackets = brackets.replace(b"()", b"")
        remaining -= 1
    if not brackets or not remaining or b"(" * (remaining + 1) in brackets:
        return not brackets
    if remaining > _MAX_COUNTED_LEVEL:
        exact = list(accumulate(array("b", brackets.translate(_SIGNED_CHANGES))))
        return min(exact) == exact[-1] == 0 and max(exact) <= remaining
    found = _running_levels(brackets)
    allowed = bytes(range(_LEVEL_0, _LEVEL_0 + remaining + 1))
    return not found.translate(None, allowed) and found[-1] == _LEVEL_0


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
    return read_members(object_members(text))


def object_members(text: bytes) -> list[bytes]:
    """Return the text of each member of an object; raises `ValueError` if it is none.

    Examples
    --------
    >>> object_members(b'{"a": [1], "b": 1e999}')
    [b'"a": [1]', b'"b": 1e999']
    """
    return _split(text, b"{")


def read_members(members: Iterable[bytes]) -> dict[str, bytes]:
    """Return the text of each value of some members of an object by key.

    Members whose keys cannot be decoded are left out; of equal keys, the last counts.

    Examples
    --------
    >>> read_members([b'"a": [1]', b'"b": 1e999', b'"a":', b'1'])
    {'a': b'', 'b': b'1e999'}
    """
    values = {}
    for key in filter(None, map(_KEY.match, filter(None, members))):
        try:
            name = _DECODE_KEY(key[1])
        except ValueError:
            continue
        values[name] = key.string[key.end() :]
    return values


def _brackets(symbols: bytes) -> bytes:
    """Return the brackets outside of strings."""
    if b"e" not in symbols:
        # Between two quotes in a row is nothing, whether a string begins or ends there.
        brackets = symbols.translate(None, b"0,\\").replace(b'""', b"")
        if b'"' not in brackets:
            return brackets
    within = _within_strings(symbols)
    outline = _outside(symbols, within)
    if within.endswith(b"\1"):
        # What follows a quote that is not closed is no string.
        begin = within.rfind(b"\0") + 1
        outline = outline[:begin] + symbols[begin:]
    return outline.translate(None, _NO_BRACKETS)


def _outside(symbols: bytes, within: bytes) -> bytes:
    """Return symbols of equal length, all of them 0 bytes within strings."""
    outside = _integer(symbols) & ~(_integer(within) * 0xFF)
    return outside.to_bytes(len(symbols), "little")


def _split(text: bytes, opening: bytes) -> list[bytes]:
    """Return the parts between the commas of the outermost array or object.

    Both kinds of brackets count alike; those of a malformed member need not match.
    """
    text = text.strip()
    if not text.startswith(opening):
        raise ValueError(f"Text does not begin with {opening.decode()}")
    outline = _symbols(text)
    if b'"' in outline or b"e" in outline:
        within = _within_strings(outline)
        if within.endswith(b"\1"):
            raise ValueError("A string is not closed")
        outline = _outside(outline, within)
    levels = _running_levels(outline)
    end = levels.find(_LEVEL_0)
    if end < 0:
        raise ValueError("A bracket is not closed")
    if end != len(text) - 1:
        raise ValueError("Text goes on after its end")
    cuts = _integer(levels.translate(_IS_LEVEL_1))
    cuts &= _integer(outline.translate(_IS_COMMA))
    parts = _cut(text, cuts)
    if len(text.translate(None, _WHITESPACE)) != len(text):
        parts = list(map(bytes.strip, parts))
    return parts if len(parts) > 1 or parts[0] else []


def _cut(text: bytes, cuts: int) -> list[bytes]:
    """Return the parts of a text between its first and last byte.

    ``cuts`` has a byte of 1 for each comma that separates two parts. These commas are
    replaced by another byte, at which the text is split. Parts that contain this byte
    themselves are joined again.
    """
    mark = _rarest_byte(text)
    separator = bytes([mark])
    marked = _integer(text) ^ (cuts * (mark ^ ord(",")))
    parts = marked.to_bytes(len(text), "little")[1:-1].split(separator)
    if mark not in text[1:-1]:
        return parts
    # For each separator, 1 if it is a cut, 2 if it belongs to a part.
    kinds = cuts | _integer(text.translate(_table({separator: b"\2"}, b"\0")))
    kinds_text = kinds.to_bytes(len(text), "little")[1:-1].translate(None, b"\0")
    joined: list[bytes] = []
    begin = 0
    for run in re.finditer(b"\2+", kinds_text):
        joined += parts[begin : run.start()]
        begin = run.end() + 1
        joined.append(separator.join(parts[run.start() : begin]))
    return joined + parts[begin:]


def _rarest_byte(text: bytes) -> int:
    """Return a byte other than a comma that occurs no more often than on average."""
    # UTF-8 does not use it.
    if 0xFF not in text:
        return 0xFF
    text = text.translate(None, b",")
    candidates = bytes(byte for byte in range(256) if byte != ord(","))
    while len(candidates) > 1:
        middle = len(candidates) // 2
        low, high = candidates[:middle], candidates[middle:]
        in_low, in_high = text.translate(None, high), text.translate(None, low)
        is_low = len(in_low) * len(high) <= len(in_high) * len(low)
        candidates, text = (low, in_low) if is_low else (high, in_high)
    return candidates[0]


def _symbols(text: bytes) -> bytes:
    symbols = text.translate(_SYMBOLS)
    if b"\\" in symbols and b'"' in symbols:
        symbols = symbols.replace(rb"\\", b"00").replace(rb"\"", b"0e")
    return symbols


def _within_strings(symbols: bytes) -> bytes:
    """Return 1 for each symbol within a string, its first quote included, else 0."""
    chunks = []
    is_within = False
    for begin in range(0, len(symbols), _CHUNK_BYTES):
        chunk = _chunk_within_strings(symbols[begin : begin + _CHUNK_BYTES], is_within)
        chunks.append(chunk)
        is_within = chunk[-1] == 1
    return b"".join(chunks)


def _chunk_within_strings(symbols: bytes, is_within: bool) -> bytes:
    # The first symbol is the highest byte, so that a shift to the right is one to later
    # symbols. After shifts by 1, 2, 4 ..., a byte depends on the last 2, 4, 8 ... ones.
    size = len(symbols)
    shifts = [8 << power for power in range((size - 1).bit_length())]
    within = int.from_bytes(symbols.translate(_IS_QUOTE))
    for shift in shifts:
        within ^= within >> shift
    if is_within:
        within ^= int.from_bytes(b"\1" * size)
    escaped = 0
    if b"e" in symbols:
        escaped = int.from_bytes(symbols.translate(_IS_ESCAPED_QUOTE))
    if escaped & ~within:
        # A backslash outside of strings escapes nothing. After an escaped quote, all is
        # within a string, up to an odd number of quotes since then.
        known = escaped
        at_last_escaped = escaped & within
        for shift in shifts:
            at_last_escaped |= (at_last_escaped >> shift) & ~known
            known |= known >> shift
        within ^= known & ~at_last_escaped
    return within.to_bytes(size)


def _running_levels(symbols: bytes) -> bytes:
    """Return the level of nesting after each symbol, plus `_LEVEL_0`.

    Levels are exact up to `_MAX_COUNTED_LEVEL`, and until they first fall below 0; any
    higher level is given as some level above `_MAX_COUNTED_LEVEL`.
    """
    if len(symbols) <= _SHORT_BYTES:
        changes = array("b", symbols.translate(_SIGNED_CHANGES))
        try:
            return bytes(accumulate(changes, initial=_LEVEL_0))[1:]
        except ValueError:
            # Some level does not fit into a byte.
            pass
    unsigned_changes = symbols.translate(_CHANGES)
    chunks = []
    base = 0
    for begin in range(0, len(unsigned_changes), _CHUNK_BYTES):
        chunk = unsigned_changes[begin : begin + _CHUNK_BYTES]
        levels, base = _chunk_levels(chunk, base)
        chunks.append(levels)
    return b"".join(chunks)


def _chunk_levels(changes: bytes, base: int) -> tuple[bytes, int]:
    """Return the levels within a chunk that begins at a level, and the last level."""
    length = len(changes)
    size = -(-length // _BLOCK_BYTES) * _BLOCK_BYTES
    sums = _integer(changes.ljust(size, b"\1"))
    # After distances of 1, 2, 4 ..., a byte is the sum of the last 2, 4, 8 ... changes.
    for distance, mask in _MASKS_BY_DISTANCE.items():
        sums += (sums << 8 * distance) & mask
    totals = sums.to_bytes(size, "little")[_BLOCK_BYTES - 1 :: _BLOCK_BYTES]
    *bases, last = accumulate(array("b", totals.translate(_SIGNED_SUMS)), initial=base)
    limited_bases = _limit(bases)
    spread = bytearray(size)
    for position in range(_BLOCK_BYTES):
        spread[position::_BLOCK_BYTES] = limited_bases
    sums += _integer(spread) + _integer(_RAMP[:size])
    return sums.to_bytes(size, "little")[:length], last


def _limit(bases: list[int]) -> bytes:
    try:
        return bytes(bases).translate(_LIMITED_BASES)
    except ValueError:
        return bytes([min(max(base, 0), _MAX_BASE) for base in bases])


def _integer(text: bytes | bytearray) -> int:
    return int.from_bytes(text, "little")


__all__ = [
    "nests_at_most",
    "object_members",
    "read_members",
    "split_array",
    "split_object",
]
