"""One send of a request to one backend server."""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import RouteKind, ServerEntry
from chivesaddle.forwarding.attempts import Attempts, max_gap_s
from chivesaddle.forwarding.crashes import CrashRecord
from chivesaddle.forwarding.exchange import (
    NoUsableResponse,
    ReadStart,
    ServerDidNotRun,
    ServerExchange,
)
from chivesaddle.forwarding.handover import OVERLAP_S, TIMER_TOLERANCE_S, Turn
from chivesaddle.forwarding.messages import (
    CallerRequest,
    SendOptions,
    ServerResponse,
)
from chivesaddle.forwarding.preview import read_ahead
from chivesaddle.forwarding.prompts import PromptPlanner, cache_scope
from chivesaddle.forwarding.relay import ReadChunk, Relay
from chivesaddle.forwarding.request_context import RequestContext
from chivesaddle.forwarding.response_progress import ResponseProgress
from chivesaddle.forwarding.results import ResultReporter
from chivesaddle.forwarding.run import Run
from chivesaddle.forwarding.server_liveness import ServerLiveness
from chivesaddle.forwarding.serving_state import ServingState
from chivesaddle.forwarding.stream_software import StreamSoftware
from chivesaddle.http1 import ConnectionPool, HeaderList, ResponseHead
from chivesaddle.placement import (
    Candidate,
    ExchangeOutcome,
    RateLimits,
    ServerTable,
)

# Most servers refuse or respond within this time, so that few are probed.
PROBE_AFTER_S = 0.1

# Returns whether a server answers anything by a deadline in seconds.
ProbeServer = Callable[[ServerEntry, float], Awaitable[bool]]

log = ComponentLogger("forward")


@dataclass(frozen=True, slots=True)
class ServerAccess:
    """What all attempts of a daemon at servers use.

    Attributes
    ----------
    read_start : callable
        Returns the function that reads when a server of a service was started, None if
        its servers have no report.
    probe : callable or None
        Returns whether a server answers; None if servers cannot be asked.
    """

    clock: Clock
    servers: ServerTable
    limits: RateLimits
    pool: ConnectionPool
    decode_response: Callable[[ResponseHead], ServerResponse]
    encode_headers: Callable[[CallerRequest, SendOptions], HeaderList]
    liveness: ServerLiveness
    read_start: Callable[[ServiceId], ReadStart | None]
    prompts: PromptPlanner
    serving_state: ServingState
    stream_software: StreamSoftware
    crashes: CrashRecord
    attempts: Attempts
    probe: ProbeServer | None


