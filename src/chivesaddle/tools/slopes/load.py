"""Fake engines and callers on loopback, in a separate process.

The separate process keeps their processor time out of the measured process. It first
prints the engines' ports as a JSON line. Each JSON line on standard input is a command
to run callers, after which it prints a line with all counts so far. It exits when
standard input is closed, or after `MAX_RUN_S`.
"""

import asyncio
import json
import sys
from collections import Counter
from typing import Any

import typer

from chivesaddle.tools.slopes.state import BEARER_KEY

TOKEN_INTERVAL_S = 0.026
MAX_RUN_S = 60.0
# Four blocks of 1,024 bytes.
PROMPT = "x" * 4_096
_LOAD_REPORT = {
    "running": 8,
    "queued": 0,
    "max_running": 64,
    "prefill_tokens_per_s": 8_000.0,
    "decode_tokens_per_s": 2_000.0,
    "queued_prefill_tokens": 0,
    "state": "serving",
    "age_ms": 20,
}
_RESPONSES_BY_PATH: dict[str, dict[str, Any]] = {
    "/load": _LOAD_REPORT,
    "/events": {"next": 0, "events": []},
    "/blocks": {"seq": 0, "block_keys": []},
    "/state": {"models": {"m0": ["v1"]}, "adapters": {}, "role": "serving", "fence": 0},
}
counts: Counter[str] = Counter()


class FakeEngine(asyncio.Protocol):
    """Answers state requests with fixed values; streams one token every 26 ms."""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the new connection."""
        self._transport = transport
        self._buffer = b""

    def data_received(self, data: bytes) -> None:
        """Answer each complete request."""
        counts["engine_bytes"] += len(data)
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, rest = self._buffer.partition(b"\r\n\r\n")
            header_lines = head.decode().lower().split("\r\n")
            content_lengths = [
                line for line in header_lines if line.startswith("content-length:")
            ]
            length = int(content_lengths[0].split(":")[1]) if content_lengths else 0
            if len(rest) < length:
                return
            self._buffer = rest[length:]
            counts["engine_requests"] += 1
            path = header_lines[0].split(" ")[1].partition("?")[0]
            if path in _RESPONSES_BY_PATH:
                self._send_json(json.dumps(_RESPONSES_BY_PATH[path]).encode())
            else:
                self._start_stream(json.loads(rest[:length]))

    def _send_json(self, body: bytes) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        response = head.encode() + body
        counts["engine_bytes"] += len(response)
        self._transport.write(response)

    def _start_stream(self, body: dict[str, Any]) -> None:
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        asyncio.get_running_loop().call_later(
            TOKEN_INTERVAL_S, self._send_token, body, 0
        )

    def _send_token(self, body: dict[str, Any], index: int) -> None:
        last = index + 1 == body["max_tokens"]
        event = token_event(body["request_id"], index, last=last)
        if last:
            event += b"data: [DONE]\n\n"
        self._transport.write(b"%x\r\n%s\r\n" % (len(event), event))
        if last:
            self._transport.write(b"0\r\n\r\n")
            return
        asyncio.get_running_loop().call_later(
            TOKEN_INTERVAL_S, self._send_token, body, index + 1
        )


def token_event(request_id: str, index: int, *, last: bool) -> bytes:
    """Return the server-sent event of one token."""
    payload: dict[str, Any] = {
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
        payload["usage"] = {"prompt_tokens": 1, "completion_tokens": index + 1}
    return b"data: " + json.dumps(payload).encode() + b"\n\n"


async def _run_caller(port: int, tokens: int, until: float) -> None:
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
        f"Authorization: Bearer {BEARER_KEY}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    while asyncio.get_running_loop().time() < until:
        writer.write(head.encode() + body)
        response = b""
        while not response.endswith(b"\r\n0\r\n\r\n"):
            data = await reader.read(65_536)
            if not data:
                raise ConnectionError(
                    f"Connection closed before the response ended: {response[-300:]!r}"
                )
            response += data
        if response.count(b'"token_index"') != tokens or b"[DONE]" not in response:
            raise ValueError(f"Response is incomplete: {response[-300:]!r}")
        counts["requests"] += 1
    writer.close()


async def _serve(engines: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(FakeEngine, "127.0.0.1", 0) for _ in range(engines)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    typer.echo(json.dumps(ports))
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        command = json.loads(line)
        until = loop.time() + command.get("seconds", 0)
        await asyncio.gather(
            *(
                _run_caller(command["port"], command["tokens"], until)
                for _ in range(command.get("callers", 0))
            )
        )
        typer.echo(json.dumps(counts))


def main(engines: int) -> None:
    """Run ``engines`` fake engines, each on its own port."""
    asyncio.run(asyncio.wait_for(_serve(engines), MAX_RUN_S))


if __name__ == "__main__":
    typer.run(main)
