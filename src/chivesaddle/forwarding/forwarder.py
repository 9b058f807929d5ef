"""One request of a caller: admission, sends to servers, and the answer."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from twisted.internet.defer import CancelledError

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.ids import BackendServerId, ServiceId, ZoneId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.serving_model import Account, Configuration, Route, RouteKind
from chivesaddle.forwarding.budget import RetryBudget
from chivesaddle.forwarding.crashes import CrashRecord, fingerprint
from chivesaddle.forwarding.errors import (
    MayHaveRun,
    NoRoute,
    NotRun,
    TimedOut,
    UnknownKey,
)
from chivesaddle.forwarding.job import Job
from chivesaddle.forwarding.knowledge import Knowledge
from chivesaddle.forwarding.messages import (
    CallerRequest,
    SendOptions,
    ServerAnswer,
)
from chivesaddle.forwarding.prompts import Prompts, cache_scope
from chivesaddle.forwarding.relay import Relay
from chivesaddle.forwarding.send import Exchange, ServerBroke, ServerDidNotRun
from chivesaddle.http1 import (
    ConnectionPool,
    HeaderList,
    Request,
    Responder,
    ResponseHead,
)
from chivesaddle.placement import (
    Candidate,
    Claim,
    MemoryLine,
    Need,
    NoRoom,
    Outcome,
    ServerTable,
    choose,
)

# Sends of one request, those that a server refused included.
MAX_SENDS = 4
# Callers stay on one server no longer than this share of the time that is left while
# another attempt is allowed.
FIRST_ATTEMPT_SHARE = 0.5
# A server under load answers a repeatable request within a few times its target.
PATIENCE_TARGETS = 4.0
# Callers leave a stream without events no sooner than after this, by the platform's
# protocol.
LEAST_PATIENCE_S = 2.0
# Times after which a refused caller may come back are spread over this range, so that
# callers refused together do not return together.
RETRY_FIRST_S = 0.2
RETRY_LAST_S = 0.6
# A request that crashed several servers is not to come back soon.
RETRY_STOPPED_S = 30.0
# Below this no answer can reach the caller in time.
MIN_TIME_LEFT_S = 0.02

log = PartLogger("forward")


@dataclass(frozen=True, slots=True)
class Wire:
    """The adapter's functions that translate requests and answers."""

    decode_request: Callable[[Request], CallerRequest]
    decode_response: Callable[[ResponseHead], ServerAnswer]
    server_headers: Callable[[CallerRequest, SendOptions], HeaderList]


