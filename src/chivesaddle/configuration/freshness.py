"""Whether this daemon's configuration is confirmed to be the newest."""

from collections.abc import Mapping

from chivesaddle.core.ids import DaemonId, ZoneId

# Leaves 3 s of the 9 s within which a change must be in effect for it to reach the
# daemon that has the reading.
MAX_READING_AGE_S = 6.0
# Above this number of daemons exchange no longer reaches every daemon directly, so
# whole zones are counted.
MAX_COUNTED_DAEMONS = 32


class Freshness:
    """Age of the platform's last reading and contact to the other daemons.

    Times are seconds on this daemon's monotonic clock. Ages of relayed readings and
    hearings accumulate, so that they are ages of the original event.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon; always counted as heard.
    zone : ZoneId
        Zone of this daemon.
    """

    def __init__(self, daemon_id: DaemonId, zone: ZoneId) -> None:
        self._own = daemon_id
        self._zone = zone
        self._zone_by_id: dict[DaemonId, ZoneId] = {daemon_id: zone}
        self._heard_at_by_id: dict[DaemonId, float] = {}
        self._members_known = False
        self._reading_at: float | None = None
        self._failure_at: float | None = None

    @property
    def members(self) -> frozenset[DaemonId]:
        """The known daemons, this one included."""
        return frozenset(self._zone_by_id)

    def set_members(self, zones_by_daemon_id: Mapping[DaemonId, ZoneId]) -> None:
        """Replace the known daemons; this daemon is always one of them."""
        self._zone_by_id = {**zones_by_daemon_id, self._own: self._zone}
        self._members_known = True
        self._heard_at_by_id = {
            daemon: at
            for daemon, at in self._heard_at_by_id.items()
            if daemon in self._zone_by_id
        }

    def record_platform_reading(self, age_s: float, now: float) -> None:
        """Record that the platform confirmed the head ``age_s`` ago."""
        at = now - age_s
        if self._reading_at is None or at > self._reading_at:
            self._reading_at = at

    def record_platform_failure(self, now: float) -> None:
        """Record that the platform could not be reached."""
        self._failure_at = now

    def record_heard(
        self, daemon_id: DaemonId, zone: ZoneId, age_s: float, now: float
    ) -> None:
        """Record that a daemon was heard from ``age_s`` ago, directly or relayed."""
        at = now - age_s
        if at > self._heard_at_by_id.get(daemon_id, float("-inf")):
            self._heard_at_by_id[daemon_id] = at
        self._zone_by_id.setdefault(daemon_id, zone)

    def reading_age(self, now: float) -> float | None:
        """Return the age of the last reading in seconds, None without one."""
        return None if self._reading_at is None else now - self._reading_at

    def has_majority_contact(self, now: float) -> bool:
        """Tell whether a majority of the known daemons was heard from recently.

        Counted in zones when more than 32 daemons are known.
        """
        heard = {d for d in self._zone_by_id if self._is_heard(d, now)}
        if len(self._zone_by_id) <= MAX_COUNTED_DAEMONS:
            return 2 * len(heard) > len(self._zone_by_id)
        zones = set(self._zone_by_id.values())
        return 2 * len({self._zone_by_id[d] for d in heard}) > len(zones)

    def is_confirmed(self, now: float) -> bool:
        """Tell whether new requests may be served under the configuration in force."""
        age = self.reading_age(now)
        if age is None:
            # A new daemon holds no configuration that anything has confirmed yet.
            return False
        if age < MAX_READING_AGE_S:
            return True
        unreachable = self._failure_at is not None and self._failure_at > now - age
        return unreachable and self._members_known and self.has_majority_contact(now)

    def _is_heard(self, daemon: DaemonId, now: float) -> bool:
        if daemon == self._own:
            return True
        at = self._heard_at_by_id.get(daemon)
        return at is not None and now - at < MAX_READING_AGE_S


__all__ = ["MAX_READING_AGE_S", "Freshness"]
