"""UDP datagrams that report this daemon's load on each backend server to its peers.

A backend server's load report is delayed and reaches only the daemon whose request it
answers. The sum of the requests that all daemons have in flight is current. Its cost
per daemon does not grow with the fleet, because each daemon limits the number of
datagrams that it sends per second.
"""

import functools
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
import xxhash
from twisted.internet.protocol import DatagramProtocol

from chivesaddle.core.aio import Clock
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet.members import Members

# In a fleet of 9 daemons, 10 datagrams per second to each of the 8 peers.
MAX_DATAGRAMS_PER_S = 80.0
MIN_PERIOD_S = 0.1
# Unchanged contents are sent again at this interval, since datagrams can be lost.
RESEND_INTERVAL_S = 0.5

log = ComponentLogger("beacons")


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


class Beacon(msgspec.Struct, array_like=True):
    """Content of one datagram; a higher sequence number replaces a lower one.

    Attributes
    ----------
    loading : list of int
        Hashes of servers that are loading weights on this daemon's order.
    lease : (int, int)
        Version of the lease for weight orders, and milliseconds since its last renewal;
        version 0 if this daemon does not hold the lease.
    """

    daemon: str
    incarnation: str
    sequence: int
    shares: list[ServerLoadShare]
    loading: list[int] = []
    lease: tuple[int, int] = (0, 0)


@functools.lru_cache(maxsize=4_096)
def server_hash(server: str) -> int:
    """Return the 32-bit hash that identifies a server in beacons."""
    return xxhash.xxh32_intdigest(server.encode())


class BeaconProtocol(DatagramProtocol):
    """Sends and receives beacons on the UDP port for peers.

    Parameters
    ----------
    clock : Clock
        Clock that schedules the datagrams.
    members : Members
        The daemons to send to.
    collect_shares : callable
        Returns this daemon's load shares and the hashes of servers that are loading
        weights on its order.
    apply_shares : callable
        Called with a peer's id, its load shares, the hashes of servers that are loading
        weights on its order, and the seconds for which these are valid.
    lease : callable
        Returns the lease's version and the milliseconds since its renewal; version 0
        if this daemon does not hold the lease.
    observe_lease : callable
        Called with the lease's version and the seconds since its renewal, as received
        from the holder.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        collect_shares: Callable[[], tuple[list[ServerLoadShare], list[int]]],
        apply_shares: Callable[
            [str, Sequence[ServerLoadShare], Sequence[int], float], None
        ],
        lease: Callable[[], tuple[int, int]],
        observe_lease: Callable[[int, float], None],
    ) -> None:
        self._clock = clock
        self._members = members
        self._collect_shares = collect_shares
        self._apply_shares = apply_shares
        self._read_lease = lease
        self._observe_lease = observe_lease
        self._decoder = msgspec.msgpack.Decoder(Beacon)
        self._sequence = 0
        self._last_sent: tuple[list[ServerLoadShare], list[int]] = ([], [])
        self._last_sent_at = 0.0
        self._last_received_by_daemon: dict[str, tuple[str, int]] = {}
        self._timer: Any = None
        self._port: Any = None

    def listen(self, reactor: Any, address: str) -> None:
        """Bind to ``ip:port`` and start sending."""
        host, _, port = address.rpartition(":")
        self._port = reactor.listenUDP(int(port), self, interface=host)
        self._send_when_changed()

    def stop(self) -> None:
        """Stop sending and receiving."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._port is not None:
            self._port.stopListening()

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Apply a peer's beacon, unless a newer one was received before."""
        try:
            beacon = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            log.info("malformed beacon", extra={"sender": addr[0], "cause": str(error)})
            return
        incarnation, sequence = self._last_received_by_daemon.get(
            beacon.daemon, ("", 0)
        )
        if beacon.incarnation == incarnation and beacon.sequence <= sequence:
            return
        self._last_received_by_daemon[beacon.daemon] = (
            beacon.incarnation,
            beacon.sequence,
        )
        valid_s = 3 * max(self._send_period_s(), RESEND_INTERVAL_S)
        self._apply_shares(beacon.daemon, beacon.shares, beacon.loading, valid_s)
        version, age_ms = beacon.lease
        if version:
            self._observe_lease(version, age_ms / 1_000)

    def _send_period_s(self) -> float:
        peers = max(1, self._members.fleet_size() - 1)
        return max(MIN_PERIOD_S, peers / MAX_DATAGRAMS_PER_S)

    def _send_when_changed(self) -> None:
        self._timer = self._clock.callLater(
            self._send_period_s(), self._send_when_changed
        )
        shares, loading = current = self._collect_shares()
        now = self._clock.seconds()
        lease = self._read_lease()
        is_empty = not shares and not loading and not lease[0]
        if current == self._last_sent and (
            is_empty or now - self._last_sent_at < RESEND_INTERVAL_S
        ):
            return
        self._last_sent, self._last_sent_at = current, now
        self._sequence += 1
        own = self._members.own
        data = msgspec.msgpack.encode(
            Beacon(own.id, own.incarnation, self._sequence, shares, loading, lease)
        )
        for member in self._members.serving_peers():
            host, _, port = member.peers.rpartition(":")
            self._port.write(data, (host, int(port)))


__all__ = ["Beacon", "BeaconProtocol", "ServerLoadShare", "server_hash"]
