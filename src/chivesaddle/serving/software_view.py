"""Whether a daemon would know of servers of another software version."""

from collections.abc import Callable

from chivesaddle.core.aio import Clock
from chivesaddle.fleet import Members, StoreReachability
from chivesaddle.placement import SoftwareHistory

# A daemon that started longer ago and has heard of no peer is the only one that runs.
FIRST_EXCHANGE_TIMEOUT_S = 3.0
# Age of the store's last answer up to which a daemon without peers is not cut off.
MAX_STORE_SILENCE_S = 3.0


class SoftwareView:
    """Tells whether the known software versions are all that there are.

    Without the store and peers, a daemon does not hear of a new version, and one that
    has just started does not know which versions have left. If all daemons started at
    once, only their records in the store tell.

    Parameters
    ----------
    clock : Clock
        Clock of all ages.
    members : Members
        Registered daemons.
    software : SoftwareHistory
        Known versions.
    reachability : StoreReachability
        Whether this daemon reaches the store.
    has_records : callable
        Returns whether this daemon, or one that told it, has read the records.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        software: SoftwareHistory,
        reachability: StoreReachability,
        has_records: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._members = members
        self._software = software
        self._reachability = reachability
        self._has_records = has_records
        self._started_at = clock.seconds()

    def is_current(self) -> bool:
        """Return whether no version can have come or left unnoticed."""
        if not self._has_records():
            return False
        if not self._members.peers():
            return True
        now = self._clock.seconds()
        has_peers = bool(self._members.serving_peers())
        is_new = now - self._started_at < FIRST_EXCHANGE_TIMEOUT_S
        if not self._software.has_heard_peers and (has_peers or is_new):
            return False
        store_silence_s = now - self._reachability.last_success_at
        return has_peers or store_silence_s < MAX_STORE_SILENCE_S


__all__ = ["SoftwareView"]
