"""Pool of idle connections to servers, by address."""

from chivesaddle.core.aio import Clock, sleep_until
from chivesaddle.http1.client import Connector, NotSent, ServerConnection
from chivesaddle.http1.sockets import UnreadInput, peek

# Idle time after which a connection is not reused, for servers that do not send their
# idle timeout in a Keep-Alive header. 3 s is safely below the shortest idle timeout in
# the platform's documentation.
DEFAULT_MAX_IDLE_S = 3.0
# Further connections to the same address are aborted instead of kept.
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 8
# Interval at which a connection that may still be reset is checked.
SETTLE_CHECK_INTERVAL_S = 0.05


class ConnectionPool:
    """Keeps connections whose last exchange is complete, for reuse.

    Parameters
    ----------
    connector : Connector
        Opens new connections.
    clock : Clock
        Clock of idle times.

    Attributes
    ----------
    connections_opened : int
        Number of connections requested from the connector.
    kept_addresses : set of str
        Addresses to which connections stay open that have been idle for too long to be
        reused.
    """

    def __init__(self, connector: Connector, clock: Clock) -> None:
        self._connector = connector
        self._clock = clock
        self._idle_by_address: dict[str, list[ServerConnection]] = {}
        self._usable_until: dict[ServerConnection, float] = {}
        # Those that are lost are dropped when another one is opened, and regularly.
        self._open_by_address: dict[str, list[ServerConnection]] = {}
        self.connections_opened = 0
        self.kept_addresses: set[str] = set()

    @property
    def idle_connections(self) -> int:
        """Number of connections that are kept for reuse."""
        return len(self._usable_until)

    async def acquire(
        self, address: str, deadline: float, *, max_idle_s: float = DEFAULT_MAX_IDLE_S
    ) -> ServerConnection:
        """Return a pooled connection idle for less than ``max_idle_s``, or a new one.

        Raises
        ------
        NotSent
            If no connection could be opened by ``deadline``.
        """
        now = self._clock.seconds()
        idle = self._idle_by_address.get(address, [])
        for connection in reversed(list(idle)):
            usable_until = self._usable_until.get(connection, 0.0)
            is_usable = now < usable_until and now - connection.idle_since < max_idle_s
            if address in self.kept_addresses and not is_usable:
                continue
            self._remove_idle(address, connection)
            if not connection.is_reusable:
                continue
            # Unread bytes would be taken as the response to the next request.
            if is_usable and peek(connection.transport) is UnreadInput.NONE:
                connection.on_idle_loss = None
                return connection
            connection.abort()
        return await self.open(address, deadline)

    async def open(self, address: str, deadline: float) -> ServerConnection:
        """Open a new connection; raises `NotSent`."""
        self.connections_opened += 1
        connection = await self._connector.connect(address, deadline)
        self._open_by_address[address] = [*self.open_connections(address), connection]
        return connection

    def open_connections(self, address: str) -> list[ServerConnection]:
        """Return the connections to an address, idle or not, that are not lost."""
        return [c for c in self._open_by_address.get(address, ()) if not c.lost]

    def has_idle(self, address: str, max_idle_s: float) -> bool:
        """Return whether a connection that was idle for less than a time is kept."""
        idle_since = self._clock.seconds() - max_idle_s
        return any(
            connection.idle_since > idle_since and connection.is_reusable
            for connection in self._idle_by_address.get(address, ())
        )

    async def probe(self, address: str, deadline: float, settle_s: float = 0.0) -> None:
        """Open a connection and keep it for reuse.

        Parameters
        ----------
        settle_s : float
            How long after it was accepted the connection may still be reset.

        Raises
        ------
        NotSent
            If the connection was not opened, or was reset when it was accepted.
        """
        connection = await self.open(address, deadline)
        try:
            settled_at = self._clock.seconds() + settle_s
            while not connection.lost and self._clock.seconds() < settled_at:
                check_at = self._clock.seconds() + SETTLE_CHECK_INTERVAL_S
                await sleep_until(self._clock, min(check_at, settled_at))
        except BaseException:
            connection.abort()
            raise
        if connection.lost:
            raise NotSent("reset when accepted")
        self.release(address, connection, None)

    def release(
        self, address: str, connection: ServerConnection, keep_alive_s: float | None
    ) -> None:
        """Keep a connection for reuse if its last exchange is complete.

        ``keep_alive_s`` is the server's idle timeout, None if it is not known.
        """
        if not connection.is_reusable:
            return
        idle = self._idle_by_address.setdefault(address, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS_PER_ADDRESS:
            connection.abort()
            return
        now = self._clock.seconds()
        # The margin of 40 % keeps the server from closing a connection that is about to
        # be reused.
        usable_s = DEFAULT_MAX_IDLE_S if keep_alive_s is None else 0.6 * keep_alive_s
        connection.idle_since = now
        connection.on_idle_loss = lambda lost: self._remove_idle(address, lost)
        self._usable_until[connection] = now + usable_s
        idle.append(connection)

    def close_address(self, address: str) -> None:
        """Abort the idle connections to an address, such as a removed server's."""
        for connection in self._idle_by_address.pop(address, []):
            self._usable_until.pop(connection, None)
            connection.abort()

    def close_expired(self) -> None:
        """Abort connections that have been idle for too long."""
        now = self._clock.seconds()
        for address, idle in list(self._idle_by_address.items()):
            if address in self.kept_addresses:
                continue
            for connection in list(idle):
                if now >= self._usable_until.get(connection, 0.0):
                    self._remove_idle(address, connection)
                    connection.abort()
            if not idle:
                self._idle_by_address.pop(address, None)
        self._open_by_address = {
            address: connections
            for address in self._open_by_address
            if (connections := self.open_connections(address))
        }

    def _remove_idle(self, address: str, connection: ServerConnection) -> None:
        self._usable_until.pop(connection, None)
        idle = self._idle_by_address.get(address, [])
        if connection in idle:
            idle.remove(connection)


__all__ = ["ConnectionPool"]
