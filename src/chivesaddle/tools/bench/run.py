"""One measured run of a workload against one routing policy."""

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
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.metrics import NoMetrics
from chivesaddle.core.model import Account, BackendServer, ConfigState, Model, Store
from chivesaddle.daemon.adapters import RouterSink
from chivesaddle.engines import EngineFull, EnginePoller, Target
from chivesaddle.gateway.dependencies import Dependencies
from chivesaddle.gateway.flow import BATCH_DEADLINE_S, INTERACTIVE_DEADLINE_S
from chivesaddle.gateway.guide import RequestGuide
from chivesaddle.kv import KvService, block_keys, scope
from chivesaddle.routing import Refuse, Router, RouteRequest
from chivesaddle.routing.naive import HashRouter, LeastLoadedRouter, RandomRouter
from chivesaddle.standins.blocks import token_count
from chivesaddle.standins.engine_core import Completion
from chivesaddle.standins.errors import Rejected
from chivesaddle.tools.bench.virtual import (
    MODEL,
    ROUND_TRIP_S,
    VERSION,
    EventClock,
    VirtualEngines,
    VirtualStores,
)
from chivesaddle.tools.bench.workload import Arrival, Shape, Workload

DAEMONS = 6
MAX_SERVERS = 3
PEERS_INTERVAL_S = 1.0
STORE_STATUS_INTERVAL_S = 10.0
# First visits of the documents arrive at this part of the capacity.
FIRST_VISITS_LOAD = 0.6
# Leaves time for the saves of the first visits to end before the measurement.
SETTLE_S = 30.0
# Longest time after the last arrival; batch requests wait at most 300 s.
MAX_TAIL_S = 400.0
# Limit of an account as a multiple of its share of the capacity.
LIMIT_SHARES = 8.0

log = PartLogger("bench")


class Policy(Enum):
    """Who decides where requests run."""

    CHIVESADDLE = "chivesaddle"
    RANDOM = "random"
    LEAST_LOADED = "least loaded"
    HASH_ONLY = "hash only"

    @property
    def naive(self) -> bool:
        """Whether it is one of the simple policies without stores."""
        return self is not Policy.CHIVESADDLE


@dataclass
class Outcome:
    """What became of one request; times are seconds after its arrival."""

    account: str
    kind: str
    interactive: bool
    first_token_s: float | None = None
    finished: bool = False
    refused: str = ""


@dataclass
class RunResult:
    """Outcomes of a run and counters of its engines and links."""

    duration_s: float
    outcomes: list[Outcome] = field(default_factory=list)
    prompt_tokens: int = 0
    computed_tokens: int = 0
    use_by_link: dict[str, float] = field(default_factory=dict)
    wait_s_by_link: dict[str, float] = field(default_factory=dict)


class NaiveAdapter:
    """Gives a simple policy the methods of `Router` that a request's guide calls."""

    def __init__(self, policy: RandomRouter) -> None:
        self._policy = policy
        self.choose = policy.choose
        self.record_start = policy.record_start
        self.record_first_token = policy.record_first_token
        self.record_finish = policy.record_finish
        self.update_config = policy.update_config

    def admit(self, request: RouteRequest, now: float) -> Refuse | None:
        """Admit everything."""

    def cancel(self, request_id: RequestId) -> None:
        """Do nothing: there is no queue."""

    def record_failure(
        self, request_id: RequestId, now: float, *, server_fault: bool = True
    ) -> tuple[()]:
        """Stop counting a request."""
        return self._policy.record_finish(request_id, now)


@dataclass
class _Config:
    state: ConfigState


