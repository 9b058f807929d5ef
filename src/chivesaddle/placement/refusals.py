"""Return times for refused requests, and counts of how admission ended."""

from collections import Counter, OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

# Share of the time for which the caller still waits that it is told to stay away at
# most, so that it can try again twice.
MAX_RETURN_SHARE = 1 / 3
# Share of the time that is left after a wait, at most.
MAX_LEFT_SHARE = 1 / 2
# Longest time if it is not known how long the caller waits.
MAX_RETURN_S = 3.0
# Time between two returns while the throughput is not known.
DEFAULT_RETURN_SPACING_S = 0.02
# Share of the longest time after which returns begin at the latest.
MAX_BACKLOG_SHARE = 0.5
# Time if all returns before are taken and it is not known how long the caller waits.
MAX_LATE_RETURN_S = 10.0
MAX_REFUSED_CALLERS = 4_096
# Returns are counted for slots of this time; past slots are dropped beyond this number.
RETURN_SLOT_S = 0.25
MAX_RETURN_SLOTS = 128


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


class FleetReturns:
    """Returns of all accounts, limited to what the servers can take."""

    def __init__(self) -> None:
        self._taken_s_by_slot: dict[int, float] = {}

    def first_free(self, at: float, fleet_s: float) -> float:
        """Return the first time from ``at`` at which the servers have time left."""
        slot = int(at / RETURN_SLOT_S)
        while True:
            taken_s = self._taken_s_by_slot.get(slot, 0.0)
            if not taken_s or taken_s + fleet_s <= RETURN_SLOT_S:
                return max(at, slot * RETURN_SLOT_S)
            slot += 1
            at = slot * RETURN_SLOT_S + self._taken_s_by_slot.get(slot, 0.0)

    def take(self, now: float, at: float, fleet_s: float) -> None:
        """Record a return that takes so much time of all servers."""
        slot = int(at / RETURN_SLOT_S)
        self._taken_s_by_slot[slot] = self._taken_s_by_slot.get(slot, 0.0) + fleet_s
        if len(self._taken_s_by_slot) > MAX_RETURN_SLOTS:
            first = int(now / RETURN_SLOT_S)
            self._taken_s_by_slot = {
                slot: taken_s
                for slot, taken_s in self._taken_s_by_slot.items()
                if slot >= first
            }


class ReturnSchedule:
    """Times at which refused callers return, evenly spread.

    Load: hundreds of requests are refused within a second. If all were told the same
    time, they would return together and most would be refused again.

    Parameters
    ----------
    fleet : FleetReturns or None
        The returns of all schedules, if there are several.
    """

    def __init__(self, fleet: "FleetReturns | None" = None) -> None:
        self._fleet = fleet
        self.next_at = 0.0

    def next_return_s(
        self,
        now: float,
        backlog_s: float,
        spacing_s: float | None,
        caller_gives_up_at: float | None,
        arrived_at: float | None = None,
        fleet_s: float = 0.0,
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
        arrived_at : float or None
            When the request arrived, None if unknown.
        fleet_s : float
            Time that the request takes of all servers.
        """
        longest_s = MAX_RETURN_S
        if caller_gives_up_at is not None:
            left_s = max(0.0, caller_gives_up_at - now)
            longest_s = MAX_RETURN_SHARE * left_s
            if arrived_at is not None:
                longest_s = MAX_RETURN_SHARE * (caller_gives_up_at - arrived_at)
                longest_s = min(longest_s, MAX_LEFT_SHARE * left_s)
        earliest_at = now + min(backlog_s, MAX_BACKLOG_SHARE * longest_s)
        if spacing_s is None:
            spacing_s = DEFAULT_RETURN_SPACING_S
        at = max(self.next_at, earliest_at, now + min(spacing_s, longest_s))
        if self._fleet is not None:
            at = self._fleet.first_free(at, fleet_s)
        if at > now + longest_s:
            # All returns until then are taken; the servers have no room for another one
            # while the caller waits.
            if caller_gives_up_at is None:
                return MAX_LATE_RETURN_S
            return max(longest_s, caller_gives_up_at - now)
        if self._fleet is not None:
            self._fleet.take(now, at, fleet_s)
        self.next_at = at + spacing_s
        return at - now


@dataclass(frozen=True, slots=True)
class _RefusedCaller:
    turn: float
    return_at: float


class RefusedCallers:
    """When refused callers may return, and by which time they are ordered then.

    Callers are known by the fingerprints of their requests; those without are unknown.
    """

    def __init__(self) -> None:
        self._caller_by_fingerprint: OrderedDict[Hashable, _RefusedCaller] = (
            OrderedDict()
        )

    def record(self, fingerprint: Hashable, turn: float, return_at: float) -> None:
        """Record a refusal; ``turn`` orders the caller when it returns."""
        self._caller_by_fingerprint[fingerprint] = _RefusedCaller(turn, return_at)
        if len(self._caller_by_fingerprint) > MAX_REFUSED_CALLERS:
            self._caller_by_fingerprint.popitem(last=False)

    def discard(self, fingerprint: Hashable | None) -> None:
        """Forget a caller whose request was sent."""
        self._caller_by_fingerprint.pop(fingerprint, None)

    def turn(self, fingerprint: Hashable | None) -> float | None:
        """Return by which time a refused caller is ordered, None for others."""
        caller = self._caller_by_fingerprint.get(fingerprint)
        return caller.turn if caller else None

    def return_at(self, fingerprint: Hashable | None) -> float | None:
        """Return when a refused caller may return, None for others."""
        caller = self._caller_by_fingerprint.get(fingerprint)
        return caller.return_at if caller else None


__all__ = [
    "Admission",
    "AdmissionCounts",
    "FleetReturns",
    "RefusedCallers",
    "ReturnSchedule",
]
