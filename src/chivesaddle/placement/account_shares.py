"""Fair shares of accounts in the admission queue, by the recent cost of their requests.

Load: one account asks for 130 requests a second beside eight of 2 each, and the servers
have room for 80. Ordered by urgency alone, the small accounts wait behind the large
one. Ordered by recent cost, they are served as if they were alone.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Hashable, Sequence
from dataclasses import dataclass, field

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import AccountId
from chivesaddle.placement.queue_places import (
    MIN_LATE_SHARE,
    MIN_PRIORITY_SHARE,
    Claim,
    Place,
    merge_by_priority,
)

# Half of an account's cost is forgotten in this time. An account that was idle for
# longer is served before the others for at most about this time.
HALF_LIFE_S = 3.0
# Share of the lowest cost of the waiting accounts that one that starts to wait is
# counted as having had, so that idle time earns a limited advantage.
IDLE_ACCOUNT_COST_SHARE = 0.75
# An account whose requests are sent less than this many times as often as all goes
# first. The limit to keep is 0.5; the rest covers requests that are sent late.
MIN_SENT_RATIO = 0.6
# Requests whose repeats are recognized; repeats of refused requests count once.
MAX_REMEMBERED_REQUESTS = 4_096
# An account is served before another one, also with requests yet to come, if its cost
# is at most this share of the other's. Costs of accounts that both use their full share
# differ by less.
CLEARLY_LOWER_COST_SHARE = 0.5
# An account's request has precedence if the account asked, besides it, for less than
# this much of an equal share. Accounts near their share must not have it: they would
# send late requests before those on time.
PRECEDENCE_BELOW_SHARE = 0.5
# Precedence begins after this share of the time to the target.
PRECEDENCE_AFTER_SHARE = 0.5
# Requests with precedence that wait at once are limited to this time of all servers,
# since each of many accounts may ask for little.
MAX_PRECEDENCE_S = 0.25
MAX_ACCOUNTS = 256
# Accounts whose cost has fallen below this share of the total are forgotten.
FORGET_BELOW_SHARE = 0.001
# Group of the requests with precedence, before all priorities.
PRECEDENCE = -1
# Stored costs grow by this factor before they are scaled down again.
MAX_SCALE = 2.0**40


@dataclass(slots=True)
class _AccountCost:
    """Decayed costs of one account, in scaled seconds.

    Attributes
    ----------
    debt : float
        The cost by which the account is ordered: at least ``cost``, since the advantage
        from idle time is limited.
    asked, sent : float
        Estimated cost of the requests that arrived, and of those that were sent.
    """

    cost: float = 0.0
    debt: float = 0.0
    asked: float = 0.0
    sent: float = 0.0
    cost_by_priority: dict[int, float] = field(default_factory=dict)


class AccountShares:
    """Decayed cost by account and priority, and the order that follows from it.

    Parameters
    ----------
    clock : Clock
        Clock of the decay.
    turn : callable
        Returns the time by which a request is ordered among those of its account.
    """

    def __init__(
        self,
        clock: Clock,
        turn: Callable[[Claim], float] = lambda claim: claim.first_event_due,
    ) -> None:
        self._turn = turn
        self._clock = clock
        self._scaled_since = clock.seconds()
        self._costs_by_account: dict[AccountId | None, _AccountCost] = {}
        self._cost_by_priority: dict[int, float] = {}
        self._total = 0.0
        self._total_late = 0.0
        self._preceding_cost = 0.0
        self._total_asked = 0.0
        self._total_sent = 0.0
        self._asked_requests: OrderedDict[Hashable, None] = OrderedDict()
        self._waiting_accounts: set[AccountId | None] = set()

    def __len__(self) -> int:
        return len(self._costs_by_account)

    def share(self, account: AccountId | None) -> float:
        """Return the account's share of the recent cost of all accounts."""
        costs = self._costs_by_account.get(account)
        return costs.cost / self._total if costs and self._total else 0.0

    def is_over_share(self, account: AccountId | None) -> bool:
        """Return whether the account has had more than an equal share of the cost."""
        return self.share(account) * max(1, len(self._costs_by_account)) > 1.0

    def sent_cost_per_s(self, account: AccountId | None, priority: int) -> float:
        """Return the cost per second that was recently sent of an account."""
        costs = self._costs_by_account.get(account)
        if costs is None:
            return 0.0
        scale = self._scale(self._clock.seconds())
        cost = costs.cost_by_priority.get(priority, 0.0) / scale
        return cost * math.log(2) / HALF_LIFE_S

    def may_precede(self, claim: Claim) -> bool:
        """Return whether an arriving request is to be served whatever its priority."""
        now = self._clock.seconds()
        limit = self._precedence_limit(now)
        has_room = not self._preceding_cost or (
            self._preceding_cost + claim.cost <= limit
        )
        return has_room and self._asks_little(claim, self._scale(now))

    def _asks_little(self, claim: Claim, scale: float) -> bool:
        costs = self._costs_by_account.get(claim.account)
        if costs is None:
            return True
        equal_share = self._total_sent / len(self._costs_by_account)
        others = costs.asked - claim.cost * scale
        return others < PRECEDENCE_BELOW_SHARE * equal_share

    def _precedence_limit(self, now: float) -> float:
        """Return the cost of the requests that may have precedence at once."""
        sent_per_s = self._total_sent / self._scale(now) * math.log(2) / HALF_LIFE_S
        return MAX_PRECEDENCE_S * sent_per_s

    def record_asked(self, claim: Claim) -> bool:
        """Record a request that arrived; return False if its caller repeats it."""
        if claim.fingerprint is not None:
            if claim.fingerprint in self._asked_requests:
                return False
            self._asked_requests[claim.fingerprint] = None
            if len(self._asked_requests) > MAX_REMEMBERED_REQUESTS:
                self._asked_requests.popitem(last=False)
        amount = claim.cost * self._scale(self._clock.seconds())
        costs = self._costs_by_account.setdefault(claim.account, _AccountCost())
        costs.asked += amount
        self._total_asked += amount
        if len(self._costs_by_account) > MAX_ACCOUNTS:
            self._forget_accounts(keep=claim.account)
        return True

    def record_sent(self, claim: Claim, extra_cost: float = 0.0) -> None:
        """Charge a request that is sent, with a cost besides the estimated one."""
        now = self._clock.seconds()
        scale = self._scale(now)
        amount = (claim.cost + extra_cost) * scale
        costs = self._costs_by_account.setdefault(claim.account, _AccountCost())
        costs.sent += claim.cost * scale
        self._total_sent += claim.cost * scale
        costs.cost += amount
        costs.debt += amount
        by_priority = costs.cost_by_priority
        by_priority[claim.priority] = by_priority.get(claim.priority, 0.0) + amount
        self._cost_by_priority[claim.priority] = (
            self._cost_by_priority.get(claim.priority, 0.0) + amount
        )
        self._total += amount
        if claim.has_missed_target(now):
            self._total_late += amount
        if len(self._costs_by_account) > MAX_ACCOUNTS:
            self._forget_accounts(keep=claim.account)

    def order(
        self, claims: Sequence[Claim], now: float, spare_share: float = 0.0
    ) -> list[Place]:
        """Return the places of waiting requests in the order in which to send them.

        Requests of accounts that ask for little come first once they have waited, and
        late ones of others come last. The rest is ordered by priority, except that each
        priority gets `MIN_PRIORITY_SHARE`; then by what their account has had and will
        have had by the requests before, and by due time or, after a refusal, by the due
        time of the first attempt.

        Parameters
        ----------
        spare_share : float
            Share of the throughput that requests which arrive leave to late ones.
        """
        self._limit_credit({claim.account for claim in claims})
        scale = self._scale(now)
        on_time: dict[int, list[int]] = {}
        late: dict[int, list[int]] = {}
        preceding = self._preceding(claims, now)
        for index, claim in enumerate(claims):
            target_s = claim.first_event_due - claim.arrived_at
            waited_s = now - claim.arrived_at
            if index in preceding and waited_s > PRECEDENCE_AFTER_SHARE * target_s:
                on_time.setdefault(PRECEDENCE, []).append(index)
            else:
                groups = late if claim.has_missed_target(now) else on_time
                groups.setdefault(claim.priority, []).append(index)
        debts: dict[AccountId | None, float] = {}
        queues = {
            priority: self._order_by_account(claims, on_time[priority], debts, scale)
            for priority in sorted(on_time)
        }
        first = merge_by_priority(
            claims, queues, self._cost_by_priority, self._total, scale
        )
        last = [
            index
            for priority in sorted(late)
            for index in self._order_by_account(claims, late[priority], debts, scale)
        ]
        late_share = max(MIN_LATE_SHARE, spare_share)
        if self._total:
            late_share = max(late_share, self._total_late / self._total)
        return self._places(claims, first, last, preceding, late_share, scale)

    def _preceding(self, claims: Sequence[Claim], now: float) -> set[int]:
        """Return the indexes of the requests that have precedence, oldest first."""
        scale = self._scale(now)
        limit = self._precedence_limit(now)
        preceding = set()
        cost = 0.0
        for index, claim in enumerate(claims):
            if (cost and cost + claim.cost > limit) or not self._asks_little(
                claim, scale
            ):
                continue
            preceding.add(index)
            cost += claim.cost
        self._preceding_cost = cost
        return preceding

    def _order_by_account(
        self,
        claims: Sequence[Claim],
        indexes: list[int],
        debts: dict[AccountId | None, float],
        scale: float,
    ) -> list[int]:
        """Order requests of one priority; adds them to the accounts' debts."""
        indexes.sort(key=lambda index: self._turn(claims[index]))
        keys = []
        arrears = {}
        for index in indexes:
            claim = claims[index]
            debt = debts.get(claim.account)
            if debt is None:
                costs = self._costs_by_account.get(claim.account)
                debt = costs.debt if costs else 0.0
            if claim.account not in arrears:
                arrears[claim.account] = self._arrears(claim.account)
            has_arrears = arrears[claim.account] > 0.0
            keys.append((not has_arrears, debt, self._turn(claim), index))
            debts[claim.account] = debt + claim.cost * scale
            arrears[claim.account] -= claim.cost * scale
        return [index for *_, index in sorted(keys)]

    def _arrears(self, account: AccountId | None) -> float:
        """Return what an account lacks to be served as often as `MIN_SENT_RATIO`."""
        costs = self._costs_by_account.get(account)
        if costs is None or not self._total_asked:
            return 0.0
        sent_share = min(1.0, self._total_sent / self._total_asked)
        return MIN_SENT_RATIO * sent_share * costs.asked - costs.sent

    def _places(
        self,
        claims: Sequence[Claim],
        first: list[int],
        last: list[int],
        preceding: Collection[int],
        late_share: float,
        scale: float,
    ) -> list[Place]:
        places = []
        ahead_tokens = 0
        tokens_by_group: dict[int | None, int] = {}
        shares: dict[tuple[int, AccountId | None], float] = {}
        cost_by_account: dict[tuple[int | None, AccountId | None], float] = {}
        per_s = math.log(2) / HALF_LIFE_S / scale
        for ahead, index in enumerate([*first, *last]):
            claim = claims[index]
            is_late = ahead >= len(first)
            group = None if is_late else claim.priority
            ahead_tokens += claim.tokens
            group_tokens = tokens_by_group.get(group, 0) + claim.tokens
            tokens_by_group[group] = group_tokens
            account_cost = cost_by_account.get((group, claim.account), 0.0) + claim.cost
            cost_by_account[group, claim.account] = account_cost
            costs = self._costs_by_account.get(claim.account)
            sent = costs.cost_by_priority.get(claim.priority, 0.0) if costs else 0.0
            share = late_share
            if not is_late:
                key = (claim.priority, claim.account)
                if key not in shares:
                    shares[key] = self._share_left(*key)
                share = shares[key]
            places.append(
                Place(
                    group,
                    index,
                    ahead,
                    ahead_tokens,
                    group_tokens,
                    share,
                    MIN_LATE_SHARE if is_late else MIN_PRIORITY_SHARE,
                    late_share,
                    account_cost,
                    sent * per_s,
                    index in preceding,
                )
            )
        return places

    def _share_left(self, priority: int, account: AccountId | None) -> float:
        """Return the share of what is sent that requests sent before others leave."""
        if not self._total:
            return 1.0
        before = sum(
            cost for other, cost in self._cost_by_priority.items() if other < priority
        )
        if self._arrears(account) > 0.0:
            return max(0.0, 1.0 - before / self._total)
        own = self._costs_by_account.get(account)
        own_cost = own.cost_by_priority.get(priority, 0.0) if own else 0.0
        for costs in self._costs_by_account.values():
            cost = costs.cost_by_priority.get(priority, 0.0)
            if cost <= CLEARLY_LOWER_COST_SHARE * own_cost:
                before += cost
        return max(0.0, 1.0 - before / self._total)

    def _limit_credit(self, accounts: set[AccountId | None]) -> None:
        """Limit the advantage of accounts that start to wait beside waiting ones."""
        known = self._costs_by_account
        debts = [
            known[account].debt
            for account in self._waiting_accounts & accounts
            if account in known
        ]
        if debts:
            least = IDLE_ACCOUNT_COST_SHARE * min(debts)
            for account in accounts - self._waiting_accounts:
                costs = known.setdefault(account, _AccountCost())
                costs.debt = max(costs.debt, least)
        self._waiting_accounts = accounts
        if len(known) > MAX_ACCOUNTS:
            self._forget_accounts()

    def _scale(self, now: float) -> float:
        """Return the factor of costs of now; earlier ones decay relative to them."""
        scale = 2.0 ** ((now - self._scaled_since) / HALF_LIFE_S)
        if scale < MAX_SCALE:
            return float(scale)
        self._scaled_since = now
        self._total /= scale
        self._total_late /= scale
        self._total_asked /= scale
        self._total_sent /= scale
        by_priority = self._cost_by_priority
        self._cost_by_priority = {p: cost / scale for p, cost in by_priority.items()}
        for costs in self._costs_by_account.values():
            costs.cost /= scale
            costs.debt /= scale
            costs.asked /= scale
            costs.sent /= scale
            costs.cost_by_priority = {
                p: cost / scale for p, cost in costs.cost_by_priority.items()
            }
        return 1.0

    def forget_idle_accounts(self) -> None:
        """Forget the accounts whose cost has decayed; call every few seconds."""
        least = FORGET_BELOW_SHARE * self._total
        idle = [a for a, costs in self._costs_by_account.items() if costs.debt <= least]
        self._remove(idle)

    def _forget_accounts(self, keep: AccountId | None = None) -> None:
        """Forget the accounts with the least cost beyond `MAX_ACCOUNTS`."""
        by_debt = sorted(
            (account for account in self._costs_by_account if account != keep),
            key=lambda account: self._costs_by_account[account].debt,
        )
        self._remove(by_debt[: len(self._costs_by_account) - MAX_ACCOUNTS])

    def _remove(self, accounts: Collection[AccountId | None]) -> None:
        for account in accounts:
            del self._costs_by_account[account]


__all__ = ["AccountShares"]
