"""Registers this daemon in the store, so that others find it."""

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.objects import ObjectApi, ObjectNotFound, VersionConflict
from chivesaddle.fleet import Member, Replica
from chivesaddle.fleet.members import MEMBERS_KIND

CALL_S = 1.0
RETRY_S = 0.5
# A lost registration is noticed at this interval.
CHECK_S = 5.0

log = PartLogger("registration")


class Registration:
    """Keeps this daemon's object in the store until it leaves.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of all deadlines.
    own : Member
        This daemon.
    replica : Replica
        Copy of all registrations.
    """

    def __init__(
        self, api: ObjectApi, clock: Clock, own: Member, replica: Replica
    ) -> None:
        self._api = api
        self._clock = clock
        self._own = own
        self._value = {
            "id": own.id,
            "incarnation": own.incarnation,
            "zone": own.zone,
            "callers": own.callers,
            "peers": own.peers,
        }
        self._replica = replica
        self._loop: Deferred[None] | None = None

    def start(self) -> None:
        """Start to register."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "registration ended"))

    def stop(self) -> None:
        """Stop registering; the object stays for the next start."""
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self) -> None:
        while True:
            pause = CHECK_S
            entry = self._replica.get(self._own.id)
            if entry is None or entry.value != self._value:
                try:
                    await self._write()
                except ChivesaddleError as error:
                    log.info("not registered", extra={"cause": str(error)})
                    pause = RETRY_S
            await sleep_until(self._clock, self._clock.seconds() + pause)

    async def _write(self) -> None:
        """Create the object, or replace the one of an earlier start."""
        name = self._own.id
        for _ in range(3):
            deadline = self._clock.seconds() + CALL_S
            try:
                await self._api.create(
                    MEMBERS_KIND, name, self._value, deadline=deadline
                )
                return
            except VersionConflict:
                pass
            try:
                known = await self._api.get(MEMBERS_KIND, name, deadline=deadline)
                if known.value != self._value:
                    await self._api.update(
                        MEMBERS_KIND,
                        name,
                        self._value,
                        version=known.version,
                        deadline=deadline,
                    )
                return
            except (ObjectNotFound, VersionConflict):
                continue


__all__ = ["Registration"]
