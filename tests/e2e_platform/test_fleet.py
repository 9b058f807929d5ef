"""Serving daemons, backend servers and a store as real processes."""

import threading
import time

import httpx
import pytest

from chivesaddle.tools.platform_fleet import (
    API_KEY,
    HOST_NAME,
    ROUTES,
    PlatformFleet,
    route,
)
from chivesaddle.tools.processes import wait_until

# The operators' time limit for a new configuration and for a daemon's restart.
MAX_CONFIGURATION_DELAY_S = 2.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    platform_fleet = PlatformFleet(
        tmp_path_factory.mktemp("fleet"), daemons=3, servers=2
    )
    try:
        platform_fleet.start()
        yield platform_fleet
    finally:
        platform_fleet.stop()


@pytest.fixture(autouse=True)
def reset_fleet(fleet):
    """Start each test with all daemons running and listed by each other."""
    for name in fleet.listeners:
        if name not in fleet.processes.pids:
            fleet.processes.restart(name)
    for name in fleet.servers:
        fleet.set_faults(name)
    assert wait_until(
        lambda: all(
            len(fleet.list_caller_addresses(name)) == 3 for name in fleet.listeners
        ),
        15,
    )


def headers(request_id):
    return {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {API_KEY}",
        "X-Chivesaddle-Attempt-Identifier": request_id,
        "X-Chivesaddle-Deadline-Milliseconds": "3000",
    }


def send_request(fleet, daemon, target, request_id, **kwargs):
    address = fleet.listeners[daemon]["callers"]
    url = f"http://{address}{target}"
    return httpx.post(
        url, headers=headers(request_id), content=b"x", timeout=5, **kwargs
    )


class TestServing:
    def test_every_daemon_serves_every_route_kind(self, fleet):
        for daemon in fleet.listeners:
            for kind in ("safe", "unsafe", "stream"):
                request_id = f"{daemon}-{kind}"
                response = send_request(fleet, daemon, f"/{kind}/x", request_id)
                assert response.status_code == 200
                if kind == "stream":
                    assert response.text.count("id: ") == 8
                else:
                    assert response.text == f"{request_id}:x"

    def test_unsafe_requests_run_at_most_once_while_responses_are_lost(self, fleet):
        for name in fleet.servers:
            fleet.set_faults(name, lose_answer=True)
        request_ids = [f"lost-{n}" for n in range(10)]
        statuses = {
            send_request(fleet, "daemon-0", "/unsafe/x", request_id).status_code
            for request_id in request_ids
        }
        assert statuses == {502}
        runs = fleet.runs()
        assert all(runs.count(request_id) == 1 for request_id in request_ids)

    @pytest.mark.parametrize("fault", ["extra_answer", "late_extra_answer"])
    def test_extra_response_reaches_no_later_request(self, fleet, fault):
        for name in fleet.servers:
            fleet.set_faults(name, **{fault: True})
        with httpx.Client(timeout=5) as client:
            address = fleet.listeners["daemon-0"]["callers"]
            for number in range(20):
                request_id = f"{fault}-{number}"
                response = client.post(
                    f"http://{address}/unsafe/x",
                    headers=headers(request_id),
                    content=b"x",
                )
                assert response.text == f"{request_id}:x"

    def test_interrupted_streams_are_resumed_without_gaps(self, fleet):
        fleet.set_faults("server-0", break_stream_after=3)
        for number in range(6):
            text = send_request(fleet, "daemon-1", "/stream/x", f"resume-{number}").text
            event_ids = [line for line in text.splitlines() if line.startswith("id: ")]
            assert event_ids == [f"id: {n}" for n in range(1, 9)]


class TestConfiguration:
    def test_new_route_is_served_by_all_daemons_in_time(self, fleet):
        fleet.put_configuration([*ROUTES, route("added", "safe")])
        started_at = time.monotonic()
        for daemon in fleet.listeners:
            assert wait_until(
                lambda daemon=daemon: (
                    send_request(fleet, daemon, "/added/x", "a").status_code == 200
                ),
                2,
            )
        assert time.monotonic() - started_at < MAX_CONFIGURATION_DELAY_S
        fleet.put_configuration(ROUTES)

    def test_daemon_that_starts_without_the_store_learns_from_its_peers(self, fleet):
        fleet.processes.pause("store")
        try:
            fleet.processes.kill("daemon-2")
            fleet.processes.restart("daemon-2")
            assert (
                send_request(fleet, "daemon-2", "/safe/x", "orphan").status_code == 200
            )
        finally:
            fleet.processes.resume("store")


class TestDaemonLoss:
    def test_killed_daemon_is_removed_from_address_lists(self, fleet):
        fleet.processes.kill("daemon-1")
        stopped_address = fleet.listeners["daemon-1"]["callers"]
        assert wait_until(
            lambda: stopped_address not in fleet.list_caller_addresses("daemon-0"), 6
        )

    def test_graceful_stop_interrupts_no_request(self, fleet):
        """Callers that keep an old address list are served until it expires."""
        statuses = []
        stop_at = time.monotonic() + 4.0

        def send_requests(worker_number):
            request_number = 0
            while time.monotonic() < stop_at:
                request_number += 1
                target = "/stream/x" if worker_number % 2 else "/unsafe/x"
                response = send_request(
                    fleet, "daemon-0", target, f"stop-{worker_number}-{request_number}"
                )
                statuses.append(response.status_code)

        threads = [threading.Thread(target=send_requests, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        fleet.processes.terminate("daemon-0")
        for thread in threads:
            thread.join()
        assert set(statuses) == {200}
        assert fleet.processes.wait_for_exit("daemon-0", 8) == 0


class TestReload:
    def test_changed_settings_are_read_and_invalid_ones_have_no_effect(self, fleet):
        import json
        import os
        import signal

        path = fleet.settings_path("daemon-1")
        settings = json.loads(path.read_text())
        pid = fleet.processes.pids["daemon-1"]
        for text, logged_text in (
            (json.dumps({**settings, "zone": "y"}), '"needs_restart":["zone"]'),
            ("{", "settings not read"),
        ):
            path.write_text(text)
            os.kill(pid, signal.SIGHUP)
            assert wait_until(
                lambda logged_text=logged_text: (
                    logged_text in fleet.processes.log_tail("daemon-1", 5_000)
                ),
                5,
            )
        path.write_text(json.dumps(settings))
        assert send_request(fleet, "daemon-1", "/safe/x", "reloaded").status_code == 200
