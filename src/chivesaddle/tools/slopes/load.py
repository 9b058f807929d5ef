"""Engines and callers on loopback, in a process of their own.

Keeps the processor time of the other ends out of the measured process. Ports are
printed as JSON; each line read from standard input runs callers and is answered by a
line with their counts. Ends when standard input is closed or after `MAX_S`.
"""

import asyncio
import json
import sys
from collections import Counter
from typing import Any

import typer

from chivesaddle.tools.slopes.state import KEY

TOKEN_S = 0.026
MAX_S = 60.0
# Four blocks.
PROMPT = "x" * 4_096
_LOAD = {
    "running": 8,
    "queued": 0,
    "max_running": 64,
    "prefill_tokens_per_s": 8_000.0,
    "decode_tokens_per_s": 2_000.0,
    "queued_prefill_tokens": 0,
    "state": "serving",
    "age_ms": 20,
}
_ANSWERS: dict[str, dict[str, Any]] = {
    "/load": _LOAD,
    "/events": {"next": 0, "events": []},
    "/blocks": {"seq": 0, "block_keys": []},
    "/state": {"models": {"m0": ["v1"]}, "adapters": {}, "role": "serving", "fence": 0},
}
counts: Counter[str] = Counter()


class Engine(asyncio.Protocol):
    """Answers reads with fixed values and streams a token each 26 ms."""

    def connection_made(self, transport: Any) -> None:
        """Note the connection."""
        self._transport = transport
        self._data = b""

    def data_received(self, data: bytes) -> None:
        """Answer each whole request."""
        counts["engine_bytes"] += len(data)
        self._data += data
        while b"\r\n\r\n" in self._data:
            head, _, rest = self._data.partition(b"\r\n\r\n")
            lines = head.decode().lower().split("\r\n")
            lengths = [n for n in lines if n.startswith("content-length:")]
            length = int(lengths[0].split(":")[1]) if lengths else 0
            if len(rest) < length:
                return
            self._data = rest[length:]
            counts["engine_requests"] += 1
            path = lines[0].split(" ")[1].partition("?")[0]
            if path in _ANSWERS:
                self._answer(json.dumps(_ANSWERS[path]).encode())
            else:
                self._stream(json.loads(rest[:length]))

    def _answer(self, body: bytes) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        answer = head.encode() + body
        counts["engine_bytes"] += len(answer)
        self._transport.write(answer)

    def _stream(self, body: dict[str, Any]) -> None:
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        asyncio.get_running_loop().call_later(TOKEN_S, self._token, body, 0)

    def _token(self, body: dict[str, Any], index: int) -> None:
        last = index + 1 == body["max_tokens"]
        event = chunk(body["request_id"], index, last=last)
        if last:
            event += b"data: [DONE]\n\n"
        self._transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        if last:
            self._transport.write(b"0\r\n\r\n")
            return
        asyncio.get_running_loop().call_later(TOKEN_S, self._token, body, index + 1)


def chunk(request_id: str, index: int, *, last: bool) -> bytes:
    """Return the event of one token."""
    value: dict[str, Any] = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": 1,
        "model": "m0",
        "token_index": index,
        "choices": [
            {
                "index": 0,
                "delta": {"content": " word"},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    if last:
        value["usage"] = {"prompt_tokens": 1, "completion_tokens": index + 1}
    return b"data: " + json.dumps(value).encode() + b"\n\n"


async def _caller(port: int, tokens: int, until: float) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = json.dumps(
        {
            "model": "m0",
            "messages": [{"role": "user", "content": PROMPT}],
            "stream": True,
            "max_tokens": tokens,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: daemon\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    while asyncio.get_running_loop().time() < until:
        writer.write(head.encode() + body)
        answer = b""
        while not answer.endswith(b"\r\n0\r\n\r\n"):
            part = await reader.read(65_536)
            if not part:
                raise ConnectionError(f"Answer cut after {answer[-300:]!r}")
            answer += part
        if answer.count(b'"token_index"') != tokens or b"[DONE]" not in answer:
            raise ValueError(f"Answer is not complete: {answer[-300:]!r}")
        counts["requests"] += 1
    writer.close()


async def _serve(engines: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Engine, "127.0.0.1", 0) for _ in range(engines)]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    typer.echo(json.dumps(ports))
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        order = json.loads(line)
        until = loop.time() + order.get("seconds", 0)
        await asyncio.gather(
            *(
                _caller(order["port"], order["tokens"], until)
                for _ in range(order.get("callers", 0))
            )
        )
        typer.echo(json.dumps(counts))


def main(engines: int) -> None:
    """Serve ``engines`` engines, each on a port of its own."""
    asyncio.run(asyncio.wait_for(_serve(engines), MAX_S))


if __name__ == "__main__":
    typer.run(main)
