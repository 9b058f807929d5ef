"""Daemons with their own decisions before model engines, on one virtual clock."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum

from chivesaddle.cachemap import CacheIndex, PromptPlan, Transfers
from chivesaddle.core.aio import start
from chivesaddle.core.ids import BackendServerId, ModelId, ServiceId, ZoneId
from chivesaddle.core.serving_model import EngineFigures as ServiceFigures
from chivesaddle.core.serving_model import (
    KvStore,
    PartId,
    ServerEntry,
    ServerState,
)
from chivesaddle.forwarding.forwarder import RETRY_FIRST_S, RETRY_LAST_S
from chivesaddle.forwarding.prompts import EVENT_DELAY_S
from chivesaddle.placement import (
    Candidate,
    Claim,
    MemoryLine,
    Need,
    NoRoom,
    Outcome,
    ServerTable,
    TrackedServer,
    choose,
)
from chivesaddle.serving.hints import ServerShares
from chivesaddle.tools.bench.virtual import EventClock
from chivesaddle.tools.platform_model.engine import EngineFigures, ModelEngine, Run
from chivesaddle.tools.platform_model.traffic import Prompt, Traffic

MODEL = ModelId("m")
SERVICE = ServiceId("llm")
ZONE = ZoneId("z")
SCOPE = "1"
TOKEN_BYTES = 163_840
LINK_MBIT_S = 260_000.0
# Beacons of fleets up to nine daemons.
BEACON_S = 0.1
# Lag of events at the engine, and the mean wait for the next question.
EVENT_LAG_S = 0.14
STORE_TOKENS = 3 * 124_620 + 2 * 594_778
# Callers leave a stream that stays silent for this long: eight times its longest pause.
SILENCE_S = 3.2
# Refused callers come back once, after the time that they are told.
RETRIES = 1
# Mean of what a daemon adds to the predicted wait.
RETURN_S = (RETRY_FIRST_S + RETRY_LAST_S) / 2


class Placing(Enum):
    """How a daemon chooses an engine."""

    PREDICTED = "predicted"
    LEAST_LOADED = "least loaded"
    RANDOM = "random"


@dataclass(frozen=True, slots=True)
class Policy:
    """What is switched on.

    Attributes
    ----------
    line : bool
        Requests wait in the daemon for room.
    events : bool
        Daemons know which parts engines hold.
    stores : bool
        Parts are saved to KV stores and fetched from them.
    beacons : bool
        Daemons know each other's requests.
    """

    name: str
    line: bool = True
    events: bool = True
    stores: bool = True
    beacons: bool = True
    placing: Placing = Placing.PREDICTED


@dataclass(slots=True)
class Result:
    """What callers got; shares of requests, worth as a share of what is owed."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    left: int = 0
    earned: float = 0.0
    owed: float = 0.0
    read_tokens: int = 0
    read_again_tokens: int = 0

    @property
    def worth(self) -> float:
        """Worth earned of the worth owed, 0 to 1."""
        return self.earned / self.owed if self.owed else 0.0


class _Daemon:
    """One daemon's view: its own table, line and share of beacons."""

    def __init__(self, clock: EventClock, name: str) -> None:
        self.name = name
        self.table = ServerTable(clock)
        self.line = MemoryLine(clock)
        self.shares = ServerShares(clock, self.table, lambda: ())
        self.table.on_room = lambda service: self.line.look()


