"""Points of the experiments that count platform calls of the data path."""

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
# Longer than the 9 s for which a daemon keeps a stored prompt.
PROMPTS_S = 30

Figures = dict[str, float]


class _Booking:
    async def send(self, *args: Any) -> Outcome:
        return Outcome(200, b'{"reserved": 4}')


def actions(number: float) -> Figures:
    """Platform calls and processor time of actions without faults."""
    clock = Clock()
    api = CountingObjectApi(clock)
    service = ActionService(
        api, _Booking(), clock, DaemonId("daemon-1"), {SERVICE.id: SERVICE}.get
    )
    answers: list[Any] = []

    def run() -> None:
        for n in range(int(number)):
            key = IdempotencyKey(f"key-{n}")
            work = service.run(ACCOUNT, key, SERVICE.id, "reserve", BODY, 10.0)
            start(work).addBoth(answers.append)

    spent = cpu_ms(run)
    if [a.state.value for a in answers] != ["done"] * int(number):
        raise RuntimeError(f"Not all actions are done: {answers[-1]}")
    return {
        "cpu": spent,
        "writes": api.calls["create"] + api.calls["update"],
        "reads": api.calls["get"] + api.calls["list"],
        "bytes": api.body_bytes,
    }


def stored_prompts(number: float) -> Figures:
    """Reads of a daemon whose 64 requests/s go through ``number`` prompts in turn."""
    clock = Clock()
    api = CountingObjectApi(clock)
    store = PromptStore(api, clock)
    ids = [PromptId(f"p{n}") for n in range(int(number))]
    for prompt_id in ids:
        start(PromptStore(api, clock).create(ACCOUNT, {"text": "x"}, prompt_id))
    api.calls.clear()
    for request in range(PROMPTS_S * REQUESTS_PER_S):
        clock.advance(1 / REQUESTS_PER_S)
        start(store.get(ACCOUNT, ids[request % len(ids)]))
    return {"reads": api.calls["get"] / PROMPTS_S}


__all__ = ["actions", "stored_prompts"]
