"""Registers this daemon in the store, so that other daemons can find it."""

import random

import msgspec
from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, log_failure, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import ObjectApi, ObjectNotFound, VersionConflict
from chivesaddle.fleet import Entry, Member, Replica
from chivesaddle.fleet.members import MEMBERS_KIND
from chivesaddle.objects import StoreEra

CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.5
# Interval between checks that the registration is still in the store.
CHECK_INTERVAL_S = 5.0
# After the store returned from a copy, daemons check at different times within this, so
# that they do not all write at once.
MAX_RECHECK_DELAY_S = 1.0

log = ComponentLogger("registration")


class Registration:
    """Keeps this daemon's registration in the store until it leaves.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of intervals and deadlines.
    own : Member
        This daemon.
    replica : Replica
        Replica of all registrations.
    era : StoreEra
        Era of the store, which may lose the registration when it rises.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        own: Member,
        replica: Replica,
        era: StoreEra,
    ) -> None:
        self._api = api
        self._clock = clock
        self._own = own
        self._registration = msgspec.to_builtins(own)
        self._replica = replica
        self._random = random.Random()
        self._loop: Deferred[None] | None = None
        self._next_check: Deferred[None] | None = None
        replica.add_listener(self._handle_change)
        era.add_listener(self._check_soon)

    def start(self) -> None:
        """Start registering."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "registration ended"))

    def stop(self) -> None:
        """Stop registering; the registration stays in the store for the next start."""
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self) -> None:
        while True:
            delay_s = CHECK_INTERVAL_S
            entry = self._replica.get(self._own.id)
            if entry is None or entry.value != self._registration:
                try:
                    await self._create_or_replace()
                except ChivesaddleError as error:
                    log.info("registration failed", extra={"cause": str(error)})
                    delay_s = RETRY_DELAY_S
                except CancelledError:
                    raise
                except Exception as error:
                    log.error("registration failed", exc_info=error)
                    delay_s = CHECK_INTERVAL_S
            self._next_check = Deferred()
            timer = self._clock.callLater(delay_s, _fire, self._next_check)
            try:
                await self._next_check
            finally:
                if timer.active():
                    timer.cancel()

    def _handle_change(self, entry: Entry) -> None:
        if entry.name == self._own.id and entry.value != self._registration:
            self._check_soon()

    def _check_soon(self) -> None:
        if self._loop is not None and self._next_check is not None:
            delay_s = self._random.uniform(0.0, MAX_RECHECK_DELAY_S)
            self._clock.callLater(delay_s, _fire, self._next_check)

    async def _create_or_replace(self) -> None:
        """Create the registration, or replace the one of an earlier incarnation."""
        name = self._own.id
        for _ in range(3):
            deadline = self._clock.seconds() + CALL_TIMEOUT_S
            try:
                await self._api.create(
                    MEMBERS_KIND, name, self._registration, deadline=deadline
                )
                return
            except VersionConflict:
                pass
            try:
                stored = await self._api.get(MEMBERS_KIND, name, deadline=deadline)
                if stored.value != self._registration:
                    await self._api.update(
                        MEMBERS_KIND,
                        name,
                        self._registration,
                        version=stored.version,
                        deadline=deadline,
                    )
                return
            except (ObjectNotFound, VersionConflict):
                continue


def _fire(waiting: "Deferred[None]") -> None:
    if not waiting.called:
        waiting.callback(None)


__all__ = ["Registration"]
