"""Opens connections to servers of which it is not known whether they are reached.

An open connection may be dead without a sign, and a lost path is not used by requests,
so that neither would be noticed without a probe.
"""

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.http1 import ConnectionPool, NotSent
from chivesaddle.placement import ServerTable, TrackedServer

INTERVAL_S = 0.1
# Servers accept connections within milliseconds.
CONNECT_TIMEOUT_S = 0.35
# A server that owes responses and has sent nothing for this long is probed.
MAX_SILENCE_S = 0.4
# Interval of probes of one server.
PROBE_INTERVAL_S = 0.5
# If a server is not reached, the others of its service are probed at once unless they
# were reached within this time.
RECENT_CONTACT_S = 0.2

log = ComponentLogger("paths")


class PathProbe:
    """Probes lost paths and servers that have become silent.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    servers : ServerTable
        Servers and paths.
    pool : ConnectionPool
        Opens connections and keeps them for requests.
    """

    def __init__(
        self, clock: Clock, servers: ServerTable, pool: ConnectionPool
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._pool = pool
        self._probes_by_address: dict[str, Deferred[None]] = {}
        self._probed_at_by_address: dict[str, float] = {}
        self._loop: Deferred[None] | None = None
        self.probes = 0

    def start(self) -> None:
        """Start probing."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "probes of paths ended"))

    def stop(self) -> None:
        """Stop probing."""
        if self._loop is not None:
            self._loop.cancel()
        for probe in list(self._probes_by_address.values()):
            probe.cancel()

    async def _run(self) -> None:
        while True:
            await sleep_until(self._clock, self._clock.seconds() + INTERVAL_S)
            self._probe_due()

    def check(self, server: TrackedServer) -> None:
        """Probe a server whose response broke, unless it was probed just before."""
        now = self._clock.seconds()
        if now - self._probed_at_by_address.get(server.entry.address, 0.0) >= (
            PROBE_INTERVAL_S
        ):
            self._start_probe(server)

    def _probe_due(self) -> None:
        listed = {server.entry.address for server in self._servers.all()}
        for address in self._probed_at_by_address.keys() - listed:
            del self._probed_at_by_address[address]
        now = self._clock.seconds()
        for server in self._servers.all():
            is_lost = server.path.lost_at is not None
            is_silent = server.unresponsive_s(now) >= MAX_SILENCE_S
            is_silent = is_silent and now - server.path.connected_at >= MAX_SILENCE_S
            if is_lost or is_silent:
                self.check(server)

    def _start_probe(self, server: TrackedServer) -> None:
        address = server.entry.address
        if address in self._probes_by_address:
            return
        self.probes += 1
        self._probed_at_by_address[address] = self._clock.seconds()
        probe = self._probes_by_address[address] = start(self._probe(server))
        probe.addErrback(log_failure(log, f"probe of {address} failed"))
        probe.addBoth(lambda _: self._probes_by_address.pop(address, None))

    async def _probe(self, server: TrackedServer) -> None:
        entry = server.entry
        now = self._clock.seconds()
        try:
            await self._pool.probe(entry.address, now + CONNECT_TIMEOUT_S)
        except NotSent as error:
            self._servers.record_connection_failure(entry.id, error.message)
            return
        self._servers.record_connected(entry.id)

    def probe_service(self, service: ServiceId) -> None:
        """Probe the servers of a service of which one is not reached any more.

        If none of them is reached, those of the other services are probed as well.
        """
        now = self._clock.seconds()
        servers = self._servers.of_service(service)
        if not self._servers.has_path(service):
            servers = self._servers.all()
        for server in servers:
            is_known = server.path.lost_at is not None
            if not is_known and now - server.last_contact_at > RECENT_CONTACT_S:
                self._start_probe(server)


__all__ = ["PathProbe"]
