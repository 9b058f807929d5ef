"""Recording the outcome of an attempt, with retries until it is written."""

from twisted.internet.defer import Deferred

from chivesaddle.actions.attempt import Attempt
from chivesaddle.actions.errors import ForbiddenTransition
from chivesaddle.actions.jobs import BackgroundTasks
from chivesaddle.actions.record import ActionRecord, ActionRequest, Outcome, Step
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.store import RecordStore, StoredRecord
from chivesaddle.core.aio import Clock, log_failure, sleep_until
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.ids import AccountId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    PlatformUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)

# Longest time for which a caller waits for the outcome to be recorded.
RECORD_WAIT_S = 2.0
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0

_log = ComponentLogger("actions")


class OutcomeWriter:
    """Writes the outcomes of this process's own attempts to their records."""

    def __init__(
        self,
        store: RecordStore,
        clock: Clock,
        background: BackgroundTasks,
        events: EventRing | None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._background = background
        self._events = events
        self._unrecorded_by_name: dict[str, Attempt] = {}

    def unrecorded_result(
        self, name: str, request: ActionRequest | None = None
    ) -> ActionResult | None:
        """Return a result that is not recorded yet, if it belongs to this request."""
        attempt = self._unrecorded_by_name.get(name)
        if attempt is None:
            return None
        if request and not attempt.request.is_same_as(request):
            return None
        return attempt.result

    async def write_and_wait(
        self,
        attempt: Attempt,
        step: Step,
        current: StoredRecord,
        outcome: Outcome | None = None,
    ) -> ActionResult:
        """Record the outcome; return a result after at most `RECORD_WAIT_S` seconds.

        If the write takes longer, a known response is returned before it is recorded.
        ``not_run`` is returned only once it is recorded, because other daemons may
        have to treat the record as in doubt until then.
        """
        result_ready: Deferred[ActionResult] = Deferred()
        fallback = (
            ActionResult.done(outcome, attempt.id)
            if outcome
            else ActionResult.in_doubt(attempt.id)
        )

        def deliver(result: ActionResult) -> None:
            if not result_ready.called:
                result_ready.callback(result)

        timer = self._clock.callLater(RECORD_WAIT_S, deliver, fallback)
        task = self.write_in_background(attempt, step, current, outcome)
        task.addCallback(lambda recorded: deliver(recorded or fallback))
        try:
            return await result_ready
        finally:
            if timer.active():
                timer.cancel()

    def write_in_background(
        self,
        attempt: Attempt,
        step: Step,
        current: StoredRecord,
        outcome: Outcome | None = None,
    ) -> "Deferred[ActionResult | None]":
        """Take ``step`` in the background; see `write_and_wait`."""
        name = attempt.request.name
        if outcome:
            attempt.result = ActionResult.done(outcome, attempt.id)
        self._unrecorded_by_name[name] = attempt

        def remove_pending(result):
            if self._unrecorded_by_name.get(name) is attempt:
                del self._unrecorded_by_name[name]
            return result

        task = self._background.run(
            self._write_until_recorded(attempt, step, current, outcome)
        )
        return task.addBoth(remove_pending).addErrback(
            log_failure(_log, "recording an outcome failed")
        )

    async def _write_until_recorded(
        self,
        attempt: Attempt,
        step: Step,
        written: StoredRecord,
        outcome: Outcome | None,
    ) -> ActionResult | None:
        """Take ``step`` on the record; retry after conflicts and platform failures.

        Returns
        -------
        ActionResult or None
            The result that the record gives then; None if the record belongs to another
            attempt or the background tasks were closed first.
        """
        name = attempt.request.name
        current: StoredRecord | None = written
        retry_delay = INITIAL_RETRY_DELAY_S
        while True:
            try:
                if current is None:
                    current = await self._store.read(name)
                if current is None or current.record.attempt != attempt.id:
                    self._log_superseded(attempt, step)
                    return None
                try:
                    new_record = current.record.after(step, outcome)
                except ForbiddenTransition:
                    # The record has its result already: from an earlier write of this
                    # loop whose response was lost, or from an operator's resolution.
                    return ActionResult.from_record(current.record)
                await self._store.write(name, new_record, current.version)
                self.record_event(name, attempt.request.account_id, new_record)
                return ActionResult.from_record(new_record)
            except VersionConflict:
                current = None
            except (PlatformUnavailable, WriteOutcomeUnknown):
                current = None
                if self._background.closing:
                    return None
                await sleep_until(self._clock, self._clock.seconds() + retry_delay)
                retry_delay = min(2 * retry_delay, MAX_RETRY_DELAY_S)

    def record_event(
        self, name: str, account_id: AccountId, record: ActionRecord, operator: str = ""
    ) -> None:
        """Record the new state of an action as an event."""
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

    def _log_superseded(self, attempt: Attempt, step: Step) -> None:
        if step is Step.FINISH:
            _log.error(
                "action %s ran, but was resolved as not_run and attempted again",
                attempt.request.name,
            )


__all__ = ["OutcomeWriter"]
