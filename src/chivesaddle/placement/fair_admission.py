"""Order and refusal of waiting requests by the shares of their accounts.

Load: accounts together ask for 1.8 times what the servers have room for, and refused
callers return, some at once. Requests that cannot be sent in time are refused as soon
as this is known, and those of accounts over their share first.
"""

from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import AccountId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.placement.account_shares import AccountShares
from chivesaddle.placement.queue_places import Claim, Place
from chivesaddle.placement.refusals import (
    Admission,
    AdmissionCounts,
    FleetReturns,
    RefusedCallers,
    ReturnSchedule,
)
from chivesaddle.placement.throughput import RateWindow, Throughput

# Lifetime of an order, and interval at which waiting requests are judged again.
ORDER_LIFETIME_S = 0.05
# Window of the throughput; about the duration of one run.
THROUGHPUT_WINDOW_S = 2.0
# Window of the tokens asked for, from which the room for late requests follows.
ASKED_WINDOW_S = 1.0
# Refused callers of an account are asked to return at this multiple of the rate at
# which it is served, since some of them do not return.
RETURN_SHARE = 1.5
# A caller may return this much before its time. The header has two decimals.
RETURN_TOLERANCE_S = 0.05
# Before requests have waited for this long, the throughput says how much was asked for,
# not how much the servers can do.
MIN_SATURATED_S = 0.5
# With fewer requests in the window, the throughput is too uncertain to end a wait.
MIN_SENT_TO_REFUSE = 8
# Throughput that predictions assume when they refuse a request, as a multiple of the
# recent one.
REFUSAL_MARGIN = 1.0
# Requests that are due to be sent within this time are never refused.
HEAD_S = 0.2
# Minimum waits that are computed for one judgement of all waiting requests.
MAX_MINIMUM_WAITS = 16
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


