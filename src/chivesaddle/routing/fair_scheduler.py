"""Scheduling of requests: fair queueing first, then the choice of a server."""

import random
from collections.abc import Iterable
from dataclasses import replace

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId
from chivesaddle.routing.admission import check_deadline
from chivesaddle.routing.cost import Prediction, predict
from chivesaddle.routing.decision_helpers import (
    MAX_POLL_INTERVAL_S,
    no_server_error,
    send_decision,
)
from chivesaddle.routing.decisions import (
    Decision,
    QueueFull,
    Refuse,
    RouteRequest,
    Wait,
)
from chivesaddle.routing.eligibility import ServerEligibility
from chivesaddle.routing.fair_queue import FairQueue
from chivesaddle.routing.pools import Pools, count_free_slots
from chivesaddle.routing.servers import Pool, PooledServer

# A home server is skipped above this multiple of the mean load (Mirrokni et al.,
# "Consistent Hashing with Bounded Loads", 2018).
LOAD_BOUND_FACTOR = 1.25
# Random servers are candidates too, so that load spreads when all homes are busy.
RANDOM_CANDIDATES = 2
# Added per home rank: prefers earlier homes among nearly equal predictions.
HOME_RANK_PENALTY_S = 0.002
MIN_POLL_INTERVAL_S = 0.01


