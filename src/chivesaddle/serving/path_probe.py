"""Opens connections to servers of which it is not known whether they are reached.

An open connection may be dead without a sign, and a lost path is not used by requests,
so that neither would be noticed without a probe.
"""

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import (
    Clock,
    DelayedCall,
    log_failure,
    start,
)
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet import TickGrid
from chivesaddle.http1 import ConnectionPool, NotSent
from chivesaddle.placement import ServerTable, TrackedServer
from chivesaddle.serving.server_activity import ServerActivity

INTERVAL_S = 0.1
# Servers accept connections within milliseconds.
CONNECT_TIMEOUT_S = 0.35
# A server that owes responses and has sent nothing for this long is probed.
MAX_SILENCE_S = 0.4
# Interval while no request is at a server and no path is lost: a request that is sent
# after a check cannot be silent for `MAX_SILENCE_S` before the next one. Less than
# that, so that the checks share wake-ups with other tasks.
IDLE_INTERVAL_S = 0.25
# A connection that is accepted and then reset is reset within this time. The other
# kernel accepts it at once, but the process that resets it may wait for a processor.
SETTLED_AFTER_S = 0.25
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
    activity : ServerActivity or None
        The servers to check; None walks over all.
    grid : TickGrid or None
        Times of the checks while there is nothing to probe; None for one of its own.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        pool: ConnectionPool,
        activity: ServerActivity | None = None,
        grid: TickGrid | None = None,
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._pool = pool
        self._activity = activity or ServerActivity(servers)
        self._grid = grid or TickGrid(clock)
        self._probes_by_address: dict[str, Deferred[None]] = {}
        self._probed_at_by_address: dict[str, float] = {}
        self._listed_version = -1
        self._check_call: DelayedCall | None = None
        self._check_at = 0.0
        self.probes = 0

    def start(self) -> None:
        """Start probing."""
        self._schedule(INTERVAL_S)

    def stop(self) -> None:
        """Stop probing."""
        if self._check_call is not None:
            self._check_call.cancel()
            self._check_call = None
        for probe in list(self._probes_by_address.values()):
            probe.cancel()

    def check_lost_path(self) -> None:
        """Check within `INTERVAL_S`, because a path was lost."""
        if (
            self._check_call is not None
            and self._check_at > self._clock.seconds() + INTERVAL_S
        ):
            self._check_call.cancel()
            self._schedule(INTERVAL_S)

    def _schedule(self, delay_s: float) -> None:
        self._check_at = self._clock.seconds() + delay_s
        self._check_call = self._clock.callLater(delay_s, self._run)

    def _run(self) -> None:
        try:
            are_others_due = self._probe_due()
        except Exception as error:
            log.error("probes failed", exc_info=error)
            are_others_due = False
        if are_others_due:
            self._schedule(INTERVAL_S)
        else:
            self._schedule(self._grid.delay_s(IDLE_INTERVAL_S))

    def check(self, server: TrackedServer) -> None:
        """Probe a server whose response broke, unless it was probed just before."""
        now = self._clock.seconds()
        if now - self._probed_at_by_address.get(server.entry.address, 0.0) >= (
            PROBE_INTERVAL_S
        ):
            self._start_probe(server)

    def _probe_due(self) -> bool:
        """Probe the servers that are due; return whether others may be due soon."""
        self._forget_unlisted()
        now = self._clock.seconds()
        lost = [s for s in self._activity.lost() if not s.path.awaits_bytes]
        with_requests = self._activity.with_requests()
        for server in lost:
            self.check(server)
        for server in with_requests:
            if server.path.awaits_bytes:
                # That a connection opens says nothing of such a path.
                continue
            is_silent = server.unresponsive_s(now) >= MAX_SILENCE_S
            if is_silent and now - server.path.connected_at >= MAX_SILENCE_S:
                self.check(server)
        return bool(lost or with_requests)

    def _forget_unlisted(self) -> None:
        version = self._servers.version
        if not self._probed_at_by_address or version == self._listed_version:
            return
        self._listed_version = version
        listed = {server.entry.address for server in self._servers.all()}
        for address in self._probed_at_by_address.keys() - listed:
            del self._probed_at_by_address[address]

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
            await self._pool.probe(
                entry.address, now + CONNECT_TIMEOUT_S, SETTLED_AFTER_S
            )
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
