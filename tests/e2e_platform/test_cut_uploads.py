"""Real daemons and a server that answers a long upload at once and cuts its answer."""

import re
import socket
import struct
import time

import pytest

from chivesaddle.tools.platform_fleet import PlatformFleet
from chivesaddle.tools.processes import wait_until

from .threaded_server import (
    ThreadedServer,
    connect,
    encode_request,
    request_id_header,
)

UPLOAD = bytes(4_000_000)
EVENT = b"id: 1\ndata: a\n\n"
INSIDE_EVENT = EVENT + b"half of the body"
# How long the server leaves the connection open after its half of the body.
OPEN_FOR_S = 1.0
REQUESTS = 4


class CuttingServer(ThreadedServer):
    """Answers each request at its head with half of a body, without a length."""

    def __init__(self):
        self.has_reset = False
        self.half = INSIDE_EVENT
        super().__init__()

    def answer(self, connection, head):
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nX-Chivesaddle-Server-Signature: cutting\r\n"
            + request_id_header(head)
            + b"Connection: close\r\n\r\n"
            + self.half
        )
        if not self.has_reset:
            connection.shutdown(socket.SHUT_WR)
            time.sleep(OPEN_FOR_S)
        # Unread bytes reset the connection.
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


@pytest.fixture
def server():
    cutting = CuttingServer()
    yield cutting
    cutting.close()


@pytest.fixture
def fleet(tmp_path, server):
    platform_fleet = PlatformFleet(tmp_path, daemons=1, servers=1)
    try:
        platform_fleet.start()
        assert wait_until(lambda: ask(platform_fleet, "/safe/x", "probe", b"x")[0], 10)
        platform_fleet.servers["server-0"] = server.address
        platform_fleet.put_restarted_server("server-0")
        time.sleep(0.5)
        yield platform_fleet
    finally:
        platform_fleet.stop()


def ask(fleet, target, request_id, body):
    """Send a request; return whether it got a whole answer, and the answer."""
    received = b""
    with connect(fleet) as caller:
        try:
            caller.sendall(encode_request(target, request_id, body))
            while data := caller.recv(65_536):
                received += data
        except OSError:
            return False, received
    head, _, content = received.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 2"):
        return False, received
    length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
    if length is not None:
        return len(content) == int(length[1]), received
    return content.endswith(b"0\r\n\r\n"), received


@pytest.mark.parametrize("has_reset", [False, True])
@pytest.mark.parametrize("half", [EVENT, INSIDE_EVENT])
@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_half_of_an_answer_is_never_taken_for_whole(
    fleet, server, target, half, has_reset
):
    """Guards against the end of a connection that hides an unread upload."""
    server.has_reset, server.half = has_reset, half
    answers = [
        ask(fleet, target, f"upload-{number}", UPLOAD) for number in range(REQUESTS)
    ]
    assert [received[:200] for is_whole, received in answers if is_whole] == []