class Fleet:
    """A fleet of daemons and engines that plays one day.

    Parameters
    ----------
    policy : Policy
        What is switched on.
    seed : int
        Seed of random placing and of callers' daemons.
    """

    def __init__(
        self,
        policy: Policy,
        seed: int = 1,
        daemons: int = 6,
        engines: int = 5,
        figures: EngineFigures | None = None,
    ) -> None:
        self.clock = EventClock()
        self.policy = policy
        self.result = Result()
        self._rng = random.Random(seed)
        self._figures = figures or EngineFigures()
        self._index = CacheIndex(self.clock)
        self._transfers = Transfers(self.clock, self._index)
        self._engines: dict[BackendServerId, ModelEngine] = {}
        self._daemons = [_Daemon(self.clock, f"d{n}") for n in range(daemons)]
        for number in range(engines):
            self._add_engine(number)
        self._service = ServiceFigures(
            self._figures.slots,
            self._figures.memory_tokens,
            TOKEN_BYTES,
            LINK_MBIT_S,
            12,
        )
        self._store = KvStore(
            ServiceId("vault"), "store", ZONE, STORE_TOKENS, LINK_MBIT_S, 0.006
        )
        if policy.stores:
            self._transfers.set_stores({"store": self._store})

    def play(self, traffic: Traffic, until_s: float, drain_s: float = 15.0) -> Result:
        """Play a day; return what callers got."""
        for prompt in traffic.prompts(until_s):
            daemon = self._rng.choice(self._daemons)
            self.clock.callLater(prompt.at_s, self._arrive, prompt, daemon)
        self._tick()
        self.clock.run_until(until_s + drain_s)
        for engine in self._engines.values():
            self.result.read_tokens += engine.counts.read
            self.result.read_again_tokens += engine.counts.read_again
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
        self._engines[name] = ModelEngine(
            self.clock,
            self._figures,
            lambda part, tokens: self._event(name, part, tokens),
        )

    def _event(self, holder: str, part: PartId, tokens: int) -> None:
        if self.policy.events or holder == "store":
            self.clock.callLater(
                EVENT_LAG_S, self._index.put, holder, (SCOPE, part), tokens
            )

    def _tick(self) -> None:
        """Confirm views of holders and exchange beacons."""
        holders = [*(self._engines if self.policy.events else ()), "store"]
        for holder in holders:
            self._index.confirm(holder, 1)
        if self.policy.beacons:
            for sender in self._daemons:
                shares, loading = sender.shares.collect()
                for peer in self._daemons:
                    if peer is not sender:
                        peer.shares.learn(sender.name, shares, loading, 5 * BEACON_S)
                        peer.line.look()
        self.clock.callLater(BEACON_S, self._tick)

    def _arrive(self, prompt: Prompt, daemon: _Daemon) -> None:
        self.result.asked += 1
        self.result.owed += prompt.kind.worth
        start(_Request(self, prompt, daemon).serve())

    def planner(self, prompt: Prompt) -> Callable[[TrackedServer], PromptPlan]:
        """Return what the prompt costs at an engine, as this fleet knows it."""
        own = PartId("own")
        parts = [(prompt.shared_part, prompt.shared_tokens), (own, prompt.own_tokens)]

        def plan(server: TrackedServer) -> PromptPlan:
            since = self.clock.seconds() - EVENT_DELAY_S
            is_sent = server.was_sent(SCOPE, prompt.shared_part, since)
            return self._transfers.plan(
                parts,
                SCOPE,
                server.entry.address,
                ZONE,
                self._service,
                {},
                frozenset([prompt.shared_part] if is_sent else []),
            )

        return plan

    def choose(
        self, prompt: Prompt, daemon: _Daemon, reserved: Collection[BackendServerId]
    ) -> Candidate:
        """Choose an engine by the policy."""
        plan = self.planner(prompt)
        need = Need(
            model=MODEL,
            affinity_key=str(prompt.shared_part),
            memory_tokens=prompt.memory_tokens,
            server_tokens=self._figures.memory_tokens,
            plan_prompt=lambda server, version, is_preferred: plan(server),
        )
        now = self.clock.seconds()
        servers = daemon.table.of_service(SERVICE)
        match self.policy.placing:
            case Placing.RANDOM:
                servers = [self._rng.choice(servers)]
            case Placing.LEAST_LOADED:
                servers = [min(servers, key=lambda s: s.load(now).requests)]
            case Placing.PREDICTED:
                pass
        found = choose(servers, need, ZONE, now, reserved=reserved)
        assert found is not None
        return found

    def send(
        self,
        prompt: Prompt,
        found: Candidate,
        on_first: Callable[[], None],
        on_end: Callable[[], None],
    ) -> tuple[ModelEngine, Run]:
        """Submit a request to an engine."""
        plan = found.plan
        assert plan is not None
        found.server.remember(SCOPE, [prompt.shared_part], self.clock.seconds())
        saves = bool(plan.save_to and plan.save_to[0])
        if saves:
            self._transfers.record_saves(
                [(prompt.shared_part, prompt.shared_tokens)], SCOPE, plan
            )

        def first() -> None:
            if saves:
                self._event("store", prompt.shared_part, prompt.shared_tokens)
            on_first()

        run = Run(
            prompt.shared_part,
            prompt.shared_tokens,
            prompt.own_tokens,
            prompt.out_tokens,
            prompt.kind.rank,
            first,
            on_end,
            fetch=bool(plan.fetch_from and plan.fetch_from[0]),
        )
        engine = self._engines[found.server.entry.id]
        engine.submit(run)
        return engine, run


class _Request:
    """One request on its daemon."""

    def __init__(self, fleet: Fleet, prompt: Prompt, daemon: _Daemon) -> None:
        self._fleet = fleet
        self._prompt = prompt
        self._daemon = daemon
        self._arrived_at = fleet.clock.seconds()
        self._first_at: float | None = None

    async def serve(self, retries: int = RETRIES) -> None:
        """Find an engine and send; a refused caller comes back."""
        fleet, prompt, kind = self._fleet, self._prompt, self._prompt.kind
        now = fleet.clock.seconds()
        left_at = min(self._arrived_at + kind.limit_s, now + SILENCE_S)

        def chosen(reserved: Collection[BackendServerId]) -> Candidate:
            return fleet.choose(prompt, self._daemon, reserved)

        try:
            if fleet.policy.line:
                claim = Claim(
                    prompt.memory_tokens,
                    kind.rank,
                    now,
                    now + kind.target_s,
                    left_at - kind.target_s,
                )
                found = await self._daemon.line.wait_for_room(claim, chosen)
            else:
                found = chosen(())
        except NoRoom as error:
            if retries:
                pause_s = (error.retry_after_s or 0.0) + RETURN_S
                fleet.clock.callLater(pause_s, start, self.serve(retries - 1))
            else:
                fleet.result.refused += 1
            return
        self._send(found, left_at)

    def _send(self, found: Candidate, left_at: float) -> None:
        fleet, prompt, table = self._fleet, self._prompt, self._daemon.table
        server = found.server.entry.id
        assert found.plan is not None
        serial = table.record_send(server, found.plan.read_tokens, prompt.memory_tokens)

        def first() -> None:
            self._first_at = fleet.clock.seconds()
            table.record_first_event(server, serial)

        def ended() -> None:
            table.record_end(server, serial, Outcome.ANSWERED)
            self._count()

        engine, run = fleet.send(prompt, found, first, ended)

        def leave() -> None:
            if self._first_at is None:
                engine.cancel(run)
                table.record_end(server, serial, None)
                fleet.result.left += 1

        fleet.clock.callLater(max(0.0, left_at - fleet.clock.seconds()), leave)

    def _count(self) -> None:
        assert self._first_at is not None
        result, kind = self._fleet.result, self._prompt.kind
        if self._first_at - self._arrived_at <= kind.target_s:
            result.on_time += 1
            result.earned += kind.worth
        else:
            result.late += 1
            result.earned += kind.late_worth


__all__ = ["Fleet", "Placing", "Policy", "Result"]
