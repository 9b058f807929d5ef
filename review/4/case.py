"""Shows two holders that order under one fence number after a drill of the store."""

import asyncio
import itertools
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins"))

from deployment import (  # noqa: E402
    MODEL,
    Deployment,
    call_json,
    has_trouble,
    main,
    route,
    running,
)

LEASE_S = 3.0
# Half of the daemons are killed at the same moment.
DAEMONS, KILLED = 6, 3
RUNNERS = {f"llm-{n}": "llm" for n in range(4)}
SERVICE = {
    "name": "llm",
    "health_path": "/health",
    "connection_limit": 360,
    "engine": {
        "slots": 64,
        "kv_capacity": 99_503,
        "kv_token_bytes": 163_840,
        "link_mbps": 260_000.0,
        "max_concurrent": 12,
        "models": [{"name": MODEL}],
    },
}


async def all_have(deployment: Deployment, version: int) -> bool:
    """Return whether every runner's entry names a weight version."""
    _, listed = await call_json(deployment.store, "GET", "/objects/servers")
    entries = [item["specification"] for item in listed["items"]]
    versions = [model["version"] for entry in entries for model in entry["models"]]
    return len(versions) == len(RUNNERS) and min(versions) >= version


async def name_version(deployment: Deployment, version: int) -> None:
    """Name new weights, as the operator does."""
    await deployment.write("versions", MODEL, {"model": MODEL, "version": version})


def find_breaks(deployment: Deployment) -> list[str]:
    """Return how the orders to each runner break the rule."""
    breaks = []
    for runner in RUNNERS:
        orders = [e for e in deployment.events("order") if e["runner"] == runner]
        for earlier, later in itertools.pairwise(orders):
            if later["holder"] == earlier["holder"]:
                continue
            fences = earlier["fencing_token"], later["fencing_token"]
            gap_s = later["at"] - earlier["at"]
            who = f"{runner}: {earlier['holder']} then {later['holder']}"
            if fences[0] == fences[1]:
                breaks.append(f"{who}, both with fence number {fences[0]}")
            if fences[1] < fences[0]:
                breaks.append(f"{who}, fence number {fences[1]} after {fences[0]}")
            if gap_s < LEASE_S:
                breaks.append(f"{who}, {gap_s:.2f} s apart")
    return breaks


async def judge() -> bool:
    """Play the case; return whether the rule held."""
    deployment = Deployment(
        CASE,
        RUNNERS,
        DAEMONS,
        services=[SERVICE],
        routes=[route("ask", "streaming", "llm")],
    )
    with running(deployment):
        await deployment.start_store()
        await deployment.write_config()
        await name_version(deployment, 1)
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        for runner in RUNNERS:
            deployment.start_runner(runner, entry={"slots": 64, "models": models})
        await deployment.wait_for("the runners", lambda: all_have(deployment, 1))
        # The store comes back from this copy in the drill, some seconds later.
        await call_json(deployment.store, "POST", "/control/copy")
        deployment.note("copy of the store taken")
        for daemon in deployment.listen:
            deployment.start_daemon(daemon)
        await deployment.wait_for_ready()
        await asyncio.sleep(1.0)
        await name_version(deployment, 2)
        await deployment.wait_for("version 2", lambda: all_have(deployment, 2))
        holders = {order["holder"] for order in deployment.events("order")}
        if has_trouble():
            others = [name for name in deployment.listen if name not in holders]
            killed = others[:KILLED]
            for daemon in killed:
                deployment.kill(daemon)
            deployment.note("drill: the store is away for 0.3 s")
            await call_json(deployment.store, "POST", "/control/drill?away_ms=300")
            deployment.note("drill: the store is back from the copy, one era later")
            await deployment.write_config()
            await name_version(deployment, 2)
            for daemon in killed:
                deployment.start_daemon(daemon)
            await deployment.wait_for_ready(*killed)
        await asyncio.sleep(5.0)
        await name_version(deployment, 3)
        await deployment.wait_for("version 3", lambda: all_have(deployment, 3))
        deployment.note_events()
        breaks = find_breaks(deployment)
        for text in breaks:
            deployment.note(f"ONE broken: {text}")
            print(text)
        return not breaks


if __name__ == "__main__":
    main(judge)
