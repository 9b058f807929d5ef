"""Daemons that were killed at once send a deadly request to runners again."""

import asyncio
import time
from pathlib import Path

import deployment
import wire

KEY = "key-1"
DAEMONS = ("127.0.0.1",) * 3
RUNNERS = tuple(f"runner-{number}" for number in range(1, 9))
ATTEMPTS = 2
# `stable_window_ms`.
STABLE_S = 3.0
BACK_S = 1.0
# "More than three retries" break the rule.
ALLOWED = 3


class Runners:
    """Starts runners again that a request has ended."""

    def __init__(self, fleet: deployment.Deployment) -> None:
        self._fleet = fleet

    async def keep(self) -> None:
        """Watch the runners for as long as the task lives."""
        while True:
            await asyncio.sleep(0.1)
            ended = [name for name in RUNNERS if not self._fleet.is_running(name)]
            if ended:
                self._fleet.record.write(f"{ended} fell over")
                await asyncio.sleep(BACK_S)
                for name in ended:
                    await self._fleet.start_runner(name)
                    await self._fleet.put_runner(name)

    def arrivals(self) -> list[float]:
        """Return when the deadly request began to run, as the runners recorded it."""
        if not self._fleet.crash_log.exists():
            return []
        lines = self._fleet.crash_log.read_text().splitlines()
        return sorted(float(line.split()[0]) for line in lines)


async def ask(address: str, identifier: str, record: deployment.Record) -> int:
    """Send the deadly request once; return the status, 0 without an answer."""
    headers = {
        "Host": deployment.HOST,
        "X-Chivesaddle-Attempt-Identifier": identifier,
        "X-Chivesaddle-Deadline-Milliseconds": "3000",
        "Authorization": f"Bearer {KEY}",
    }
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(wire.encode_request("POST", "/lookup/deadly/2f", headers, b"same"))
        head = await asyncio.wait_for(wire.read_head(reader), 4.0)
        writer.close()
    except (OSError, TimeoutError):
        head = None
    status = head.status if head else 0
    record.write(f"{identifier}: {status}")
    return status


async def case(record: deployment.Record, has_trouble: bool) -> bool:
    """Return whether the request reaches runners in more than three late retries."""
    fleet = deployment.Deployment(record, DAEMONS)
    runners = Runners(fleet)
    keeping: asyncio.Future[None] | None = None
    try:
        await fleet.start_store()
        routes = [
            deployment.route("lookup", "safe", attempts=ATTEMPTS, timeout_ms=3_000)
        ]
        await fleet.put_config(routes, [{"name": "acme", "keys": [KEY]}])
        for name in RUNNERS:
            await fleet.start_runner(name)
            await fleet.put_runner(name)
        for daemon in fleet.listeners:
            await fleet.start_daemon(daemon, {})
        keeping = asyncio.ensure_future(runners.keep())
        await asyncio.sleep(2.0)
        addresses = [listen["callers"] for listen in fleet.listeners.values()]
        for number in range(6):
            await ask(addresses[number % 3], f"first-{number:04d}", record)
            await asyncio.sleep(1.0)
        arrivals = runners.arrivals()
        record.write(f"it has reached runners {len(arrivals)} times")
        if len(arrivals) < 3:
            raise deployment.NotRun("the request did not crash three runners")
        third_at = arrivals[2]
        if has_trouble:
            for daemon in fleet.listeners:
                fleet.kill(daemon)
            for daemon in fleet.listeners:
                await fleet.start_daemon(daemon, {})
        await asyncio.sleep(STABLE_S + 2.0)
        for number in range(4):
            await asyncio.gather(
                *(
                    ask(address, f"again-{number:02d}-{place:02d}", record)
                    for place, address in enumerate(addresses)
                )
            )
            await asyncio.sleep(2.0)
        late = [at for at in runners.arrivals() if at > third_at + STABLE_S]
        since_s = time.time() - third_at
        record.write(
            f"{len(late)} arrivals later than {STABLE_S} s after the third crash, "
            f"{since_s:.1f} s ago"
        )
        return len(late) > ALLOWED
    finally:
        if keeping is not None:
            keeping.cancel()
        fleet.stop()


if __name__ == "__main__":
    deployment.run_case(str(Path(__file__).resolve().parent), case)
