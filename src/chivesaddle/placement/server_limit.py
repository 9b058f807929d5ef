"""Schedule of the requests to a backend server that limits their rate."""

import math
import random
from dataclasses import dataclass, field

from chivesaddle.core.ids import DaemonId

# Requests that may follow each other at once: at least so many, and for higher limits
# as many as the limit allows in this time.
MIN_BURST = 3.0
BURST_WINDOW_S = 0.25
# The same for a cold server. One request beyond the even distribution makes up for the
# delay between a server's opening and the request that uses it.
COLD_BURST = 2.0
# Daemons whose last request to a server is remembered.
MAX_SENDERS = 256
# Serial numbers begin at a random one, so that a larger step is not a count of requests
# but a sender that has started anew.
SERIAL_BITS = 48
MAX_SERIAL_STEP = 1_000
# Reported requests close a server for this long at most. Otherwise a daemon that hears
# of many at once after a cut would wait for requests that are long done.
MAX_DEBT_S = 2.0


def _first_serial() -> int:
    return random.getrandbits(SERIAL_BITS) + MAX_SERIAL_STEP


@dataclass(slots=True)
class ServerLimit:
    """Limit of one server, and the schedule of the requests to it.

    Times are of the local clock.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None if the server names no limit any more.
    heard_at : float
        When the server named the limit.
    next_due : float
        When the next request would be due if all followed each other evenly.
    last_sent_by_daemon : dict
        When each daemon last sent a request to the server.
    cold_per_s : float or None
        Requests per second that the server takes while it is cold; None if it is warm.
    serial : int
        Serial number of this daemon's last request to the server.
    serial_by_daemon : dict
        The same of the other daemons, as far as they have told it.
    share_since : float or None
        Since when this daemon sends an equal share of the rate to the cold server
        without regard to the others' requests; None if it hears them.
    """

    per_s: float | None
    heard_at: float
    next_due: float = -math.inf
    last_sent_by_daemon: dict[DaemonId, float] = field(default_factory=dict)
    cold_per_s: float | None = None
    serial: int = field(default_factory=_first_serial)
    serial_by_daemon: dict[DaemonId, int] = field(default_factory=dict)
    share_since: float | None = None

    @property
    def rate(self) -> float | None:
        """Requests per second that are allowed now; None for any number."""
        if self.cold_per_s is None or self.per_s is None:
            return self.cold_per_s or self.per_s
        return min(self.cold_per_s, self.per_s)

    def opens_at(self) -> float:
        """Return from when on some daemon may send a request."""
        return self.next_due - self._burst_s()

    def set_rate(self, per_s: float | None, now: float) -> None:
        """Apply a changed limit; one request may be sent at once."""
        self.per_s = per_s
        self.next_due = now + self._burst_s()

    def set_cold_rate(self, per_s: float | None, now: float) -> None:
        """Apply the rate of a cold server, or end it with None."""
        self.cold_per_s, self.share_since = per_s, None
        self.next_due = now + self._burst_s()

    def record_send(self, daemon: DaemonId, now: float) -> None:
        """Move the schedule by one request."""
        rate = self.rate
        if rate is None:
            return
        self.next_due = max(self.next_due, now) + 1 / rate
        if self.cold_per_s is not None:
            self.next_due = min(self.next_due, now + MAX_DEBT_S)
        self.last_sent_by_daemon.pop(daemon, None)
        self.last_sent_by_daemon[daemon] = now
        while len(self.last_sent_by_daemon) > MAX_SENDERS:
            del self.last_sent_by_daemon[next(iter(self.last_sent_by_daemon))]

    def count_unseen(self, daemon: DaemonId, serial: int, sends: int) -> int:
        """Return how many requests of a peer's report were not counted yet.

        Parameters
        ----------
        serial : int
            Serial number of the peer's last request; 0 if the peer tells none.
        sends : int
            Requests that the report names, one of which may be in an earlier one that
            was lost or came late.
        """
        if not serial:
            return sends
        known = self.serial_by_daemon.get(daemon)
        step = MAX_SERIAL_STEP if known is None else serial - known
        if -MAX_SERIAL_STEP < step <= 0:
            return 0
        if known is None and len(self.serial_by_daemon) >= MAX_SENDERS:
            del self.serial_by_daemon[next(iter(self.serial_by_daemon))]
        self.serial_by_daemon[daemon] = serial
        return step if 0 < step < MAX_SERIAL_STEP else sends

    def _burst_s(self) -> float:
        """Return how far requests may be ahead of an even distribution."""
        rate = self.rate
        if rate is None:
            return math.inf
        if self.cold_per_s is not None:
            return (COLD_BURST - 1) / rate
        return (max(MIN_BURST, BURST_WINDOW_S * rate) - 1) / rate


__all__ = ["COLD_BURST", "ServerLimit"]
