"""Steering of one request between routing, KV import and the relay."""

import dataclasses
from collections.abc import Sequence
from typing import Any

from twisted.internet.defer import CancelledError

from chivesaddle.core.aio import log_failure, sleep_until, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventKind
from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.logs import PartLogger
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
from chivesaddle.gateway.errors import NotFound, RequestGivenUp
from chivesaddle.routing import (
    Announcement,
    Refuse,
    RouteRequest,
    Send,
    StoredCopy,
    Wait,
)

# Time for a continuation, whose first-token deadline has passed already.
CONTINUE_S = 10.0
KV_LOAD_S = 1.0
ANNOUNCE_S = 0.5
RIVAL_WAIT_S = 0.2
MIN_WAIT_S = 0.001
RETRY_AFTER_S = 1.0
# These say that the server works but cannot take this request.
_HEALTHY = (EngineFull, EngineDraining, EngineNotFound, VersionNotLoaded)
_log = PartLogger("gateway")


class RequestGuide:
    """Routes one request and records what becomes of it.

    Parameters
    ----------
    dependencies : Dependencies
        Router, KV service, events and metrics.
    request : RouteRequest
        What is routed.
    name : str
        Name of the request in events.
    scope : str
        Cache scope of its blocks.
    """

    def __init__(
        self, dependencies: Dependencies, request: RouteRequest, name: str, scope: str
    ) -> None:
        self._deps = dependencies
        self._request = request
        self._name = name
        self._scope = scope
        self._received_at = dependencies.clock.seconds()
        self._excluded: frozenset[BackendServerId] = frozenset()
        self._sent_to: BackendServerId | None = None
        self._answering = False
        self._looked_up = False
        self._stored: Any = None
        self.finished_at: BackendServer | None = None

    async def select(self) -> Target:
        """Return the server to send to, with its blocks loaded if that pays.

        Raises
        ------
        ChivesaddleError
            The router's final rejection.
        RequestGivenUp
            The deadline passed while waiting.
        """
        refusal = self._deps.router.admit(self._request, self._deps.clock.seconds())
        if refusal is not None:
            raise refusal.error
        await self._find_copies()
        while True:
            now = self._deps.clock.seconds()
            match self._deps.router.choose(self._request, now, self._excluded):
                case Send() as decision:
                    server = self._server(decision.server_id)
                    if server is None:
                        self._excluded |= {decision.server_id}
                    elif await self._start(decision, now):
                        return await self._prepare(decision, server, now)
                case Refuse(error):
                    raise error
                case Wait(until):
                    await self._wait(until, now)

    def started(self, target: Target) -> None:
        """Note that the request is sent."""
        self._event(EventKind.REQUEST_ROUTED, target.server_id)

    def first_token(self, target: Target) -> None:
        """Note the first token and the time it took."""
        now = self._deps.clock.seconds()
        self._answering = True
        self._deps.router.record_first_token(self._request.request_id, now)
        elapsed_ms = (now - self._received_at) * 1_000
        self._deps.metrics.timing("gateway.first_token", elapsed_ms)
        self._event(
            EventKind.REQUEST_FIRST_TOKEN, target.server_id, elapsed_ms=elapsed_ms
        )

    def resumed(self, target: Target, after: int) -> None:
        """Note a resume at the same server."""
        self._event(EventKind.REQUEST_RESUMED, target.server_id, after=after)

    def finished(self, target: Target, answer: RelayedAnswer) -> None:
        """Note the complete answer."""
        self.finished_at = self._server(target.server_id)
        self._sent_to = None
        announcements = self._deps.router.record_finish(
            self._request.request_id,
            self._deps.clock.seconds(),
            self._request.prefix_keys,
        )
        if announcements:
            # The answer need not wait: this only lifts a suspicion.
            told = start(self._announce(announcements))
            told.addErrback(log_failure(_log, "announcement failed"))
        self._event(EventKind.REQUEST_FINISHED, target.server_id, tokens=answer.tokens)

    def cancelled(self, target: Target) -> None:
        """Note that the caller went away."""
        self.release()
        self._event(EventKind.REQUEST_FAILED, target.server_id, code="caller_gone")

    async def failed(self, target: Target, error: EngineError) -> None:
        """Note a failure; a crash is announced to the peers before this returns."""
        router = self._deps.router
        self._event(
            EventKind.REQUEST_FAILED, target.server_id, code=error.code, final=False
        )
        self._deps.metrics.incr(f"gateway.failures.{error.code}")
        now = self._deps.clock.seconds()
        if isinstance(error, EngineCrashed):
            self._sent_to = None
            await self._announce(router.record_crash(target.server_id, now))
            return
        if isinstance(error, EngineDraining):
            router.set_leaving(target.server_id)
        faulty = error.elsewhere and not isinstance(error, _HEALTHY)
        await self._announce(self._end(server_fault=faulty))

    async def next_target(self, error: EngineError) -> Target:
        """Return another server than those that failed."""
        if self._answering:
            now = self._deps.clock.seconds()
            deadline = max(self._request.deadline, now + CONTINUE_S)
            self._request = dataclasses.replace(self._request, deadline=deadline)
        target = await self.select()
        self._event(EventKind.REQUEST_RETRIED, target.server_id, code=error.code)
        return target

    def release(self) -> None:
        """Give up the place at the server or in the queue, if one is held."""
        self._deps.router.cancel(self._request.request_id)
        announcements = self._end(server_fault=False)
        if announcements:
            told = start(self._announce(announcements))
            told.addErrback(log_failure(_log, "announcement failed"))

    async def _find_copies(self) -> None:
        """Look up stored copies of the prompt once; without them it is recomputed."""
        keys = self._request.prefix_keys
        if self._deps.kv is None or not keys or self._looked_up:
            return
        self._looked_up = True
        try:
            found = await self._deps.kv.find(self._scope, keys, self._request.deadline)
        except ChivesaddleError as error:
            _log.info("no stored copy of %s: %s", self._name, error)
            return
        if found is None:
            return
        self._stored = found
        copy = StoredCopy(found.store_id, found.blocks, found.wait_s, found.block_s)
        self._request = dataclasses.replace(self._request, copies=(copy,))

    async def _start(self, decision: Send, now: float) -> bool:
        """Take the place; return False if a suspect met another one and waited."""
        self._sent_to = decision.server_id
        # Recorded before the import, so that others see the place as taken.
        announcements = self._deps.router.record_start(self._request, decision, now)
        if not announcements:
            return True
        await self._announce(announcements)
        now = self._deps.clock.seconds()
        if not self._deps.router.has_rival(self._request.request_id, now):
            return True
        await self._announce(self._end(server_fault=False))
        # Random, so that two daemons do not meet again and again.
        await self._wait(now + self._deps.random.uniform(0, RIVAL_WAIT_S), now)
        return False

    async def _prepare(
        self, decision: Send, server: BackendServer, now: float
    ) -> Target:
        self._excluded |= {server.id}
        if decision.import_from is not None and decision.import_blocks:
            await self._import(decision, server, now)
        return Target(server.id, server.url)

    async def _import(self, decision: Send, server: BackendServer, now: float) -> None:
        """Load blocks; a failure costs only their recomputation."""
        if self._deps.kv is None or self._stored is None:
            return
        deadline = min(now + KV_LOAD_S, self._request.deadline)
        try:
            loaded = await self._deps.kv.load(
                self._stored,
                server,
                deadline,
                interactive=self._request.interactive,
                cached_blocks=decision.cached_blocks,
            )
        except ChivesaddleError as error:
            self._event(EventKind.KV_IMPORT_REJECTED, server.id, code=error.code)
            return
        keys = self._request.prefix_keys[: loaded.blocks]
        self._deps.router.update_blocks(server.id, keys, ())
        kind = EventKind.KV_IMPORTED
        if loaded.error is not None:
            kind = EventKind.KV_IMPORT_REJECTED
        self._event(kind, server.id, blocks=loaded.blocks)

    async def _wait(self, until: float, now: float) -> None:
        deadline = self._request.deadline
        if now >= deadline - MIN_WAIT_S:
            raise RequestGivenUp(
                "No backend server could take the request before its deadline",
                remedy="Send it again later",
                retry_after_s=RETRY_AFTER_S,
            )
        resume_at = min(max(until, now + MIN_WAIT_S), deadline)
        await sleep_until(self._deps.clock, resume_at)

    async def _announce(self, announcements: Sequence[Announcement]) -> None:
        clock = self._deps.clock
        told = self._deps.announce(announcements)
        try:
            await with_deadline(
                clock, clock.seconds() + ANNOUNCE_S, told, "announcement"
            )
        except CancelledError:
            raise
        except Exception as error:
            _log.warning("suspects of %s not announced: %s", self._name, error)

    def _server(self, server_id: BackendServerId) -> BackendServer | None:
        return self._deps.config.state.backend_servers_by_id.get(server_id)

    def _end(self, *, server_fault: bool) -> Sequence[Announcement]:
        """End the run at the server, if there is one."""
        server_id, self._sent_to = self._sent_to, None
        if server_id is None:
            return ()
        return self._deps.router.record_failure(
            self._request.request_id,
            self._deps.clock.seconds(),
            server_fault=server_fault,
        )

    def _event(
        self, kind: EventKind, server_id: BackendServerId, **detail: Any
    ) -> None:
        self._deps.events.record(
            kind,
            request=self._name,
            account=self._request.account_id,
            object=server_id,
            **detail,
        )


