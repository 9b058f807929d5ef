"""Simulated daemons that can be paused or killed at each step, and a fake service.

The service logs its runs, and tests compare the results of callers with that log.
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
from chivesaddle.objects.memory import MemoryObjectApi, WriteFault

ACCOUNT, KEY = "acc-1", "key-1"
BODY, OTHER_BODY = b'{"seat": 7}', b'{"seat": 8}'
SERVICE = Service(
    id="booking",
    urls=("http://booking",),
    operations=(Operation(name="reserve"), Operation(name="check", repeatable=True)),
)
CALL = contextvars.ContextVar("call", default=None)


class PauseGate:
    """Blocks one daemon at its steps while paused, and permanently once killed."""

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
    """Object API of one daemon; waits at its gate before and after each call."""

    def __init__(self, cluster, gate):
        self._cluster = cluster
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
            "read", lambda: self._cluster.api.get(kind, name, deadline=deadline)
        )

    async def create(self, kind, name, value, *, deadline):
        api = self._cluster.api
        return await self._call(
            value["state"], lambda: api.create(kind, name, value, deadline=deadline)
        )

    async def update(self, kind, name, value, *, version, deadline):
        api = self._cluster.api
        return await self._call(
            value["state"],
            lambda: api.update(kind, name, value, version=version, deadline=deadline),
        )


class FakeService:
    """In-memory service; adds the number of the call to the log at each run."""

    def __init__(self, cluster, gate):
        self._cluster = cluster
        self._gate = gate

    async def send(self, url, operation, body, deadline):
        cluster = self._cluster
        write_deadline = cluster.clock.seconds() + CONNECT_WITHIN_S
        await self._gate.at(("send", "before"))
        if cluster.clock.seconds() >= write_deadline:
            raise NotSent("paused while connecting")
        fault = cluster.service_faults.pop(0) if cluster.service_faults else None
        if fault == "refused":
            raise NotSent("refused")
        if fault == "broken_before_run":
            raise OutcomeUnknown("broken")
        cluster.log.append(CALL.get())
        outcome = Outcome(200, b"reserved %d" % len(cluster.log))
        if fault == "silent":
            await self._until(deadline, deadline + 1)
        if fault == "slow":
            await self._until(deadline, cluster.clock.seconds() + 20)
        await self._gate.at(("send", "after"))
        if fault == "broken_after_run":
            raise OutcomeUnknown("broken")
        return outcome

    async def _until(self, deadline, time):
        clock = DaemonClock(self._cluster.clock, self._gate)
        try:
            await with_deadline(clock, deadline, sleep_until(clock, time), "send")
        except DeadlineExceeded:
            raise OutcomeUnknown("silent") from None


@dataclass
class Daemon:
    gate: PauseGate
    actions: ActionService


@dataclass
class ClientCall:
    """One call of ``run`` and the result that its caller received."""

    number: int
    daemon: Daemon
    deadline: float
    answers: list = field(default_factory=list)
    answered_at: float | None = None

    @property
    def answer(self):
        return self.answers[0] if self.answers else None


class SimulatedCluster:
    """One platform, one service and several daemons on a virtual clock."""

    def __init__(self, daemons=2):
        self.clock = Clock()
        self.api = MemoryObjectApi(self.clock)
        self.service_faults = []
        self.log = []
        self.calls = []
        self.daemons = [self._daemon(f"daemon-{n}") for n in range(daemons)]

    def _daemon(self, name):
        gate = PauseGate()
        actions = ActionService(
            GatedApi(self, gate),
            FakeService(self, gate),
            DaemonClock(self.clock, gate),
            name,
            {"booking": SERVICE}.get,
            random=Random(1),
        )
        return Daemon(gate, actions)

    def run_with_other_body(self, daemon):
        return self.run(daemon, body=OTHER_BODY)

    def run(self, daemon=0, within=10.0, key=KEY, body=BODY, operation="reserve"):
        """Start a call of ``run`` and return it."""
        deadline = self.clock.seconds() + within
        call = ClientCall(len(self.calls), self.daemons[daemon], deadline)
        self.calls.append(call)

        def record_result(result):
            call.answers.append(getattr(result, "value", result))
            call.answered_at = self.clock.seconds()

        token = CALL.set(call.number)
        work = call.daemon.actions.run(
            ACCOUNT, key, "booking", operation, body, deadline
        )
        start(work).addBoth(record_result)
        CALL.reset(token)
        return call

    def resolve_from_log(self, daemon=1):
        """Look the action up and, if it is in doubt, resolve it as the log shows."""
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
        """Delay platform calls beyond the 2 s timeout of their callers."""
        self.api.faults.delay_s = 3.0
        self.clock.callLater(seconds, setattr, self.api.faults, "delay_s", 0.0)

    def add_write_fault(self, fault):
        self.api.faults.writes.append(WriteFault(fault))

    def advance(self, seconds):
        # Steps are small because all calls within a step see the time of its end.
        for _ in range(round(4 * seconds)):
            self.clock.advance(0.25)

    def run_until_final(self, daemon=1, limit=120):
        """Retry through ``daemon`` until the action is done or in doubt."""
        body = BODY
        for _ in range(limit):
            call = self.run(daemon, body=body)
            self.advance(10.5)
            if isinstance(call.answer, IdempotencyKeyReused):
                body = OTHER_BODY
                continue
            if call.answer.state.value in ("done", "in_doubt"):
                return call.answer
        raise AssertionError(f"no final state: {call.answer}")

    def check(self):
        """Compare the result of every call with the log of runs."""
        assert len(self.log) <= 1, f"ran {len(self.log)} times: {self.log}"
        for call in self.calls:
            if call.answer and getattr(call.answer, "state", None):
                if call.answer.state.value == "not_run":
                    assert call.number not in self.log, (
                        "result was not_run, but the call ran"
                    )
                if call.answer.state.value == "done":
                    assert call.answer.body == b"reserved 1"
            gate = call.daemon.gate
            if call.deadline < self.clock.seconds() and not gate.killed:
                assert call.answers or gate.paused, "no answer at the deadline"
                if not gate.was_paused:
                    assert call.answered_at <= call.deadline, "late answer"


@pytest.fixture(scope="session")
def make_cluster():
    return SimulatedCluster


@pytest.fixture
def cluster():
    return SimulatedCluster()
