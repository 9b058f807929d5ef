"""Simulated fleet: the daemons' placement code in front of simulated engines."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum

from chivesaddle.cachemap import CacheIndex, PromptPlan, TransferPlanner
from chivesaddle.core.aio import start
from chivesaddle.core.ids import BackendServerId, ModelId, ServiceId, ZoneId
from chivesaddle.core.serving_model import EngineSpec as ServiceEngineSpec
from chivesaddle.core.serving_model import (
    KvStore,
    PromptPartId,
    ServerEntry,
    ServerState,
)
from chivesaddle.forwarding.attempts import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
from chivesaddle.forwarding.prompts import CACHE_EVENT_DELAY_S
from chivesaddle.placement import (
    AdmissionQueue,
    Candidate,
    ExchangeOutcome,
    MemoryRequest,
    NoCapacity,
    ServerRequirements,
    ServerTable,
    TrackedServer,
    choose,
)
from chivesaddle.serving.hints import ServerLoadShares
from chivesaddle.tools.bench.virtual import EventClock
from chivesaddle.tools.platform_model.engine import (
    EngineRequest,
    EngineSpec,
    SimulatedEngine,
)
from chivesaddle.tools.platform_model.traffic import Prompt, TrafficGenerator

MODEL = ModelId("m")
SERVICE = ServiceId("llm")
ZONE = ZoneId("z")
CACHE_SCOPE = "1"
# KV cache of one token.
KV_BYTES_PER_TOKEN = 163_840
LINK_MBIT_S = 260_000.0
# Beacon interval in fleets of up to nine daemons.
BEACON_INTERVAL_S = 0.1
# Mean delay of a cache event: its lag at the engine plus the wait for the next poll.
MEAN_EVENT_LAG_S = 0.14
STORE_MEMORY_TOKENS = 3 * 124_620 + 2 * 594_778
# Callers give up on a stream that sends nothing for this long: eight times the longest
# pause between its events.
SILENT_STREAM_TIMEOUT_S = 3.2
# A refused caller retries once, after the time given in Retry-After.
MAX_RETRIES = 1
# Mean of the random delay that a daemon adds to the predicted wait in Retry-After.
MEAN_RETRY_DELAY_S = (MIN_RETRY_AFTER_S + MAX_RETRY_AFTER_S) / 2


class ServerSelection(Enum):
    """How a daemon selects an engine."""

    PREDICTED = "predicted"
    LEAST_LOADED = "least loaded"
    RANDOM = "random"


@dataclass(frozen=True, slots=True)
class Policy:
    """Mechanisms that are enabled in a simulation.

    Attributes
    ----------
    queue : bool
        Requests wait in the daemon until an engine has memory for them.
    cache_events : bool
        Daemons use cache events to track which parts engines hold.
    kv_stores : bool
        Parts are saved to KV stores and fetched from them.
    beacons : bool
        Daemons report to each other the load that their requests put on engines.
    selection : ServerSelection
        How daemons select an engine.
    """

    name: str
    queue: bool = True
    cache_events: bool = True
    kv_stores: bool = True
    beacons: bool = True
    selection: ServerSelection = ServerSelection.PREDICTED


@dataclass(slots=True)
class Result:
    """Outcome of a simulation.

    Attributes
    ----------
    arrived, on_time, late, refused, abandoned : int
        Requests in total, and by outcome; callers gave up on abandoned ones.
    earned_worth, full_worth : float
        Worth of the responses, and of all requests had they been answered on time.
    prefilled_tokens, recomputed_tokens : int
        Prompt tokens that engines prefilled, and those that they had held before.
    """

    arrived: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    abandoned: int = 0
    earned_worth: float = 0.0
    full_worth: float = 0.0
    prefilled_tokens: int = 0
    recomputed_tokens: int = 0

    @property
    def worth(self) -> float:
        """Worth earned as a share of the full worth, 0 to 1."""
        return self.earned_worth / self.full_worth if self.full_worth else 0.0


class _Daemon:
    """One daemon: its table of servers, admission queue and beacon state."""

    def __init__(self, clock: EventClock, name: str) -> None:
        self.name = name
        self.table = ServerTable(clock)
        self.queue = AdmissionQueue(clock)
        self.shares = ServerLoadShares(clock, self.table, lambda: ())
        self.table.on_capacity_freed = lambda service: self.queue.dispatch_ready()


class SimulatedFleet:
    """Daemons and engines that serve simulated traffic.

    Parameters
    ----------
    policy : Policy
        Mechanisms that are enabled.
    seed : int
        Seed of random selection and of the daemon that each request is sent to.
    daemons, engines : int
        Number of each.
    figures : EngineSpec or None
        Speeds and sizes of the engines; None takes the published ones.
    """

    def __init__(
        self,
        policy: Policy,
        seed: int = 1,
        daemons: int = 6,
        engines: int = 5,
        figures: EngineSpec | None = None,
    ) -> None:
        self.clock = EventClock()
        self.policy = policy
        self.result = Result()
        self._rng = random.Random(seed)
        self._figures = figures or EngineSpec()
        self._index = CacheIndex(self.clock)
        self._transfers = TransferPlanner(self.clock, self._index)
        self._engines: dict[BackendServerId, SimulatedEngine] = {}
        self._daemons = [_Daemon(self.clock, f"d{n}") for n in range(daemons)]
        for number in range(engines):
            self._add_engine(number)
        self._service_spec = ServiceEngineSpec(
            self._figures.slots,
            self._figures.memory_tokens,
            KV_BYTES_PER_TOKEN,
            LINK_MBIT_S,
            12,
        )
        self._store = KvStore(
            ServiceId("vault"), "store", ZONE, STORE_MEMORY_TOKENS, LINK_MBIT_S, 0.006
        )
        if policy.kv_stores:
            self._transfers.set_stores({"store": self._store})

    def simulate(
        self, traffic: TrafficGenerator, until_s: float, drain_s: float = 15.0
    ) -> Result:
        """Run the traffic and ``drain_s`` more seconds; return the outcome."""
        for prompt in traffic.prompts(until_s):
            daemon = self._rng.choice(self._daemons)
            self.clock.callLater(prompt.at_s, self._receive, prompt, daemon)
        self._refresh_views()
        self.clock.run_until(until_s + drain_s)
        for engine in self._engines.values():
            self.result.prefilled_tokens += engine.counts.prefilled_tokens
            self.result.recomputed_tokens += engine.counts.recomputed_tokens
        return self.result

    def _add_engine(self, number: int) -> None:
        name = BackendServerId(f"s{number}")
        entry = ServerEntry(
            name,
            SERVICE,
            name,
            ZONE,
            self._figures.slots,
            ServerState.READY,
            {MODEL: 1},
        )
        for daemon in self._daemons:
            daemon.table.put(entry)
        self._engines[name] = SimulatedEngine(
            self.clock,
            self._figures,
            lambda part, tokens: self._publish_cache_event(name, part, tokens),
        )

    def _publish_cache_event(
        self, holder: str, part: PromptPartId, tokens: int
    ) -> None:
        if self.policy.cache_events or holder == "store":
            self.clock.callLater(
                MEAN_EVENT_LAG_S, self._index.put, holder, (CACHE_SCOPE, part), tokens
            )

    def _refresh_views(self) -> None:
        """Confirm the daemons' view of cached parts and exchange beacons."""
        holders = [*(self._engines if self.policy.cache_events else ()), "store"]
        for holder in holders:
            self._index.confirm(holder, 1)
        if self.policy.beacons:
            for sender in self._daemons:
                shares, loading = sender.shares.collect()
                for peer in self._daemons:
                    if peer is not sender:
                        peer.shares.apply_remote(
                            sender.name, shares, loading, 5 * BEACON_INTERVAL_S
                        )
                        peer.queue.dispatch_ready()
        self.clock.callLater(BEACON_INTERVAL_S, self._refresh_views)

    def _receive(self, prompt: Prompt, daemon: _Daemon) -> None:
        self.result.arrived += 1
        self.result.full_worth += prompt.kind.worth
        start(_CallerRequest(self, prompt, daemon).serve())

    def prompt_planner(self, prompt: Prompt) -> Callable[[TrackedServer], PromptPlan]:
        """Return a function that plans the transfers and prefill of a prompt."""
        own = PromptPartId("own")
        parts = [(prompt.shared_part, prompt.shared_tokens), (own, prompt.own_tokens)]

        def plan(server: TrackedServer) -> PromptPlan:
            since = self.clock.seconds() - CACHE_EVENT_DELAY_S
            is_sent = server.was_sent(CACHE_SCOPE, prompt.shared_part, since)
            return self._transfers.plan(
                parts,
                CACHE_SCOPE,
                server.entry.address,
                ZONE,
                self._service_spec,
                {},
                frozenset([prompt.shared_part] if is_sent else []),
            )

        return plan

    def choose(
        self, prompt: Prompt, daemon: _Daemon, reserved: Collection[BackendServerId]
    ) -> Candidate:
        """Choose an engine as the policy says."""
        plan = self.prompt_planner(prompt)
        requirements = ServerRequirements(
            model=MODEL,
            affinity_key=str(prompt.shared_part),
            memory_tokens=prompt.memory_tokens,
            server_memory_tokens=self._figures.memory_tokens,
            plan_prompt=lambda server, version, is_preferred: plan(server),
        )
        now = self.clock.seconds()
        servers = daemon.table.of_service(SERVICE)
        match self.policy.selection:
            case ServerSelection.RANDOM:
                servers = [self._rng.choice(servers)]
            case ServerSelection.LEAST_LOADED:
                servers = [min(servers, key=lambda s: s.load(now).requests)]
            case ServerSelection.PREDICTED:
                pass
        candidate = choose(servers, requirements, ZONE, now, reserved=reserved)
        assert candidate is not None
        return candidate

    def send(
        self,
        prompt: Prompt,
        candidate: Candidate,
        on_first_token: Callable[[], None],
        on_finished: Callable[[], None],
    ) -> tuple[SimulatedEngine, EngineRequest]:
        """Submit a request to the chosen engine."""
        plan = candidate.plan
        assert plan is not None
        candidate.server.record_sent_parts(
            CACHE_SCOPE, [prompt.shared_part], self.clock.seconds()
        )
        saves = bool(plan.save_to and plan.save_to[0])
        if saves:
            self._transfers.record_saves(
                [(prompt.shared_part, prompt.shared_tokens)], CACHE_SCOPE, plan
            )

        def record_first_token() -> None:
            if saves:
                self._publish_cache_event(
                    "store", prompt.shared_part, prompt.shared_tokens
                )
            on_first_token()

        request = EngineRequest(
            prompt.shared_part,
            prompt.shared_tokens,
            prompt.own_tokens,
            prompt.output_tokens,
            prompt.kind.rank,
            record_first_token,
            on_finished,
            is_fetched=bool(plan.fetch_from and plan.fetch_from[0]),
        )
        engine = self._engines[candidate.server.entry.id]
        engine.submit(request)
        return engine, request


