"""Lease in the object API: at most one holder that considers itself in time.

Safety argument, for clocks without drift: a holder counts its period from before it
sent the write, so the period ends before ``effect + TTL - margin``. Everyone else
counts the TTL from when it saw that version, which is after the effect, and replaces
exactly that version by a conditional update. The margin covers drift between clocks.
"""

import uuid
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder
from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, DelayedCall, log_failure, sleep_until, start
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.ids import FencingToken
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
    WriteOutcomeUnknown,
)

KIND = "leases"
TTL_S = 3.0
RENEW_S = 1.0
MARGIN_S = 0.5
RETRY_S = 0.5
# Two attempts fit between a renewal and the end of the holder's period (2.5 s).
CALL_S = 0.7

log = PartLogger("lease")


class LeaseState(Enum):
    """Where a lease stands in this process."""

    IDLE = "idle"
    ACQUIRING = "acquiring"
    HELD = "held"
    LAPSED = "lapsed"


class _Inputs(Protocol):
    def begin(self) -> None:
        """Start to acquire."""

    def gain(self) -> None:
        """A write of this holder took effect and its period is not over."""

    def lapse(self) -> None:
        """The holder's period is over without a renewal."""

    def lose(self) -> None:
        """Another holder was seen."""

    def end(self) -> None:
        """Stop."""


class _Core:
    """State shown outside; tells listeners when holding starts and ends."""

    def __init__(self) -> None:
        self.state = LeaseState.IDLE
        self.listeners: list[Callable[[bool], None]] = []

    def enter(self, state: LeaseState) -> None:
        before = self.state is LeaseState.HELD
        self.state = state
        after = state is LeaseState.HELD
        if before != after:
            for listener in list(self.listeners):
                listener(after)


def _build_machine() -> Callable[[_Core], _Inputs]:
    builder = TypeMachineBuilder(_Inputs, _Core)
    states = {state: builder.state(state.value) for state in LeaseState}
    moves: dict[Callable[..., None], dict[LeaseState, LeaseState]] = {
        _Inputs.begin: {LeaseState.IDLE: LeaseState.ACQUIRING},
        _Inputs.gain: dict.fromkeys(
            (LeaseState.ACQUIRING, LeaseState.HELD, LeaseState.LAPSED), LeaseState.HELD
        ),
        _Inputs.lapse: {LeaseState.HELD: LeaseState.LAPSED},
        _Inputs.lose: dict.fromkeys(
            (LeaseState.HELD, LeaseState.LAPSED), LeaseState.ACQUIRING
        ),
        _Inputs.end: dict.fromkeys(LeaseState, LeaseState.IDLE),
    }
    for method, target_by_source in moves.items():
        for source in LeaseState:
            # An input without a move is late, for example an answer after a stop.
            target = target_by_source.get(source, source)
            transition = states[source].upon(method).to(states[target])
            _enter(transition, target)
    return builder.build()


def _enter(transition: Callable, target: LeaseState) -> None:
    @transition
    def enter(_inputs: _Inputs, core: _Core) -> None:
        core.enter(target)


_machine = _build_machine()


