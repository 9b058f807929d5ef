"""Datagrams that tell all daemons what this one has under way at each server.

Load reports of servers are late and reach only the daemon that was answered. The sum
over all daemons' own requests is current, and its cost does not grow with the fleet:
each daemon sends a fixed number of datagrams a second, whatever the number of peers.
"""

import functools
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
import xxhash
from twisted.internet.protocol import DatagramProtocol

from chivesaddle.core.aio import Clock
from chivesaddle.core.logs import PartLogger
from chivesaddle.fleet.members import Members

# Datagrams that a daemon sends in a second: all 8 peers of a fleet of 9, ten times.
DATAGRAMS_PER_S = 80.0
SHORTEST_PERIOD_S = 0.1
# Unchanged figures are sent again, since datagrams get lost.
REPEAT_S = 0.5

log = PartLogger("beacons")


class ServerShare(msgspec.Struct, array_like=True):
    """What a daemon has under way at a server.

    Attributes
    ----------
    server : int
        Hash of the server's id.
    requests : int
        Requests without a complete answer.
    unread_tokens : int
        Prompt tokens to be read of requests without a first event.
    memory_tokens : int
        Tokens of memory that the requests take.
    """

    server: int
    requests: int
    unread_tokens: int
    memory_tokens: int


class Beacon(msgspec.Struct, array_like=True):
    """One datagram; later sequence numbers replace earlier ones.

    Attributes
    ----------
    loading : list of int
        Hashes of servers that load weights by this daemon's order.
    lease : (int, int)
        Version of the orders' lease and the age of its renewal in ms; version 0 if
        this daemon does not hold it.
    """

    daemon: str
    incarnation: str
    sequence: int
    shares: list[ServerShare]
    loading: list[int] = []
    lease: tuple[int, int] = (0, 0)


@functools.lru_cache(maxsize=4_096)
def server_hash(server: str) -> int:
    """Return the short name of a server in beacons."""
    return xxhash.xxh32_intdigest(server.encode())


class Beacons(DatagramProtocol):
    """Sends and receives beacons on the peers' port.

    Parameters
    ----------
    clock : Clock
        Clock of the sending period.
    members : Members
        The daemons to send to.
    collect : callable
        Returns this daemon's shares and the servers that load weights.
    learn : callable
        Takes over both from a peer, and the seconds for which they hold.
    lease : callable
        Returns version and age in ms of the lease if this daemon holds it.
    observe_lease : callable
        Takes over version and age in seconds from the holder.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        collect: Callable[[], tuple[list[ServerShare], list[int]]],
        learn: Callable[[str, Sequence[ServerShare], Sequence[int], float], None],
        lease: Callable[[], tuple[int, int]],
        observe_lease: Callable[[int, float], None],
    ) -> None:
        self._clock = clock
        self._members = members
        self._collect = collect
        self._learn = learn
        self._lease = lease
        self._observe_lease = observe_lease
        self._decoder = msgspec.msgpack.Decoder(Beacon)
        self._sequence = 0
        self._last: tuple[list[ServerShare], list[int]] = ([], [])
        self._last_at = 0.0
        self._seen: dict[str, tuple[str, int]] = {}
        self._timer: Any = None
        self._port: Any = None

    def listen(self, reactor: Any, address: str) -> None:
        """Bind to ``ip:port`` and start to send."""
        host, _, port = address.rpartition(":")
        self._port = reactor.listenUDP(int(port), self, interface=host)
        self._tick()

    def stop(self) -> None:
        """Stop sending and receiving."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._port is not None:
            self._port.stopListening()

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Take over a peer's shares, unless newer ones are known."""
        try:
            beacon = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            log.info(
                "beacon unreadable", extra={"sender": addr[0], "cause": str(error)}
            )
            return
        incarnation, sequence = self._seen.get(beacon.daemon, ("", 0))
        if beacon.incarnation == incarnation and beacon.sequence <= sequence:
            return
        self._seen[beacon.daemon] = (beacon.incarnation, beacon.sequence)
        valid_s = 3 * max(self._period(), REPEAT_S)
        self._learn(beacon.daemon, beacon.shares, beacon.loading, valid_s)
        version, age_ms = beacon.lease
        if version:
            self._observe_lease(version, age_ms / 1_000)

    def _period(self) -> float:
        peers = max(1, self._members.fleet_size() - 1)
        return max(SHORTEST_PERIOD_S, peers / DATAGRAMS_PER_S)

    def _tick(self) -> None:
        self._timer = self._clock.callLater(self._period(), self._tick)
        shares, loading = found = self._collect()
        now = self._clock.seconds()
        lease = self._lease()
        is_empty = not shares and not loading and not lease[0]
        if found == self._last and (is_empty or now - self._last_at < REPEAT_S):
            return
        self._last, self._last_at = found, now
        self._sequence += 1
        own = self._members.own
        data = msgspec.msgpack.encode(
            Beacon(own.id, own.incarnation, self._sequence, shares, loading, lease)
        )
        for member in self._members.serving():
            host, _, port = member.peers.rpartition(":")
            self._port.write(data, (host, int(port)))


__all__ = ["Beacon", "Beacons", "ServerShare", "server_hash"]
