"""Measurements of the platform calls that request handling makes."""

from typing import Any

from twisted.internet.task import Clock

from chivesaddle.actions import ActionService, Outcome
from chivesaddle.configuration import PromptStore
from chivesaddle.core.aio import start
from chivesaddle.core.ids import (
    AccountId,
    DaemonId,
    IdempotencyKey,
    PromptId,
    ServiceId,
)
from chivesaddle.core.model import Operation, Service
from chivesaddle.tools.slopes.control import cpu_ms
from chivesaddle.tools.slopes.fleet import CountingObjectApi

ACCOUNT = AccountId("account-0")
SERVICE = Service(
    id=ServiceId("booking"),
    urls=("http://127.0.0.1:9",),
    operations=(Operation(name="reserve"),),
)
BODY = b'{"seat": 4}'
REQUESTS_PER_S = 64
# Longer than the 9 s for which a daemon caches a stored prompt.
STORED_PROMPTS_MEASUREMENT_S = 30

Measurements = dict[str, float]


class _BookingClient:
    async def send(self, *args: Any) -> Outcome:
        return Outcome(200, b'{"reserved": 4}')


def measure_actions(count: float) -> Measurements:
    """Measure platform calls and processor time of actions without faults."""
    clock = Clock()
    api = CountingObjectApi(clock)
    service = ActionService(
        api, _BookingClient(), clock, DaemonId("daemon-1"), {SERVICE.id: SERVICE}.get
    )
    results: list[Any] = []

    def run() -> None:
        for n in range(int(count)):
            key = IdempotencyKey(f"key-{n}")
            action = service.run(ACCOUNT, key, SERVICE.id, "reserve", BODY, 10.0)
            start(action).addBoth(results.append)

    spent_ms = cpu_ms(run)
    if [a.state.value for a in results] != ["done"] * int(count):
        raise RuntimeError(
            f"Not all actions are done; the last result is {results[-1]}"
        )
    return {
        "cpu": spent_ms,
        "writes": api.calls["create"] + api.calls["update"],
        "reads": api.calls["get"] + api.calls["list"],
        "bytes": api.body_bytes,
    }


def measure_stored_prompts(count: float) -> Measurements:
    """Measure a daemon's reads when 64 requests/s use ``count`` prompts in turn."""
    clock = Clock()
    api = CountingObjectApi(clock)
    store = PromptStore(api, clock)
    ids = [PromptId(f"p{n}") for n in range(int(count))]
    for prompt_id in ids:
        start(PromptStore(api, clock).create(ACCOUNT, {"text": "x"}, prompt_id))
    api.calls.clear()
    for n in range(STORED_PROMPTS_MEASUREMENT_S * REQUESTS_PER_S):
        clock.advance(1 / REQUESTS_PER_S)
        start(store.get(ACCOUNT, ids[n % len(ids)]))
    return {"reads": api.calls["get"] / STORED_PROMPTS_MEASUREMENT_S}


__all__ = ["measure_actions", "measure_stored_prompts"]
