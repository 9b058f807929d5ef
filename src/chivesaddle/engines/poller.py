"""Polling of engines for their load and cache events."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.ids import BackendServerId, BlockKey
from chivesaddle.core.logs import PartLogger
from chivesaddle.engines.client import EngineClient
from chivesaddle.engines.errors import EngineError, EngineRefused
from chivesaddle.engines.reports import CacheEvents, EngineState, LoadReport

POLL_INTERVAL_S = 1.0
POLL_DEADLINE_S = 1.0
# Up to this many servers are polled once a second each.
MAX_POLLED_EACH_SECOND = 16
# More servers share this rate, because control may take 32 ms of processor time a
# second and a poll is three reads of about 1 ms each; see docs/CAPACITY.md.
SHARED_POLLS_PER_S = 4.0
# Weight versions change rarely; until they are read again, a request that meets a
# missing version goes to another server.
STATE_INTERVAL_S = 3.0
_log = PartLogger("engines")


class PollSink(Protocol):
    """Takes what was polled, as `routing.Router`."""

    def update_load(
        self, server_id: BackendServerId, report: LoadReport, now: float
    ) -> None:
        """Take a load report received at ``now``."""

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: frozenset[BlockKey],
        evicted: frozenset[BlockKey],
    ) -> None:
        """Take changes of a server's cached blocks."""

    def update_versions(self, server_id: BackendServerId, state: EngineState) -> None:
        """Take what a server has loaded."""

    def note_refused(self, server_id: BackendServerId) -> None:
        """Note that a server refused a connection."""

    def note_restart(self, server_id: BackendServerId) -> None:
        """Note that a server was started anew."""

    def set_leaving(self, server_id: BackendServerId) -> None:
        """Note that a server takes no new work."""


@dataclass
class _Server:
    url: str
    after: int | None = None
    state_due: float = 0.0
    refused: bool = False
    known: set[BlockKey] = field(default_factory=set)
    loop: "Deferred[None] | None" = None


class EnginePoller:
    """Polls each engine once a second, many engines at a bounded total rate.

    The block keys known of a server are kept, so that a full list after a gap can be
    reported as a difference.

    Parameters
    ----------
    client : EngineClient
        Access to the engines.
    clock : Clock
        Clock of the intervals.
    sink : PollSink
        Takes the results.
    random : Random or None
        Source of the phases of many servers' polls.
    """

    def __init__(
        self,
        client: EngineClient,
        clock: Clock,
        sink: PollSink,
        random: Random | None = None,
    ) -> None:
        self._random = random or Random()
        self._client = client
        self._clock = clock
        self._sink = sink
        self._servers_by_id: dict[BackendServerId, _Server] = {}
        self._interval_s = POLL_INTERVAL_S

    def set_servers(self, urls_by_id: Mapping[BackendServerId, str]) -> None:
        """Poll exactly these servers from now on."""
        for server_id, server in list(self._servers_by_id.items()):
            if urls_by_id.get(server_id) != server.url:
                del self._servers_by_id[server_id]
                if server.loop is not None:
                    server.loop.cancel()
        self._interval_s = poll_interval_s(len(urls_by_id))
        for server_id, url in urls_by_id.items():
            if server_id not in self._servers_by_id:
                server = self._servers_by_id[server_id] = _Server(url)
                server.loop = start(self._poll_forever(server_id, server))
                server.loop.addErrback(log_failure(_log, f"polling {server_id} ended"))

    def stop(self) -> None:
        """Stop polling."""
        self.set_servers({})

    async def _poll_forever(self, server_id: BackendServerId, server: _Server) -> None:
        if self._interval_s > POLL_INTERVAL_S:
            # Spreads the polls; the daemons of a zone meet a server at different times.
            wait_s = self._random.uniform(0, self._interval_s)
            await sleep_until(self._clock, self._clock.seconds() + wait_s)
        while True:
            due = self._clock.seconds() + self._interval_s
            try:
                await self._poll(server_id, server)
            except CancelledError:
                raise
            except EngineError as error:
                if isinstance(error, EngineRefused):
                    server.refused = True
                    self._sink.note_refused(server_id)
                _log.debug("polling %s failed: %s", server_id, error)
            except Exception:
                _log.exception("polling %s failed unexpectedly", server_id)
            await sleep_until(self._clock, due)

    async def _poll(self, server_id: BackendServerId, server: _Server) -> None:
        deadline = self._clock.seconds() + POLL_DEADLINE_S
        report = await self._client.load(server.url, deadline)
        if server.refused:
            server.refused = False
            self._sink.note_restart(server_id)
        self._sink.update_load(server_id, report, self._clock.seconds())
        if report.draining:
            self._sink.set_leaving(server_id)
        now = self._clock.seconds()
        if now >= server.state_due:
            state = await self._client.state(server.url, deadline)
            server.state_due = now + STATE_INTERVAL_S
            self._sink.update_versions(server_id, state)
        if server.after is None:
            await self._read_all(server_id, server)
            return
        changes = await self._client.events(server.url, server.after, deadline)
        if changes.next < server.after:
            self._sink.note_restart(server_id)
        if _has_gap(changes, server.after):
            await self._read_all(server_id, server)
            return
        server.after = changes.next
        stored: set[BlockKey] = set()
        evicted: set[BlockKey] = set()
        for event in changes.events:
            added, removed = stored, evicted
            if event.type == "evicted":
                added, removed = evicted, stored
            added.add(event.block_key)
            removed.discard(event.block_key)
        self._report(server_id, server, stored, evicted)

    async def _read_all(self, server_id: BackendServerId, server: _Server) -> None:
        server.after = None
        deadline = self._clock.seconds() + POLL_DEADLINE_S
        cached = await self._client.blocks(server.url, deadline)
        server.after = cached.seq
        found = set(cached.block_keys)
        self._report(server_id, server, found - server.known, server.known - found)

    def _report(
        self,
        server_id: BackendServerId,
        server: _Server,
        stored: set[BlockKey],
        evicted: set[BlockKey],
    ) -> None:
        server.known |= stored
        server.known -= evicted
        if stored or evicted:
            self._sink.update_blocks(server_id, frozenset(stored), frozenset(evicted))


def poll_interval_s(servers: int) -> float:
    """Return the seconds between two polls of one server.

    Examples
    --------
    >>> poll_interval_s(8), poll_interval_s(311)
    (1.0, 77.75)
    """
    if servers <= MAX_POLLED_EACH_SECOND:
        return POLL_INTERVAL_S
    return servers / SHARED_POLLS_PER_S


def _has_gap(changes: CacheEvents, after: int) -> bool:
    """Tell whether events are missing; ``next`` below ``after`` means a restart."""
    numbers = [event.seq for event in changes.events]
    return changes.next < after or numbers != list(range(after + 1, changes.next + 1))


__all__ = ["POLL_INTERVAL_S", "EnginePoller", "PollSink", "poll_interval_s"]
