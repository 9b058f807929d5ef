"""Simulates one run of a workload with one routing policy on a virtual clock."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from chivesaddle.core.aio import log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    DaemonId,
    Fingerprint,
    ModelId,
    RequestId,
    Revision,
    StoreId,
    WeightVersion,
    ZoneId,
)
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.metrics import NoMetrics
from chivesaddle.core.model import Account, BackendServer, ConfigState, Model, Store
from chivesaddle.daemon.adapters import RouterSink
from chivesaddle.engines import EngineFull, EnginePoller, Target
from chivesaddle.gateway.completions import (
    BATCH_FIRST_TOKEN_TIMEOUT_S,
    INTERACTIVE_FIRST_TOKEN_TIMEOUT_S,
)
from chivesaddle.gateway.delegate import RequestDelegate
from chivesaddle.gateway.dependencies import Dependencies
from chivesaddle.kv import KvService, block_keys, scope
from chivesaddle.routing import Refuse, Router, RouteRequest
from chivesaddle.routing.naive import HashRouter, LeastLoadedRouter, RandomRouter
from chivesaddle.standins.blocks import token_count
from chivesaddle.standins.engine_core import Completion
from chivesaddle.standins.errors import Rejected
from chivesaddle.tools.bench.virtual import (
    MODEL,
    WEIGHT_VERSION,
    ZONE_ROUND_TRIP_S,
    EventClock,
    VirtualEngines,
    VirtualStores,
)
from chivesaddle.tools.bench.workload import Arrival, Scenario, Workload

DAEMON_COUNT = 6
# Largest number of backend servers that one request is sent to, as in the gateway.
MAX_ATTEMPTS = 3
DEMAND_EXCHANGE_INTERVAL_S = 1.0
STORE_STATUS_INTERVAL_S = 10.0
# Rate of the warm-up requests, as a fraction of the capacity without KV reuse.
WARMUP_LOAD = 0.6
# Time for the KV saves of the warm-up to finish before the measurement.
WARMUP_SETTLE_S = 30.0
# Time limit for requests still running after the last arrival; batch requests wait for
# a backend server for at most 300 s.
MAX_WAIT_AFTER_ARRIVALS_S = 400.0
# Rate limit of an account as a multiple of its share of the capacity.
RATE_LIMIT_FACTOR = 8.0

log = ComponentLogger("bench")


class Policy(Enum):
    """Routing policy of a run."""

    CHIVESADDLE = "chivesaddle"
    RANDOM = "random"
    LEAST_LOADED = "least loaded"
    HASH_ONLY = "hash only"

    @property
    def naive(self) -> bool:
        """Whether this is one of the simple baselines, which use no KV stores."""
        return self is not Policy.CHIVESADDLE


@dataclass
class RequestResult:
    """Result of one request.

    ``first_token_s`` is the time from arrival to first token. ``refusal_code`` is the
    error code of a refused request and empty otherwise.
    """

    account: str
    request_class: str
    interactive: bool
    first_token_s: float | None = None
    finished: bool = False
    refusal_code: str = ""


@dataclass
class RunResult:
    """Outcomes of a run and its counters of prompt tokens and store links."""

    duration_s: float
    outcomes: list[RequestResult] = field(default_factory=list)
    prompt_tokens: int = 0
    computed_tokens: int = 0
    utilization_by_link: dict[str, float] = field(default_factory=dict)
    wait_s_by_link: dict[str, float] = field(default_factory=dict)


class NaiveRouterAdapter:
    """Adds the methods of `Router` that the gateway calls to a naive policy."""

    def __init__(self, policy: RandomRouter) -> None:
        self._policy = policy
        self.choose = policy.choose
        self.record_start = policy.record_start
        self.record_first_token = policy.record_first_token
        self.record_finish = policy.record_finish
        self.update_config = policy.update_config

    def admit(self, request: RouteRequest, now: float) -> Refuse | None:
        """Admit every request."""

    def cancel(self, request_id: RequestId) -> None:
        """Do nothing: naive policies have no queue."""

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> tuple[()]:
        """Count the request as no longer in flight."""
        return self._policy.record_finish(request_id, now)


@dataclass
class _StaticConfig:
    state: ConfigState


class VirtualDaemon:
    """Router, KV service and engine poller of one daemon."""

    def __init__(self, number: int, policy: Policy, simulation: "Simulation") -> None:
        self._simulation = simulation
        clock, config = simulation.clock, simulation.config
        daemon_id = DaemonId(f"daemon-{number}")
        self.router: Any = _make_router(policy, daemon_id, simulation.seed + number)
        self.router.update_config(config)
        self.kv: KvService | None = None
        if not policy.naive:
            self.kv = KvService(simulation.stores, simulation.engines, clock)
            self.kv.update_config(config)
            sink = RouterSink(self.router)
            poller = EnginePoller(cast(Any, simulation.engines), clock, sink)
            # Staggered starts, so that the daemons do not poll at the same time.
            urls = {s.id: s.url for s in config.backend_servers_by_id.values()}
            clock.callLater(number / DAEMON_COUNT, poller.set_servers, urls)
            simulation.call_every(STORE_STATUS_INTERVAL_S, self._refresh_store_status)
        self._dependencies = Dependencies(
            clock=clock,
            config=_StaticConfig(config),
            router=self.router,
            kv=self.kv,
            announce=_announce,
            events=EventRing(daemon_id, capacity=1),
            metrics=NoMetrics(),
            **cast(Any, dict.fromkeys(_UNUSED_DEPENDENCIES)),
        )

    async def serve(self, arrival: Arrival, outcome: RequestResult) -> None:
        """Route and run one request as the gateway does, without the stream relay."""
        clock, request_class = self._simulation.clock, arrival.request_class
        cache_salt = scope(
            AccountId(arrival.account),
            ModelId(MODEL),
            WeightVersion(WEIGHT_VERSION),
            None,
        )
        prefix_keys = tuple(block_keys(cache_salt, arrival.prompt.encode()))
        max_wait_s = (
            INTERACTIVE_FIRST_TOKEN_TIMEOUT_S
            if request_class.interactive
            else BATCH_FIRST_TOKEN_TIMEOUT_S
        )
        request_name = f"{self._simulation.request_id_prefix}-{arrival.number}"
        request = RouteRequest(
            account_id=AccountId(arrival.account),
            model_id=ModelId(MODEL),
            weight_version=WeightVersion(WEIGHT_VERSION),
            adapter=None,
            fingerprint=Fingerprint(request_name),
            prefix_keys=prefix_keys,
            prompt_tokens=token_count(arrival.prompt),
            max_tokens=request_class.max_tokens,
            interactive=request_class.interactive,
            deadline=clock.seconds() + max_wait_s,
            request_id=RequestId(request_name),
        )
        dispatcher = RequestDelegate(
            self._dependencies, request, request_name, cache_salt
        )
        arrived_at = clock.seconds()
        completion = Completion(
            request_name,
            MODEL,
            arrival.prompt,
            request_class.max_tokens,
            cache_salt=cache_salt,
            priority=0 if request_class.interactive else 1,
        )
        try:
            target = await dispatcher.select()
            for attempt in range(1, MAX_ATTEMPTS + 1):
                try:
                    await self._run_on_engine(
                        dispatcher, target, completion, arrived_at, outcome
                    )
                    break
                except EngineFull as error:
                    await dispatcher.failed(target, error)
                    if attempt == MAX_ATTEMPTS or not self._may_retry():
                        raise
                    target = await dispatcher.next_target(error)
        except ChivesaddleError as error:
            outcome.refusal_code = error.code
        finally:
            dispatcher.record_end()
        if (
            self.kv is not None
            and dispatcher.finished_server is not None
            and prefix_keys
        ):
            await self.kv.save(cache_salt, prefix_keys, dispatcher.finished_server)

    async def _run_on_engine(
        self,
        dispatcher: RequestDelegate,
        target: Target,
        completion: Completion,
        arrived_at: float,
        outcome: RequestResult,
    ) -> None:
        clock = self._simulation.clock
        dispatcher.started(target)
        await sleep_until(clock, clock.seconds() + ZONE_ROUND_TRIP_S)
        try:
            stream = self._simulation.engines.cores_by_url[target.url].submit(
                completion
            )
        except Rejected as error:
            raise EngineFull(str(error)) from None
        while not stream.tokens:
            await stream.changed.wait()
        outcome.first_token_s = clock.seconds() - arrived_at
        dispatcher.first_token(target)
        while not stream.has_ended:
            await stream.changed.wait()
        outcome.finished = True
        dispatcher.finished(target, cast(Any, _RelayedAnswer(len(stream.tokens))))

    def _may_retry(self) -> bool:
        return self.kv is not None and self.router.take_retry(
            self._simulation.clock.seconds()
        )

    async def _refresh_store_status(self) -> None:
        assert self.kv is not None
        await self.kv.refresh_status(self._simulation.clock.seconds() + 1.0)


@dataclass(frozen=True)
class _RelayedAnswer:
    """The part of `RelayedAnswer` that the gateway reads at the end of a request."""

    tokens: int


class Simulation:
    """Engines, stores and daemons of one run on a shared virtual clock."""

    def __init__(self, workload: Workload, policy: Policy, seed: int) -> None:
        self.clock = EventClock()
        self.seed = seed
        # Distinguishes the requests of the warm-up from those of the measurement.
        self.request_id_prefix = "first"
        self.workload = workload
        scenario = workload.scenario
        self.stores = VirtualStores(self.clock, scenario)
        self.engines = VirtualEngines(self.clock, scenario, self.stores)
        self.config = make_config(scenario, workload.uncached_capacity_per_s())
        self.daemons = [VirtualDaemon(n, policy, self) for n in range(DAEMON_COUNT)]
        self._open_requests = 0
        if not policy.naive:
            self.call_every(DEMAND_EXCHANGE_INTERVAL_S, self._exchange_demand)

    def call_every(self, interval_s: float, function: Callable[[], Any]) -> None:
        """Call ``function`` now and every ``interval_s`` seconds."""
        looping_call = LoopingCall(lambda: _start_if_coroutine(function()))
        looping_call.clock = cast(Any, self.clock)
        looping_call.start(interval_s).addErrback(
            log_failure(log, "periodic call failed and stopped")
        )

    def warm_up(self) -> None:
        """Send one request per document, to fill the caches and the stores."""
        requests = self.workload.warmup_requests()
        rate_per_s = WARMUP_LOAD * self.workload.uncached_capacity_per_s()
        arrivals = [
            Arrival(
                n / rate_per_s,
                r.number,
                r.account,
                r.request_class,
                r.prompt,
                r.daemon_index,
            )
            for n, r in enumerate(requests)
        ]
        self.send_arrivals(arrivals)
        self.clock.run_until(self.clock.seconds() + WARMUP_SETTLE_S)

    def measure(self, arrivals: Sequence[Arrival], duration_s: float) -> RunResult:
        """Send ``arrivals`` and return their outcomes and the counters of the run."""
        self.request_id_prefix = "measured"
        tokens_before = self._prompt_token_counts()
        self.stores.reset_traffic()
        started_at = self.clock.seconds()
        result = RunResult(duration_s)
        result.outcomes = self.send_arrivals(arrivals, duration_s, result)
        tokens_after = self._prompt_token_counts()
        result.prompt_tokens = tokens_after[0] - tokens_before[0]
        result.computed_tokens = tokens_after[1] - tokens_before[1]
        if not arrivals:
            self.clock.run_until(started_at + duration_s)
        return result

    def send_arrivals(
        self,
        arrivals: Sequence[Arrival],
        duration_s: float = 0.0,
        result: RunResult | None = None,
    ) -> list[RequestResult]:
        """Send each arrival at its offset and return the outcomes when all have ended.

        Waits at most `MAX_WAIT_AFTER_ARRIVALS_S` for unfinished requests. The link
        counters are copied to ``result`` after ``duration_s``, before that wait.
        """
        started_at = self.clock.seconds()
        outcomes: list[RequestResult] = []
        pending = deque(arrivals)
        while pending:
            arrival = pending.popleft()
            self.clock.run_until(started_at + arrival.offset_s)
            request_class = arrival.request_class
            outcome = RequestResult(
                arrival.account, request_class.name, request_class.interactive
            )
            outcomes.append(outcome)
            self._start_request(arrival, outcome)
        self.clock.run_until(max(self.clock.seconds(), started_at + duration_s))
        if result is not None:
            self._record_link_traffic(result, self.clock.seconds() - started_at)
        stop_at = self.clock.seconds() + MAX_WAIT_AFTER_ARRIVALS_S
        while self._open_requests and self.clock.seconds() < stop_at:
            self.clock.run_until(self.clock.seconds() + 1.0)
        return outcomes

    def _start_request(self, arrival: Arrival, outcome: RequestResult) -> None:
        self._open_requests += 1

        def count_end(_: Any) -> None:
            self._open_requests -= 1

        served = start(self.daemons[arrival.daemon_index].serve(arrival, outcome))
        served.addErrback(log_failure(log, f"request {arrival.number} failed"))
        served.addBoth(count_end)

    def _prompt_token_counts(self) -> tuple[int, int]:
        counters = [core.counters for core in self.engines.cores_by_url.values()]
        return (
            sum(c["prompt_tokens"] for c in counters),
            sum(c["computed_prompt_tokens"] for c in counters),
        )

    def _record_link_traffic(self, result: RunResult, elapsed_s: float) -> None:
        for (url, tier), traffic in self.stores.traffic_by_link.items():
            link = f"{url} {tier}"
            max_bytes = self.stores.bandwidth(tier) * elapsed_s
            result.utilization_by_link[link] = traffic.bytes_moved / max_bytes
            result.wait_s_by_link[link] = traffic.longest_wait_s

    def _exchange_demand(self) -> None:
        now = self.clock.seconds()
        demands = [daemon.router.own_demand(now) for daemon in self.daemons]
        for own_demand, daemon in zip(demands, self.daemons, strict=True):
            others: dict[AccountId, float] = {}
            for demand in demands:
                if demand is not own_demand:
                    for account, tokens_per_s in demand.items():
                        others[account] = others.get(account, 0.0) + tokens_per_s
            daemon.router.update_demand(others, DAEMON_COUNT, now)


def make_config(scenario: Scenario, uncached_capacity_per_s: float) -> ConfigState:
    """Return the configuration of the scenario's deployment.

    Rate limits are `RATE_LIMIT_FACTOR` times the account's share of the capacity.
    """
    # Prefill rate of all engines together, at 20,000 tokens/s each.
    tokens_per_s = len(scenario.engine_zones) * 20_000.0
    return ConfigState(
        revision=Revision(1),
        accounts_by_id={
            AccountId(account): Account(
                id=AccountId(account),
                weight=weight,
                requests_per_s=RATE_LIMIT_FACTOR
                * uncached_capacity_per_s
                * scenario.account_share(account),
                tokens_per_s=RATE_LIMIT_FACTOR
                * tokens_per_s
                * scenario.account_share(account),
            )
            for account, weight in scenario.weights_by_account.items()
        },
        models_by_id={
            ModelId(MODEL): Model(
                id=ModelId(MODEL), weight_version=WeightVersion(WEIGHT_VERSION)
            )
        },
        backend_servers_by_id={
            BackendServerId(f"engine-{n}"): BackendServer(
                id=BackendServerId(f"engine-{n}"),
                url=f"engine-{n}",
                zone=ZoneId(zone),
                models=(ModelId(MODEL),),
            )
            for n, zone in enumerate(scenario.engine_zones)
        },
        stores_by_id={
            StoreId(f"store-{n}"): Store(
                id=StoreId(f"store-{n}"), url=f"store-{n}", zone=ZoneId(zone)
            )
            for n, zone in enumerate(scenario.store_zones)
        },
    )


def _make_router(policy: Policy, daemon_id: DaemonId, seed: int) -> Any:
    match policy:
        case Policy.CHIVESADDLE:
            return Router(daemon_id, seed=seed)
        case Policy.RANDOM:
            return NaiveRouterAdapter(RandomRouter(seed))
        case Policy.LEAST_LOADED:
            return NaiveRouterAdapter(LeastLoadedRouter(seed))
        case Policy.HASH_ONLY:
            return NaiveRouterAdapter(HashRouter(seed))


# Dependencies of the gateway that a bench run does not use.
_UNUSED_DEPENDENCIES = (
    "freshness",
    "addresses",
    "engines",
    "budget",
    "scope",
    "block_keys",
    "actions",
    "prompts",
)


async def _announce(announcements: Sequence[Any]) -> None:
    """Do nothing: no backend server crashes in a bench run."""


def _start_if_coroutine(value: Any) -> "Deferred[Any] | None":
    return start(value) if hasattr(value, "send") else None


__all__ = ["Policy", "RequestResult", "RunResult", "Simulation", "make_config"]
