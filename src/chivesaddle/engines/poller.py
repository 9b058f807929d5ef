"""Polling of engines for load, loaded versions and cache events."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.ids import BackendServerId, BlockKey
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.engines.client import EngineClient
from chivesaddle.engines.errors import EngineError, EngineRefused
from chivesaddle.engines.reports import CacheEvents, EngineState, LoadReport

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
# Up to this number of servers, each one is polled once per second.
MAX_SERVERS_POLLED_EACH_SECOND = 16
# Total poll rate for a larger number of servers. All control work of a daemon is
# limited to 32 ms of CPU time per second, and a poll makes three HTTP requests of about
# 1 ms each; see docs/CAPACITY.md.
TOTAL_POLLS_PER_S = 4.0
# Weight versions change rarely. A request that is sent to a server without its version
# in the meantime is retried on another server.
STATE_READ_INTERVAL_S = 3.0
_log = ComponentLogger("engines")


class PollSink(Protocol):
    """Receives the poll results and passes them on, e.g. to `routing.Router`."""

    def update_load(
        self, server_id: BackendServerId, report: LoadReport, now: float
    ) -> None:
        """Process a load report received at ``now``."""

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: frozenset[BlockKey],
        evicted: frozenset[BlockKey],
    ) -> None:
        """Process changes of a server's cached blocks."""

    def update_versions(self, server_id: BackendServerId, state: EngineState) -> None:
        """Process the state of a server: its loaded models and versions."""

    def record_connection_refused(self, server_id: BackendServerId) -> None:
        """Record that a server refused a connection."""

    def record_restart(self, server_id: BackendServerId) -> None:
        """Record that a server was restarted."""

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Record that a server accepts no new requests."""


@dataclass
class _PolledServer:
    url: str
    last_seq: int | None = None
    next_state_read_at: float = 0.0
    refused: bool = False
    cached_blocks: set[BlockKey] = field(default_factory=set)
    polling: "Deferred[None] | None" = None


class EnginePoller:
    """Polls each engine once per second, or many engines at a limited total rate.

    The poller keeps the keys of each server's cached blocks. After a gap in the cache
    events it reads the full list of blocks and reports only the difference.

    Parameters
    ----------
    client : EngineClient
        Client for the engines.
    clock : Clock
        Clock for the poll intervals.
    sink : PollSink
        Receives the results.
    random : Random or None
        Source of the random initial delays.
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
        self._servers_by_id: dict[BackendServerId, _PolledServer] = {}
        self._interval_s = POLL_INTERVAL_S

    def set_servers(self, urls_by_id: Mapping[BackendServerId, str]) -> None:
        """Replace the set of polled servers."""
        for server_id, server in list(self._servers_by_id.items()):
            if urls_by_id.get(server_id) != server.url:
                del self._servers_by_id[server_id]
                if server.polling is not None:
                    server.polling.cancel()
        self._interval_s = poll_interval_s(len(urls_by_id))
        for server_id, url in urls_by_id.items():
            if server_id not in self._servers_by_id:
                server = self._servers_by_id[server_id] = _PolledServer(url)
                server.polling = start(self._poll_loop(server_id, server))
                server.polling.addErrback(
                    log_failure(_log, f"poll loop of {server_id} failed")
                )

    def stop(self) -> None:
        """Stop polling."""
        self.set_servers({})

    async def _poll_loop(
        self, server_id: BackendServerId, server: _PolledServer
    ) -> None:
        if self._interval_s > POLL_INTERVAL_S:
            # The random delay spreads the polls over the interval, so that the daemons
            # of a zone don't all poll a server at the same time.
            wait_s = self._random.uniform(0, self._interval_s)
            await sleep_until(self._clock, self._clock.seconds() + wait_s)
        while True:
            next_poll_at = self._clock.seconds() + self._interval_s
            try:
                await self._poll(server_id, server)
            except CancelledError:
                raise
            except EngineError as error:
                if isinstance(error, EngineRefused):
                    server.refused = True
                    self._sink.record_connection_refused(server_id)
                _log.debug("polling %s failed: %s", server_id, error)
            except Exception:
                _log.exception("polling %s failed unexpectedly", server_id)
            await sleep_until(self._clock, next_poll_at)

    async def _poll(self, server_id: BackendServerId, server: _PolledServer) -> None:
        deadline = self._clock.seconds() + POLL_TIMEOUT_S
        report = await self._client.load(server.url, deadline)
        if server.refused:
            server.refused = False
            self._sink.record_restart(server_id)
        self._sink.update_load(server_id, report, self._clock.seconds())
        if report.draining:
            self._sink.mark_leaving(server_id)
        now = self._clock.seconds()
        if now >= server.next_state_read_at:
            state = await self._client.state(server.url, deadline)
            server.next_state_read_at = now + STATE_READ_INTERVAL_S
            self._sink.update_versions(server_id, state)
        if server.last_seq is None:
            await self._reload_blocks(server_id, server)
            return
        changes = await self._client.events(server.url, server.last_seq, deadline)
        if changes.next < server.last_seq:
            self._sink.record_restart(server_id)
        if _has_gap(changes, server.last_seq):
            await self._reload_blocks(server_id, server)
            return
        server.last_seq = changes.next
        stored: set[BlockKey] = set()
        evicted: set[BlockKey] = set()
        for event in changes.events:
            added, removed = stored, evicted
            if event.type == "evicted":
                added, removed = evicted, stored
            added.add(event.block_key)
            removed.discard(event.block_key)
        self._report_blocks(server_id, server, stored, evicted)

    async def _reload_blocks(
        self, server_id: BackendServerId, server: _PolledServer
    ) -> None:
        server.last_seq = None
        deadline = self._clock.seconds() + POLL_TIMEOUT_S
        cached = await self._client.blocks(server.url, deadline)
        server.last_seq = cached.seq
        current = set(cached.block_keys)
        self._report_blocks(
            server_id,
            server,
            current - server.cached_blocks,
            server.cached_blocks - current,
        )

    def _report_blocks(
        self,
        server_id: BackendServerId,
        server: _PolledServer,
        stored: set[BlockKey],
        evicted: set[BlockKey],
    ) -> None:
        server.cached_blocks |= stored
        server.cached_blocks -= evicted
        if stored or evicted:
            self._sink.update_blocks(server_id, frozenset(stored), frozenset(evicted))


def poll_interval_s(server_count: int) -> float:
    """Return the seconds between two polls of a server.

    Examples
    --------
    >>> poll_interval_s(8), poll_interval_s(311)
    (1.0, 77.75)
    """
    if server_count <= MAX_SERVERS_POLLED_EACH_SECOND:
        return POLL_INTERVAL_S
    return server_count / TOTAL_POLLS_PER_S


def _has_gap(changes: CacheEvents, last_seq: int) -> bool:
    """Return whether events are missing.

    A ``next`` below ``last_seq`` means that the engine was restarted.
    """
    seqs = [event.seq for event in changes.events]
    return changes.next < last_seq or seqs != list(
        range(last_seq + 1, changes.next + 1)
    )


__all__ = ["POLL_INTERVAL_S", "EnginePoller", "PollSink", "poll_interval_s"]