class Lease:
    """A lease that this process tries to hold from `start` to `stop`.

    Parameters
    ----------
    api : ObjectApi
        The platform.
    clock : Clock
        Monotonic clock of this process.
    name : str
        Name of the lease.
    holder : str
        Name of this process. An incarnation is appended to it, so that a restarted
        process does not take its predecessor's lease for its own.
    incarnation : str or None
        Distinguishes processes of the same name; random by default.
    renew_s : float
        Seconds between renewals.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        name: str,
        holder: str,
        incarnation: str | None = None,
        renew_s: float = RENEW_S,
    ) -> None:
        self._renew_s = renew_s
        self._api = api
        self._clock = clock
        self.name = name
        self.holder = f"{holder}/{incarnation or uuid.uuid4().hex[:12]}"
        self._core = _Core()
        self._machine = _machine(self._core)
        self._loop: Deferred[None] | None = None
        self._releasing = False
        self._start_after_release = False
        self._timer: DelayedCall | None = None
        self._until = 0.0
        self._term = 0
        self._writes = 0
        self._own: StoredObject | None = None
        # Version that a write without an answer replaces, and when it was first sent.
        self._pending: tuple[int, float] | None = None
        self._seen_version = 0
        self._rival: StoredObject | None = None
        self._rival_until = 0.0

    @property
    def state(self) -> LeaseState:
        """State of the machine; decisions use `held_at`, which needs no timer."""
        return self._core.state

    @property
    def fencing_token(self) -> FencingToken:
        """Term of the last holding; 0 before the first."""
        return FencingToken(self._term)

    @property
    def renewed_at(self) -> float:
        """When the last write that took effect was sent, in seconds of the clock."""
        return self._until - TTL_S + MARGIN_S

    @property
    def version(self) -> int:
        """Version of the last own write, to be relayed to other candidates."""
        return self._own.version if self._own else 0

    def held_at(self, now: float) -> bool:
        """Tell whether this process may act as the holder at ``now``."""
        return self.state is LeaseState.HELD and now < self._until

    def add_listener(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener(held)`` whenever holding starts or ends."""
        self._core.listeners.append(listener)

    def observe(self, version: int, age_s: float = 0.0) -> None:
        """Take note of a version that the holder relayed.

        A candidate that hears from the holder does not need to read the platform. A
        repeated version counts again, because the holder relays it only while it holds.

        Parameters
        ----------
        version : int
            Version of the holder's last write.
        age_s : float
            Seconds since the holder sent that write.
        """
        if self._own is None and version >= self._seen_version:
            self._seen_version = version
            until = self._clock.seconds() - age_s + TTL_S
            self._rival_until = max(self._rival_until, until)

    def start(self) -> None:
        """Start to acquire and then renew.

        While a `stop` is still releasing, the start waits for it: the release would
        otherwise give away what was just acquired again.
        """
        if self._releasing:
            self._start_after_release = True
            return
        if self._loop is not None:
            return
        self._machine.begin()
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, f"lease {self.name} failed"))

    async def stop(self, *, release: bool = True) -> None:
        """Stop acting at once, then release the lease if possible.

        If the platform cannot be reached, or without ``release``, the lease expires by
        itself.
        """
        self._start_after_release = False
        loop, self._loop = self._loop, None
        if loop is None:
            return
        may_hold = self._own is not None or self._pending is not None
        self._until = 0.0
        self._cancel_timer()
        self._machine.end()
        loop.cancel()
        if release and (may_hold or self._pending is not None):
            self._releasing = True
            try:
                await self._release()
            finally:
                self._releasing = False
        self._own = None
        if self._start_after_release:
            self._start_after_release = False
            self.start()

    async def _run(self) -> None:
        while True:
            await sleep_until(self._clock, await self._step())

    async def _step(self) -> float:
        """Acquire or renew once; return when to do it again."""
        now = self._clock.seconds()
        if self._own is None and now < self._rival_until:
            return self._rival_until
        try:
            if self._own is None or self._pending is not None:
                await self._look()
            await self._claim()
        except VersionConflict:
            # The next step's read shows whose write came first.
            self._own = None
            return self._clock.seconds()
        except ObjectNotFound:
            self._forget()
            return now + RETRY_S
        except (PlatformUnavailable, DeadlineExceeded, WriteOutcomeUnknown) as error:
            log.info("lease %s: %s", self.name, error)
            return max(now + RETRY_S, self._clock.seconds())
        return now + self._renew_s if self._own else max(self._rival_until, now + 0.01)

    async def _look(self) -> None:
        """Read the lease and learn the outcome of a write without an answer."""
        deadline = self._clock.seconds() + CALL_S
        try:
            item = await self._api.get(KIND, self.name, deadline=deadline)
        except ObjectNotFound:
            self._forget()
            return
        if item.value["holder"] == self.holder:
            self._learn_own(item)
        else:
            self._learn_rival(item)

    def _learn_own(self, item: StoredObject) -> None:
        pending = self._pending
        if pending is not None and item.version != pending[0]:
            self._pending = None
            self._extend(item, pending[1])
        self._own = item
        self._term = int(item.value["term"])

    def _learn_rival(self, item: StoredObject) -> None:
        if self._pending is not None and item.version != self._pending[0]:
            self._pending = None
        self._own = None
        self._machine.lose()
        now = self._clock.seconds()
        if item.version != self._seen_version:
            self._rival_until = now + int(item.value["ttl_ms"]) / 1_000
        if not item.value["holder"]:
            self._rival_until = now
        self._seen_version = item.version
        self._rival = item

    def _forget(self) -> None:
        self._own = None
        self._rival = None
        self._seen_version = 0
        self._rival_until = 0.0
        self._machine.lose()

    async def _claim(self) -> None:
        """Renew the own lease, or take a free or expired one."""
        if self._own is not None:
            await self._write(self._own.version, self._term)
        elif self._rival is None:
            await self._write(0, 1)
        elif self._clock.seconds() >= self._rival_until:
            await self._write(self._rival.version, int(self._rival.value["term"]) + 1)

    async def _write(self, version: int, term: int) -> None:
        """Write this holder over ``version``; 0 creates the object."""
        sent = self._clock.seconds()
        before = self._pending
        if before is None or before[0] != version:
            self._pending = (version, sent)
        try:
            item = await self._put(version, self.holder, term, sent + CALL_S)
        except (PlatformUnavailable, VersionConflict, ObjectNotFound):
            self._pending = before
            raise
        self._pending = None
        self._own = item
        self._term = term
        self._extend(item, sent)

    async def _put(
        self, version: int, holder: str, term: int, deadline: float
    ) -> StoredObject:
        # A write that changes nothing keeps the version, and others would take the
        # lease for lapsed, so each write differs from the one before.
        self._writes += 1
        value = {
            "holder": holder,
            "term": term,
            "ttl_ms": int(TTL_S * 1_000),
            "write": self._writes,
        }
        if version == 0:
            return await self._api.create(KIND, self.name, value, deadline=deadline)
        return await self._api.update(
            KIND, self.name, value, version=version, deadline=deadline
        )

    def _extend(self, item: StoredObject, sent: float) -> None:
        """Count the holder's period from ``sent``, before the write was sent."""
        self._seen_version = item.version
        self._term = int(item.value["term"])
        self._until = max(self._until, sent + TTL_S - MARGIN_S)
        self._cancel_timer()
        now = self._clock.seconds()
        if now >= self._until:
            self._machine.lapse()
            return
        self._machine.gain()
        self._timer = self._clock.callLater(self._until - now, self._machine.lapse)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    async def _release(self) -> None:
        # The second attempt covers a renewal that took effect after the first read.
        for _ in range(2):
            deadline = self._clock.seconds() + CALL_S
            try:
                item = await self._api.get(KIND, self.name, deadline=deadline)
                if item.value["holder"] != self.holder:
                    return
                term = int(item.value["term"])
                await self._put(item.version, "", term, deadline + CALL_S)
                self._pending = None
                return
            except (ObjectNotFound, PlatformUnavailable, CancelledError):
                return
            except (VersionConflict, WriteOutcomeUnknown, DeadlineExceeded):
                continue


__all__ = ["KIND", "MARGIN_S", "RENEW_S", "TTL_S", "Lease", "LeaseState"]
