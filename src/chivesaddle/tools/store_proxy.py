"""A loopback proxy before a store, which treats some of its callers badly."""

import asyncio
import contextlib
from collections import defaultdict
from enum import Enum

CHUNK_BYTES = 65_536
# Response time of a store that is slow.
SLOW_S = 0.3
# Bytes of a response that pass before it is cut: a part of its head.
CUT_AFTER_BYTES = 40


class Treatment(Enum):
    """What becomes of the calls from one IP address, also of those that wait."""

    PASS = "pass"
    # Calls reach the store, and no byte of a response passes.
    SILENT = "silent"
    # As before for calls that wait at that moment; later ones pass.
    SILENT_OPEN = "silent_open"
    RESET = "reset"
    UNAVAILABLE = "503"
    TOO_MANY = "429"
    CUT = "cut"
    SLOW = "slow"


STATUS_LINES = {
    Treatment.UNAVAILABLE: b"HTTP/1.1 503 Service Unavailable\r\n",
    Treatment.TOO_MANY: b"HTTP/1.1 429 Too Many Requests\r\n",
}


class StoreProxy:
    """Forwards one call a connection to a store.

    Parameters
    ----------
    listen, target : str
        ``ip:port`` to listen on and to connect to.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self._target = target
        self._treatment_by_source: dict[str, Treatment] = {}
        self._open_by_source: dict[str, set[asyncio.StreamWriter]] = defaultdict(set)
        self._silenced: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=1_024
        )

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writers in self._open_by_source.values():
            _abort_all(writers)

    def treat(self, source: str, treatment: Treatment) -> None:
        """Change what becomes of the calls from an IP address."""
        self._treatment_by_source[source] = treatment
        writers = self._open_by_source[source]
        if treatment is Treatment.RESET:
            _abort_all(writers)
        if treatment in (Treatment.SILENT, Treatment.SILENT_OPEN):
            self._silenced |= writers

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        self._open_by_source[source].add(writer)
        if self._treatment_by_source.get(source) is Treatment.SILENT:
            self._silenced.add(writer)
        with contextlib.suppress(OSError):
            await self._forward(source, reader, writer)
        self._open_by_source[source].discard(writer)
        self._silenced.discard(writer)
        writer.close()

    async def _forward(
        self, source: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._treatment_by_source.get(source) is Treatment.RESET:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        answering = asyncio.ensure_future(self._answer(source, target_reader, writer))
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._treatment_by_source.get(source) in STATUS_LINES:
                    await self._refuse(source, writer)
                    break
                target_writer.write(data)
                await target_writer.drain()
        finally:
            answering.cancel()
            target_writer.close()

    async def _answer(
        self,
        source: str,
        target_reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await target_reader.read(CHUNK_BYTES):
                if writer in self._silenced:
                    continue
                match self._treatment_by_source.get(source):
                    case Treatment.UNAVAILABLE | Treatment.TOO_MANY:
                        await self._refuse(source, writer)
                        return
                    case Treatment.CUT:
                        writer.write(data[:CUT_AFTER_BYTES])
                        await writer.drain()
                        break
                    case Treatment.SLOW:
                        await asyncio.sleep(SLOW_S)
                writer.write(data)
                await writer.drain()
            # The store ends a call by closing it.
            if writer not in self._silenced:
                writer.close()

    async def _refuse(self, source: str, writer: asyncio.StreamWriter) -> None:
        status_line = STATUS_LINES[self._treatment_by_source[source]]
        writer.write(status_line + b"content-length: 0\r\nconnection: close\r\n\r\n")
        await writer.drain()
        writer.close()


def _abort_all(writers: set[asyncio.StreamWriter]) -> None:
    for writer in list(writers):
        writer.transport.abort()


__all__ = ["StoreProxy", "Treatment"]
