"""Shows that one unreadable entry hides all changes of the runners' list."""

import asyncio
import itertools
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from deployment import (  # noqa: E402
    CouldNotRun,
    Deployment,
    call,
    call_json,
    has_trouble,
    main,
    now,
    route,
    running,
)

RUNNERS = {f"desk-{n}": "desk" for n in range(4)}
OLD_RUNNERS = ("desk-0", "desk-1")
NEW_RUNNERS = ("desk-2", "desk-3")
WORK_MS = 300
SEND_INTERVAL_S = 0.05
# Of the bounds.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# How much longer than `DRAIN_S` a runner that leaves goes on.
EXTRA_S = 1.0
# A zone whose name another writer cut inside a surrogate pair: JSON, but no text.
FOREIGN_ENTRY = {"service": "desk", "state": "ready", "zone": "zone \ud83d"}


async def send_all(deployment: Deployment, statuses: dict[str, int | None]) -> None:
    """Send unsafe requests to all daemons in turn until cancelled."""
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


async def drain(deployment: Deployment, runner: str) -> float:
    """Let a runner report that it drains; return when the store has acknowledged."""
    address = deployment.address_by_runner[runner]
    await call(address, "POST", "/control/drain")
    acknowledged_at = now()
    path = f"/objects/servers/{runner}"
    _, item = await call_json(deployment.store, "GET", path)
    if item["specification"]["state"] != "draining":
        raise CouldNotRun(f"{runner} does not drain")
    deployment.note(f"store acknowledged that {runner} drains")
    return acknowledged_at


async def replace(deployment: Deployment, old: str, new: str) -> float:
    """Replace a runner: the new one starts, the old one drains and ends."""
    deployment.start_runner(new, work_ms=WORK_MS)
    await asyncio.sleep(1.5)
    acknowledged_at = await drain(deployment, old)
    await asyncio.sleep(acknowledged_at + DRAIN_S + EXTRA_S - now())
    deployment.kill(old)
    await call_json(deployment.store, "DELETE", f"/objects/servers/{old}")
    deployment.note(f"{old} has ended and its entry is removed")
    return acknowledged_at


async def judge() -> bool:
    """Play the case; return whether the rule held."""
    deployment = Deployment(
        CASE,
        RUNNERS,
        services=[{"name": "desk", "health_path": "/health", "connection_limit": 96}],
        routes=[route("book", "unsafe", "desk", attempts=1)],
    )
    statuses: dict[str, int | None] = {}
    with running(deployment):
        await deployment.start_store()
        await deployment.write_config()
        for runner in OLD_RUNNERS:
            deployment.start_runner(runner, work_ms=WORK_MS)
        for daemon in deployment.listen:
            deployment.start_daemon(daemon)
        await deployment.wait_for_ready()
        await asyncio.sleep(1.0)
        sending = asyncio.create_task(send_all(deployment, statuses))
        await asyncio.sleep(1.0)
        if has_trouble():
            await deployment.write("servers", "of-another-writer", FOREIGN_ENTRY)
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)
        acknowledged_at = {}
        for old, new in zip(OLD_RUNNERS, NEW_RUNNERS, strict=True):
            acknowledged_at[old] = await replace(deployment, old, new)
        replaced_at = now()
        await asyncio.sleep(3.0)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        deployment.note_events()
        breaks = 0
        for event in deployment.events("run"):
            drained_at = acknowledged_at.get(event["runner"])
            late_s = 0.0 if drained_at is None else event["at"] - drained_at - DRAIN_S
            if late_s > 0:
                breaks += 1
                deployment.note(
                    f"DRAIN broken: {event['id']} reaches {event['runner']} "
                    f"{DRAIN_S + late_s:.2f} s after the acknowledgement, the client "
                    f"gets {statuses[event['id']]}"
                )
        await summarize(deployment, statuses, breaks, replaced_at)
        return not breaks


async def summarize(
    deployment: Deployment,
    statuses: dict[str, int | None],
    breaks: int,
    replaced_at: float,
) -> None:
    """Write down how the requests ended."""
    ran = {event["id"] for event in deployment.events("run")}
    lost = [a for a, status in statuses.items() if status != 200 and a in ran]
    later = [event for event in deployment.events("run") if event["at"] > replaced_at]
    text = (
        f"{breaks} requests reached a runner later than drain_ms; {len(lost)} unsafe "
        f"requests were begun by a runner and never answered with success; "
        f"{len(later)} requests ran in the 3 s after both runners were replaced"
    )
    deployment.note(text)
    print(text)


if __name__ == "__main__":
    main(judge)
