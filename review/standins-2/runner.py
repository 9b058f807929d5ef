"""Stand-in of a runner: ``python3 runner.py IP:PORT ID SOFTWARE [LOG]``.

It runs a request as soon as it has read it. Targets with ``/stream/`` in them are
answered with events that have ids from 1 on, and are resumed behind ``Last-Event-Id``;
all others with a short body. A request whose target has ``/deadly/`` in it ends the
process once it has begun to run; ``LOG`` gets its id before that.

``PUT /control`` sets the fields of `Behaviour`, ``GET /control`` returns the runs. Both
are calls of the test, not of the platform.
"""

import asyncio
import json
import os
import socket
import struct
import sys
import time
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import wire

# Time after which a request that crashes runners does so.
CRASH_AFTER_S = 0.05


@dataclass
class Behaviour:
    """What the test has set.

    Attributes
    ----------
    full : bool
        Whether there is no room, so that each request is turned away as not run.
    work_s : float
        Time for which a request runs before its body, or its first event, is sent. The
        head of a stream is sent at once.
    event_s, events : float, int
        Time between events, and their number.
    read_bytes_per_s : float
        Rate at which bodies are read; 0 for no limit.
    lost_share : float
        Share of the requests, by their ids, that run while their answer is lost: the
        connection is reset.
    cut_off : list of str
        IP addresses of machines that are partitioned from the runner: their connections
        are reset.
    """

    full: bool = False
    work_s: float = 0.02
    event_s: float = 0.1
    events: int = 20
    read_bytes_per_s: float = 0.0
    lost_share: float = 0.0
    cut_off: list[str] = field(default_factory=list)


class Runner:
    """Answers requests and records those that it ran."""

    def __init__(self, identifier: str, software: str, log: str = "") -> None:
        self._log = log
        self.identifier = identifier
        self.software = software
        self.behaviour = Behaviour()
        self.runs: list[dict[str, Any]] = []
        self.heads: list[str] = []
        self.writers: dict[asyncio.StreamWriter, str] = {}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        peer = writer.get_extra_info("peername")[0]
        self.writers[writer] = peer
        try:
            if peer in self.behaviour.cut_off:
                reset(writer)
                return
            while (request := await wire.read_head(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def answer(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the connection may carry another."""
        identifier = request.headers.get("x-chivesaddle-attempt-identifier", "")
        if request.target == "/control":
            await self.control(request, reader, writer)
            return True
        named = {"X-Chivesaddle-Instance": self.identifier}
        if request.target == "/health":
            writer.write(wire.encode_response(200, named))
            return True
        own = named | {
            "X-Chivesaddle-Attempt-Identifier": identifier,
            "Keep-Alive": "timeout=10",
        }
        expected = request.headers.get("x-chivesaddle-expected-instance")
        self.heads.append(identifier)
        pace = wire.Pace(self.behaviour.read_bytes_per_s)
        await wire.read_body(reader, request, pace)
        if not request.is_whole:
            return False
        if expected not in (None, self.identifier):
            writer.write(wire.encode_response(421, own))
            return True
        if self.behaviour.full:
            refused = own | {"X-Chivesaddle-Not-Executed": "1"}
            writer.write(wire.encode_response(503, refused))
            return True
        run = {
            "id": identifier,
            "at": time.time(),
            "after": request.headers.get("last-event-id"),
            "tenant": request.headers.get("x-chivesaddle-tenant"),
            "is_done": False,
        }
        self.runs.append(run)
        if "/deadly/" in request.target:
            with Path(self._log).open("a") as file:
                print(time.time(), self.identifier, identifier, file=file)
            await asyncio.sleep(CRASH_AFTER_S)
            os._exit(1)
        mark = zlib.crc32(f"{identifier}/{self.identifier}".encode()) % 1_000
        if mark < 1_000 * self.behaviour.lost_share:
            await asyncio.sleep(self.behaviour.work_s)
            reset(writer)
            return False
        own["X-Chivesaddle-Server-Signature"] = f"{self.identifier}.{identifier}"
        if "/stream/" in request.target:
            await self.stream(run, own, writer)
        else:
            await asyncio.sleep(self.behaviour.work_s)
            body = json.dumps({"run": identifier, "by": self.identifier}).encode()
            writer.write(wire.encode_response(200, own, body))
        run["is_done"] = True
        return True

    async def stream(
        self, run: dict[str, Any], headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Write the events that follow the last one that the client has."""
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode("latin-1"))
        await writer.drain()
        await asyncio.sleep(self.behaviour.work_s)
        first = int(run["after"] or 0) + 1
        for number in range(first, self.behaviour.events + 1):
            data = f"{self.software} {self.identifier}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.behaviour.event_s)
        writer.write(b"0\r\n\r\n")

    async def control(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Set the behaviour, or report the runs."""
        await wire.read_body(reader, request)
        if request.method == "PUT":
            for name, value in json.loads(request.body).items():
                setattr(self.behaviour, name, value)
            for other, peer in list(self.writers.items()):
                if peer in self.behaviour.cut_off:
                    reset(other)
        body = json.dumps({"runs": self.runs, "heads": self.heads}).encode()
        writer.write(wire.encode_response(200, {}, body))


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        linger = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def main(address: str, identifier: str, software: str, log: str = "") -> None:
    """Serve until the process is killed."""
    host, _, port = address.rpartition(":")
    runner = Runner(identifier, software, log)
    server = await asyncio.start_server(runner.serve, host, int(port), limit=2**16)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:5]))
