"""One attempt from its record to the service's response."""

from collections.abc import Callable

from chivesaddle.actions.attempt import Attempt
from chivesaddle.actions.client import NotSent, OutcomeUnknown, ServiceClient
from chivesaddle.actions.observed import Observer
from chivesaddle.actions.record import ActionRecord, ActionState, Step, next_state
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.settling import Settler
from chivesaddle.actions.store import RecordStore, StoredRecord
from chivesaddle.actions.urls import UrlChoice
from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import DaemonId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.model import Service
from chivesaddle.core.objects import (
    PlatformUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)

SEND_WITHIN_S = 5.0
# The holder keeps listening after its caller's deadline: a late response still
# settles the record, which otherwise needs an operator.
LISTEN_AFTER_DEADLINE_S = 30.0
# Each round meets another writer or a lost answer; more in a row means the key is
# contested and the caller should come back.
MAX_ROUNDS = 6

_log = PartLogger("actions")


class Execution:
    """Carries out attempts of this process."""

    def __init__(
        self,
        records: RecordStore,
        client: ServiceClient,
        clock: Clock,
        holder: DaemonId,
        urls: UrlChoice,
        settler: Settler,
        observer: Observer,
        platform_answers: Callable[[], bool],
    ) -> None:
        self._records = records
        self._client = client
        self._clock = clock
        self._holder = holder
        self._urls = urls
        self._settler = settler
        self._observer = observer
        self._platform_answers = platform_answers

    async def execute(self, attempt: Attempt, target: Service) -> ActionResult:
        """Run an attempt as far as its record allows and return the answer."""
        request = attempt.request
        known = self._settler.known_result(request.name, request)
        if known:
            return known
        if not self._platform_answers():
            return attempt.give_up()
        prepared = await self._prepare(attempt)
        if isinstance(prepared, ActionResult):
            return prepared
        if attempt.given_up or self._clock.seconds() >= request.deadline:
            answer = attempt.give_up()
            self._settler.settle_later(attempt, Step.GIVE_UP, prepared)
            return answer
        attempt.start_claiming(
            min(request.deadline, self._clock.seconds() + SEND_WITHIN_S)
        )
        sending = await self._claim(attempt, prepared)
        if isinstance(sending, ActionResult):
            return sending
        if self._clock.seconds() >= attempt.send_by:
            return await self._settler.settle(attempt, Step.GIVE_UP, sending)
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
                    observed = await self._observer.observe(request.name, current)
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
            self._settler.settle_later(attempt, Step.GIVE_UP, current)
            return answer
        self._settler.settle_later(attempt, Step.GIVE_UP, current)
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
        self._settler.settle_later(attempt, Step.GIVE_UP, found)
        return ActionResult.in_doubt(attempt.id)

    async def _lost_claim(
        self, attempt: Attempt, found: StoredRecord | None
    ) -> ActionResult:
        attempt.meet_another()
        answer = attempt.withdraw_claim()
        if found is None:
            return answer
        try:
            return await self._observer.observe(attempt.request.name, found) or answer
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
            return await self._settler.settle(attempt, Step.GIVE_UP, sending)
        # Any other failure leaves open whether the service ran it.
        except Exception as error:
            if not isinstance(error, OutcomeUnknown):
                _log.exception("call of %s failed", url)
            self._urls.record_failure(url, self._clock.seconds())
            return await self._settler.settle(attempt, Step.DOUBT, sending)
        return await self._settler.settle(attempt, Step.FINISH, sending, outcome)


__all__ = ["MAX_ROUNDS", "Execution"]
