"""Streams of real daemons while a server stands still and goes on."""

import asyncio
import time
from dataclasses import dataclass

import httpx
import pytest

from chivesaddle.tools.platform_fleet import (
    API_KEY,
    HOST_NAME,
    PlatformFleet,
    route,
)
from chivesaddle.tools.processes import wait_until

EVENTS = 49
EVENT_INTERVAL_S = 0.05
SEND_INTERVAL_S = 0.05
TARGET_MS, GAP_MS, TIME_LIMIT_MS = 400, 400, 12_000
# Callers of these routes wait for eight pauses between events, which is longer.
SILENCE_S = 2.8
ROUTES = [
    route(
        "stream",
        "streaming",
        allow_resume=True,
        target_latency_ms=TARGET_MS,
        target_gap_ms=GAP_MS,
        timeout_ms=TIME_LIMIT_MS,
    ),
    route("safe", "safe", target_latency_ms=TARGET_MS, timeout_ms=TIME_LIMIT_MS),
]


@dataclass
class Answer:
    """What a caller got: None as status stands for no head at all."""

    request_id: str
    status: int | None = None
    ids: list[int] | None = None
    is_whole: bool = False

    def was_lost(self, runs):
        """Whether it is neither whole nor a true refusal."""
        return not (self.is_whole or (self.status == 503 and not runs))


@pytest.fixture
def fleet(tmp_path):
    platform_fleet = PlatformFleet(tmp_path, daemons=3, servers=2)
    try:
        platform_fleet.start()
        platform_fleet.put_configuration(ROUTES)
        assert wait_until(
            lambda: all(
                len(platform_fleet.list_caller_addresses(name)) == 3
                for name in platform_fleet.listeners
            ),
            15,
        )
        yield platform_fleet
    finally:
        platform_fleet.stop()


async def receive(client, address, name, number):
    answer = Answer(f"{name}-{number}")
    headers = {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {API_KEY}",
        "X-Chivesaddle-Attempt-Identifier": answer.request_id,
        "X-Chivesaddle-Deadline-Milliseconds": str(TIME_LIMIT_MS),
    }
    url = f"http://{address}/{name}/{answer.request_id}"
    text = ""
    try:
        async with client.stream("POST", url, headers=headers) as response:
            answer.status = response.status_code
            async for chunk in response.aiter_text():
                text += chunk
        answer.is_whole = answer.status == 200
    except httpx.TransportError:
        # The connection was cut.
        pass
    if name == "stream":
        lines = text.splitlines()
        answer.ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
        answer.is_whole &= answer.ids == list(range(1, EVENTS + 1))
    return answer


async def send_for(client, fleet, seconds, names):
    """Send to all daemons in turn; return the tasks of the answers."""
    tasks = []
    addresses = [listeners["callers"] for listeners in fleet.listeners.values()]
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        number = len(tasks)
        answer = receive(
            client,
            addresses[number % len(addresses)],
            names[number % len(names)],
            time.monotonic_ns(),
        )
        tasks.append(asyncio.create_task(answer))
        await asyncio.sleep(SEND_INTERVAL_S)
    return tasks


async def play(fleet, stalls, names):
    """Send while servers stand still.

    ``stalls`` are pairs of a server and when it stops, in seconds after the new
    configuration version.
    """
    limits = httpx.Limits(max_connections=None)
    loop = asyncio.get_running_loop()
    async with httpx.AsyncClient(timeout=30, limits=limits) as client:
        sending = asyncio.create_task(send_for(client, fleet, 5.0, names))
        await asyncio.sleep(2.0)
        await loop.run_in_executor(None, fleet.put_configuration, ROUTES)
        for server, at_s in stalls:
            loop.call_later(at_s, fleet.processes.pause, server)
            loop.call_later(at_s + SILENCE_S, fleet.processes.resume, server)
        tasks = await sending
        return await asyncio.gather(*tasks)


ONE = [("server-0", 0.2)]
BOTH = [("server-0", 0.2), ("server-1", 2.1)]


@pytest.mark.parametrize(
    ("stalls", "names", "slots_of_other", "never_resumes"),
    [
        pytest.param(ONE, ["stream"], 64, False, id="other-has-room"),
        pytest.param(ONE, ["stream"], 2, False, id="other-is-full"),
        pytest.param(BOTH, ["stream"], 64, False, id="other-falls-silent-too"),
        pytest.param(ONE, ["stream"], 64, True, id="other-does-not-resume"),
        pytest.param(ONE, ["safe"], 1, False, id="without-streams"),
    ],
)
def test_no_request_is_lost_while_a_server_stands_still_around_a_configuration_version(
    fleet, stalls, names, slots_of_other, never_resumes
):
    stream = {"event_count": EVENTS, "event_interval_s": EVENT_INTERVAL_S}
    fleet.set_faults("server-0", **stream, never_resumes=never_resumes)
    fleet.set_faults(
        "server-1", **stream, slots=slots_of_other, never_resumes=never_resumes
    )
    answers = asyncio.run(play(fleet, stalls, names))
    runs = set(fleet.runs())
    lost = [a for a in answers if a.was_lost(a.request_id in runs)]
    whole = sum(a.is_whole for a in answers)
    assert not lost, f"{len(lost)} lost, {whole} whole of {len(answers)}: {lost[:8]}"
    assert whole > len(answers) / 4
