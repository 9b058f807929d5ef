"""A proxy between daemons and runners: ``python3 proxy.py SETTINGS.json``.

It listens once for each runner and tells the daemons apart by their IP addresses. A
``POST /control?hosts=A,B&mode=MODE`` at its control address cuts these daemons off
(``hang``: their connections stay open and carry nothing any more, new ones are accepted
and carry nothing) or lets them through again (``pass``).
"""

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

from httpio import Broken, Message, encode_response, read_message

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards connections unless their sender is cut off."""

    def __init__(self) -> None:
        self.hung_hosts: set[str] = set()
        self.changed = asyncio.Event()

    async def control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one control call."""
        with contextlib.suppress(Broken, OSError):
            request: Message | None = await read_message(reader)
            if request is not None:
                hosts = set(request.query["hosts"].split(","))
                if request.query["mode"] == "hang":
                    self.hung_hosts |= hosts
                else:
                    self.hung_hosts -= hosts
                self.changed.set()
                self.changed.clear()
                writer.write(encode_response(200))
                await writer.drain()
        writer.close()

    async def wait_until_passed(self, host: str) -> None:
        """Wait while a daemon is cut off."""
        while host in self.hung_hosts:
            await self.changed.wait()

    async def forward(
        self,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection."""
        host = writer.get_extra_info("peername")[0]
        await self.wait_until_passed(host)
        server_host, _, port = target.rpartition(":")
        try:
            server = await asyncio.open_connection(server_host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.pump(host, reader, server[1]), self.pump(host, server[0], writer)
        )

    async def pump(
        self, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy bytes in one direction, and the end of the connection."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.wait_until_passed(host)
                writer.write(data)
                await writer.drain()
            await self.wait_until_passed(host)
            writer.close()
        except OSError:
            writer.transport.abort()


async def main(path: str) -> None:
    """Serve until the process is stopped."""
    settings: dict[str, Any] = json.loads(Path(path).read_text())
    proxy = Proxy()
    for address, target in settings["target_by_address"].items():
        host, _, port = address.rpartition(":")

        async def forward(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            target: str = target,
        ) -> None:
            await proxy.forward(target, reader, writer)

        await asyncio.start_server(forward, host, int(port), backlog=512)
    host, _, port = settings["control"].rpartition(":")
    server = await asyncio.start_server(proxy.control, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
