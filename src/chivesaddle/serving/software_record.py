"""Which software versions each service has, in the platform's store.

Daemons know from the list of servers, and from each other, which versions have left.
After all of them have lost power, only the record tells that streams may have begun at
a version that is no longer listed.
"""

from collections.abc import Callable, Collection
from typing import Annotated

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    StoredObject,
    VersionConflict,
)
from chivesaddle.objects import StoreEra
from chivesaddle.placement import SoftwareHistory

SOFTWARE_KIND = "software"
CALL_TIMEOUT_S = 1.0
MAX_NAME_CHARACTERS = 1_024

log = ComponentLogger("software")


class _Record(msgspec.Struct):
    versions: list[Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]]


class SoftwareRecord:
    """Keeps one object a service, written by the daemon that holds the lease.

    Versions are removed from the record as late as from `SoftwareHistory`.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of deadlines.
    software : SoftwareHistory
        Versions that this daemon knows; gets those of the record.
    services : callable
        Returns the services with streams that callers may resume.
    era : StoreEra
        Era of the store, which may lose writes when it rises.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        software: SoftwareHistory,
        services: Callable[[], Collection[ServiceId]],
        era: StoreEra,
    ) -> None:
        self._api = api
        self._clock = clock
        self._software = software
        self._services = services
        self._stored_by_service: dict[ServiceId, StoredObject] = {}
        self._is_stale = True
        era.add_listener(self._forget)

    async def load(self) -> None:
        """Read the record; raises `ChivesaddleError` if the store does not answer."""
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        try:
            listed = await self._api.list_objects(SOFTWARE_KIND, deadline=deadline)
            stored = list(listed.items_by_name.values())
        except ObjectNotFound:
            stored = []
        self._stored_by_service.clear()
        for item in stored:
            self._apply(item)
        self._is_stale = False

    async def step(self, may_write: bool) -> None:
        """Write one service's versions if they changed; call about once a second.

        ``may_write`` is false on a daemon that does not hold the lease.
        """
        if not may_write:
            return
        try:
            if self._is_stale:
                await self.load()
            for service in self._services():
                versions: list[str] = sorted(self._software.versions(service))
                if versions and versions != self._recorded(service):
                    await self._write(service, versions)
                    return
        except ChivesaddleError as error:
            # What was written is not known; the next step reads it first.
            self._is_stale = True
            log.info("software versions not recorded", extra={"cause": str(error)})

    def _forget(self) -> None:
        self._is_stale = True

    def _recorded(self, service: ServiceId) -> list[str]:
        stored = self._stored_by_service.get(service)
        # Another writer may have stored any value.
        if stored is None or not isinstance(stored.value, dict):
            return []
        return stored.value.get("versions", [])

    def _apply(self, item: StoredObject) -> None:
        service = ServiceId(item.name)
        self._stored_by_service[service] = item
        try:
            record = msgspec.convert(item.value, _Record)
        except (ValueError, RecursionError) as error:
            log.warning(
                "record of software versions ignored",
                extra={"service": service, "cause": str(error)},
            )
            return
        self._software.record_gone(service, record.versions)

    async def _write(self, service: ServiceId, versions: list[str]) -> None:
        value = {"versions": versions}
        stored = self._stored_by_service.get(service)
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        try:
            if stored is None:
                written = await self._api.create(
                    SOFTWARE_KIND, service, value, deadline=deadline
                )
            else:
                written = await self._api.update(
                    SOFTWARE_KIND,
                    service,
                    value,
                    version=stored.version,
                    deadline=deadline,
                )
        except (VersionConflict, ObjectNotFound):
            self._is_stale = True
            return
        self._stored_by_service[service] = written
        log.info(
            "software versions recorded",
            extra={"service": service, "versions": versions},
        )


__all__ = ["SOFTWARE_KIND", "SoftwareRecord"]