class ServerAttempt:
    """Sends a request to one server and forwards its response.

    Parameters
    ----------
    access : ServerAccess
        What it uses.
    context : RequestContext
        The request.
    relay : Relay
        The caller's side.
    candidate : Candidate
        The server.
    priority : int or None
        Priority at the server, None for a service without models.

    Attributes
    ----------
    was_given_up : bool
        Whether another attempt has the request.
    """

    def __init__(
        self,
        access: ServerAccess,
        context: RequestContext,
        relay: Relay,
        candidate: Candidate,
        priority: int | None,
    ) -> None:
        self._access = access
        self._clock = access.clock
        self._context = context
        self._relay = relay
        self.candidate = candidate
        self._priority = priority
        self.was_given_up = False
        self._sent_at = math.inf
        self._has_head = False
        self._is_forwarding = False
        self._progress = ResponseProgress()
        self._has_answered_probe = False
        self._begin_deadline = self._find_begin_deadline()
        self._first_deadline = access.attempts.response_deadline(context)
        self._max_gap_s = max_gap_s(context.route)

    def record_taken(self) -> None:
        """Record that the request is the attempt's."""
        self._context.response = self._progress
        self._context.last_candidate = self.candidate

    def silent_at(self) -> float:
        """Return when the server is silent for too long, infinite if never.

        That is only known once the request has been sent, and never if the route does
        not allow another attempt.
        """
        if self._sent_at == math.inf or not self._access.attempts.may_retry(
            self._context
        ):
            return math.inf
        return self._next_event_due()

    def _next_event_due(self) -> float:
        if not self._is_forwarding:
            return self._first_deadline
        if self._context.route.kind is not RouteKind.STREAM:
            return math.inf
        waiting_since = self._progress.waiting_since
        if waiting_since is None:
            return self._clock.seconds() + self._max_gap_s
        if not self._progress.has_event:
            return self._first_deadline
        return waiting_since + self._max_gap_s

    def _was_silent_at_the_end(self) -> bool:
        """Return whether the time limit has ended the request of a silent server."""
        due, deadline = self._next_event_due(), self._context.deadline
        now = self._clock.seconds() + TIMER_TOLERANCE_S
        return due < deadline <= now and due <= now

    def shows_life(self) -> bool:
        """Return whether the server has sent anything since it got the request."""
        tracked = self._access.servers.get(self.candidate.server.entry.id)
        return self._has_answered_probe or (
            tracked is not None and tracked.last_byte_at >= self._sent_at
        )

    async def _await_answer(self, probe: ProbeServer) -> None:
        """Ask a server that may be reading a long prompt whether it is alive."""
        now = self._clock.seconds()
        await sleep_until(self._clock, now + PROBE_AFTER_S)
        if not self.shows_life():
            server = self.candidate.server.entry
            self._has_answered_probe = await probe(server, now + OVERLAP_S)

    def record_failure(self, reporter: ResultReporter, error: ChivesaddleError) -> None:
        """Log that the server failed, and send the request there no more."""
        if not isinstance(error, ServerDidNotRun | NoUsableResponse):
            return
        context = self._context
        reporter.log_retry(context, self.candidate, error)
        server = self.candidate.server.entry.id
        context.excluded.add(server)
        if isinstance(error, NoUsableResponse) and error.was_given_up:
            context.given_up.append(server)

    def _find_begin_deadline(self) -> float:
        """Return until when a server must have begun the request.

        A request that waits in a queue or on a path that hangs could otherwise begin on
        older weights after their bound. One that cannot be sent again is not given up,
        but sent to older weights only with `LAST_ATTEMPT_RESERVE_S`.
        """
        model, version = self._context.request.model, self.candidate.version
        if model is None or version is None:
            return math.inf
        if not self._access.attempts.may_retry(self._context, additional=1):
            return math.inf
        return self._access.serving_state.begin_deadline(model, version)

    def _encode_headers(self) -> HeaderList:
        access, context, candidate = self._access, self._context, self.candidate
        version, plan = candidate.version, candidate.plan
        scope = None if version is None else cache_scope(version, context.account)
        options = SendOptions(
            server=candidate.server.entry.id,
            time_left_s=context.deadline - self._clock.seconds(),
            account=context.account_id,
            weight_version=version,
            priority=self._priority,
            cache_scope=scope,
            save_to=plan.save_to if plan else None,
            fetch_from=plan.fetch_from if plan else None,
            resume_after=self._relay.last_event_id or context.request.resume_after,
        )
        if scope is not None and plan is not None:
            access.prompts.record_sent(context.request, scope, candidate.server, plan)
        return access.encode_headers(context.request, options)

    async def run(self, turn: Turn) -> None:
        """Send, take the turn once the response can be passed on, and pass it on.

        Raises
        ------
        ServerDidNotRun
            If the server was not reached or did not run the request.
        NoUsableResponse
            If the response is missing, incomplete or not to be passed on.
        """
        access, context, server = self._access, self._context, self.candidate.server
        server_id = server.entry.id
        if access.attempts.has_timed_out(context):
            raise DeadlineExceeded("no time left to send")
        headers = self._encode_headers()
        access.limits.record_send(server_id)
        exchange = ServerExchange(
            self._clock,
            access.servers,
            access.limits,
            access.pool,
            server.entry,
            access.decode_response,
            access.liveness,
            access.read_start(context.service),
        )
        plan = self.candidate.plan
        serial = access.servers.record_send(
            server_id,
            plan.read_tokens if plan else 0,
            context.request.memory_tokens if plan else 0,
        )
        run = Run(
            self._clock,
            access.crashes,
            context.suspects,
            server.entry,
            context.request.id,
        )
        exchange.on_bytes = run.record_bytes
        outcome: ExchangeOutcome | None = None

        probing: Deferred[None] | None = None

        def record_sent() -> None:
            nonlocal probing
            self._sent_at = self._clock.seconds()
            if access.probe is not None and not turn.is_taken:
                probing = start(self._await_answer(access.probe))
                probing.addErrback(log_failure(log, "server was not probed"))
            context.runs += 1
            context.arrivals += 1
            turn.record_sent()

        try:
            response = await exchange.send(
                context.request,
                headers,
                serial,
                is_repeatable=context.route.is_repeatable,
                response_deadline=min(context.deadline, self._begin_deadline),
                check_may_send=context.check_caller_waits,
                on_sent=record_sent,
            )
            if (
                context.request.model is not None
                and response.weight_version is not None
            ):
                access.servers.record_version(
                    server_id, context.request.model, response.weight_version
                )
            try:
                await self._forward(turn, exchange, response, run, serial)
            finally:
                if turn.is_taken:
                    self._progress.unfinished_bytes = self._relay.unfinished_bytes
            context.first_event_at = self._relay.started_at
            outcome = (
                ExchangeOutcome.FAILED
                if response.status >= 500
                else ExchangeOutcome.ANSWERED
            )
            exchange.finish(response)
            run.record_complete(response.status)
        except ServerDidNotRun as error:
            context.runs -= exchange.was_sent
            outcome = error.outcome
            self._apply_refusal(error)
            raise
        except NoUsableResponse as error:
            if not self._has_head and self._clock.seconds() >= self._begin_deadline:
                # The server is not to blame.
                log.info(
                    "request taken back",
                    extra={
                        "request": context.request.id,
                        "server": server_id,
                        "version": self.candidate.version,
                    },
                )
            else:
                outcome = error.outcome
            if error.may_be_crash:
                run.record_break()
            raise
        finally:
            if probing is not None:
                probing.cancel()
            if self.was_given_up or (outcome is None and self._was_silent_at_the_end()):
                outcome = ExchangeOutcome.BROKEN
            run.end()
            exchange.close()
            access.servers.record_end(server_id, serial, outcome)

    async def _forward(
        self,
        turn: Turn,
        exchange: ServerExchange,
        response: ServerResponse,
        run: Run,
        serial: int,
    ) -> None:
        """Take the turn as soon as the response may replace the one so far."""
        context, relay, progress = self._context, self._relay, self._progress
        self._has_head = True
        read_chunk: ReadChunk = exchange.read_chunk
        if response.status >= 500 and not (
            turn.is_taken and not turn.has_successor and self._must_pass_on_error()
        ):
            raise NoUsableResponse(
                f"Server responded with status {response.status}",
                outcome=ExchangeOutcome.FAILED,
            )
        if not turn.is_taken:
            read_chunk = await read_ahead(
                relay, response, exchange.read_chunk, exchange.is_server_alive
            )
            turn.take()
        elif not relay.expects_events(response):
            # Nothing goes to the caller before the whole body has arrived.
            turn.record_progress()
        self._is_forwarding = True
        server = self.candidate.server.entry

        def record_progress() -> None:
            if run.first_event_at is None:
                self._access.servers.record_first_event(server.id, serial)
                self._access.stream_software.record_start(
                    context, server.software_version
                )
            run.record_events()
            progress.began_at = run.first_event_at
            progress.last_event_at = self._clock.seconds()
            turn.record_progress()

        progress.framing = response.framing
        await relay.forward(
            response, read_chunk, exchange.is_server_alive, progress, record_progress
        )

    def _must_pass_on_error(self) -> bool:
        """Return whether no other server can be sent the request instead."""
        context, access = self._context, self._access
        servers = access.servers.of_service(context.service)
        return (
            len(servers) <= len(context.excluded | {self.candidate.server.entry.id})
            or self._relay.has_started
            or not access.attempts.may_retry(context)
        )

    def _apply_refusal(self, error: ServerDidNotRun) -> None:
        servers, context = self._access.servers, self._context
        server = self.candidate.server.entry.id
        if error.response_status == 503:
            servers.record_busy(server)
        model = context.request.model
        is_same_server = error.responding_server in (None, server)
        if error.response_status == 421 and model is not None and is_same_server:
            target_version = self._access.serving_state.target_version(model)
            if target_version is not None:
                servers.assume_version(server, model, target_version)
            servers.record_busy(server)


__all__ = ["ServerAccess", "ServerAttempt"]
