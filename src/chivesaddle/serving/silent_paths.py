"""Finds services whose servers accept connections of this daemon, but send no byte.

Something between the daemon and the servers may accept connections and drop what is
sent on them. Requests then wait for their deadlines, while other daemons are answered.
"""

import math
import random
from collections.abc import Callable, Collection, Sequence

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, Signal, log_failure, sleep_until, start
from chivesaddle.core.ids import ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet import TickGrid
from chivesaddle.fleet.beacons import server_hash
from chivesaddle.http1 import ConnectionPool
from chivesaddle.placement import ServerTable, TrackedServer
from chivesaddle.serving.server_activity import ServerActivity
from chivesaddle.serving.server_probe import request_health

INTERVAL_S = 0.1
# Interval while no request is at a server and no path is lost.
IDLE_INTERVAL_S = 0.25
# No server of a service may have sent a byte for this long, and as many requests must
# have waited as long, before its servers are asked for their health.
SILENCE_S = 0.7
MIN_UNANSWERED_REQUESTS = 3
# Requests that were given up count for this time, since few may wait at a time.
GIVEN_UP_FOR_S = 3.0
# A peer reports a service that sent it a byte within this time, and the report counts
# for this time. The sum is below `SILENCE_S`, so that no report from before all servers
# stopped for a moment counts once they are silent.
HEARD_WITHIN_S = 0.2
REPORT_LIFETIME_S = 0.45
# Silent services are asked at this interval, at so many servers.
HEALTH_INTERVAL_S = 0.5
HEALTH_REQUESTS = 2
HEALTH_TIMEOUT_S = 0.25

log = ComponentLogger("paths")


def is_silent(servers: Sequence[TrackedServer], now: float) -> bool:
    """Return whether requests to the servers wait, and none sent a byte lately.

    Requests count that wait, or were given up, since the last byte of any server.
    """
    since = now - SILENCE_S
    last_byte_at = max((s.last_byte_at for s in servers), default=-math.inf)
    if last_byte_at > since:
        return False
    waiting = sum(
        sent_at <= since for server in servers for sent_at in server.unanswered.values()
    )
    given_up_since = max(last_byte_at, now - GIVEN_UP_FOR_S)
    given_up = sum(
        ended_at > given_up_since and ended_at - sent_at >= SILENCE_S
        for server in servers
        for sent_at, ended_at in server.given_up
    )
    return waiting + given_up >= MIN_UNANSWERED_REQUESTS


