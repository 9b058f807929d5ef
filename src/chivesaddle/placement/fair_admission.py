"""Order and refusal of waiting requests by the shares of their accounts.

Load: accounts together ask for 1.8 times what the servers have room for, and refused
callers return, some at once. Requests that cannot be sent in time are refused as soon
as this is known, and those of accounts over their share first.
"""

from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import AccountId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.placement.account_shares import AccountShares
from chivesaddle.placement.queue_places import Claim, Place
from chivesaddle.placement.refusals import Admission, AdmissionCounts, ReturnSchedule

# Lifetime of an order, and interval at which waiting requests are judged again.
ORDER_LIFETIME_S = 0.05
# Window of the throughput; about the duration of one run.
THROUGHPUT_WINDOW_S = 2.0
# Before requests have waited for this long, the throughput says how much was asked for,
# not how much the servers can do.
MIN_SATURATED_S = 0.5
# With fewer requests in the window, the throughput is too uncertain to end a wait.
MIN_SENT_TO_REFUSE = 8
# A waiting request is refused if it is predicted to wait this many times as long as it
# can. The throughput over the window varies by about a tenth.
REFUSAL_MARGIN = 1.25
# Requests that are due to be sent within this time are never refused.
HEAD_S = 0.2
FORGET_INTERVAL_S = 5.0

log = ComponentLogger("waiting")


class Waiting(Hashable, Protocol):
    """An entry of the queue."""

    @property
    def memory_request(self) -> Claim:
        """What it waits for."""


