"""What a daemon tells operators about itself, at path ``/status``."""

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ZoneId
from chivesaddle.fleet import Replica
from chivesaddle.http1 import Request, Responder
from chivesaddle.placement import Evacuations, ServerTable

STATUS_PATH = "/status"


class AppliedEvacuation(msgspec.Struct, frozen=True):
    """An evacuation that the daemon applies.

    Attributes
    ----------
    version : int
        Version of the entry; 0 if the entry is gone and the daemon waits for it to be
        written again.
    age_ms : int
        For how long the daemon has applied it.
    """

    version: int
    age_ms: int


class DaemonStatus(msgspec.Struct, frozen=True):
    """What one daemon applies and serves.

    Attributes
    ----------
    evacuations : dict or None
        Applied evacuations by zone; None if the daemon's settings have no bound for
        evacuations, so that it applies none.
    in_flight_by_zone : dict
        Requests of this daemon in flight at the servers of each zone.
    """

    daemon: str
    evacuations: dict[ZoneId, AppliedEvacuation] | None
    in_flight_by_zone: dict[ZoneId, int]


class StatusPage:
    """Answers requests for the status of this daemon.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    daemon : str
        Id of this daemon.
    servers : ServerTable
        The listed servers.
    evacuations : Evacuations
        The evacuated zones.
    replica : Replica or None
        Entries of evacuated zones; None if zones are never evacuated.
    """

    def __init__(
        self,
        clock: Clock,
        daemon: str,
        servers: ServerTable,
        evacuations: Evacuations,
        replica: Replica | None,
    ) -> None:
        self._clock = clock
        self._daemon = daemon
        self._servers = servers
        self._evacuations = evacuations
        self._replica = replica

    def status(self) -> DaemonStatus:
        """Return the status."""
        in_flight: dict[ZoneId, int] = {}
        for server in self._servers.all():
            zone = server.entry.zone
            in_flight[zone] = in_flight.get(zone, 0) + len(server.in_flight)
        return DaemonStatus(self._daemon, self._applied(), in_flight)

    def handle(self, request: Request, responder: Responder) -> None:
        """Respond with the status as JSON."""
        content_type = (b"content-type", b"application/json")
        responder.answer(200, msgspec.json.encode(self.status()), [content_type])

    def _applied(self) -> dict[ZoneId, AppliedEvacuation] | None:
        if self._replica is None:
            return None
        now = self._clock.seconds()
        applied = {}
        for zone, known_at in self._evacuations.known_at_by_zone().items():
            entry = self._replica.get(zone)
            applied[zone] = AppliedEvacuation(
                0 if entry is None else entry.revision, round((now - known_at) * 1_000)
            )
        return applied


__all__ = ["STATUS_PATH", "AppliedEvacuation", "DaemonStatus", "StatusPage"]
