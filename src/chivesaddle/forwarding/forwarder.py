"""Forwarding of a caller's request: routing, sends to servers, and the response."""

import math
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, replace

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.ids import (
    BackendServerId,
    RequestId,
    ServiceId,
    ZoneId,
)
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import Account, Configuration, Route, RouteKind
from chivesaddle.forwarding.attempts import TARGET_TIMEOUT_FACTOR, Attempts
from chivesaddle.forwarding.budget import RetryBudget
from chivesaddle.forwarding.crashes import CrashRecord
from chivesaddle.forwarding.errors import (
    CallerLeft,
    DaemonEnded,
    MayHaveRun,
    NoRoute,
    NotRun,
    TimedOut,
    UnknownKey,
)
from chivesaddle.forwarding.exchange import (
    NoUsableResponse,
    ReadStart,
    ServerDidNotRun,
    ServerExchange,
)
from chivesaddle.forwarding.messages import (
    CallerRequest,
    PassOptions,
    SendOptions,
    ServerResponse,
)
from chivesaddle.forwarding.passing import PeerDaemon, PeerPaths, RequestPasser
from chivesaddle.forwarding.prompts import PromptPlanner, cache_scope
from chivesaddle.forwarding.relay import Relay
from chivesaddle.forwarding.request_context import RequestContext
from chivesaddle.forwarding.results import ResultReporter
from chivesaddle.forwarding.run import Run
from chivesaddle.forwarding.server_liveness import ServerLiveness
from chivesaddle.forwarding.serving_state import (
    LAST_ATTEMPT_RESERVE_S,
    ServingState,
)
from chivesaddle.forwarding.shutdown import ShutdownAdmission
from chivesaddle.forwarding.stalls import MIN_CALLER_TIMEOUT_S, StallWatch
from chivesaddle.forwarding.stream_origins import StreamOrigins
from chivesaddle.forwarding.stream_software import StreamSoftware
from chivesaddle.forwarding.suspects import CrashSuspects
from chivesaddle.http1 import (
    ConnectionPool,
    HeaderList,
    Request,
    Responder,
    ResponseHead,
)
from chivesaddle.placement import (
    AdmissionCounts,
    AdmissionQueue,
    Candidate,
    ExchangeOutcome,
    MemoryRequest,
    NoCapacity,
    RateLimits,
    ServerRequirements,
    ServerTable,
    choose,
    estimate_cost,
)

log = ComponentLogger("forward")


@dataclass(frozen=True, slots=True)
class MessageCodec:
    """Adapter functions that decode requests and responses and encode headers."""

    decode_request: Callable[[Request], CallerRequest]
    decode_response: Callable[[ResponseHead], ServerResponse]
    encode_server_headers: Callable[[CallerRequest, SendOptions], HeaderList]
    encode_peer_headers: Callable[[CallerRequest, PassOptions], HeaderList]


class NoPath(ChivesaddleError):
    """Only other daemons reach servers of the service."""

    code = "no_path"
    status = 503


