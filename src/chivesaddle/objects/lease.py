"""Lease stored in the object API: at most one process acts as the holder at a time.

Safety argument, for clocks without drift: a holder counts its held period from before
it sends a write, so the period ends before the time at which the write took effect plus
the TTL minus the margin. Every other process counts the TTL from when it saw the
written version, which is after the write took effect, and then replaces exactly that
version by a conditional update. The margin covers drift between clocks.

If the store returns from an older copy, the record may be gone or name an earlier
holder. Then no process takes the lease as held, and each waits for one TTL after it
learned of the new era, during which a holder that has not learned of it may still act.
"""

import uuid
from collections.abc import Callable
from enum import Enum
from typing import Annotated, Protocol

import msgspec
from automat import TypeMachineBuilder
from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, DelayedCall, log_failure, sleep_until, start
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.ids import FencingToken
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
    WriteOutcomeUnknown,
    era_of,
)
from chivesaddle.objects.era import StoreEra

LEASES_KIND = "leases"
TTL_S = 3.0
RENEW_INTERVAL_S = 1.0
CLOCK_DRIFT_MARGIN_S = 0.5
RETRY_INTERVAL_S = 0.5
# Allows two renewal attempts, the first one 1 s after the last renewal, before the held
# period of 2.5 s ends.
CALL_TIMEOUT_S = 0.7

log = ComponentLogger("lease")


# A record of another writer may name any time, after which it is replaced.
MAX_TTL_MS = 60_000
# Holders count up from the highest known term, so that one of another writer must leave
# room below the numbers that JSON carries exactly everywhere.
MAX_TERM = 2**52
MAX_CAUSE_CHARACTERS = 200
# More than are taken until the store next returns from a copy: terms are at least
# `TTL_S` apart.
TERMS_PER_ERA = 1 << 20
# Keeps terms below `MAX_TERM`, whatever era a store names.
MAX_ERA_IN_TERM = 1 << 31


class _Record(msgspec.Struct):
    """Value of a lease; the holder is empty if nobody holds it."""

    holder: str
    term: Annotated[int, msgspec.Meta(ge=0, le=MAX_TERM)]
    ttl_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TTL_MS)]


def _read_record(item: StoredObject, highest_term: int) -> _Record:
    """Decode a record.

    An unreadable one counts as that of an unknown holder in the highest known term. It
    is replaced after one lease period, as that of a holder that has ended.
    """
    try:
        return msgspec.convert(item.value, _Record)
    except (ValueError, RecursionError) as error:
        log.warning(
            "unreadable record of lease %s: %s",
            item.name,
            str(error)[:MAX_CAUSE_CHARACTERS],
        )
        return _Record("unknown", highest_term, int(TTL_S * 1_000))


class LeaseState(Enum):
    """State of a lease in this process."""

    IDLE = "idle"
    ACQUIRING = "acquiring"
    HELD = "held"
    LAPSED = "lapsed"


class _Inputs(Protocol):
    def on_start(self) -> None:
        """The process starts to acquire the lease."""

    def on_own_write(self) -> None:
        """A write of this holder took effect and its held period has not ended."""

    def on_expiry(self) -> None:
        """The held period ended without a renewal."""

    def on_other_holder(self) -> None:
        """The record on the platform names another holder or does not exist."""

    def on_stop(self) -> None:
        """The process no longer holds or acquires the lease."""


class _MachineCore:
    """Current state; notifies listeners when the lease becomes held or not held."""

    def __init__(self) -> None:
        self.state = LeaseState.IDLE
        self.listeners: list[Callable[[bool], None]] = []

    def set_state(self, state: LeaseState) -> None:
        was_held = self.state is LeaseState.HELD
        self.state = state
        is_held = state is LeaseState.HELD
        if was_held != is_held:
            for listener in list(self.listeners):
                listener(is_held)


def _build_machine() -> Callable[[_MachineCore], _Inputs]:
    builder = TypeMachineBuilder(_Inputs, _MachineCore)
    states = {state: builder.state(state.value) for state in LeaseState}
    transitions_by_input: dict[Callable[..., None], dict[LeaseState, LeaseState]] = {
        _Inputs.on_start: {LeaseState.IDLE: LeaseState.ACQUIRING},
        _Inputs.on_own_write: dict.fromkeys(
            (LeaseState.ACQUIRING, LeaseState.HELD, LeaseState.LAPSED), LeaseState.HELD
        ),
        _Inputs.on_expiry: {LeaseState.HELD: LeaseState.LAPSED},
        _Inputs.on_other_holder: dict.fromkeys(
            (LeaseState.HELD, LeaseState.LAPSED), LeaseState.ACQUIRING
        ),
        _Inputs.on_stop: dict.fromkeys(LeaseState, LeaseState.IDLE),
    }
    for input_method, target_by_source in transitions_by_input.items():
        for source in LeaseState:
            # Inputs without a transition arrive late, for example a response after a
            # stop, and leave the state unchanged.
            target = target_by_source.get(source, source)
            transition = states[source].upon(input_method).to(states[target])
            _set_state_on(transition, target)
    return builder.build()