class FairScheduler:
    """Decides on all requests except suspect ones."""

    def __init__(self, pools: Pools, seed: int) -> None:
        self._pools = pools
        self._random = random.Random(seed)

    def choose(
        self, request: RouteRequest, eligible: ServerEligibility, now: float
    ) -> Decision:
        """Queue the request; once it has a slot, choose the best server for it."""
        pool = self._pools.by_model_id[request.model_id]
        queue = self._pools.queues_by_model_id[request.model_id]
        if request.request_id not in queue:
            error = self._enqueue(request, pool, queue, eligible, now)
            if error is not None:
                return Refuse(error)
        free_slots, free_batch_slots = count_free_slots(pool)
        if not queue.poll(
            request.request_id,
            free_slots=free_slots,
            free_batch_slots=free_batch_slots,
            now=now,
        ):
            return self._wait_or_refuse(request, pool, queue, eligible, now)
        best = self._choose_server(request, pool, eligible, now)
        if best is None:
            if not any(map(eligible, pool.servers)):
                return Refuse(no_server_error(request.model_id))
            error = self._enqueue(request, pool, queue, eligible, now)
            if error is not None:
                return Refuse(error)
            return self._wait_or_refuse(request, pool, queue, eligible, now)
        server, prediction = best
        deadline_error = check_deadline(request, prediction, now)
        if deadline_error is not None:
            return Refuse(deadline_error)
        return send_decision(server, prediction)

    def _choose_server(
        self, request: RouteRequest, pool: Pool, eligible: ServerEligibility, now: float
    ) -> tuple[PooledServer, Prediction] | None:
        """Return the candidate with the lowest predicted time to first token.

        Consider the whole pool if no candidate is free or meets the deadline.
        """
        load_bound = LOAD_BOUND_FACTOR * pool.load / max(1, len(pool.servers))
        best: tuple[PooledServer, Prediction] | None = None
        best_score = float("inf")
        for server, rank in self._candidates(request, pool, eligible, load_bound):
            if server.load >= server.slots or not eligible(server):
                continue
            prediction = predict(server, request, eligible.cached_blocks(server), now)
            score = prediction.first_token_s + rank * HOME_RANK_PENALTY_S
            score += self._pools.outliers.penalty_s(server.id, now)
            if score < best_score:
                best, best_score = (server, prediction), score
        if best is None or now + best[1].first_token_s > request.deadline:
            return self._choose_from_whole_pool(request, pool, eligible, now) or best
        return best

    def _choose_from_whole_pool(
        self, request: RouteRequest, pool: Pool, eligible: ServerEligibility, now: float
    ) -> tuple[PooledServer, Prediction] | None:
        best: tuple[PooledServer, Prediction] | None = None
        best_s = float("inf")
        # Servers with equal prefill rate and cached blocks have the same prediction
        # apart from the queue; a pool has few such combinations.
        prediction_by_key: dict[tuple[float, int], Prediction] = {}
        for server in pool.servers:
            queue_s = server.queue_s(now)
            if server.load >= server.slots or queue_s >= best_s:
                continue
            work_key = (server.prefill_tokens_per_s, eligible.cached_blocks(server))
            prediction = prediction_by_key.get(work_key)
            if prediction is None:
                prediction = prediction_by_key[work_key] = predict(
                    server, request, work_key[1], now
                )
            if queue_s + prediction.work_s < best_s and eligible(server):
                best = (server, replace(prediction, queue_s=queue_s))
                best_s = queue_s + prediction.work_s
        return best

    def _candidates(
        self,
        request: RouteRequest,
        pool: Pool,
        eligible: ServerEligibility,
        load_bound: float,
    ) -> Iterable[tuple[PooledServer, int]]:
        homes = self._pools.home_servers_of(request, pool)
        for rank, home in enumerate(homes):
            server = self._pools.servers_by_id[BackendServerId(home)]
            # A server with at most half of its running limit in use is not overloaded,
            # however low the mean load is.
            if server.load <= max(load_bound, server.max_running / 2):
                yield server, rank
        # Sorted, so that all daemons choose the same server among equal holders.
        for server_id in sorted(eligible.leading_blocks):
            holder = self._pools.servers_by_id.get(server_id)
            if holder is not None and request.model_id in holder.models:
                yield holder, 0
        for _ in range(RANDOM_CANDIDATES):
            if pool.servers:
                yield self._random.choice(pool.servers), len(homes)

    def _enqueue(
        self,
        request: RouteRequest,
        pool: Pool,
        queue: FairQueue,
        eligible: ServerEligibility,
        now: float,
    ) -> ChivesaddleError | None:
        if not pool.servers:
            return no_server_error(request.model_id)
        account = self._pools.config.accounts_by_id.get(request.account_id)
        expected_s = _expected_wait_s(pool, queue, request)
        if expected_s > 0:
            deadline_error = self._best_case_deadline_error(
                request, pool, eligible, now, expected_s
            )
            if deadline_error is not None:
                return deadline_error
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
            retry_after_s=max(expected_s, MAX_POLL_INTERVAL_S),
        )

    def _wait_or_refuse(
        self,
        request: RouteRequest,
        pool: Pool,
        queue: FairQueue,
        eligible: ServerEligibility,
        now: float,
    ) -> Decision:
        expected_s = _expected_wait_s(pool, queue, request)
        wait_s = min(max(expected_s, MIN_POLL_INTERVAL_S), MAX_POLL_INTERVAL_S)
        deadline_error = self._best_case_deadline_error(
            request, pool, eligible, now, MIN_POLL_INTERVAL_S
        )
        if deadline_error is not None:
            return Refuse(deadline_error)
        queue.extend_poll_deadline(request.request_id, now + wait_s)
        return Wait(now + wait_s)

    def _best_case_deadline_error(
        self,
        request: RouteRequest,
        pool: Pool,
        eligible: ServerEligibility,
        now: float,
        wait_s: float,
    ) -> ChivesaddleError | None:
        """Return the error if the request would be late even on an idle server.

        Predicts for the server that holds the most leading blocks of the prompt.
        """
        server = max(
            (
                self._pools.servers_by_id[s]
                for s in eligible.leading_blocks
                if s in self._pools.servers_by_id
            ),
            key=eligible.cached_blocks,
            default=pool.servers[0] if pool.servers else None,
        )
        if server is None:
            return no_server_error(request.model_id)
        prediction = predict(server, request, eligible.cached_blocks(server), now)
        return check_deadline(request, Prediction(0.0, prediction.work_s), now, wait_s)


def _expected_wait_s(pool: Pool, queue: FairQueue, request: RouteRequest) -> float:
    """Return the expected wait for a slot: requests ahead / slots freed per second."""
    free_slots = pool.slots - pool.load
    ahead = queue.requests_ahead(request.interactive)
    if ahead < free_slots:
        return 0.0
    mean_service_s = sum(s.mean_service_s for s in pool.servers) / max(
        1, len(pool.servers)
    )
    return (ahead - max(0, free_slots) + 1) * mean_service_s / max(1, pool.slots)


__all__ = ["FairScheduler"]
