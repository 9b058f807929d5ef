"""Shows streams that are cut after SIGTERM while a runner is silent for a second."""

import asyncio
import json
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from deployment import (  # noqa: E402
    CouldNotRun,
    Deployment,
    call,
    has_trouble,
    main,
    now,
    route,
    running,
)

RUNNERS = {"llm-0": "llm", "llm-1": "llm"}
# A stream takes 2.4 s.
EVENTS, EVENT_MS = 49, 49
TIME_LIMIT_MS = 12_000
SEND_INTERVAL_S = 0.04
WARM_UP_S = 5.0
# The clients' longest use of an answer of the directory, in its `ttl_s`.
TTL_FACTOR = 3
# After SIGTERM: when a runner falls silent, and for how long.
SILENT_AT_S, SILENT_FOR_S = 5.0, 1.0
# A request sent up to so long after SIGTERM may be cut if its runner is still at work.
EXCUSED_S = 3.0
GRACE_S = 8.0
STOPPED = "front-0"


class Client:
    """Sends streams and keeps what came of them."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.sent_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.complete: dict[str, bool] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def send_for(self, tag: str, until: float) -> None:
        """Start a stream every `SEND_INTERVAL_S`."""
        number = 0
        while now() < until:
            task = asyncio.create_task(self._send(f"{tag}-{number}"))
            self._tasks.append(task)
            number += 1
            await asyncio.sleep(SEND_INTERVAL_S)

    async def wait(self) -> None:
        """Wait for all streams."""
        await asyncio.gather(*self._tasks)

    async def _send(self, attempt: str) -> None:
        part = f"{len(self.sent_at):08x}"
        headers = {
            "X-Chivesaddle-Token-Counts": f"827,{EVENTS}",
            "X-Chivesaddle-Prompt-Prefix": f"aa01:650,{part}:177",
        }
        self.sent_at[attempt] = now()
        answer = await self._deployment.send(
            STOPPED, "/ask/1", attempt, time_limit_ms=TIME_LIMIT_MS, headers=headers
        )
        self.ended_at[attempt] = now()
        self.complete[attempt] = answer is not None and (
            answer.status != 200 or answer.body.count(b"id: ") == EVENTS
        )


async def read_directory(deployment: Deployment) -> float:
    """Ask another daemon where to connect; return until when the answer counts."""
    address = deployment.listen["front-1"]["addresses"]
    answer = await call(address, "GET", "/resolve?name=x&region=r&zone=zone-a")
    deployment.note(f"directory answers {answer.body.decode()}")
    listed = json.loads(answer.body)
    if deployment.listen[STOPPED]["callers"] not in listed["addresses"]:
        raise CouldNotRun("the directory does not name the machine")
    return now() + TTL_FACTOR * listed["ttl_s"]


async def judge() -> bool:
    """Play the case; return whether the rule held."""
    deployment = Deployment(
        CASE,
        RUNNERS,
        services=[{"name": "llm", "health_path": "/health", "connection_limit": 360}],
        routes=[
            route(
                "ask",
                "streaming",
                "llm",
                timeout_ms=TIME_LIMIT_MS,
                target_latency_ms=400,
                attempts=1,
            )
        ],
    )
    with running(deployment):
        await deployment.start_store()
        await deployment.write_config()
        for runner in RUNNERS:
            deployment.start_runner(
                runner,
                stream_prefix="/ask/",
                events=EVENTS,
                event_ms=EVENT_MS,
                entry={"slots": 64},
            )
        for daemon in deployment.listen:
            deployment.start_daemon(daemon)
        await deployment.wait_for_ready()
        await asyncio.sleep(1.0)
        client = Client(deployment)
        await client.send_for("before", now() + WARM_UP_S)
        send_until = await read_directory(deployment)
        stopped_at = now()
        deployment.signal(STOPPED, signal.SIGTERM)
        sending = asyncio.create_task(client.send_for("after", send_until))
        await asyncio.sleep(stopped_at + SILENT_AT_S - now())
        if has_trouble():
            deployment.signal("llm-0", signal.SIGSTOP)
        await asyncio.sleep(SILENT_FOR_S)
        if has_trouble():
            deployment.signal("llm-0", signal.SIGCONT)
        await sending
        await client.wait()
        deployment.note_events()
        return not find_cut(deployment, client, stopped_at)


def find_cut(deployment: Deployment, client: Client, stopped_at: float) -> list[str]:
    """Return the streams that were passed on to a runner and cut by the machine."""
    passed_on = {event["id"] for event in deployment.events("run")}
    cut = []
    for attempt, is_complete in client.complete.items():
        sent_s = client.sent_at[attempt] - stopped_at
        ended_s = client.ended_at[attempt] - stopped_at
        within_limit = ended_s - sent_s < TIME_LIMIT_MS / 1_000 - 0.1
        if is_complete or attempt not in passed_on or not within_limit:
            continue
        text = f"{attempt} sent {sent_s:.2f} s after SIGTERM, cut after {ended_s:.2f} s"
        deployment.note(text)
        if sent_s > EXCUSED_S and ended_s < GRACE_S + 1.0:
            cut.append(attempt)
            deployment.note(f"LOST broken: {text}")
            print(text)
    return cut


if __name__ == "__main__":
    main(judge)
