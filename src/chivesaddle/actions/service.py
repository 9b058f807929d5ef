"""At-most-once execution of non-repeatable operations.

The record in the object API decides who may send: only the process that made an attempt
and whose own update to ``sending`` succeeded, and only once. That process, the holder,
then records the outcome and retries until it is written, even after the caller has
received its result.
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
from chivesaddle.actions.execution import MAX_CONFLICT_ROUNDS, Execution
from chivesaddle.actions.jobs import BackgroundTasks
from chivesaddle.actions.observer import Observer
from chivesaddle.actions.outcome_writer import OutcomeWriter
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
from chivesaddle.actions.store import RecordStore
from chivesaddle.actions.urls import UrlSelector
from chivesaddle.core.aio import Clock, log_failure
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import AccountId, DaemonId, IdempotencyKey, ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.model import Service
from chivesaddle.core.objects import (
    ObjectApi,
    VersionConflict,
)

_log = ComponentLogger("actions")


@dataclass(frozen=True)
class Resolution:
    """Outcome of an in-doubt action, as determined by an operator.

    Attributes
    ----------
    state : ActionState
        `ActionState.DONE` or `ActionState.NOT_RUN`.
    attempt : str
        The attempt that the operator examined, as returned by `ActionService.lookup`.
        A delayed resolution must not apply to a newer attempt.
    status, body
        The service's response if done.
    """

    state: ActionState
    attempt: str
    status: int = 200
    body: bytes = b""


class ActionService:
    """Runs operations of services; see the module's description.

    Parameters
    ----------
    api : ObjectApi
        Stores the records.
    client : ServiceClient
        Sends requests to the services.
    clock : Clock
        Clock of all deadlines.
    holder : DaemonId
        Identifier of this daemon in its records.
    services : callable
        Returns the configured service for an id, or None.
    budget : RetryBudget
        Limits retries of repeatable operations.
    is_platform_responsive : callable
        Returns whether the platform responded recently. If not, a new attempt is
        refused at once, because it would wait for two call timeouts of the platform.
    events : EventRing or None
        Receives an event for every recorded outcome.
    random : Random
        Source of the random choice among the instances of a service.
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
        is_platform_responsive: Callable[[], bool] = lambda: True,
        events: EventRing | None = None,
        random: Random | None = None,
    ) -> None:
        self._clock = clock
        self._services = services
        self._background = BackgroundTasks()
        self._store = RecordStore(api, clock)
        self._observer = Observer(self._store, clock)
        self._outcome_writer = OutcomeWriter(
            self._store, clock, self._background, events
        )
        url_selector = UrlSelector(random or Random())
        self._repeatable = RepeatableCalls(
            client, clock, url_selector, budget or UnlimitedRetries()
        )
        self._execution = Execution(
            self._store,
            client,
            clock,
            holder,
            url_selector,
            self._outcome_writer,
            self._observer,
            is_platform_responsive,
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
        """Run an operation and return its result, at ``deadline`` at the latest.

        Raises
        ------
        UnknownOperation, IdempotencyKeyRequired, IdempotencyKeyReused
            The request is invalid; nothing was sent.
        ServiceUnavailable
            Every try of a repeatable operation failed.
        """
        target = self._services(service)
        operation_config = target.operation(operation) if target else None
        if target is None or operation_config is None:
            raise UnknownOperation(
                f"Operation {operation!r} of service {service!r} is not configured",
                remedy="Check the names or ask an operator to configure the operation",
            )
        if operation_config.repeatable:
            return ActionResult.done(
                await self._repeatable.run(target, operation, body, deadline)
            )
        if not key:
            raise IdempotencyKeyRequired(
                f"Operation {operation!r} must run at most once",
                remedy="Send a unique Idempotency-Key and reuse it for every retry",
            )
        request = ActionRequest(account_id, key, service, operation, body, deadline)
        attempt = Attempt(request)
        return await self._result_by_deadline(
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
        unrecorded = self._outcome_writer.unrecorded_result(name)
        if unrecorded:
            return unrecorded
        for _ in range(MAX_CONFLICT_ROUNDS):
            current = await self._store.read(name)
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
        resolution: Resolution,
        operator: str,
    ) -> ActionResult:
        """Resolve an in-doubt action with the outcome from an operator; idempotent.

        Raises
        ------
        ActionNotFound, ActionNotInDoubt
            If there is no such action, or it is not in doubt.
        PlatformUnavailable, WriteOutcomeUnknown
            If the record cannot be read or written; try again.
        """
        name = record_name(account_id, key)
        current = await self._store.read(name)
        if current is None:
            raise ActionNotFound(f"No action is recorded under key {key!r}")
        if _is_resolved_as(current.record, resolution):
            return ActionResult.from_record(current.record)
        if current.record.attempt != resolution.attempt:
            raise ActionNotInDoubt(
                f"Action {key!r} has a newer attempt than {resolution.attempt!r}",
                remedy="Look the action up again and examine that attempt",
            )
        if current.record.state is not ActionState.IN_DOUBT:
            raise ActionNotInDoubt(
                f"Action {key!r} is {current.record.state.value}, not in_doubt",
                remedy="Look the action up; its holder may still record the outcome",
            )
        response = None
        step = Step.GIVE_UP
        if resolution.state is ActionState.DONE:
            step = Step.FINISH
            response = Outcome(resolution.status, resolution.body, operator)
        resolved = current.record.after(step, response)
        try:
            await self._store.write(name, resolved, current.version)
        except VersionConflict:
            raise ActionNotInDoubt(
                f"Action {key!r} changed in the meantime",
                remedy="Look the action up again",
            ) from None
        self._outcome_writer.record_event(name, account_id, resolved, operator=operator)
        return ActionResult.from_record(resolved)

    async def close(self) -> None:
        """Wait for running attempts; stop retrying to record outcomes.

        An outcome that is not recorded by then is lost, and the action ends in doubt.
        """
        await self._background.close()

    async def _result_by_deadline(self, attempt: Attempt, execution) -> ActionResult:
        """Return the result of an execution, or at the deadline the one known by then.

        The execution continues after the deadline, because it may still have to record
        the outcome.
        """
        result_ready: Deferred[ActionResult] = Deferred()

        def expire() -> None:
            if not result_ready.called:
                result_ready.callback(attempt.give_up())

        deadline = attempt.request.deadline
        delay = max(0.0, deadline - self._clock.seconds())
        timer = self._clock.callLater(delay, expire)

        def finish(result) -> None:
            if not result_ready.called:
                result_ready.callback(result)
            elif hasattr(result, "getErrorMessage"):
                log_failure(_log, "attempt failed after its deadline")(result)

        self._background.run(execution).addBoth(finish)
        try:
            return await result_ready
        finally:
            if timer.active():
                timer.cancel()


def _is_resolved_as(record: ActionRecord, resolution: Resolution) -> bool:
    if (record.state, record.attempt) != (resolution.state, resolution.attempt):
        return False
    if resolution.state is ActionState.NOT_RUN or record.outcome is None:
        return True
    found = record.outcome
    return (found.status, found.body) == (resolution.status, resolution.body)


__all__ = ["ActionService", "Resolution"]
