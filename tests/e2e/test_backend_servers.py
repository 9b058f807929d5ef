"""Backend servers that leave, are killed or paused, or stop responding under load."""

import time

from chivesaddle.core.ids import RequestId
from chivesaddle.gateway.request_ids import RunLocation
from chivesaddle.tools.processes import wait_until

# The design's time limit for requests to a leaving server.
MAX_ROUTING_AFTER_LEAVING_S = 3.0
OBSERVATION_S = 1.5
WAIT_TIMEOUT_S = 20.0
MAX_TOKENS = 250
COMPLETIONS_ROUTE = "POST /v1/completions"


def server_of(stream):
    return RunLocation.from_request_id(RequestId(stream.request_id)).server_id


class TestLeavingServer:
    def test_no_server_gets_a_request_after_the_time_limit(
        self, deployment, background_load
    ):
        """Guards against new requests for a server that is about to stop.

        Three servers leave at once: one is listed as leaving by the platform, one
        reports it itself, and one is killed.
        """
        fleet = deployment.fleet
        listed, reporting, killed = deployment.engines[:3]
        with background_load as load:
            for name in (listed, reporting, killed):
                assert wait_until(
                    lambda name=name: count_received(deployment, name), WAIT_TIMEOUT_S
                )
            fleet.set_instance_state(listed, "leaving")
            fleet.set_faults(reporting, draining=True)
            fleet.kill(killed)
            deadline_us = (time.time() + MAX_ROUTING_AFTER_LEAVING_S) * 1e6
            time.sleep(MAX_ROUTING_AFTER_LEAVING_S)
            before = [count_received(deployment, name) for name in (listed, reporting)]
            time.sleep(OBSERVATION_S)
            after = [count_received(deployment, name) for name in (listed, reporting)]
        assert after == before
        load.assert_all_complete()
        late_events = [
            event
            for event in deployment.events(object=killed)
            if event["kind"] == "request_routed"
            and event["at"]["wall_us"] > deadline_us
        ]
        assert late_events == []
        fleet.restart(killed)
        fleet.set_instance_state(listed, "live")
        fleet.set_faults(reporting)
        # A server that left is used again after an operator has changed it.
        for name in (listed, reporting):
            deployment.reuse_server(name)
        with background_load:
            for name, count in zip((listed, reporting), after, strict=True):
                assert wait_until(
                    lambda name=name, count=count: (
                        count_received(deployment, name) > count
                    ),
                    WAIT_TIMEOUT_S,
                )


class TestStreamThroughAFailingServer:
    """Guards against a stream that is truncated or has repeated or wrong text."""

    def test_killed_and_paused(self, deployment):
        fleet = deployment.fleet
        streams = start_streams(deployment, "a server fails in the middle")
        killed, paused = sorted({server_of(stream) for stream in streams})[:2]
        fleet.kill(killed)
        fleet.pause(paused)
        for stream in streams:
            stream.assert_text_complete()
        fleet.resume(paused)
        fleet.restart(killed)

    def test_silent_connections(self, deployment):
        streams = start_streams(deployment, "silent")
        for name in deployment.engines:
            deployment.fleet.set_faults(name, silent_connections=True)
        for n, url in enumerate(deployment.fleet.callers * 3):
            assert deployment.send_completion(url, f"beside silence {n}", 3).is_success
        for stream in streams:
            stream.assert_text_complete()
        for name in deployment.engines:
            deployment.fleet.set_faults(name)

    def test_paused_while_all_others_drain(self, deployment):
        """Guards against streams that end although their server goes on."""
        fleet = deployment.fleet
        streams = start_streams(deployment, "no other server")
        paused = server_of(streams[0])
        others = [name for name in deployment.engines if name != paused]
        for name in others:
            fleet.set_faults(name, draining=True)
        fleet.pause(paused)
        try:
            assert wait_until(
                lambda: any(
                    event["kind"] == "request_failed"
                    and event["detail"]["code"] == "engine_silent"
                    for event in deployment.events(object=paused)
                ),
                WAIT_TIMEOUT_S,
            )
        finally:
            fleet.resume(paused)
        for stream in streams:
            stream.assert_text_complete()
        for name in others:
            fleet.set_faults(name)
            deployment.reuse_server(name)


class TestCrashingRequest:
    def test_it_takes_down_at_most_two_servers(self, deployment, background_load):
        """Guards against a resent request that crashes one server after another."""
        fleet = deployment.fleet
        for name in deployment.engines:
            fleet.set_faults(name, crash_marker="this crashes")
        # All streams go through the daemon that detects the crashes. Daemons that move
        # different suspect requests to one server at the same moment don't know of each
        # other's request yet, so a harmless one can be lost with the crashing one.
        streams = [
            deployment.stream(fleet.callers[0], f"beside the crash {n}", MAX_TOKENS)
            for n in range(4)
        ]
        for stream in streams:
            stream.wait_for_tokens(1)
        statuses = [
            deployment.send_completion(
                fleet.callers[n % 3], "this crashes the engine", 5
            ).status_code
            for n in range(9)
        ]
        with background_load as load:
            time.sleep(OBSERVATION_S)
        crashed_servers = [
            name for name in deployment.engines if name not in fleet.pids
        ]
        assert len(crashed_servers) <= 2, statuses
        assert crashed_servers
        assert statuses[-3:] == [422, 422, 422]
        for stream in streams:
            stream.assert_text_complete()
        load.assert_all_complete()
        for name in crashed_servers:
            fleet.restart(name)
        for name in deployment.engines:
            fleet.set_faults(name)


def count_received(deployment, name):
    """Return how many requests an engine has received, including refused ones."""
    return deployment.fleet.counters(name).get(COMPLETIONS_ROUTE, 0)


def start_streams(deployment, title):
    """Start streams through all daemons and wait for their first tokens."""
    streams = [
        deployment.stream(url, f"{title} in the middle {n}", MAX_TOKENS)
        for n, url in enumerate(deployment.fleet.callers * 2)
    ]
    return [stream.wait_for_tokens(10) for stream in streams]
