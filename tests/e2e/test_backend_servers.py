"""Backend servers that leave, end, pause or fall silent under load."""

import time

import pytest

from chivesaddle.core.ids import RequestId
from chivesaddle.gateway.request_ids import RunLocation
from chivesaddle.tools.processes import wait_until

# Bound of the design for a server that leaves.
LEAVING_S = 3.0
OBSERVED_S = 1.5
WAIT_S = 20.0
TOKENS = 250
ROUTE = "POST /v1/completions"


def server_of(stream):
    return RunLocation.from_request_id(RequestId(stream.request_id)).server_id


def sleep_until(at):
    time.sleep(max(0.0, at - time.monotonic()))


class TestLeavingServer:
    @pytest.mark.parametrize("source", ["instance list", "own report"])
    def test_it_gets_no_request_after_the_bound(self, deployment, background, source):
        """Guards against new work for a server that is about to end."""
        fleet = deployment.fleet
        name = "engine-1" if source == "instance list" else "engine-2"
        with background as load:
            assert wait_until(lambda: arrived(deployment, name) > 0, WAIT_S)
            if source == "instance list":
                fleet.set_instance_state(name, "leaving")
            else:
                fleet.set_faults(name, draining=True)
            sleep_until(time.monotonic() + LEAVING_S)
            before = arrived(deployment, name)
            time.sleep(OBSERVED_S)
            after = arrived(deployment, name)
        assert after == before
        load.assert_all_whole()
        if source == "instance list":
            fleet.set_instance_state(name, "live")
        else:
            fleet.set_faults(name)
        deployment.use_again(name)
        assert wait_until(lambda: self.gets_requests(deployment, name), WAIT_S), (
            "the server is not used again"
        )

    def gets_requests(self, deployment, name):
        before = arrived(deployment, name)
        for n in range(40):
            url = deployment.fleet.callers[n % 3]
            deployment.complete(url, f"again {n} {time.monotonic()}", 1)
        return arrived(deployment, name) > before

    def test_a_killed_server_is_not_tried_after_the_bound(self, deployment, background):
        """Guards against requests that wait for a server that has ended."""
        name = "engine-3"
        with background as load:
            assert wait_until(lambda: arrived(deployment, name) > 0, WAIT_S)
            deployment.fleet.kill(name)
            bound_us = (time.time() + LEAVING_S) * 1e6
            sleep_until(time.monotonic() + LEAVING_S + OBSERVED_S)
        load.assert_all_whole()
        late = [
            event
            for event in deployment.events(object=name)
            if event["kind"] == "request_routed" and event["at"]["wall_us"] > bound_us
        ]
        assert late == []
        deployment.fleet.restart(name)


class TestStreamThroughAFailingServer:
    """Guards against an answer that is cut, repeated or mixed up."""

    def test_killed(self, deployment):
        streams = started(deployment, "killed")
        name = server_of(streams[0])
        deployment.fleet.kill(name)
        for stream in streams:
            stream.assert_whole()
        deployment.fleet.restart(name)

    def test_paused(self, deployment):
        streams = started(deployment, "paused")
        name = server_of(streams[0])
        deployment.fleet.pause(name)
        for stream in streams:
            stream.assert_whole()
        deployment.fleet.resume(name)

    def test_silent_connections(self, deployment):
        streams = started(deployment, "silent")
        for name in deployment.engines:
            deployment.fleet.set_faults(name, silent_connections=True)
        for n, url in enumerate(deployment.fleet.callers * 3):
            assert deployment.complete(url, f"beside silence {n}", 3).is_success
        for stream in streams:
            stream.assert_whole()
        for name in deployment.engines:
            deployment.fleet.set_faults(name)


class TestCrashingRequest:
    def test_it_takes_down_at_most_two_servers(self, deployment, background):
        """Guards against a resent request that ends server after server."""
        fleet = deployment.fleet
        for name in deployment.engines:
            fleet.set_faults(name, crash_marker="this crashes")
        # All through the daemon that sees the crashes: daemons that move different
        # suspect requests to one server at the same moment do not yet know of each
        # other, and such a request can be lost with the crashing one.
        streams = [
            deployment.stream(fleet.callers[0], f"beside the crash {n}", TOKENS)
            for n in range(4)
        ]
        for stream in streams:
            stream.wait_for_tokens(1)
        statuses = [
            deployment.complete(
                fleet.callers[n % 3], "this crashes the engine", 5
            ).status_code
            for n in range(9)
        ]
        with background as load:
            time.sleep(OBSERVED_S)
        lost = [name for name in deployment.engines if name not in fleet.pids]
        assert len(lost) <= 2, statuses
        assert lost
        assert statuses[-3:] == [422, 422, 422]
        for stream in streams:
            stream.assert_whole()
        load.assert_all_whole()
        for name in lost:
            fleet.restart(name)
        for name in deployment.engines:
            fleet.set_faults(name)


def arrived(deployment, name):
    """Return how many requests reached an engine, refused ones included."""
    return deployment.fleet.counters(name).get(ROUTE, 0)


def started(deployment, title):
    """Start streams through all daemons and wait for their first tokens."""
    streams = [
        deployment.stream(url, f"{title} in the middle {n}", TOKENS)
        for n, url in enumerate(deployment.fleet.callers * 2)
    ]
    return [stream.wait_for_tokens(10) for stream in streams]
