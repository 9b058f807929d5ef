"""Long bodies in the soak test: limits that change, and callers that leave."""

import asyncio
import contextlib
import re
from pathlib import Path

import httpx

from chivesaddle.tools.platform_fleet import ROUTES
from chivesaddle.tools.soak.scene import Scene

# Limit that the configuration names now and then, and bodies below and above it.
LOW_LIMIT_BYTES = 2_000
SHORT_BODY_BYTES = 1_000
LONG_BODY_BYTES = 3_000
LAST_LOW_LIMIT_S = 3.0
LIMIT_CHANGE_INTERVAL_S = (0.5, 3.0)
SEND_INTERVAL_S = (0.1, 0.4)
# Body of callers that leave before the response.
UPLOAD_BYTES = 4_000_000
LEAVE_AFTER_S = (0.0, 0.03)
UPLOAD_INTERVAL_S = 0.25
# Share of the runs with such callers.
UPLOAD_SHARE = 0.3
# Memory of the smallest machines in the users' sheets.
MEMORY_BYTES = 150_000_000
PEAK_MEMORY = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)


class LongBodies(Scene):
    """Callers with long bodies, and the limits on bodies of one run."""

    NAME = "bodies"

    def _prepare(self) -> None:
        self._has_uploads = self._random.random() < UPLOAD_SHARE
        self._sent_count = 0

    async def change_limits(self, deadline: float, store: asyncio.Lock) -> None:
        """Write configurations with changing limits.

        Connections that are opened after the other faults begin under the low limit,
        which the last configuration takes back.
        """
        low = {"body_bytes": LOW_LIMIT_BYTES}
        limits: dict[str, int] = {}
        while self._clock() < deadline:
            await asyncio.sleep(self._random.uniform(*LIMIT_CHANGE_INTERVAL_S))
            limits = {} if limits else low
            await self._put_limits(limits, store)
        await self._put_limits(low, store)
        await asyncio.sleep(LAST_LOW_LIMIT_S)
        await self._put_limits({}, store)

    async def _put_limits(self, limits: dict[str, int], store: asyncio.Lock) -> None:
        async with store:
            await asyncio.to_thread(self._fleet.put_configuration, ROUTES, limits)

    async def send_on_kept_connections(
        self, name: str, faults_end_at: float, recovered_by: float, deadline: float
    ) -> None:
        """Send to one daemon, longer bodies on the same connection at the end.

        That connection is opened while the low limit is in force.
        """
        opened_at = faults_end_at + LAST_LOW_LIMIT_S / 2
        await self._send_on_one_connection(name, recovered_by, opened_at)
        await self._send_on_one_connection(name, recovered_by, deadline)

    async def _send_on_one_connection(
        self, name: str, recovered_by: float, deadline: float
    ) -> None:
        async with httpx.AsyncClient(timeout=5.0) as client:
            while (now := self._clock()) < deadline:
                size = LONG_BODY_BYTES if now >= recovered_by else SHORT_BODY_BYTES
                request_id = self._next_id("kept")
                headers = self._start(request_id)
                url = f"http://{self._fleet.listeners[name]['callers']}/safe/x"
                content = request_id.ljust(size, ".")
                with contextlib.suppress(httpx.HTTPError):
                    response = await client.post(url, headers=headers, content=content)
                    self._request_log.status_by_id[request_id] = response.status_code
                    if response.status_code == 413:
                        self._request_log.violations.append(
                            f"{request_id}: {size} bytes refused by {name}"
                        )
                await asyncio.sleep(self._random.uniform(*SEND_INTERVAL_S))

    async def leave_uploads(self, faults_end_at: float, deadline: float) -> None:
        """Send long bodies to a daemon and leave before the responses, in some runs.

        Only once they are allowed and the daemon is not started again.
        """
        allowed_at = faults_end_at + LAST_LOW_LIMIT_S
        await asyncio.sleep(max(0.0, allowed_at - self._clock()))
        listeners = self._random.choice(list(self._fleet.listeners.values()))
        while self._has_uploads and self._clock() < deadline:
            with contextlib.suppress(OSError):
                await self._leave_upload(listeners["callers"])
            await asyncio.sleep(UPLOAD_INTERVAL_S)

    async def _leave_upload(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        headers = self._start(self._next_id("left"))
        headers["Content-Length"] = str(UPLOAD_BYTES)
        lines = ["POST /safe/left HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
        _, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            writer.write(bytes(UPLOAD_BYTES))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(writer.drain(), 1.0)
            await asyncio.sleep(self._random.uniform(*LEAVE_AFTER_S))
        finally:
            writer.transport.abort()

    def check_memory(self) -> None:
        """Record a violation for each daemon that needed too much memory."""
        for name in self._fleet.listeners:
            pid = self._fleet.processes.pids.get(name)
            if pid is None:
                continue
            match = PEAK_MEMORY.search(Path(f"/proc/{pid}/status").read_text())
            peak = int(match[1]) * 1_024 if match else 0
            if peak > MEMORY_BYTES:
                self._request_log.violations.append(
                    f"{name} needed {peak // 1_000_000} MB"
                )

    def _next_id(self, kind: str) -> str:
        self._sent_count += 1
        return f"{kind}-{self._sent_count}"


__all__ = ["LongBodies"]
