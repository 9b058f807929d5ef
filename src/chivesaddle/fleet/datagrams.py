"""UDP messages between daemons, all on the port for peers."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec
from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet.members import Member
from chivesaddle.fleet.peer_address import parse_peer_address

# Fits into one packet on every network, so that it is not fragmented.
MAX_DATAGRAM_BYTES = 1_200
# Failures to send to one receiver are logged once in this time.
FAILURE_LOG_INTERVAL_S = 30.0
# Receivers with failures that are remembered; the oldest is dropped.
MAX_FAILING_RECEIVERS = 1_024

log = ComponentLogger("datagrams")


@dataclass(slots=True)
class _Failures:
    """Datagrams to one receiver that were not sent since the last log line."""

    logged_at: float = -math.inf
    unlogged: int = 0


class PeerDatagrams(DatagramProtocol):
    """Sends and receives messages of several types.

    Parameters
    ----------
    clock : Clock
        Clock of the intervals between log lines.
    message_type : Any
        Union of the message types, tagged msgspec structs.
    """

    def __init__(self, clock: Clock, message_type: Any) -> None:
        self._clock = clock
        self._decoder = msgspec.msgpack.Decoder(message_type)
        self._handlers_by_type: dict[type, Callable[[Any], None]] = {}
        self._failures_by_receiver: dict[str, _Failures] = {}
        self._port: Any = None

    def add_handler(self, message_type: type, handle: Callable[[Any], None]) -> None:
        """Call ``handle(message)`` for each received message of a type."""
        self._handlers_by_type[message_type] = handle

    def listen(self, reactor: Any, address: str) -> None:
        """Bind to ``ip:port``."""
        host, _, port = address.rpartition(":")
        self._port = reactor.listenUDP(int(port), self, interface=host)

    def stop(self) -> None:
        """Stop sending and receiving."""
        if self._port is not None:
            self._port.stopListening()
            self._port = None

    def send(self, message: msgspec.Struct, receivers: Iterable[Member]) -> None:
        """Send a message to each receiver; any of them may be lost.

        A receiver to which the system does not send, or whose address is malformed,
        counts as one whose datagram was lost.
        """
        if self._port is None:
            return
        data = msgspec.msgpack.encode(message)
        for member in receivers:
            try:
                self._port.write(data, parse_peer_address(member.peers))
            except (OSError, ValueError, MessageLengthError, InvalidValue) as error:
                self._record_failure(member, error)

    def _record_failure(self, member: Member, error: Exception) -> None:
        failures = self._failures_by_receiver.setdefault(member.id, _Failures())
        failures.unlogged += 1
        now = self._clock.seconds()
        if now - failures.logged_at >= FAILURE_LOG_INTERVAL_S:
            log.warning(
                "not sent",
                extra={
                    "receiver": member.id,
                    "cause": str(error),
                    "failures": failures.unlogged,
                },
            )
            failures.logged_at, failures.unlogged = now, 0
        if len(self._failures_by_receiver) > MAX_FAILING_RECEIVERS:
            del self._failures_by_receiver[next(iter(self._failures_by_receiver))]

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Pass a message to its handler."""
        try:
            message = self._decoder.decode(data)
        except (ValueError, RecursionError) as error:
            log.info(
                "malformed datagram", extra={"sender": addr[0], "cause": str(error)}
            )
            return
        self._handlers_by_type[type(message)](message)


__all__ = ["MAX_DATAGRAM_BYTES", "PeerDatagrams"]
