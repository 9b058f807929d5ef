"""UDP datagrams that report this daemon's load on each backend server to its peers.

A backend server's load report is delayed and reaches only the daemon whose request it
answers. The sum of the requests that all daemons have in flight is current. Its cost
per daemon does not grow with the fleet, because each daemon limits the number of
datagrams that it sends per second.

Working daemons exchange beacons with their load. To the rest of the fleet they send one
without load each second, as a sign of life.
"""

import functools
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import msgspec
import xxhash

from chivesaddle.core.aio import Clock
from chivesaddle.fleet.datagrams import PeerDatagrams
from chivesaddle.fleet.members import Member, Members
from chivesaddle.fleet.tick_grid import TickGrid
from chivesaddle.fleet.working_set import WorkingSet

# In a fleet of 9 daemons, 10 datagrams per second to each of the 8 peers.
MAX_DATAGRAMS_PER_S = 80.0
MIN_PERIOD_S = 0.1
# Unchanged contents are sent again at this interval, since datagrams can be lost.
RESEND_INTERVAL_S = 0.5
# A daemon without callers has no load to report but that of stray requests.
IDLE_PERIOD_S = 0.5
# Interval of beacons from a working daemon to the daemons without callers.
SIGN_OF_LIFE_INTERVAL_S = 1.0
# A daemon that left the working set reports so for this long, since datagrams are lost.
REPORT_IDLE_S = 5.0


class ServerLoadShare(msgspec.Struct, array_like=True):
    """Load that one daemon puts on one backend server.

    Attributes
    ----------
    server : int
        Hash of the server's id, as returned by `server_hash`.
    requests : int
        Requests in flight: those whose response is not complete.
    unread_tokens : int
        Prompt tokens still to be prefilled, of requests without a first event.
    memory_tokens : int
        KV cache memory that the requests occupy, in tokens.
    """

    server: int
    requests: int
    unread_tokens: int
    memory_tokens: int


class Beacon(msgspec.Struct, array_like=True, tag="beacon"):
    """Content of one datagram; a higher sequence number replaces a lower one.

    Attributes
    ----------
    loading : list of int
        Hashes of servers that are loading weights on this daemon's order.
    lease : (int, int)
        Version of the lease for weight orders, and milliseconds since its last renewal;
        version 0 if this daemon does not hold the lease.
    is_working : bool
        Whether the sender is in the working set and sends beacons regularly.
    is_leaving : bool
        Whether the sender is shutting down.
    demand : float
        Processor time that callers' requests need at the sender, in cores.
    reaches_store : bool
        Whether the platform's store has answered the sender just now.
    lost : list of int
        Hashes of servers that accept no connection of the sender.
    is_cut_off : bool
        Whether the sender reaches no server, while another daemon does.
    answering : list of int
        Hashes of the services whose servers have just sent bytes to the sender.
    progress : mapping
        How far the sender's replicas of documents are, by kind; `Replica.progress`.
    """

    daemon: str
    incarnation: str
    sequence: int
    shares: list[ServerLoadShare]
    loading: list[int] = []
    lease: tuple[int, int] = (0, 0)
    is_working: bool = True
    is_leaving: bool = False
    demand: float = 0.0
    reaches_store: bool = True
    lost: list[int] = []
    is_cut_off: bool = False
    answering: list[int] = []
    progress: dict[str, int] = {}


@functools.lru_cache(maxsize=4_096)
def server_hash(server: str) -> int:
    """Return the 32-bit hash that identifies a server in beacons."""
    return xxhash.xxh32_intdigest(server.encode())


class BeaconSource(Protocol):
    """What a daemon reports in its beacons."""

    def load_shares(self) -> tuple[list[ServerLoadShare], list[int]]:
        """Return load shares, and hashes of servers loading weights on its order."""

    def lease(self) -> tuple[int, int]:
        """Return the lease's version and the milliseconds since its renewal.

        The version is 0 if this daemon does not hold the lease.
        """

    def demand(self) -> float:
        """Return the processor time that requests need here, in cores."""

    def reaches_store(self) -> bool:
        """Return whether the store has answered this daemon just now."""

    def lost_servers(self) -> tuple[list[int], bool]:
        """Return hashes of servers that this daemon does not reach.

        The second value is whether it reaches none, while another daemon does.
        """

    def answering_services(self) -> list[int]:
        """Return hashes of the services that have just sent bytes to this daemon."""

    def progress_by_kind(self) -> dict[str, int]:
        """Return how far this daemon's replicas of documents are."""


class BeaconReceiver(Protocol):
    """What a daemon does with the beacons of others."""

    def apply_shares(
        self,
        peer: str,
        shares: Sequence[ServerLoadShare],
        loading: Sequence[int],
        valid_s: float,
    ) -> None:
        """Replace a peer's load shares, which are valid for ``valid_s`` seconds."""

    def observe_lease(self, version: int, age_s: float) -> None:
        """Record that the sender renewed the lease ``age_s`` seconds ago."""

    def observe_store(self, peer: str, reaches_store: bool) -> None:
        """Record whether a working daemon reaches the store."""

    def apply_lost_servers(
        self, peer: str, lost: Sequence[int], valid_s: float
    ) -> None:
        """Replace the servers that a peer does not reach."""

    def apply_answering_services(self, peer: str, services: Sequence[int]) -> None:
        """Record the services that send bytes to a peer."""

    def apply_progress(self, peer: str, progress_by_kind: Mapping[str, int]) -> None:
        """Get the documents that a peer has, or tell it of those that it lacks."""


