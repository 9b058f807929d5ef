"""Stand-in of a runner: ``python3 runner.py SETTINGS.json``.

It registers itself in the store, runs requests after ``work_ms``, takes weight orders,
and appends a JSON line for each run, end and order to its log, with the time of the
steady clock, which all processes of a machine share.
"""

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path
from typing import Any

from httpio import Broken, Message, call_json, encode_response, read_message

REGISTER_INTERVAL_S = 0.5
DEFAULT_WORK_MS = 20
LOAD_S = 0.4
KV_WAIT_S = 0.9


class Runner:
    """One runner of a service."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.id: str = settings["id"]
        self.address: str = settings["address"]
        self.store: str = settings["store"]
        self.entry: dict[str, Any] = settings["entry"]
        self.work_s: float = settings.get("work_ms", DEFAULT_WORK_MS) / 1_000
        self.log_path = Path(settings["log"])
        # Paths with this prefix are answered with a stream of so many events.
        self.stream_prefix: str | None = settings.get("stream_prefix")
        self.events: int = settings.get("events", 0)
        self.event_s: float = settings.get("event_ms", 0) / 1_000
        # Whether streams have neither a length nor chunks and end with their channel.
        self.is_unframed: bool = settings.get("unframed", False)
        self.sequence = 0
        self.is_busy = False
        self.running = 0

    def record(self, event: str, **fields: Any) -> None:
        """Append an event to the log."""
        line = {"at": time.monotonic(), "runner": self.id, "event": event, **fields}
        with self.log_path.open("a") as log:
            log.write(json.dumps(line) + "\n")

    async def keep_registered(self) -> None:
        """Write the entry, and again whenever it differs from what it should be."""
        while True:
            with contextlib.suppress(Broken, OSError, TimeoutError, ValueError):
                await self.register()
            await asyncio.sleep(REGISTER_INTERVAL_S)

    async def register(self) -> None:
        """Write the entry unless the store has it."""
        path = f"/objects/servers/{self.id}"
        status, item = await call_json(self.store, "GET", path, timeout_s=1.0)
        body = {"metadata": {"name": self.id}, "specification": self.entry}
        if status == 404:
            await call_json(self.store, "POST", "/objects/servers", body, 1.0)
        elif status == 200 and item["specification"] != self.entry:
            await call_json(self.store, "PUT", path, body, 1.0)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        try:
            while (request := await read_message(reader)) is not None:
                if self.is_stream(request):
                    await self.stream(request, writer)
                    if self.is_unframed:
                        break
                else:
                    writer.write(await self.handle(request))
                await writer.drain()
        except (Broken, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, request: Message) -> bytes:
        """Handle one request; return the response."""
        headers = {"X-Chivesaddle-Instance": self.id}
        attempt = request.headers.get("x-chivesaddle-attempt-identifier")
        if attempt is not None:
            headers["X-Chivesaddle-Attempt-Identifier"] = attempt
        expected = request.headers.get("x-chivesaddle-expected-instance")
        if expected not in (None, self.id):
            return encode_response(421, b"", headers)
        match request.path:
            case "/control/drain":
                self.entry = {**self.entry, "state": "draining"}
                await self.register()
                return encode_response(200)
            case "/report":
                return encode_response(200, json.dumps(self.report()).encode())
            case "/order":
                return encode_response(self.take_order(json.loads(request.body)))
            case "/kv-events" | "/kv-list":
                await asyncio.sleep(KV_WAIT_S if request.path == "/kv-events" else 0)
                empty = {"boot_epoch": 1, "next_token": 0, "lost": False}
                content = {**empty, "events": [], "held": []}
                return encode_response(200, json.dumps(content).encode())
            case "/health":
                return encode_response(200, b"", headers)
        return await self.run(request, attempt or "", headers)

    def is_stream(self, request: Message) -> bool:
        """Return whether a request is answered with a stream by this runner."""
        expected = request.headers.get("x-chivesaddle-expected-instance")
        prefix = self.stream_prefix
        return (
            prefix is not None
            and request.path.startswith(prefix)
            and expected in (None, self.id)
        )

    async def stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request and write its events as they are made."""
        attempt = request.headers.get("x-chivesaddle-attempt-identifier", "")
        self.record("run", id=attempt, path=request.path)
        head = [
            "HTTP/1.1 200 -",
            "Content-Type: text/event-stream",
            "Connection: close" if self.is_unframed else "Transfer-Encoding: chunked",
            f"X-Chivesaddle-Attempt-Identifier: {attempt}",
            f"X-Chivesaddle-Server-Signature: {self.id}.{attempt}",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        self.running += 1
        number = 0
        try:
            for number in range(1, self.events + 1):
                await asyncio.sleep(self.event_s)
                event = f"id: {number}\ndata: token {number} of {attempt}\n\n".encode()
                if not self.is_unframed:
                    event = b"%x\r\n%b\r\n" % (len(event), event)
                writer.write(event)
                await writer.drain()
            if not self.is_unframed:
                writer.write(b"0\r\n\r\n")
            self.record("end", id=attempt)
        except OSError as error:
            self.record("cut", id=attempt, events=number, cause=repr(error))
            raise
        finally:
            self.running -= 1

    async def run(
        self, request: Message, attempt: str, headers: dict[str, str]
    ) -> bytes:
        """Run a request and return its response."""
        self.record("run", id=attempt, path=request.path)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers["X-Chivesaddle-Server-Signature"] = f"{self.id}.{attempt}"
        self.record("end", id=attempt)
        return encode_response(200, f"{self.id}:{attempt}".encode(), headers)

    def report(self) -> dict[str, Any]:
        """Return the runner's report of itself."""
        return {
            "stage": "both",
            "models": self.entry.get("models", []),
            "busy": self.is_busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 99_503,
            "handles": 0,
            "clock_ms": int(time.monotonic() * 1_000),
        }

    def take_order(self, order: dict[str, Any]) -> int:
        """Accept or refuse an order; return the status."""
        self.record("order", **order)
        if not order.get("holder") or order.get("fencing_token") is None:
            return 400
        models = {m["name"]: m["version"] for m in self.entry.get("models", [])}
        if models.get(order["model"]) == order["version"]:
            return 200
        if self.is_busy or order.get("precondition", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.is_busy = True
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_S, self.finish_order, order["model"], order["version"])
        return 202

    def finish_order(self, model: str, version: int) -> None:
        """Run the ordered version from now on."""
        self.is_busy = False
        models = [m for m in self.entry["models"] if m["name"] != model]
        models.append({"name": model, "version": version, "adapters": []})
        self.entry = {**self.entry, "models": models}


async def main(path: str) -> None:
    """Serve until the process is stopped."""
    runner = Runner(json.loads(Path(path).read_text()))
    host, _, port = runner.address.rpartition(":")
    server = await asyncio.start_server(runner.serve, host, int(port), backlog=512)
    async with server:
        await runner.keep_registered()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