class Forwarder:
    """Forwards requests of callers.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    zone : ZoneId
        Availability zone of this daemon.
    codec : MessageCodec
        Decodes requests and responses and encodes headers.
    serving_state : ServingState
        Configuration and weight versions to apply.
    servers : ServerTable
        Backend servers.
    limits : RateLimits
        Limits that backend servers name.
    pool : ConnectionPool
        Connections to backend servers.
    peer_paths : PeerPaths
        Which other daemons reach servers.
    peer_pool : ConnectionPool
        Connections to other daemons.
    budget : RetryBudget
        Limits retries.
    crashes : CrashRecord
        Identifies requests that crash servers.
    prompts : PromptPlanner
        Costs and transfers of prompts.
    origins : StreamOrigins
        Software versions at which streams began.
    observe : callable
        Called for each finished request with its result and duration in seconds.
    shares_by_account : bool
        Whether capacity is shared between the accounts of waiting requests.
    read_start : callable or None
        Reads when the process at a model engine's address was started.
    was_paused : callable
        Returns whether this process did not run for a while just before.

    Attributes
    ----------
    shutdown : ShutdownAdmission
        Refuses requests that may outlast a daemon that is shutting down.
    """

    def __init__(
        self,
        clock: Clock,
        zone: ZoneId,
        codec: MessageCodec,
        serving_state: ServingState,
        servers: ServerTable,
        limits: RateLimits,
        pool: ConnectionPool,
        peer_paths: PeerPaths,
        peer_pool: ConnectionPool,
        budget: RetryBudget,
        crashes: CrashRecord,
        prompts: PromptPlanner,
        origins: StreamOrigins,
        observe: Callable[[str, float], None],
        shares_by_account: bool = False,
        read_start: ReadStart | None = None,
        was_paused: Callable[[], bool] = lambda: False,
    ) -> None:
        self._read_start = read_start
        self._liveness = ServerLiveness(clock, pool, was_paused)
        self._shares_by_account = shares_by_account
        self.admission_counts = AdmissionCounts()
        self._clock = clock
        self._zone = zone
        self._codec = codec
        self._serving_state = serving_state
        self._servers = servers
        self._limits = limits
        self._pool = pool
        self._peer_paths = peer_paths
        self._budget = budget
        self._crashes = crashes
        self._prompts = prompts
        self._stream_software = StreamSoftware(origins, servers)
        self._reporter = ResultReporter(clock, observe)
        self._random = random.Random()
        self._attempts = Attempts(clock)
        self.shutdown = ShutdownAdmission(clock)
        self._passer = RequestPasser(
            clock,
            peer_pool,
            codec.encode_peer_headers,
            codec.decode_response,
            self._attempts,
            budget,
            self._check_may_send,
            self._reporter,
        )
        self._queues_by_service: dict[ServiceId, AdmissionQueue] = {}
        self._tasks: set[Deferred[None]] = set()
        self._contexts: set[RequestContext] = set()
        servers.on_capacity_freed = self._dispatch_waiting

    def handle(self, request: Request, responder: Responder) -> None:
        """Handle a request from the callers' listener."""
        caller_request = self._codec.decode_request(request)
        if caller_request.earlier_runs is not None and not self._peer_paths.is_member(
            request.sender_host
        ):
            log.warning(
                "header of daemons ignored",
                extra={"request": caller_request.id, "from": request.sender_host},
            )
            caller_request = replace(caller_request, earlier_runs=None)
        task = start(self._serve(caller_request, request.received_at, responder))
        responder.disconnected.addCallback(lambda _: task.cancel())
        task.addErrback(
            lambda failure: log.error(
                "request handler failed",
                extra={"request": caller_request.id, "cause": str(failure)},
            )
        )
        if not task.called:
            self._tasks.add(task)
            task.addBoth(lambda _: self._tasks.discard(task))

    def begin_shutdown(self, ends_at: float, estimates_until: float) -> None:
        """Begin to refuse requests that may outlast the daemon.

        Those that wait for capacity are refused as soon as they can no longer be sent.
        Parameters are those of `ShutdownAdmission.begin`.
        """
        self.shutdown.begin(ends_at, estimates_until)
        self._refuse_waiting()
        self._clock.callLater(
            max(0.0, estimates_until - self._clock.seconds()), self._refuse_waiting
        )

    def _refuse_waiting(self) -> None:
        for queue in self._queues_by_service.values():
            queue.refuse_waiting()

    def end_requests(self) -> None:
        """End all requests, since the daemon ends.

        Those that no server can have run are refused as such.
        """
        self.shutdown.has_ended = True
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, caller_request: CallerRequest, received_at: float, responder: Responder
    ) -> None:
        context: RequestContext | None = None
        try:
            context = self._create_context(
                caller_request, received_at, responder.has_caller_left
            )
            self._check_shutdown(context)
            self._contexts.add(context)
            await self._send_before_deadline(context, responder)
            self.shutdown.record(
                context.route,
                caller_request.output_tokens,
                self._clock.seconds() - received_at,
            )
            self._reporter.log_result("answered", caller_request, context, received_at)
        except CancelledError:
            if self.shutdown.has_ended:
                self._end_request(caller_request, context, received_at, responder)
            else:
                self._reporter.log_result(
                    "caller_left", caller_request, context, received_at
                )
        except CallerLeft as error:
            self._reporter.log_result(
                error.code, caller_request, context, received_at, error
            )
            responder.abort()
        except ChivesaddleError as error:
            self._reporter.respond_with_error(
                error, caller_request, context, received_at, responder
            )
        except Exception as error:
            log.exception("forwarding failed", extra={"request": caller_request.id})
            cause = f"Forwarding failed: {error!r}"
            reported_error = (
                MayHaveRun(cause) if context and context.runs else NotRun(cause)
            )
            self._reporter.respond_with_error(
                reported_error, caller_request, context, received_at, responder
            )
        finally:
            if context is not None:
                self._contexts.discard(context)

    def _check_shutdown(self, context: RequestContext) -> None:
        """Raise `NotRun` if the request may outlast a daemon that shuts down."""
        self.shutdown.check(
            context.route,
            context.deadline,
            context.request.output_tokens,
            context.request.id,
            lambda: self._longest_running(context.route),
        )

    def _check_may_begin(self, context: RequestContext) -> None:
        """Raise `NotRun` if a request that has not run must not begin any more."""
        if context.runs == 0:
            self._check_shutdown(context)

    def _longest_running(self, route: Route) -> float:
        """Return the age in seconds of the route's oldest unfinished request, or 0."""
        now = self._clock.seconds()
        return max(
            (
                now - context.received_at
                for context in self._contexts
                if context.runs and context.route.id == route.id
            ),
            default=0.0,
        )

    def _end_request(
        self,
        caller_request: CallerRequest,
        context: RequestContext | None,
        received_at: float,
        responder: Responder,
    ) -> None:
        """Answer a request that the end of the daemon cuts, if nothing has been sent.

        The end of the process closes the connection of a response that has begun, which
        keeps what the kernel has not sent yet.
        """
        error: ChivesaddleError = NotRun(
            "The daemon ended before a server got the request",
            retry_after_s=self._attempts.random_retry_after(),
        )
        if context is not None and (context.runs or context.passed_to):
            error = DaemonEnded("The daemon ended before the whole response")
        if responder.started:
            self._reporter.log_result(
                error.code, caller_request, context, received_at, error
            )
        else:
            self._reporter.respond_with_error(
                error, caller_request, context, received_at, responder
            )

    def _create_context(
        self,
        caller_request: CallerRequest,
        received_at: float,
        has_caller_left: Callable[[], bool],
    ) -> RequestContext:
        """Find route, account and service; raises the error to respond with."""
        configuration = self._serving_state.configuration
        if configuration is None:
            raise NotRun("No configuration has been received yet", retry_after_s=1.0)
        route = configuration.find_route(
            caller_request.host, caller_request.target.decode("latin-1")
        )
        if route is None:
            raise NoRoute(
                f"No route matches {caller_request.host} {caller_request.target!r}"
            )
        account = self._authenticate(caller_request, route, configuration)
        limit_s = route.timeout_s
        caller_deadline = None
        if caller_request.time_limit_s is not None:
            caller_deadline = received_at + caller_request.time_limit_s
            limit_s = min(limit_s, caller_request.time_limit_s)
        suspects = CrashSuspects.from_request(caller_request, account)
        self._check_not_blocked(suspects, caller_request.id)
        return RequestContext(
            request=caller_request,
            route=route,
            service=self._choose_service(route),
            account=account,
            configuration_version=configuration.version,
            received_at=received_at,
            deadline=received_at + limit_s,
            caller_deadline=caller_deadline,
            suspects=suspects,
            has_caller_left=has_caller_left,
            runs=caller_request.earlier_runs or 0,
        )

    def _check_not_blocked(
        self, suspects: CrashSuspects, request_id: RequestId
    ) -> None:
        """Raise `NotRun` if the request, or a part of its prompt, crashes servers."""
        refusal = self._crashes.find_refusal(suspects)
        if refusal is None:
            return
        log.info(
            "request blocked",
            extra={
                "request": request_id,
                "fingerprint": suspects.request,
                "suspects": refusal.suspects,
                "crashes": refusal.crashes,
            },
        )
        raise NotRun(
            "The request or a part of its prompt broke several servers",
            retry_after_s=refusal.until - self._clock.seconds(),
        )

    def _authenticate(
        self, caller_request: CallerRequest, route: Route, configuration: Configuration
    ) -> Account | None:
        if not configuration.has_accounts:
            return None
        account = (
            None
            if caller_request.key is None
            else configuration.accounts_by_key.get(caller_request.key)
        )
        if account is None and not route.allows_anonymous:
            raise UnknownKey(f"The key is not in configuration {configuration.version}")
        return account

    def _choose_service(self, route: Route) -> ServiceId:
        services = list(route.weight_by_service)
        if not services:
            raise NotRun(f"Route {route.id} has no service", retry_after_s=1.0)
        if len(services) == 1:
            return services[0]
        weights = [max(0.0, route.weight_by_service[s]) for s in services]
        if not any(weights):
            return services[0]
        return self._random.choices(services, weights)[0]

    async def _send_before_deadline(
        self, context: RequestContext, responder: Responder
    ) -> None:
        """Send until a response is complete; raises the error of a failed request."""
        is_stream = context.route.kind is RouteKind.STREAM
        # Servers of other routes may begin a stream again.
        resumes_after = context.request.resume_after
        if not context.route.may_resume:
            resumes_after = None
        relay = Relay(
            responder,
            is_stream,
            self._clock,
            resumes_after=resumes_after,
            method=context.request.method,
        )
        try:
            await with_deadline(
                self._clock,
                context.deadline,
                start(self._send_with_retries(context, relay)),
                "request",
            )
        except DeadlineExceeded as error:
            if context.runs == 0:
                raise NotRun("No server accepted the request in time") from error
            raise TimedOut(f"No complete response in time: {error.message}") from error

    async def _send_with_retries(self, context: RequestContext, relay: Relay) -> None:
        if not self._peers_to_pass_to(context):
            await self._stream_software.resume(context)
        while True:
            if peers := self._peers_to_pass_to(context):
                self._check_may_begin(context)
                await self._passer.pass_on(context, relay, peers)
                return
            try:
                candidate = await self._find_server(context)
            except NoPath:
                continue
            self._check_may_send(context)
            # It may have waited for capacity since its arrival.
            self._check_may_begin(context)
            if context.sends == 0:
                self._budget.record_request(context.service)
            elif context.arrivals and not self._budget.try_acquire(context.service):
                raise self._attempts.final_error(
                    context, relay, "the retry budget is used up"
                )
            context.sends += 1
            context.last_candidate = candidate
            try:
                await self._send(context, relay, candidate)
                return
            except ServerDidNotRun as error:
                self._reporter.log_retry(context, candidate, error)
                context.excluded.add(candidate.server.entry.id)
                has_path = self._servers.has_path(context.service)
                may_go_on = self._attempts.may_send_again(context, has_path)
                if not may_go_on and not self._peers_to_pass_to(context):
                    raise self._attempts.final_error(
                        context, relay, error.message
                    ) from error
            except NoUsableResponse as error:
                self._reporter.log_retry(context, candidate, error)
                context.excluded.add(candidate.server.entry.id)
                if error.was_given_up:
                    context.given_up.append(candidate.server.entry.id)
                if not (relay.can_go_on and self._attempts.may_retry(context)):
                    raise self._attempts.final_error(
                        context, relay, error.message
                    ) from error

    def _check_may_send(self, context: RequestContext) -> None:
        """Raise the error of a request that must not be sent any more.

        Raises
        ------
        CallerLeft
            If nobody waits for a response.
        NotRun, MayHaveRun
            If the request, or a part of its prompt, crashes servers.
        """
        context.check_caller_waits()
        try:
            self._check_not_blocked(context.suspects, context.request.id)
        except NotRun as error:
            if context.runs:
                raise MayHaveRun(error.message) from error
            raise

    def _peers_to_pass_to(self, context: RequestContext) -> Sequence[PeerDaemon]:
        """Return the daemons to pass the request on to; none if servers are reached."""
        if context.request.earlier_runs is not None:
            return ()
        return self._peer_paths.reaching(context.service)

    async def _find_server(self, context: RequestContext) -> Candidate:
        """Return a server, after waiting for one with capacity if necessary.

        Raises `NotRun` or `MayHaveRun` if there is none.
        """
        self._limits.record_demand(context.service)
        if not self._server_memory_tokens(context.service):
            candidate = self._choose(context)
            if candidate.has_capacity:
                return candidate
        now = self._clock.seconds()
        target_s = context.route.target_s
        memory_request = MemoryRequest(
            tokens=max(1, context.request.memory_tokens),
            priority=self._priority(context) or 0,
            arrived_at=context.received_at,
            first_event_due=context.received_at + target_s,
            expires_at=min(
                context.deadline - target_s,
                context.received_at + _caller_timeout_s(context.route) - target_s,
            ),
            account=context.account_id,
            cost=self._estimate_cost(context),
            caller_gives_up_at=context.caller_deadline,
            fingerprint=context.suspects.request,
        )
        queue = self._queue_of(context.service)
        try:
            return await queue.wait_for_capacity(
                memory_request,
                lambda reserved: self._choose(context, reserved),
                lambda: self._check_may_begin(context),
            )
        except NoCapacity as error:
            if context.runs:
                raise MayHaveRun(error.message) from error
            retry_after_s = error.retry_after_s or 0.0
            if not error.is_return_scheduled:
                retry_after_s += self._attempts.random_retry_after()
            raise NotRun(error.message, retry_after_s=retry_after_s) from error
        finally:
            context.waited_s += self._clock.seconds() - now

    def _queue_of(self, service: ServiceId) -> AdmissionQueue:
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = self._queues_by_service[service] = AdmissionQueue(
                self._clock,
                lambda: self._free_memory(service),
                lambda ahead: self._minimum_wait(service, ahead),
                self.admission_counts if self._shares_by_account else None,
            )
        return queue

    def _estimate_cost(self, context: RequestContext) -> float:
        """Return the cost of a request for its account in seconds, 1 without shares."""
        if not self._shares_by_account:
            return 1.0
        request = context.request
        return estimate_cost(
            request.parts[-1].tokens if request.parts else request.prompt_tokens,
            request.output_tokens,
            request.memory_tokens,
            self._server_memory_tokens(context.service),
        )

    def _free_memory(self, service: ServiceId) -> Mapping[BackendServerId, int] | None:
        if self._peer_paths.reaching(service):
            # Waiting requests are passed on.
            return None
        return self._servers.free_memory(service, self._server_memory_tokens(service))

    def _minimum_wait(self, service: ServiceId, ahead: int) -> float:
        """Return the wait that limits and refusals of all servers cause, in seconds."""
        wait_s = self._servers.opens_at(service) - self._clock.seconds()
        share_per_s = self._limits.share_per_s(self._servers.of_service(service))
        if share_per_s:
            wait_s = max(wait_s, ahead / share_per_s)
        return wait_s

    def _dispatch_waiting(self, service: ServiceId) -> None:
        queue = self._queues_by_service.get(service)
        if queue is not None:
            queue.dispatch_ready()

    def _choose(
        self, context: RequestContext, reserved: Collection[BackendServerId] = ()
    ) -> Candidate:
        """Choose a server.

        Raises
        ------
        NotRun, MayHaveRun
            If there is none.
        NoPath
            If the request must be passed on instead.
        """
        if self._peers_to_pass_to(context):
            raise NoPath(f"No server of {context.service} is reached")
        now = self._clock.seconds()
        servers = self._servers.of_service(context.service)
        requirements = self._requirements(context)
        candidate = choose(
            servers, requirements, self._zone, now, context.excluded, reserved
        )
        if candidate is None and context.excluded and context.runs == 0:
            candidate = choose(
                servers, requirements, self._zone, now, reserved=reserved
            )
        if candidate is None:
            message = (
                f"Service {context.service} has no usable server among {len(servers)}"
            )
            if context.software_version is not None:
                message += f" for software version {context.software_version!r}"
            if context.runs:
                raise MayHaveRun(message)
            raise NotRun(message, retry_after_s=self._attempts.random_retry_after())
        return candidate

    def _requirements(self, context: RequestContext) -> ServerRequirements:
        caller_request = context.request
        if caller_request.model is None:
            return ServerRequirements(
                body_bytes=len(caller_request.body),
                software_version=context.software_version,
            )
        shared_part_id = caller_request.shared_part
        return ServerRequirements(
            model=caller_request.model,
            target_version=self._serving_state.target_version(caller_request.model),
            oldest_version=self._serving_state.oldest_usable_version(
                caller_request.model,
                0.0
                if self._attempts.may_retry(context, additional=1)
                else LAST_ATTEMPT_RESERVE_S,
            ),
            affinity_key=None if shared_part_id is None else str(shared_part_id),
            memory_tokens=caller_request.memory_tokens,
            body_bytes=len(caller_request.body),
            software_version=context.software_version,
            server_memory_tokens=self._server_memory_tokens(context.service),
            plan_prompt=self._prompts.planner(
                caller_request, context.account, context.service
            ),
            min_read_tokens=(
                caller_request.parts[-1].tokens if caller_request.parts else 0
            ),
        )

    async def _send(
        self, context: RequestContext, relay: Relay, candidate: Candidate
    ) -> None:
        """Send to one server and forward its response."""
        server = candidate.server
        now = self._clock.seconds()
        if self._attempts.has_timed_out(context):
            raise DeadlineExceeded("no time left to send")
        version, plan = candidate.version, candidate.plan
        scope = None if version is None else cache_scope(version, context.account)
        options = SendOptions(
            server=server.entry.id,
            time_left_s=context.deadline - now,
            account=context.account_id,
            weight_version=candidate.version,
            priority=self._priority(context),
            cache_scope=scope,
            save_to=plan.save_to if plan else None,
            fetch_from=plan.fetch_from if plan else None,
            resume_after=relay.last_event_id or context.request.resume_after,
        )
        if scope is not None and plan is not None:
            self._prompts.record_sent(context.request, scope, server, plan)
        self._limits.record_send(server.entry.id)
        exchange = ServerExchange(
            self._clock,
            self._servers,
            self._limits,
            self._pool,
            server.entry,
            self._codec.decode_response,
            self._liveness,
            # Other servers have no report.
            self._read_start if self._server_memory_tokens(context.service) else None,
        )
        serial = self._servers.record_send(
            server.entry.id,
            plan.read_tokens if plan else 0,
            context.request.memory_tokens if plan else 0,
        )
        software_version = server.entry.software_version

        run = Run(
            self._clock,
            self._crashes,
            context.suspects,
            server.entry,
            context.request.id,
        )

        def record_progress() -> None:
            if run.first_event_at is None:
                self._servers.record_first_event(server.entry.id, serial)
                self._stream_software.record_start(context, software_version)
            run.record_events()
            context.server_began_at = run.first_event_at
            context.server_event_at = self._clock.seconds()

        exchange.on_bytes = run.record_bytes
        relay.on_progress = record_progress
        outcome: ExchangeOutcome | None = None
        context.framing, context.unfinished_bytes = None, 0
        context.server_began_at = context.server_event_at = None
        response_deadline = self._attempts.response_deadline(context)
        begin_deadline = self._begin_deadline(context, candidate)
        response: ServerResponse | None = None
        try:
            headers = self._codec.encode_server_headers(context.request, options)
            response = await exchange.send(
                context.request,
                headers,
                serial,
                is_repeatable=context.route.is_repeatable,
                response_deadline=min(response_deadline, begin_deadline),
                check_may_send=context.check_caller_waits,
                on_sent=lambda: self._record_run(context),
            )
            if (
                context.request.model is not None
                and response.weight_version is not None
            ):
                self._servers.record_version(
                    server.entry.id, context.request.model, response.weight_version
                )
            if response.status >= 500 and self._may_retry_server_error(context, relay):
                outcome = ExchangeOutcome.FAILED
                raise NoUsableResponse(
                    f"Server responded with status {response.status}"
                )
            context.framing = response.framing
            try:
                forwarding = start(
                    relay.forward(
                        response, exchange.read_chunk, exchange.is_server_alive
                    )
                )
                await self._watch(context, relay, forwarding, response_deadline)
            finally:
                context.unfinished_bytes = relay.unfinished_bytes
            context.first_event_at = relay.started_at
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
            self._apply_refusal(context, candidate, error)
            raise
        except NoUsableResponse as error:
            if response is None and self._clock.seconds() >= begin_deadline:
                # The server is not to blame.
                log.info(
                    "request taken back",
                    extra={
                        "request": context.request.id,
                        "server": server.entry.id,
                        "version": version,
                    },
                )
            elif outcome is None:
                outcome = ExchangeOutcome.BROKEN
            if error.may_be_crash:
                run.record_break()
            raise
        finally:
            run.end()
            exchange.close()
            self._servers.record_end(server.entry.id, serial, outcome)

    def _begin_deadline(self, context: RequestContext, candidate: Candidate) -> float:
        """Return until when a server must have begun the request.

        A request that waits in a queue or on a path that hangs could otherwise begin on
        older weights after their bound. One that cannot be sent again is not given up,
        but sent to older weights only with `LAST_ATTEMPT_RESERVE_S`.
        """
        model, version = context.request.model, candidate.version
        if model is None or version is None:
            return math.inf
        if not self._attempts.may_retry(context, additional=1):
            return math.inf
        return self._serving_state.begin_deadline(model, version)

    async def _watch(
        self,
        context: RequestContext,
        relay: Relay,
        forwarding: "Deferred[None]",
        first_deadline: float,
    ) -> None:
        """Wait for the end of the forwarding; give up a stalled stream if it can go on.

        A stream that cannot be resumed ends with the request's time limit only, since
        its server may go on.
        """
        is_stream = context.route.kind is RouteKind.STREAM
        if not is_stream or not self._attempts.may_retry(context):
            await forwarding
            return
        max_gap_s = _caller_timeout_s(context.route)
        watch = StallWatch(
            self._clock,
            relay,
            first_deadline,
            max_gap_s,
            lambda: relay.can_go_on and self._may_move(context),
        )
        await watch.watch(forwarding)

    def _may_move(self, context: RequestContext) -> bool:
        """Return whether a stream can go on at another server now."""
        version = context.software_version
        candidate = context.last_candidate
        used = {candidate.server.entry.id} if candidate else set()
        has_other_server = any(
            server.entry.id not in context.excluded | used
            and version in (None, server.entry.software_version)
            for server in self._servers.of_service(context.service)
        )
        return has_other_server and self._budget.allows_retry(context.service)

    def _record_run(self, context: RequestContext) -> None:
        context.runs += 1
        context.arrivals += 1

    def _may_retry_server_error(self, context: RequestContext, relay: Relay) -> bool:
        """Return whether to retry on another server instead of forwarding an error."""
        has_other_servers = (
            len(self._servers.of_service(context.service)) > len(context.excluded) + 1
        )
        return (
            has_other_servers
            and not relay.has_started
            and self._attempts.may_retry(context)
        )

    def _apply_refusal(
        self, context: RequestContext, candidate: Candidate, error: ServerDidNotRun
    ) -> None:
        server = candidate.server.entry.id
        if error.response_status == 503:
            self._servers.record_busy(server)
        model = context.request.model
        is_same_server = error.responding_server in (None, server)
        if error.response_status == 421 and model is not None and is_same_server:
            target_version = self._serving_state.target_version(model)
            if target_version is not None:
                self._servers.assume_version(server, model, target_version)
            self._servers.record_busy(server)

    def _server_memory_tokens(self, service_id: ServiceId) -> int:
        """Return the memory of one server of the service in tokens, or 0."""
        configuration = self._serving_state.configuration
        service = configuration and configuration.services_by_id.get(service_id)
        return service.engine.memory_tokens if service and service.engine else 0

    def _priority(self, context: RequestContext) -> int | None:
        if context.request.model is None:
            return None
        if context.account is not None and context.account.priority is not None:
            return max(0, min(9, context.account.priority))
        return max(0, min(9, context.route.priority))


def _caller_timeout_s(route: Route) -> float:
    """Return how long callers wait for an event of a stream at least, in seconds."""
    return max(MIN_CALLER_TIMEOUT_S, TARGET_TIMEOUT_FACTOR * route.target_s)


__all__ = ["Forwarder", "MessageCodec"]
