"""Fast decoding of chunked response bodies, in front of h11."""

import re

import h11

# What h11 also accepts, such as extensions, longer sizes and the last chunk with its
# trailers, is left to h11.
_CHUNK_SIZE = re.compile(rb"(?=[0-9A-Fa-f]{0,15}[1-9A-Fa-f])([0-9A-Fa-f]{1,16})\r\n")
_BEGIN_OF_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{0,16}\r?")


class ChunkDecoder:
    r"""Extracts body bytes up to the first chunk that is not plain.

    h11 takes three events for each chunk. This decoder stands at a boundary of chunks
    whenever it stops, as does h11 after the head, so h11 can parse the rest.

    Examples
    --------
    >>> decoder = ChunkDecoder()
    >>> decoder.feed(b"3\r\nabc\r\n2\r\nd")
    (b'abcd', None)
    >>> decoder.feed(b"e\r\n0\r\n\r\n")
    (b'e', b'0\r\n\r\n')
    """

    def __init__(self) -> None:
        self._remaining = 0
        # Of the line end after the data of a chunk, what has not arrived yet.
        self._line_end = b""
        self._begin_of_size = b""

    def feed(self, data: bytes) -> tuple[bytes, bytes | None]:
        """Return the body bytes in ``data``, and the rest that h11 has to parse.

        The rest is None while there is none; after it, the decoder must not be used.

        Raises
        ------
        MalformedChunk
            If the data of a chunk is not followed by a line end.
        """
        if self._begin_of_size:
            data, self._begin_of_size = self._begin_of_size + data, b""
        pieces: list[bytes] = []
        position, end = 0, len(data)
        while position < end:
            if self._remaining:
                piece = data[position : position + self._remaining]
                pieces.append(piece)
                position += len(piece)
                self._remaining -= len(piece)
                if not self._remaining:
                    self._line_end = b"\r\n"
            elif self._line_end:
                found = data[position : position + len(self._line_end)]
                if not self._line_end.startswith(found):
                    raise MalformedChunk(b"".join(pieces), found)
                position += len(found)
                self._line_end = self._line_end[len(found) :]
            elif size := _CHUNK_SIZE.match(data, position):
                self._remaining = int(size[1], 16)
                position = size.end()
            else:
                rest = data[position:]
                if _BEGIN_OF_CHUNK_SIZE.fullmatch(rest) is None:
                    return b"".join(pieces), rest
                self._begin_of_size = rest
                break
        return b"".join(pieces), None


class MalformedChunk(h11.RemoteProtocolError):
    """The data of a chunk is not followed by a line end.

    Attributes
    ----------
    body : bytes
        Body bytes before it.
    """

    def __init__(self, body: bytes, found: bytes) -> None:
        super().__init__(f"malformed chunk footer: {found!r}")
        self.body = body


__all__ = ["ChunkDecoder", "MalformedChunk"]
