"""Socket options that detect connections which have gone silent."""

import socket
from typing import Any

# Keep-alive probes find a silent peer after about 3 s: one second idle, then two
# probes a second apart. The operators' bounds excuse a connection for 3 to 4 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged bytes break the connection after the same time.
USER_TIMEOUT_MS = 3_000


def detect_silence(transport: Any) -> None:
    """Turn on keep-alive probes and a limit on unacknowledged data.

    Parameters
    ----------
    transport : twisted.internet.interfaces.ITCPTransport
        A connected transport; test transports without a socket are left alone.
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
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


__all__ = ["detect_silence"]
