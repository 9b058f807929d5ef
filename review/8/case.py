"""A stream whose runner crashes goes on at another software version."""

import asyncio
from pathlib import Path

import deployment
import wire

KEY = "key-1"
STREAMS = 4
# "More than two streams" break the rule.
ALLOWED_MIXED = 2
# A silence of "a second or so" before the first event.
BUSY_S = 1.4


async def read_stream(address: str, number: int, record: deployment.Record) -> set[str]:
    """Ask for a stream and return the software versions that wrote its events."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    identifier = f"stream{number:010d}"
    headers = {
        "Host": deployment.HOST,
        "X-Chivesaddle-Attempt-Identifier": identifier,
        "X-Chivesaddle-Deadline-Milliseconds": "12000",
        "Authorization": f"Bearer {KEY}",
    }
    target = f"/ask/stream/{number}"
    writer.write(wire.encode_request("POST", target, headers, b"question"))
    record.write(f"client sends {identifier}")
    head = await wire.read_head(reader)
    if head is None:
        record.write(f"client got no answer to {identifier}")
        return set()
    await wire.read_body(reader, head)
    writer.close()
    events = [
        dict(line.split(": ", 1) for line in event.splitlines())
        for event in head.body.decode().split("\n\n")
        if event
    ]
    written = " ".join(f"{event['id']}:{event['data']}," for event in events)
    record.write(
        f"client got {head.status}, whole {head.is_whole}, for {identifier}: {written}"
    )
    return {event["data"].split()[0] for event in events}


async def case(record: deployment.Record, has_trouble: bool) -> bool:
    """Return whether more than two streams hold events of two software versions."""
    fleet = deployment.Deployment(record)
    try:
        await fleet.start_store()
        route = deployment.route(
            "ask",
            "streaming",
            timeout_ms=12_000,
            target_latency_ms=300,
            allow_resume=True,
        )
        await fleet.put_config([route], [{"name": "acme", "keys": [KEY]}])
        for name, software in (("old-1", "v1"), ("new-1", "v2"), ("new-2", "v2")):
            await fleet.start_runner(name, software)
        await fleet.put_runner("old-1")
        await fleet.control("old-1", work_s=BUSY_S)
        await fleet.start_daemon("front-0", {})
        await asyncio.sleep(1.0)
        address = fleet.listeners["front-0"]["callers"]
        streams = [
            asyncio.ensure_future(read_stream(address, number, record))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(0.3)
        # The release begins; the first new runner has no room.
        await fleet.control("new-1", full=True)
        await fleet.put_runner("new-1")
        await asyncio.sleep(BUSY_S)
        await fleet.put_runner("new-2")
        await fleet.start_runner("new-3", "v2")
        await fleet.put_runner("new-3")
        await asyncio.sleep(0.5)
        if has_trouble:
            fleet.kill("old-1")
        versions = await asyncio.gather(*streams)
        for name in ("new-1", "new-2", "new-3"):
            runs = (await fleet.control(name))["runs"]
            record.write(
                f"runner {name} ran {[(run['id'], run['after']) for run in runs]}"
            )
        if not all(versions):
            raise deployment.NotRun("a stream got no event")
        mixed = sum(len(found) > 1 for found in versions)
        record.write(f"streams with events of two software versions: {mixed}")
        return mixed > ALLOWED_MIXED
    finally:
        fleet.stop()


if __name__ == "__main__":
    deployment.run_case(str(Path(__file__).resolve().parent), case)
