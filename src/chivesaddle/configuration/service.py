"""Plans, confirms and reads configuration changes."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from chivesaddle.configuration.active import ActiveConfig
from chivesaddle.configuration.errors import (
    ChangesCompacted,
    ConfirmOutcomeUnknown,
    NoMajorityContact,
    PlanNotFound,
    PlanOutdated,
)
from chivesaddle.configuration.freshness import Freshness
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
    MAX_HEAD_CHANGES,
    ConfigRepository,
    Head,
)
from chivesaddle.core.aio import Clock, Signal, log_failure, start, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.ids import ChangeId, DaemonId, Revision
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)

# A committed change must take effect on every daemon within 9 s.
ACCEPT_TIMEOUT_S = 9.0
MAX_ATTEMPTS = 5
RETRY_AFTER_S = 5.0
# Daemons may report before they are members, so reports of non-members are dropped
# only above twice the number of members plus this number.
MAX_NON_MEMBER_REPORTS = 32

log = ComponentLogger("configuration")


@dataclass(frozen=True)
class Confirmation:
    """Result of confirming a plan; its change is committed.

    Attributes
    ----------
    accepted : bool
        Whether a majority of the members reports the revision as active.
    not_in_force : tuple of DaemonId
        Members that do not report the revision yet.
    """

    change_id: ChangeId
    revision: Revision
    accepted: bool
    not_in_force: tuple[DaemonId, ...]


class ConfigService:
    """Plans, commits and reads configuration changes on one daemon.

    The head object on the platform is authoritative: a change is committed once the
    head includes it.

    Parameters
    ----------
    api : ObjectApi
        Object API of the platform.
    clock : Clock
        Monotonic clock of this process.
    daemon_id : DaemonId
        This daemon; its own active revision counts as a report.
    active_config : ActiveConfig
        Applies every change read from the platform.
    freshness : Freshness
        Records every reading of the head; provides the member list.
    new_id : callable
        Generates change ids.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        daemon_id: DaemonId,
        active_config: ActiveConfig,
        freshness: Freshness,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self._clock = clock
        self._daemon_id = daemon_id
        self.active_config = active_config
        self.freshness = freshness
        self._new_id = new_id
        self._repository = ConfigRepository(api, clock)
        self._revision_by_daemon_id: dict[DaemonId, Revision] = {}
        self._revision_reported = Signal()
        active_config.add_listener(lambda _: self._revision_reported.set())

    async def plan(self, intent: Any, operator: str) -> Plan:
        """Compute and store a plan against the newest configuration.

        Raises
        ------
        InvalidValue
            The intent cannot be applied.
        PlatformUnavailable, WriteOutcomeUnknown, DeadlineExceeded
            The plan may not be stored; it is safe to plan again.
        """
        parsed_intent = parse_intent(intent)
        await self.refresh()
        before = self.active_config.state
        revision = Revision(before.revision + 1)
        after = apply_operations(before, parsed_intent.operations, revision)
        check_consistency(after)
        change = Change(
            ChangeId(self._new_id()),
            before.revision,
            revision,
            parsed_intent.operations,
            parsed_intent.note,
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
        """Commit a plan; idempotent.

        Returns once a majority of the members reports the revision. After 9 s it
        returns with ``accepted`` false: the change is committed and still propagates.

        Raises
        ------
        PlanNotFound, PlanOutdated, NoMajorityContact, PlatformUnavailable
            Nothing was written.
        ConfirmOutcomeUnknown
            The change may be committed; confirm the plan again to learn the outcome.
        """
        change = (await self.get_plan(change_id)).change
        committed = await self._commit(change)
        if committed:
            log.info(
                "%s confirmed %s as revision %d", operator, change.id, change.revision
            )
        await self._try_refresh()
        return await self._wait_until_accepted(change)

    async def changes_after(self, revision: Revision) -> tuple[Change, ...]:
        """Return the changes after a revision, oldest first.

        Reads them from memory if all of them are there, otherwise from the platform.

        Raises
        ------
        ChangesCompacted
            They are no longer stored; the caller needs a snapshot.
        """
        recent_changes = self.active_config.recent_changes_after(revision)
        if recent_changes is not None:
            return recent_changes
        head, _ = await self._read_head()
        try:
            return await self._read_changes(head, revision)
        except PlanNotFound as error:
            raise ChangesCompacted(
                f"Changes after revision {revision} were deleted",
                remedy="Load a snapshot",
            ) from error

    async def refresh(self) -> Revision:
        """Apply all committed changes from the platform; return the head's revision."""
        for _ in range(MAX_ATTEMPTS):
            head, read_started_at = await self._read_head()
            try:
                await self._catch_up(head)
            except (PlanNotFound, ObjectNotFound) as error:
                # A concurrent cleanup deleted objects that this head refers to.
                log.info(
                    "objects of the head were deleted, reading the head again: %s",
                    error,
                )
                continue
            self._record_head_read(read_started_at)
            return head.revision
        raise PlatformUnavailable(
            "Objects that the configuration head refers to are missing",
            remedy="Check the objects of kinds config-changes and config-snapshots",
        )

    def record_revision(self, daemon_id: DaemonId, revision: Revision) -> None:
        """Record the active revision that a peer reports.

        The latest report always replaces the previous one, because a restarted daemon
        reports a lower revision.
        """
        self._revision_by_daemon_id[daemon_id] = revision
        members = self.freshness.members
        if len(self._revision_by_daemon_id) > 2 * len(members) + MAX_NON_MEMBER_REPORTS:
            self._revision_by_daemon_id = {
                d: r for d, r in self._revision_by_daemon_id.items() if d in members
            }
        self._revision_reported.set()

    def record_relayed_reading(self, revision: Revision, age_s: float) -> bool:
        """Record that a peer read the head at ``revision`` ``age_s`` seconds ago.

        Returns False and records nothing while the active revision is older, because
        the reading does not confirm an older configuration. The caller then reads the
        changes and calls this method again.
        """
        if self.active_config.revision < revision:
            return False
        self.freshness.record_platform_reading(age_s, self._clock.seconds())
        return True

    async def _read_head(self) -> tuple[Head, float]:
        """Read the head; return it with the time at which the read started."""
        # The platform may read the head at any time during the call, so the age counts
        # from the start of the call.
        read_started_at = self._clock.seconds()
        try:
            head = await self._repository.read_head()
        except (PlatformUnavailable, DeadlineExceeded):
            self.freshness.record_platform_failure(self._clock.seconds())
            raise
        return head, read_started_at

    def _record_head_read(self, read_started_at: float) -> None:
        """Record a reading; call only after its changes have been applied."""
        now = self._clock.seconds()
        self.freshness.record_platform_reading(now - read_started_at, now)

    async def _catch_up(self, head: Head) -> None:
        if self.active_config.revision < head.first_parent_revision:
            self.active_config.replace(
                await self._repository.read_snapshot(head.snapshot)
            )
        if self.active_config.revision < head.revision:
            for change in await self._read_changes(head, self.active_config.revision):
                self.active_config.apply(change)

    async def _read_changes(self, head: Head, after: Revision) -> tuple[Change, ...]:
        ids = head.ids_after(after)
        return tuple([(await self._repository.read_plan(i)).change for i in ids])

    async def _commit(self, change: Change) -> bool:
        """Commit the change; return False if it was committed before this call."""
        may_be_committed = False
        for _ in range(MAX_ATTEMPTS):
            try:
                await self.refresh()
                head, _ = await self._read_head()
                if change.id in head.changes or self.active_config.has_recent_change(
                    change.id
                ):
                    return may_be_committed
                self._check_plan_is_current(change, head)
                if not may_be_committed:
                    self._check_majority()
                if self.active_config.revision != head.revision:
                    continue
                await self._write_head(head, change)
                return True
            except VersionConflict:
                # Another change was committed, or an earlier attempt took effect late.
                continue
            except WriteOutcomeUnknown:
                may_be_committed = True
            except (PlatformUnavailable, DeadlineExceeded):
                if not may_be_committed:
                    raise
        if may_be_committed:
            raise ConfirmOutcomeUnknown(
                f"Change {change.id} may or may not be committed",
                remedy="Confirm the same plan again; it is applied at most once",
                retry_after_s=RETRY_AFTER_S,
            )
        raise PlatformUnavailable(
            f"The head kept changing while {change.id} was confirmed",
            retry_after_s=RETRY_AFTER_S,
        )

    def _check_plan_is_current(self, change: Change, head: Head) -> None:
        if change.parent == head.revision:
            return
        outcome_known = change.revision > head.first_parent_revision
        raise PlanOutdated(
            f"Plan {change.id} was computed on revision {change.parent}, but "
            f"revision {head.revision} is active"
            + (
                ""
                if outcome_known
                else "; it is too old to tell whether it was confirmed"
            ),
            remedy="Plan again and review the new plan",
        )

    def _check_majority(self) -> None:
        if not self.freshness.has_majority_contact(self._clock.seconds()):
            raise NoMajorityContact(
                "This daemon has no recent contact with a majority of the members",
                remedy="Use another daemon, or wait until the network partition ends",
                retry_after_s=RETRY_AFTER_S,
            )

    async def _write_head(self, head: Head, change: Change) -> None:
        snapshot = head.snapshot
        if head.revision - snapshot >= MAX_HEAD_CHANGES:
            snapshot = await self._write_snapshot(head)
        await self._repository.write_head(head.with_change(change, snapshot))
        if snapshot != head.snapshot:
            self._start_cleanup(head.snapshot)

    async def _write_snapshot(self, head: Head) -> Revision:
        """Store the state at ``head`` as a snapshot before a head refers to it."""
        try:
            await self._repository.write_snapshot(self.active_config.state)
        except WriteOutcomeUnknown as error:
            # The head was not written, so the change is certainly not committed.
            raise PlatformUnavailable(f"The snapshot is not stored: {error}") from error
        return head.revision

    def _start_cleanup(self, previous_snapshot: Revision) -> None:
        # Keeps the previous snapshot and the changes since it for daemons that read the
        # head just before this change.
        cleanup = start(self._repository.delete_before(previous_snapshot))
        cleanup.addErrback(
            log_failure(log, "deleting old snapshots and changes failed")
        )

    async def _try_refresh(self) -> None:
        try:
            await self.refresh()
        except (PlatformUnavailable, DeadlineExceeded) as error:
            log.info("reading the head after the commit failed: %s", error)

    async def _wait_until_accepted(self, change: Change) -> Confirmation:
        deadline = self._clock.seconds() + ACCEPT_TIMEOUT_S
        while True:
            confirmation = self._build_confirmation(change)
            if confirmation.accepted:
                return confirmation
            try:
                await with_deadline(
                    self._clock, deadline, self._revision_reported.wait(), "acceptance"
                )
            except DeadlineExceeded:
                return self._build_confirmation(change)

    def _build_confirmation(self, change: Change) -> Confirmation:
        members = self.freshness.members
        outdated_daemons = sorted(
            d for d in members if self._last_reported_revision(d) < change.revision
        )
        return Confirmation(
            change.id,
            change.revision,
            accepted=2 * (len(members) - len(outdated_daemons)) > len(members),
            not_in_force=tuple(outdated_daemons),
        )

    def _last_reported_revision(self, daemon_id: DaemonId) -> int:
        if daemon_id == self._daemon_id:
            return self.active_config.revision
        return self._revision_by_daemon_id.get(daemon_id, -1)


__all__ = ["ACCEPT_TIMEOUT_S", "ConfigService", "Confirmation"]
