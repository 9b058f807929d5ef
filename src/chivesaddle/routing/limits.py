"""Rate limits per account, divided among the daemons in proportion to demand.

Each daemon's rate is limit x own demand / total demand, computed from the demand that
peers report. An account that has just started to use a daemon gets a floor of
limit / (4 x daemons). The rates of all daemons therefore sum to at most 1.25 x limit if
the daemons have the same reports; no central counter is needed.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from chivesaddle.core.ids import AccountId
from chivesaddle.core.model import Account

FLOOR_DIVISOR = 4
# Below this demand an account counts as idle on a daemon.
IDLE_TOKENS_PER_S = 1.0
# Time constant of the demand average, so that one burst barely changes the shares.
DEMAND_WINDOW_S = 5.0


@dataclass(slots=True)
class TokenBucket:
    """Balance that grows at ``rate_per_s``, capped at ``burst_s`` seconds of that rate.

    While the balance is positive, a cost larger than it is accepted and makes it
    negative; otherwise a prompt larger than the cap could never run.
    """

    rate_per_s: float
    balance: float
    updated_at: float
    burst_s: float = 1.0

    def advance(self, now: float) -> None:
        """Add the balance accrued until ``now``."""
        accrued = self.rate_per_s * max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        cap = max(self.rate_per_s * self.burst_s, 1.0)
        self.balance = min(cap, self.balance + accrued)

    def wait_s(self) -> float:
        """Return the seconds until the balance is positive; zero if it is."""
        if self.balance > 0:
            return 0.0
        # Slightly more than the debt, so that the balance is positive by then.
        return (1e-6 - self.balance) / self.rate_per_s


@dataclass(slots=True)
class _AccountBuckets:
    requests: TokenBucket
    tokens: TokenBucket
    demand_tokens_per_s: float
    demand_at: float


class AccountLimits:
    """Token buckets per account for requests and for LLM tokens.

    Holds one entry per configured account.
    """

    def __init__(self) -> None:
        self._accounts_by_id: Mapping[AccountId, Account] = {}
        self._buckets_by_account_id: dict[AccountId, _AccountBuckets] = {}
        self._peer_demand_by_id: Mapping[AccountId, float] = {}
        self._daemon_count = 1

    def set_accounts(self, accounts_by_id: Mapping[AccountId, Account]) -> None:
        """Replace the configured accounts."""
        self._accounts_by_id = accounts_by_id
        for account_id in self._buckets_by_account_id.keys() - accounts_by_id.keys():
            del self._buckets_by_account_id[account_id]

    def update_demand(
        self, peer_demand_by_id: Mapping[AccountId, float], daemons: int, now: float
    ) -> None:
        """Replace the summed demand of all other daemons, in tokens/s per account."""
        self._peer_demand_by_id = peer_demand_by_id
        self._daemon_count = max(1, daemons)
        for account_id in self._buckets_by_account_id:
            self._set_rates(account_id, now)

    def own_demand(self, now: float) -> dict[AccountId, float]:
        """Return this daemon's demand in tokens/s, refused requests included."""
        return {
            account_id: account_buckets.demand_tokens_per_s
            * _decay_factor(now - account_buckets.demand_at)
            for account_id, account_buckets in self._buckets_by_account_id.items()
        }

    def admit(self, account_id: AccountId, tokens: int, now: float) -> float:
        """Charge a request; return 0, or the seconds to wait if it is refused."""
        if account_id not in self._accounts_by_id:
            return 0.0
        account_buckets = self._buckets_of(account_id, now)
        decayed_demand = account_buckets.demand_tokens_per_s * _decay_factor(
            now - account_buckets.demand_at
        )
        account_buckets.demand_tokens_per_s = decayed_demand + tokens / DEMAND_WINDOW_S
        account_buckets.demand_at = now
        # Update the rates now instead of with the next peer report: until then, an
        # account that moves to this daemon would have only the floor, and its second
        # prompt would be refused.
        self._set_rates(account_id, now)
        wait_s = max(account_buckets.requests.wait_s(), account_buckets.tokens.wait_s())
        if wait_s == 0:
            account_buckets.requests.balance -= 1
            account_buckets.tokens.balance -= tokens
        return wait_s

    def refund(self, account_id: AccountId, tokens: int) -> None:
        """Undo the charge of a request that was refused without running."""
        account_buckets = self._buckets_by_account_id.get(account_id)
        if account_buckets is not None:
            account_buckets.requests.balance += 1
            account_buckets.tokens.balance += tokens

    def share(self, account_id: AccountId, now: float) -> float:
        """Return the fraction of the account's limit that this daemon grants."""
        floor = 1 / (FLOOR_DIVISOR * self._daemon_count)
        peer_demand = self._peer_demand_by_id.get(account_id, 0.0)
        own = self.own_demand(now).get(account_id, 0.0)
        if own < IDLE_TOKENS_PER_S and peer_demand <= 0:
            # Idle on all daemons: equal shares keep the sum within the limit if
            # requests arrive at all daemons at once, before any demand is reported.
            return 1 / self._daemon_count
        return max(floor, own / (own + peer_demand))

    def _buckets_of(self, account_id: AccountId, now: float) -> _AccountBuckets:
        account_buckets = self._buckets_by_account_id.get(account_id)
        if account_buckets is None:
            account, share = (
                self._accounts_by_id[account_id],
                self.share(account_id, now),
            )
            requests, tokens = (
                account.requests_per_s * share,
                account.tokens_per_s * share,
            )
            account_buckets = self._buckets_by_account_id[account_id] = _AccountBuckets(
                TokenBucket(requests, max(1.0, requests), now),
                TokenBucket(tokens, max(1.0, tokens), now),
                0.0,
                now,
            )
        return account_buckets

    def _set_rates(self, account_id: AccountId, now: float) -> None:
        account, account_buckets = (
            self._accounts_by_id[account_id],
            self._buckets_by_account_id[account_id],
        )
        share = self.share(account_id, now)
        for bucket, limit in (
            (account_buckets.requests, account.requests_per_s),
            (account_buckets.tokens, account.tokens_per_s),
        ):
            bucket.advance(now)
            bucket.rate_per_s = limit * share
            bucket.advance(now)


def _decay_factor(elapsed_s: float) -> float:
    return math.exp(-max(0.0, elapsed_s) / DEMAND_WINDOW_S)


__all__ = ["AccountLimits", "TokenBucket"]
