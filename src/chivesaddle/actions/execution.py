"""Execution of one attempt, from its first record to the service's response."""

from collections.abc import Callable

from chivesaddle.actions.attempt import Attempt
from chivesaddle.actions.client import NotSent, OutcomeUnknown, ServiceClient
from chivesaddle.actions.observer import Observer
from chivesaddle.actions.outcome_writer import OutcomeWriter
from chivesaddle.actions.record import ActionRecord, ActionState, Step, next_state
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.store import RecordStore, StoredRecord
from chivesaddle.actions.urls import UrlSelector
from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import DaemonId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.model import Service
from chivesaddle.core.objects import (
    PlatformUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)

# Longest time between the start of the claim and the send.
SEND_WINDOW_S = 5.0
# The holder waits for the response beyond the caller's deadline, because recording a
# late response spares an operator from resolving the action.
RESPONSE_WAIT_AFTER_DEADLINE_S = 30.0
# Each round follows a write that conflicted with another or whose outcome is unknown.
# After this many in a row, other writers keep changing the record and the caller
# should retry later.
MAX_CONFLICT_ROUNDS = 6

_log = ComponentLogger("actions")


class Execution:
    """Executes attempts of this process."""

    def __init__(
        self,
        store: RecordStore,
        client: ServiceClient,
        clock: Clock,
        holder: DaemonId,
        url_selector: UrlSelector,
        outcome_writer: OutcomeWriter,
        observer: Observer,
        is_platform_responsive: Callable[[], bool],
    ) -> None:
        self._store = store
        self._client = client
        self._clock = clock
        self._holder = holder
        self._url_selector = url_selector
        self._outcome_writer = outcome_writer
        self._observer = observer
        self._is_platform_responsive = is_platform_responsive

    async def execute(self, attempt: Attempt, target: Service) -> ActionResult:
        """Run an attempt as far as its record allows and return the result."""
        request = attempt.request
        unrecorded = self._outcome_writer.unrecorded_result(request.name, request)
        if unrecorded:
            return unrecorded
        if not self._is_platform_responsive():
            return attempt.give_up()
        prepared = await self._prepare(attempt)
        if isinstance(prepared, ActionResult):
            return prepared
        if attempt.is_given_up or self._clock.seconds() >= request.deadline:
            result = attempt.give_up()
            self._outcome_writer.write_in_background(attempt, Step.GIVE_UP, prepared)
            return result
        attempt.begin_claim(
            min(request.deadline, self._clock.seconds() + SEND_WINDOW_S)
        )
        sending = await self._claim(attempt, prepared)
        if isinstance(sending, ActionResult):
            return sending
        if self._clock.seconds() >= attempt.send_deadline:
            return await self._outcome_writer.write_and_wait(
                attempt, Step.GIVE_UP, sending
            )
        return await self._send(attempt, target, sending)

    async def _prepare(self, attempt: Attempt) -> StoredRecord | ActionResult:
        """Write the ``prepared`` record, or return why the attempt must not run."""
        request = attempt.request
        new_record = ActionRecord.prepared(request, attempt.id, self._holder)
        current: StoredRecord | None = None
        for _ in range(MAX_CONFLICT_ROUNDS):
            if attempt.is_given_up:
                break
            try:
                if current is not None:
                    current.record.check_same_request(request)
                    observed = await self._observer.observe(request.name, current)
                    if observed is not None:
                        return observed
                    next_state(current.record.state, Step.PREPARE)
                if attempt.is_given_up:
                    break
                version = current.version if current else None
                prepared = await self._store.write(request.name, new_record, version)
                attempt.note_own_record()
                return prepared
            except PlatformUnavailable:
                break
            except VersionConflict:
                attempt.note_other_attempt()
            except WriteOutcomeUnknown:
                pass
            try:
                current = await self._store.read(request.name)
            except PlatformUnavailable:
                break
            if current and current.record.attempt == attempt.id:
                attempt.note_own_record()
                return current
        return attempt.give_up()

    async def _claim(
        self, attempt: Attempt, prepared: StoredRecord
    ) -> StoredRecord | ActionResult:
        """Update the record to ``sending``, or return a result if that failed.

        The attempt may be sent only after a confirmed update.
        """
        name = attempt.request.name
        current = prepared
        outcome_unknown = False
        for _ in range(MAX_CONFLICT_ROUNDS):
            new_record = current.record.after(Step.START_SENDING)
            try:
                return await self._store.write(name, new_record, current.version)
            except PlatformUnavailable:
                break
            except WriteOutcomeUnknown:
                outcome_unknown = True
            except VersionConflict:
                pass
            try:
                found = await self._store.read(name)
            except PlatformUnavailable:
                # The record that caused the conflict cannot be read. It may belong to
                # another attempt or come from an earlier update of this attempt.
                outcome_unknown = True
                break
            if found is None or found.record.attempt != attempt.id:
                return await self._result_of_lost_claim(attempt, found)
            if found.record.state is not ActionState.PREPARED:
                return self._resume_claim(attempt, found)
            current = found
        if not outcome_unknown:
            result = attempt.withdraw_claim()
            self._outcome_writer.write_in_background(attempt, Step.GIVE_UP, current)
            return result
        self._outcome_writer.write_in_background(attempt, Step.GIVE_UP, current)
        return ActionResult.in_doubt(attempt.id)

    def _resume_claim(
        self, attempt: Attempt, found: StoredRecord
    ) -> StoredRecord | ActionResult:
        """Return the record if it still allows this attempt to be sent.

        Another daemon may have marked it in doubt while this process was suspended.
        The attempt was not sent, but only the state of this process shows that.
        """
        if found.record.state is ActionState.SENDING:
            return found
        self._outcome_writer.write_in_background(attempt, Step.GIVE_UP, found)
        return ActionResult.in_doubt(attempt.id)

    async def _result_of_lost_claim(
        self, attempt: Attempt, found: StoredRecord | None
    ) -> ActionResult:
        attempt.note_other_attempt()
        result = attempt.withdraw_claim()
        if found is None:
            return result
        try:
            return await self._observer.observe(attempt.request.name, found) or result
        except VersionConflict:
            return result

    async def _send(
        self, attempt: Attempt, target: Service, sending: StoredRecord
    ) -> ActionResult:
        request = attempt.request
        url = self._url_selector.choose(target, self._clock.seconds())
        response_deadline = request.deadline + RESPONSE_WAIT_AFTER_DEADLINE_S
        attempt.mark_sent()
        try:
            outcome = await self._client.send(
                url, request.operation, request.body, response_deadline
            )
        except NotSent:
            self._url_selector.record_failure(url, self._clock.seconds())
            return await self._outcome_writer.write_and_wait(
                attempt, Step.GIVE_UP, sending
            )
        # After any other failure, the service may have run the operation.
        except Exception as error:
            if not isinstance(error, OutcomeUnknown):
                _log.exception("call to service at %s failed", url)
            self._url_selector.record_failure(url, self._clock.seconds())
            return await self._outcome_writer.write_and_wait(
                attempt, Step.DOUBT, sending
            )
        return await self._outcome_writer.write_and_wait(
            attempt, Step.FINISH, sending, outcome
        )


__all__ = ["MAX_CONFLICT_ROUNDS", "Execution"]
