"""Repeatable operations: sent without a record, retried within a budget."""

from typing import Protocol

from chivesaddle.actions.client import NotSent, OutcomeUnknown, ServiceClient
from chivesaddle.actions.errors import ServiceUnavailable
from chivesaddle.actions.record import Outcome
from chivesaddle.actions.urls import UrlSelector
from chivesaddle.core.aio import Clock
from chivesaddle.core.model import Service

MAX_TRIES = 3
RETRY_AFTER_S = 1.0


class RetryBudget(Protocol):
    """Limits retries to a share of the requests."""

    def record_request(self, now: float) -> None:
        """Count a first try."""

    def try_spend(self, now: float) -> bool:
        """Use one retry of the budget; return False if none is left."""


class UnlimitedRetries:
    """Budget that allows every retry; `MAX_TRIES` still limits each request."""

    def record_request(self, now: float) -> None:
        """Do nothing."""

    def try_spend(self, now: float) -> bool:
        """Allow the retry."""
        return True


class RepeatableCalls:
    """Sends repeatable operations directly to their service."""

    def __init__(
        self,
        client: ServiceClient,
        clock: Clock,
        url_selector: UrlSelector,
        budget: RetryBudget,
    ) -> None:
        self._client = client
        self._clock = clock
        self._url_selector = url_selector
        self._budget = budget

    async def run(
        self, service: Service, operation: str, body: bytes, deadline: float
    ) -> Outcome:
        """Return the first complete response.

        Each try gets an equal share of the remaining time, so that an unresponsive
        instance leaves time for another one.

        Raises
        ------
        ServiceUnavailable
            If every try failed, the budget is exhausted or the deadline passed.
        """
        self._budget.record_request(self._clock.seconds())
        for tries_left in range(MAX_TRIES, 0, -1):
            now = self._clock.seconds()
            url = self._url_selector.choose(service, now)
            try_deadline = now + (deadline - now) / tries_left
            try:
                return await self._client.send(url, operation, body, try_deadline)
            except (NotSent, OutcomeUnknown) as error:
                self._url_selector.record_failure(url, self._clock.seconds())
                failure = error
            now = self._clock.seconds()
            if now >= deadline or tries_left == 1 or not self._budget.try_spend(now):
                break
        raise ServiceUnavailable(
            f"Service {service.id!r} did not answer {operation!r}: {failure.message}",
            remedy="Retry later",
            retry_after_s=RETRY_AFTER_S,
        )


__all__ = ["MAX_TRIES", "RepeatableCalls", "RetryBudget", "UnlimitedRetries"]
