"""Interfaces that this package requires from other packages."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from chivesaddle.core.ids import DaemonId, ZoneId


class LeasePort(Protocol):
    """Lease of the zone reader, implemented by `chivesaddle.objects.lease.Lease`."""

    @property
    def version(self) -> int:
        """Version of the lease object after the holder's last write."""

    def start(self) -> Any:
        """Start to acquire and renew the lease."""

    def is_held_at(self, now: float) -> bool:
        """Return whether this process may act as the holder."""

    def record_relayed_version(self, version: int) -> None:
        """Record a lease version that the holder relayed."""


class ConfigurationPort(Protocol):
    """Configuration of this daemon; changes are encoded as JSON."""

    @property
    def revision(self) -> int:
        """Revision in effect on this daemon."""

    async def changes_after(self, revision: int) -> Sequence[bytes]:
        """Return the changes after ``revision`` in order."""

    def apply(self, changes: Sequence[bytes]) -> None:
        """Apply changes in order; those already in effect are skipped."""

    def record_revision(self, daemon_id: DaemonId, revision: int) -> None:
        """Record the revision that is in effect on a peer."""

    async def refresh(self) -> None:
        """Read the head and the missing changes from the platform and apply them."""


class FreshnessPort(Protocol):
    """Decides whether the configuration is confirmed as current."""

    def record_platform_reading(self, age_s: float, now: float) -> None:
        """Record a read of the head; its revision must be in effect already."""

    def record_platform_failure(self, now: float) -> None:
        """Record that this daemon could not reach the platform."""

    def record_contact(
        self, daemon_id: DaemonId, zone: ZoneId, age_s: float, now: float
    ) -> None:
        """Record contact with a daemon ``age_s`` seconds ago."""

    def set_members(self, zones_by_daemon_id: Mapping[DaemonId, ZoneId]) -> None:
        """Replace the known daemons."""

    def is_confirmed(self, now: float) -> bool:
        """Return whether new requests may be served."""

    def reading_age(self, now: float) -> float | None:
        """Return the age in seconds of the latest platform reading, if any."""


__all__ = ["ConfigurationPort", "FreshnessPort", "LeasePort"]
