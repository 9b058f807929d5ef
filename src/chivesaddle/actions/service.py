"""At-most-once execution of non-repeatable operations.

The record in the object API decides who may send: only the process that made an attempt
and saw its own update to ``sending`` succeed, once. Everything that process learns
afterwards is written to the record until it is settled, also after the caller was
answered.
"""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred

from chivesaddle.actions.attempt import Attempt
from chivesaddle.actions.client import NotSent, OutcomeUnknown, ServiceClient
from chivesaddle.actions.errors import (
    ActionNotFound,
    ActionNotInDoubt,
    ForbiddenTransition,
    IdempotencyKeyRequired,
    UnknownOperation,
)
from chivesaddle.actions.observed import FirstSeen
from chivesaddle.actions.record import (
    ActionRecord,
    ActionRequest,
    ActionState,
    Outcome,
    Step,
    body_digest,
    next_state,
    record_name,
)
from chivesaddle.actions.repeatable import (
    RepeatableCalls,
    RetryBudget,
    UnlimitedRetries,
)
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.store import RecordStore, StoredRecord
from chivesaddle.actions.urls import UrlChoice
from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.ids import AccountId, DaemonId, IdempotencyKey, ServiceId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.model import Service
from chivesaddle.core.objects import (
    ObjectApi,
    PlatformUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)

# A holder that is alive gets from the create to the update in milliseconds.
REPLACE_PREPARED_AFTER_S = 5.0
# Longer than SEND_WITHIN_S plus CONNECT_WITHIN_S, so that an action in doubt is not
# about to be sent.
DOUBT_SENDING_AFTER_S = 15.0
SEND_WITHIN_S = 5.0
# The holder keeps listening after its caller's deadline: a late response still
# settles the record, which otherwise needs an operator.
LISTEN_AFTER_DEADLINE_S = 30.0
# Time for recording an outcome before the caller is answered without it.
SETTLE_WAIT_S = 2.0
RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 5.0
# Each round meets another writer or a lost answer; more in a row means the key is
# contested and the caller should come back.
MAX_ROUNDS = 6

_log = PartLogger("actions")


@dataclass(frozen=True)
class Resolution:
    """What an operator found out about an action in doubt.

    Attributes
    ----------
    state : ActionState
        `ActionState.DONE` or `ActionState.NOT_RUN`.
    attempt : str
        The attempt that the operator examined, as `ActionService.lookup` names it. A
        finding that arrives late must not settle a newer attempt.
    status, body
        The service's response if done.
    """

    state: ActionState
    attempt: str
    status: int = 200
    body: bytes = b""


