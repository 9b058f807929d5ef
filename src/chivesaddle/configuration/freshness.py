"""Checks whether this daemon's configuration is recent enough to serve requests."""

from collections.abc import Mapping

from chivesaddle.core.ids import DaemonId, ZoneId

# A change must take effect within 9 s. Readings are accepted up to an age of 6 s, which
# leaves 3 s for the change to reach the daemon that relies on the reading.
MAX_READING_AGE_S = 6.0
# In larger fleets a daemon no longer exchanges messages directly with every other one,
# so the majority is counted in zones instead of daemons.
MAX_MEMBERS_FOR_DAEMON_MAJORITY = 32


class Freshness:
    """Tracks the last reading of the platform's head and contacts to other daemons.

    A reading is a successful read of the configuration head, by this daemon or relayed
    by a peer. Times are seconds on this daemon's monotonic clock. The ages of relayed
    readings and contacts are measured from the original event, not from the relay.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon; always counted as in contact.
    zone : ZoneId
        Zone of this daemon.
    """

    def __init__(self, daemon_id: DaemonId, zone: ZoneId) -> None:
        self._daemon_id = daemon_id
        self._zone = zone
        self._zone_by_daemon_id: dict[DaemonId, ZoneId] = {daemon_id: zone}
        self._contact_at_by_daemon_id: dict[DaemonId, float] = {}
        self._has_member_list = False
        self._platform_read_at: float | None = None
        self._platform_failure_at: float | None = None

    @property
    def members(self) -> frozenset[DaemonId]:
        """The member daemons, including this one."""
        return frozenset(self._zone_by_daemon_id)

    def set_members(self, zones_by_daemon_id: Mapping[DaemonId, ZoneId]) -> None:
        """Replace the members; this daemon is always one of them."""
        self._zone_by_daemon_id = {**zones_by_daemon_id, self._daemon_id: self._zone}
        self._has_member_list = True
        self._contact_at_by_daemon_id = {
            daemon: contact_at
            for daemon, contact_at in self._contact_at_by_daemon_id.items()
            if daemon in self._zone_by_daemon_id
        }

    def record_platform_reading(self, age_s: float, now: float) -> None:
        """Record that the platform's head was read ``age_s`` seconds ago."""
        read_at = now - age_s
        if self._platform_read_at is None or read_at > self._platform_read_at:
            self._platform_read_at = read_at

    def record_platform_failure(self, now: float) -> None:
        """Record that the platform could not be reached."""
        self._platform_failure_at = now

    def record_contact(
        self, daemon_id: DaemonId, zone: ZoneId, age_s: float, now: float
    ) -> None:
        """Record a direct or relayed contact with a daemon ``age_s`` seconds ago."""
        contact_at = now - age_s
        if contact_at > self._contact_at_by_daemon_id.get(daemon_id, float("-inf")):
            self._contact_at_by_daemon_id[daemon_id] = contact_at
        self._zone_by_daemon_id.setdefault(daemon_id, zone)

    def reading_age(self, now: float) -> float | None:
        """Return the age of the last reading in seconds, or None without a reading."""
        return None if self._platform_read_at is None else now - self._platform_read_at

    def has_majority_contact(self, now: float) -> bool:
        """Return whether this daemon had recent contact with a majority of members.

        With more than 32 members, a majority of the zones is needed instead.
        """
        reachable = {
            d for d in self._zone_by_daemon_id if self._had_recent_contact(d, now)
        }
        if len(self._zone_by_daemon_id) <= MAX_MEMBERS_FOR_DAEMON_MAJORITY:
            return 2 * len(reachable) > len(self._zone_by_daemon_id)
        zones = set(self._zone_by_daemon_id.values())
        return 2 * len({self._zone_by_daemon_id[d] for d in reachable}) > len(zones)

    def is_confirmed(self, now: float) -> bool:
        """Return whether new requests may be served under the active configuration.

        A recent reading confirms it. While the platform is unreachable, contact with a
        majority of the daemons confirms it instead.
        """
        age = self.reading_age(now)
        if age is None:
            # A new daemon starts with an empty configuration, which must not be served.
            return False
        if age < MAX_READING_AGE_S:
            return True
        unreachable = (
            self._platform_failure_at is not None
            and self._platform_failure_at > now - age
        )
        return unreachable and self._has_member_list and self.has_majority_contact(now)

    def _had_recent_contact(self, daemon: DaemonId, now: float) -> bool:
        if daemon == self._daemon_id:
            return True
        contact_at = self._contact_at_by_daemon_id.get(daemon)
        return contact_at is not None and now - contact_at < MAX_READING_AGE_S


__all__ = ["MAX_READING_AGE_S", "Freshness"]
