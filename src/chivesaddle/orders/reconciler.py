"""Brings one backend server to its desired state and keeps it there.

An engine that ignores fencing tokens may still carry out an order that a former lease
holder sent. The state is therefore read back until it has stayed as desired for longer
than an order can be in flight, and again at intervals after that.
"""

from dataclasses import dataclass
from enum import Enum

from chivesaddle.orders.desired import (
    Order,
    ServerState,
    missing_orders,
    surplus_orders,
)

ORDER_IN_FLIGHT_S = 10.0  # longest time an order may be delayed on its way
READ_BACK_INTERVAL_S = 2.0  # while settling
SETTLED_INTERVAL_S = 30.0  # after that
RETRY_INTERVAL_S = 2.0  # after a failed read or order


class Phase(Enum):
    """Progress of a server towards its desired state."""

    UNKNOWN = "unknown"
    ORDERED = "ordered"
    SETTLING = "settling"
    SETTLED = "settled"


@dataclass
class ServerReconciler:
    """Decides what to order and when to look again; does no I/O.

    Parameters
    ----------
    checks_fencing : bool
        Whether the engine refuses stale fencing tokens; if so, one read that shows
        the desired state settles it.

    Attributes
    ----------
    phase : Phase
        Progress so far.
    next_read_at : float
        Seconds on the caller's clock when the state is to be read next.
    """

    checks_fencing: bool
    phase: Phase = Phase.UNKNOWN
    next_read_at: float = 0.0
    _desired: ServerState | None = None
    _settled_at: float = 0.0
    _surplus_allowed_at: float = float("inf")

    def want(self, desired: ServerState, now: float) -> None:
        """Set the desired state; a change restarts the settling."""
        if desired != self._desired:
            self._desired = desired
            self.phase = Phase.UNKNOWN
            self.next_read_at = now
            self._surplus_allowed_at = float("inf")

    def observe(self, found: ServerState, now: float) -> list[Order]:
        """Take in a state that was read; return the orders to send now."""
        if self._desired is None:
            return []
        missing = missing_orders(self._desired, found)
        if missing:
            self.phase = Phase.ORDERED
            self.next_read_at = now + READ_BACK_INTERVAL_S
            self._surplus_allowed_at = float("inf")
            return missing
        self._observe_nothing_missing(now)
        if now < self._surplus_allowed_at:
            return []
        return surplus_orders(self._desired, found)

    def record_failure(self, now: float) -> None:
        """Take in that a read or an order failed."""
        self.next_read_at = now + RETRY_INTERVAL_S

    def _observe_nothing_missing(self, now: float) -> None:
        if self.phase in (Phase.UNKNOWN, Phase.ORDERED):
            self.phase = Phase.SETTLING
            self._settled_at = now + (0.0 if self.checks_fencing else ORDER_IN_FLIGHT_S)
            # Runs on the replaced version get this long before it is unloaded.
            self._surplus_allowed_at = now + ORDER_IN_FLIGHT_S
        if self.phase is Phase.SETTLING and now >= self._settled_at:
            self.phase = Phase.SETTLED
        settled = self.phase is Phase.SETTLED and now >= self._surplus_allowed_at
        self.next_read_at = now + (
            SETTLED_INTERVAL_S if settled else READ_BACK_INTERVAL_S
        )


__all__ = [
    "ORDER_IN_FLIGHT_S",
    "READ_BACK_INTERVAL_S",
    "SETTLED_INTERVAL_S",
    "Phase",
    "ServerReconciler",
]
