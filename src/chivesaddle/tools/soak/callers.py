"""Callers of the soak: ask for addresses, keep connections, send, and judge answers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httpx

from chivesaddle.platform.headers import REQUEST_ID, TIME_LIMIT
from chivesaddle.standins.platform_server import EVENTS
from chivesaddle.tools.platform_fleet import HOST_NAME, KEY

TIME_LIMIT_MS = 3_000
PROMISE_NOT_RUN = {408, 421, 429, 503}


@dataclass(slots=True)
class Record:
    """What the callers saw, by request id."""

    kind_by_id: dict[str, str] = field(default_factory=dict)
    status_by_id: dict[str, int | None] = field(default_factory=dict)
    sent_at_by_id: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def served_share(self, since: float) -> float:
        """Return the share of requests sent after ``since`` that succeeded."""
        ids = [i for i, at in self.sent_at_by_id.items() if at >= since]
        served = sum(self.status_by_id.get(i) == 200 for i in ids)
        return served / len(ids) if ids else 0.0


class Caller:
    """One caller; keeps its connection until the daemon is gone.

    Parameters
    ----------
    name : str
        Prefix of its request ids.
    addresses : callable
        Returns addresses for callers, as a daemon names them.
    """

    def __init__(
        self,
        name: str,
        seed: int,
        record: Record,
        addresses: Callable[[], Awaitable[list[str]]],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._random = random.Random(seed)
        self._record = record
        self._addresses = addresses
        self._clock = clock
        self._sent = 0

    async def run(self, until: float) -> None:
        """Send one request after the other until a time."""
        async with httpx.AsyncClient(timeout=TIME_LIMIT_MS / 1_000 + 2) as client:
            address = ""
            while self._clock() < until:
                if not address:
                    found = await self._addresses()
                    address = self._random.choice(found) if found else ""
                if address and not await self._request(client, address):
                    address = ""
                await asyncio.sleep(self._random.uniform(0.0, 0.08))

    async def _request(self, client: httpx.AsyncClient, address: str) -> bool:
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        kind = self._random.choice(("safe", "unsafe", "stream"))
        self._record.kind_by_id[request_id] = kind
        self._record.sent_at_by_id[request_id] = self._clock()
        self._record.status_by_id[request_id] = None
        headers = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {KEY}",
            REQUEST_ID.decode(): request_id,
            TIME_LIMIT.decode(): str(TIME_LIMIT_MS),
        }
        body = request_id.encode()
        url = f"http://{address}/{kind}/x"
        try:
            answer = await client.post(url, headers=headers, content=body)
        except httpx.HTTPError:
            # A closed connection promises nothing.
            return False
        self._record.status_by_id[request_id] = answer.status_code
        if answer.status_code == 200:
            self._judge(request_id, kind, answer.text)
        return answer.status_code < 500

    def _judge(self, request_id: str, kind: str, text: str) -> None:
        if kind == "stream":
            ids = [line for line in text.splitlines() if line.startswith("id: ")]
            if ids != [f"id: {number}" for number in range(1, EVENTS + 1)]:
                self._record.violations.append(f"{request_id}: events {ids}")
        elif text != f"{request_id}:{request_id}":
            self._record.violations.append(f"{request_id}: another answer {text!r}")


def judge_runs(record: Record, runs: list[str]) -> list[str]:
    """Return what the servers' log of runs says against the promises."""
    found = []
    for request_id, kind in record.kind_by_id.items():
        count = runs.count(request_id)
        if kind == "unsafe" and count > 1:
            found.append(f"{request_id}: an unsafe request ran {count} times")
        promised = record.status_by_id[request_id] in PROMISE_NOT_RUN
        if kind == "unsafe" and promised and count:
            found.append(f"{request_id}: ran, though its caller was told it did not")
    unknown = set(runs) - set(record.kind_by_id)
    found += [f"{request_id}: nobody sent it" for request_id in sorted(unknown)]
    return found


__all__ = ["Caller", "Record", "judge_runs"]
