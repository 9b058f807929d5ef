"""Servers and callers on plain sockets, for what no HTTP library would send."""

import contextlib
import re
import socket
import threading

from chivesaddle.tools.platform_fleet import API_KEY, HOST_NAME


class ThreadedServer:
    """A server that calls ``answer(connection, head)`` in a thread a connection."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        head = b""
        with contextlib.suppress(OSError), connection:
            while b"\r\n\r\n" not in head:
                data = connection.recv(4_096)
                if not data:
                    return
                head += data
            self.answer(connection, head)


def request_id_header(head):
    """Return the header by which a response names its request."""
    value = re.search(rb"attempt-identifier: (\S+)", head, re.IGNORECASE)[1]
    return b"X-Chivesaddle-Attempt-Identifier: " + value + b"\r\n"


def connect(fleet):
    """Connect to the only daemon of a fleet, as a caller."""
    (daemon,) = fleet.listeners.values()
    host, _, port = daemon["callers"].rpartition(":")
    return socket.create_connection((host, int(port)), timeout=6)


def encode_request(target, request_id, body=b""):
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"Authorization: Bearer {API_KEY}\r\nConnection: close\r\n"
        f"X-Chivesaddle-Attempt-Identifier: {request_id}\r\n"
        "X-Chivesaddle-Deadline-Milliseconds: 4000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
