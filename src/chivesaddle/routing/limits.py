"""Limits per account, shared over daemons in proportion to demand.

Each daemon's rate is limit x own demand / demand of all, from the demands that peers
report, with a floor of limit / (4 x daemons) for an account that only starts to use a
daemon. The rates of all daemons therefore sum to at most 1.25 x limit, given reports
that agree; no central counter is needed.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from chivesaddle.core.ids import AccountId
from chivesaddle.core.model import Account

FLOOR_DIVISOR = 4
# Below this demand an account counts as idle on a daemon.
IDLE_TOKENS_PER_S = 1.0
# Demand is averaged over this time, so that one burst does not move the shares.
DEMAND_WINDOW_S = 5.0


@dataclass(slots=True)
class TokenBucket:
    """Balance that grows at ``rate_per_s`` up to ``burst_s`` seconds of it.

    A cost larger than the balance is accepted while the balance is positive and leaves
    a debt; otherwise a prompt larger than the burst could never run.
    """

    rate_per_s: float
    balance: float
    updated_at: float
    burst_s: float = 1.0

    def advance(self, now: float) -> None:
        """Add what accrued until ``now``."""
        accrued = self.rate_per_s * max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        cap = max(self.rate_per_s * self.burst_s, 1.0)
        self.balance = min(cap, self.balance + accrued)

    def wait_s(self) -> float:
        """Return the seconds until the balance is positive; zero if it is."""
        if self.balance > 0:
            return 0.0
        # One unit more than the debt, so that the balance is positive by then.
        return (1e-6 - self.balance) / self.rate_per_s


@dataclass(slots=True)
class _AccountState:
    requests: TokenBucket
    tokens: TokenBucket
    demand_tokens_per_s: float
    demand_at: float


class Limits:
    """Buckets of requests and tokens per account; one entry per configured account."""

    def __init__(self) -> None:
        self._accounts_by_id: Mapping[AccountId, Account] = {}
        self._states_by_id: dict[AccountId, _AccountState] = {}
        self._others_by_id: Mapping[AccountId, float] = {}
        self._daemons = 1

    def set_accounts(self, accounts_by_id: Mapping[AccountId, Account]) -> None:
        """Replace the configured accounts."""
        self._accounts_by_id = accounts_by_id
        for account_id in self._states_by_id.keys() - accounts_by_id.keys():
            del self._states_by_id[account_id]

    def update_demand(
        self, others_by_id: Mapping[AccountId, float], daemons: int, now: float
    ) -> None:
        """Take over the summed demand of all other daemons, in tokens/s."""
        self._others_by_id = others_by_id
        self._daemons = max(1, daemons)
        for account_id in self._states_by_id:
            self._set_rates(account_id, now)

    def own_demand(self, now: float) -> dict[AccountId, float]:
        """Return this daemon's demand in tokens/s, refused requests included."""
        return {
            account_id: state.demand_tokens_per_s * _decay(now - state.demand_at)
            for account_id, state in self._states_by_id.items()
        }

    def admit(self, account_id: AccountId, tokens: int, now: float) -> float:
        """Charge a request; return 0, or the seconds to wait if it is refused."""
        if account_id not in self._accounts_by_id:
            return 0.0
        state = self._state(account_id, now)
        decayed = state.demand_tokens_per_s * _decay(now - state.demand_at)
        state.demand_tokens_per_s = decayed + tokens / DEMAND_WINDOW_S
        state.demand_at = now
        # At once: until the next report of the peers an account that moves to this
        # daemon would have the floor only, and its second prompt would be refused.
        self._set_rates(account_id, now)
        wait_s = max(state.requests.wait_s(), state.tokens.wait_s())
        if wait_s == 0:
            state.requests.balance -= 1
            state.tokens.balance -= tokens
        return wait_s

    def refund(self, account_id: AccountId, tokens: int) -> None:
        """Take back the charge of a request that was refused without running."""
        state = self._states_by_id.get(account_id)
        if state is not None:
            state.requests.balance += 1
            state.tokens.balance += tokens

    def share(self, account_id: AccountId, now: float) -> float:
        """Return the part of the account's limit that this daemon grants."""
        floor = 1 / (FLOOR_DIVISOR * self._daemons)
        others = self._others_by_id.get(account_id, 0.0)
        own = self.own_demand(now).get(account_id, 0.0)
        if own < IDLE_TOKENS_PER_S and others <= 0:
            # Unused everywhere: equal parts bound the sum when all daemons start to
            # use the account at once, before any demand is known.
            return 1 / self._daemons
        return max(floor, own / (own + others))

    def _state(self, account_id: AccountId, now: float) -> _AccountState:
        state = self._states_by_id.get(account_id)
        if state is None:
            account, share = (
                self._accounts_by_id[account_id],
                self.share(account_id, now),
            )
            requests, tokens = (
                account.requests_per_s * share,
                account.tokens_per_s * share,
            )
            state = self._states_by_id[account_id] = _AccountState(
                TokenBucket(requests, max(1.0, requests), now),
                TokenBucket(tokens, max(1.0, tokens), now),
                0.0,
                now,
            )
        return state

    def _set_rates(self, account_id: AccountId, now: float) -> None:
        account, state = (
            self._accounts_by_id[account_id],
            self._states_by_id[account_id],
        )
        share = self.share(account_id, now)
        for bucket, limit in (
            (state.requests, account.requests_per_s),
            (state.tokens, account.tokens_per_s),
        ):
            bucket.advance(now)
            bucket.rate_per_s = limit * share
            bucket.advance(now)


def _decay(elapsed_s: float) -> float:
    return math.exp(-max(0.0, elapsed_s) / DEMAND_WINDOW_S)


__all__ = ["Limits", "TokenBucket"]
