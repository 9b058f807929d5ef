"""Return times for refused requests, and counts of how admission ended."""

from collections import Counter
from enum import Enum

# Share of the time for which the caller still waits that it is told to stay away at
# most, so that it can try again twice.
MAX_RETURN_SHARE = 1 / 3
# Longest time if it is not known how long the caller waits.
MAX_RETURN_S = 3.0
# Time between two returns while the throughput is not known.
DEFAULT_RETURN_SPACING_S = 0.02
# Share of the longest time after which returns begin at the latest.
MAX_BACKLOG_SHARE = 0.5


class Admission(Enum):
    """How a request left the admission queue."""

    SENT_AT_ONCE = "sent_at_once"
    WAITED = "waited"
    REFUSED_ON_ARRIVAL = "refused_on_arrival"
    REFUSED_WHILE_WAITING = "refused_while_waiting"


class AdmissionCounts:
    """Counts by outcome and by whether the account was over its share."""

    def __init__(self) -> None:
        self.by_name: Counter[str] = Counter()

    def record(self, outcome: Admission, is_over_share: bool) -> None:
        """Count a request."""
        account_class = "over_share" if is_over_share else "within_share"
        self.by_name[f"admission_{outcome.value}_{account_class}"] += 1


class ReturnSchedule:
    """Times at which refused callers return, evenly spread.

    Load: hundreds of requests are refused within a second. If all were told the same
    time, they would return together and most would be refused again.
    """

    def __init__(self) -> None:
        self._next_at = 0.0

    def next_return_s(
        self,
        now: float,
        backlog_s: float,
        spacing_s: float | None,
        caller_gives_up_at: float | None,
    ) -> float:
        """Return after how many seconds the next refused caller should return.

        Parameters
        ----------
        backlog_s : float
            Predicted time in which the requests ahead of it are served.
        spacing_s : float or None
            Time in which the servers serve one such request, None if unknown.
        caller_gives_up_at : float or None
            Until when the caller waits for a response, None if unknown.
        """
        longest_s = MAX_RETURN_S
        if caller_gives_up_at is not None:
            longest_s = MAX_RETURN_SHARE * max(0.0, caller_gives_up_at - now)
        earliest_at = now + min(backlog_s, MAX_BACKLOG_SHARE * longest_s)
        if spacing_s is None:
            spacing_s = DEFAULT_RETURN_SPACING_S
        at = max(self._next_at, earliest_at, now + min(spacing_s, longest_s))
        if at > now + longest_s:
            # All points up to the longest time are taken: begin again.
            at = earliest_at
        self._next_at = at + spacing_s
        return at - now


__all__ = ["Admission", "AdmissionCounts", "ReturnSchedule"]
