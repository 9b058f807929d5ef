"""A load that a service can carry, but from whose bursts it does not recover.

The servers follow the published figures: prompts are read between the tokens of running
requests, so that reading slows the runs; running requests and cached parts share the
memory; a request that waits for memory loses its cached part and reads it again.
"""

import random
from dataclasses import dataclass, field

import pytest

from chivesaddle.cachemap import PromptPlan
from chivesaddle.core.aio import start
from chivesaddle.core.ids import ModelId, ServiceId, ZoneId
from chivesaddle.placement import Claim, MemoryLine, Need, NoRoom, ServerTable, choose
from chivesaddle.platform import decode_server

MODEL = ModelId("m")
SERVERS = 5
MEMORY = 99_503
TICK_S = 0.01
READ_PER_TICK = 612
# Tokens that a run makes in a tick, alone and beside a prompt that is being read.
MADE_ALONE, MADE_BESIDE = 2.7, 0.27
SHARED, OWN, OUT = 8_200, 2_800, 300
# With parts kept about 26 requests a second are carried, with parts read again 17.
RATE_PER_S = 20.0
BURST_PER_S = 50.0
BURST = (6.0, 8.5)
END_S = 40.0
TARGET_S, PATIENCE_S = 0.8, 3.2


@dataclass(eq=False)
class Run:
    arrived_at: float
    serial: int
    to_read: int = OWN
    to_make: float = OUT
    first_at: float | None = None

    @property
    def memory(self):
        return SHARED + OWN + OUT


@dataclass(eq=False)
class Server:
    waiting: list = field(default_factory=list)
    running: list = field(default_factory=list)

    def tick(self, now):
        """Work for one tick; return the runs that ended."""
        used = sum(run.memory for run in self.running)
        while self.waiting and used + self.waiting[0].memory <= MEMORY:
            run = self.waiting.pop(0)
            used += run.memory
            self.running.append(run)
        for run in self.waiting:
            # The part that was kept for it has yielded to running requests.
            run.to_read = SHARED + OWN
        budget = READ_PER_TICK
        for run in self.running:
            read = min(budget, run.to_read)
            run.to_read -= read
            budget -= read
            if read and not run.to_read:
                run.first_at = now
        made = MADE_ALONE if budget == READ_PER_TICK else MADE_BESIDE
        for run in self.running:
            if not run.to_read:
                run.to_make -= made
        ended = [run for run in self.running if run.to_make <= 0]
        self.running = [run for run in self.running if run.to_make > 0]
        return ended


class Day:
    """Requests of one kind over a fleet of servers, at a rate that it can carry."""

    def __init__(self, clock, with_line):
        self.clock = clock
        self.with_line = with_line
        self.line = MemoryLine(clock)
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
        self.refused = 0

    def choose(self, reserved=()):
        plan = PromptPlan(OWN, 0.0)
        need = Need(
            model=MODEL,
            plan_prompt=lambda server, version, is_preferred: plan,
            memory_tokens=SHARED + OWN + OUT,
            server_tokens=MEMORY,
        )
        servers = self.table.of_service(ServiceId("llm"))
        now = self.clock.seconds()
        return choose(servers, need, ZoneId("z"), now, reserved=reserved)

    async def serve(self):
        now = self.clock.seconds()
        claim = Claim(
            SHARED + OWN + OUT, 5, now, now + TARGET_S, now + PATIENCE_S - TARGET_S
        )
        if self.with_line:
            try:
                found = await self.line.wait_for_room(claim, self.choose)
            except NoRoom:
                self.refused += 1
                return
        else:
            found = self.choose()
        server = found.server.entry.id
        run = Run(now, self.table.record_send(server, OWN, claim.tokens))
        self.runs.append(run)
        self.servers[server].waiting.append(run)

    def play(self):
        rng = random.Random(7)
        due = 0.0
        while self.clock.seconds() < END_S:
            now = self.clock.seconds()
            while due <= now:
                start(self.serve())
                is_burst = BURST[0] <= now < BURST[1]
                due += rng.expovariate(BURST_PER_S if is_burst else RATE_PER_S)
            for name, server in self.servers.items():
                for run in server.tick(now):
                    self.table.record_end(name, run.serial, None)
            self.line.look()
            self.clock.advance(TICK_S)

    def share_on_time(self, since):
        runs = [r for r in self.runs if since <= r.arrived_at < END_S - PATIENCE_S]
        on_time = [r for r in runs if r.first_at and r.first_at - r.arrived_at <= 0.8]
        return len(on_time) / len(runs)


@pytest.mark.parametrize("with_line", [False, True])
def test_the_load_without_a_burst_is_carried(clock, with_line, monkeypatch):
    monkeypatch.setattr(f"{__name__}.BURST_PER_S", RATE_PER_S)
    day = Day(clock, with_line)
    day.play()
    assert day.share_on_time(0.0) > 0.9


def test_service_recovers_from_a_burst_that_fills_the_memory(clock):
    day = Day(clock, with_line=True)
    day.play()
    assert day.share_on_time(15.0) > 0.9
    assert 0 < day.refused < 0.2 * len(day.runs)


def test_without_the_line_the_same_burst_ruins_the_rest_of_the_day(clock):
    """The load of the test above is one that needs the line."""
    day = Day(clock, with_line=False)
    day.play()
    assert day.share_on_time(15.0) < 0.5
