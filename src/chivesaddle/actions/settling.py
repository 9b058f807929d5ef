"""Writing to a record what its holder knows, until it is written."""

from twisted.internet.defer import Deferred

from chivesaddle.actions.attempt import Attempt
from chivesaddle.actions.errors import ForbiddenTransition
from chivesaddle.actions.jobs import Jobs
from chivesaddle.actions.record import ActionRecord, ActionRequest, Outcome, Step
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.store import RecordStore, StoredRecord
from chivesaddle.core.aio import Clock, log_failure, sleep_until
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.ids import AccountId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.objects import (
    PlatformUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)

# Time for recording an outcome before the caller is answered without it.
SETTLE_WAIT_S = 2.0
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 5.0

_log = PartLogger("actions")


class Settler:
    """Settles the records of this process's own attempts."""

    def __init__(
        self,
        records: RecordStore,
        clock: Clock,
        jobs: Jobs,
        events: EventRing | None,
    ) -> None:
        self._records = records
        self._clock = clock
        self._jobs = jobs
        self._events = events
        self._unsettled_by_name: dict[str, Attempt] = {}

    def known_result(
        self, name: str, request: ActionRequest | None = None
    ) -> ActionResult | None:
        """Return an outcome that is not recorded yet, if it is of this request."""
        attempt = self._unsettled_by_name.get(name)
        if attempt is None:
            return None
        if request and not attempt.request.is_same_as(request):
            return None
        return attempt.result

    async def settle(
        self,
        attempt: Attempt,
        step: Step,
        current: StoredRecord,
        outcome: Outcome | None = None,
    ) -> ActionResult:
        """Record what the holder knows; answer without the record after a while.

        An outcome that is known is told at once. ``not_run`` is told only when it is
        recorded, because others may have to treat the record as in doubt.
        """
        answer: Deferred[ActionResult] = Deferred()
        unrecorded = (
            ActionResult.done(outcome, attempt.id)
            if outcome
            else ActionResult.in_doubt(attempt.id)
        )

        def tell(result: ActionResult) -> None:
            if not answer.called:
                answer.callback(result)

        timer = self._clock.callLater(SETTLE_WAIT_S, tell, unrecorded)
        job = self.settle_later(attempt, step, current, outcome)
        job.addCallback(lambda recorded: tell(recorded or unrecorded))
        try:
            return await answer
        finally:
            if timer.active():
                timer.cancel()

    def settle_later(
        self,
        attempt: Attempt,
        step: Step,
        current: StoredRecord,
        outcome: Outcome | None = None,
    ) -> "Deferred[ActionResult | None]":
        """Take ``step`` in the background; see `settle`."""
        name = attempt.request.name
        if outcome:
            attempt.result = ActionResult.done(outcome, attempt.id)
        self._unsettled_by_name[name] = attempt

        def forget(result):
            if self._unsettled_by_name.get(name) is attempt:
                del self._unsettled_by_name[name]
            return result

        job = self._jobs.run(self._write_until_settled(attempt, step, current, outcome))
        return job.addBoth(forget).addErrback(log_failure(_log, "settling failed"))

    async def _write_until_settled(
        self,
        attempt: Attempt,
        step: Step,
        known: StoredRecord,
        outcome: Outcome | None,
    ) -> ActionResult | None:
        """Take ``step`` on the record, whatever others wrote to it meanwhile.

        Returns
        -------
        ActionResult or None
            What the record says in the end; None if the record is of another attempt
            or this service was closed first.
        """
        name = attempt.request.name
        current: StoredRecord | None = known
        pause = RETRY_PAUSE_S
        while True:
            try:
                if current is None:
                    current = await self._records.read(name)
                if current is None or current.record.attempt != attempt.id:
                    self._report_superseded(attempt, step)
                    return None
                try:
                    wanted = current.record.after(step, outcome)
                except ForbiddenTransition:
                    # Settled already: by an earlier write of this loop whose answer
                    # was lost, or by an operator.
                    return ActionResult.from_record(current.record)
                await self._records.write(name, wanted, current.version)
                self.report(name, attempt.request.account_id, wanted)
                return ActionResult.from_record(wanted)
            except VersionConflict:
                current = None
            except (PlatformUnavailable, WriteOutcomeUnknown):
                current = None
                if self._jobs.closing:
                    return None
                await sleep_until(self._clock, self._clock.seconds() + pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_S)

    def report(
        self, name: str, account_id: AccountId, record: ActionRecord, operator: str = ""
    ) -> None:
        """Record the settled state as an event."""
        if self._events:
            self._events.record(
                EventKind.ACTION_CHANGED,
                account=account_id,
                object=name,
                state=record.state.value,
                service=record.service,
                operation=record.operation,
                operator=operator,
            )

    def _report_superseded(self, attempt: Attempt, step: Step) -> None:
        if step is Step.FINISH:
            _log.error(
                "action %s ran, but was resolved as not run and tried again",
                attempt.request.name,
            )


__all__ = ["Settler"]
