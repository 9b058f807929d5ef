"""Real daemons and the headers by which servers limit, leave, or end with a crash."""

import time

import httpx
import pytest

from chivesaddle.tools.platform_fleet import API_KEY, HOST_NAME, PlatformFleet
from chivesaddle.tools.processes import HTTP_CLIENT, wait_until

MAX_CRASHES = 3


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, daemons=4, servers=2)
    try:
        platform_fleet.start()
        assert wait_until(
            lambda: all(
                len(platform_fleet.list_caller_addresses(name)) == 4
                for name in platform_fleet.listeners
            ),
            15,
        )
        yield platform_fleet
    finally:
        platform_fleet.stop()


def send(fleet, number, target, parts=None):
    daemon = list(fleet.listeners)[number % len(fleet.listeners)]
    headers = {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {API_KEY}",
        "X-Chivesaddle-Attempt-Identifier": f"{target}-{number}",
        "X-Chivesaddle-Deadline-Milliseconds": "3000",
    }
    if parts is not None:
        headers["X-Chivesaddle-Prompt-Prefix"] = f"{parts},{number:x}:10"
    url = f"http://{fleet.listeners[daemon]['callers']}{target}"
    return httpx.post(url, headers=headers, content=b"x", timeout=5).status_code


def runs(fleet, server):
    url = f"http://{fleet.servers[server]}/control/runs"
    return len(HTTP_CLIENT.get(url).json())


def test_four_daemons_share_a_limit(fleet):
    fleet.set_faults("server-0", limit_per_s=2.0)
    until = time.monotonic() + 8
    number = 0
    statuses = []
    counted_from = None
    while time.monotonic() < until:
        statuses.append(send(fleet, number, "/safe/x"))
        number += 1
        if counted_from is None and time.monotonic() > until - 5:
            counted_from = (time.monotonic(), runs(fleet, "server-0"))
    seconds = time.monotonic() - counted_from[0]
    # The users' rule for the time that was counted: one and a half times, and 5.
    used = runs(fleet, "server-0") - counted_from[1]
    assert used <= 1.5 * 2.0 * seconds + 5
    assert used >= 0.5 * 2.0 * seconds
    assert set(statuses) == {200}


def test_leaving_server_gets_nothing_from_any_daemon(fleet):
    fleet.set_faults("server-0", is_leaving=True)
    for number in range(20):
        assert send(fleet, number, "/safe/x") == 200
    time.sleep(2.0)
    before = runs(fleet, "server-0")
    for number in range(20):
        assert send(fleet, number, "/safe/y") == 200
    assert runs(fleet, "server-0") == before


def test_request_ends_three_processes_at_most(fleet):
    """Each copy goes to another daemon, and a crashed server is back 0.3 s later."""
    crashes = 0
    for name in fleet.servers:
        fleet.set_faults(name, crash_marker="bad")
    for number in range(12):
        send(fleet, number, "/unsafe/bad")
        crashes += restart_crashed(fleet, crash_marker="bad")
    assert crashes == MAX_CRASHES
    assert send(fleet, 0, "/safe/good") == 200


def kill_and_restart_daemons(fleet):
    time.sleep(0.5)
    for name in fleet.listeners:
        fleet.processes.kill(name)
    for name in fleet.listeners:
        fleet.processes.restart(name)
    assert wait_until(lambda: send(fleet, 99, "/safe/good") == 200, 10)


def test_request_ends_no_process_after_all_daemons_were_killed(fleet):
    """Guards against daemons that know only from each other what crashes servers."""
    for name in fleet.servers:
        fleet.set_faults(name, crash_marker="bad")
    crashes = 0
    for number in range(6):
        send(fleet, number, "/unsafe/bad")
        crashes += restart_crashed(fleet, crash_marker="bad")
    assert crashes == MAX_CRASHES
    kill_and_restart_daemons(fleet)
    for number in range(8):
        send(fleet, number, "/unsafe/bad")
        crashes += restart_crashed(fleet, crash_marker="bad")
    assert crashes == MAX_CRASHES


def restart_crashed(fleet, **faults):
    """Start crashed servers again, with these faults; return their number."""
    crashes = 0
    time.sleep(0.2)
    for name in list(fleet.servers):
        if fleet.processes.wait_for_exit(name, 0) is None:
            continue
        crashes += 1
        fleet.processes.restart(name)
        fleet.set_faults(name, **faults)
        fleet.put_restarted_server(name)
    time.sleep(0.3)
    return crashes


def test_part_ends_no_process_after_all_daemons_were_killed(fleet):
    for name in fleet.servers:
        fleet.set_faults(name, crash_part="dd")
    crashes = 0
    for number in range(8):
        send(fleet, 2 * number, f"/stream/{number}", parts="aa:9,dd:9")
        crashes += restart_crashed(fleet, crash_part="dd")
        send(fleet, 2 * number + 1, f"/stream/sound-{number}", parts="aa:9,b1:9")
    assert MAX_CRASHES <= crashes <= 5
    kill_and_restart_daemons(fleet)
    for number in range(100, 108):
        send(fleet, number, f"/stream/{number}", parts="aa:9,dd:9")
        assert restart_crashed(fleet, crash_part="dd") == 0
    assert send(fleet, 1, "/stream/sound", parts="aa:9,b1:9") == 200


def test_part_of_different_requests_ends_five_processes_at_most(fleet):
    crashes = 0
    served = []
    for name in fleet.servers:
        fleet.set_faults(name, crash_part="dd")
    for number in range(10):
        send(fleet, 2 * number, f"/stream/{number}", parts="aa:9,dd:9")
        crashes += restart_crashed(fleet, crash_part="dd")
        target = f"/stream/sound-{number}"
        served.append(send(fleet, 2 * number + 1, target, parts="aa:9,b1:9"))
    assert MAX_CRASHES <= crashes <= 5
    assert served[-3:] == [200] * 3