def _set_state_on(transition: Callable, target: LeaseState) -> None:
    @transition
    def set_state(_inputs: _Inputs, core: _MachineCore) -> None:
        core.set_state(target)


_machine = _build_machine()


class Lease:
    """A lease that this process tries to hold from `start` to `stop`.

    Parameters
    ----------
    api : ObjectApi
        Object API of the platform.
    clock : Clock
        Monotonic clock of this process.
    name : str
        Name of the lease.
    holder : str
        Name of this process. An incarnation is appended to it, so that a restarted
        process does not treat the lease of the previous process as its own.
    incarnation : str or None
        Distinguishes processes with the same name; random by default.
    renew_s : float
        Seconds between renewals.
    era : StoreEra or None
        Era of the store behind ``api``; None if the store never loses writes.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        name: str,
        holder: str,
        incarnation: str | None = None,
        renew_s: float = RENEW_INTERVAL_S,
        era: StoreEra | None = None,
    ) -> None:
        self._renew_s = renew_s
        self._era = era or StoreEra(clock)
        self._era.add_listener(self._handle_new_era)
        self._api = api
        self._clock = clock
        self.name = name
        self._process = f"{holder}/{incarnation or uuid.uuid4().hex[:12]}"
        self.holder = self._process
        self._core = _MachineCore()
        self._machine = _machine(self._core)
        self._loop: Deferred[None] | None = None
        self._is_releasing = False
        self._start_after_release = False
        self._expiry_timer: DelayedCall | None = None
        self._held_until = 0.0
        self._term = 0
        self._highest_term = 0
        # Before this time the lease is not acquired, whatever the record says.
        self._acquire_not_before = 0.0
        self._has_read_store = False
        self._write_count = 0
        self._own_record: StoredObject | None = None
        # Version that a write without a response replaces, and when it was first sent.
        self._unconfirmed_write: tuple[int, float] | None = None
        self._last_seen_version = 0
        self._other_record: StoredObject | None = None
        self._other_expires_at = 0.0

    @property
    def state(self) -> LeaseState:
        """State in this process; its timer may be late, so decide by `is_held_at`."""
        return self._core.state

    @property
    def fencing_token(self) -> FencingToken:
        """Term in which the lease was last held; 0 before the first."""
        return FencingToken(self._term)

    @property
    def highest_term(self) -> int:
        """Highest term known of any holder, which no later holder goes back behind."""
        return self._highest_term

    def observe_term(self, term: int) -> None:
        """Record a term that another process knows of."""
        if term <= MAX_TERM:
            self._highest_term = max(self._highest_term, term)

    @property
    def renewed_at(self) -> float:
        """When the last write that took effect was sent, in seconds of the clock."""
        return self._held_until - TTL_S + CLOCK_DRIFT_MARGIN_S

    @property
    def version(self) -> int:
        """Version of the last write of this holder, for relaying to candidates."""
        return self._own_record.version if self._own_record else 0

    def is_held_at(self, now: float) -> bool:
        """Return whether this process may act as the holder at ``now``."""
        return self.state is LeaseState.HELD and now < self._held_until

    def add_listener(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener(held)`` whenever the lease becomes held or not held."""
        self._core.listeners.append(listener)

    def record_relayed_version(self, version: int, age_s: float = 0.0) -> None:
        """Record a version that the holder relayed.

        A candidate with a recently relayed version does not need to read the platform.
        A repeated version postpones the expiry again, because the holder relays it only
        while it holds the lease.

        Parameters
        ----------
        version : int
            Version of the holder's last write.
        age_s : float
            Seconds since the holder sent that write.
        """
        if self._own_record is None and version >= self._last_seen_version:
            self._last_seen_version = version
            expires_at = self._clock.seconds() - age_s + TTL_S
            self._other_expires_at = max(self._other_expires_at, expires_at)

    def _handle_new_era(self) -> None:
        """Give up the lease and wait until any other holder has stopped acting."""
        self._held_until = 0.0
        self._cancel_expiry_timer()
        self._own_record = None
        self._other_record = None
        self._unconfirmed_write = None
        self._last_seen_version = 0
        self._acquire_not_before = self._clock.seconds() + TTL_S
        self._other_expires_at = max(self._other_expires_at, self._acquire_not_before)
        # A record of an earlier era that names this process is not its own any more.
        self.holder = f"{self._process}.{self._era.current}"
        self._machine.on_expiry()
        self._machine.on_other_holder()

    def start(self) -> None:
        """Start to acquire and then renew the lease.

        While an earlier `stop` is still releasing the lease, the start is deferred.
        Otherwise the release could clear a lease that was just reacquired.
        """
        if self._is_releasing:
            self._start_after_release = True
            return
        if self._loop is not None:
            return
        self._machine.on_start()
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, f"lease {self.name} failed"))

    async def stop(self, *, release: bool = True) -> None:
        """Give up the lease locally at once, then release it if possible.

        If the platform cannot be reached, or ``release`` is false, other processes can
        acquire the lease only after it expires.
        """
        self._start_after_release = False
        loop, self._loop = self._loop, None
        if loop is None:
            return
        may_hold_record = (
            self._own_record is not None or self._unconfirmed_write is not None
        )
        self._held_until = 0.0
        self._cancel_expiry_timer()
        self._machine.on_stop()
        loop.cancel()
        if release and (may_hold_record or self._unconfirmed_write is not None):
            self._is_releasing = True
            try:
                await self._clear_holder()
            finally:
                self._is_releasing = False
        self._own_record = None
        if self._start_after_release:
            self._start_after_release = False
            self.start()

    async def _run(self) -> None:
        while True:
            try:
                next_at = await self._step()
            except CancelledError:
                raise
            except Exception as error:
                log.error("step of lease %s failed", self.name, exc_info=error)
                next_at = self._clock.seconds() + RETRY_INTERVAL_S
            await sleep_until(self._clock, next_at)

    async def _step(self) -> float:
        """Try to acquire or renew once; return the time of the next attempt."""
        now = self._clock.seconds()
        if self._own_record is None and now < self._other_expires_at:
            return self._other_expires_at
        try:
            if self._own_record is None or self._unconfirmed_write is not None:
                await self._read_record()
            await self._renew_or_acquire()
        except VersionConflict:
            # The read of the next step shows which write came first.
            self._own_record = None
            return self._clock.seconds()
        except ObjectNotFound:
            self._reset_record()
            return now + RETRY_INTERVAL_S
        except (PlatformUnavailable, DeadlineExceeded, WriteOutcomeUnknown) as error:
            log.info("failed to acquire or renew lease %s: %s", self.name, error)
            return max(now + RETRY_INTERVAL_S, self._clock.seconds())
        return (
            now + self._renew_s
            if self._own_record
            else max(self._other_expires_at, now + 0.01)
        )

    async def _read_record(self) -> None:
        """Read the record; this resolves the outcome of a write without a response."""
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        try:
            item = await self._api.get(LEASES_KIND, self.name, deadline=deadline)
        except ObjectNotFound:
            self._record_first_read()
            self._reset_record()
            return
        self._record_first_read()
        self._check_era(item)
        record = _read_record(item, self._highest_term)
        if record.holder == self.holder:
            self._handle_own_record(item, record)
        else:
            self._handle_other_record(item, record)

    def _record_first_read(self) -> None:
        """Wait for holders of whom the store may know nothing any more.

        A process that starts after the store returned from a copy cannot tell whether a
        record is missing, or older than the newest one, for that reason.
        """
        if not self._has_read_store and self._era.current:
            not_before = self._clock.seconds() + TTL_S
            self._acquire_not_before = max(self._acquire_not_before, not_before)
        self._has_read_store = True

    def _next_term(self) -> int:
        """Return a term above those of all earlier eras, and all that are known."""
        era = min(self._era.current, MAX_ERA_IN_TERM)
        return max(self._highest_term, era * TERMS_PER_ERA) + 1

    def _handle_own_record(self, item: StoredObject, record: _Record) -> None:
        unconfirmed = self._unconfirmed_write
        if unconfirmed is not None and item.version != unconfirmed[0]:
            self._unconfirmed_write = None
            self._extend_held_period(item, unconfirmed[1])
        self._own_record = item
        self._term = record.term
        self.observe_term(self._term)

    def _handle_other_record(self, item: StoredObject, record: _Record) -> None:
        if (
            self._unconfirmed_write is not None
            and item.version != self._unconfirmed_write[0]
        ):
            self._unconfirmed_write = None
        self._own_record = None
        self.observe_term(record.term)
        self._machine.on_other_holder()
        now = self._clock.seconds()
        if item.version != self._last_seen_version:
            self._other_expires_at = now + record.ttl_ms / 1_000
        if not record.holder:
            self._other_expires_at = max(now, self._acquire_not_before)
        self._last_seen_version = item.version
        self._other_record = item

    def _reset_record(self) -> None:
        self._own_record = None
        self._other_record = None
        self._last_seen_version = 0
        self._other_expires_at = self._acquire_not_before
        self._machine.on_other_holder()

    async def _renew_or_acquire(self) -> None:
        """Renew the lease if held, or acquire it if it is free or expired."""
        if self._own_record is not None:
            await self._write_own_record(self._own_record.version, self._term)
        elif self._clock.seconds() >= self._other_expires_at:
            version = self._other_record.version if self._other_record else 0
            await self._write_own_record(version, self._next_term())

    async def _write_own_record(self, version: int, term: int) -> None:
        """Write this holder if the record has ``version``; 0 creates the record."""
        sent_at = self._clock.seconds()
        previous_write = self._unconfirmed_write
        era = self._era.current
        if previous_write is None or previous_write[0] != version:
            self._unconfirmed_write = (version, sent_at)
        try:
            item = await self._put_record(
                version, self.holder, term, sent_at + CALL_TIMEOUT_S
            )
        except (PlatformUnavailable, VersionConflict, ObjectNotFound):
            if self._era.current == era:
                self._unconfirmed_write = previous_write
            raise
        if self._era.current != era:
            raise VersionConflict("The store returned from a copy during the write")
        self._unconfirmed_write = None
        self._own_record = item
        self._term = term
        self.observe_term(term)
        self._extend_held_period(item, sent_at)

    async def _put_record(
        self, version: int, holder: str, term: int, deadline: float
    ) -> StoredObject:
        # A write with an unchanged value keeps the version, and candidates would treat
        # the lease as expired, so each write has a different value.
        self._write_count += 1
        value = {
            "holder": holder,
            "term": term,
            "ttl_ms": int(TTL_S * 1_000),
            "write": self._write_count,
        }
        if version == 0:
            return await self._api.create(
                LEASES_KIND, self.name, value, deadline=deadline
            )
        return await self._api.update(
            LEASES_KIND, self.name, value, version=version, deadline=deadline
        )

    def _check_era(self, item: StoredObject) -> None:
        """Refuse a response that was sent before the store returned from a copy."""
        if era_of(item.version) < self._era.current:
            raise PlatformUnavailable("The lease was read before the store returned")

    def _extend_held_period(self, item: StoredObject, sent_at: float) -> None:
        """Extend the held period; it counts from ``sent_at``, before the write."""
        self._last_seen_version = item.version
        self._term = _read_record(item, self._term).term
        self._held_until = max(self._held_until, sent_at + TTL_S - CLOCK_DRIFT_MARGIN_S)
        self._cancel_expiry_timer()
        now = self._clock.seconds()
        if now >= self._held_until:
            self._machine.on_expiry()
            return
        self._machine.on_own_write()
        self._expiry_timer = self._clock.callLater(
            self._held_until - now, self._machine.on_expiry
        )

    def _cancel_expiry_timer(self) -> None:
        if self._expiry_timer is not None and self._expiry_timer.active():
            self._expiry_timer.cancel()
        self._expiry_timer = None

    async def _clear_holder(self) -> None:
        # The second attempt covers a renewal that takes effect after the first read.
        for _ in range(2):
            deadline = self._clock.seconds() + CALL_TIMEOUT_S
            try:
                item = await self._api.get(LEASES_KIND, self.name, deadline=deadline)
                record = _read_record(item, self._highest_term)
                if record.holder != self.holder:
                    return
                await self._put_record(
                    item.version, "", record.term, deadline + CALL_TIMEOUT_S
                )
                self._unconfirmed_write = None
                return
            except (ObjectNotFound, PlatformUnavailable, CancelledError):
                return
            except (VersionConflict, WriteOutcomeUnknown, DeadlineExceeded):
                continue


__all__ = [
    "CLOCK_DRIFT_MARGIN_S",
    "LEASES_KIND",
    "RENEW_INTERVAL_S",
    "TTL_S",
    "Lease",
    "LeaseState",
]
