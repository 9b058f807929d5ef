"""Storage of configuration objects on the platform: head, changes, snapshots."""

import base64
import json
import zlib
from dataclasses import dataclass
from typing import Any

from chivesaddle.configuration.errors import ChangesCompacted, PlanNotFound
from chivesaddle.configuration.plan import Change, Plan
from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.core.ids import ChangeId, Revision
from chivesaddle.core.model import ConfigState
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    VersionConflict,
    WriteOutcomeUnknown,
)

HEAD_KIND = "config"
HEAD_NAME = "head"
CHANGES_KIND = "config-changes"
SNAPSHOTS_KIND = "config-snapshots"
# The head lists the ids of at most this many latest changes. The newest snapshot is at
# most this many changes older than the head, so the current state can always be built
# from that snapshot and the listed changes.
MAX_HEAD_CHANGES = 64
CALL_TIMEOUT_S = 1.0


@dataclass(frozen=True)
class Head:
    """The object that defines the committed changes; ``version`` is 0 if absent."""

    version: int
    revision: Revision
    changes: tuple[ChangeId, ...]
    snapshot: Revision

    @classmethod
    def absent(cls) -> "Head":
        """Return the head before the first change."""
        return cls(0, Revision(0), (), Revision(0))

    @classmethod
    def from_json(cls, version: int, value: dict[str, Any]) -> "Head":
        """Build a head from the stored value."""
        return cls(
            version,
            Revision(value["revision"]),
            tuple(value["changes"]),
            Revision(value["snapshot"]),
        )

    def to_json(self) -> dict[str, Any]:
        """Return the value to store."""
        return {
            "revision": self.revision,
            "changes": list(self.changes),
            "snapshot": self.snapshot,
        }

    @property
    def first_parent_revision(self) -> int:
        """Revision that the oldest listed change was applied to."""
        return self.revision - len(self.changes)

    def with_change(self, change: Change, snapshot: Revision) -> "Head":
        """Return the head that commits ``change``."""
        changes = (*self.changes, change.id)[-MAX_HEAD_CHANGES:]
        return Head(self.version, change.revision, changes, snapshot)

    def ids_after(self, revision: Revision) -> tuple[ChangeId, ...]:
        """Return the change ids after ``revision``, oldest first.

        Raises
        ------
        ChangesCompacted
            The head no longer lists all of them.
        """
        if revision < self.first_parent_revision:
            raise ChangesCompacted(
                f"Changes after revision {revision} are no longer stored; the oldest "
                f"stored change follows revision {self.first_parent_revision}",
                remedy="Load a snapshot",
            )
        return self.changes[revision - self.first_parent_revision :]


class ConfigRepository:
    """Reads and writes the configuration objects; stateless."""

    def __init__(self, api: ObjectApi, clock: Clock) -> None:
        self._api = api
        self._clock = clock

    def _deadline(self) -> float:
        return self._clock.seconds() + CALL_TIMEOUT_S

    async def read_head(self) -> Head:
        """Read the head."""
        try:
            item = await self._api.get(HEAD_KIND, HEAD_NAME, deadline=self._deadline())
        except ObjectNotFound:
            return Head.absent()
        return Head.from_json(item.version, item.value)

    async def write_head(self, head: Head) -> None:
        """Replace the head if it still has ``head.version``; does not retry."""
        value = head.to_json()
        if head.version == 0:
            await self._api.create(
                HEAD_KIND, HEAD_NAME, value, deadline=self._deadline()
            )
            return
        await self._api.update(
            HEAD_KIND,
            HEAD_NAME,
            value,
            version=head.version,
            deadline=self._deadline(),
        )

    async def read_plan(self, change_id: ChangeId) -> Plan:
        """Read a plan; raises `PlanNotFound`."""
        try:
            item = await self._api.get(
                CHANGES_KIND, change_id, deadline=self._deadline()
            )
        except ObjectNotFound:
            raise PlanNotFound(
                f"There is no plan {change_id}",
                remedy="Check the id; outdated plans are deleted, so plan again",
            ) from None
        return Plan.from_json(item.value)

    async def write_plan(self, plan: Plan) -> None:
        """Store a plan under its id; idempotent."""
        try:
            await self._create_immutable(CHANGES_KIND, plan.change.id, plan.to_json())
        except InvalidValue as error:
            raise InvalidValue(
                f"The plan is too large: {error.message}",
                field="operations",
                remedy="Split the intent into several plans",
            ) from None

    async def read_snapshot(self, revision: Revision) -> ConfigState:
        """Read the state of a snapshot; raises `ObjectNotFound`."""
        if revision == 0:
            return ConfigState.empty()
        item = await self._api.get(
            SNAPSHOTS_KIND, str(revision), deadline=self._deadline()
        )
        encoded_state = base64.b85decode(item.value["state"])
        return ConfigState.model_validate_json(zlib.decompress(encoded_state))

    async def write_snapshot(self, state: ConfigState) -> None:
        """Store a state under its revision; idempotent.

        The state is compressed, because the uncompressed state of a fleet with 5,600
        backend servers exceeds the 1 MB limit of an object value.
        """
        data = json.dumps(state.to_json(), sort_keys=True).encode()
        encoded_state = base64.b85encode(zlib.compress(data, 9)).decode()
        value = {"revision": state.revision, "state": encoded_state}
        await self._create_immutable(SNAPSHOTS_KIND, str(state.revision), value)

    async def delete_before(self, first_kept_revision: int) -> int:
        """Delete snapshots and changes with a revision below ``first_kept_revision``.

        This includes plans that were never confirmed: the revision that they were
        computed on is equally old, so they are outdated. Returns the number of deleted
        objects.
        """
        deleted = 0
        for kind in (SNAPSHOTS_KIND, CHANGES_KIND):
            object_list = await self._api.list_objects(kind, deadline=self._deadline())
            for name, item in object_list.items_by_name.items():
                if item.value["revision"] < first_kept_revision:
                    deleted += await self._delete_if_unchanged(kind, name, item.version)
        return deleted

    async def _delete_if_unchanged(self, kind: str, name: str, version: int) -> int:
        try:
            await self._api.delete(
                kind, name, version=version, deadline=self._deadline()
            )
        except (VersionConflict, ObjectNotFound):
            return 0
        return 1

    async def _create_immutable(
        self, kind: str, name: str, value: dict[str, Any]
    ) -> None:
        """Create an immutable object; does nothing if the name already exists."""
        last_error: ChivesaddleError | None = None
        for _ in range(2):
            try:
                await self._api.create(kind, name, value, deadline=self._deadline())
                return
            except VersionConflict:
                return
            except WriteOutcomeUnknown as error:
                last_error = error
        assert last_error is not None
        raise last_error


__all__ = [
    "CHANGES_KIND",
    "HEAD_KIND",
    "HEAD_NAME",
    "MAX_HEAD_CHANGES",
    "SNAPSHOTS_KIND",
    "ConfigRepository",
    "Head",
]
