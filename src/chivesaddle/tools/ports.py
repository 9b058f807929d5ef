"""Loopback ports for processes that the tools start."""

import fcntl
import functools
import itertools
import os
import random
import socket
import tempfile
from collections import deque
from pathlib import Path
from typing import IO

# Linux assigns ports from 32,768 on to outgoing connections, one of which could take a
# port before the process listens on it.
FIRST_PORT, LAST_PORT = 15_000, 32_000
BLOCK_PORTS = 500
# Ports of a block that are not drawn again soon: their process may be starting again.
RECENT_PORTS = 250


class NoPorts(Exception):
    """Too few ports are free, or other processes hold all blocks."""


class PortBlock:
    """Ports that no other process draws while this object lives.

    A port is free between its draw and the start of the process that listens on it, and
    while that process is started again.

    Parameters
    ----------
    lock_dir : pathlib.Path
        Directory of the lock files, which is created if it is missing.

    Raises
    ------
    NoPorts
        If all blocks are held.
    """

    def __init__(self, lock_dir: Path) -> None:
        lock_dir.mkdir(exist_ok=True)
        self._lock, self._first = _lock_block(lock_dir)
        self._recent: deque[int] = deque(maxlen=RECENT_PORTS)

    def draw(self, count: int) -> list[int]:
        """Return distinct ports that nothing listens on; raises `NoPorts`."""
        candidates = sorted(
            set(range(self._first, self._first + BLOCK_PORTS)) - set(self._recent)
        )
        random.shuffle(candidates)
        ports = list(itertools.islice(filter(_is_free, candidates), count))
        if len(ports) < count:
            raise NoPorts(f"Only {len(ports)} of {count} ports are free")
        self._recent.extend(ports)
        return ports

    def close(self) -> None:
        """Let other processes draw the ports."""
        self._lock.close()


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _lock_block(lock_dir: Path) -> tuple[IO[bytes], int]:
    """Return the locked file and the first port of a block."""
    firsts = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS + 1, BLOCK_PORTS))
    random.shuffle(firsts)
    for first in firsts:
        lock = (lock_dir / f"{first}.lock").open("wb")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
        else:
            return lock, first
    raise NoPorts(f"All {len(firsts)} blocks of ports are in use")


@functools.cache
def _own_block() -> PortBlock:
    """Return the block of this process, which it holds until it ends."""
    return PortBlock(Path(tempfile.gettempdir()) / f"chivesaddle-ports-{os.getuid()}")


def free_ports(count: int) -> list[int]:
    """Return distinct loopback TCP ports for this process and those that it starts.

    Raises
    ------
    NoPorts
        If too few are free.
    """
    return _own_block().draw(count)


__all__ = ["NoPorts", "PortBlock", "free_ports"]
