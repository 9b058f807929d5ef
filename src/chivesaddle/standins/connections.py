"""Connections of a fake that can be made silent while new ones work."""

from collections.abc import Iterable
from typing import Any

from twisted.internet.interfaces import ITransport
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory


class SilenceableConnection(ProtocolWrapper):
    """Connection that, once silent, drops data both ways and stays open."""

    silent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data on unless silent."""
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
    """Wraps the connections of a site and can silence the open ones."""

    noisy = False
    protocol = SilenceableConnection

    def silence_open_connections(self, except_for: ITransport | None = None) -> int:
        """Silence all open connections but one; return how many."""
        silenced = 0
        for connection in self.protocols:
            if connection is not except_for and not connection.silent:
                connection.silent = True
                silenced += 1
        return silenced


def close(transport: Any) -> None:
    """Close a connection after sending what is buffered."""
    transport.loseConnection()


def abort(transport: Any) -> None:
    """Close a connection at once, without sending what is buffered."""
    transport.abortConnection()


__all__ = ["ConnectionFactory", "SilenceableConnection", "abort", "close"]
