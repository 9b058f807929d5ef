"""Estimate of the other daemons' demand per account, from the reports received."""

from collections import Counter
from collections.abc import Mapping

from chivesaddle.core.ids import AccountId, DaemonId

# A daemon of a large fleet exchanges state with only a few peers per second, so enough
# reports for an estimate arrive only over several rounds.
DEMAND_TTL_S = 10.0
# The accounts with the largest demand cause nearly all of it.
MAX_ACCOUNTS = 16


def top_accounts(
    demand_by_account: Mapping[AccountId, float],
) -> dict[AccountId, float]:
    """Return the accounts with the largest demand, at most `MAX_ACCOUNTS`."""
    ranked = sorted(demand_by_account.items(), key=lambda item: (-item[1], item[0]))
    return {
        account: tokens_per_s
        for account, tokens_per_s in ranked[:MAX_ACCOUNTS]
        if tokens_per_s > 0
    }


class PeerDemand:
    """The latest demand report of each peer, in tokens per second by account.

    Examples
    --------
    >>> demand = PeerDemand()
    >>> demand.record("d-1", {"acc": 10.0}, now=0.0)
    >>> demand.by_account_id(other_daemons=2, now=1.0)
    {'acc': 20.0}
    """

    def __init__(self) -> None:
        self._reports_by_daemon_id: dict[
            DaemonId, tuple[float, dict[AccountId, float]]
        ] = {}

    def record(
        self, daemon_id: DaemonId, demand: dict[AccountId, float], now: float
    ) -> None:
        """Replace the demand report of a daemon."""
        self._reports_by_daemon_id[daemon_id] = (now + DEMAND_TTL_S, demand)

    def by_account_id(self, other_daemons: int, now: float) -> dict[AccountId, float]:
        """Return the estimated total demand of the other daemons.

        The sum over the daemons with a valid report is scaled to ``other_daemons``,
        the number of other live daemons.
        """
        self._reports_by_daemon_id = {
            daemon_id: (valid_until, demand)
            for daemon_id, (valid_until, demand) in self._reports_by_daemon_id.items()
            if now < valid_until
        }
        total: Counter[AccountId] = Counter()
        for _, demand in self._reports_by_daemon_id.values():
            for account, tokens_per_s in demand.items():
                total[account] += tokens_per_s  # type: ignore[assignment]
        reporting_daemons = len(self._reports_by_daemon_id)
        scale = (
            max(1.0, other_daemons / reporting_daemons) if reporting_daemons else 1.0
        )
        return {
            account: tokens_per_s * scale
            for account, tokens_per_s in sorted(total.items())
        }


__all__ = ["PeerDemand", "top_accounts"]
