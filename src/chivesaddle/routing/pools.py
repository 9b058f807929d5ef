"""State of the backend servers as a daemon knows it, and their pools by model."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from chivesaddle.core.ids import (
    BackendServerId,
    BlockKey,
    ModelId,
    RequestId,
    WeightVersion,
)
from chivesaddle.core.model import ConfigState
from chivesaddle.routing.blocks import BlockIndex
from chivesaddle.routing.decisions import RouteRequest
from chivesaddle.routing.fair_queue import FairQueue
from chivesaddle.routing.outliers import OutlierDetector
from chivesaddle.routing.placement import home_servers
from chivesaddle.routing.servers import LoadReport, Pool, PooledServer

# Home servers depend on the first blocks only, so that requests with the same document
# and different questions have the same homes. With one block, all prompts of an account
# that share a preamble would have the same homes.
HOME_PREFIX_BLOCKS = 4
MAX_CACHED_HOME_SETS = 4_096
MAX_LEAVING_SERVERS = 8_192
# A restart of a server that this daemon does not poll goes unnoticed. By this time the
# server has left or was replaced under the same id.
LEAVING_REPORT_EXPIRY_S = 600.0
# Batch requests of this daemon occupy at most this share of a pool's slots.
MAX_BATCH_SLOT_SHARE = 0.5


class Pools:
    """Servers, pools and waiting requests by model, and the blocks that servers hold.

    Holds one entry per server, at most 4,096 sets of home servers and 8,192 leaving
    servers; for the other bounds see `BlockIndex` and `FairQueue`.
    """

    def __init__(self, outliers: OutlierDetector) -> None:
        self.outliers = outliers
        self.blocks = BlockIndex()
        self.config = ConfigState.empty()
        self.servers_by_id: dict[BackendServerId, PooledServer] = {}
        self.by_model_id: dict[ModelId, Pool] = {}
        self.queues_by_model_id: dict[ModelId, FairQueue] = {}
        self.grant_listener: Callable[[RequestId], None] = lambda _: None
        self.home_servers_by_key: OrderedDict[tuple[ModelId, str], tuple[str, ...]] = (
            OrderedDict()
        )
        self._listed_leaving: frozenset[BackendServerId] = frozenset()
        self._leaving_reported_at: OrderedDict[BackendServerId, float] = OrderedDict()
        # Latest time that a caller passed; calls that change the pools pass no time.
        self._latest_time = 0.0

    def record_time(self, now: float) -> None:
        """Record the time that a caller passed."""
        self._latest_time = max(self._latest_time, now)

    def home_servers_of(self, request: RouteRequest, pool: Pool) -> tuple[str, ...]:
        """Return the home servers of a prompt, best first."""
        keys = request.prefix_keys[:HOME_PREFIX_BLOCKS]
        key = (request.model_id, keys[-1] if keys else request.fingerprint)
        homes = self.home_servers_by_key.get(key)
        if homes is None:
            homes = self.home_servers_by_key[key] = home_servers(
                key[1], pool.weights_by_zone
            )
            if len(self.home_servers_by_key) > MAX_CACHED_HOME_SETS:
                self.home_servers_by_key.popitem(last=False)
        return homes

    def update_load(
        self, server_id: BackendServerId, report: LoadReport, now: float
    ) -> None:
        """Apply a load report."""
        self.record_time(now)
        server = self.servers_by_id.get(server_id)
        if server is None:
            return
        ended_draining = server.draining_by_report and not report.draining
        self._expire_leaving_reports(server_id if ended_draining else None, now)
        previous_load, was_usable, previous_slots = (
            server.load,
            self.is_usable(server),
            server.slots,
        )
        server.refuses_connections = False
        server.apply_report(report, now)
        self.update_pool_load(server, previous_load)
        if self.is_usable(server) != was_usable or server.slots != previous_slots:
            self._rebuild_pools()
        self.grant_slots(server, now)

    def update_versions(
        self,
        server_id: BackendServerId,
        versions_by_model_id: Mapping[ModelId, Iterable[WeightVersion]],
    ) -> None:
        """Replace the weight versions that an engine has loaded (its ``/state``)."""
        server = self.servers_by_id.get(server_id)
        if server is not None:
            server.versions_by_model_id = {
                model: frozenset(versions)
                for model, versions in versions_by_model_id.items()
            }

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: Iterable[BlockKey],
        evicted: Iterable[BlockKey],
    ) -> None:
        """Apply an engine's cache events."""
        if server_id in self.servers_by_id:
            self.blocks.add(server_id, stored)
            self.blocks.discard(server_id, evicted)

    def is_leaving(self, server_id: BackendServerId) -> bool:
        """Return whether a server is listed or was reported as leaving."""
        return (
            server_id in self._listed_leaving or server_id in self._leaving_reported_at
        )

    def set_listed_leaving(self, server_ids: frozenset[BackendServerId]) -> None:
        """Replace the servers that the platform lists as leaving."""
        if server_ids != self._listed_leaving:
            self._listed_leaving = server_ids
            self._rebuild_pools()

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Stop sending new requests to a server that refused one or is leaving.

        A load report of a serving server does not end this: reports lag, and the
        server may have reported itself as serving throughout. A report that ends a
        reported draining does, and so does `record_restart`.
        """
        was_leaving = self.is_leaving(server_id)
        self._leaving_reported_at[server_id] = self._latest_time
        self._leaving_reported_at.move_to_end(server_id)
        if len(self._leaving_reported_at) > MAX_LEAVING_SERVERS:
            self._leaving_reported_at.popitem(last=False)
        if not was_leaving:
            self._rebuild_pools()

    def update_config(self, state: ConfigState) -> None:
        """Apply a configuration; drop the blocks of models that changed version."""
        models_with_new_version = {
            model.id
            for model in state.models_by_id.values()
            if (previous := self.config.models_by_id.get(model.id)) is not None
            and previous.weight_version != model.weight_version
        }
        for server_id in self.servers_by_id.keys() - state.backend_servers_by_id.keys():
            self.blocks.drop_servers({server_id})
            del self.servers_by_id[server_id]
        for server_id, configured in state.backend_servers_by_id.items():
            previous_server = self.config.backend_servers_by_id.get(server_id)
            if previous_server is not None and previous_server != configured:
                # An operator changed the server, for example to end its draining.
                self._leaving_reported_at.pop(server_id, None)
            initial_state = PooledServer.from_config(configured)
            server = self.servers_by_id.setdefault(server_id, initial_state)
            server.zone, server.models = initial_state.zone, initial_state.models
            server.draining_by_config = initial_state.draining_by_config
            if server.report_taken_at == float("-inf"):
                server.max_running = initial_state.max_running
        self.config = state
        if models_with_new_version:
            self.blocks.drop_servers(
                {
                    s.id
                    for s in self.servers_by_id.values()
                    if models_with_new_version & {*s.models}
                }
            )
        self._rebuild_pools()

    def is_usable(self, server: PooledServer) -> bool:
        """Return whether a server may take new requests; ignores ejection."""
        return not (
            server.draining_by_config
            or server.draining_by_report
            or server.refuses_connections
            or self.is_leaving(server.id)
        )

    def record_connection_refused(self, server_id: BackendServerId) -> None:
        """Record a refused connection; the server gets no requests until it reports."""
        server = self.servers_by_id.get(server_id)
        if server is not None and not server.refuses_connections:
            server.refuses_connections = True
            self._rebuild_pools()

    def record_restart(self, server_id: BackendServerId) -> None:
        """Record that a server restarted; the new process is no longer leaving."""
        if self._leaving_reported_at.pop(server_id, None) is not None:
            self._rebuild_pools()

    def _expire_leaving_reports(
        self, resumed_server_id: BackendServerId | None, now: float
    ) -> None:
        """Remove expired entries and, if given, a server that ended its draining."""
        reported = self._leaving_reported_at
        expired = {
            s for s, at in reported.items() if now - at >= LEAVING_REPORT_EXPIRY_S
        }
        for server_id in reported.keys() & (expired | {resumed_server_id}):
            del reported[server_id]

    def _rebuild_pools(self) -> None:
        previous_pools, self.by_model_id = self.by_model_id, {}
        for model_id in self.config.models_by_id:
            pool = self.by_model_id[model_id] = Pool(model_id)
            if model_id in previous_pools:
                pool.batch_in_flight = previous_pools[model_id].batch_in_flight
            if model_id not in self.queues_by_model_id:
                queue = FairQueue(on_grant=lambda r: self.grant_listener(r))
                self.queues_by_model_id[model_id] = queue
        for model_id in self.queues_by_model_id.keys() - self.by_model_id.keys():
            del self.queues_by_model_id[model_id]
        for server in self.servers_by_id.values():
            if self.is_usable(server):
                for model_id in server.models:
                    if model_id in self.by_model_id:
                        self.by_model_id[model_id].add(server)
        self.home_servers_by_key.clear()
        self.outliers.set_pools(
            {
                model_id: frozenset(s.id for s in pool.servers)
                for model_id, pool in self.by_model_id.items()
            },
            self._latest_time,
        )

    def grant_slots(self, server: PooledServer, now: float) -> None:
        """Grant free slots of the server's pools to waiting requests."""
        for model_id in server.models:
            queue = self.queues_by_model_id.get(model_id)
            if queue:
                free_slots, free_batch_slots = count_free_slots(
                    self.by_model_id[model_id]
                )
                queue.grant(
                    free_slots=free_slots, free_batch_slots=free_batch_slots, now=now
                )

    def update_pool_load(self, server: PooledServer, previous_load: int) -> None:
        """Add the change of a server's load since ``previous_load`` to its pools."""
        # Requests may still end on a server that was removed from the configuration and
        # is in no pool.
        if self.servers_by_id.get(server.id) is server and self.is_usable(server):
            for model_id in server.models:
                pool = self.by_model_id.get(model_id)
                if pool is not None:
                    pool.load += server.load - previous_load


def count_free_slots(pool: Pool) -> tuple[int, int]:
    """Return the free slots of a pool, and how many of them batch requests may use."""
    free_slots = pool.slots - pool.load
    return free_slots, min(
        free_slots, int(pool.slots * MAX_BATCH_SLOT_SHARE) - pool.batch_in_flight
    )


__all__ = ["HOME_PREFIX_BLOCKS", "Pools", "count_free_slots"]