class SilentPaths:
    """Judges the paths to all servers of a service as lost, and as regained.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    servers : ServerTable
        Servers and paths.
    pool : ConnectionPool
        Connections to servers.
    health_path : callable
        Returns the target of a service's health requests, or None if it has none; its
        paths are not judged then.
    activity : ServerActivity or None
        Servers with requests; None walks over all.
    grid : TickGrid or None
        Times of the checks while there are none; None for one of its own.

    Attributes
    ----------
    on_silence : callable
        Called with a service that is silent while no peer has reported that it answers.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        pool: ConnectionPool,
        health_path: Callable[[ServiceId], str | None],
        activity: ServerActivity | None = None,
        grid: TickGrid | None = None,
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._pool = pool
        self._health_path = health_path
        self._activity = activity or ServerActivity(servers)
        self._grid = grid or TickGrid(clock)
        self._random = random.Random()
        # By the hash of a service: until when a peer's report that it answers counts.
        self._answers_until: dict[int, float] = {}
        self._asked_at_by_service: dict[ServiceId, float] = {}
        # When a server of the service last answered a health request.
        self._answered_at_by_service: dict[ServiceId, float] = {}
        self._asking: set[Deferred[None]] = set()
        self.on_silence: Callable[[ServiceId], None] = lambda service: None
        # Services that are being asked for a peer, and when that began last.
        self._checking: set[ServiceId] = set()
        self._checked_at_by_service: dict[ServiceId, float] = {}
        self._check_ended = Signal()
        self._loop: Deferred[None] | None = None
        self.health_requests_sent = 0

    def start(self) -> None:
        """Start judging."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "search for silent paths ended"))

    def stop(self) -> None:
        """Stop judging."""
        if self._loop is not None:
            self._loop.cancel()
        for asking in list(self._asking):
            asking.cancel()

    def answering_services(self) -> list[int]:
        """Return the hashes of the services that sent this daemon a byte just now."""
        if not self._activity.with_requests():
            return []
        since = self._clock.seconds() - HEARD_WITHIN_S
        answering = {
            server.entry.service
            for server in self._servers.all()
            if server.last_byte_at > since
        }
        return sorted(server_hash(service) for service in answering)

    def apply_answering_services(self, services: Collection[int]) -> None:
        """Record the services that send bytes to a peer."""
        until = self._clock.seconds() + REPORT_LIFETIME_S
        for service in services:
            self._answers_until[service] = until

    async def _run(self) -> None:
        while True:
            is_idle = not self._activity.with_requests() and not self._activity.lost()
            if not is_idle:
                try:
                    self._check()
                except Exception as error:
                    log.error("check failed", exc_info=error)
            delay_s = self._grid.delay_s(IDLE_INTERVAL_S) if is_idle else INTERVAL_S
            await sleep_until(self._clock, self._clock.seconds() + delay_s)

    def _check(self) -> None:
        now = self._clock.seconds()
        answering = {s for s, until in self._answers_until.items() if until > now}
        self._answers_until = {s: self._answers_until[s] for s in answering}
        for service, servers in self._servers_by_service().items():
            health_path = self._health_path(service)
            if health_path is None:
                continue
            if any(server.path.awaits_bytes for server in servers):
                self._ask_if_due(service, health_path)
                continue
            reached = [server for server in servers if server.path.lost_at is None]
            answered_at = self._answered_at_by_service.get(service, -math.inf)
            if answered_at > now - SILENCE_S or not is_silent(reached, now):
                continue
            if server_hash(service) in answering:
                self._ask_if_due(service, health_path)
            else:
                self.on_silence(service)

    def _servers_by_service(self) -> dict[ServiceId, list[TrackedServer]]:
        servers_by_service: dict[ServiceId, list[TrackedServer]] = {}
        for server in self._servers.all():
            servers_by_service.setdefault(server.entry.service, []).append(server)
        return servers_by_service

    def _of_service(self, service: ServiceId) -> list[TrackedServer]:
        return [s for s in self._servers.all() if s.entry.service == service]

    def _ask_if_due(self, service: ServiceId, health_path: str) -> None:
        now = self._clock.seconds()
        if now - self._asked_at_by_service.get(service, -math.inf) < HEALTH_INTERVAL_S:
            return
        self._asked_at_by_service[service] = now
        asking = start(self._ask(service, health_path))
        self._asking.add(asking)
        asking.addErrback(log_failure(log, "health requests failed"))
        asking.addBoth(lambda _: self._asking.discard(asking))

    async def _ask(self, service: ServiceId, health_path: str) -> None:
        """Judge the paths to a service by whether one of its servers answers at all."""
        if await self._request_any_health(service, health_path):
            for server in self._of_service(service):
                self._servers.record_answer(server.entry.id)
            return
        reached = [s for s in self._of_service(service) if s.path.lost_at is None]
        if is_silent(reached, self._clock.seconds()):
            self._record_silent(service, reached)

    async def is_answered(self, service_hash: int) -> bool:
        """Return whether a service, named by its hash, answers this daemon.

        If it has not sent a byte just now, two of its servers are asked.
        """
        for service in self._servers_by_service():
            if server_hash(service) == service_hash:
                return self._was_heard(service) or await self._check_for_peer(service)
        return False

    def _was_heard(self, service: ServiceId) -> bool:
        since = self._clock.seconds() - HEARD_WITHIN_S
        return self._answered_at_by_service.get(service, -math.inf) > since or any(
            server.last_byte_at > since for server in self._of_service(service)
        )

    async def _check_for_peer(self, service: ServiceId) -> bool:
        """Ask a service once for all peers that want to know now."""
        health_path = self._health_path(service)
        now = self._clock.seconds()
        if health_path is None or not self._servers.has_path(service):
            return False
        if service in self._checking:
            await self._check_ended.wait()
            return self._was_heard(service)
        checked_at = self._checked_at_by_service.get(service, -math.inf)
        if now - checked_at < HEALTH_INTERVAL_S:
            return False
        self._checked_at_by_service[service] = now
        self._checking.add(service)
        try:
            return await self._request_any_health(service, health_path)
        finally:
            self._checking.discard(service)
            self._check_ended.set()

    async def _request_any_health(self, service: ServiceId, health_path: str) -> bool:
        """Return whether one of some servers of a service answers a health request."""
        # A server that accepts no connection says nothing of the paths to the others.
        servers = [
            server
            for server in self._of_service(service)
            if server.path.lost_at is None or server.path.awaits_bytes
        ]
        asked = self._random.sample(servers, min(HEALTH_REQUESTS, len(servers)))
        requests = [
            start(self._request_health(server, health_path)) for server in asked
        ]
        try:
            answers = [await request for request in requests]
        finally:
            for request in requests:
                request.cancel()
        if any(answers):
            self._answered_at_by_service[service] = self._clock.seconds()
        return any(answers)

    async def _request_health(self, server: TrackedServer, health_path: str) -> bool:
        """Return whether the server responds, whatever it responds."""
        self.health_requests_sent += 1
        deadline = self._clock.seconds() + HEALTH_TIMEOUT_S
        return await request_health(
            self._pool, self._clock, server.entry, health_path, deadline
        )

    def _record_silent(
        self, service: ServiceId, servers: Sequence[TrackedServer]
    ) -> None:
        log.warning(
            "service silent",
            extra={
                "service": service,
                "servers": len(servers),
                "unanswered": sum(len(server.unanswered) for server in servers),
                "silent_for_ms": round(SILENCE_S * 1_000),
            },
        )
        for server in servers:
            self._servers.record_silent_path(server.entry.id)


__all__ = ["SilentPaths", "is_silent"]