class VirtualDaemon:
    """Routing, KV service and poller of one daemon."""

    def __init__(self, number: int, policy: Policy, world: "World") -> None:
        self._world = world
        clock, config = world.clock, world.config
        daemon_id = DaemonId(f"daemon-{number}")
        self.router: Any = _router(policy, daemon_id, world.seed + number)
        self.router.update_config(config)
        self.kv: KvService | None = None
        if not policy.naive:
            self.kv = KvService(world.stores, world.engines, clock)
            self.kv.update_config(config)
            sink = RouterSink(self.router)
            poller = EnginePoller(cast(Any, world.engines), clock, sink)
            # Daemons start at different times, so that their polls do not coincide.
            urls = {s.id: s.url for s in config.backend_servers_by_id.values()}
            clock.callLater(number / DAEMONS, poller.set_servers, urls)
            world.every(STORE_STATUS_INTERVAL_S, self._refresh)
        self._dependencies = Dependencies(
            clock=clock,
            config=_Config(config),
            router=self.router,
            kv=self.kv,
            announce=_announce,
            events=EventRing(daemon_id, capacity=1),
            metrics=NoMetrics(),
            **cast(Any, dict.fromkeys(_UNUSED)),
        )

    async def serve(self, arrival: Arrival, outcome: Outcome) -> None:
        """Serve one request as the gateway's flow does, without the relay."""
        clock, kind = self._world.clock, arrival.kind
        salt = scope(
            AccountId(arrival.account), ModelId(MODEL), WeightVersion(VERSION), None
        )
        keys = tuple(block_keys(salt, arrival.prompt.encode()))
        wait_s = INTERACTIVE_DEADLINE_S if kind.interactive else BATCH_DEADLINE_S
        name = f"{self._world.phase}-{arrival.number}"
        request = RouteRequest(
            account_id=AccountId(arrival.account),
            model_id=ModelId(MODEL),
            weight_version=WeightVersion(VERSION),
            adapter=None,
            fingerprint=Fingerprint(name),
            prefix_keys=keys,
            prompt_tokens=token_count(arrival.prompt),
            max_tokens=kind.max_tokens,
            interactive=kind.interactive,
            deadline=clock.seconds() + wait_s,
            request_id=RequestId(name),
        )
        guide = RequestGuide(self._dependencies, request, name, salt)
        arrived_at = clock.seconds()
        completion = Completion(
            name,
            MODEL,
            arrival.prompt,
            kind.max_tokens,
            cache_salt=salt,
            priority=0 if kind.interactive else 1,
        )
        try:
            target = await guide.select()
            for tried in range(1, MAX_SERVERS + 1):
                try:
                    await self._run(guide, target, completion, arrived_at, outcome)
                    break
                except EngineFull as error:
                    await guide.failed(target, error)
                    if tried == MAX_SERVERS or not self._may_retry():
                        raise
                    target = await guide.next_target(error)
        except ChivesaddleError as error:
            outcome.refused = error.code
        finally:
            guide.release()
        if self.kv is not None and guide.finished_at is not None and keys:
            await self.kv.save(salt, keys, guide.finished_at)

    async def _run(
        self,
        guide: RequestGuide,
        target: Target,
        completion: Completion,
        arrived_at: float,
        outcome: Outcome,
    ) -> None:
        clock = self._world.clock
        guide.started(target)
        await sleep_until(clock, clock.seconds() + ROUND_TRIP_S)
        try:
            stream = self._world.engines.cores_by_url[target.url].submit(completion)
        except Rejected as error:
            raise EngineFull(str(error)) from None
        while not stream.tokens:
            await stream.changed.wait()
        outcome.first_token_s = clock.seconds() - arrived_at
        guide.first_token(target)
        while not stream.is_over:
            await stream.changed.wait()
        outcome.finished = True
        guide.finished(target, cast(Any, _Answer(len(stream.tokens))))

    def _may_retry(self) -> bool:
        return self.kv is not None and self.router.may_retry(
            self._world.clock.seconds()
        )

    async def _refresh(self) -> None:
        assert self.kv is not None
        await self.kv.refresh_status(self._world.clock.seconds() + 1.0)


@dataclass(frozen=True)
class _Answer:
    """The part of a relayed answer that a guide reads."""

    tokens: int