class _MinimumWaits:
    """Minimum waits by the number of requests ahead.

    Each costs a pass over all servers, so they are computed for a few numbers only, and
    the one for the next lower number counts.
    """

    def __init__(self, minimum_wait: Callable[[int], float], count: int) -> None:
        self._minimum_wait = minimum_wait
        self._step = 1 + count // MAX_MINIMUM_WAITS
        self._wait_s_by_step: dict[int, float] = {}

    def at_least(self, ahead: int) -> float:
        """Return a lower limit of the wait behind that many requests."""
        step = ahead // self._step
        if step not in self._wait_s_by_step:
            self._wait_s_by_step[step] = self._minimum_wait(step * self._step)
        return self._wait_s_by_step[step]


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
        self._refused_callers = RefusedCallers()
        self._shares = AccountShares(clock, self._turn)
        self._fleet_returns = FleetReturns()
        self._returns_by_account: dict[AccountId | None, ReturnSchedule] = {}
        self._throughput = Throughput(THROUGHPUT_WINDOW_S)
        self._asked = RateWindow(ASKED_WINDOW_S)
        self._last_sent_at = clock.seconds()
        self._created_at = clock.seconds()
        self._saturated_since: float | None = None
        self._order: list[tuple[Entry, Place]] = []
        self._preceding: set[Entry] = set()
        self._order_until = 0.0
        self._refused_waits: dict[tuple[int, AccountId | None], _RefusedWait] = {}
        self._forget_at = 0.0

    def _turn(self, claim: Claim) -> float:
        """Return by which time a request is ordered among those of its account."""
        turn = self._refused_callers.turn(claim.fingerprint)
        return claim.first_event_due if turn is None else turn

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
            self._returns_by_account = {
                account: returns
                for account, returns in self._returns_by_account.items()
                if returns.next_at > now
            }
            self._forget_at = now + FORGET_INTERVAL_S
        rate = self._tokens_per_s(now)
        asked_per_s = self._asked.per_s(now - ASKED_WINDOW_S, now)
        spare_share = max(0.0, 1.0 - asked_per_s / rate) if rate else 1.0
        claims = [entry.memory_request for entry in entries]
        places = self._shares.order(claims, now, spare_share)
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
        self._throughput.record_sent(now, claim.tokens)
        self._last_sent_at = now
        self._refused_callers.discard(claim.fingerprint)

    def record_server_count(self, count: int) -> None:
        """Record how many servers can run a request."""
        self._throughput.record_server_count(self._clock.seconds(), count)

    def refuse_like_others(self, claim: Claim, is_waiting: bool) -> Refusal | None:
        """Return why a request is refused if one like it was just refused.

        Repeats of refused requests are not worth a choice of server and an order each.
        While requests wait, a caller that returns too early is refused.

        Parameters
        ----------
        is_waiting : bool
            Whether requests wait.
        """
        now = self._clock.seconds()
        if self._shares.record_asked(claim):
            self._asked.record(now, claim.tokens)
        return_at = self._refused_callers.return_at(claim.fingerprint)
        if return_at is not None:
            if not is_waiting or now >= return_at - RETURN_TOLERANCE_S:
                # It is ordered by its first arrival, before those like it.
                return None
            outcome = Admission.REFUSED_ON_ARRIVAL
            wait_s = return_at - now
            return self._refuse(claim, wait_s, 0, outcome, return_at=return_at)
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
            due_in_s = claim.first_event_due - now
            wait_s = place.predict_wait(REFUSAL_MARGIN * rate, due_in_s)
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
        self,
        entries: Sequence[Entry],
        now: float,
        minimum_wait: Callable[[int], float],
    ) -> list[tuple[Entry, Refusal]]:
        """Return the waiting entries that cannot be sent in time any more.

        Parameters
        ----------
        minimum_wait : callable
            How long a request behind that many others waits at least.
        """
        limited_wait = _MinimumWaits(minimum_wait, len(entries))
        rate = self._tokens_per_s(now)
        is_known = (
            self._saturated_since is not None
            and now - self._saturated_since >= MIN_SATURATED_S
            and self._throughput.sent_count(now) >= MIN_SENT_TO_REFUSE
            and rate > 0.0
        )
        refused = []
        waiting = set(entries)
        gone = 0
        gone_by_group: dict[int | None, int] = {}
        gone_by_account: dict[tuple[int | None, AccountId | None], float] = {}
        for entry, place in self.in_order(entries, now):
            claim = entry.memory_request
            group = place.group
            key = group, claim.account
            gone_cost = gone_by_account.get(key, 0.0)
            gone_group = gone_by_group.get(group, 0)
            if entry not in waiting:
                gone += claim.tokens
                gone_by_group[group] = gone_group + claim.tokens
                gone_by_account[key] = gone_cost + claim.cost
                continue
            is_first = (
                group is not None and place.group_tokens - gone_group <= claim.tokens
            )
            wait_s = limited_wait.at_least(place.ahead)
            is_head = is_first or place.ahead_tokens - gone <= HEAD_S * rate
            if is_known and not is_head and not place.has_precedence:
                due_in_s = claim.first_event_due - now
                predicted_s = place.predict_wait(
                    REFUSAL_MARGIN * rate, due_in_s, gone, gone_group, gone_cost
                )
                wait_s = max(wait_s, predicted_s)
            if now + wait_s <= claim.expires_at:
                continue
            gone += claim.tokens
            gone_by_group[group] = gone_group + claim.tokens
            gone_by_account[key] = gone_cost + claim.cost
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
        return_at: float | None = None,
    ) -> Refusal:
        now = self._clock.seconds()
        rate = self._tokens_per_s(now)
        if return_at is None:
            returns = self._returns_by_account.setdefault(
                claim.account, ReturnSchedule(self._fleet_returns)
            )
            return_at = now + returns.next_return_s(
                now,
                wait_s,
                self._return_spacing_s(claim, rate),
                claim.caller_gives_up_at,
                claim.arrived_at,
                claim.tokens / rate if rate else 0.0,
            )
            if claim.fingerprint is not None:
                self._refused_callers.record(
                    claim.fingerprint, self._turn(claim), return_at
                )
        retry_after_s = return_at - now
        is_over = self._shares.is_over_share(claim.account)
        self._counts.record(outcome, is_over)
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
                "throughput_age_ms": round((now - self._last_sent_at) * 1_000),
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

    def _return_spacing_s(self, claim: Claim, tokens_per_s: float) -> float | None:
        """Return the time between returns, None if it is not known.

        Callers of an account that return faster than it is served are refused again.
        """
        if not tokens_per_s:
            return None
        spacing_s = claim.tokens / tokens_per_s
        cost_per_s = self._shares.sent_cost_per_s(claim.account, claim.priority)
        if cost_per_s:
            spacing_s = max(spacing_s, claim.cost / (RETURN_SHARE * cost_per_s))
        return spacing_s

    def _tokens_per_s(self, now: float) -> float:
        """Return the throughput, or 0 while there is too little data."""
        since = now - THROUGHPUT_WINDOW_S
        if since < self._created_at:
            return 0.0
        rate = self._throughput.per_s(since, now)
        saturated = self._saturated_since
        if saturated is not None and now - saturated >= MIN_SATURATED_S:
            rate = max(rate, self._throughput.per_s(max(since, saturated), now))
        return rate


__all__ = ["FairAdmission", "Refusal"]
