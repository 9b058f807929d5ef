"""Decisions on suspect requests, which run in isolation."""

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId
from chivesaddle.routing.admission import check_deadline
from chivesaddle.routing.answers import MAX_WAIT_S, no_server, send_to
from chivesaddle.routing.cost import Prediction, predict
from chivesaddle.routing.decisions import Decision, Refuse, RouteRequest, Wait
from chivesaddle.routing.eligibility import Eligible
from chivesaddle.routing.placement import whole_order
from chivesaddle.routing.pools import Pools
from chivesaddle.routing.suspects import Suspects


class Isolation:
    """Chooses for requests that were in flight when a server crashed."""

    def __init__(self, pools: Pools, suspects: Suspects) -> None:
        self._pools = pools
        self._suspects = suspects

    def choose(self, request: RouteRequest, eligible: Eligible, now: float) -> Decision:
        """Choose for a suspect: one copy at a time, one suspect per server.

        All daemons try the servers in the same order, so that copies which start
        before the announcements cross meet on the same server.
        """
        self._pools.queues_by_model_id[request.model_id].remove(request.request_id)
        pool = self._pools.by_model_id[request.model_id]
        servers = {s.id: s for s in pool.servers if eligible(s)}
        if not servers:
            return Refuse(no_server(request.model_id))
        late: ChivesaddleError | None = None
        if not self._suspects.is_running(request.fingerprint, now):
            occupied = self._suspects.occupied_servers(now)
            for server_id in whole_order(request.fingerprint, servers):
                server = servers[BackendServerId(server_id)]
                if server.id not in occupied and server.load < server.slots:
                    prediction = predict(server, request, eligible.depth(server), now)
                    late = check_deadline(request, prediction, now)
                    if late is None:
                        return send_to(server, prediction)
        if late is None and now + MAX_WAIT_S > request.deadline:
            late = check_deadline(request, Prediction(MAX_WAIT_S, 0.0), now)
        if late is not None:
            return Refuse(late)
        return Wait(now + MAX_WAIT_S)


__all__ = ["Isolation"]
