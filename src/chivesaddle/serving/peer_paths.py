"""Which servers each daemon reaches, as daemons tell each other in their beacons."""

import random
from collections.abc import Collection, Sequence

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId, DaemonId, ServiceId
from chivesaddle.core.serving_model import ServerState
from chivesaddle.fleet import Member, Members, WorkingSet
from chivesaddle.fleet.beacons import server_hash
from chivesaddle.forwarding import PeerDaemon
from chivesaddle.placement import ServerTable, TrackedServer
from chivesaddle.serving.server_activity import ServerActivity

# A daemon of the own zone is this much more likely to get a request that is passed on:
# traffic between zones is billed, but one daemon must not get all requests of others.
OWN_ZONE_WEIGHT = 3.0
# Lost servers that a beacon names; one datagram takes some 250.
MAX_NAMED_SERVERS = 128
# A peer that a service answered within this time gets requests before the others. One
# that lost its servers together with this daemon has no such report any more when this
# daemon notices.
ANSWERING_FOR_S = 0.7
# Answers to peers that are kept before expired ones are dropped.
MAX_ANSWERS = 4_096
# A daemon that reaches servers again is named to callers after this time.
NAMED_AGAIN_AFTER_S = 1.0


class FleetPaths:
    """The paths of this daemon and of its peers to the servers.

    Parameters
    ----------
    clock : Clock
        Clock on which reports expire.
    members : Members
        Registered daemons.
    working_set : WorkingSet
        The daemons that take callers.
    servers : ServerTable
        Servers and this daemon's paths.
    activity : ServerActivity or None
        Finds the lost servers; None walks over all.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        working_set: WorkingSet,
        servers: ServerTable,
        activity: ServerActivity | None = None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._working_set = working_set
        self._servers = servers
        self._activity = activity or ServerActivity(servers)
        self._random = random.Random()
        # Hashes of the servers that each peer does not reach, and until when the
        # report is valid.
        self._lost_by_peer: dict[str, tuple[frozenset[int], float]] = {}
        # By peer and hash of a service: until when its answer to the peer counts.
        self._answering_until: dict[tuple[str, int], float] = {}
        self._cut_off_until = 0.0

    def reaching(self, service: ServiceId) -> Sequence[PeerDaemon]:
        """Return the daemons to pass on requests for a service to.

        Those that the service has answered lately are first: of the others, some may
        reach no server either and not know it yet. The order is random otherwise. Empty
        if this daemon reaches a server of the service itself.
        """
        if not self._lost_ready():
            return ()
        if self._servers.has_path(service):
            return ()
        servers = self._servers.of_service(service)
        members = self._reaching_any({server_hash(s.entry.id) for s in servers})
        now, key = self._clock.seconds(), server_hash(service)
        ranked = sorted(
            members,
            key=lambda member: (
                self._answering_until.get((member.id, key), 0.0) <= now,
                self._random_rank(member),
            ),
        )
        return [PeerDaemon(DaemonId(member.id), member.callers) for member in ranked]

    def record_answering(self, peer: str, services: Collection[int]) -> None:
        """Record that services, named by their hashes, answer a peer."""
        now = self._clock.seconds()
        for service in services:
            self._answering_until[peer, service] = now + ANSWERING_FOR_S
        if len(self._answering_until) > MAX_ANSWERS:
            self._answering_until = {
                key: until
                for key, until in self._answering_until.items()
                if until > now
            }

    def last_beacon_at(self, daemon: DaemonId) -> float:
        """Return when a daemon's last beacon arrived; minus infinity without any."""
        return self._members.last_beacon_at(daemon)

    def is_member(self, host: str) -> bool:
        """Return whether an IP address is that of a daemon of the fleet."""
        return any(
            member.callers.rpartition(":")[0] == host
            for member in self._members.registered()
        )

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon reaches no server, or did so only for a moment."""
        now = self._clock.seconds()
        if not self._lost_ready():
            return now < self._cut_off_until
        ready = [
            server
            for server in self._servers.all()
            if server.entry.state is ServerState.READY
            and not self._servers.is_evacuated(server.entry.zone)
        ]
        if ready and all(server.path.lost_at is not None for server in ready):
            hashes = {server_hash(server.entry.id) for server in ready}
            if self._reaching_any(hashes):
                self._cut_off_until = now + NAMED_AGAIN_AFTER_S
        return now < self._cut_off_until

    def is_reached_by_peer(self, servers: Collection[BackendServerId]) -> bool:
        """Return whether another daemon may reach all of these servers."""
        now = self._clock.seconds()
        hashes = {server_hash(server) for server in servers}
        for member in self._working_set.peers():
            lost, until = self._lost_by_peer.get(member.id, (frozenset(), 0.0))
            is_any_lost = until > now and not hashes.isdisjoint(lost)
            if not is_any_lost and not self._members.is_cut_off(member.id):
                return True
        return False

    def lost_servers(self) -> tuple[list[int], bool]:
        """Return hashes of the servers that this daemon does not reach.

        The second value is whether it reaches none, while another daemon does.
        """
        lost = sorted(server_hash(s.entry.id) for s in self._lost_ready())
        return lost[:MAX_NAMED_SERVERS], self.is_cut_off

    @property
    def lost_count(self) -> int:
        """Number of ready servers that this daemon does not reach."""
        return len(self._lost_ready())

    def _lost_ready(self) -> list[TrackedServer]:
        return [s for s in self._activity.lost() if s.entry.state is ServerState.READY]

    def apply_lost_servers(
        self, peer: str, lost: Sequence[int], valid_s: float
    ) -> None:
        """Replace the servers that a peer does not reach."""
        if lost:
            until = self._clock.seconds() + valid_s
            self._lost_by_peer[peer] = (frozenset(lost), until)
        else:
            self._lost_by_peer.pop(peer, None)

    def _reaching_any(self, servers: Collection[int]) -> list[Member]:
        """Return the daemons that reach one of the servers."""
        now = self._clock.seconds()
        reaching = []
        for member in self._working_set.peers():
            lost, until = self._lost_by_peer.get(member.id, (frozenset(), 0.0))
            is_known = until > now and lost.issuperset(servers)
            if not is_known and not self._members.is_cut_off(member.id):
                reaching.append(member)
        return reaching if servers else []

    def _random_rank(self, member: Member) -> float:
        weight = OWN_ZONE_WEIGHT if member.zone == self._members.own.zone else 1.0
        return self._random.expovariate(weight)


__all__ = ["FleetPaths"]
