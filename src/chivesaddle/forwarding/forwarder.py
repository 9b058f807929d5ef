"""Forwarding of a caller's request: routing, sends to servers, and the response."""

import random
from collections.abc import Callable, Collection, Mapping
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
from chivesaddle.forwarding.attempts import Attempts, max_gap_s
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
)
from chivesaddle.forwarding.handover import Handover
from chivesaddle.forwarding.messages import (
    CallerRequest,
    PassOptions,
    SendOptions,
    ServerResponse,
)
from chivesaddle.forwarding.passing import (
    NoPath,
    NotPassedOn,
    PeerAttempt,
    PeerPaths,
    RequestPasser,
)
from chivesaddle.forwarding.prompts import PromptPlanner
from chivesaddle.forwarding.relay import Relay
from chivesaddle.forwarding.request_context import RequestContext
from chivesaddle.forwarding.results import ResultReporter
from chivesaddle.forwarding.server_attempt import (
    ProbeServer,
    ServerAccess,
    ServerAttempt,
)
from chivesaddle.forwarding.server_liveness import ServerLiveness
from chivesaddle.forwarding.serving_state import (
    LAST_ATTEMPT_RESERVE_S,
    ServingState,
)
from chivesaddle.forwarding.shutdown import ShutdownAdmission
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
    MemoryRequest,
    NoCapacity,
    RateLimits,
    ServerRequirements,
    ServerTable,
    choose,
    estimate_cost,
)

# A server that has sent nothing for this long on any connection is given no request of
# another silent server.
SILENT_SUCCESSOR_S = 0.5

AnyAttempt = ServerAttempt | PeerAttempt

log = ComponentLogger("forward")