class _CallerRequest:
    """One caller's request to a daemon, with its retries."""

    def __init__(self, fleet: SimulatedFleet, prompt: Prompt, daemon: _Daemon) -> None:
        self._fleet = fleet
        self._prompt = prompt
        self._daemon = daemon
        self._arrived_at = fleet.clock.seconds()
        self._first_token_at: float | None = None

    async def serve(self, retries: int = MAX_RETRIES) -> None:
        """Choose an engine and send the request; retry if it is refused."""
        fleet, prompt, kind = self._fleet, self._prompt, self._prompt.kind
        now = fleet.clock.seconds()
        give_up_at = min(
            self._arrived_at + kind.time_limit_s, now + SILENT_STREAM_TIMEOUT_S
        )

        def choose_server(reserved: Collection[BackendServerId]) -> Candidate:
            return fleet.choose(prompt, self._daemon, reserved)

        try:
            if fleet.policy.queue:
                memory_request = MemoryRequest(
                    prompt.memory_tokens,
                    kind.rank,
                    now,
                    now + kind.target_s,
                    give_up_at - kind.target_s,
                )
                candidate = await self._daemon.queue.wait_for_capacity(
                    memory_request, choose_server
                )
            else:
                candidate = choose_server(())
        except NoCapacity as error:
            if retries:
                retry_delay_s = (error.retry_after_s or 0.0) + MEAN_RETRY_DELAY_S
                fleet.clock.callLater(retry_delay_s, start, self.serve(retries - 1))
            else:
                fleet.result.refused += 1
            return
        self._send(candidate, give_up_at)

    def _send(self, candidate: Candidate, give_up_at: float) -> None:
        fleet, prompt, table = self._fleet, self._prompt, self._daemon.table
        server = candidate.server.entry.id
        assert candidate.plan is not None
        serial = table.record_send(
            server, candidate.plan.read_tokens, prompt.memory_tokens
        )

        def record_first_token() -> None:
            self._first_token_at = fleet.clock.seconds()
            table.record_first_event(server, serial)

        def record_finished() -> None:
            table.record_end(server, serial, ExchangeOutcome.ANSWERED)
            self._count_response()

        engine, request = fleet.send(
            prompt, candidate, record_first_token, record_finished
        )

        def give_up() -> None:
            if self._first_token_at is None:
                engine.cancel(request)
                table.record_end(server, serial, None)
                fleet.result.abandoned += 1

        fleet.clock.callLater(max(0.0, give_up_at - fleet.clock.seconds()), give_up)

    def _count_response(self) -> None:
        assert self._first_token_at is not None
        result, kind = self._fleet.result, self._prompt.kind
        if self._first_token_at - self._arrived_at <= kind.target_s:
            result.on_time += 1
            result.earned_worth += kind.worth
        else:
            result.late += 1
            result.earned_worth += kind.late_worth


__all__ = ["Policy", "Result", "ServerSelection", "SimulatedFleet"]
