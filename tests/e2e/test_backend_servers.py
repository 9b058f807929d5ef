"""Backend servers that leave, end, pause or fall silent under load."""

import time

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


class TestLeavingServer:
    def test_none_gets_a_request_after_the_bound(self, deployment, background):
        """Guards against new work for a server that is about to end.

        Three servers leave at once: by the platform's list, by their own report, and
        without notice.
        """
        fleet = deployment.fleet
        listed, reporting, killed = deployment.engines[:3]
        with background as load:
            for name in (listed, reporting, killed):
                assert wait_until(lambda name=name: arrived(deployment, name), WAIT_S)
            fleet.set_instance_state(listed, "leaving")
            fleet.set_faults(reporting, draining=True)
            fleet.kill(killed)
            bound_us = (time.time() + LEAVING_S) * 1e6
            time.sleep(LEAVING_S)
            before = [arrived(deployment, name) for name in (listed, reporting)]
            time.sleep(OBSERVED_S)
            after = [arrived(deployment, name) for name in (listed, reporting)]
        assert after == before
        load.assert_all_whole()
        late = [
            event
            for event in deployment.events(object=killed)
            if event["kind"] == "request_routed" and event["at"]["wall_us"] > bound_us
        ]
        assert late == []
        fleet.restart(killed)
        fleet.set_instance_state(listed, "live")
        fleet.set_faults(reporting)
        # A server that left is used again once an operator has changed it.
        for name in (listed, reporting):
            deployment.use_again(name)
        with background:
            for name, count in zip((listed, reporting), after, strict=True):
                assert wait_until(
                    lambda name=name, count=count: arrived(deployment, name) > count,
                    WAIT_S,
                )


class TestStreamThroughAFailingServer:
    """Guards against an answer that is cut, repeated or mixed up."""

    def test_killed_and_paused(self, deployment):
        fleet = deployment.fleet
        streams = started(deployment, "a server fails in the middle")
        killed, paused = sorted({server_of(stream) for stream in streams})[:2]
        fleet.kill(killed)
        fleet.pause(paused)
        for stream in streams:
            stream.assert_whole()
        fleet.resume(paused)
        fleet.restart(killed)

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