class Beacons:
    """Sends this daemon's beacons and applies those of its peers.

    Parameters
    ----------
    clock : Clock
        Clock that schedules the datagrams.
    members : Members
        The daemons to send to.
    working_set : WorkingSet
        The daemons that receive load shares.
    datagrams : PeerDatagrams
        Carries the beacons.
    source : BeaconSource
        Content of this daemon's beacons.
    receiver : BeaconReceiver
        Applies the content of received beacons.
    grid : TickGrid or None
        Times at which an idle daemon checks whether it has load; None for its own.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        working_set: WorkingSet,
        datagrams: PeerDatagrams,
        source: BeaconSource,
        receiver: BeaconReceiver,
        grid: TickGrid | None = None,
    ) -> None:
        self._clock = clock
        self._grid = grid or TickGrid(clock)
        self._members = members
        self._working_set = working_set
        self._datagrams = datagrams
        self._source = source
        self._receiver = receiver
        self._sequence = 0
        self._last_sent: tuple[Any, ...] = ()
        self._last_sent_at = 0.0
        self._sign_of_life_at = 0.0
        self._report_idle_until = 0.0
        self._last_received_by_daemon: dict[str, tuple[str, int]] = {}
        self._timer: Any = None
        datagrams.add_handler(Beacon, self.handle)

    def start(self) -> None:
        """Start sending."""
        self._send_when_due()

    def stop(self) -> None:
        """Stop sending."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def announce_leaving(self) -> None:
        """Tell all daemons that this one accepts no callers any more."""
        self._datagrams.send(self._build([], []), self._members.peers())

    def send_to(self, member: Member) -> None:
        """Send one daemon a beacon without load."""
        self._datagrams.send(self._build([], []), [member])

    def handle(self, beacon: Beacon) -> None:
        """Apply a peer's beacon, unless a newer one was received before."""
        incarnation, sequence = self._last_received_by_daemon.get(
            beacon.daemon, ("", 0)
        )
        if beacon.incarnation == incarnation and beacon.sequence <= sequence:
            return
        self._last_received_by_daemon[beacon.daemon] = (
            beacon.incarnation,
            beacon.sequence,
        )
        self._members.record_beacon(
            beacon.daemon,
            beacon.incarnation,
            is_working=beacon.is_working and not self._working_set.is_whole_fleet,
            is_leaving=beacon.is_leaving,
            demand=beacon.demand,
            is_cut_off=beacon.is_cut_off,
        )
        valid_s = 3 * max(self._send_period_s(), RESEND_INTERVAL_S)
        self._receiver.apply_shares(
            beacon.daemon, beacon.shares, beacon.loading, valid_s
        )
        self._receiver.apply_lost_servers(beacon.daemon, beacon.lost, valid_s)
        self._receiver.apply_answering_services(beacon.daemon, beacon.answering)
        self._receiver.apply_progress(beacon.daemon, beacon.progress)
        if beacon.is_working:
            self._receiver.observe_store(beacon.daemon, beacon.reaches_store)
        version, age_ms = beacon.lease
        if version:
            self._receiver.observe_lease(version, age_ms / 1_000)

    def _send_period_s(self) -> float:
        if self._working_set.is_whole_fleet:
            peers = self._members.fleet_size() - 1
        elif self._working_set.includes_own:
            peers = len(self._working_set.daemons()) - 1
        else:
            return IDLE_PERIOD_S
        return max(MIN_PERIOD_S, peers / MAX_DATAGRAMS_PER_S)

    def _send_when_due(self) -> None:
        period_s = self._send_period_s()
        if period_s == IDLE_PERIOD_S:
            period_s = self._grid.delay_s(period_s)
        self._timer = self._clock.callLater(period_s, self._send_when_due)
        shares, loading = self._source.load_shares()
        lost = self._source.lost_servers()
        # One working daemon alone may know a new document; its peers hear of it now.
        is_working = self._working_set.includes_own
        progress = self._source.progress_by_kind() if is_working else {}
        current = (shares, loading, lost, progress)
        now = self._clock.seconds()
        is_empty = not any((shares, loading, lost[0], self._source.lease()[0]))
        is_repeat = current == self._last_sent and (
            is_empty or now - self._last_sent_at < RESEND_INTERVAL_S
        )
        if not is_repeat:
            self._last_sent, self._last_sent_at = current, now
            self._datagrams.send(
                self._build(shares, loading), self._working_set.peers()
            )
        if self._working_set.is_whole_fleet or now < self._sign_of_life_at:
            return
        if self._working_set.includes_own:
            self._report_idle_until = now + REPORT_IDLE_S
        if now < self._report_idle_until:
            self._sign_of_life_at = now + SIGN_OF_LIFE_INTERVAL_S
            self._send_sign_of_life(is_empty)

    def _send_sign_of_life(self, includes_working: bool) -> None:
        """Send a beacon without load to the daemons that get no other one."""
        working = {member.id for member in self._working_set.daemons()}
        receivers = [
            member
            for member in self._members.peers()
            if includes_working or member.id not in working
        ]
        self._datagrams.send(self._build([], []), receivers)

    def _build(self, shares: list[ServerLoadShare], loading: list[int]) -> Beacon:
        self._sequence += 1
        own = self._members.own
        return Beacon(
            own.id,
            own.incarnation,
            self._sequence,
            shares,
            loading,
            self._source.lease(),
            self._working_set.includes_own,
            self._members.is_leaving,
            self._source.demand(),
            self._source.reaches_store(),
            *self._source.lost_servers(),
            self._source.answering_services(),
            self._source.progress_by_kind(),
        )


__all__ = [
    "Beacon",
    "BeaconReceiver",
    "BeaconSource",
    "Beacons",
    "ServerLoadShare",
    "server_hash",
]
