"""A real daemon beside many servers that send bytes without end, in many shapes."""

import contextlib
import re
import threading
import time
from pathlib import Path

import pytest

from chivesaddle.tools.platform_fleet import PlatformFleet
from chivesaddle.tools.processes import wait_until

from .threaded_server import (
    ThreadedServer,
    connect,
    encode_request,
    request_id_header,
)

# Memory of a machine of the users' small sites.
MAX_MEMORY_MB = 150
# Callers of each shape at a time.
CALLERS = 10
LASTS_S = 3.0
PIECE = 16_384
HEAD = b"HTTP/1.1 200 OK\r\nX-Chivesaddle-Server-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What follows the response's own id, and what comes again and again then.
SHAPES = {
    "head-lines": (b"", b"X-A: " + b"a" * 1_000 + b"\r\n"),
    "head-line": (b"X-A: ", b"a" * 1_000),
    "interim": (None, b"HTTP/1.1 100 Continue\r\n\r\n"),
    "blank-lines": (None, b"\r\n"),
    "body": (b"\r\n", b"a" * 1_000),
    "long-length": (b"Content-Length: 99999999999\r\n\r\n", b"a" * 1_000),
    "chunks": (CHUNKED, b"3e8\r\n" + b"a" * 1_000 + b"\r\n"),
    "small-chunks": (CHUNKED, b"1\r\na\r\n"),
    "chunk-extension": (CHUNKED + b"1;x=", b"a" * 1_000),
    "trailers": (CHUNKED + b"0\r\n", b"X-T: " + b"a" * 1_000 + b"\r\n"),
    "after-length": (b"Content-Length: 2\r\n\r\nok", b"a" * 1_000),
    "event": (CHUNKED + b"6\r\ndata: \r\n", b"3e8\r\n" + b"a" * 1_000 + b"\r\n"),
    "comments": (CHUNKED, b"8\r\n: wait\n\n\r\n"),
}


class EndlessServer(ThreadedServer):
    """Answers each request with the shape that its path names, for ever."""

    def __init__(self, pause_s):
        self.pause_s = pause_s
        super().__init__()

    def answer(self, connection, head):
        shape = re.match(rb"\S+ /\w+/([\w-]+)", head)
        begin, piece = SHAPES[shape[1].decode()]
        if begin is not None:
            connection.sendall(HEAD + request_id_header(head) + begin)
        pieces = piece * max(1, PIECE // len(piece))
        while True:
            connection.sendall(pieces)
            time.sleep(self.pause_s)


def ask(fleet, target, request_id, until, counts):
    """Read slowly until a time, or the end; count a whole answer."""
    with contextlib.suppress(OSError), connect(fleet) as caller:
        caller.settimeout(1)
        caller.sendall(encode_request(target, request_id))
        while time.monotonic() < until:
            try:
                if not caller.recv(4_096):
                    break
            except TimeoutError:
                continue
            time.sleep(0.01)
    counts.append(target)


def peak_memory_mb(fleet):
    (name,) = fleet.listeners
    status = Path(f"/proc/{fleet.processes.pids[name]}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1_024


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, daemons=1, servers=4)
    try:
        platform_fleet.start()
        (name,) = platform_fleet.listeners
        assert wait_until(lambda: platform_fleet.list_caller_addresses(name), 10)
        yield platform_fleet
    finally:
        platform_fleet.stop()


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("route", ["safe", "unsafe", "stream"])
def test_memory_stays_within_the_machine(fleet, route, pause_s):
    """Guards against requests of all callers that end with an exhausted daemon."""
    for name in fleet.servers:
        fleet.servers[name] = EndlessServer(pause_s).address
        fleet.put_restarted_server(name)
    time.sleep(0.5)
    until = time.monotonic() + LASTS_S
    counts = []
    threads = [
        threading.Thread(
            target=ask,
            args=(fleet, f"/{route}/{shape}", f"{shape}-{number}", until, counts),
            daemon=True,
        )
        for number in range(CALLERS)
        for shape in SHAPES
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(15)
    assert len(counts) == len(threads)
    (name,) = fleet.listeners
    assert fleet.processes.wait_for_exit(name, 0) is None
    assert peak_memory_mb(fleet) < MAX_MEMORY_MB
