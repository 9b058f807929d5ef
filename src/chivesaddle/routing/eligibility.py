"""Check of which servers may run a request."""

from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.model import Model
from chivesaddle.routing.decisions import RouteRequest
from chivesaddle.routing.pools import Pools
from chivesaddle.routing.servers import PooledServer


class ServerEligibility:
    """Predicate for the servers that may run a request, with their cached blocks."""

    __slots__ = ("_excluded", "_model", "_now", "_pools", "_request", "leading_blocks")

    def __init__(
        self,
        pools: Pools,
        request: RouteRequest,
        model: Model,
        excluded: frozenset[BackendServerId],
        now: float,
    ) -> None:
        self._pools, self._request, self._model = pools, request, model
        self._excluded, self._now = excluded, now
        self.leading_blocks = pools.blocks.leading_blocks(request.prefix_keys)

    def __call__(self, server: PooledServer) -> bool:
        """Return whether the server may run the request now."""
        return (
            server.id not in self._excluded
            and self._pools.is_usable(server)
            and server.has_version(
                self._model.id, self._request.weight_version, self._model.weight_version
            )
            and not self._pools.outliers.is_ejected(server.id, self._now)
        )

    def cached_blocks(self, server: PooledServer) -> int:
        """Return how many leading blocks of the prompt the server holds."""
        return self.leading_blocks.get(server.id, 0)


__all__ = ["ServerEligibility"]
