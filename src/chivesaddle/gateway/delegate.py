"""Relay callbacks that choose a request's backend servers and record events."""

import dataclasses
from collections.abc import Sequence
from typing import Any

from twisted.internet.defer import CancelledError

from chivesaddle.core.aio import log_failure, sleep_until, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventKind
from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.model import BackendServer
from chivesaddle.engines import (
    EngineCrashed,
    EngineDraining,
    EngineError,
    EngineFull,
    EngineNotFound,
    RelayedAnswer,
    Target,
    VersionNotLoaded,
)
from chivesaddle.gateway.dependencies import Dependencies
from chivesaddle.gateway.errors import NotFound, RoutingDeadlineExceeded
from chivesaddle.routing import (
    Announcement,
    Refuse,
    RouteRequest,
    Send,
    StoredCopy,
    Wait,
)

# Least time for the first token of a continuation on another server; the request's own
# deadline for the first token may have passed by then.
CONTINUE_TIMEOUT_S = 10.0
KV_LOAD_TIMEOUT_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.5
MAX_CONFLICT_BACKOFF_S = 0.2
MIN_WAIT_S = 0.001
RETRY_AFTER_S = 1.0
# Errors of a server that works but cannot accept this request.
_SERVER_HEALTHY_ERRORS = (EngineFull, EngineDraining, EngineNotFound, VersionNotLoaded)
_log = ComponentLogger("gateway")


