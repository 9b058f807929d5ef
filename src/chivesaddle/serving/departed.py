"""Removes what daemons that are gone for good have left in the store.

Registrations stay in the store when a daemon stops, since most daemons return. Those of
replaced instances would stay forever, and every daemon counts them as its peers.
"""

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import ObjectApi, ObjectNotFound, StoredObject
from chivesaddle.fleet import Member, Members
from chivesaddle.fleet.members import MEMBERS_KIND
from chivesaddle.serving.origin_record import STREAMS_KIND
from chivesaddle.serving.stored_crashes import CRASHES_KIND

# In the largest fleets, a daemon without callers is heard of every few minutes only.
# One that is removed by mistake registers again at once.
DEPARTED_AFTER_S = 600.0
CALL_TIMEOUT_S = 1.0
# At most one registration is removed per step.
STEP_INTERVAL_S = 10.0

log = ComponentLogger("registration")


class DepartedMembers:
    """Removes old registrations, on the daemon that holds the lease for orders.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of all times.
    members : Members
        Registrations, and when each daemon was last seen.
    """

    def __init__(self, api: ObjectApi, clock: Clock, members: Members) -> None:
        self._api = api
        self._clock = clock
        self._members = members
        self._next_step_at = 0.0

    async def step(self, may_remove: bool) -> None:
        """Remove one registration if one is due; call about once a second.

        ``may_remove`` is false on a daemon that does not hold the lease.
        """
        now = self._clock.seconds()
        if not may_remove or now < self._next_step_at:
            return
        self._next_step_at = now + STEP_INTERVAL_S
        for member in self._members.peers():
            if self._members.unseen_s(member.id) > DEPARTED_AFTER_S:
                await self._remove(member)
                return

    async def _remove(self, member: Member) -> None:
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        try:
            item = await self._api.get(MEMBERS_KIND, member.id, deadline=deadline)
            value = item.value if isinstance(item.value, dict) else {}
            if value.get("incarnation") != member.incarnation:
                return
            await self._delete(item, deadline)
        except ObjectNotFound:
            return
        except ChivesaddleError as error:
            log.info(
                "registration not removed",
                extra={"peer": member.id, "cause": str(error)},
            )
            return
        log.info("registration removed", extra={"peer": member.id})
        for kind in (STREAMS_KIND, CRASHES_KIND):
            await self._remove_record(kind, member)

    async def _remove_record(self, kind: str, member: Member) -> None:
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        try:
            item = await self._api.get(kind, member.id, deadline=deadline)
            await self._delete(item, deadline)
        except ObjectNotFound:
            return
        except ChivesaddleError as error:
            log.info(
                f"record of {kind} not removed",
                extra={"peer": member.id, "cause": str(error)},
            )

    async def _delete(self, item: StoredObject, deadline: float) -> None:
        await self._api.delete(
            item.kind, item.name, version=item.version, deadline=deadline
        )


__all__ = ["DepartedMembers"]
