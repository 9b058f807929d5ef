"""Asks a server whether its process answers, without sending it a caller's request."""

from collections.abc import Awaitable, Callable

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ServerEntry
from chivesaddle.http1 import (
    BodyLimit,
    ConnectionPool,
    NotSent,
    ResponseBroken,
    exchange,
)

# What a server tells about its health is not read.
HEALTH_LIMIT = BodyLimit(max_bytes=65_536, max_total_bytes=1_000_000)

log = ComponentLogger("paths")


async def request_health(
    pool: ConnectionPool,
    clock: Clock,
    server: ServerEntry,
    health_path: str,
    deadline: float,
) -> bool:
    """Return whether a server responds by a deadline, whatever it responds."""
    try:
        await exchange(
            pool,
            clock,
            server.address,
            "GET",
            health_path,
            deadline=deadline,
            limit=HEALTH_LIMIT,
        )
    except (NotSent, ResponseBroken) as error:
        log.debug(
            "no answer to health request",
            extra={"server": server.id, "cause": error.message},
        )
        return False
    return True


class ServerProbe:
    """Asks model engines for their report, and other servers for their health.

    An engine answers a report at once; its health request would wait for a slot.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.
    pool : ConnectionPool
        Opens a connection for each health request.
    read_start : callable
        Reads the report of a model engine; returns None if it has none.
    is_engine : callable
        Returns whether a service has model engines.
    health_path : callable
        Returns the target of a service's health requests, or None if it has none.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        read_start: Callable[[ServerEntry, float], Awaitable[int | None]],
        is_engine: Callable[[ServiceId], bool],
        health_path: Callable[[ServiceId], str | None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._read_start = read_start
        self._is_engine = is_engine
        self._health_path = health_path

    async def answers(self, server: ServerEntry, deadline: float) -> bool:
        """Return whether the server answers by a deadline, whatever it answers."""
        if self._is_engine(server.service):
            return await self._read_start(server, deadline) is not None
        health_path = self._health_path(server.service)
        if health_path is None:
            return False
        return await request_health(
            self._pool, self._clock, server, health_path, deadline
        )


__all__ = ["ServerProbe", "request_health"]
