"""Callers of the soak test: send requests to daemons and check the responses."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httpx

from chivesaddle.platform.headers import REQUEST_ID, TIME_LIMIT
from chivesaddle.standins.platform_server import STREAM_EVENT_COUNT
from chivesaddle.tools.platform_fleet import API_KEY, HOST_NAME

REQUEST_TIMEOUT_MS = 3_000
# Response statuses after which an unsafe request must not have run.
NOT_RUN_STATUSES = {408, 421, 429, 503}


@dataclass(slots=True)
class RequestLog:
    """Requests that callers sent, their response statuses, and violations found."""

    route_by_id: dict[str, str] = field(default_factory=dict)
    status_by_id: dict[str, int | None] = field(default_factory=dict)
    sent_at_by_id: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def served_share(self, since: float) -> float:
        """Return the share of requests sent from ``since`` on that returned 200."""
        ids = [i for i, at in self.sent_at_by_id.items() if at >= since]
        served = sum(self.status_by_id.get(i) == 200 for i in ids)
        return served / len(ids) if ids else 0.0


class Caller:
    """One caller; stays with a daemon until a request to it fails.

    Parameters
    ----------
    name : str
        Prefix of its request ids.
    seed : int
        Seed of its addresses, routes and pauses.
    request_log : RequestLog
        Where it records requests and violations; shared by all callers.
    list_addresses : callable
        Returns the client addresses of the daemons, as one daemon lists them.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        name: str,
        seed: int,
        request_log: RequestLog,
        list_addresses: Callable[[], Awaitable[list[str]]],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._random = random.Random(seed)
        self._request_log = request_log
        self._list_addresses = list_addresses
        self._clock = clock
        self._sent_count = 0

    async def run(self, deadline: float) -> None:
        """Send requests one after another until ``deadline``."""
        async with httpx.AsyncClient(timeout=REQUEST_TIMEOUT_MS / 1_000 + 2) as client:
            address = ""
            while self._clock() < deadline:
                if not address:
                    addresses = await self._list_addresses()
                    address = self._random.choice(addresses) if addresses else ""
                if address and not await self._request(client, address):
                    address = ""
                await asyncio.sleep(self._random.uniform(0.0, 0.08))

    async def _request(self, client: httpx.AsyncClient, address: str) -> bool:
        self._sent_count += 1
        request_id = f"{self._name}-{self._sent_count}"
        route = self._random.choice(("safe", "unsafe", "stream"))
        self._request_log.route_by_id[request_id] = route
        self._request_log.sent_at_by_id[request_id] = self._clock()
        self._request_log.status_by_id[request_id] = None
        headers = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {API_KEY}",
            REQUEST_ID.decode(): request_id,
            TIME_LIMIT.decode(): str(REQUEST_TIMEOUT_MS),
        }
        body = request_id.encode()
        url = f"http://{address}/{route}/x"
        try:
            response = await client.post(url, headers=headers, content=body)
        except httpx.HTTPError:
            # After a connection error the request may or may not have run.
            return False
        self._request_log.status_by_id[request_id] = response.status_code
        if response.status_code == 200:
            self._check_response(request_id, route, response.text)
        return response.status_code < 500

    def _check_response(self, request_id: str, route: str, text: str) -> None:
        if route == "stream":
            ids = [line for line in text.splitlines() if line.startswith("id: ")]
            if ids != [f"id: {number}" for number in range(1, STREAM_EVENT_COUNT + 1)]:
                self._request_log.violations.append(f"{request_id}: events {ids}")
        elif text != f"{request_id}:{request_id}":
            self._request_log.violations.append(
                f"{request_id}: wrong response {text!r}"
            )


def check_runs(request_log: RequestLog, runs: list[str]) -> list[str]:
    """Return the violations that the runs on the backend servers show.

    These are unsafe requests that ran more than once, unsafe requests that ran although
    the response said that they were not run, and runs that no caller requested.
    ``runs`` holds a request id for each run on a backend server.
    """
    violations = []
    for request_id, route in request_log.route_by_id.items():
        count = runs.count(request_id)
        if route == "unsafe" and count > 1:
            violations.append(f"{request_id}: an unsafe request ran {count} times")
        was_rejected = request_log.status_by_id[request_id] in NOT_RUN_STATUSES
        if route == "unsafe" and was_rejected and count:
            violations.append(
                f"{request_id}: ran, though its caller was told it did not"
            )
    unknown = set(runs) - set(request_log.route_by_id)
    violations += [f"{request_id}: nobody sent it" for request_id in sorted(unknown)]
    return violations


__all__ = ["Caller", "RequestLog", "check_runs"]
