"""Requests that a real daemon gets late in its grace period, on every kind of route."""

import asyncio
import time
from dataclasses import dataclass

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

EVENTS = 8
SEND_INTERVAL_S = 0.02
# Callers use a daemon's address until three times its validity after SIGTERM.
SEND_AFTER_SIGTERM_S = 4.5
# Operators allow for cuts of requests that callers sent up to this long after SIGTERM.
MAY_BE_CUT_S = 3.0
# A response may reach its caller this much before the caller's time limit is over.
TIME_LIMIT_TOLERANCE_S = 0.1
LONG_MS, SHORT_MS = 12_000, 2_000
STOPPED = "daemon-0"
# Routes that get requests all the time, and one that gets none before SIGTERM.
USED_ROUTES = [
    *ROUTES,
    route("safe-long", "safe", timeout_ms=LONG_MS),
    route("unsafe-long", "unsafe", attempts=1, timeout_ms=LONG_MS),
    route("stream-long", "streaming", attempts=1, timeout_ms=LONG_MS),
    route("stream-resumed", "streaming", allow_resume=True, timeout_ms=LONG_MS),
]
RARE_ROUTE = route("unsafe-rare", "unsafe", attempts=1, timeout_ms=LONG_MS)


@dataclass
class Answer:
    """What a caller got: None as status stands for no head at all."""

    request_id: str
    route: str
    time_limit_s: float
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    is_whole: bool = False

    def was_cut(self, runs):
        """Whether it is neither whole, nor a true refusal, nor ended by time."""
        if self.is_whole or (self.status == 503 and self.request_id not in runs):
            return False
        waited_s = self.ended_at - self.sent_at
        return waited_s < self.time_limit_s - TIME_LIMIT_TOLERANCE_S


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, daemons=2, servers=2)
    try:
        platform_fleet.start()
        platform_fleet.put_configuration([*USED_ROUTES, RARE_ROUTE])
        assert wait_until(
            lambda: all(
                len(platform_fleet.list_caller_addresses(name)) == 2
                for name in platform_fleet.listeners
            ),
            15,
        )
        yield platform_fleet
    finally:
        platform_fleet.stop()


async def receive(client, fleet, route_fields, number, time_limit_ms):
    name = route_fields["name"]
    request_id = f"{name}-{number}"
    headers = {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {API_KEY}",
        "X-Chivesaddle-Attempt-Identifier": request_id,
        "X-Chivesaddle-Deadline-Milliseconds": str(time_limit_ms),
    }
    url = f"http://{fleet.listeners[STOPPED]['callers']}/{name}/{request_id}"
    time_limit_s = min(time_limit_ms, route_fields["timeout_ms"]) / 1_000
    answer = Answer(request_id, name, time_limit_s, time.monotonic())
    try:
        async with client.stream("POST", url, headers=headers) as response:
            answer.status = response.status_code
            text = (await response.aread()).decode()
            is_stream = route_fields["kind"] == "streaming"
            answer.is_whole = answer.status == 200 and (
                not is_stream or text.count("id: ") == EVENTS
            )
    except httpx.TransportError:
        # The connection was cut.
        pass
    answer.ended_at = time.monotonic()
    return answer


async def send_for(client, fleet, seconds, routes, time_limits_ms):
    """Send to each route in turn; return the tasks of the answers."""
    tasks = []
    deadline = time.monotonic() + seconds
    choices = [(fields, limit) for limit in time_limits_ms for fields in routes]
    while time.monotonic() < deadline:
        fields, limit = choices[len(tasks) % len(choices)]
        answer = receive(client, fleet, fields, time.monotonic_ns(), limit)
        tasks.append(asyncio.create_task(answer))
        await asyncio.sleep(SEND_INTERVAL_S)
    return tasks


async def play(fleet, disturb, send_from_s):
    """Stop a daemon; return the answers to requests sent from some time after SIGTERM.

    The daemon knows quick requests of all routes but the one that is rarely used.
    """
    async with httpx.AsyncClient(timeout=20) as client:
        before = await send_for(client, fleet, 3.0, USED_ROUTES, [LONG_MS])
        await asyncio.gather(*before)
        stopped_at = time.monotonic()
        fleet.processes.terminate(STOPPED)
        disturb()
        await asyncio.sleep(send_from_s)
        tasks = await send_for(
            client,
            fleet,
            SEND_AFTER_SIGTERM_S - send_from_s,
            [*USED_ROUTES, RARE_ROUTE],
            [LONG_MS, SHORT_MS],
        )
        return stopped_at, await asyncio.gather(*tasks)


def slow_down(fleet):
    """Make servers take longer than the daemon has left, but less than time limits."""
    for server in fleet.servers:
        fleet.set_faults(server, processing_time_s=5.0, event_interval_s=0.7)


def silence(fleet):
    """Make servers run requests and never respond."""
    for server in fleet.servers:
        fleet.set_faults(server, mute=True)


@pytest.mark.parametrize("disturb", [slow_down, silence])
def test_no_late_request_is_cut_when_servers_are_slow_after_sigterm(fleet, disturb):
    """Guards against requests that are passed on late in the grace period and cut."""
    stopped_at, answers = asyncio.run(play(fleet, lambda: disturb(fleet), MAY_BE_CUT_S))
    runs = set(fleet.runs())
    cut = [
        (answer.route, round(answer.sent_at - stopped_at, 2), answer.status)
        for answer in answers
        if answer.was_cut(runs)
    ]
    assert cut == []


def test_no_unsafe_request_is_cut_when_servers_are_silent_after_sigterm(fleet):
    """Guards against callers that cannot know whether a request has run."""
    stopped_at, answers = asyncio.run(play(fleet, lambda: silence(fleet), 0.1))
    runs = set(fleet.runs())
    cut = [
        (answer.route, round(answer.sent_at - stopped_at, 2), answer.status)
        for answer in answers
        if answer.route.startswith("unsafe") and answer.was_cut(runs)
    ]
    assert cut == []


def test_late_requests_are_served_while_their_time_limit_fits(fleet):
    """Guards against refusing every request of a planned stop."""
    _, answers = asyncio.run(play(fleet, lambda: None, MAY_BE_CUT_S))
    late = [answer for answer in answers if answer.time_limit_s <= SHORT_MS / 1_000]
    assert {answer.route for answer in late if answer.is_whole} == {
        fields["name"] for fields in [*USED_ROUTES, RARE_ROUTE]
    }
    assert all(answer.is_whole for answer in late)
