"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins and the clients."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

MAX_HEAD_BYTES = 65_536


class Broken(Exception):
    """The connection ended or was reset before a whole message had arrived."""


@dataclass
class Message:
    """A request or a response; names of headers are lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def path(self) -> str:
        """Path of a request, without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Query of a request."""
        parsed = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[0] for name, values in parsed.items()}

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Read one message; None if the peer closed before its first byte.

    A response without length and chunks ends with its connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("closed inside a head") from None
        return None
    except OSError as error:
        raise Broken(repr(error)) from None
    lines = head.decode("latin-1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            message.headers[name.strip().lower()] = value.strip()
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        elif "content-length" in message.headers:
            size = int(message.headers["content-length"])
            message.body = await reader.readexactly(size)
        elif is_response:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Broken(repr(error)) from None
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def encode_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message:
    """Send one request on a connection of its own and return the response.

    Raises `Broken`, `OSError` or `TimeoutError`.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = {"Host": address, **(headers or {})}
            fields["Content-Length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            response = await read_message(reader, is_response=True)
        finally:
            writer.close()
    if response is None:
        raise Broken("closed without a response")
    return response


async def call_json(
    address: str, method: str, target: str, value: Any = None, timeout_s: float = 5.0
) -> tuple[int, Any]:
    """Call with a JSON body; return the status and the decoded response."""
    body = b"" if value is None else json.dumps(value).encode()
    response = await call(address, method, target, body=body, timeout_s=timeout_s)
    decoded = json.loads(response.body) if response.body else None
    return response.status, decoded