Entry = TypeVar("Entry", bound=Waiting)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and after how many seconds its caller may return."""

    message: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class _RefusedWait:
    """Predicted wait for which a request was refused, and until when that counts."""

    wait_s: float
    ahead: int
    until: float


class FairAdmission(Generic[Entry]):
    """Order and refusals of one queue.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    counts : AdmissionCounts
        Counts requests by how admission ended.
    """

    def __init__(self, clock: Clock, counts: AdmissionCounts) -> None:
        self._clock = clock
        self._counts = counts
        self._shares = AccountShares(clock)
        self._returns = ReturnSchedule()
        self._sent: deque[tuple[float, int]] = deque()
        self._created_at = clock.seconds()
        self._saturated_since: float | None = None
        self._order: list[tuple[Entry, Place]] = []
        self._preceding: set[Entry] = set()
        self._order_until = 0.0
        self._refused_waits: dict[tuple[int, AccountId | None], _RefusedWait] = {}
        self._forget_at = 0.0

    def in_order(
        self, entries: Sequence[Entry], now: float
    ) -> list[tuple[Entry, Place]]:
        """Return the entries in the order in which to send them.

        An order is used for `ORDER_LIFETIME_S`, so it may have entries that wait no
        more.
        """
        if now >= self._order_until:
            self._renew_order(entries, now)
        return self._order

    def _renew_order(self, entries: Sequence[Entry], now: float) -> None:
        if now >= self._forget_at:
            self._shares.forget_idle_accounts()
            self._refused_waits.clear()
            self._forget_at = now + FORGET_INTERVAL_S
        places = self._shares.order([e.memory_request for e in entries], now)
        self._order = [(entries[place.index], place) for place in places]
        self._preceding = {e for e, place in self._order if place.has_precedence}
        self._order_until = now + ORDER_LIFETIME_S

    def has_precedence(self, entry: Entry) -> bool:
        """Return whether an entry had precedence in the last order."""
        return entry in self._preceding

    def forget_order(self) -> None:
        """Order the entries again when they are needed next."""
        self._order_until = 0.0

    def record_sent(self, claim: Claim, extra_cost: float, has_waited: bool) -> None:
        """Record a request that is sent, with a cost besides the estimated one."""
        now = self._clock.seconds()
        is_over = self._shares.is_over_share(claim.account)
        outcome = Admission.WAITED if has_waited else Admission.SENT_AT_ONCE
        self._counts.record(outcome, is_over)
        self._shares.record_sent(claim, extra_cost)
        self._sent.append((now, claim.tokens))
        while self._sent[0][0] < now - THROUGHPUT_WINDOW_S:
            self._sent.popleft()

    def refuse_like_others(self, claim: Claim) -> Refusal | None:
        """Return why a request is refused if one like it was just refused.

        Repeats of refused requests are not worth a choice of server and an order each.
        """
        now = self._clock.seconds()
        self._shares.record_asked(claim)
        known = self._refused_waits.get((claim.priority, claim.account))
        if known is None or now >= known.until or self._shares.may_precede(claim):
            return None
        if now + known.wait_s <= claim.expires_at:
            return None
        outcome = Admission.REFUSED_ON_ARRIVAL
        return self._refuse(claim, known.wait_s, known.ahead, outcome)

    def refuse_on_arrival(
        self, entry: Entry, entries: Sequence[Entry], minimum_wait_s: float
    ) -> Refusal | None:
        """Return why an entry that was just added is refused, or None."""
        now = self._clock.seconds()
        claim = entry.memory_request
        key = (claim.priority, claim.account)
        if len(entries) == 1:
            self._saturated_since = now
        self._renew_order(entries, now)
        place = next(place for other, place in self._order if other is entry)
        rate = self._tokens_per_s(now)
        wait_s = 0.0
        if rate and not place.has_precedence:
            wait_s = place.predict_wait(rate, claim.first_event_due - now)
        wait_s = max(wait_s, minimum_wait_s)
        if now + wait_s <= claim.expires_at:
            return None
        until = now + ORDER_LIFETIME_S
        self._refused_waits[key] = _RefusedWait(wait_s, place.ahead, until)
        self._order = [item for item in self._order if item[0] is not entry]
        return self._refuse(claim, wait_s, place.ahead, Admission.REFUSED_ON_ARRIVAL)

    def refuse_expired(self, claim: Claim) -> Refusal:
        """Return the refusal of a request that was not sent in time."""
        now = self._clock.seconds()
        rate = self._tokens_per_s(now)
        backlog = self._order[-1][1].ahead_tokens if self._order else 0
        wait_s = backlog / rate if rate else 0.0
        outcome = Admission.REFUSED_WHILE_WAITING
        return self._refuse(claim, wait_s, 0, outcome, has_expired=True)

    def refuse_hopeless(
        self, entries: Sequence[Entry], now: float
    ) -> list[tuple[Entry, Refusal]]:
        """Return the waiting entries that cannot be sent in time any more."""
        is_saturated = (
            self._saturated_since is not None
            and now - self._saturated_since >= MIN_SATURATED_S
        )
        if not is_saturated:
            return []
        rate = self._tokens_per_s(now)
        if rate == 0.0 or len(self._sent) < MIN_SENT_TO_REFUSE:
            return []
        refused = []
        waiting = set(entries)
        gone = 0
        gone_by_group: dict[int | None, int] = {}
        for entry, place in self.in_order(entries, now):
            claim = entry.memory_request
            group = place.group
            gone_group = gone_by_group.get(group, 0)
            if entry not in waiting:
                gone += claim.tokens
                gone_by_group[group] = gone_group + claim.tokens
                continue
            if place.has_precedence:
                continue
            is_first = place.group_tokens - gone_group <= claim.tokens
            if is_first or place.ahead_tokens - gone <= HEAD_S * rate:
                continue
            due_in_s = claim.first_event_due - now
            wait_s = place.predict_wait(rate, due_in_s, gone, gone_group)
            if wait_s <= REFUSAL_MARGIN * (claim.expires_at - now):
                continue
            gone += claim.tokens
            gone_by_group[group] = gone_group + claim.tokens
            outcome = Admission.REFUSED_WHILE_WAITING
            refused.append((entry, self._refuse(claim, wait_s, place.ahead, outcome)))
        return refused

    def _refuse(
        self,
        claim: Claim,
        wait_s: float,
        ahead: int,
        outcome: Admission,
        has_expired: bool = False,
    ) -> Refusal:
        now = self._clock.seconds()
        rate = self._tokens_per_s(now)
        retry_after_s = self._returns.next_return_s(
            now,
            wait_s,
            claim.tokens / rate if rate else None,
            claim.caller_gives_up_at,
        )
        is_over = self._shares.is_over_share(claim.account)
        self._counts.record(outcome, is_over)
        last_sent_at = self._sent[-1][0] if self._sent else self._created_at
        log.info(
            "request refused",
            extra={
                "outcome": outcome.value,
                "account": claim.account,
                "priority": claim.priority,
                "ahead": ahead,
                "predicted_wait_ms": round(wait_s * 1_000),
                "waited_ms": round((now - claim.arrived_at) * 1_000),
                "account_share": round(self._shares.share(claim.account), 3),
                "is_over_share": is_over,
                "tokens_per_s": round(rate),
                "throughput_age_ms": round((now - last_sent_at) * 1_000),
                "retry_after_ms": round(retry_after_s * 1_000),
            },
        )
        if outcome is Admission.REFUSED_ON_ARRIVAL:
            message = f"{ahead} requests wait for memory; predicted wait {wait_s:.1f} s"
        elif has_expired:
            message = "No server had memory in time"
        else:
            message = f"Would have waited for memory another {wait_s:.1f} s"
        return Refusal(message, retry_after_s)

    def _tokens_per_s(self, now: float) -> float:
        """Return the throughput, or 0 while there is too little data."""
        since = now - THROUGHPUT_WINDOW_S
        if since < self._created_at:
            return 0.0
        rate = self._rate_since(since, now)
        saturated = self._saturated_since
        if saturated is not None and now - saturated >= MIN_SATURATED_S:
            rate = max(rate, self._rate_since(max(since, saturated), now))
        return rate

    def _rate_since(self, since: float, now: float) -> float:
        return sum(tokens for at, tokens in self._sent if at >= since) / (now - since)


__all__ = ["FairAdmission", "Refusal"]
