"""Kept connections by server address."""

from chivesaddle.core.aio import Clock
from chivesaddle.http1.client import Connector, ServerConnection

# Servers announce their idle timeout in Keep-Alive; without it, 3 s is safely below
# the shortest seen on the platform's pages.
DEFAULT_IDLE_S = 3.0
# Kept per address; more are closed when they become idle.
MAX_IDLE_PER_ADDRESS = 8


class ConnectionPool:
    """Reuses connections that ended their last exchange in order.

    Parameters
    ----------
    connector : Connector
        Opens new connections.
    clock : Clock
        Clock of all deadlines.
    """

    def __init__(self, connector: Connector, clock: Clock) -> None:
        self._connector = connector
        self._clock = clock
        self._idle_by_address: dict[str, list[ServerConnection]] = {}
        self._usable_until: dict[ServerConnection, float] = {}
        self.opened = 0

    async def acquire(
        self, address: str, deadline: float, *, max_idle_s: float = DEFAULT_IDLE_S
    ) -> ServerConnection:
        """Return a kept connection idle for less than ``max_idle_s``, or a new one.

        Raises
        ------
        NotSent
            If no connection could be opened by ``deadline``.
        """
        now = self._clock.seconds()
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            until = self._usable_until.pop(connection, 0.0)
            if not connection.is_reusable:
                continue
            if now < until and now - connection.idle_since < max_idle_s:
                connection.on_idle_loss = None
                return connection
            connection.abort()
        self.opened += 1
        return await self._connector.connect(address, deadline)

    def release(
        self, address: str, connection: ServerConnection, keep_alive_s: float | None
    ) -> None:
        """Keep a connection whose exchange ended, for less than the server keeps it."""
        if not connection.is_reusable:
            return
        idle = self._idle_by_address.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        now = self._clock.seconds()
        kept_s = DEFAULT_IDLE_S if keep_alive_s is None else 0.6 * keep_alive_s
        connection.idle_since = now
        connection.on_idle_loss = lambda lost: self._forget(address, lost)
        self._usable_until[connection] = now + kept_s
        idle.append(connection)

    def close_address(self, address: str) -> None:
        """Drop the kept connections to an address, for example a removed server's."""
        for connection in self._idle_by_address.pop(address, []):
            self._usable_until.pop(connection, None)
            connection.abort()

    def close_expired(self) -> None:
        """Drop connections that have been idle for too long."""
        now = self._clock.seconds()
        for address, idle in list(self._idle_by_address.items()):
            for connection in list(idle):
                if now >= self._usable_until.get(connection, 0.0):
                    self._forget(address, connection)
                    connection.abort()
            if not idle:
                self._idle_by_address.pop(address, None)

    def _forget(self, address: str, connection: ServerConnection) -> None:
        self._usable_until.pop(connection, None)
        idle = self._idle_by_address.get(address, [])
        if connection in idle:
            idle.remove(connection)


__all__ = ["ConnectionPool"]
