"""Callers of the soak test: send requests to daemons and check the responses."""

import asyncio
import contextlib
import random
import re
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

import httpx

from chivesaddle.platform.headers import LAST_EVENT, REQUEST_ID, RESUMES, TIME_LIMIT
from chivesaddle.standins.platform_server import STREAM_EVENT_COUNT
from chivesaddle.tools.platform_fleet import API_KEY, HOST_NAME, PlatformFleet

REQUEST_TIMEOUT_MS = 3_000
# Times that a caller resumes a stream that was broken off.
MAX_RESUMPTIONS = 2
EVENT = re.compile(r"id: (\d+)\ndata: \d+ (\S+)\n\n")
# Response statuses after which an unsafe request must not have run.
NOT_RUN_STATUSES = {408, 421, 429, 503}


class EndKind(Enum):
    """How a request ended for its caller."""

    RESPONDED = "responded"
    NOT_SENT = "not_sent"
    # The connection was closed before the response was complete.
    CUT = "cut"
    # The caller closed the connection, after waiting for as long as it does.
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How and when a request ended for its caller, in seconds of the callers' clock."""

    kind: EndKind
    at: float


@dataclass(frozen=True, slots=True)
class CallerProfile:
    """How callers behave.

    Attributes
    ----------
    routes : tuple of str
        Names of the routes; each request draws one of them.
    time_limit_ms : int
        Time limit of each request.
    event_count : int
        Events of a whole stream.
    max_gap_s : float
        Seconds that a caller waits for the first or next event of a stream.
    """

    routes: tuple[str, ...] = ("safe", "unsafe", "stream")
    time_limit_ms: int = REQUEST_TIMEOUT_MS
    event_count: int = STREAM_EVENT_COUNT
    max_gap_s: float = REQUEST_TIMEOUT_MS / 1_000 + 2


@dataclass(slots=True)
class RequestLog:
    """Requests that callers sent, how they ended, and violations found."""

    route_by_id: dict[str, str] = field(default_factory=dict)
    status_by_id: dict[str, int | None] = field(default_factory=dict)
    sent_at_by_id: dict[str, float] = field(default_factory=dict)
    end_by_id: dict[str, RequestEnd] = field(default_factory=dict)
    resuming_ids: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)

    def start(self, request_id: str, route: str) -> None:
        """Record a request; it counts for the share once ``sent_at_by_id`` has it."""
        self.route_by_id[request_id] = route
        self.status_by_id[request_id] = None

    def served_share(self, since: float) -> float:
        """Return the share of requests sent from ``since`` on that returned 200."""
        ids = [i for i, at in self.sent_at_by_id.items() if at >= since]
        served = sum(self.status_by_id.get(i) == 200 for i in ids)
        return served / len(ids) if ids else 0.0


DEFAULT_PROFILE = CallerProfile()


