"""What `peers` needs from other slices."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from chivesaddle.core.ids import DaemonId, ZoneId


class LeasePort(Protocol):
    """The lease of the zone reader, as `chivesaddle.objects.lease.Lease`."""

    @property
    def version(self) -> int:
        """Version of the lease object that the holder last wrote."""

    def start(self) -> Any:
        """Start to acquire and renew."""

    def held_at(self, now: float) -> bool:
        """Tell whether this process may act as the holder."""

    def observe(self, version: int) -> None:
        """Note a version that the holder relayed."""


class ConfigurationPort(Protocol):
    """The configuration of this daemon; changes are JSON here."""

    @property
    def revision(self) -> int:
        """Revision in effect in this daemon."""

    async def changes_after(self, revision: int) -> Sequence[bytes]:
        """Return the changes after ``revision`` in order."""

    def apply(self, changes: Sequence[bytes]) -> None:
        """Apply changes in order; those already in effect are skipped."""

    def record_revision(self, daemon_id: DaemonId, revision: int) -> None:
        """Note the revision that a peer has in effect."""

    async def refresh(self) -> None:
        """Read the head and missing changes from the platform and apply them."""


class FreshnessPort(Protocol):
    """Judges whether the configuration is confirmed."""

    def record_platform_reading(self, age_s: float, now: float) -> None:
        """Note a reading of the head that is not newer than the applied revision."""

    def record_platform_failure(self, now: float) -> None:
        """Note that this daemon could not reach the platform."""

    def record_heard(
        self, daemon_id: DaemonId, zone: ZoneId, age_s: float, now: float
    ) -> None:
        """Note a hearing of a daemon ``age_s`` seconds ago."""

    def set_members(self, zones_by_daemon_id: Mapping[DaemonId, ZoneId]) -> None:
        """Replace the known daemons."""

    def is_confirmed(self, now: float) -> bool:
        """Tell whether new requests may be served."""

    def reading_age(self, now: float) -> float | None:
        """Return the age in seconds of the last platform reading; None if none."""


__all__ = ["ConfigurationPort", "FreshnessPort", "LeasePort"]