@dataclass(frozen=True, slots=True)
class MessageCodec:
    """Adapter functions that decode requests and responses and encode headers."""

    decode_request: Callable[[Request], CallerRequest]
    decode_response: Callable[[ResponseHead], ServerResponse]
    encode_server_headers: Callable[[CallerRequest, SendOptions], HeaderList]
    encode_peer_headers: Callable[[CallerRequest, PassOptions], HeaderList]


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
    probe_server : callable or None
        Returns whether a server answers anything; None if servers cannot be asked.

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
        probe_server: ProbeServer | None = None,
    ) -> None:
        self._shares_by_account = shares_by_account
        self.admission_counts = AdmissionCounts()
        self._clock = clock
        self._zone = zone
        self._codec = codec
        self._serving_state = serving_state
        self._servers = servers
        self._limits = limits
        self._peer_paths = peer_paths
        self._budget = budget
        self._crashes = crashes
        self._prompts = prompts
        self._stream_software = StreamSoftware(origins, servers)
        self._reporter = ResultReporter(clock, observe)
        self._random = random.Random()
        self._attempts = Attempts(clock)
        self.shutdown = ShutdownAdmission(clock)
        self._access = ServerAccess(
            clock,
            servers,
            limits,
            pool,
            codec.decode_response,
            codec.encode_server_headers,
            ServerLiveness(clock, pool, was_paused),
            # Other servers have no report.
            lambda service: read_start if self._server_memory_tokens(service) else None,
            prompts,
            serving_state,
            self._stream_software,
            crashes,
            self._attempts,
            probe_server,
        )
        self._passer = RequestPasser(
            clock,
            peer_pool,
            codec.encode_peer_headers,
            codec.decode_response,
            peer_paths,
            self._attempts,
            budget,
            self._check_may_send,
            self._run,
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
            caller_request.release_body()

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
        if not self._passer.peers(context):
            await self._stream_software.resume(context)
        while True:
            if peers := self._passer.peers(context):
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
            try:
                attempt = self._open_attempt(context, relay, candidate)
                await self._run(context, relay, attempt)
                return
            except (ServerDidNotRun, NotPassedOn, NotRun) as error:
                has_path = self._servers.has_path(context.service)
                may_go_on = self._attempts.may_send_again(context, has_path)
                if not may_go_on and not self._passer.peers(context):
                    raise self._attempts.final_error(
                        context, relay, error.message
                    ) from error
            except NoUsableResponse as error:
                if (
                    not relay.can_go_on
                    or not self._attempts.may_retry(context)
                    or self._attempts.has_timed_out(context)
                ):
                    raise self._attempts.final_error(
                        context, relay, error.message
                    ) from error

    async def _run(
        self, context: RequestContext, relay: Relay, attempt: AnyAttempt
    ) -> None:
        """Run an attempt, or another one if its server or daemon is silent.

        Raises the error of the last attempt that had the request.
        """
        handover = Handover[AnyAttempt](
            self._clock,
            context,
            lambda silent: self._open_successor(context, relay, silent),
            lambda attempt, error: attempt.record_failure(self._reporter, error),
        )
        await handover.run(attempt)

    def _open_attempt(
        self, context: RequestContext, relay: Relay, candidate: Candidate
    ) -> ServerAttempt:
        context.sends += 1
        return ServerAttempt(
            self._access, context, relay, candidate, self._priority(context)
        )

    async def _open_successor(
        self, context: RequestContext, relay: Relay, silent: AnyAttempt
    ) -> AnyAttempt:
        """Return the attempt that may go on with the request of a silent one.

        Raises
        ------
        ChivesaddleError
            If no other server or daemon can take the request now.
        """
        if not relay.can_go_on:
            raise NoUsableResponse("The stream has no event ids")
        has_path = self._servers.has_path(context.service)
        if not self._attempts.may_retry(context) or not (
            self._attempts.may_send_again(context, has_path)
            or self._passer.peers(context)
        ):
            raise NoUsableResponse("No attempt is left")
        if not self._budget.allows_retry(context.service):
            raise NoUsableResponse("The retry budget is used up")
        if isinstance(silent, ServerAttempt):
            context.excluded.add(silent.candidate.server.entry.id)
        if not self._passer.peers(context):
            await self._stream_software.resume(
                context, has_begun=relay.last_event_id is not None
            )
        context.seeks_successor = True
        try:
            candidate = await self._find_server(context)
        except NoPath:
            return self._passer.open_successor(context, relay)
        finally:
            context.seeks_successor = False
        self._check_may_send(context)
        if not self._budget.try_acquire(context.service):
            raise NoUsableResponse("The retry budget is used up")
        return self._open_attempt(context, relay, candidate)

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

    async def _find_server(self, context: RequestContext) -> Candidate:
        """Return a server, after waiting for one with capacity if necessary.

        Raises `NotRun` or `MayHaveRun` if there is none.
        """
        if not context.seeks_successor:
            self._limits.record_demand(context.service)
        if not self._server_memory_tokens(context.service):
            candidate = self._choose(context)
            if candidate.has_capacity:
                return candidate
        now = self._clock.seconds()
        target_s = context.route.target_s
        # A request that has run cannot be refused, so it waits until its caller leaves.
        waits_until = context.deadline
        if context.runs == 0:
            waits_until = min(
                waits_until, context.received_at + max_gap_s(context.route)
            )
        memory_request = MemoryRequest(
            tokens=max(1, context.request.memory_tokens),
            priority=self._priority(context) or 0,
            arrived_at=context.received_at,
            first_event_due=context.received_at + target_s,
            expires_at=waits_until - target_s,
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
        if self._passer.peers(context):
            raise NoPath(f"No server of {context.service} is reached")
        now = self._clock.seconds()
        servers = self._servers.of_service(context.service)
        requirements = self._requirements(context)
        excluded = context.excluded
        if context.seeks_successor:
            excluded = excluded | self._silent_servers(context.service)
        candidate = choose(servers, requirements, self._zone, now, excluded, reserved)
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

    def _silent_servers(self, service: ServiceId) -> set[BackendServerId]:
        now = self._clock.seconds()
        return {
            server.entry.id
            for server in self._servers.of_service(service)
            if server.silent_s(now) >= SILENT_SUCCESSOR_S
        }

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


__all__ = ["Forwarder", "MessageCodec"]
