"""Reads the event timeline of all daemons, once or repeatedly."""

from collections.abc import AsyncIterator
from typing import Any

from chivesaddle.cli.client import OperatorClient
from chivesaddle.core.aio import sleep_until

POLL_INTERVAL_S = 1.0
# Events of other daemons can arrive after newer ones, so each poll also requests events
# that are up to this much older than the newest one.
POLL_OVERLAP_US = 10_000_000


async def follow(
    client: OperatorClient, params: dict[str, str], once: bool
) -> AsyncIterator[dict[str, Any]]:
    """Yield timeline responses without the events of earlier responses."""
    seen: dict[tuple[str, int, int], None] = {}
    newest_us = 0
    while True:
        after = max(0, newest_us - POLL_OVERLAP_US)
        response = await client.call(
            "GET",
            "/operator/v1/timeline",
            params=params | ({"after": f"{after}.-1"} if after else {}),
        )
        new_events = [
            event for event in response["events"] if _event_key(event) not in seen
        ]
        for event in new_events:
            seen[_event_key(event)] = None
            newest_us = max(newest_us, event["at"]["wall_us"])
        yield response | {"events": new_events}
        if once:
            return
        for key in [k for k in seen if k[1] < newest_us - POLL_OVERLAP_US]:
            del seen[key]
        await sleep_until(client.clock, client.clock.seconds() + POLL_INTERVAL_S)


def _event_key(event: dict[str, Any]) -> tuple[str, int, int]:
    return event["daemon"], event["at"]["wall_us"], event["at"]["counter"]


__all__ = ["follow"]
