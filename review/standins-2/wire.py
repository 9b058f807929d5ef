"""HTTP/1.1 on asyncio streams, as far as the stand-ins of this review need it."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


@dataclass
class Message:
    """A request or a response that was read.

    Attributes
    ----------
    start : str
        Request line or status line.
    is_whole : bool
        Whether the body ended as its framing says.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True
    framing: str = "none"

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ", 2)[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]


@dataclass
class Pace:
    """How fast a body is read; 0 reads without a limit."""

    bytes_per_s: float = 0.0
    taken: int = field(default=0)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None if the connection ended before it."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_exactly(
    reader: asyncio.StreamReader, size: int, pace: Pace | None = None
) -> bytes:
    """Read so many bytes, at a limited rate if ``pace`` names one."""
    if pace is None or not pace.bytes_per_s:
        return await reader.readexactly(size)
    pieces, left = [], size
    while left:
        piece = await reader.read(min(left, 8_192))
        if not piece:
            raise asyncio.IncompleteReadError(b"".join(pieces), size)
        pieces.append(piece)
        left -= len(piece)
        await asyncio.sleep(len(piece) / pace.bytes_per_s)
    return b"".join(pieces)


async def read_body(
    reader: asyncio.StreamReader, message: Message, pace: Pace | None = None
) -> None:
    """Read the body of a message; ``is_whole`` tells whether it ended as framed."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            message.framing = "chunks"
            message.is_whole = False
            while size := int((await reader.readline()).split(b";")[0] or b"-1", 16):
                if size < 0:
                    return
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
            message.is_whole = True
        elif "content-length" in message.headers:
            message.framing = "length"
            message.is_whole = False
            size = int(message.headers["content-length"])
            message.body = await read_exactly(reader, size, pace)
            message.is_whole = True
        elif message.start.startswith("HTTP/"):
            message.framing = "connection"
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
    except (ConnectionError, ValueError):
        message.is_whole = False


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a whole response with its length."""
    lines = [f"HTTP/1.1 {status} {'OK' if status < 400 else 'Error'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return a whole request with its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
