"""Socket options that detect connections to unresponsive peers."""

import errno
import fcntl
import socket
import sys
import termios
from enum import Enum
from typing import Any

from twisted.internet.tcp import Connection

# TCP keep-alive detects an unresponsive peer after about 3 s: 1 s of idle time, then
# two probes 1 s apart. The operators' limits allow 3 to 4 s for a dead connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged data breaks the connection after the same time.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000


class UnreadInput(Enum):
    """What waits in the kernel of a connection, before the reactor has read it."""

    NONE = "none"
    BYTES = "bytes"
    # The peer has closed the connection, and nothing is before that.
    END = "end"
    # The connection has failed. The kernel tells that once only: the reactor's next
    # read finds an end as if the peer had closed the connection in order.
    FAILURE = "failure"


def peek(transport: Any) -> UnreadInput:
    """Return what the next read from a transport will find.

    A transport without a socket, as in tests, has nothing to read.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return UnreadInput.NONE
    try:
        data = get_handle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return UnreadInput.NONE
    except OSError as error:
        return UnreadInput.END if error.errno == errno.EBADF else UnreadInput.FAILURE
    return UnreadInput.BYTES if data else UnreadInput.END


def set_dead_peer_detection(transport: Any) -> None:
    """Enable TCP keep-alive and a timeout for unacknowledged data.

    Also disables Nagle's algorithm.

    Parameters
    ----------
    transport : twisted.internet.interfaces.ITCPTransport
        A connected transport. One without a socket, as in tests, is ignored.
    """
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return
    transport.setTcpNoDelay(True)
    handle = get_handle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


def has_queued_bytes(transport: Any) -> bool:
    """Return whether bytes that were written to a transport are not sent yet.

    A transport without a queue, as in tests, sends all bytes at once.
    """
    queued = getattr(transport, "dataBuffer", b"")
    return bool(queued or getattr(transport, "_tempDataBuffer", None))


def drop_queued_bytes(transport: Any) -> None:
    """Free the bytes that a closed transport will not send any more.

    A client's transport is in a reference cycle with its connector, so they would stay
    until the garbage collector runs.
    """
    if has_queued_bytes(transport):
        transport.dataBuffer = b""
        transport._tempDataBuffer = []


def has_unacknowledged_bytes(transport: Any) -> bool:
    """Return whether the peer's kernel lacks bytes that were written to a transport.

    A peer that answers after it has read all of them acknowledges them before that.
    """
    if has_queued_bytes(transport):
        return True
    get_handle = getattr(transport, "getHandle", None)
    if get_handle is None:
        return False
    try:
        size = fcntl.ioctl(get_handle(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return False
    return int.from_bytes(size, sys.byteorder) > 0


def write_at_once(transport: Any, data: bytes) -> None:
    """Send ``data`` without a turn of the reactor if nothing is queued before it.

    A queued write costs two changes of the reactor's poll set and a turn of its loop,
    which is more than the system call itself. What the kernel does not accept is queued
    and counts for back-pressure, and errors are found by the queued write as usual. So
    the protocol's ``connectionLost`` never runs within this call; its producer's
    ``pauseProducing`` does if the queue gets too long.

    Parameters
    ----------
    transport : twisted.internet.interfaces.ITCPTransport
        One without a socket, closing or aborted gets all data by its own ``write``.
    """
    if (
        isinstance(transport, Connection)
        and transport.connected
        and not transport.disconnecting
        and not transport._aborting
        and not has_queued_bytes(transport)
    ):
        sent = transport.writeSomeData(data)
        if isinstance(sent, int):
            data = data[sent:]
    if data:
        transport.write(data)


__all__ = [
    "UnreadInput",
    "drop_queued_bytes",
    "has_queued_bytes",
    "has_unacknowledged_bytes",
    "peek",
    "set_dead_peer_detection",
    "write_at_once",
]
