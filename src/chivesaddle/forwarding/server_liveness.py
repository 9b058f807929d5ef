"""Proof that the process that ran a request lives on after the end of its response.

A process that ends loses all its connections at once. So it lives if another connection
to it is still open. That connection must be to the same process: whoever accepts a
connection after the response has ended may have been started since, or may be another
server that took the address. A connection is to the same process if it was opened
before a moment at which this process is known to have been at work on the response.
"""

from collections.abc import Callable
from contextlib import suppress

from chivesaddle.core.aio import (
    Clock,
    Signal,
    log_failure,
    sleep_until,
    start,
    with_deadline,
)
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.http1 import ConnectionPool, NotSent, ServerConnection

# The kernel closes the connections of a process that ends within this time.
SETTLE_S = 0.05
# The same after a pause of this process. If its machine was suspended, closes that were
# sent meanwhile arrive with retransmissions, whose timers run apart by some 0.1 s.
SETTLE_AFTER_PAUSE_S = 0.3
# A connection that sends bytes is looked at again after this time, so often.
RECHECK_S = 0.01
MAX_CHECKS = 3
# An open connection shows that its process was alive this long ago. The close of one
# that ended may arrive behind bytes that waited in its kernel, or with a retransmission
# after 0.2 s.
SEEN_OPEN_MARGIN_S = 0.25
# Connections may be closed after 3 s without a request, so that another one is opened
# before that.
MAX_IDLE_S = 2.0
CONNECT_TIMEOUT_S = 0.35
# A request to a server that sends unframed responses waits for the other connection at
# most so long; servers on the same network accept one within milliseconds.
PREPARE_TIMEOUT_S = 0.05
# A server that sent an unframed response within this time is expected to send others.
EXPECTED_FOR_S = 60.0

log = ComponentLogger("forward")


class ServerLiveness:
    """Keeps another connection open to each server that sends unframed responses.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    pool : ConnectionPool
        Connections to servers.
    was_paused : callable
        Returns whether this process did not run for a while just before.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        was_paused: Callable[[], bool] = lambda: False,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._was_paused = was_paused
        self._unframed_at_by_address: dict[str, float] = {}
        self._responses_by_address: dict[str, int] = {}
        self._opening_by_address: dict[str, Signal] = {}

    def start_response(self, address: str) -> None:
        """Record that a server began an unframed response.

        The pool closes no connection to it until `end_response`.
        """
        self._responses_by_address[address] = (
            self._responses_by_address.get(address, 0) + 1
        )
        self._pool.kept_addresses.add(address)
        now = self._clock.seconds()
        if address not in self._unframed_at_by_address:
            self._unframed_at_by_address = {
                known: at
                for known, at in self._unframed_at_by_address.items()
                if now - at < EXPECTED_FOR_S
            }
        self._unframed_at_by_address[address] = now
        self.keep(address)

    def end_response(self, address: str) -> None:
        """Record that an unframed response ended, or was given up."""
        responses = self._responses_by_address.pop(address) - 1
        if responses:
            self._responses_by_address[address] = responses
        else:
            self._pool.kept_addresses.discard(address)

    def needs_preparation(self, address: str) -> bool:
        """Return whether to wait for another connection before a request is sent."""
        unframed_at = self._unframed_at_by_address.get(address)
        return (
            unframed_at is not None
            and self._clock.seconds() - unframed_at < EXPECTED_FOR_S
            and not self._pool.has_idle(address, MAX_IDLE_S)
        )

    async def prepare(self, address: str) -> None:
        """Wait for a short time until another connection to the server is open."""
        self.keep(address)
        opening = self._opening_by_address.get(address)
        if opening is None:
            return
        deadline = self._clock.seconds() + PREPARE_TIMEOUT_S
        with suppress(DeadlineExceeded):
            await with_deadline(self._clock, deadline, opening.wait(), "connection")

    def keep(self, address: str) -> None:
        """Open another connection to a server unless one is idle."""
        if address in self._opening_by_address:
            return
        if self._pool.has_idle(address, MAX_IDLE_S):
            return
        self._opening_by_address[address] = Signal()
        task = start(self._open(address))
        task.addErrback(log_failure(log, f"connection to {address} failed"))
        task.addBoth(lambda _: self._finish_opening(address))

    def _finish_opening(self, address: str) -> None:
        self._opening_by_address.pop(address).set()

    async def _open(self, address: str) -> None:
        deadline = self._clock.seconds() + CONNECT_TIMEOUT_S
        try:
            await self._pool.probe(address, deadline)
        except NotSent as error:
            log.debug(
                "no second connection", extra={"to": address, "cause": error.message}
            )

    async def has_outlived(
        self, address: str, ended: ServerConnection, alive_at: float
    ) -> bool:
        """Return whether a process is known to live on after one connection ended.

        Parameters
        ----------
        ended : ServerConnection
            The connection that ended, with the response.
        alive_at : float
            When the process is known to have been at work on the response, in seconds
            on the clock.
        """
        older = [
            connection
            for connection in self._pool.open_connections(address)
            if connection is not ended and connection.connected_at <= alive_at
        ]
        if not older:
            return False
        await self._sleep(SETTLE_S)
        if self._was_paused():
            await self._sleep(SETTLE_AFTER_PAUSE_S - SETTLE_S)
        for _ in range(MAX_CHECKS):
            older = [connection for connection in older if not connection.lost]
            if any(connection.is_seen_open for connection in older):
                return True
            if not older:
                return False
            await self._sleep(RECHECK_S)
        return False

    async def _sleep(self, seconds: float) -> None:
        await sleep_until(self._clock, self._clock.seconds() + seconds)


__all__ = ["SEEN_OPEN_MARGIN_S", "ServerLiveness"]
