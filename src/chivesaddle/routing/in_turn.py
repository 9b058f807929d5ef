"""Decisions on requests in their turn: fair queueing, then the best server."""

import random
from collections.abc import Iterable
from dataclasses import replace

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId
from chivesaddle.routing.admission import check_deadline
from chivesaddle.routing.answers import MAX_WAIT_S, no_server, send_to
from chivesaddle.routing.cost import Prediction, predict
from chivesaddle.routing.decisions import (
    Decision,
    QueueFull,
    Refuse,
    RouteRequest,
    Wait,
)
from chivesaddle.routing.eligibility import Eligible
from chivesaddle.routing.fair_queue import FairQueue
from chivesaddle.routing.pools import Pools, free_places
from chivesaddle.routing.servers import Pool, ServerState

# A home is passed over above this multiple of the mean load (Mirrokni et al.,
# "Consistent Hashing with Bounded Loads", 2018).
LOAD_BOUND = 1.25
# Random servers also considered, so that load spreads when all homes are busy.
PROBES = 2
# Preference for earlier homes among servers that are predicted nearly equal.
HOME_RANK_S = 0.002
MIN_WAIT_S = 0.01


class InTurn:
    """Chooses for all requests but suspect ones."""

    def __init__(self, pools: Pools, seed: int) -> None:
        self._pools = pools
        self._random = random.Random(seed)

    def choose(self, request: RouteRequest, eligible: Eligible, now: float) -> Decision:
        """Decide on a request that waits for its turn among all accounts."""
        pool = self._pools.by_model_id[request.model_id]
        queue = self._pools.queues_by_model_id[request.model_id]
        if request.request_id not in queue:
            refusal = self._enqueue(request, pool, queue, eligible, now)
            if refusal is not None:
                return Refuse(refusal)
        free, free_batch = free_places(pool)
        if not queue.poll(
            request.request_id, free=free, free_batch=free_batch, now=now
        ):
            return self._wait(request, pool, queue, eligible, now)
        best = self._best(request, pool, eligible, now)
        if best is None:
            if not any(map(eligible, pool.servers)):
                return Refuse(no_server(request.model_id))
            refusal = self._enqueue(request, pool, queue, eligible, now)
            if refusal is not None:
                return Refuse(refusal)
            return self._wait(request, pool, queue, eligible, now)
        server, prediction = best
        late = check_deadline(request, prediction, now)
        if late is not None:
            return Refuse(late)
        return send_to(server, prediction)

    def _best(
        self, request: RouteRequest, pool: Pool, eligible: Eligible, now: float
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
            score += self._pools.outliers.penalty_s(server.id, now)
            if score < best_score:
                best, best_score = (server, prediction), score
        if best is None or now + best[1].first_token_s > request.deadline:
            return self._best_of_all(request, pool, eligible, now) or best
        return best

    def _best_of_all(
        self, request: RouteRequest, pool: Pool, eligible: Eligible, now: float
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
        self, request: RouteRequest, pool: Pool, eligible: Eligible, bound: float
    ) -> Iterable[tuple[ServerState, int]]:
        homes = self._pools.home_servers_of(request, pool)
        for rank, home in enumerate(homes):
            server = self._pools.servers_by_id[BackendServerId(home)]
            # Below half of its slots a server is not overloaded, however low the mean.
            if server.load <= max(bound, server.max_running / 2):
                yield server, rank
        # Sorted, so that all daemons prefer the same one of equal holders.
        for server_id in sorted(eligible.depths):
            holder = self._pools.servers_by_id.get(server_id)
            if holder is not None and request.model_id in holder.models:
                yield holder, 0
        for _ in range(PROBES):
            if pool.servers:
                yield self._random.choice(pool.servers), len(homes)

    def _enqueue(
        self,
        request: RouteRequest,
        pool: Pool,
        queue: FairQueue,
        eligible: Eligible,
        now: float,
    ) -> ChivesaddleError | None:
        if not pool.servers:
            return no_server(request.model_id)
        account = self._pools.config.accounts_by_id.get(request.account_id)
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
        eligible: Eligible,
        now: float,
    ) -> Decision:
        expected_s = _expected_wait_s(pool, queue, request)
        wait_s = min(max(expected_s, MIN_WAIT_S), MAX_WAIT_S)
        late = self._late(request, pool, eligible, now, MIN_WAIT_S)
        if late is not None:
            return Refuse(late)
        queue.keep_until(request.request_id, now + wait_s)
        return Wait(now + wait_s)

    def _late(
        self,
        request: RouteRequest,
        pool: Pool,
        eligible: Eligible,
        now: float,
        wait_s: float,
    ) -> ChivesaddleError | None:
        """Return the refusal if the request is late even on the best free server."""
        server = max(
            (
                self._pools.servers_by_id[s]
                for s in eligible.depths
                if s in self._pools.servers_by_id
            ),
            key=eligible.depth,
            default=pool.servers[0] if pool.servers else None,
        )
        if server is None:
            return no_server(request.model_id)
        work = predict(server, request, eligible.depth(server), now)
        return check_deadline(request, Prediction(0.0, work.work_s), now, wait_s)


def _expected_wait_s(pool: Pool, queue: FairQueue, request: RouteRequest) -> float:
    """Return the expected wait for a place: waiting requests / places per second."""
    free = pool.slots - pool.load
    ahead = queue.waiting(request.interactive)
    if ahead < free:
        return 0.0
    service_s = sum(s.service_s for s in pool.servers) / max(1, len(pool.servers))
    return (ahead - max(0, free) + 1) * service_s / max(1, pool.slots)


__all__ = ["InTurn"]
