"""Servers by service, kept until the list of servers changes.

Each request and each beacon asks for them several times, while entries change rarely.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from chivesaddle.core.ids import BackendServerId, ServiceId, ZoneId

if TYPE_CHECKING:
    from chivesaddle.placement.table import TrackedServer


class ServerIndex:
    """Index of the servers that take new requests.

    Parameters
    ----------
    servers_by_id : mapping
        All listed servers, in the order of the result.
    takes_new_requests : callable
        Whether a server is in the index. `invalidate` must be called when the result
        may have changed.
    """

    def __init__(
        self,
        servers_by_id: Mapping[BackendServerId, "TrackedServer"],
        takes_new_requests: Callable[["TrackedServer"], bool],
    ) -> None:
        self._servers_by_id = servers_by_id
        self._takes_new_requests = takes_new_requests
        self._by_service: dict[ServiceId, tuple[TrackedServer, ...]] = {}
        self._zones_by_service: dict[ServiceId, Mapping[str, ZoneId]] = {}
        # Increases with each change of the list.
        self.version = 0

    def invalidate(self) -> None:
        """Record that an entry or the decision about a server may have changed."""
        self.version += 1
        self._by_service.clear()
        self._zones_by_service.clear()

    def of_service(self, service: ServiceId) -> "tuple[TrackedServer, ...]":
        """Return the servers of a service that take new requests."""
        servers = self._by_service.get(service)
        if servers is None:
            servers = self._by_service[service] = tuple(
                server
                for server in self._servers_by_id.values()
                if server.entry.service == service and self._takes_new_requests(server)
            )
        return servers

    def zone_by_address(self, service: ServiceId) -> Mapping[str, ZoneId]:
        """Return the zones of these servers, the same object until they change."""
        zones = self._zones_by_service.get(service)
        if zones is None:
            zones = self._zones_by_service[service] = {
                server.entry.address: server.entry.zone
                for server in self.of_service(service)
            }
        return zones


__all__ = ["ServerIndex"]
