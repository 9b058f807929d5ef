"""Records of the progress of a daemon's own requests."""

from collections.abc import Iterable

from chivesaddle.core.ids import BackendServerId, BlockKey, RequestId
from chivesaddle.routing.decisions import TOKENS_PER_BLOCK, RouteRequest, Send
from chivesaddle.routing.pools import Pools
from chivesaddle.routing.servers import InFlight, ServerState
from chivesaddle.routing.suspects import Announcement, Suspects


class Progress:
    """Own requests in flight, and what their ends say about servers."""

    def __init__(self, pools: Pools, suspects: Suspects) -> None:
        self._pools = pools
        self._suspects = suspects
        self._server_by_request_id: dict[RequestId, ServerState] = {}

    def record_start(
        self, request: RouteRequest, sent: Send, now: float
    ) -> tuple[Announcement, ...]:
        """Record that the request goes to a server; announce the result first."""
        server = self._pools.servers_by_id.get(sent.server_id)
        if server is None:
            return ()
        cached = max(
            self._pools.blocks.depths(request.prefix_keys).get(server.id, 0),
            sent.import_blocks,
        )
        missing = max(1, request.prompt_tokens - cached * TOKENS_PER_BLOCK)
        run = InFlight(now, missing, request.interactive, request.model_id)
        before = server.load
        server.start(request.request_id, run)
        self._pools.load_changed(server, before)
        if not request.interactive:
            self._pools.by_model_id[request.model_id].batch_in_flight += 1
        self._server_by_request_id[request.request_id] = server
        return self._suspects.start(
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
        if server is not None:
            self._pools.outliers.record_success(server.id)
            self._pools.blocks.add(server.id, prefix_keys)
        return self._suspects.stop(request_id, now, completed=True)

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> tuple[Announcement, ...]:
        """Record a run that ended without a complete response.

        ``server_fault`` is false if the caller cancelled it.
        """
        server = self._end(request_id, now)
        if server is not None and server_fault:
            self._pools.outliers.record_failure(server.id, now)
        return self._suspects.stop(request_id, now, completed=False)

    def record_crash(
        self, server_id: BackendServerId, now: float
    ) -> tuple[Announcement, ...]:
        """Record that a server died; ends all own requests on it.

        Every request in flight may notice the death; only the first call counts it.
        """
        self._pools.note_time(now)
        announcements = self._suspects.crash(server_id, now)
        server = self._pools.servers_by_id.get(server_id)
        if server is None:
            return announcements
        for request_id in list(server.in_flight_by_id):
            self._end(request_id, now)
        before, server.load = server.load, 0
        self._pools.load_changed(server, before)
        server.reported_prefill_tokens = 0.0
        self._pools.outliers.record_failure(server_id, now, crashed=True)
        self._pools.blocks.drop_servers({server_id})
        return announcements

    def _end(self, request_id: RequestId, now: float) -> ServerState | None:
        server = self._server_by_request_id.pop(request_id, None)
        if server is None:
            return None
        before = server.load
        run = server.finish(request_id, now)
        self._pools.load_changed(server, before)
        if run is not None:
            pool = self._pools.by_model_id.get(run.model_id)
            if pool is not None and not run.interactive:
                pool.batch_in_flight = max(0, pool.batch_in_flight - 1)
        self._pools.grant_places(server, now)
        return server


__all__ = ["Progress"]