class World:
    """Engines, stores and daemons of one run."""

    def __init__(self, workload: Workload, policy: Policy, seed: int) -> None:
        self.clock = EventClock()
        self.seed = seed
        self.phase = "first"
        self.workload = workload
        shape = workload.shape
        self.stores = VirtualStores(self.clock, shape)
        self.engines = VirtualEngines(self.clock, shape, self.stores)
        self.config = make_config(shape, workload.capacity())
        self.daemons = [VirtualDaemon(n, policy, self) for n in range(DAEMONS)]
        self._open = 0
        if not policy.naive:
            self.every(PEERS_INTERVAL_S, self._exchange_demand)

    def every(self, interval_s: float, function: Callable[[], Any]) -> None:
        """Call ``function`` now and at every interval."""
        loop = LoopingCall(lambda: _deferred(function()))
        loop.clock = cast(Any, self.clock)
        loop.start(interval_s).addErrback(log_failure(log, "a loop ended"))

    def visit_all(self) -> None:
        """Send the first request of every document and wait for all of them."""
        visits = self.workload.first_visits()
        rate = FIRST_VISITS_LOAD * self.workload.capacity()
        spaced = [
            Arrival(n / rate, v.number, v.account, v.kind, v.prompt, v.daemon)
            for n, v in enumerate(visits)
        ]
        self.offer(spaced)
        self.clock.run_until(self.clock.seconds() + SETTLE_S)

    def measure(self, arrivals: Sequence[Arrival], duration_s: float) -> RunResult:
        """Offer ``arrivals`` and return what happened."""
        self.phase = "measured"
        before = self._tokens()
        self.stores.reset_use()
        began = self.clock.seconds()
        result = RunResult(duration_s)
        result.outcomes = self.offer(arrivals, duration_s, result)
        after = self._tokens()
        result.prompt_tokens = after[0] - before[0]
        result.computed_tokens = after[1] - before[1]
        if not arrivals:
            self.clock.run_until(began + duration_s)
        return result

    def offer(
        self,
        arrivals: Sequence[Arrival],
        duration_s: float = 0.0,
        result: RunResult | None = None,
    ) -> list[Outcome]:
        """Send each arrival at its time; return when all have ended.

        The use of the links is taken at the end of ``duration_s``.
        """
        began = self.clock.seconds()
        outcomes: list[Outcome] = []
        waiting = deque(arrivals)
        while waiting:
            arrival = waiting.popleft()
            self.clock.run_until(began + arrival.at)
            kind = arrival.kind
            outcome = Outcome(arrival.account, kind.name, kind.interactive)
            outcomes.append(outcome)
            self._serve(arrival, outcome)
        self.clock.run_until(max(self.clock.seconds(), began + duration_s))
        if result is not None:
            self._note_links(result, self.clock.seconds() - began)
        give_up = self.clock.seconds() + MAX_TAIL_S
        while self._open and self.clock.seconds() < give_up:
            self.clock.run_until(self.clock.seconds() + 1.0)
        return outcomes

    def _serve(self, arrival: Arrival, outcome: Outcome) -> None:
        self._open += 1

        def end(_: Any) -> None:
            self._open -= 1

        served = start(self.daemons[arrival.daemon].serve(arrival, outcome))
        served.addErrback(log_failure(log, f"request {arrival.number} failed"))
        served.addBoth(end)

    def _tokens(self) -> tuple[int, int]:
        counters = [core.counters for core in self.engines.cores_by_url.values()]
        return (
            sum(c["prompt_tokens"] for c in counters),
            sum(c["computed_prompt_tokens"] for c in counters),
        )

    def _note_links(self, result: RunResult, elapsed_s: float) -> None:
        for (url, tier), use in self.stores.use_by_link.items():
            name = f"{url} {tier}"
            allowed = self.stores.bandwidth(tier) * elapsed_s
            result.use_by_link[name] = use.moved / allowed
            result.wait_s_by_link[name] = use.longest_wait_s

    def _exchange_demand(self) -> None:
        now = self.clock.seconds()
        demands = [daemon.router.own_demand(now) for daemon in self.daemons]
        for own, daemon in zip(demands, self.daemons, strict=True):
            others: dict[AccountId, float] = {}
            for demand in demands:
                if demand is not own:
                    for account, tokens_per_s in demand.items():
                        others[account] = others.get(account, 0.0) + tokens_per_s
            daemon.router.update_demand(others, DAEMONS, now)


def make_config(shape: Shape, capacity: float) -> ConfigState:
    """Return the configuration of a deployment."""
    tokens_per_s = len(shape.engine_zones) * 20_000.0
    return ConfigState(
        revision=Revision(1),
        accounts_by_id={
            AccountId(account): Account(
                id=AccountId(account),
                weight=weight,
                requests_per_s=LIMIT_SHARES * capacity * shape.share(account),
                tokens_per_s=LIMIT_SHARES * tokens_per_s * shape.share(account),
            )
            for account, weight in shape.weights_by_account.items()
        },
        models_by_id={
            ModelId(MODEL): Model(
                id=ModelId(MODEL), weight_version=WeightVersion(VERSION)
            )
        },
        backend_servers_by_id={
            BackendServerId(f"engine-{n}"): BackendServer(
                id=BackendServerId(f"engine-{n}"),
                url=f"engine-{n}",
                zone=ZoneId(zone),
                models=(ModelId(MODEL),),
            )
            for n, zone in enumerate(shape.engine_zones)
        },
        stores_by_id={
            StoreId(f"store-{n}"): Store(
                id=StoreId(f"store-{n}"), url=f"store-{n}", zone=ZoneId(zone)
            )
            for n, zone in enumerate(shape.store_zones)
        },
    )


def _router(policy: Policy, daemon_id: DaemonId, seed: int) -> Any:
    match policy:
        case Policy.CHIVESADDLE:
            return Router(daemon_id, seed=seed)
        case Policy.RANDOM:
            return NaiveAdapter(RandomRouter(seed))
        case Policy.LEAST_LOADED:
            return NaiveAdapter(LeastLoadedRouter(seed))
        case Policy.HASH_ONLY:
            return NaiveAdapter(HashRouter(seed))


# Parts of the gateway that a bench run does not reach.
_UNUSED = (
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
    """Do nothing: no server crashes in a bench run."""


def _deferred(answer: Any) -> "Deferred[Any] | None":
    return start(answer) if hasattr(answer, "send") else None


__all__ = ["Outcome", "Policy", "RunResult", "World", "make_config"]
