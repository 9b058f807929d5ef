"""Reconciles one backend server with its desired state.

An engine that does not check fencing tokens may still execute an order that a former
lease holder sent. The state is therefore read repeatedly until it has matched the
desired state for longer than an order can be in flight, and at a longer interval after
that.
"""

from dataclasses import dataclass
from enum import Enum

from chivesaddle.orders.desired import (
    Order,
    ServerProvisioning,
    missing_orders,
    unload_orders,
)

MAX_ORDER_DELAY_S = 10.0  # maximum delay between sending and executing an order
READ_BACK_INTERVAL_S = 2.0  # until the server has settled
SETTLED_READ_INTERVAL_S = 30.0  # once the server has settled
READ_RETRY_INTERVAL_S = 2.0  # after a failed read or order


class Phase(Enum):
    """Progress of a server towards its desired state."""

    UNKNOWN = "unknown"
    ORDERED = "ordered"
    SETTLING = "settling"
    SETTLED = "settled"


@dataclass
class ServerReconciler:
    """Decides which orders to send and when to read the state; does no I/O.

    Parameters
    ----------
    checks_fencing : bool
        Whether the engine rejects stale fencing tokens. If so, the server is settled as
        soon as one read shows the desired state.

    Attributes
    ----------
    phase : Phase
        Current progress towards the desired state.
    next_read_at : float
        Time of the next state read, in seconds of the caller's clock.
    """

    checks_fencing: bool
    phase: Phase = Phase.UNKNOWN
    next_read_at: float = 0.0
    _desired: ServerProvisioning | None = None
    _settling_until: float = 0.0
    _unload_allowed_at: float = float("inf")

    def set_desired(self, desired: ServerProvisioning, now: float) -> None:
        """Set the desired state; a different state restarts the settling period."""
        if desired != self._desired:
            self._desired = desired
            self.phase = Phase.UNKNOWN
            self.next_read_at = now
            self._unload_allowed_at = float("inf")

    def observe(self, actual: ServerProvisioning, now: float) -> list[Order]:
        """Process a state that was read; return the orders to send now."""
        if self._desired is None:
            return []
        missing = missing_orders(self._desired, actual)
        if missing:
            self.phase = Phase.ORDERED
            self.next_read_at = now + READ_BACK_INTERVAL_S
            self._unload_allowed_at = float("inf")
            return missing
        self._update_phase(now)
        if now < self._unload_allowed_at:
            return []
        return unload_orders(self._desired, actual)

    def record_failure(self, now: float) -> None:
        """Schedule a new read after a failed read or order."""
        self.next_read_at = now + READ_RETRY_INTERVAL_S

    def _update_phase(self, now: float) -> None:
        if self.phase in (Phase.UNKNOWN, Phase.ORDERED):
            self.phase = Phase.SETTLING
            self._settling_until = now + (
                0.0 if self.checks_fencing else MAX_ORDER_DELAY_S
            )
            # Gives requests that run on a replaced weight version time to finish before
            # the version is unloaded.
            self._unload_allowed_at = now + MAX_ORDER_DELAY_S
        if self.phase is Phase.SETTLING and now >= self._settling_until:
            self.phase = Phase.SETTLED
        settled = self.phase is Phase.SETTLED and now >= self._unload_allowed_at
        self.next_read_at = now + (
            SETTLED_READ_INTERVAL_S if settled else READ_BACK_INTERVAL_S
        )


__all__ = [
    "MAX_ORDER_DELAY_S",
    "READ_BACK_INTERVAL_S",
    "SETTLED_READ_INTERVAL_S",
    "Phase",
    "ServerReconciler",
]