class ResumeGuide:
    """Looks for a running stream at the server named first, then at others.

    Parameters
    ----------
    dependencies : Dependencies
        Events.
    targets : sequence of Target
        Servers to ask after the first one.
    account : str
        Account for events.
    name : str
        Name of the request in events.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        targets: Sequence[Target],
        account: str,
        name: str,
    ) -> None:
        self._deps = dependencies
        self._targets = list(targets)
        self._account = account
        self._name = name

    def started(self, target: Target) -> None:
        """Do nothing: the run already exists."""

    def first_token(self, target: Target) -> None:
        """Do nothing: another daemon reported it."""

    def resumed(self, target: Target, after: int) -> None:
        """Note a resume after a break."""
        self._event(EventKind.REQUEST_RESUMED, target, after=after)

    def finished(self, target: Target, answer: RelayedAnswer) -> None:
        """Note the complete answer."""
        self._event(EventKind.REQUEST_FINISHED, target, tokens=answer.tokens)

    def cancelled(self, target: Target) -> None:
        """Note that the caller went away."""
        self._event(EventKind.REQUEST_FAILED, target, code="caller_gone")

    async def failed(self, target: Target, error: EngineError) -> None:
        """Note that the stream is not there or broke."""
        self._event(EventKind.REQUEST_FAILED, target, code=error.code, final=False)

    async def next_target(self, error: EngineError) -> Target:
        """Return the next server to ask; raises `NotFound` after the last."""
        if not self._targets:
            raise NotFound(
                f"Request {self._name} does not exist or has ended",
                remedy="Send the request again",
            ) from error
        return self._targets.pop(0)

    def _event(self, kind: EventKind, target: Target, **detail: Any) -> None:
        self._deps.events.record(
            kind,
            request=self._name,
            account=self._account,
            object=target.server_id,
            **detail,
        )


__all__ = ["RequestGuide", "ResumeGuide"]
