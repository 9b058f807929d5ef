"""Tracks the requests that this daemon has in flight."""

from collections.abc import Iterable

from chivesaddle.core.ids import BackendServerId, BlockKey, RequestId
from chivesaddle.routing.decisions import TOKENS_PER_BLOCK, RouteRequest, Send
from chivesaddle.routing.pools import Pools
from chivesaddle.routing.servers import InFlightRequest, PooledServer
from chivesaddle.routing.suspects import Announcement, SuspectRegistry


class RequestTracker:
    """Tracks own requests in flight and applies their outcomes to the server state."""

    def __init__(self, pools: Pools, suspects: SuspectRegistry) -> None:
        self._pools = pools
        self._suspects = suspects
        self._server_by_request_id: dict[RequestId, PooledServer] = {}

    def record_start(
        self, request: RouteRequest, sent: Send, now: float
    ) -> tuple[Announcement, ...]:
        """Record that a request is about to be sent.

        The returned announcements must reach the peers before it is sent.
        """
        server = self._pools.servers_by_id.get(sent.server_id)
        if server is None:
            return ()
        cached = max(
            self._pools.blocks.leading_blocks(request.prefix_keys).get(server.id, 0),
            sent.import_blocks,
        )
        prefill_tokens = max(1, request.prompt_tokens - cached * TOKENS_PER_BLOCK)
        run = InFlightRequest(
            now, prefill_tokens, request.interactive, request.model_id
        )
        previous_load = server.load
        server.start(request.request_id, run)
        self._pools.update_pool_load(server, previous_load)
        if not request.interactive:
            self._pools.by_model_id[request.model_id].batch_in_flight += 1
        self._server_by_request_id[request.request_id] = server
        return self._suspects.start(
            request.request_id, request.fingerprint, server.id, now
        )

    def record_first_token(self, request_id: RequestId, now: float) -> None:
        """Record that the prefill of a request is complete."""
        server = self._server_by_request_id.get(request_id)
        if server is not None:
            server.mark_first_token(request_id)

    def record_finish(
        self,
        request_id: RequestId,
        now: float,
        prefix_keys: Iterable[BlockKey] = (),
    ) -> tuple[Announcement, ...]:
        """Record a complete response; the server now holds the blocks of its prompt."""
        server = self._end_run(request_id, now)
        if server is not None:
            self._pools.outliers.record_success(server.id)
            self._pools.blocks.add(server.id, prefix_keys)
        return self._suspects.stop(request_id, now, completed=True)

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> tuple[Announcement, ...]:
        """Record a request that ended without a complete response.

        ``server_fault`` is false if the caller cancelled it.
        """
        server = self._end_run(request_id, now)
        if server is not None and server_fault:
            self._pools.outliers.record_failure(server.id, now)
        return self._suspects.stop(request_id, now, completed=False)

    def record_crash(
        self, server_id: BackendServerId, now: float
    ) -> tuple[Announcement, ...]:
        """Record a server crash; end all own requests on the server.

        Every request in flight on it may report the crash; only the first call counts.
        """
        self._pools.record_time(now)
        announcements = self._suspects.record_server_crash(server_id, now)
        server = self._pools.servers_by_id.get(server_id)
        if server is None:
            return announcements
        for request_id in list(server.in_flight_by_id):
            self._end_run(request_id, now)
        previous_load, server.load = server.load, 0
        self._pools.update_pool_load(server, previous_load)
        server.reported_prefill_tokens = 0.0
        self._pools.outliers.record_failure(server_id, now, crashed=True)
        self._pools.blocks.drop_servers({server_id})
        return announcements

    def _end_run(self, request_id: RequestId, now: float) -> PooledServer | None:
        server = self._server_by_request_id.pop(request_id, None)
        if server is None:
            return None
        previous_load = server.load
        run = server.finish(request_id, now)
        self._pools.update_pool_load(server, previous_load)
        if run is not None:
            pool = self._pools.by_model_id.get(run.model_id)
            if pool is not None and not run.interactive:
                pool.batch_in_flight = max(0, pool.batch_in_flight - 1)
        self._pools.grant_slots(server, now)
        return server


__all__ = ["RequestTracker"]
