"""Steering of one request between routing, KV import and the relay."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import CancelledError

from chivesaddle.core.aio import sleep_until, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventKind
from chivesaddle.core.ids import BackendServerId, BlockKey
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
from chivesaddle.gateway.dependencies import (
    Dependencies,
    Refuse,
    RouteRequest,
    Send,
    Wait,
)
from chivesaddle.gateway.errors import NotFound, RequestGivenUp

# Time for a continuation, whose first-token deadline has passed already.
CONTINUE_S = 10.0
KV_LOAD_S = 1.0
ANNOUNCE_S = 0.5
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
        while True:
            now = self._deps.clock.seconds()
            match self._deps.router.choose(self._request, now, self._excluded):
                case Send() as decision:
                    server = self._server(decision.server_id)
                    if server is not None:
                        return await self._prepare(decision, server, now)
                    self._excluded |= {decision.server_id}
                case Refuse() as refusal:
                    raise refusal.error
                case Wait() as wait:
                    await self._wait(wait.until, now)

    def started(self, target: Target) -> None:
        """Note that the request is sent."""
        self._event(EventKind.REQUEST_ROUTED, target.server_id)

    def first_token(self, target: Target) -> None:
        """Note the first token and the time it took."""
        now = self._deps.clock.seconds()
        self._answering = True
        self._deps.router.record_first_token(self._request, target.server_id, now)
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
        self._close(self._deps.router.record_finish)
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
        if isinstance(error, EngineCrashed):
            self._close(router.record_crash)
            await self._announce(target.server_id)
            return
        if isinstance(error, EngineDraining):
            router.set_leaving(target.server_id)
        faulty = error.elsewhere and not isinstance(error, _HEALTHY)
        self._close(router.record_failure if faulty else router.record_cancel)

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
        """Give up the place at the server, if one is held."""
        self._close(self._deps.router.record_cancel)

    async def _prepare(
        self, decision: Send, server: BackendServer, now: float
    ) -> Target:
        self._excluded |= {server.id}
        self._sent_to = server.id
        # Recorded before the import, so that others see the place as taken.
        self._deps.router.record_start(self._request, server.id, now)
        if decision.import_from is not None and decision.import_blocks:
            keys = self._request.prefix_keys[: decision.import_blocks]
            await self._import(keys, server, now)
        return Target(server.id, server.url)

    async def _import(
        self, keys: Sequence[BlockKey], server: BackendServer, now: float
    ) -> None:
        """Load blocks; a failure costs only their recomputation."""
        kv = self._deps.kv
        if kv is None:
            return
        deadline = min(now + KV_LOAD_S, self._request.deadline)
        try:
            prefix = await kv.find(self._scope, keys, deadline)
            if prefix is not None:
                await kv.load(prefix, server, deadline)
                self._event(EventKind.KV_IMPORTED, server.id, blocks=len(keys))
        except CancelledError:
            raise
        except ChivesaddleError as error:
            self._event(EventKind.KV_IMPORT_REJECTED, server.id, code=error.code)
        except Exception:
            _log.exception("import into %s failed unexpectedly", server.id)

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

    async def _announce(self, server_id: BackendServerId) -> None:
        clock = self._deps.clock
        told = self._deps.announce_crash(server_id, self._request.fingerprint)
        try:
            await with_deadline(
                clock, clock.seconds() + ANNOUNCE_S, told, "crash announcement"
            )
        except CancelledError:
            raise
        except Exception as error:
            _log.warning("crash of %s not announced: %s", server_id, error)

    def _server(self, server_id: BackendServerId) -> BackendServer | None:
        return self._deps.config.state.backend_servers_by_id.get(server_id)

    def _close(
        self, record: Callable[[RouteRequest, BackendServerId, float], None]
    ) -> None:
        server_id, self._sent_to = self._sent_to, None
        if server_id is not None:
            record(self._request, server_id, self._deps.clock.seconds())

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
