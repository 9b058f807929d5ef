"""Following the time line of all daemons."""

from collections.abc import AsyncIterator
from typing import Any

from chivesaddle.cli.client import OperatorClient
from chivesaddle.core.aio import sleep_until

FOLLOW_S = 1.0
# Events of other daemons can arrive after newer ones, so each poll reads this far back.
OVERLAP_US = 10_000_000


async def follow(
    client: OperatorClient, params: dict[str, str], once: bool
) -> AsyncIterator[dict[str, Any]]:
    """Yield answers of the time line with only events that were not seen before."""
    shown: dict[tuple[str, int, int], None] = {}
    newest_us = 0
    while True:
        after = max(0, newest_us - OVERLAP_US)
        answer = await client.call(
            "GET",
            "/operator/v1/timeline",
            params=params | ({"after": f"{after}.-1"} if after else {}),
        )
        fresh = [event for event in answer["events"] if _key(event) not in shown]
        for event in fresh:
            shown[_key(event)] = None
            newest_us = max(newest_us, event["at"]["wall_us"])
        yield answer | {"events": fresh}
        if once:
            return
        for key in [k for k in shown if k[1] < newest_us - OVERLAP_US]:
            del shown[key]
        await sleep_until(client.clock, client.clock.seconds() + FOLLOW_S)


def _key(event: dict[str, Any]) -> tuple[str, int, int]:
    return event["daemon"], event["at"]["wall_us"], event["at"]["counter"]


__all__ = ["follow"]
