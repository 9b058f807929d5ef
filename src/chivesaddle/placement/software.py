"""Software versions of each service's servers, including those that left recently."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ServiceId, SoftwareVersion
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ServerEntry
from chivesaddle.placement.table import ServerTable

# Callers resume streams for at most their time limit; the longest in use are
# 15 s.
GONE_VERSION_RETENTION_S = 60.0

log = ComponentLogger("software")


class GoneVersion(msgspec.Struct, array_like=True, frozen=True):
    """A software version whose server left the list.

    Attributes
    ----------
    age_ms : int
        Milliseconds since then.
    """

    service: str
    version: str
    age_ms: int


class SoftwareHistory:
    """Tells which software versions a stream of a service may have begun at.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    servers : ServerTable
        The listed servers; its callback for changes of entries is set.
    """

    def __init__(self, clock: Clock, servers: ServerTable) -> None:
        self._clock = clock
        self._listed: Counter[tuple[ServiceId, SoftwareVersion]] = Counter()
        self._gone_at: dict[tuple[ServiceId, SoftwareVersion], float] = {}
        # Called with a service when a second version of it becomes known.
        self.on_mixed: Callable[[ServiceId], None] = lambda service: None
        self.has_heard_peers = False
        servers.on_entry_changed = self._update

    def versions(self, service: ServiceId) -> set[SoftwareVersion]:
        """Return the versions that are listed or have left recently."""
        oldest = self._clock.seconds() - GONE_VERSION_RETENTION_S
        gone = {key for key, at in self._gone_at.items() if at > oldest}
        return {
            version
            for known_service, version in self._listed.keys() | gone
            if known_service == service
        }

    def collect(self) -> list[Any]:
        """Return the versions that left recently, for peers."""
        now = self._clock.seconds()
        self._gone_at = {
            key: at
            for key, at in self._gone_at.items()
            if at > now - GONE_VERSION_RETENTION_S
        }
        return [
            msgspec.to_builtins(
                GoneVersion(service, version, round((now - at) * 1_000))
            )
            for (service, version), at in self._gone_at.items()
        ]

    def reports(self, service: ServiceId) -> list[GoneVersion]:
        """Return the versions that a service may have, those that are listed at age 0.

        Those that left last come first.
        """
        now = self._clock.seconds()
        ages = {}
        for version in self.versions(service):
            key = service, version
            is_listed = key in self._listed
            ages[version] = 0.0 if is_listed else now - self._gone_at[key]
        return [
            GoneVersion(service, version, round(ages[version] * 1_000))
            for version in sorted(ages, key=lambda version: ages[version])
        ]

    def apply_reports(self, reports: Iterable[GoneVersion]) -> None:
        """Apply the versions that a peer knows, as its `reports` returns them."""
        # One that is listed here counts as gone once it leaves the list.
        self._apply(
            report
            for report in reports
            if (report.service, report.version) not in self._listed
        )

    def apply_remote(self, hint: Any) -> None:
        """Apply what a peer has seen leave."""
        self.has_heard_peers = True
        self._apply(msgspec.convert(hint, list[GoneVersion]))

    def record_gone(self, service: ServiceId, versions: Iterable[str]) -> None:
        """Record versions whose servers, if not listed, may have left just now."""
        self._apply(GoneVersion(service, version, 0) for version in versions)

    def _apply(self, reports: Iterable[GoneVersion]) -> None:
        now = self._clock.seconds()
        for report in reports:
            service = ServiceId(report.service)
            key = service, SoftwareVersion(report.version)
            at = now - report.age_ms / 1_000
            if at > self._gone_at.get(key, now - GONE_VERSION_RETENTION_S):
                known = self.versions(service)
                self._gone_at[key] = at
                self._report_mixed(service, known)

    def _update(self, previous: ServerEntry | None, entry: ServerEntry | None) -> None:
        """Record that an entry replaced another one; None stands for no entry."""
        if previous is not None:
            key = previous.service, previous.software_version
            self._gone_at[key] = self._clock.seconds()
            self._listed[key] -= 1
            if not self._listed[key]:
                del self._listed[key]
        if entry is not None:
            known = self.versions(entry.service)
            self._listed[entry.service, entry.software_version] += 1
            self._report_mixed(entry.service, known)

    def _report_mixed(self, service: ServiceId, known: set[SoftwareVersion]) -> None:
        """Report a second version, given those known before."""
        versions = self.versions(service)
        if len(known) < 2 <= len(versions):
            log.info(
                "several software versions",
                extra={"service": service, "versions": sorted(versions)},
            )
            self.on_mixed(service)


__all__ = ["GONE_VERSION_RETENTION_S", "GoneVersion", "SoftwareHistory"]
