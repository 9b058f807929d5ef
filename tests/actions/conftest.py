"""Daemons that can be paused or killed at each step, and a service with a log of runs.

The log is the truth: every test compares what callers were told with it.
"""

import contextvars
from dataclasses import dataclass, field
from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from chivesaddle.actions import (
    ActionService,
    ActionState,
    IdempotencyKeyReused,
    NotSent,
    Outcome,
    OutcomeUnknown,
    Resolution,
)
from chivesaddle.actions.client import CONNECT_WITHIN_S
from chivesaddle.core.aio import sleep_until, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.model import Operation, Service
from chivesaddle.objects import MemoryObjectApi, WriteFault

ACCOUNT, KEY = "acc-1", "key-1"
BODY, OTHER_BODY = b'{"seat": 7}', b'{"seat": 8}'
SERVICE = Service(
    id="booking",
    urls=("http://booking",),
    operations=(Operation(name="reserve"), Operation(name="check", repeatable=True)),
)
CALL = contextvars.ContextVar("call", default=None)


class Gate:
    """Holds back everything of one daemon while it is paused; for good once killed."""

    def __init__(self):
        self.paused = False
        self.killed = False
        self.was_paused = False
        self.points = {}
        self._waiting = []

    async def at(self, point):
        action = self.points.pop(point, None)
        if action:
            action()
        while self.paused or self.killed:
            resumed = Deferred()
            self._waiting.append(resumed)
            await resumed

    def resume(self):
        self.paused = False
        if not self.killed:
            waiting, self._waiting = self._waiting, []
            for resumed in waiting:
                resumed.callback(None)


class DaemonClock:
    """Clock whose timers fire late while the daemon is paused."""

    def __init__(self, clock, gate):
        self._clock = clock
        self._gate = gate
        self.seconds = clock.seconds

    def callLater(self, delay, function, *args, **kw):  # noqa: N802
        async def fire():
            await self._gate.at("timer")
            if not timer.cancelled:
                function(*args, **kw)

        timer = DaemonTimer(self._clock.callLater(delay, lambda: start(fire())))
        return timer


class DaemonTimer:
    def __init__(self, call):
        self._call = call
        self.cancelled = False

    def active(self):
        return not self.cancelled and self._call.active()

    def cancel(self):
        self.cancelled = True
        if self._call.active():
            self._call.cancel()


class GatedApi:
    """The platform as one daemon sees it, with a gate before and after each call."""

    def __init__(self, world, gate):
        self._world = world
        self._gate = gate

    async def _call(self, step, call):
        await self._gate.at((step, "before"))
        try:
            result, error = await call(), None
        except Exception as caught:
            result, error = None, caught
        await self._gate.at((step, "after"))
        if error:
            raise error
        return result

    async def get(self, kind, name, *, deadline):
        return await self._call(
            "read", lambda: self._world.api.get(kind, name, deadline=deadline)
        )

    async def create(self, kind, name, value, *, deadline):
        api = self._world.api
        return await self._call(
            value["state"], lambda: api.create(kind, name, value, deadline=deadline)
        )

    async def update(self, kind, name, value, *, version, deadline):
        api = self._world.api
        return await self._call(
            value["state"],
            lambda: api.update(kind, name, value, version=version, deadline=deadline),
        )


class FakeService:
    """In-memory service; ``log`` holds one caller's number per run."""

    def __init__(self, world, gate):
        self._world = world
        self._gate = gate

    async def send(self, url, operation, body, deadline):
        world = self._world
        write_by = world.clock.seconds() + CONNECT_WITHIN_S
        await self._gate.at(("send", "before"))
        if world.clock.seconds() >= write_by:
            raise NotSent("paused while connecting")
        fault = world.service_faults.pop(0) if world.service_faults else None
        if fault == "refused":
            raise NotSent("refused")
        if fault == "broken_before_run":
            raise OutcomeUnknown("broken")
        world.log.append(CALL.get())
        outcome = Outcome(200, b"reserved %d" % len(world.log))
        if fault == "silent":
            await self._until(deadline, deadline + 1)
        if fault == "slow":
            await self._until(deadline, world.clock.seconds() + 20)
        await self._gate.at(("send", "after"))
        if fault == "broken_after_run":
            raise OutcomeUnknown("broken")
        return outcome

    async def _until(self, deadline, time):
        clock = DaemonClock(self._world.clock, self._gate)
        try:
            await with_deadline(clock, deadline, sleep_until(clock, time), "send")
        except DeadlineExceeded:
            raise OutcomeUnknown("silent") from None


