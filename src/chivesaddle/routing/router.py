"""Chooses the backend server of each request."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    BlockKey,
    DaemonId,
    Fingerprint,
    ModelId,
    RequestId,
    WeightVersion,
)
from chivesaddle.core.model import ConfigState, Model
from chivesaddle.routing.admission import check_deadline
from chivesaddle.routing.blocks import BlockIndex
from chivesaddle.routing.cost import Prediction, predict
from chivesaddle.routing.decisions import (
    TOKENS_PER_BLOCK,
    AccountLimited,
    Decision,
    NoBackendServer,
    QueueFull,
    Refuse,
    RequestCrashesBackend,
    RouteRequest,
    Send,
    UnknownModel,
    Wait,
)
from chivesaddle.routing.fair_queue import FairQueue
from chivesaddle.routing.limits import Limits
from chivesaddle.routing.outliers import Outliers
from chivesaddle.routing.placement import home_servers, whole_order
from chivesaddle.routing.retry_budget import RetryBudget
from chivesaddle.routing.servers import InFlight, LoadReport, Pool, ServerState
from chivesaddle.routing.suspects import Announcement, Suspects, Verdict

# Home servers follow the first blocks only: requests that share a document but not the
# question after it get the same home. One block would give all prompts of an account
# with a common preamble the same home.
HOME_DEPTH_BLOCKS = 4
MAX_CACHED_HOMES = 4_096
MAX_CHARGED = 16_384
MAX_LEAVING = 8_192
# A home is passed over above this multiple of the mean load (Mirrokni et al.,
# "Consistent Hashing with Bounded Loads", 2018).
LOAD_BOUND = 1.25
# Random servers also considered, so that load spreads when all homes are busy.
PROBES = 2
# Preference for earlier homes among servers that are predicted nearly equal.
HOME_RANK_S = 0.002
# Batch requests of this daemon occupy at most this share of a pool's slots.
BATCH_SHARE = 0.5
MIN_WAIT_S = 0.01
MAX_WAIT_S = 0.25
# Leaving servers are replaced and ejected ones return within about this time.
NO_SERVER_RETRY_S = 3.0


class Router:
    """Routing decisions of one daemon.

    Synchronous and without I/O; ``now`` is in seconds on one monotonic clock. After a
    `Send`, call `record_start` before anything else is awaited, so that the next choice
    sees the load. Announcements that a method returns have to reach the peers before
    the request is sent, retried or answered.

    Holds one entry per server, account and own request in flight, and at most 65,536
    holders of 32,768 blocks, 4,096 sets of home servers, 16,384 charged requests, 8,192
    leaving servers, and 1,000 waiting requests per model; `Suspects` states its own.
    """

    def __init__(
        self, daemon_id: DaemonId, *, incarnation: int = 0, seed: int = 0
    ) -> None:
        self.limits = Limits()
        self.outliers = Outliers()
        self.suspects = Suspects(daemon_id, incarnation)
        self.retry_budget = RetryBudget()
        self._random = random.Random(seed)
        self._blocks = BlockIndex()
        self._config = ConfigState.empty()
        self._servers_by_id: dict[BackendServerId, ServerState] = {}
        self._pools_by_model_id: dict[ModelId, Pool] = {}
        self._queues_by_model_id: dict[ModelId, FairQueue] = {}
        self._homes: OrderedDict[tuple[ModelId, str], tuple[str, ...]] = OrderedDict()
        # Charged requests; the value tells whether the request was ever sent.
        self._charged: OrderedDict[RequestId, bool] = OrderedDict()
        self._leaving: OrderedDict[BackendServerId, None] = OrderedDict()
        self._server_by_request_id: dict[RequestId, ServerState] = {}
        self._grant_listener: Callable[[RequestId], None] = lambda _: None
        # Time of the last choice, report or failure; pool changes carry no time.
        self._latest = 0.0

    # Decisions

    def choose(
        self,
        request: RouteRequest,
        now: float,
        excluded: frozenset[BackendServerId] = frozenset(),
    ) -> Decision:
        """Decide where, when or whether the request runs.

        ``excluded`` names servers that already failed this request.
        """
        self._latest = max(self._latest, now)
        model = self._config.models_by_id.get(request.model_id)
        if model is None:
            return Refuse(
                UnknownModel(
                    f"Model {request.model_id!r} is not configured",
                    remedy="GET /v1/models lists the models",
                )
            )
        verdict = self.suspects.verdict(request.fingerprint, now)
        if verdict is Verdict.REJECTED:
            return self._refuse(request, self._crash_refusal(request, now))
        limited = self._charge(request, now)
        if limited is not None:
            return Refuse(limited)
        eligible = _Eligible(self, request, model, excluded, now)
        if verdict is Verdict.ISOLATED:
            return self._choose_isolated(request, eligible, now)
        return self._choose_in_turn(request, eligible, now)

    def admit(self, request: RouteRequest, now: float) -> Refuse | None:
        """Refuse a request that may not run, before anything is looked up for it.

        Charges the account's limits once; `choose` does the same for a request that
        was not admitted before.
        """
        if self.suspects.verdict(request.fingerprint, now) is Verdict.REJECTED:
            return self._refuse(request, self._crash_refusal(request, now))
        limited = self._charge(request, now)
        return None if limited is None else Refuse(limited)

    def may_retry(self, now: float) -> bool:
        """Take one retry from the budget; False if it is spent."""
        return self.retry_budget.try_spend(now)

    def set_grant_listener(self, listener: Callable[[RequestId], None]) -> None:
        """Call ``listener`` when a waiting request may ask again before its time.

        A place would otherwise stay free until then, up to 0.25 s. The listener must
        not call the router.
        """
        self._grant_listener = listener

    def cancel(self, request_id: RequestId) -> None:
        """Forget a waiting request whose caller has gone."""
        for queue in self._queues_by_model_id.values():
            queue.remove(request_id)
        self._charged.pop(request_id, None)

    def _choose_in_turn(
        self, request: RouteRequest, eligible: "_Eligible", now: float
    ) -> Decision:
        pool = self._pools_by_model_id[request.model_id]
        queue = self._queues_by_model_id[request.model_id]
        if request.request_id not in queue:
            refusal = self._enqueue(request, pool, queue, eligible, now)
            if refusal is not None:
                return self._refuse(request, refusal)
        free, free_batch = _free_places(pool)
        if not queue.poll(
            request.request_id, free=free, free_batch=free_batch, now=now
        ):
            return self._wait(request, pool, queue, eligible, now)
        best = self._best(request, pool, eligible, now)
        if best is None:
            if not any(map(eligible, pool.servers)):
                return self._refuse(request, _no_server(request.model_id))
            refusal = self._enqueue(request, pool, queue, eligible, now)
            if refusal is not None:
                return self._refuse(request, refusal)
            return self._wait(request, pool, queue, eligible, now)
        server, prediction = best
        late = check_deadline(request, prediction, now)
        if late is not None:
            return self._refuse(request, late)
        return _send(server, prediction)

    def _choose_isolated(
        self, request: RouteRequest, eligible: "_Eligible", now: float
    ) -> Decision:
        """Choose for a suspect: one copy at a time, one suspect per server.

        All daemons try the servers in the same order, so that copies which start
        before the announcements cross meet on the same server.
        """
        self._queues_by_model_id[request.model_id].remove(request.request_id)
        pool = self._pools_by_model_id[request.model_id]
        servers = {s.id: s for s in pool.servers if eligible(s)}
        if not servers:
            return self._refuse(request, _no_server(request.model_id))
        late: ChivesaddleError | None = None
        if not self.suspects.is_running(request.fingerprint, now):
            occupied = self.suspects.occupied_servers(now)
            for server_id in whole_order(request.fingerprint, servers):
                server = servers[BackendServerId(server_id)]
                if server.id not in occupied and server.load < server.slots:
                    prediction = predict(server, request, eligible.depth(server), now)
                    late = check_deadline(request, prediction, now)
                    if late is None:
                        return _send(server, prediction)
        if late is None and now + MAX_WAIT_S > request.deadline:
            late = check_deadline(request, Prediction(MAX_WAIT_S, 0.0), now)
        if late is not None:
            return self._refuse(request, late)
        return Wait(now + MAX_WAIT_S)

    def _best(
        self, request: RouteRequest, pool: Pool, eligible: "_Eligible", now: float
    ) -> tuple[ServerState, Prediction] | None:
        """Return the server with the lowest predicted time to first token."""
        bound = LOAD_BOUND * pool.load / max(1, len(pool.servers))
        best: tuple[ServerState, Prediction] | None = None
        best_score = float("inf")
        for server, rank in self._candidates(request, pool, eligible, bound):
            if server.load >= server.slots or not eligible(server):
                continue
            prediction = predict(server, request, eligible.depth(server), now)
            score = prediction.first_token_s + rank * HOME_RANK_S
            score += self.outliers.penalty_s(server.id, now)
            if score < best_score:
                best, best_score = (server, prediction), score
        if best is None or now + best[1].first_token_s > request.deadline:
            return self._best_of_all(request, pool, eligible, now) or best
        return best

    def _best_of_all(
        self, request: RouteRequest, pool: Pool, eligible: "_Eligible", now: float
    ) -> tuple[ServerState, Prediction] | None:
        best: tuple[ServerState, Prediction] | None = None
        best_s = float("inf")
        # The work is the same on servers with equal rate and depth; a pool has few.
        predicted: dict[tuple[float, int], Prediction] = {}
        for server in pool.servers:
            queue_s = server.queue_s(now)
            if server.load >= server.slots or queue_s >= best_s:
                continue
            kind = (server.prefill_tokens_per_s, eligible.depth(server))
            work = predicted.get(kind)
            if work is None:
                work = predicted[kind] = predict(server, request, kind[1], now)
            if queue_s + work.work_s < best_s and eligible(server):
                best = (server, replace(work, queue_s=queue_s))
                best_s = queue_s + work.work_s
        return best

    def _candidates(
        self, request: RouteRequest, pool: Pool, eligible: "_Eligible", bound: float
    ) -> Iterable[tuple[ServerState, int]]:
        homes = self._home_servers(request, pool)
        for rank, home in enumerate(homes):
            server = self._servers_by_id[BackendServerId(home)]
            # Below half of its slots a server is not overloaded, however low the mean.
            if server.load <= max(bound, server.max_running / 2):
                yield server, rank
        # Sorted, so that all daemons prefer the same one of equal holders.
        for server_id in sorted(eligible.depths):
            holder = self._servers_by_id.get(server_id)
            if holder is not None and request.model_id in holder.models:
                yield holder, 0
        for _ in range(PROBES):
            if pool.servers:
                yield self._random.choice(pool.servers), len(homes)

    def _home_servers(self, request: RouteRequest, pool: Pool) -> tuple[str, ...]:
        keys = request.prefix_keys[:HOME_DEPTH_BLOCKS]
        key = (request.model_id, keys[-1] if keys else request.fingerprint)
        homes = self._homes.get(key)
        if homes is None:
            homes = self._homes[key] = home_servers(key[1], pool.weights_by_zone)
            if len(self._homes) > MAX_CACHED_HOMES:
                self._homes.popitem(last=False)
        return homes

    def _charge(self, request: RouteRequest, now: float) -> AccountLimited | None:
        """Charge the account once per request, however often it asks."""
        if request.request_id in self._charged:
            return None
        wait_s = self.limits.admit(request.account_id, request.cost_tokens, now)
        if wait_s > 0:
            return AccountLimited(
                f"Account {request.account_id!r} is over its limit",
                remedy="Retry after the given time or ask for a higher limit",
                retry_after_s=wait_s,
            )
        self.retry_budget.record_request(now)
        self._charged[request.request_id] = False
        if len(self._charged) > MAX_CHARGED:
            self._charged.popitem(last=False)
        return None

    def _enqueue(
        self,
        request: RouteRequest,
        pool: Pool,
        queue: FairQueue,
        eligible: "_Eligible",
        now: float,
    ) -> ChivesaddleError | None:
        if not pool.servers:
            return _no_server(request.model_id)
        account = self._config.accounts_by_id.get(request.account_id)
        expected_s = _expected_wait_s(pool, queue, request)
        if expected_s > 0:
            late = self._late(request, pool, eligible, now, expected_s)
            if late is not None:
                return late
        added = queue.add(
            request.request_id,
            request.account_id,
            cost=request.cost_tokens,
            weight=account.weight if account else 1.0,
            interactive=request.interactive,
            now=now,
        )
        if added:
            return None
        return QueueFull(
            f"{len(queue)} requests wait for model {request.model_id!r}",
            remedy="Retry after the given time",
            retry_after_s=max(expected_s, MAX_WAIT_S),
        )

    def _wait(
        self,
        request: RouteRequest,
        pool: Pool,
        queue: FairQueue,
        eligible: "_Eligible",
        now: float,
    ) -> Decision:
        expected_s = _expected_wait_s(pool, queue, request)
        wait_s = min(max(expected_s, MIN_WAIT_S), MAX_WAIT_S)
        late = self._late(request, pool, eligible, now, MIN_WAIT_S)
        if late is not None:
            return self._refuse(request, late)
        queue.keep_until(request.request_id, now + wait_s)
        return Wait(now + wait_s)

    def _late(
        self,
        request: RouteRequest,
        pool: Pool,
        eligible: "_Eligible",
        now: float,
        wait_s: float,
    ) -> ChivesaddleError | None:
        """Return the refusal if the request is late even on the best free server."""
        server = max(
            (
                self._servers_by_id[s]
                for s in eligible.depths
                if s in self._servers_by_id
            ),
            key=eligible.depth,
            default=pool.servers[0] if pool.servers else None,
        )
        if server is None:
            return _no_server(request.model_id)
        work = predict(server, request, eligible.depth(server), now)
        return check_deadline(request, Prediction(0.0, work.work_s), now, wait_s)

    def _refuse(self, request: RouteRequest, error: ChivesaddleError) -> Refuse:
        queue = self._queues_by_model_id.get(request.model_id)
        if queue is not None:
            queue.remove(request.request_id)
        if self._charged.pop(request.request_id, None) is False:
            self.limits.refund(request.account_id, request.cost_tokens)
        return Refuse(error)

    def _crash_refusal(self, request: RouteRequest, now: float) -> ChivesaddleError:
        until = self.suspects.rejected_until(request.fingerprint)
        return RequestCrashesBackend(
            "Two backend servers crashed while they ran this request",
            remedy=(
                f"Change the request, or ask an operator to clear {request.fingerprint}"
            ),
            retry_after_s=until - now,
        )

    # Progress of own requests

    def record_start(
        self, request: RouteRequest, sent: Send, now: float
    ) -> tuple[Announcement, ...]:
        """Record that the request goes to a server; announce the result first."""
        server = self._servers_by_id.get(sent.server_id)
        if server is None:
            return ()
        cached = max(
            self._blocks.depths(request.prefix_keys).get(server.id, 0),
            sent.import_blocks,
        )
        missing = max(1, request.prompt_tokens - cached * TOKENS_PER_BLOCK)
        run = InFlight(now, missing, request.interactive, request.model_id)
        if request.request_id in self._charged:
            self._charged[request.request_id] = True
        before = server.load
        server.start(request.request_id, run)
        self._load_changed(server, before)
        if not request.interactive:
            self._pools_by_model_id[request.model_id].batch_in_flight += 1
        self._server_by_request_id[request.request_id] = server
        return self.suspects.start(
            request.request_id, request.fingerprint, server.id, now
        )

    def record_first_token(self, request_id: RequestId, now: float) -> None:
        """Record that the prefill of a request is done."""
        server = self._server_by_request_id.get(request_id)
        if server is not None:
            server.first_token(request_id)

    def record_finish(
        self,
        request_id: RequestId,
        now: float,
        prefix_keys: Iterable[BlockKey] = (),
    ) -> tuple[Announcement, ...]:
        """Record a complete response; its blocks are then cached on the server."""
        server = self._end(request_id, now)
        self._charged.pop(request_id, None)
        if server is not None:
            self.outliers.record_success(server.id)
            self._blocks.add(server.id, prefix_keys)
        return self.suspects.stop(request_id, now, completed=True)

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> tuple[Announcement, ...]:
        """Record a run that ended without a complete response.

        ``server_fault`` is false if the caller cancelled it.
        """
        server = self._end(request_id, now)
        if server is not None and server_fault:
            self.outliers.record_failure(server.id, now)
        return self.suspects.stop(request_id, now, completed=False)

    def record_crash(
        self, server_id: BackendServerId, now: float
    ) -> tuple[Announcement, ...]:
        """Record that a server died; ends all own requests on it.

        Every request in flight may notice the death; only the first call counts it.
        """
        self._latest = max(self._latest, now)
        announcements = self.suspects.crash(server_id, now)
        server = self._servers_by_id.get(server_id)
        if server is None:
            return announcements
        for request_id in list(server.in_flight_by_id):
            self._end(request_id, now)
        before, server.load = server.load, 0
        self._load_changed(server, before)
        server.reported_prefill_tokens = 0.0
        self.outliers.record_failure(server_id, now, crashed=True)
        self._blocks.drop_servers({server_id})
        return announcements

    def clear_suspect(
        self, fingerprint: Fingerprint, now: float
    ) -> tuple[Announcement, ...]:
        """Clear a suspect request on an operator's order."""
        return self.suspects.clear(fingerprint, now)

    def receive(
        self, announcement: Announcement, now: float
    ) -> tuple[Announcement, ...]:
        """Apply a peer's announcement; return what to announce in turn."""
        return self.suspects.receive(announcement, now)

    def _end(self, request_id: RequestId, now: float) -> ServerState | None:
        server = self._server_by_request_id.pop(request_id, None)
        if server is None:
            return None
        before = server.load
        run = server.finish(request_id, now)
        self._load_changed(server, before)
        if run is not None:
            pool = self._pools_by_model_id.get(run.model_id)
            if pool is not None and not run.interactive:
                pool.batch_in_flight = max(0, pool.batch_in_flight - 1)
        self._grant_places(server, now)
        return server

    # Knowledge of servers

    def update_load(
        self, server_id: BackendServerId, report: LoadReport, now: float
    ) -> None:
        """Take over a load report."""
        self._latest = max(self._latest, now)
        server = self._servers_by_id.get(server_id)
        if server is None:
            return
        before, usable, slots = server.load, self._is_usable(server), server.slots
        server.apply_report(report, now)
        self._load_changed(server, before)
        if self._is_usable(server) != usable or server.slots != slots:
            self._rebuild_pools()
        self._grant_places(server, now)

    def update_versions(
        self,
        server_id: BackendServerId,
        versions_by_model_id: Mapping[ModelId, Iterable[WeightVersion]],
    ) -> None:
        """Take over which weight versions an engine has loaded (its ``/state``)."""
        server = self._servers_by_id.get(server_id)
        if server is not None:
            server.versions_by_model_id = {
                model: frozenset(versions)
                for model, versions in versions_by_model_id.items()
            }

    def own_demand(self, now: float) -> dict[AccountId, float]:
        """Return this daemon's demand per account in tokens/s, for its peers."""
        return self.limits.own_demand(now)

    def update_demand(
        self, others_by_id: Mapping[AccountId, float], daemons: int, now: float
    ) -> None:
        """Take over the other daemons' summed demand per account, in tokens/s."""
        self.limits.update_demand(others_by_id, daemons, now)

    def update_blocks(
        self,
        server_id: BackendServerId,
        stored: Iterable[BlockKey],
        evicted: Iterable[BlockKey],
    ) -> None:
        """Take over an engine's cache events."""
        if server_id in self._servers_by_id:
            self._blocks.add(server_id, stored)
            self._blocks.discard(server_id, evicted)

    def is_leaving(self, server_id: BackendServerId) -> bool:
        """Tell whether a server was reported as leaving."""
        return server_id in self._leaving

    def set_leaving(self, server_id: BackendServerId) -> None:
        """Give a server no new work from now on; its id is not used again."""
        if server_id in self._leaving:
            return
        self._leaving[server_id] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        self._rebuild_pools()

    def update_config(self, state: ConfigState) -> None:
        """Apply a configuration; forget the blocks of models that changed version."""
        swapped = {
            model.id
            for model in state.models_by_id.values()
            if (old := self._config.models_by_id.get(model.id)) is not None
            and old.weight_version != model.weight_version
        }
        for server_id in (
            self._servers_by_id.keys() - state.backend_servers_by_id.keys()
        ):
            self._blocks.drop_servers({server_id})
            del self._servers_by_id[server_id]
        for server_id, configured in state.backend_servers_by_id.items():
            before = self._config.backend_servers_by_id.get(server_id)
            if before is not None and before != configured:
                # An operator changed the server, for example to end its draining.
                self._leaving.pop(server_id, None)
            fresh = ServerState.from_config(configured)
            server = self._servers_by_id.setdefault(server_id, fresh)
            server.zone, server.models = fresh.zone, fresh.models
            server.draining_by_config = fresh.draining_by_config
            if server.report_taken_at == float("-inf"):
                server.max_running = fresh.max_running
        self._config = state
        self.limits.set_accounts(state.accounts_by_id)
        if swapped:
            self._blocks.drop_servers(
                {s.id for s in self._servers_by_id.values() if swapped & {*s.models}}
            )
        self._rebuild_pools()

    def _is_usable(self, server: ServerState) -> bool:
        return not (
            server.draining_by_config
            or server.draining_by_report
            or server.id in self._leaving
        )

    def _rebuild_pools(self) -> None:
        old, self._pools_by_model_id = self._pools_by_model_id, {}
        for model_id in self._config.models_by_id:
            pool = self._pools_by_model_id[model_id] = Pool(model_id)
            if model_id in old:
                pool.batch_in_flight = old[model_id].batch_in_flight
            if model_id not in self._queues_by_model_id:
                queue = FairQueue(on_grant=lambda r: self._grant_listener(r))
                self._queues_by_model_id[model_id] = queue
        for model_id in (
            self._queues_by_model_id.keys() - self._pools_by_model_id.keys()
        ):
            del self._queues_by_model_id[model_id]
        for server in self._servers_by_id.values():
            if self._is_usable(server):
                for model_id in server.models:
                    if model_id in self._pools_by_model_id:
                        self._pools_by_model_id[model_id].add(server)
        self._homes.clear()
        self.outliers.set_pools(
            {
                model_id: frozenset(s.id for s in pool.servers)
                for model_id, pool in self._pools_by_model_id.items()
            },
            self._latest,
        )

    def _grant_places(self, server: ServerState, now: float) -> None:
        for model_id in server.models:
            queue = self._queues_by_model_id.get(model_id)
            if queue:
                free, free_batch = _free_places(self._pools_by_model_id[model_id])
                queue.grant(free=free, free_batch=free_batch, now=now)

    def _load_changed(self, server: ServerState, before: int) -> None:
        # A server that left the configuration may still end runs, but is in no pool.
        if self._servers_by_id.get(server.id) is server and self._is_usable(server):
            for model_id in server.models:
                pool = self._pools_by_model_id.get(model_id)
                if pool is not None:
                    pool.load += server.load - before


