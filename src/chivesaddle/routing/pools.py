"""What a daemon knows of the backend servers, and the pools that they form."""

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
from chivesaddle.routing.outliers import Outliers
from chivesaddle.routing.placement import home_servers
from chivesaddle.routing.servers import LoadReport, Pool, ServerState

# Home servers follow the first blocks only: requests that share a document but not the
# question after it get the same home. One block would give all prompts of an account
# with a common preamble the same home.
HOME_DEPTH_BLOCKS = 4
MAX_CACHED_HOMES = 4_096
MAX_LEAVING = 8_192
# A server that this daemon does not poll shows no sign of a restart; by this time it
# has left or was replaced under the same id.
LEAVING_EXPIRY_S = 600.0
# Batch requests of this daemon occupy at most this share of a pool's slots.
BATCH_SHARE = 0.5


class Pools:
    """Servers, pools and waiting requests by model, and the blocks that servers hold.

    Holds one entry per server, at most 4,096 sets of home servers and 8,192 leaving
    servers; `BlockIndex` and `FairQueue` state their own.
    """

    def __init__(self, outliers: Outliers) -> None:
        self.outliers = outliers
        self.blocks = BlockIndex()
        self.config = ConfigState.empty()
        self.servers_by_id: dict[BackendServerId, ServerState] = {}
        self.by_model_id: dict[ModelId, Pool] = {}
        self.queues_by_model_id: dict[ModelId, FairQueue] = {}
        self.grant_listener: Callable[[RequestId], None] = lambda _: None
        self.homes: OrderedDict[tuple[ModelId, str], tuple[str, ...]] = OrderedDict()
        self._listed_leaving: frozenset[BackendServerId] = frozenset()
        self._reported_leaving_at: OrderedDict[BackendServerId, float] = OrderedDict()
        # Time of the last choice, report or failure; pool changes carry no time.
        self._latest = 0.0

    def note_time(self, now: float) -> None:
        """Note the time of a call that carries one."""
        self._latest = max(self._latest, now)

    def home_servers_of(self, request: RouteRequest, pool: Pool) -> tuple[str, ...]:
        """Return the home servers of a prompt, best first."""
        keys = request.prefix_keys[:HOME_DEPTH_BLOCKS]
        key = (request.model_id, keys[-1] if keys else request.fingerprint)
        homes = self.homes.get(key)
        if homes is None:
            homes = self.homes[key] = home_servers(key[1], pool.weights_by_zone)
            if len(self.homes) > MAX_CACHED_HOMES:
                self.homes.popitem(last=False)
        return homes

    def update_load(
        self, server_id: BackendServerId, report: LoadReport, now: float
    ) -> None:
        """Take over a load report."""
        self.note_time(now)
        server = self.servers_by_id.get(server_id)
        if server is None:
            return
        ended_draining = server.draining_by_report and not report.draining
        self._forget_reported(server_id if ended_draining else None, now)
        before, usable, slots = server.load, self.is_usable(server), server.slots
        server.refuses_connections = False
        server.apply_report(report, now)
        self.load_changed(server, before)
        if self.is_usable(server) != usable or server.slots != slots:
            self._rebuild_pools()
        self.grant_places(server, now)

    def update_versions(
        self,
        server_id: BackendServerId,
        versions_by_model_id: Mapping[ModelId, Iterable[WeightVersion]],
    ) -> None:
        """Take over which weight versions an engine has loaded (its ``/state``)."""
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
        """Take over an engine's cache events."""
        if server_id in self.servers_by_id:
            self.blocks.add(server_id, stored)
            self.blocks.discard(server_id, evicted)

    def is_leaving(self, server_id: BackendServerId) -> bool:
        """Tell whether a server was reported as leaving."""
        return (
            server_id in self._listed_leaving or server_id in self._reported_leaving_at
        )

    def set_listed_leaving(self, server_ids: frozenset[BackendServerId]) -> None:
        """Replace the servers that the platform lists as leaving."""
        if server_ids != self._listed_leaving:
            self._listed_leaving = server_ids
            self._rebuild_pools()

    def set_leaving(self, server_id: BackendServerId) -> None:
        """Give a server that refused work or was reported no new work.

        A report that it serves does not end this, because reports lag and may say so
        all the time; a report after one of draining does, and `note_restart`.
        """
        known = self.is_leaving(server_id)
        self._reported_leaving_at[server_id] = self._latest
        self._reported_leaving_at.move_to_end(server_id)
        if len(self._reported_leaving_at) > MAX_LEAVING:
            self._reported_leaving_at.popitem(last=False)
        if not known:
            self._rebuild_pools()

    def update_config(self, state: ConfigState) -> None:
        """Apply a configuration; forget the blocks of models that changed version."""
        swapped = {
            model.id
            for model in state.models_by_id.values()
            if (old := self.config.models_by_id.get(model.id)) is not None
            and old.weight_version != model.weight_version
        }
        for server_id in self.servers_by_id.keys() - state.backend_servers_by_id.keys():
            self.blocks.drop_servers({server_id})
            del self.servers_by_id[server_id]
        for server_id, configured in state.backend_servers_by_id.items():
            before = self.config.backend_servers_by_id.get(server_id)
            if before is not None and before != configured:
                # An operator changed the server, for example to end its draining.
                self._reported_leaving_at.pop(server_id, None)
            fresh = ServerState.from_config(configured)
            server = self.servers_by_id.setdefault(server_id, fresh)
            server.zone, server.models = fresh.zone, fresh.models
            server.draining_by_config = fresh.draining_by_config
            if server.report_taken_at == float("-inf"):
                server.max_running = fresh.max_running
        self.config = state
        if swapped:
            self.blocks.drop_servers(
                {s.id for s in self.servers_by_id.values() if swapped & {*s.models}}
            )
        self._rebuild_pools()

    def is_usable(self, server: ServerState) -> bool:
        """Tell whether a server may take new work, apart from ejection."""
        return not (
            server.draining_by_config
            or server.draining_by_report
            or server.refuses_connections
            or self.is_leaving(server.id)
        )

    def note_refused(self, server_id: BackendServerId) -> None:
        """Note that a server refused a connection; it gets no work until it reports."""
        server = self.servers_by_id.get(server_id)
        if server is not None and not server.refuses_connections:
            server.refuses_connections = True
            self._rebuild_pools()

    def note_restart(self, server_id: BackendServerId) -> None:
        """Note that a server was started anew; it is not the one that was leaving."""
        if self._reported_leaving_at.pop(server_id, None) is not None:
            self._rebuild_pools()

    def _forget_reported(self, serving: BackendServerId | None, now: float) -> None:
        """Forget a server that ended its draining, and those found leaving long ago."""
        reported = self._reported_leaving_at
        old = {s for s, at in reported.items() if now - at >= LEAVING_EXPIRY_S}
        for server_id in reported.keys() & (old | {serving}):
            del reported[server_id]

    def _rebuild_pools(self) -> None:
        old, self.by_model_id = self.by_model_id, {}
        for model_id in self.config.models_by_id:
            pool = self.by_model_id[model_id] = Pool(model_id)
            if model_id in old:
                pool.batch_in_flight = old[model_id].batch_in_flight
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
        self.homes.clear()
        self.outliers.set_pools(
            {
                model_id: frozenset(s.id for s in pool.servers)
                for model_id, pool in self.by_model_id.items()
            },
            self._latest,
        )

    def grant_places(self, server: ServerState, now: float) -> None:
        """Give free places of the server's pools to waiting requests."""
        for model_id in server.models:
            queue = self.queues_by_model_id.get(model_id)
            if queue:
                free, free_batch = free_places(self.by_model_id[model_id])
                queue.grant(free=free, free_batch=free_batch, now=now)

    def load_changed(self, server: ServerState, before: int) -> None:
        """Add the change of a server's load since ``before`` to its pools."""
        # A server that left the configuration may still end runs, but is in no pool.
        if self.servers_by_id.get(server.id) is server and self.is_usable(server):
            for model_id in server.models:
                pool = self.by_model_id.get(model_id)
                if pool is not None:
                    pool.load += server.load - before


def free_places(pool: Pool) -> tuple[int, int]:
    """Return the free slots of a pool, and those that batch may use."""
    free = pool.slots - pool.load
    return free, min(free, int(pool.slots * BATCH_SHARE) - pool.batch_in_flight)


__all__ = ["HOME_DEPTH_BLOCKS", "Pools", "free_places"]
