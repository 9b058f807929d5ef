"""A loopback TCP proxy that delays, resets, cuts or silences connections."""

import asyncio
import contextlib
from enum import Enum

CHUNK = 65_536
DELAY_S = 0.15


class Mode(Enum):
    """What happens to connections through a proxy."""

    PASS = "pass"
    DELAY = "delay"
    # New connections are reset, and open ones at the change.
    RESET = "reset"
    # Bytes towards the daemon are dropped; those towards the stand-in pass.
    ONE_WAY = "one_way"
    # Open connections stay silent for good; new ones pass.
    SILENCE_OPEN = "silence_open"


class Proxy:
    """One address in front of another.

    Parameters
    ----------
    listen, target : str
        ``ip:port``.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self._target = target
        self.mode = Mode.PASS
        self._open: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to connections."""
        self.mode = mode
        if mode is Mode.RESET:
            self._reset_all()
        if mode is Mode.SILENCE_OPEN:
            self._silenced |= self._open

    def _reset_all(self) -> None:
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer, inbound=False),
            self._pump(far_reader, writer, inbound=True),
        )
        self._open -= {writer, far_writer}
        self._silenced -= {writer, far_writer}

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        inbound: bool,
    ) -> None:
        # A connection that the proxy or either end resets ends both directions.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                is_cut = self.mode is Mode.ONE_WAY and inbound
                if is_cut or writer in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()


__all__ = ["Mode", "Proxy"]