class Forwarder:
    """Forwards requests of callers.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    zone : ZoneId
        Availability zone of this daemon.
    wire : Wire
        Translates requests and answers.
    knowledge : Knowledge
        Configuration and weight versions in force.
    servers : ServerTable
        Backend servers.
    pool : ConnectionPool
        Connections to backend servers.
    budget : RetryBudget
        Limits sends beyond the first of a request.
    crashes : CrashRecord
        Stops requests that crash servers.
    prompts : Prompts
        Costs and transfers of prompts.
    observe : callable
        Told of each ended request: result, route kind, status and seconds.
    """

    def __init__(
        self,
        clock: Clock,
        zone: ZoneId,
        wire: Wire,
        knowledge: Knowledge,
        servers: ServerTable,
        pool: ConnectionPool,
        budget: RetryBudget,
        crashes: CrashRecord,
        prompts: Prompts,
        observe: Callable[[str, float], None],
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._wire = wire
        self._knowledge = knowledge
        self._servers = servers
        self._pool = pool
        self._budget = budget
        self._crashes = crashes
        self._prompts = prompts
        self._observe = observe
        self._random = random.Random()
        self._lines_by_service: dict[ServiceId, MemoryLine] = {}
        servers.on_room = self._look_for_room

    def handle(self, request: Request, responder: Responder) -> None:
        """Answer a request; the handler of the callers' listener."""
        call = self._wire.decode_request(request)
        work = start(self._serve(call, request.received_at, responder))
        responder.gone.addCallback(lambda _: work.cancel())
        work.addErrback(
            lambda failure: log.error(
                "unexpected failure", extra={"request": call.id, "cause": str(failure)}
            )
        )

    async def _serve(
        self, call: CallerRequest, received_at: float, responder: Responder
    ) -> None:
        job: Job | None = None
        try:
            job = self._admit(call, received_at)
            await self._run(job, responder)
            self._note("answered", call, job, received_at)
        except CancelledError:
            self._note("caller_left", call, job, received_at)
        except ChivesaddleError as error:
            self._refuse(error, call, job, received_at, responder)
        except Exception as error:
            log.exception("forwarding failed", extra={"request": call.id})
            cause = f"Forwarding failed: {error!r}"
            ended = MayHaveRun(cause) if job and job.runs else NotRun(cause)
            self._refuse(ended, call, job, received_at, responder)

    def _admit(self, call: CallerRequest, received_at: float) -> Job:
        """Find route, account and service; raises the error that answers it."""
        configuration = self._knowledge.configuration
        if configuration is None:
            raise NotRun("No configuration is known yet", retry_after_s=1.0)
        route = configuration.find_route(call.host, call.target.decode("latin-1"))
        if route is None:
            raise NoRoute(f"No route takes {call.host} {call.target!r}")
        account = self._authenticate(call, route, configuration)
        limit_s = route.timeout_s
        caller_deadline = None
        if call.time_limit_s is not None:
            caller_deadline = received_at + call.time_limit_s
            limit_s = min(limit_s, call.time_limit_s)
        key = fingerprint(call.target, account.id if account else None, call.body)
        if self._crashes.is_stopped(key):
            raise NotRun(
                "The request broke several servers", retry_after_s=RETRY_STOPPED_S
            )
        return Job(
            request=call,
            route=route,
            service=self._pick_service(route),
            account=account,
            configuration_version=configuration.version,
            received_at=received_at,
            deadline=received_at + limit_s,
            caller_deadline=caller_deadline,
            fingerprint=key,
        )

    def _authenticate(
        self, call: CallerRequest, route: Route, configuration: Configuration
    ) -> Account | None:
        if not configuration.has_accounts:
            return None
        account = (
            None if call.key is None else configuration.accounts_by_key.get(call.key)
        )
        if account is None and not route.is_anonymous:
            raise UnknownKey(f"The key is not in configuration {configuration.version}")
        return account

    def _pick_service(self, route: Route) -> ServiceId:
        services = list(route.weight_by_service)
        if not services:
            raise NotRun(f"Route {route.id} has no service", retry_after_s=1.0)
        if len(services) == 1:
            return services[0]
        weights = [max(0.0, route.weight_by_service[s]) for s in services]
        if not any(weights):
            return services[0]
        return self._random.choices(services, weights)[0]

    async def _run(self, job: Job, responder: Responder) -> None:
        """Send until a server's answer is complete; raises how it ended otherwise."""
        is_stream = job.route.kind is RouteKind.STREAM
        relay = Relay(responder, is_stream, self._clock)
        try:
            await with_deadline(
                self._clock, job.deadline, start(self._attempts(job, relay)), "request"
            )
        except DeadlineExceeded as error:
            if job.runs == 0:
                raise NotRun("No server took the request in time") from error
            raise TimedOut(f"No complete answer in time: {error.message}") from error

    async def _attempts(self, job: Job, relay: Relay) -> None:
        while True:
            candidate = await self._find_server(job)
            if job.sends == 0:
                self._budget.record_request(job.service)
            elif not self._budget.take(job.service):
                raise self._give_up(job, relay, "the retry budget is used up")
            job.sends += 1
            job.last_candidate = candidate
            try:
                await self._send(job, relay, candidate)
                return
            except ServerDidNotRun as error:
                self._log_retry(job, candidate, error)
                job.excluded.add(candidate.server.entry.id)
                if job.sends >= MAX_SENDS:
                    raise self._give_up(job, relay, error.message) from error
            except ServerBroke as error:
                self._log_retry(job, candidate, error)
                job.excluded.add(candidate.server.entry.id)
                if not self._may_repeat(job):
                    raise self._give_up(job, relay, error.message) from error

    async def _find_server(self, job: Job) -> Candidate:
        """Return the server to send to, after a wait for its memory where it is full.

        Raises `NotRun` or `MayHaveRun` if there is none.
        """
        if not self._memory_of(job.service):
            return self._choose(job)
        now = self._clock.seconds()
        target_s = job.route.target_s
        patience_s = max(LEAST_PATIENCE_S, PATIENCE_TARGETS * target_s)
        claim = Claim(
            tokens=job.request.memory_tokens,
            priority=self._priority(job) or 0,
            arrived_at=job.received_at,
            first_event_due=job.received_at + target_s,
            expires_at=min(
                job.deadline - target_s, job.received_at + patience_s - target_s
            ),
        )
        line = self._line_of(job.service)
        try:
            return await line.wait_for_room(
                claim, lambda reserved: self._choose(job, reserved)
            )
        except NoRoom as error:
            if job.runs:
                raise MayHaveRun(error.message) from error
            expected_s = error.retry_after_s or 0.0
            raise NotRun(
                error.message, retry_after_s=expected_s + self._return_time()
            ) from error
        finally:
            job.waited_s += self._clock.seconds() - now

    def _line_of(self, service: ServiceId) -> MemoryLine:
        line = self._lines_by_service.get(service)
        if line is None:
            line = self._lines_by_service[service] = MemoryLine(self._clock)
        return line

    def _look_for_room(self, service: ServiceId) -> None:
        line = self._lines_by_service.get(service)
        if line is not None:
            line.look()

    def _choose(
        self, job: Job, reserved: Collection[BackendServerId] = ()
    ) -> Candidate:
        """Choose a server; raises `NotRun` or `MayHaveRun` if there is none."""
        now = self._clock.seconds()
        servers = self._servers.of_service(job.service)
        requirements = self._need(job)
        found = choose(servers, requirements, self._zone, now, job.excluded, reserved)
        if found is None and job.excluded and job.runs == 0:
            found = choose(servers, requirements, self._zone, now, reserved=reserved)
        if found is None:
            message = f"Service {job.service} has no usable server of {len(servers)}"
            if job.runs:
                raise MayHaveRun(message)
            raise NotRun(message, retry_after_s=self._return_time())
        return found

    def _need(self, job: Job) -> Need:
        call = job.request
        if call.model is None:
            return Need()
        shared = call.shared_part
        return Need(
            model=call.model,
            named_version=self._knowledge.named_version(call.model),
            oldest_version=self._knowledge.oldest_usable_version(call.model),
            affinity_key=None if shared is None else str(shared),
            memory_tokens=call.memory_tokens,
            server_tokens=self._memory_of(job.service),
            plan_prompt=self._prompts.planner(call, job.account, job.service),
        )

    async def _send(self, job: Job, relay: Relay, candidate: Candidate) -> None:
        """Send to one server and relay its answer."""
        server = candidate.server
        now = self._clock.seconds()
        if job.deadline - now < MIN_TIME_LEFT_S:
            raise DeadlineExceeded("no time left to send")
        version, plan = candidate.version, candidate.plan
        scope = None if version is None else cache_scope(version, job.account)
        options = SendOptions(
            server=server.entry.id,
            time_left_s=job.deadline - now,
            account=job.account.id if job.account else None,
            weight_version=candidate.version,
            priority=self._priority(job),
            cache_scope=scope,
            save_to=plan.save_to if plan else None,
            fetch_from=plan.fetch_from if plan else None,
            resume_after=relay.last_event_id or job.request.resume_after,
        )
        if scope is not None and plan is not None:
            self._prompts.record_sent(job.request, scope, server, plan)
        exchange = Exchange(
            self._clock,
            self._servers,
            self._pool,
            server.entry,
            self._wire.decode_response,
        )
        serial = self._servers.record_send(
            server.entry.id,
            plan.read_tokens if plan else 0,
            job.request.memory_tokens if plan else 0,
        )
        relay.on_first = lambda: self._servers.record_first_event(
            server.entry.id, serial
        )
        outcome: Outcome | None = None
        try:
            headers = self._wire.server_headers(job.request, options)
            answer = await exchange.send(
                job.request,
                headers,
                serial,
                is_repeatable=job.route.is_repeatable,
                answer_deadline=self._answer_deadline(job),
                on_sent=lambda: self._count_run(job),
            )
            if job.request.model is not None and answer.weight_version is not None:
                self._servers.record_version(
                    server.entry.id, job.request.model, answer.weight_version
                )
            if answer.status >= 500 and self._may_retry_failure(job, relay):
                outcome = Outcome.FAILED
                raise ServerBroke(f"Server answered {answer.status}")
            await relay.pass_on(answer, exchange.read_chunk)
            job.first_event_at = relay.first_at
            outcome = Outcome.FAILED if answer.status >= 500 else Outcome.ANSWERED
            exchange.finish(answer)
        except ServerDidNotRun as error:
            job.runs -= exchange.was_sent
            outcome = error.outcome
            self._learn_refusal(job, candidate, error)
            raise
        except ServerBroke as error:
            if outcome is None:
                outcome = Outcome.BROKEN
            if error.is_crash:
                self._crashes.suspect(job.fingerprint, server.entry.id, job.request.id)
            raise
        finally:
            exchange.close()
            self._servers.record_end(server.entry.id, serial, outcome)

    def _count_run(self, job: Job) -> None:
        job.runs += 1

    def _answer_deadline(self, job: Job) -> float:
        """Return when to give up on this server for another one."""
        if not self._may_repeat(job, more=1):
            return job.deadline
        now = self._clock.seconds()
        patience = PATIENCE_TARGETS * job.route.target_s
        return now + min(patience, FIRST_ATTEMPT_SHARE * (job.deadline - now))

    def _may_repeat(self, job: Job, more: int = 0) -> bool:
        return (
            job.route.is_repeatable
            and job.runs + more < job.route.attempts
            and job.sends + more < MAX_SENDS
        )

    def _may_retry_failure(self, job: Job, relay: Relay) -> bool:
        """Tell whether a server's own failure may be hidden by another attempt."""
        others = len(self._servers.of_service(job.service)) > len(job.excluded) + 1
        return others and not relay.has_started and self._may_repeat(job)

    def _learn_refusal(
        self, job: Job, candidate: Candidate, error: ServerDidNotRun
    ) -> None:
        server = candidate.server.entry.id
        if error.answer_status == 503:
            self._servers.record_busy(server)
        model = job.request.model
        is_same_server = error.answered_by in (None, server)
        if error.answer_status == 421 and model is not None and is_same_server:
            named = self._knowledge.named_version(model)
            if named is not None:
                self._servers.record_version(server, model, named)
            self._servers.record_busy(server)

    def _memory_of(self, service_id: ServiceId) -> int:
        """Return the tokens that a server of the service holds, or 0."""
        configuration = self._knowledge.configuration
        service = configuration and configuration.services_by_id.get(service_id)
        return service.engine.memory_tokens if service and service.engine else 0

    def _priority(self, job: Job) -> int | None:
        if job.request.model is None:
            return None
        if job.account is not None and job.account.priority is not None:
            return max(0, min(9, job.account.priority))
        return max(0, min(9, job.route.priority))

    def _give_up(self, job: Job, relay: Relay, reason: str) -> ChivesaddleError:
        if job.runs or relay.has_started:
            return MayHaveRun(f"Sent to {job.sends} servers: {reason}")
        return NotRun(
            f"{job.sends} sends were refused: {reason}",
            retry_after_s=self._return_time(),
        )

    def _return_time(self) -> float:
        return self._random.uniform(RETRY_FIRST_S, RETRY_LAST_S)

    def _refuse(
        self,
        error: ChivesaddleError,
        call: CallerRequest,
        job: Job | None,
        received_at: float,
        responder: Responder,
    ) -> None:
        self._note(error.code, call, job, received_at, error)
        if responder.started:
            # A partial answer must not look complete.
            responder.abort()
            return
        headers: HeaderList = []
        if error.retry_after_s is not None:
            headers.append((b"retry-after", f"{error.retry_after_s:.2f}".encode()))
        responder.answer(error.status, b"", headers)

    def _log_retry(
        self, job: Job, candidate: Candidate, error: ServerDidNotRun | ServerBroke
    ) -> None:
        log.info(
            "send failed",
            extra={
                "request": job.request.id,
                "server": candidate.server.entry.id,
                "cause": error.message,
                "sends": job.sends,
                "runs": job.runs,
            },
        )

    def _note(
        self,
        result: str,
        call: CallerRequest,
        job: Job | None,
        received_at: float,
        error: ChivesaddleError | None = None,
    ) -> None:
        seconds = self._clock.seconds() - received_at
        self._observe(result, seconds)
        fields: dict[str, object] = {"request": call.id, "ms": round(seconds * 1_000)}
        if job is not None:
            fields |= {
                "route": job.route.id,
                "service": job.service,
                "configuration": job.configuration_version,
                "sends": job.sends,
                "runs": job.runs,
                **job.describe_send(self._clock.seconds()),
            }
        if error is not None:
            fields["cause"] = error.message
            fields["retry_after_s"] = error.retry_after_s
        log.info(result, extra=fields)


__all__ = ["Forwarder", "Wire"]