class RequestDelegate:
    """Chooses the servers of one request and records its progress and outcome.

    Parameters
    ----------
    dependencies : Dependencies
        Provide the router, KV service, events and metrics.
    request : RouteRequest
        Request to route.
    request_name : str
        Name of the request in events.
    scope : str
        Cache scope of the request's blocks.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        request: RouteRequest,
        request_name: str,
        scope: str,
    ) -> None:
        self._deps = dependencies
        self._request = request
        self._request_name = request_name
        self._scope = scope
        self._received_at = dependencies.clock.seconds()
        self._excluded: frozenset[BackendServerId] = frozenset()
        self._running_server_id: BackendServerId | None = None
        self._first_token_received = False
        self._copies_looked_up = False
        self._stored_prefix: Any = None
        self.finished_server: BackendServer | None = None

    async def select(self) -> Target:
        """Return the server to send to, after importing stored blocks if worthwhile.

        Raises
        ------
        ChivesaddleError
            The router refused the request.
        RoutingDeadlineExceeded
            The request's deadline passed while it waited for a server.
        """
        refusal = self._deps.router.admit(self._request, self._deps.clock.seconds())
        if refusal is not None:
            raise refusal.error
        await self._find_stored_copies()
        while True:
            now = self._deps.clock.seconds()
            match self._deps.router.choose(self._request, now, self._excluded):
                case Send() as decision:
                    server = self._find_server(decision.server_id)
                    if server is None:
                        self._excluded |= {decision.server_id}
                    elif await self._record_start(decision, now):
                        return await self._prepare_target(decision, server, now)
                case Refuse(error):
                    raise error
                case Wait(until):
                    await self._wait_until(until, now)

    def started(self, target: Target) -> None:
        """Record that the request is sent."""
        self._record_event(EventKind.REQUEST_ROUTED, target.server_id)

    def first_token(self, target: Target) -> None:
        """Record the first token and the time until it arrived."""
        now = self._deps.clock.seconds()
        self._first_token_received = True
        self._deps.router.record_first_token(self._request.request_id, now)
        elapsed_ms = (now - self._received_at) * 1_000
        self._deps.metrics.timing("gateway.first_token", elapsed_ms)
        self._record_event(
            EventKind.REQUEST_FIRST_TOKEN, target.server_id, elapsed_ms=elapsed_ms
        )

    def resumed(self, target: Target, after: int) -> None:
        """Record that the stream was resumed at the same server."""
        self._record_event(EventKind.REQUEST_RESUMED, target.server_id, after=after)

    def returned(self, target: Target, after: int) -> None:
        """Record that the request runs at a server that was reported as failed."""
        router, now = self._deps.router, self._deps.clock.seconds()
        router.stop_waiting(self._request.request_id)
        announcements = list(self._record_run_end(server_fault=False))
        self._running_server_id = target.server_id
        announcements += router.record_start(
            self._request, Send(target.server_id, 0.0), now
        )
        if self._first_token_received:
            router.record_first_token(self._request.request_id, now)
        self._announce_in_background(announcements)
        self._record_event(EventKind.REQUEST_RESUMED, target.server_id, after=after)

    def finished(self, target: Target, answer: RelayedAnswer) -> None:
        """Record the complete answer."""
        self.finished_server = self._find_server(target.server_id)
        self._running_server_id = None
        announcements = self._deps.router.record_finish(
            self._request.request_id,
            self._deps.clock.seconds(),
            self._request.prefix_keys,
        )
        # Not awaited: they only report that a suspect run completed, so the answer need
        # not wait for them.
        self._announce_in_background(announcements)
        self._record_event(
            EventKind.REQUEST_FINISHED, target.server_id, tokens=answer.tokens
        )

    def cancelled(self, target: Target) -> None:
        """Record that the caller disconnected."""
        self.record_end()
        self._record_event(
            EventKind.REQUEST_FAILED, target.server_id, code="caller_gone"
        )

    async def failed(self, target: Target, error: EngineError) -> None:
        """Record a failure; a crash is announced to the peers before this returns."""
        router = self._deps.router
        self._record_event(
            EventKind.REQUEST_FAILED, target.server_id, code=error.code, final=False
        )
        self._deps.metrics.incr(f"gateway.failures.{error.code}")
        now = self._deps.clock.seconds()
        if isinstance(error, EngineCrashed):
            self._running_server_id = None
            await self._announce(router.record_crash(target.server_id, now))
            return
        if isinstance(error, EngineDraining):
            router.mark_leaving(target.server_id)
        server_fault = error.retry_on_other_server and not isinstance(
            error, _SERVER_HEALTHY_ERRORS
        )
        await self._announce(self._record_run_end(server_fault=server_fault))

    async def next_target(self, error: EngineError) -> Target:
        """Return a server that the request was not sent to before."""
        if self._first_token_received:
            now = self._deps.clock.seconds()
            deadline = max(self._request.deadline, now + CONTINUE_TIMEOUT_S)
            self._request = dataclasses.replace(self._request, deadline=deadline)
        target = await self.select()
        self._record_event(EventKind.REQUEST_RETRIED, target.server_id, code=error.code)
        return target

    def record_end(self) -> None:
        """Report to the router that the request neither waits nor runs any more."""
        self._deps.router.cancel(self._request.request_id)
        announcements = self._record_run_end(server_fault=False)
        self._announce_in_background(announcements)

    async def _find_stored_copies(self) -> None:
        """Look up a stored prefix of the prompt once; without one it is recomputed."""
        keys = self._request.prefix_keys
        if self._deps.kv is None or not keys or self._copies_looked_up:
            return
        self._copies_looked_up = True
        try:
            found = await self._deps.kv.find(self._scope, keys, self._request.deadline)
        except ChivesaddleError as error:
            _log.info(
                "lookup of stored blocks for request %s failed: %s",
                self._request_name,
                error,
            )
            return
        if found is None:
            return
        self._stored_prefix = found
        copy = StoredCopy(found.store_id, found.blocks, found.wait_s, found.block_s)
        self._request = dataclasses.replace(self._request, copies=(copy,))

    async def _record_start(self, decision: Send, now: float) -> bool:
        """Record and announce the run; return False after a wait if it conflicts.

        Two suspect requests must not run on one server, since a crash would be counted
        against both.
        """
        self._running_server_id = decision.server_id
        # Recorded before the import, so that the router counts this run when it places
        # other requests.
        announcements = self._deps.router.record_start(self._request, decision, now)
        if not announcements:
            return True
        await self._announce(announcements)
        now = self._deps.clock.seconds()
        if not self._deps.router.has_conflicting_run(self._request.request_id, now):
            return True
        await self._announce(self._record_run_end(server_fault=False))
        # Random, so that two daemons do not conflict again at each retry.
        await self._wait_until(
            now + self._deps.random.uniform(0, MAX_CONFLICT_BACKOFF_S), now
        )
        return False

    async def _prepare_target(
        self, decision: Send, server: BackendServer, now: float
    ) -> Target:
        self._excluded |= {server.id}
        if decision.import_from is not None and decision.import_blocks:
            await self._import_blocks(decision, server, now)
        return Target(server.id, server.url)

    async def _import_blocks(
        self, decision: Send, server: BackendServer, now: float
    ) -> None:
        """Import stored blocks; blocks that fail to import are recomputed."""
        if self._deps.kv is None or self._stored_prefix is None:
            return
        deadline = min(now + KV_LOAD_TIMEOUT_S, self._request.deadline)
        try:
            loaded = await self._deps.kv.load(
                self._stored_prefix,
                server,
                deadline,
                interactive=self._request.interactive,
                cached_blocks=decision.cached_blocks,
            )
        except ChivesaddleError as error:
            self._record_event(EventKind.KV_IMPORT_REJECTED, server.id, code=error.code)
            return
        keys = self._request.prefix_keys[: loaded.blocks]
        self._deps.router.update_blocks(server.id, keys, ())
        kind = EventKind.KV_IMPORTED
        if loaded.error is not None:
            kind = EventKind.KV_IMPORT_REJECTED
        self._record_event(kind, server.id, blocks=loaded.blocks)

    async def _wait_until(self, until: float, now: float) -> None:
        deadline = self._request.deadline
        if now >= deadline - MIN_WAIT_S:
            raise RoutingDeadlineExceeded(
                "No backend server could accept the request before its deadline",
                remedy="Retry later",
                retry_after_s=RETRY_AFTER_S,
            )
        resume_at = min(max(until, now + MIN_WAIT_S), deadline)
        await sleep_until(self._deps.clock, resume_at)

    def _announce_in_background(self, announcements: Sequence[Announcement]) -> None:
        if announcements:
            announcing = start(self._announce(announcements))
            announcing.addErrback(log_failure(_log, "announcement failed"))

    async def _announce(self, announcements: Sequence[Announcement]) -> None:
        clock = self._deps.clock
        announcing = self._deps.announce(announcements)
        try:
            await with_deadline(
                clock, clock.seconds() + ANNOUNCE_TIMEOUT_S, announcing, "announcement"
            )
        except CancelledError:
            raise
        except Exception as error:
            _log.warning(
                "announcing suspects of request %s failed: %s",
                self._request_name,
                error,
            )

    def _find_server(self, server_id: BackendServerId) -> BackendServer | None:
        return self._deps.config.state.backend_servers_by_id.get(server_id)

    def _record_run_end(self, *, server_fault: bool) -> Sequence[Announcement]:
        """Record that the run ended without a complete answer, if one is active."""
        server_id, self._running_server_id = self._running_server_id, None
        if server_id is None:
            return ()
        return self._deps.router.record_failure(
            self._request.request_id,
            self._deps.clock.seconds(),
            server_fault=server_fault,
        )

    def _record_event(
        self, kind: EventKind, server_id: BackendServerId, **detail: Any
    ) -> None:
        self._deps.events.record(
            kind,
            request=self._request_name,
            account=self._request.account_id,
            object=server_id,
            **detail,
        )


class ResumeDelegate:
    """Looks for a running stream on several servers in turn and records events.

    Parameters
    ----------
    dependencies : Dependencies
        Provide the events.
    targets : sequence of Target
        Servers to ask after the first one.
    account : str
        Account that events name.
    request_name : str
        Name of the request in events.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        targets: Sequence[Target],
        account: str,
        request_name: str,
    ) -> None:
        self._deps = dependencies
        self._targets = list(targets)
        self._account = account
        self._request_name = request_name

    def started(self, target: Target) -> None:
        """Do nothing: the run already exists."""

    def first_token(self, target: Target) -> None:
        """Do nothing: the daemon that started the run recorded it."""

    def resumed(self, target: Target, after: int) -> None:
        """Record that the stream was resumed after an interruption."""
        self._record_event(EventKind.REQUEST_RESUMED, target, after=after)

    def returned(self, target: Target, after: int) -> None:
        """Record that the caller waits for a server that was silent."""
        self._record_event(EventKind.REQUEST_RESUMED, target, after=after)

    def finished(self, target: Target, answer: RelayedAnswer) -> None:
        """Record the complete answer."""
        self._record_event(EventKind.REQUEST_FINISHED, target, tokens=answer.tokens)

    def cancelled(self, target: Target) -> None:
        """Record that the caller disconnected."""
        self._record_event(EventKind.REQUEST_FAILED, target, code="caller_gone")

    async def failed(self, target: Target, error: EngineError) -> None:
        """Record that the server does not have the stream or that it broke off."""
        self._record_event(
            EventKind.REQUEST_FAILED, target, code=error.code, final=False
        )

    async def next_target(self, error: EngineError) -> Target:
        """Return the next server to try; raises `NotFound` after the last."""
        if not self._targets:
            raise NotFound(
                f"Request {self._request_name} does not exist or has ended",
                remedy="Send the request again",
            ) from error
        return self._targets.pop(0)

    def _record_event(self, kind: EventKind, target: Target, **detail: Any) -> None:
        self._deps.events.record(
            kind,
            request=self._request_name,
            account=self._account,
            object=target.server_id,
            **detail,
        )


__all__ = ["RequestDelegate", "ResumeDelegate"]