class _Eligible:
    """Whether a server may run the request, and how much of its prompt it holds."""

    __slots__ = ("_excluded", "_model", "_now", "_request", "_router", "depths")

    def __init__(
        self,
        router: Router,
        request: RouteRequest,
        model: Model,
        excluded: frozenset[BackendServerId],
        now: float,
    ) -> None:
        self._router, self._request, self._model = router, request, model
        self._excluded, self._now = excluded, now
        self.depths = router._blocks.depths(request.prefix_keys)

    def __call__(self, server: ServerState) -> bool:
        return (
            server.id not in self._excluded
            and self._router._is_usable(server)
            and server.has_version(
                self._model.id, self._request.weight_version, self._model.weight_version
            )
            and not self._router.outliers.is_ejected(server.id, self._now)
        )

    def depth(self, server: ServerState) -> int:
        return self.depths.get(server.id, 0)


def _send(server: ServerState, prediction: Prediction) -> Send:
    return Send(
        server.id,
        prediction.first_token_s,
        prediction.import_from,
        prediction.import_blocks,
        prediction.cached_blocks,
    )


def _free_places(pool: Pool) -> tuple[int, int]:
    """Return the free slots of a pool, and those that batch may use."""
    free = pool.slots - pool.load
    return free, min(free, int(pool.slots * BATCH_SHARE) - pool.batch_in_flight)


def _no_server(model_id: ModelId) -> NoBackendServer:
    return NoBackendServer(
        f"No backend server of model {model_id!r} can take this request",
        remedy="Retry after the given time; check with `chivesaddle backend-server`",
        retry_after_s=NO_SERVER_RETRY_S,
    )


def _expected_wait_s(pool: Pool, queue: FairQueue, request: RouteRequest) -> float:
    """Return the expected wait for a place: waiting requests / places per second."""
    free = pool.slots - pool.load
    ahead = queue.waiting(request.interactive)
    if ahead < free:
        return 0.0
    service_s = sum(s.service_s for s in pool.servers) / max(1, len(pool.servers))
    return (ahead - max(0, free) + 1) * service_s / max(1, pool.slots)


__all__ = ["Router"]
