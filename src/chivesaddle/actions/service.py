"""At-most-once execution of non-repeatable operations.

The record in the object API decides who may send: only the process that made an attempt
and saw its own update to ``sending`` succeed, once. Everything that process learns
afterwards is written to the record until it is settled, also after the caller was
answered.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred

from chivesaddle.actions.attempt import Attempt
from chivesaddle.actions.client import ServiceClient
from chivesaddle.actions.errors import (
    ActionNotFound,
    ActionNotInDoubt,
    IdempotencyKeyRequired,
    UnknownOperation,
)
from chivesaddle.actions.execution import MAX_ROUNDS, Execution
from chivesaddle.actions.jobs import Jobs
from chivesaddle.actions.observed import Observer
from chivesaddle.actions.record import (
    ActionRecord,
    ActionRequest,
    ActionState,
    Outcome,
    Step,
    record_name,
)
from chivesaddle.actions.repeatable import (
    RepeatableCalls,
    RetryBudget,
    UnlimitedRetries,
)
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.settling import Settler
from chivesaddle.actions.store import RecordStore
from chivesaddle.actions.urls import UrlChoice
from chivesaddle.core.aio import Clock, log_failure
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import AccountId, DaemonId, IdempotencyKey, ServiceId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.model import Service
from chivesaddle.core.objects import (
    ObjectApi,
    VersionConflict,
)

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
    platform_answers : callable
        Tells whether the platform answered lately; if not, a new attempt is refused at
        once, because a platform that is silent would cost it two deadlines.
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
        platform_answers: Callable[[], bool] = lambda: True,
        events: EventRing | None = None,
        random: Random | None = None,
    ) -> None:
        self._clock = clock
        self._services = services
        self._jobs = Jobs()
        self._records = RecordStore(api, clock)
        self._observer = Observer(self._records, clock)
        self._settler = Settler(self._records, clock, self._jobs, events)
        urls = UrlChoice(random or Random())
        self._repeatable = RepeatableCalls(
            client, clock, urls, budget or UnlimitedRetries()
        )
        self._execution = Execution(
            self._records,
            client,
            clock,
            holder,
            urls,
            self._settler,
            self._observer,
            platform_answers,
        )

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
        return await self._answer_in_time(
            attempt, self._execution.execute(attempt, target)
        )

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
        known = self._settler.known_result(name)
        if known:
            return known
        for _ in range(MAX_ROUNDS):
            current = await self._records.read(name)
            if current is None:
                raise ActionNotFound(
                    f"No action is recorded under key {key!r}",
                    remedy="It was not run under this key; check the key",
                )
            try:
                observed = await self._observer.observe(name, current)
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
        self._settler.report(name, account_id, resolved, operator=operator)
        return ActionResult.from_record(resolved)

    async def close(self) -> None:
        """Wait for running attempts; stop retrying to record settled ones.

        An unrecorded outcome is then lost, and the action ends in doubt.
        """
        await self._jobs.close()

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

        self._jobs.run(work).addBoth(finish)
        try:
            return await answer
        finally:
            if timer.active():
                timer.cancel()


def _is_resolved_as(record: ActionRecord, wanted: Resolution) -> bool:
    if (record.state, record.attempt) != (wanted.state, wanted.attempt):
        return False
    if wanted.state is ActionState.NOT_RUN or record.outcome is None:
        return True
    found = record.outcome
    return (found.status, found.body) == (wanted.status, wanted.body)


__all__ = ["ActionService", "Resolution"]
