"""Planning, confirming and reading configuration changes."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from chivesaddle.configuration.errors import (
    ChangesCompacted,
    ConfirmOutcomeUnknown,
    NoMajorityContact,
    PlanNotFound,
    PlanOutdated,
)
from chivesaddle.configuration.freshness import Freshness
from chivesaddle.configuration.in_force import ConfigHolder
from chivesaddle.configuration.operations import (
    apply_operations,
    check_consistency,
    parse_intent,
)
from chivesaddle.configuration.plan import (
    Change,
    Plan,
    check_storable,
    differences,
    warnings,
)
from chivesaddle.configuration.repository import (
    KEPT_CHANGES,
    ConfigRepository,
    Head,
)
from chivesaddle.core.aio import Clock, Signal, log_failure, start, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.ids import ChangeId, DaemonId, Revision
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)

# An accepted configuration is in effect everywhere within 9 s.
ACCEPT_S = 9.0
ATTEMPTS = 5
RETRY_AFTER_S = 5.0
# Daemons may report before they are listed as members.
SPARE_REPORTS = 32

log = PartLogger("configuration")


@dataclass(frozen=True)
class Confirmation:
    """Outcome of a confirm whose change is in the head.

    Attributes
    ----------
    accepted : bool
        A majority of the known daemons reports the revision.
    not_in_force : tuple of DaemonId
        Known daemons that do not report it yet.
    """

    change_id: ChangeId
    revision: Revision
    accepted: bool
    not_in_force: tuple[DaemonId, ...]


class ConfigService:
    """Configuration changes of one daemon; the platform's head decides.

    Parameters
    ----------
    api : ObjectApi
        The platform.
    clock : Clock
        Monotonic clock of this process.
    daemon_id : DaemonId
        This daemon, counted among those that report a revision.
    holder : ConfigHolder
        Receives every change read from the platform.
    freshness : Freshness
        Receives every reading of the head; knows the other daemons.
    new_id : callable
        Source of change ids.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        daemon_id: DaemonId,
        holder: ConfigHolder,
        freshness: Freshness,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._clock = clock
        self._daemon_id = daemon_id
        self.holder = holder
        self.freshness = freshness
        self._new_id = new_id
        self._repository = ConfigRepository(api, clock)
        self._revision_by_daemon_id: dict[DaemonId, Revision] = {}
        self._reported = Signal()
        holder.add_listener(lambda _: self._reported.set())

    async def plan(self, intent: Any, operator: str) -> Plan:
        """Compute and store a plan against the newest configuration.

        Raises
        ------
        InvalidValue
            The intent cannot be applied.
        PlatformUnavailable, WriteOutcomeUnknown, DeadlineExceeded
            The plan may not be stored; planning again is safe.
        """
        wanted = parse_intent(intent)
        await self.refresh()
        before = self.holder.state
        revision = Revision(before.revision + 1)
        after = apply_operations(before, wanted.operations, revision)
        check_consistency(after)
        change = Change(
            ChangeId(self._new_id()),
            before.revision,
            revision,
            wanted.operations,
            wanted.note,
            operator,
        )
        plan = Plan(change, differences(before, after), warnings(before, after))
        check_storable(plan, after)
        await self._repository.write_plan(plan)
        log.info("planned %s on revision %d for %s", change.id, change.parent, operator)
        return plan

    async def get_plan(self, change_id: ChangeId) -> Plan:
        """Read a stored plan; raises `PlanNotFound`."""
        return await self._repository.read_plan(change_id)

    async def confirm(self, change_id: ChangeId, operator: str) -> Confirmation:
        """Put a plan in force; idempotent.

        Returns once a majority of the known daemons reports the revision, or after
        9 s with ``accepted`` false: the change is committed and will spread.

        Raises
        ------
        PlanNotFound, PlanOutdated, NoMajorityContact, PlatformUnavailable
            Nothing was written.
        ConfirmOutcomeUnknown
            The change may be committed; confirm the same plan again to find out.
        """
        change = (await self.get_plan(change_id)).change
        committed = await self._commit(change)
        if committed:
            log.info("%s confirmed %s as %d", operator, change.id, change.revision)
        await self._refresh_after_commit()
        return await self._wait_until_accepted(change)

    async def changes_after(self, revision: Revision) -> tuple[Change, ...]:
        """Return the changes after a revision, oldest first.

        From memory if this daemon saw them all, otherwise from the platform.

        Raises
        ------
        ChangesCompacted
            They are no longer kept; the caller needs a snapshot.
        """
        remembered = self.holder.remembered_after(revision)
        if remembered is not None:
            return remembered
        head, _ = await self._read_head()
        try:
            return await self._read_changes(head, revision)
        except PlanNotFound as error:
            raise ChangesCompacted(
                f"Changes after revision {revision} were deleted",
                remedy="Load a snapshot",
            ) from error

    async def refresh(self) -> Revision:
        """Bring the holder to the platform's head; return the head's revision."""
        for _ in range(ATTEMPTS):
            head, sent = await self._read_head()
            try:
                await self._catch_up(head)
            except (PlanNotFound, ObjectNotFound) as error:
                # Objects of an older head were deleted while they were being read.
                log.info("reading the head again: %s", error)
                continue
            self._confirm_reading(sent)
            return head.revision
        raise PlatformUnavailable(
            "Objects that the configuration's head names are missing",
            remedy="Check the objects of kinds config-changes and config-snapshots",
        )

    def record_revision(self, daemon_id: DaemonId, revision: Revision) -> None:
        """Record the revision that a peer reports as in force.

        The latest report counts, also a lower one: the daemon was restarted.
        """
        self._revision_by_daemon_id[daemon_id] = revision
        members = self.freshness.members
        if len(self._revision_by_daemon_id) > 2 * len(members) + SPARE_REPORTS:
            self._revision_by_daemon_id = {
                d: r for d, r in self._revision_by_daemon_id.items() if d in members
            }
        self._reported.set()

    def record_relayed_reading(self, revision: Revision, age_s: float) -> bool:
        """Record a peer's platform reading of the head at ``revision``.

        Returns False, and records nothing, while the holder lacks that revision: the
        reading does not confirm an older configuration. The caller then reads the
        changes and reports again.
        """
        if self.holder.revision < revision:
            return False
        self.freshness.record_platform_reading(age_s, self._clock.seconds())
        return True

    async def _read_head(self) -> tuple[Head, float]:
        """Read the head; return it with the time before the read."""
        # The age counts from before the read, when the platform may have answered.
        sent = self._clock.seconds()
        try:
            head = await self._repository.read_head()
        except (PlatformUnavailable, DeadlineExceeded):
            self.freshness.record_platform_failure(self._clock.seconds())
            raise
        return head, sent

    def _confirm_reading(self, sent: float) -> None:
        """Record a reading; only once the holder includes what was read."""
        now = self._clock.seconds()
        self.freshness.record_platform_reading(now - sent, now)

    async def _catch_up(self, head: Head) -> None:
        if self.holder.revision < head.oldest_parent:
            self.holder.replace(await self._repository.read_snapshot(head.snapshot))
        if self.holder.revision < head.revision:
            for change in await self._read_changes(head, self.holder.revision):
                self.holder.apply(change)

    async def _read_changes(self, head: Head, after: Revision) -> tuple[Change, ...]:
        ids = head.ids_after(after)
        return tuple([(await self._repository.read_plan(i)).change for i in ids])

    async def _commit(self, change: Change) -> bool:
        """Write the change into the head; return False if it already was there."""
        unknown = False
        for _ in range(ATTEMPTS):
            try:
                await self.refresh()
                head, _ = await self._read_head()
                if change.id in head.changes or self.holder.remembers(change.id):
                    return unknown
                self._check_parent(change, head)
                if not unknown:
                    self._check_majority()
                if self.holder.revision != head.revision:
                    continue
                await self._write_head(head, change)
                return True
            except VersionConflict:
                # Another change, or an earlier attempt that took effect late.
                continue
            except WriteOutcomeUnknown:
                unknown = True
            except (PlatformUnavailable, DeadlineExceeded):
                if not unknown:
                    raise
        if unknown:
            raise ConfirmOutcomeUnknown(
                f"Change {change.id} may or may not be committed",
                remedy="Confirm the same plan again; it is never applied twice",
                retry_after_s=RETRY_AFTER_S,
            )
        raise PlatformUnavailable(
            f"The head kept changing while {change.id} was confirmed",
            retry_after_s=RETRY_AFTER_S,
        )

    def _check_parent(self, change: Change, head: Head) -> None:
        if change.parent == head.revision:
            return
        known = change.revision > head.oldest_parent
        raise PlanOutdated(
            f"Plan {change.id} was computed on revision {change.parent}, but "
            f"{head.revision} is in force"
            + ("" if known else "; it is too old to tell whether it was confirmed"),
            remedy="Plan again and read the new plan",
        )

    def _check_majority(self) -> None:
        if not self.freshness.has_majority_contact(self._clock.seconds()):
            raise NoMajorityContact(
                "This daemon does not hear a majority of the known daemons",
                remedy="Use another daemon, or wait until the partition ends",
                retry_after_s=RETRY_AFTER_S,
            )

    async def _write_head(self, head: Head, change: Change) -> None:
        snapshot = head.snapshot
        if head.revision - snapshot >= KEPT_CHANGES:
            snapshot = await self._write_snapshot(head)
        await self._repository.write_head(head.followed_by(change, snapshot))
        if snapshot != head.snapshot:
            self._start_cleanup(head.snapshot)

    async def _write_snapshot(self, head: Head) -> Revision:
        """Store the head's state before the head names it."""
        try:
            await self._repository.write_snapshot(self.holder.state)
        except WriteOutcomeUnknown as error:
            # The head is untouched, so the change certainly is not committed.
            raise PlatformUnavailable(f"The snapshot is not stored: {error}") from error
        return head.revision

    def _start_cleanup(self, previous_snapshot: Revision) -> None:
        # The previous snapshot and the changes since it stay for daemons that read the
        # head just before it moved on.
        cleanup = start(self._repository.delete_before(previous_snapshot))
        cleanup.addErrback(log_failure(log, "cleanup postponed"))

    async def _refresh_after_commit(self) -> None:
        try:
            await self.refresh()
        except (PlatformUnavailable, DeadlineExceeded) as error:
            log.info("committed, but not read back: %s", error)

    async def _wait_until_accepted(self, change: Change) -> Confirmation:
        deadline = self._clock.seconds() + ACCEPT_S
        while True:
            confirmation = self._confirmation(change)
            if confirmation.accepted:
                return confirmation
            try:
                await with_deadline(
                    self._clock, deadline, self._reported.wait(), "acceptance"
                )
            except DeadlineExceeded:
                return self._confirmation(change)

    def _confirmation(self, change: Change) -> Confirmation:
        members = self.freshness.members
        behind = sorted(d for d in members if self._revision_of(d) < change.revision)
        return Confirmation(
            change.id,
            change.revision,
            accepted=2 * (len(members) - len(behind)) > len(members),
            not_in_force=tuple(behind),
        )

    def _revision_of(self, daemon_id: DaemonId) -> int:
        if daemon_id == self._daemon_id:
            return self.holder.revision
        return self._revision_by_daemon_id.get(daemon_id, -1)


__all__ = ["ACCEPT_S", "ConfigService", "Confirmation"]
