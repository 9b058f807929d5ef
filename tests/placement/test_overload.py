"""Recovery from a burst at a base load that the servers sustain.

Guards against a service that stays overloaded after a burst. The simulated servers
follow the published figures: prefill is interleaved with decoding and slows it, running
requests and cached parts share the memory, and a request that waits for memory loses
its cached part and has to prefill it again.
"""

import random
from dataclasses import dataclass, field

import pytest

from chivesaddle.cachemap import PromptPlan
from chivesaddle.core.aio import start
from chivesaddle.core.ids import ModelId, ServiceId, ZoneId
from chivesaddle.placement import (
    AdmissionQueue,
    MemoryRequest,
    NoCapacity,
    ServerRequirements,
    ServerTable,
    choose,
)
from chivesaddle.platform import decode_server

MODEL = ModelId("m")
SERVERS = 5
MEMORY_TOKENS = 99_503
TICK_S = 0.01
PREFILL_TOKENS_PER_TICK = 612
# Tokens that a request decodes per tick, without and with a concurrent prefill.
DECODE_TOKENS_ALONE, DECODE_TOKENS_DURING_PREFILL = 2.7, 0.27
SHARED_TOKENS, OWN_TOKENS, OUTPUT_TOKENS = 8_200, 2_800, 300
# The servers sustain about 26 requests a second while shared parts stay cached, and 17
# if each request prefills its shared part again.
RATE_PER_S = 20.0
BURST_PER_S = 50.0
BURST_WINDOW_S = (6.0, 8.5)
DURATION_S = 40.0
TARGET_S, CALLER_TIMEOUT_S = 0.8, 3.2


@dataclass(eq=False)
class Run:
    arrived_at: float
    serial: int
    tokens_to_prefill: int = OWN_TOKENS
    tokens_to_decode: float = OUTPUT_TOKENS
    first_token_at: float | None = None

    @property
    def memory_tokens(self):
        return SHARED_TOKENS + OWN_TOKENS + OUTPUT_TOKENS


@dataclass(eq=False)
class Server:
    waiting: list = field(default_factory=list)
    running: list = field(default_factory=list)

    def tick(self, now):
        """Simulate one tick; return the runs that ended."""
        used_tokens = sum(run.memory_tokens for run in self.running)
        while (
            self.waiting
            and used_tokens + self.waiting[0].memory_tokens <= MEMORY_TOKENS
        ):
            run = self.waiting.pop(0)
            used_tokens += run.memory_tokens
            self.running.append(run)
        for run in self.waiting:
            # Its cached part was evicted in favor of running requests.
            run.tokens_to_prefill = SHARED_TOKENS + OWN_TOKENS
        prefill_budget = PREFILL_TOKENS_PER_TICK
        for run in self.running:
            prefilled = min(prefill_budget, run.tokens_to_prefill)
            run.tokens_to_prefill -= prefilled
            prefill_budget -= prefilled
            if prefilled and not run.tokens_to_prefill:
                run.first_token_at = now
        decoded = (
            DECODE_TOKENS_ALONE
            if prefill_budget == PREFILL_TOKENS_PER_TICK
            else DECODE_TOKENS_DURING_PREFILL
        )
        for run in self.running:
            if not run.tokens_to_prefill:
                run.tokens_to_decode -= decoded
        ended = [run for run in self.running if run.tokens_to_decode <= 0]
        self.running = [run for run in self.running if run.tokens_to_decode > 0]
        return ended


class LoadSimulation:
    """Requests of one kind on several servers at a rate that they sustain."""

    def __init__(self, clock, with_queue):
        self.clock = clock
        self.with_queue = with_queue
        self.queue = AdmissionQueue(clock)
        self.table = ServerTable(clock)
        self.servers = {}
        for number in range(SERVERS):
            entry = {
                "service": "llm",
                "address": f"10.0.0.{number}:80",
                "zone": "z",
                "slots": 64,
                "state": "ready",
                "models": [{"name": MODEL, "version": 1}],
            }
            self.table.put(decode_server(f"s{number}", entry))
            self.servers[f"s{number}"] = Server()
        self.runs = []
        self.rejected_count = 0

    def choose(self, reserved=()):
        plan = PromptPlan(OWN_TOKENS, 0.0)
        requirements = ServerRequirements(
            model=MODEL,
            plan_prompt=lambda server, version, is_preferred: plan,
            memory_tokens=SHARED_TOKENS + OWN_TOKENS + OUTPUT_TOKENS,
            server_memory_tokens=MEMORY_TOKENS,
        )
        servers = self.table.of_service(ServiceId("llm"))
        now = self.clock.seconds()
        return choose(servers, requirements, ZoneId("z"), now, reserved=reserved)

    async def send_request(self):
        now = self.clock.seconds()
        memory_request = MemoryRequest(
            SHARED_TOKENS + OWN_TOKENS + OUTPUT_TOKENS,
            5,
            now,
            now + TARGET_S,
            now + CALLER_TIMEOUT_S - TARGET_S,
        )
        if self.with_queue:
            try:
                candidate = await self.queue.wait_for_capacity(
                    memory_request, self.choose
                )
            except NoCapacity:
                self.rejected_count += 1
                return
        else:
            candidate = self.choose()
        server = candidate.server.entry.id
        run = Run(
            now, self.table.record_send(server, OWN_TOKENS, memory_request.tokens)
        )
        self.runs.append(run)
        self.servers[server].waiting.append(run)

    def run(self):
        rng = random.Random(7)
        next_arrival_at = 0.0
        while self.clock.seconds() < DURATION_S:
            now = self.clock.seconds()
            while next_arrival_at <= now:
                start(self.send_request())
                is_burst = BURST_WINDOW_S[0] <= now < BURST_WINDOW_S[1]
                next_arrival_at += rng.expovariate(
                    BURST_PER_S if is_burst else RATE_PER_S
                )
            for name, server in self.servers.items():
                for run in server.tick(now):
                    self.table.record_end(name, run.serial, None)
            self.queue.dispatch_ready()
            self.clock.advance(TICK_S)

    def share_on_time(self, since):
        runs = [
            r
            for r in self.runs
            if since <= r.arrived_at < DURATION_S - CALLER_TIMEOUT_S
        ]
        on_time = [
            r
            for r in runs
            if r.first_token_at and r.first_token_at - r.arrived_at <= 0.8
        ]
        return len(on_time) / len(runs)


@pytest.mark.parametrize("with_queue", [False, True])
def test_load_without_a_burst_is_served_on_time(clock, with_queue, monkeypatch):
    monkeypatch.setattr(f"{__name__}.BURST_PER_S", RATE_PER_S)
    simulation = LoadSimulation(clock, with_queue)
    simulation.run()
    assert simulation.share_on_time(0.0) > 0.9


def test_service_recovers_from_a_burst_that_exhausts_memory(clock):
    simulation = LoadSimulation(clock, with_queue=True)
    simulation.run()
    assert simulation.share_on_time(15.0) > 0.9
    assert 0 < simulation.rejected_count < 0.2 * len(simulation.runs)


def test_service_without_the_queue_does_not_recover_from_the_same_burst(clock):
    """Verifies that the load of the test above requires the queue."""
    simulation = LoadSimulation(clock, with_queue=False)
    simulation.run()
    assert simulation.share_on_time(15.0) < 0.5
