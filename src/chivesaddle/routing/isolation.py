"""Scheduling of suspect requests, which run isolated from each other."""

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId
from chivesaddle.routing.admission import check_deadline
from chivesaddle.routing.cost import Prediction, predict
from chivesaddle.routing.decision_helpers import (
    MAX_POLL_INTERVAL_S,
    no_server_error,
    send_decision,
)
from chivesaddle.routing.decisions import Decision, Refuse, RouteRequest, Wait
from chivesaddle.routing.eligibility import ServerEligibility
from chivesaddle.routing.placement import rendezvous_order
from chivesaddle.routing.pools import Pools
from chivesaddle.routing.suspects import SuspectRegistry


class IsolatedScheduler:
    """Decides on suspect requests: those that were in flight when a server crashed."""

    def __init__(self, pools: Pools, suspects: SuspectRegistry) -> None:
        self._pools = pools
        self._suspects = suspects

    def choose(
        self, request: RouteRequest, eligible: ServerEligibility, now: float
    ) -> Decision:
        """Choose a server; run one copy at a time and one suspect per server.

        All daemons try the servers in the same order. Copies that two daemons start
        before either receives the other's announcement therefore run on the same
        server, and a crash takes down only that one.
        """
        self._pools.queues_by_model_id[request.model_id].remove(request.request_id)
        pool = self._pools.by_model_id[request.model_id]
        servers = {s.id: s for s in pool.servers if eligible(s)}
        if not servers:
            return Refuse(no_server_error(request.model_id))
        deadline_error: ChivesaddleError | None = None
        if not self._suspects.is_running(request.fingerprint, now):
            servers_with_suspects = self._suspects.servers_running_suspects(now)
            for server_id in rendezvous_order(request.fingerprint, servers):
                server = servers[BackendServerId(server_id)]
                if (
                    server.id not in servers_with_suspects
                    and server.load < server.slots
                ):
                    prediction = predict(
                        server, request, eligible.cached_blocks(server), now
                    )
                    deadline_error = check_deadline(request, prediction, now)
                    if deadline_error is None:
                        return send_decision(server, prediction)
        if deadline_error is None and now + MAX_POLL_INTERVAL_S > request.deadline:
            deadline_error = check_deadline(
                request, Prediction(MAX_POLL_INTERVAL_S, 0.0), now
            )
        if deadline_error is not None:
            return Refuse(deadline_error)
        return Wait(now + MAX_POLL_INTERVAL_S)


__all__ = ["IsolatedScheduler"]
