"""A loopback TCP proxy that delays, resets, or drops the bytes of connections."""

import asyncio
import contextlib
from enum import Enum

CHUNK_BYTES = 65_536
DELAY_S = 0.15


class ProxyMode(Enum):
    """How a proxy treats its connections."""

    PASS = "pass"
    DELAY = "delay"
    # Open connections are reset when the mode is set, and new ones when accepted.
    RESET = "reset"
    # New connections are accepted, and no byte passes on them or on open ones.
    HANG = "hang"
    # Bytes to the daemon are dropped; those to the fake pass.
    ONE_WAY = "one_way"
    # All bytes of connections open when the mode is set are dropped until they close,
    # even in later modes; new connections pass.
    SILENCE_OPEN = "silence_open"


class Proxy:
    """Forwards TCP connections from one address to another.

    Parameters
    ----------
    listen, target : str
        ``ip:port`` to listen on and to connect to.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self._target = target
        self.mode = ProxyMode.PASS
        # Modes of connections from some IP addresses only.
        self._mode_by_source: dict[str, ProxyMode] = {}
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._silenced_writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_mode(self, mode: ProxyMode) -> None:
        """Change how connections are treated."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            self._reset_all()
        if mode is ProxyMode.SILENCE_OPEN:
            self._silenced_writers |= self._open_writers

    def set_source_mode(self, source: str, mode: ProxyMode) -> None:
        """Pass, reset or hang the connections from one IP address."""
        self._mode_by_source[source] = mode
        if mode is ProxyMode.RESET:
            for writer in list(self._open_writers):
                if writer.get_extra_info("peername")[0] == source:
                    writer.transport.abort()

    def _reset_all(self) -> None:
        for writer in list(self._open_writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        if ProxyMode.RESET in (self.mode, self._mode_by_source.get(source)):
            writer.transport.abort()
            return
        if self._mode_by_source.get(source) is ProxyMode.HANG:
            with contextlib.suppress(OSError):
                while await reader.read(CHUNK_BYTES):
                    pass
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._open_writers |= {writer, target_writer}
        await asyncio.gather(
            self._copy(reader, target_writer, source, to_daemon=False),
            self._copy(target_reader, writer, source, to_daemon=True),
        )
        self._open_writers -= {writer, target_writer}
        self._silenced_writers -= {writer, target_writer}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        *,
        to_daemon: bool,
    ) -> None:
        # A reset by the proxy or either end closes both directions.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                is_dropped = self.mode is ProxyMode.ONE_WAY and to_daemon
                is_dropped |= self._mode_by_source.get(source) is ProxyMode.HANG
                if is_dropped or writer in self._silenced_writers:
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()


__all__ = ["Proxy", "ProxyMode"]
