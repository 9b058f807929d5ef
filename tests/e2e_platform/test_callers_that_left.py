"""Callers that close their connections while a real daemon is held up."""

import socket
import time

import pytest

from chivesaddle.tools.platform_fleet import API_KEY, HOST_NAME, PlatformFleet
from chivesaddle.tools.processes import wait_until

CALLERS = 24
# How long the daemon reads nothing, and then how long its requests may take.
HELD_UP_S = 0.8
SETTLED_S = 1.0


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, daemons=1, servers=2)
    try:
        platform_fleet.start()
        assert wait_until(lambda: send(platform_fleet, "/safe/x", "probe"), 15)
        yield platform_fleet
    finally:
        platform_fleet.stop()


def connect(fleet):
    host, _, port = fleet.listeners["daemon-0"]["callers"].rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5)


def request(target, request_id):
    return (
        f"POST {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"Authorization: Bearer {API_KEY}\r\n"
        f"X-Chivesaddle-Attempt-Identifier: {request_id}\r\n"
        "X-Chivesaddle-Deadline-Milliseconds: 5000\r\n"
        "Content-Length: 1\r\n\r\nx"
    ).encode()


def send(fleet, target, request_id):
    """Send a request; return whether it was answered with success."""
    with connect(fleet) as caller:
        caller.sendall(request(target, request_id))
        return caller.recv(4_096).startswith(b"HTTP/1.1 200")


def leave_idle_connections(fleet):
    """Leave connections to the servers on which further requests go out at once."""
    callers = [connect(fleet) for _ in range(CALLERS)]
    for number, caller in enumerate(callers):
        caller.sendall(request("/safe/x", f"first-{number}"))
    for caller in callers:
        assert caller.recv(4_096).startswith(b"HTTP/1.1 200")
        caller.close()


@pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_requests_of_callers_that_left_before_they_were_read_reach_no_server(
    fleet, target
):
    """Guards against work for callers that gave up while the daemon was behind."""
    leave_idle_connections(fleet)
    gone = {f"gone-{number}" for number in range(CALLERS)}
    callers = [connect(fleet) for _ in gone]
    staying = connect(fleet)
    fleet.processes.pause("daemon-0")
    for caller, request_id in zip(callers, gone, strict=True):
        caller.sendall(request(target, request_id))
        caller.close()
    staying.sendall(request(target, "stays"))
    time.sleep(HELD_UP_S)
    fleet.processes.resume("daemon-0")
    assert staying.recv(4_096).startswith(b"HTTP/1.1 200")
    staying.close()
    time.sleep(SETTLED_S)
    runs = fleet.runs()
    assert "stays" in runs
    assert sorted(gone & set(runs)) == []
