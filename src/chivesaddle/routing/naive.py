"""Baseline policies to compare the router with: random, least loaded, hash only.

They skip draining, leaving and excluded servers as the router does, but have no
prediction, limits or queue.
"""

import random
from collections.abc import Iterable

from chivesaddle.core.ids import BackendServerId, BlockKey, RequestId
from chivesaddle.core.model import BackendServerState, ConfigState
from chivesaddle.routing.decisions import Decision, NoBackendServer, Refuse, Send
from chivesaddle.routing.decisions import RouteRequest as Request
from chivesaddle.routing.placement import rendezvous_order


class RandomRouter:
    """Sends each request to a random server of its model."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._config = ConfigState.empty()
        self._leaving_ids: set[BackendServerId] = set()
        self._server_by_request_id: dict[RequestId, BackendServerId] = {}
        self.in_flight_count_by_id: dict[BackendServerId, int] = {}

    def update_config(self, state: ConfigState) -> None:
        """Apply a configuration."""
        self._config = state
        self._leaving_ids &= state.backend_servers_by_id.keys()

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Stop sending new requests to a server."""
        self._leaving_ids.add(server_id)

    def choose(
        self,
        request: Request,
        now: float,
        excluded: frozenset[BackendServerId] = frozenset(),
    ) -> Decision:
        """Choose a server, or refuse if the model has none."""
        servers = sorted(
            server.id
            for server in self._config.backend_servers_by_id.values()
            if request.model_id in server.models
            and server.state is BackendServerState.SERVING
            and server.id not in self._leaving_ids
            and server.id not in excluded
        )
        if not servers:
            return Refuse(NoBackendServer(f"No server of model {request.model_id!r}"))
        return Send(self.pick(request, servers), 0.0)

    def pick(self, request: Request, servers: list[BackendServerId]) -> BackendServerId:
        """Choose among the usable servers."""
        return self._random.choice(servers)

    def record_start(self, request: Request, sent: Send, now: float) -> tuple[()]:
        """Count a request on its server."""
        self._server_by_request_id[request.request_id] = sent.server_id
        count = self.in_flight_count_by_id.get(sent.server_id, 0)
        self.in_flight_count_by_id[sent.server_id] = count + 1
        return ()

    def record_first_token(self, request_id: RequestId, now: float) -> None:
        """Do nothing; the baselines do not use it."""

    def record_finish(
        self, request_id: RequestId, now: float, prefix_keys: Iterable[BlockKey] = ()
    ) -> tuple[()]:
        """Stop counting a request."""
        self.in_flight_count_by_id[self._server_by_request_id.pop(request_id)] -= 1
        return ()


class LeastLoadedRouter(RandomRouter):
    """Sends each request to the server with the fewest own requests in flight."""

    def pick(self, request: Request, servers: list[BackendServerId]) -> BackendServerId:
        """Choose the least loaded server."""
        return min(servers, key=lambda s: (self.in_flight_count_by_id.get(s, 0), s))


class HashRouter(RandomRouter):
    """Sends each request to the first server in rendezvous order of its prompt."""

    def pick(self, request: Request, servers: list[BackendServerId]) -> BackendServerId:
        """Choose the home server regardless of load."""
        keys = request.prefix_keys[:4]
        key = keys[-1] if keys else request.fingerprint
        return BackendServerId(rendezvous_order(key, servers)[0])


__all__ = ["HashRouter", "LeastLoadedRouter", "RandomRouter"]
