"""Shows that the knowledge of a deadly request is lost when all daemons are killed."""

import asyncio
import itertools
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from deployment import (  # noqa: E402
    CouldNotRun,
    Deployment,
    has_trouble,
    main,
    route,
    running,
)

RUNNERS = {f"desk-{n}": "desk" for n in range(8)}
DEADLY_PATH = "/look/deadly"
WORK_MS = 200
SEND_INTERVAL_S = 0.05
STABLE_WINDOW_S = 3.0
# A crashed runner is back after this time, with a new lifetime.
BACK_AFTER_S = 3.0
MOST_RETRIES = 3
# Rounds in which the deadly request comes to all daemons at once, after the kill.
ROUNDS = 3
ROUND_INTERVAL_S = 1.0


async def keep_runners(deployment: Deployment) -> None:
    """Start crashed runners again."""
    while True:
        for name in RUNNERS:
            process = deployment.processes.get(name)
            if process is not None and process.poll() is not None:
                deployment.processes.pop(name)
                deployment.note(f"{name} has crashed")
                task = asyncio.create_task(restart(deployment, name))
                task.add_done_callback(lambda done: done.exception())
        await asyncio.sleep(0.05)


async def restart(deployment: Deployment, name: str) -> None:
    """Start a runner again after some seconds."""
    await asyncio.sleep(BACK_AFTER_S)
    deployment.start_runner(name, work_ms=WORK_MS, crash_path=DEADLY_PATH)


async def send_sound(deployment: Deployment, statuses: dict[str, int | None]) -> None:
    """Send sound unsafe requests to all daemons in turn until cancelled."""
    tasks = []

    async def send(daemon: str, attempt: str) -> None:
        answer = await deployment.send(daemon, "/book/1", attempt)
        statuses[attempt] = None if answer is None else answer.status

    try:
        for number, daemon in enumerate(itertools.cycle(deployment.listen)):
            tasks.append(asyncio.create_task(send(daemon, f"book-{number}")))
            await asyncio.sleep(SEND_INTERVAL_S)
    finally:
        await asyncio.gather(*tasks)


async def send_deadly(deployment: Deployment, daemon: str, attempt: str) -> None:
    """Send the request that crashes runners."""
    await deployment.send(daemon, DEADLY_PATH, attempt, method="GET", body=b"")


async def judge() -> bool:
    """Play the case; return whether the rule held."""
    deployment = Deployment(
        CASE,
        RUNNERS,
        services=[{"name": "desk", "health_path": "/health", "connection_limit": 96}],
        routes=[
            route("book", "unsafe", "desk", attempts=1),
            route("look", "safe", "desk", attempts=2),
        ],
    )
    statuses: dict[str, int | None] = {}
    with running(deployment):
        await deployment.start_store()
        await deployment.write_config()
        for runner in RUNNERS:
            deployment.start_runner(runner, work_ms=WORK_MS, crash_path=DEADLY_PATH)
        for daemon in deployment.listen:
            deployment.start_daemon(daemon)
        await deployment.wait_for_ready()
        await asyncio.sleep(1.0)
        keeping = asyncio.create_task(keep_runners(deployment))
        sending = asyncio.create_task(send_sound(deployment, statuses))
        try:
            await play(deployment)
        finally:
            for task in (keeping, sending):
                task.cancel()
            await asyncio.gather(keeping, sending, return_exceptions=True)
        deployment.note_events()
        return find_retries(deployment, statuses) <= MOST_RETRIES


async def play(deployment: Deployment) -> None:
    """Let the deadly request come, kill all daemons, and let it come again."""
    daemons = list(deployment.listen)
    for number in range(6):
        await send_deadly(deployment, daemons[number % 3], f"deadly-first-{number}")
        await asyncio.sleep(0.5)
    crashes = deployment.events("crash")
    if len(crashes) < 3:
        raise CouldNotRun(f"only {len(crashes)} crashes")
    deployment.note(f"{len(crashes)} crashes; the request is refused from now on")
    await asyncio.sleep(BACK_AFTER_S + STABLE_WINDOW_S + 2.0)
    if has_trouble():
        for daemon in daemons:
            deployment.kill(daemon)
        for daemon in daemons:
            deployment.start_daemon(daemon)
        await deployment.wait_for_ready()
        deployment.note("all daemons are ready again")
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    for number in range(ROUNDS):
        copies = [
            send_deadly(deployment, daemon, f"deadly-again-{number}-{daemon}")
            for daemon in daemons
        ]
        await asyncio.gather(*copies)
        await asyncio.sleep(ROUND_INTERVAL_S)


def find_retries(deployment: Deployment, statuses: dict[str, int | None]) -> int:
    """Return how often the deadly request was run again too late."""
    third_crash_at = deployment.events("crash")[2]["at"]
    runs = [e for e in deployment.events("run") if e["path"] == DEADLY_PATH]
    late = [e for e in runs if e["at"] > third_crash_at + STABLE_WINDOW_S]
    for event in late:
        at = event["at"] - third_crash_at
        deployment.note(
            f"{event['id']} reaches {event['runner']} {at:.2f} s after the third crash"
        )
    ran = {event["id"] for event in deployment.events("run")}
    lost = [a for a, status in statuses.items() if a in ran and status != 200]
    text = (
        f"{len(late)} retries reached runners over stable_window_ms after the third "
        f"crash; {len(lost)} sound unsafe requests were begun and not answered with "
        "success in all"
    )
    deployment.note(text)
    print(text)
    return len(late)


if __name__ == "__main__":
    main(judge)