def request_headers(
    request_id: str, time_limit_ms: int = REQUEST_TIMEOUT_MS
) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {API_KEY}",
        REQUEST_ID.decode(): request_id,
        TIME_LIMIT.decode(): str(time_limit_ms),
    }


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
    software_by_server : mapping
        Software version of each backend server.
    profile : CallerProfile
        How it behaves.
    """

    def __init__(
        self,
        name: str,
        seed: int,
        request_log: RequestLog,
        list_addresses: Callable[[], Awaitable[list[str]]],
        clock: Callable[[], float],
        software_by_server: Mapping[str, str],
        profile: CallerProfile = DEFAULT_PROFILE,
    ) -> None:
        self._name = name
        self._profile = profile
        self._software_by_server = software_by_server
        self._random = random.Random(seed)
        self._request_log = request_log
        self._list_addresses = list_addresses
        self._clock = clock
        self._sent_count = 0

    async def run(self, deadline: float) -> None:
        """Send requests one after another until ``deadline``."""
        timeout_s = self._profile.time_limit_ms / 1_000 + 2
        async with httpx.AsyncClient(timeout=timeout_s) as client:
            address = ""
            while self._clock() < deadline:
                if not address:
                    addresses = await self._list_addresses()
                    address = self._random.choice(addresses) if addresses else ""
                if address and not await self._request(client, address):
                    address = ""
                await asyncio.sleep(self._random.uniform(0.0, 0.08))

    async def _request(self, client: httpx.AsyncClient, address: str) -> bool:
        route = self._random.choice(self._profile.routes)
        if route == "stream":
            return await self._request_stream(client, address)
        request_id, headers = self._start(route)
        url = f"http://{address}/{route}/x"
        try:
            response = await client.post(
                url, headers=headers, content=request_id.encode()
            )
        except httpx.HTTPError as error:
            # After a connection error the request may or may not have run.
            self._record_end(request_id, _kind_of_end(error))
            return False
        self._record_end(request_id, EndKind.RESPONDED)
        self._request_log.status_by_id[request_id] = response.status_code
        if (
            response.status_code == 200
            and response.text != f"{request_id}:{request_id}"
        ):
            self._request_log.violations.append(
                f"{request_id}: wrong response {response.text!r}"
            )
        return response.status_code < 500

    def _record_end(self, request_id: str, kind: EndKind) -> None:
        self._request_log.end_by_id[request_id] = RequestEnd(kind, self._clock())

    def _start(self, route: str) -> tuple[str, dict[str, str]]:
        """Record a new request; return its id and headers."""
        self._sent_count += 1
        request_id = f"{self._name}-{self._sent_count}"
        self._request_log.start(request_id, route)
        self._request_log.sent_at_by_id[request_id] = self._clock()
        return request_id, request_headers(request_id, self._profile.time_limit_ms)

    async def _request_stream(self, client: httpx.AsyncClient, address: str) -> bool:
        """Receive a stream; resume it at other daemons if it is broken off."""
        events: list[tuple[str, str]] = []
        began, target = "", f"/stream/{self._name}-{self._sent_count}"
        for _ in range(1 + MAX_RESUMPTIONS):
            request_id, headers = self._start("stream")
            if events:
                self._request_log.resuming_ids.add(request_id)
                headers |= {RESUMES.decode(): began, LAST_EVENT.decode(): events[-1][0]}
            text, is_complete = await self._receive(
                client, f"http://{address}{target}", request_id, headers
            )
            began = began if events else request_id
            events += EVENT.findall(text)
            found = check_events(
                events,
                is_complete,
                self._software_by_server,
                self._profile.event_count,
            )
            self._request_log.violations += [f"{request_id}: {v}" for v in found]
            if is_complete or not events:
                break
            addresses = await self._list_addresses()
            address = self._random.choice(addresses) if addresses else address
        return is_complete

    async def _receive(
        self,
        client: httpx.AsyncClient,
        url: str,
        request_id: str,
        headers: dict[str, str],
    ) -> tuple[str, bool]:
        """Return the body that arrived, and whether it is a complete success."""
        text = ""
        gap_s = self._profile.max_gap_s
        try:
            async with client.stream(
                "POST", url, headers=headers, timeout=gap_s
            ) as response:
                async for part in response.aiter_text():
                    text += part
        except httpx.HTTPError as error:
            # What arrived before the connection broke counts.
            self._record_end(request_id, _kind_of_end(error))
            return text, False
        self._record_end(request_id, EndKind.RESPONDED)
        self._request_log.status_by_id[request_id] = response.status_code
        return text, response.status_code == 200


def _kind_of_end(error: httpx.HTTPError) -> EndKind:
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout() | httpx.PoolTimeout():
            return EndKind.NOT_SENT
        case httpx.TimeoutException():
            return EndKind.LEFT
        case _:
            return EndKind.CUT


async def list_addresses(fleet: PlatformFleet, names: Sequence[str]) -> list[str]:
    """Return the client addresses that the first daemon to respond lists."""
    async with httpx.AsyncClient(timeout=0.5) as client:
        for name in names:
            address = fleet.listeners[name]["addresses"]
            with contextlib.suppress(httpx.HTTPError):
                response = await client.get(
                    f"http://{address}/resolve", params={"zone": "z"}
                )
                if response.status_code == 200:
                    return response.json()["addresses"]
    return []


def check_events(
    events: Sequence[tuple[str, str]],
    is_complete: bool,
    software_by_server: Mapping[str, str],
    event_count: int = STREAM_EVENT_COUNT,
) -> list[str]:
    """Return the violations that the events of a stream show, over all its requests.

    Each event is a pair of its id and the server that made it.
    """
    violations = []
    ids = [int(event_id) for event_id, _ in events]
    expected = list(range(1, event_count + 1))
    if ids != (expected if is_complete else expected[: len(ids)]):
        violations.append(f"events {ids}, complete: {is_complete}")
    versions = {software_by_server[server] for _, server in events}
    if len(versions) > 1:
        violations.append(f"several software versions: {events}")
    return violations


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


__all__ = [
    "Caller",
    "CallerProfile",
    "EndKind",
    "RequestEnd",
    "RequestLog",
    "check_events",
    "check_runs",
    "list_addresses",
    "request_headers",
]
