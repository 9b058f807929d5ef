"""A question of many callers in the soak test, at servers that crash together."""

import asyncio
import contextlib
import functools
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager

import httpx

from chivesaddle.tools.soak.scene import Scene

ASK_INTERVAL_S = 0.05
# Servers answer slowly before they crash, so that each has the question then.
PROCESSING_TIME_S = 0.6
SERVERS_DOWN_S = 0.5
# Share of the runs in which servers crash together.
CRASH_SHARE = 0.4
MIN_SERVED_SHARE = 0.9


class CommonQuestion(Scene):
    """Callers that all send the same request."""

    NAME = "question"

    def _prepare(self) -> None:
        self._statuses: list[int | None] = []

    async def ask(self, recovered_by: float, deadline: float) -> None:
        """Ask one daemon after another; nine in ten are answered at the end."""
        tasks: list[asyncio.Task[None]] = []
        async with httpx.AsyncClient(timeout=5.0) as client:
            while self._clock() < deadline:
                number = len(tasks)
                counts = self._clock() >= recovered_by
                tasks.append(asyncio.create_task(self._send(client, number, counts)))
                await asyncio.sleep(ASK_INTERVAL_S)
            await asyncio.gather(*tasks)
        served = self._statuses.count(200)
        if served < MIN_SERVED_SHARE * len(self._statuses):
            self._request_log.violations.append(
                f"{served} of {len(self._statuses)} common questions were answered"
            )

    async def _send(self, client: httpx.AsyncClient, number: int, counts: bool) -> None:
        listeners = list(self._fleet.listeners.values())
        address = listeners[number % len(listeners)]["callers"]
        request_id = f"question-{number}"
        headers = self._start(request_id)
        status = None
        with contextlib.suppress(httpx.HTTPError):
            response = await client.post(
                f"http://{address}/safe/question", headers=headers, content=b"question"
            )
            status = response.status_code
            self._request_log.status_by_id[request_id] = status
        if counts:
            self._statuses.append(status)

    async def crash_servers(
        self,
        fault_s: float,
        servers: asyncio.Lock,
        store: asyncio.Lock,
        log_fault: Callable[[str], AbstractContextManager[None]],
    ) -> None:
        """Crash all servers at once, in some runs."""
        if self._random.random() >= CRASH_SHARE:
            return
        await asyncio.sleep(self._random.uniform(0.2, 0.6) * fault_s)
        names = list(self._fleet.servers)
        async with servers:
            with log_fault(f"crash {' '.join(names)}"):
                await self._set_faults(names, processing_time_s=PROCESSING_TIME_S)
                await asyncio.sleep(2 * PROCESSING_TIME_S)
                for name in names:
                    self._fleet.processes.kill(name)
                await asyncio.sleep(SERVERS_DOWN_S)
                for name in names:
                    await asyncio.to_thread(self._fleet.processes.restart, name)
                    async with store:
                        await asyncio.to_thread(self._fleet.put_restarted_server, name)
                await self._set_faults(names)

    async def _set_faults(self, names: Sequence[str], **switches: float) -> None:
        for name in names:
            set_faults = functools.partial(self._fleet.set_faults, name, **switches)
            await asyncio.to_thread(set_faults)


__all__ = ["CommonQuestion"]