class ActionService:
    """Runs operations of plain services; see the module's description.

    Parameters
    ----------
    api : ObjectApi
        Holds the records.
    client : ServiceClient
        Sends to the services.
    clock : Clock
        Clock of all deadlines.
    holder : DaemonId
        This daemon, named in its records.
    services : callable
        Returns the configured service of an id, or None.
    budget : RetryBudget
        Limits retries of repeatable operations.
    events : EventRing or None
        Receives a record of every settled action.
    random : Random
        Chooses among the instances of a service.
    """

    def __init__(
        self,
        api: ObjectApi,
        client: ServiceClient,
        clock: Clock,
        holder: DaemonId,
        services: Callable[[ServiceId], Service | None],
        *,
        budget: RetryBudget | None = None,
        events: EventRing | None = None,
        random: Random | None = None,
    ) -> None:
        self._records = RecordStore(api, clock)
        self._client = client
        self._clock = clock
        self._holder = holder
        self._services = services
        self._events = events
        self._urls = UrlChoice(random or Random())
        self._repeatable = RepeatableCalls(
            client, clock, self._urls, budget or UnlimitedRetries()
        )
        self._seen = FirstSeen()
        self._unsettled_by_name: dict[str, Attempt] = {}
        self._jobs: set[Deferred] = set()
        self._closed = False

    async def run(
        self,
        account_id: AccountId,
        key: IdempotencyKey,
        service: ServiceId,
        operation: str,
        body: bytes,
        deadline: float,
    ) -> ActionResult:
        """Run an operation and return its outcome, at ``deadline`` at the latest.

        Raises
        ------
        UnknownOperation, IdempotencyKeyRequired, IdempotencyKeyReused
            The request is wrong; nothing was sent.
        ServiceUnavailable
            Every try of a repeatable operation failed.
        """
        target = self._services(service)
        wanted = target.operation(operation) if target else None
        if target is None or wanted is None:
            raise UnknownOperation(
                f"Operation {operation!r} of service {service!r} is not configured",
                remedy="Check the names or ask an operator to add them",
            )
        if wanted.repeatable:
            return ActionResult.done(
                await self._repeatable.run(target, operation, body, deadline)
            )
        if not key:
            raise IdempotencyKeyRequired(
                f"Operation {operation!r} must run at most once",
                remedy="Send a unique Idempotency-Key and repeat it on every retry",
            )
        request = ActionRequest(account_id, key, service, operation, body, deadline)
        attempt = Attempt(request)
        return await self._answer_in_time(attempt, self._execute(attempt, target))

    async def lookup(
        self, account_id: AccountId, key: IdempotencyKey, deadline: float | None = None
    ) -> ActionResult:
        """Return the state of an action.

        Raises
        ------
        ActionNotFound
            If the key has no record.
        PlatformUnavailable
            If the record cannot be read.
        """
        name = record_name(account_id, key)
        known = self._unsettled_by_name.get(name)
        if known and known.result:
            return known.result
        for _ in range(MAX_ROUNDS):
            current = await self._records.read(name)
            if current is None:
                raise ActionNotFound(
                    f"No action is recorded under key {key!r}",
                    remedy="It was not run under this key; check the key",
                )
            try:
                observed = await self._observe(name, current)
            except VersionConflict:
                continue
            return observed or ActionResult.from_record(current.record)
        return ActionResult.in_doubt()

    async def resolve(
        self,
        account_id: AccountId,
        key: IdempotencyKey,
        outcome: Resolution,
        operator: str,
    ) -> ActionResult:
        """Settle an action in doubt by an operator's finding; idempotent.

        Raises
        ------
        ActionNotFound, ActionNotInDoubt
            If there is nothing to resolve.
        PlatformUnavailable, WriteOutcomeUnknown
            If the record cannot be read or written; try again.
        """
        name = record_name(account_id, key)
        current = await self._records.read(name)
        if current is None:
            raise ActionNotFound(f"No action is recorded under key {key!r}")
        if _is_resolved_as(current.record, outcome):
            return ActionResult.from_record(current.record)
        if current.record.attempt != outcome.attempt:
            raise ActionNotInDoubt(
                f"Action {key!r} has a newer attempt than {outcome.attempt!r}",
                remedy="Look the action up again and examine that attempt",
            )
        if current.record.state is not ActionState.IN_DOUBT:
            raise ActionNotInDoubt(
                f"Action {key!r} is {current.record.state.value}, not in_doubt",
                remedy="Look the action up; its holder may still settle it",
            )
        response = None
        step = Step.GIVE_UP
        if outcome.state is ActionState.DONE:
            step = Step.FINISH
            response = Outcome(outcome.status, outcome.body, operator)
        resolved = current.record.after(step, response)
        try:
            await self._records.write(name, resolved, current.version)
        except VersionConflict:
            raise ActionNotInDoubt(
                f"Action {key!r} changed meanwhile", remedy="Look the action up again"
            ) from None
        self._report(name, account_id, resolved, operator=operator)
        return ActionResult.from_record(resolved)

    async def close(self) -> None:
        """Wait for running attempts; stop retrying to record settled ones.

        An unrecorded outcome is then lost, and the action ends in doubt.
        """
        self._closed = True
        while self._jobs:
            await _finished(next(iter(self._jobs)))

    # Answering in time

    async def _answer_in_time(self, attempt: Attempt, work) -> ActionResult:
        """Return the work's result, or at the deadline what is known by then.

        The work goes on after the deadline, because it may have to settle the record.
        """
        answer: Deferred[ActionResult] = Deferred()

        def expire() -> None:
            if not answer.called:
                answer.callback(attempt.give_up())

        deadline = attempt.request.deadline
        delay = max(0.0, deadline - self._clock.seconds())
        timer = self._clock.callLater(delay, expire)

        def finish(result) -> None:
            if not answer.called:
                answer.callback(result)
            elif hasattr(result, "getErrorMessage"):
                log_failure(_log, "attempt failed after its deadline")(result)

        self._run_job(work).addBoth(finish)
        try:
            return await answer
        finally:
            if timer.active():
                timer.cancel()

    def _run_job(self, work) -> Deferred:
        job = start(work)
        self._jobs.add(job)

        def forget(result):
            self._jobs.discard(job)
            return result

        return job.addBoth(forget)

    # One attempt

    async def _execute(self, attempt: Attempt, target: Service) -> ActionResult:
        request = attempt.request
        known = self._unsettled_by_name.get(request.name)
        if known and known.result and _same_request(known.request, request):
            return known.result
        prepared = await self._prepare(attempt)
        if isinstance(prepared, ActionResult):
            return prepared
        if attempt.given_up or self._clock.seconds() >= request.deadline:
            answer = attempt.give_up()
            self._settle_later(attempt, Step.GIVE_UP, prepared)
            return answer
        attempt.start_claiming(
            min(request.deadline, self._clock.seconds() + SEND_WITHIN_S)
        )
        sending = await self._claim(attempt, prepared)
        if isinstance(sending, ActionResult):
            return sending
        if self._clock.seconds() >= attempt.send_by:
            return await self._settle(attempt, Step.GIVE_UP, sending)
        return await self._send(attempt, target, sending)

    async def _prepare(self, attempt: Attempt) -> StoredRecord | ActionResult:
        """Write ``prepared`` for this attempt, or return why it must not run."""
        request = attempt.request
        wanted = ActionRecord.prepared(request, attempt.id, self._holder)
        current: StoredRecord | None = None
        for _ in range(MAX_ROUNDS):
            if attempt.given_up:
                break
            try:
                if current is not None:
                    current.record.check_same_request(request)
                    observed = await self._observe(request.name, current)
                    if observed is not None:
                        return observed
                    next_state(current.record.state, Step.PREPARE)
                if attempt.given_up:
                    break
                version = current.version if current else None
                prepared = await self._records.write(request.name, wanted, version)
                attempt.own_record()
                return prepared
            except PlatformUnavailable:
                break
            except VersionConflict:
                attempt.meet_another()
            except WriteOutcomeUnknown:
                pass
            try:
                current = await self._records.read(request.name)
            except PlatformUnavailable:
                break
            if current and current.record.attempt == attempt.id:
                attempt.own_record()
                return current
        return attempt.give_up()

    async def _claim(
        self, attempt: Attempt, prepared: StoredRecord
    ) -> StoredRecord | ActionResult:
        """Update to ``sending`` and see it succeed, or return why not to send."""
        name = attempt.request.name
        current = prepared
        unknown = False
        for _ in range(MAX_ROUNDS):
            wanted = current.record.after(Step.START_SENDING)
            try:
                return await self._records.write(name, wanted, current.version)
            except PlatformUnavailable:
                break
            except WriteOutcomeUnknown:
                unknown = True
            except VersionConflict:
                pass
            try:
                found = await self._records.read(name)
            except PlatformUnavailable:
                # A conflict that cannot be read is another attempt or our own update.
                unknown = True
                break
            if found is None or found.record.attempt != attempt.id:
                return await self._lost_claim(attempt, found)
            if found.record.state is not ActionState.PREPARED:
                return self._own_claim(attempt, found)
            current = found
        if not unknown:
            answer = attempt.withdraw_claim()
            self._settle_later(attempt, Step.GIVE_UP, current)
            return answer
        self._settle_later(attempt, Step.GIVE_UP, current)
        return ActionResult.in_doubt(attempt.id)

    def _own_claim(
        self, attempt: Attempt, found: StoredRecord
    ) -> StoredRecord | ActionResult:
        """Return the record if the right to send is still there.

        Another daemon may have put it in doubt while this process was paused; the
        attempt was not sent, which only this process knows.
        """
        if found.record.state is ActionState.SENDING:
            return found
        self._settle_later(attempt, Step.GIVE_UP, found)
        return ActionResult.in_doubt(attempt.id)

    async def _lost_claim(
        self, attempt: Attempt, found: StoredRecord | None
    ) -> ActionResult:
        attempt.meet_another()
        answer = attempt.withdraw_claim()
        if found is None:
            return answer
        try:
            return await self._observe(attempt.request.name, found) or answer
        except VersionConflict:
            return answer

    async def _send(
        self, attempt: Attempt, target: Service, sending: StoredRecord
    ) -> ActionResult:
        request = attempt.request
        url = self._urls.choose(target, self._clock.seconds())
        listen_until = request.deadline + LISTEN_AFTER_DEADLINE_S
        attempt.take_send()
        try:
            outcome = await self._client.send(
                url, request.operation, request.body, listen_until
            )
        except NotSent:
            self._urls.record_failure(url, self._clock.seconds())
            return await self._settle(attempt, Step.GIVE_UP, sending)
        # Any other failure leaves open whether the service ran it.
        except Exception as error:
            if not isinstance(error, OutcomeUnknown):
                _log.exception("call of %s failed", url)
            self._urls.record_failure(url, self._clock.seconds())
            return await self._settle(attempt, Step.DOUBT, sending)
        return await self._settle(attempt, Step.FINISH, sending, outcome)

    # Settling a record

    async def _settle(
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
        job = self._settle_later(attempt, step, current, outcome)
        job.addCallback(lambda recorded: tell(recorded or unrecorded))
        try:
            return await answer
        finally:
            if timer.active():
                timer.cancel()

    def _settle_later(
        self,
        attempt: Attempt,
        step: Step,
        current: StoredRecord,
        outcome: Outcome | None = None,
    ) -> "Deferred[ActionResult | None]":
        name = attempt.request.name
        if outcome:
            attempt.result = ActionResult.done(outcome, attempt.id)
        self._unsettled_by_name[name] = attempt

        def forget(result):
            if self._unsettled_by_name.get(name) is attempt:
                del self._unsettled_by_name[name]
            return result

        job = self._run_job(self._write_until_settled(attempt, step, current, outcome))
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
                self._report(name, attempt.request.account_id, wanted)
                return ActionResult.from_record(wanted)
            except VersionConflict:
                current = None
            except (PlatformUnavailable, WriteOutcomeUnknown):
                current = None
                if self._closed:
                    return None
                await sleep_until(self._clock, self._clock.seconds() + pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_S)

    # Records of other holders

    async def _observe(self, name: str, current: StoredRecord) -> ActionResult | None:
        """Return the answer that a record gives; None if a new attempt may start.

        Raises
        ------
        VersionConflict
            If the record changed meanwhile.
        """
        record = current.record
        now = self._clock.seconds()
        match record.state:
            case ActionState.DONE | ActionState.IN_DOUBT:
                self._seen.forget(name)
                return ActionResult.from_record(record)
            case ActionState.NOT_RUN:
                self._seen.forget(name)
                return None
            case ActionState.PREPARED:
                age = self._seen.age_s(name, current.version, now)
                if age >= REPLACE_PREPARED_AFTER_S:
                    return None
                wait = REPLACE_PREPARED_AFTER_S - age
                return ActionResult.in_progress(record, wait)
        age = self._seen.age_s(name, current.version, now)
        if age < DOUBT_SENDING_AFTER_S:
            wait = DOUBT_SENDING_AFTER_S - age
            return ActionResult.in_progress(record, wait)
        with contextlib.suppress(PlatformUnavailable, WriteOutcomeUnknown):
            await self._records.write(name, record.after(Step.DOUBT), current.version)
        return ActionResult.in_doubt(record.attempt)

    # Reports

    def _report(
        self, name: str, account_id: AccountId, record: ActionRecord, operator: str = ""
    ) -> None:
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


def _finished(job: Deferred) -> "Deferred[None]":
    finished: Deferred[None] = Deferred()

    def tell(result):
        finished.callback(None)
        return result

    job.addBoth(tell)
    return finished


def _is_resolved_as(record: ActionRecord, wanted: Resolution) -> bool:
    if (record.state, record.attempt) != (wanted.state, wanted.attempt):
        return False
    if wanted.state is ActionState.NOT_RUN or record.outcome is None:
        return True
    found = record.outcome
    return (found.status, found.body) == (wanted.status, wanted.body)


def _same_request(one: ActionRequest, other: ActionRequest) -> bool:
    return (one.service, one.operation, body_digest(one.body)) == (
        other.service,
        other.operation,
        body_digest(other.body),
    )


__all__ = ["ActionService", "Resolution"]
