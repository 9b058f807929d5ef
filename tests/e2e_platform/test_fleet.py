"""Serving daemons, backend servers and a store as real processes."""

import threading
import time

import httpx
import pytest

from chivesaddle.tools.platform_fleet import (
    HOST_NAME,
    KEY,
    ROUTES,
    PlatformFleet,
    route,
)
from chivesaddle.tools.processes import wait_until

# The operators' bound on a configuration, and on a daemon's restart.
CONFIGURATION_S = 2.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    found = PlatformFleet(tmp_path_factory.mktemp("fleet"), daemons=3, servers=2)
    try:
        found.start()
        yield found
    finally:
        found.stop()


@pytest.fixture(autouse=True)
def settled(fleet):
    """Each test starts with all daemons running and known to each other."""
    for name in fleet.listeners:
        if name not in fleet.processes.pids:
            fleet.processes.restart(name)
    for name in fleet.servers:
        fleet.set_faults(name)
    assert wait_until(
        lambda: all(len(fleet.callers_of(name)) == 3 for name in fleet.listeners), 15
    )


def headers(request_id):
    return {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {KEY}",
        "X-Chivesaddle-Attempt-Identifier": request_id,
        "X-Chivesaddle-Deadline-Milliseconds": "3000",
    }


def ask(fleet, daemon, target, request_id, **kwargs):
    address = fleet.listeners[daemon]["callers"]
    url = f"http://{address}{target}"
    return httpx.post(
        url, headers=headers(request_id), content=b"x", timeout=5, **kwargs
    )


class TestServing:
    def test_every_daemon_serves_every_kind(self, fleet):
        for daemon in fleet.listeners:
            for kind in ("safe", "unsafe", "stream"):
                request_id = f"{daemon}-{kind}"
                answer = ask(fleet, daemon, f"/{kind}/x", request_id)
                assert answer.status_code == 200
                if kind == "stream":
                    assert answer.text.count("id: ") == 8
                else:
                    assert answer.text == f"{request_id}:x"

    def test_unsafe_requests_run_at_most_once_while_answers_are_lost(self, fleet):
        for name in fleet.servers:
            fleet.set_faults(name, lose_answer=True)
        ids = [f"lost-{n}" for n in range(10)]
        statuses = {ask(fleet, "daemon-0", "/unsafe/x", i).status_code for i in ids}
        assert statuses == {502}
        runs = fleet.runs()
        assert all(runs.count(request_id) == 1 for request_id in ids)

    def test_surplus_answers_reach_nobody(self, fleet):
        for name in fleet.servers:
            fleet.set_faults(name, extra_answer=True)
        with httpx.Client(timeout=5) as client:
            address = fleet.listeners["daemon-0"]["callers"]
            for number in range(20):
                request_id = f"extra-{number}"
                answer = client.post(
                    f"http://{address}/unsafe/x",
                    headers=headers(request_id),
                    content=b"x",
                )
                assert answer.text == f"{request_id}:x"

    def test_broken_streams_are_resumed_whole(self, fleet):
        fleet.set_faults("server-0", break_stream_after=3)
        for number in range(6):
            text = ask(fleet, "daemon-1", "/stream/x", f"resume-{number}").text
            ids = [line for line in text.splitlines() if line.startswith("id: ")]
            assert ids == [f"id: {n}" for n in range(1, 9)]


class TestConfiguration:
    def test_new_route_is_served_by_all_daemons_in_time(self, fleet):
        fleet.put_configuration([*ROUTES, route("added", "safe")])
        began = time.monotonic()
        for daemon in fleet.listeners:
            assert wait_until(
                lambda d=daemon: ask(fleet, d, "/added/x", "a").status_code == 200, 2
            )
        assert time.monotonic() - began < CONFIGURATION_S
        fleet.put_configuration(ROUTES)

    def test_daemon_that_starts_without_the_store_learns_from_its_peers(self, fleet):
        fleet.processes.pause("store")
        try:
            fleet.processes.kill("daemon-2")
            fleet.processes.restart("daemon-2")
            assert ask(fleet, "daemon-2", "/safe/x", "orphan").status_code == 200
        finally:
            fleet.processes.resume("store")


class TestDaemonLoss:
    def test_killed_daemon_leaves_the_address_answers(self, fleet):
        fleet.processes.kill("daemon-1")
        gone = fleet.listeners["daemon-1"]["callers"]
        assert wait_until(lambda: gone not in fleet.callers_of("daemon-0"), 6)

    def test_graceful_stop_cuts_no_request(self, fleet):
        """Callers that keep an old address answer are served until it expires."""
        results = []
        stop = time.monotonic() + 4.0

        def call(number):
            sent = 0
            while time.monotonic() < stop:
                sent += 1
                target = "/stream/x" if number % 2 else "/unsafe/x"
                answer = ask(fleet, "daemon-0", target, f"stop-{number}-{sent}")
                results.append(answer.status_code)

        threads = [threading.Thread(target=call, args=(n,)) for n in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        fleet.processes.terminate("daemon-0")
        for thread in threads:
            thread.join()
        assert set(results) == {200}
        assert fleet.processes.wait_for_end("daemon-0", 8) == 0


class TestReload:
    def test_changed_settings_are_read_and_wrong_ones_change_nothing(self, fleet):
        import json
        import os
        import signal

        path = fleet.settings_path("daemon-1")
        settings = json.loads(path.read_text())
        pid = fleet.processes.pids["daemon-1"]
        for text, event in (
            (json.dumps({**settings, "zone": "y"}), '"needs_restart":["zone"]'),
            ("{", "settings not read"),
        ):
            path.write_text(text)
            os.kill(pid, signal.SIGHUP)
            assert wait_until(
                lambda e=event: e in fleet.processes.log_tail("daemon-1", 5_000), 5
            )
        path.write_text(json.dumps(settings))
        assert ask(fleet, "daemon-1", "/safe/x", "reloaded").status_code == 200
