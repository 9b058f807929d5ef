"""When this daemon may send its next request to a cold server.

All daemons together may send a cold server 1.5 times its rate and 5 requests within any
second, and do not know each other's requests at once. Two rules answer that:

A daemon that has heard each of the others in the last moment keeps the common schedule.
Of the daemons that have requests for the service, the one that has sent none to the
server for longest goes first; the others follow at an interval in which they hear of
its request. A request that was sent unheard moves the schedule like any other, so that
it delays the next ones.

A daemon that misses any other one uses an equal share of the rate. The shares add up to
the rate, whoever hears whom, and those that hear all others count their requests.
"""

import functools
import math
from collections.abc import Callable, Collection

import xxhash

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId, DaemonId, ServiceId
from chivesaddle.placement.server_limit import COLD_BURST, ServerLimit

# The users' bound on the requests within one second.
BOUND_RATE_FACTOR = 1.5
BOUND_REQUESTS = 5.0
# Part of the bound that is kept for requests whose reports were lost.
RESERVED_REQUESTS = 2.0
# A report takes up to 50 ms, and 10 ms until it is sent.
MIN_TURN_S = 0.07
# Reports follow each other within 0.1 s while a server is cold; two may be lost.
HEARD_S = 0.35
# A daemon whose last request for the service arrived longer ago takes no turns.
DEMAND_S = 2.0
# From the first request on, until the others know that this daemon takes turns.
JOIN_S = 0.1
# A share of less than one request a second is sent at an interval above one second, so
# that no second has two of them.
SINGLE_REQUEST_INTERVAL_S = 1.01


@functools.lru_cache(maxsize=4_096)
def turn_order(server: BackendServerId, daemon: DaemonId) -> int:
    """Return the order among daemons that have not sent to the server yet."""
    return xxhash.xxh32_intdigest(f"{server} {daemon}".encode())


class ColdTurns:
    """Turns of this daemon at cold servers.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    daemon : DaemonId
        This daemon.
    senders : callable
        Returns the ids of the other daemons that may send requests to servers, also of
        those that are not heard.
    """

    def __init__(
        self,
        clock: Clock,
        daemon: DaemonId,
        senders: Callable[[], Collection[DaemonId]],
    ) -> None:
        self._clock = clock
        self._daemon = daemon
        self._senders = senders
        self._heard_at: dict[DaemonId, float] = {}
        self._demand_at: dict[tuple[DaemonId, ServiceId], float] = {}
        self._joined_at: dict[ServiceId, float] = {}

    def record_heard(self, daemon: DaemonId) -> None:
        """Record that a datagram of a daemon has arrived."""
        self._heard_at[daemon] = self._clock.seconds()

    def forget_heard(self) -> None:
        """Count all others as unheard, because this daemon itself was stopped."""
        self._heard_at.clear()

    def record_peer_demand(self, daemon: DaemonId, service: ServiceId) -> None:
        """Record that a daemon has requests for a service."""
        self._demand_at[daemon, service] = self._clock.seconds()

    def record_demand(self, service: ServiceId) -> bool:
        """Record a request for a service; return whether it is the first for a while.

        The others must be told of the first one.
        """
        is_first = not self.has_demand(service)
        now = self._clock.seconds()
        if is_first:
            self._joined_at[service] = now
        self._demand_at[self._daemon, service] = now
        return is_first

    def has_demand(self, service: ServiceId) -> bool:
        """Return whether this daemon has had requests for a service recently."""
        return self._wants(self._daemon, service)

    def _wants(self, daemon: DaemonId, service: ServiceId) -> bool:
        at = self._demand_at.get((daemon, service), -math.inf)
        return self._clock.seconds() - at <= DEMAND_S

    def turn_at(
        self, server: BackendServerId, service: ServiceId, limit: ServerLimit
    ) -> float:
        """Return when this daemon may send the next request to a cold server."""
        now = self._clock.seconds()
        rate = limit.rate
        assert rate is not None
        peers = self._senders()
        if any(now - self._heard_at.get(p, -math.inf) > HEARD_S for p in peers):
            if limit.share_since is None:
                limit.share_since = now
            return self._share_turn_at(server, limit, rate, peers)
        limit.share_since = None
        if not self.has_demand(service):
            return now + JOIN_S
        others = [peer for peer in peers if self._wants(peer, service)]
        sent_at = limit.last_sent_by_daemon

        def turn(daemon: DaemonId) -> tuple[float, int]:
            return sent_at.get(daemon, -math.inf), turn_order(server, daemon)

        own_turn = turn(self._daemon)
        turn_s = turn_interval_s(rate, len(peers))
        rank = sum(turn(other) < own_turn for other in others)
        spacing_s = turn_s if others else 0.0
        return max(
            limit.opens_at() + rank * turn_s,
            own_turn[0] + spacing_s,
            self._joined_at.get(service, now) + JOIN_S,
        )

    def _share_turn_at(
        self,
        server: BackendServerId,
        limit: ServerLimit,
        rate: float,
        peers: Collection[DaemonId],
    ) -> float:
        """Return the next turn of a daemon that sends an equal share of the rate."""
        assert limit.share_since is not None
        daemons = len(peers) + 1
        bound = BOUND_RATE_FACTOR * rate + BOUND_REQUESTS
        own_order = turn_order(server, self._daemon)
        rank = sum(turn_order(server, peer) < own_order for peer in peers)
        if rank >= int(bound):
            # One request of each daemon would exceed the bound.
            return self._clock.seconds() + SINGLE_REQUEST_INTERVAL_S
        per_daemon = max(1, int(bound / daemons))
        interval_s = max(daemons / rate, SINGLE_REQUEST_INTERVAL_S / per_daemon)
        last_sent_at = limit.last_sent_by_daemon.get(self._daemon, -math.inf)
        # The daemons that miss others since the same moment begin one after the other.
        first_at = limit.share_since + (rank + 1) / rate
        return max(first_at, last_sent_at + interval_s, limit.opens_at())


def turn_interval_s(rate: float, peers: int) -> float:
    """Return the seconds after which the next daemon takes an unused turn.

    If nobody has sent for a while, the daemons whose turn has come may send one request
    each at the same moment. In the second before, at most the rate less what was not
    sent during their turns was used; the interval keeps the sum within the bound.
    """
    if not peers:
        return MIN_TURN_S
    free = (BOUND_RATE_FACTOR - 1) * rate + BOUND_REQUESTS
    free -= COLD_BURST + RESERVED_REQUESTS
    return max(MIN_TURN_S, (1 - free / peers) / rate)


__all__ = ["ColdTurns", "turn_interval_s", "turn_order"]
