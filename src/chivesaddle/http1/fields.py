"""Header fields of requests and responses."""

# (name, value) pairs with names in lower case, in the order received.
HeaderList = list[tuple[bytes, bytes]]


def header_value(items: HeaderList, name: bytes) -> str | None:
    """Return the first value of the header ``name`` (in lower case), or None.

    Examples
    --------
    >>> header_value([(b"host", b"a"), (b"host", b"b")], b"host")
    'a'
    """
    for key, value in items:
        if key == name:
            return value.decode("latin-1")
    return None


__all__ = ["HeaderList", "header_value"]