@dataclass
class Daemon:
    gate: Gate
    actions: ActionService


@dataclass
class CallersCall:
    """One call of ``run`` and what its caller was told."""

    number: int
    daemon: Daemon
    deadline: float
    answers: list = field(default_factory=list)
    answered_at: float | None = None

    @property
    def answer(self):
        return self.answers[0] if self.answers else None


class World:
    """One platform, one service and several daemons on one virtual clock."""

    def __init__(self, daemons=2):
        self.clock = Clock()
        self.api = MemoryObjectApi(self.clock)
        self.service_faults = []
        self.log = []
        self.calls = []
        self.daemons = [self._daemon(f"daemon-{n}") for n in range(daemons)]

    def _daemon(self, name):
        gate = Gate()
        actions = ActionService(
            GatedApi(self, gate),
            FakeService(self, gate),
            DaemonClock(self.clock, gate),
            name,
            {"booking": SERVICE}.get,
            random=Random(1),
        )
        return Daemon(gate, actions)

    def run_other_body(self, daemon):
        return self.run(daemon, body=OTHER_BODY)

    def run(self, daemon=0, within=10.0, key=KEY, body=BODY, operation="reserve"):
        """Start one caller's call of ``run``."""
        deadline = self.clock.seconds() + within
        call = CallersCall(len(self.calls), self.daemons[daemon], deadline)
        self.calls.append(call)

        def tell(answer):
            call.answers.append(getattr(answer, "value", answer))
            call.answered_at = self.clock.seconds()

        token = CALL.set(call.number)
        work = call.daemon.actions.run(
            ACCOUNT, key, "booking", operation, body, deadline
        )
        start(work).addBoth(tell)
        CALL.reset(token)
        return call

    def resolve_truthfully(self, daemon=1):
        """Let an operator look at the action, then at the log, and resolve it."""
        actions = self.daemons[daemon].actions

        async def resolve():
            seen = await actions.lookup(ACCOUNT, KEY)
            if seen.state is ActionState.IN_DOUBT:
                state = ActionState.DONE if self.log else ActionState.NOT_RUN
                body = b"reserved 1" if self.log else b""
                found = Resolution(state, seen.attempt, 200, body)
                await actions.resolve(ACCOUNT, KEY, found, "op-1")

        start(resolve()).addErrback(lambda failure: failure.trap(ChivesaddleError))

    def close(self, daemon):
        return start(self.daemons[daemon].actions.close())

    def pause(self, daemon, seconds):
        gate = self.daemons[daemon].gate
        gate.paused = gate.was_paused = True
        self.clock.callLater(seconds, gate.resume)

    def kill(self, daemon):
        self.daemons[daemon].gate.killed = True

    def outage(self, seconds):
        self.api.faults.outage = True
        self.clock.callLater(seconds, setattr, self.api.faults, "outage", False)

    def slow(self, seconds):
        """Let every platform call take longer than its callers wait."""
        self.api.faults.delay_s = 3.0
        self.clock.callLater(seconds, setattr, self.api.faults, "delay_s", 0.0)

    def lose(self, fault):
        self.api.faults.writes.append(WriteFault(fault))

    def advance(self, seconds):
        # Small steps: the clock shows the end of a step to every call within it.
        for _ in range(round(4 * seconds)):
            self.clock.advance(0.25)

    def run_until_final(self, daemon=1, limit=120):
        """Ask again through ``daemon`` until the state cannot change by itself."""
        body = BODY
        for _ in range(limit):
            call = self.run(daemon, body=body)
            self.advance(10.5)
            if isinstance(call.answer, IdempotencyKeyReused):
                body = OTHER_BODY
                continue
            if call.answer.state.value in ("done", "in_doubt"):
                return call.answer
        raise AssertionError(f"still {call.answer}")

    def check(self):
        """Compare what every caller was told with the log of runs."""
        assert len(self.log) <= 1, f"ran {len(self.log)} times: {self.log}"
        for call in self.calls:
            if call.answer and getattr(call.answer, "state", None):
                if call.answer.state.value == "not_run":
                    assert call.number not in self.log, "told not_run, but it ran"
                if call.answer.state.value == "done":
                    assert call.answer.body == b"reserved 1"
            gate = call.daemon.gate
            if call.deadline < self.clock.seconds() and not gate.killed:
                assert call.answers or gate.paused, "no answer at the deadline"
                if not gate.was_paused:
                    assert call.answered_at <= call.deadline, "late answer"


@pytest.fixture(scope="session")
def make_world():
    return World


@pytest.fixture
def world():
    return World()
