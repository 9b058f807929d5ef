"""Connections that can be made unresponsive while new connections work."""

from collections.abc import Iterable
from typing import Any

from twisted.internet.interfaces import ITransport
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory


class SilenceableConnection(ProtocolWrapper):
    """Connection that, when silent, stays open but drops data in both directions."""

    silent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received data unless silent."""
        if not self.silent:
            super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Send data unless silent."""
        if not self.silent:
            super().write(data)

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802
        """Send data unless silent."""
        if not self.silent:
            super().writeSequence(data)

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection unless silent."""
        if not self.silent:
            super().loseConnection()

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection at once unless silent."""
        if not self.silent:
            abort(self.transport)


class ConnectionFactory(WrappingFactory):
    """Wraps the connections of a site and can make the open ones silent."""

    noisy = False
    protocol = SilenceableConnection

    def silence_open_connections(self, except_for: ITransport | None = None) -> int:
        """Silence all open connections except ``except_for``; return how many."""
        silenced = 0
        for connection in self.protocols:
            if connection is not except_for and not connection.silent:
                connection.silent = True
                silenced += 1
        return silenced


def close(transport: Any) -> None:
    """Close a connection after sending the buffered data."""
    transport.loseConnection()


def abort(transport: Any) -> None:
    """Close a connection at once, discarding the buffered data."""
    transport.abortConnection()


__all__ = ["ConnectionFactory", "SilenceableConnection", "abort", "close"]
