"""The evacuation commands against real daemons and a real store process."""

import json
import os
import subprocess
import sys

import httpx
import pytest

from chivesaddle.tools.platform_fleet import API_KEY, HOST_NAME, PlatformFleet
from chivesaddle.tools.processes import wait_until


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, daemons=2, servers=1, evacuation_s=5.0)
    try:
        platform_fleet.start()
        yield platform_fleet
    finally:
        platform_fleet.stop()


def run_command(fleet, *arguments):
    env = {**os.environ, "CHIVESADDLE_STORE": f"http://{fleet.store_address}"}
    return subprocess.run(
        [sys.executable, "-m", "chivesaddle.cli", *arguments, "--output", "json"],
        env=env,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def statuses(fleet, request_id):
    """Send a request to each daemon; return the statuses of the responses."""
    found = set()
    for name, listeners in fleet.listeners.items():
        url = f"http://{listeners['callers']}/safe/x"
        headers = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {API_KEY}",
            "X-Chivesaddle-Attempt-Identifier": f"{request_id}-{name}",
        }
        found.add(httpx.post(url, headers=headers, timeout=5).status_code)
    return found


def test_commands_evacuate_a_zone_and_use_it_again(fleet):
    assert wait_until(lambda: statuses(fleet, "before") == {200}, 15)
    planned = json.loads(run_command(fleet, "evacuate", "z").stdout)
    assert planned["plan"]["lost_services"]
    assert statuses(fleet, "planned") == {200}

    confirmed = run_command(fleet, "evacuate", "z", "--confirm", "--by", "ann")
    assert confirmed.returncode == 0, confirmed.stderr
    assert json.loads(confirmed.stdout)["done"] == sorted(fleet.listeners)
    assert statuses(fleet, "evacuated") == {503}
    (row,) = json.loads(run_command(fleet, "evacuations").stdout)["zones"]
    assert (row["zone"], row["applied_by"], row["daemons"]) == ("z", "ann", "2 of 2")

    ended = run_command(fleet, "evacuate", "z", "--end")
    assert ended.returncode == 0, ended.stderr
    assert wait_until(lambda: statuses(fleet, "ended") == {200}, 5)
