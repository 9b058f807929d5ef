"""Orders to load weight versions, given by one daemon at a time.

The holder of a lease gives the orders. Servers may ignore fencing tokens, so a change
of holder keeps a pause: the former holder gives orders only shortly after it renewed,
and the next one waits until orders of the former one are older than a lease period.
"""

import random
from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId, FencingToken, ModelId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.serving_model import ServerState
from chivesaddle.forwarding.knowledge import Knowledge
from chivesaddle.placement import ServerTable, TrackedServer

LEASE_NAME = "weights"
RENEW_S = 0.4
# Orders follow a renewal by at most this, so that one missed renewal stops them.
ORDER_WINDOW_S = 0.6
# The lease lapses TTL after its last renewal was seen, and a former holder's orders end
# ORDER_WINDOW after it; the pause makes up a whole lease period between the two.
TAKEOVER_PAUSE_S = ORDER_WINDOW_S + 0.15
TICK_S = 0.15
# Loading takes 0.4 s a server, and longer while more than two in five load at once.
PARALLEL_SHARE = 0.4
# Servers that are this late load in larger numbers: near the bound of 8 s they would be
# passed over anyway.
LATE_S = 3.0
LATE_SHARE = 0.6
CALL_S = 0.8
# Report lag is 0.1 s; loading takes 0.4 s.
REPORT_INTERVAL_S = 0.25
# A server that does not come up in this time is tried again from its report.
BRING_UP_S = 6.0
RETRY_S = 0.5
# A server gets no new requests for up to this long before its order. Half of the runs
# last less than 2 s; the last ones, of up to 8 s, go on under the new weights, since a
# server that waits for them serves nobody meanwhile.
FINISH_RUNS_S = 0.5
# Daemons that try to hold the lease; more only read it in vain.
CANDIDATES = 3

log = PartLogger("weights")


class OrderGiver(Protocol):
    """Calls of the adapter that the rollout needs."""

    async def read_version(
        self, server: BackendServerId, address: str, model: ModelId, deadline: float
    ) -> tuple[int, int, bool]:
        """Return orders accepted, the model's version, and whether an order runs."""

    async def order(
        self,
        server: BackendServerId,
        address: str,
        model: ModelId,
        version: int,
        *,
        orders_accepted: int,
        holder: str,
        fence: FencingToken,
        runs_go_on: bool,
        deadline: float,
    ) -> bool:
        """Give an order; return whether the server took it or needs none."""


class RolloutLease(Protocol):
    """The part of `chivesaddle.objects.Lease` that the rollout uses."""

    @property
    def fencing_token(self) -> FencingToken:
        """Term of the holding."""

    @property
    def renewed_at(self) -> float:
        """When the last renewal was sent."""

    @property
    def version(self) -> int:
        """Version of the last own write."""

    def held_at(self, now: float) -> bool:
        """Tell whether this process holds the lease."""

    def observe(self, version: int, age_s: float = 0.0) -> None:
        """Note a renewal that the holder relayed."""

    def start(self) -> None:
        """Start to acquire."""

    async def stop(self, *, release: bool = True) -> None:
        """Stop holding."""


class Rollout:
    """Keeps the servers' weights at the named versions while it holds the lease.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    holder : str
        Name of this daemon in orders.
    lease : RolloutLease
        Held by the daemon that gives orders.
    servers : ServerTable
        Servers and their versions.
    knowledge : Knowledge
        Named versions.
    giver : OrderGiver
        Calls to servers.
    rank : callable
        This daemon's place among the running daemons.
    """

    def __init__(
        self,
        clock: Clock,
        holder: str,
        lease: RolloutLease,
        servers: ServerTable,
        knowledge: Knowledge,
        giver: OrderGiver,
        rank: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._holder = holder
        self._lease = lease
        self._servers = servers
        self._knowledge = knowledge
        self._giver = giver
        self._rank = rank
        self._random = random.Random()
        self._term = FencingToken(0)
        self._may_order_from = 0.0
        self._loading: set[BackendServerId] = set()
        # Servers that get no new requests until they report their version.
        self.ordered: set[BackendServerId] = set()
        self._retry_at: dict[BackendServerId, float] = {}
        self._loop: Deferred[None] | None = None
        self._seeks_lease = False

    def start(self) -> None:
        """Start to seek the lease and to give orders."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "rollout ended"))

    async def stop(self) -> None:
        """Stop giving orders.

        The lease lapses by itself: a successor that got it at once would have to wait
        as long for the last orders to age.
        """
        if self._loop is not None:
            self._loop.cancel()
        await self._lease.stop(release=False)

    @property
    def gives_orders(self) -> bool:
        """Whether this daemon holds the lease."""
        return self._lease.held_at(self._clock.seconds())

    def lease_to_relay(self) -> tuple[int, int]:
        """Return the lease's version and the age of its renewal in ms, if held."""
        now = self._clock.seconds()
        if not self._lease.held_at(now):
            return 0, 0
        return self._lease.version, int((now - self._lease.renewed_at) * 1_000)

    def observe_lease(self, version: int, age_s: float) -> None:
        """Note that another daemon holds the lease."""
        self._lease.observe(version, age_s)

    async def _run(self) -> None:
        while True:
            self._seek_lease()
            now = self._clock.seconds()
            if self._may_order(now):
                self._start_loads(now)
            await sleep_until(self._clock, now + TICK_S)

    def _seek_lease(self) -> None:
        if not self._seeks_lease and self._rank() < CANDIDATES:
            self._seeks_lease = True
            self._lease.start()

    def _may_order(self, now: float) -> bool:
        if not self._lease.held_at(now):
            return False
        if self._lease.fencing_token != self._term:
            self._term = self._lease.fencing_token
            first = self._term <= 1
            self._may_order_from = now + (0.0 if first else TAKEOVER_PAUSE_S)
            log.info("orders taken over", extra={"fence": self._term})
        is_recent = now - self._lease.renewed_at <= ORDER_WINDOW_S
        return is_recent and now >= self._may_order_from

    def _start_loads(self, now: float) -> None:
        for model in self._knowledge.named_models():
            version = self._knowledge.named_version(model) or 0
            servers = [
                server
                for server in self._servers.all()
                if model in server.version_by_model
                and server.entry.state is ServerState.READY
            ]
            behind = [s for s in servers if s.version_by_model[model] < version]
            late_s = max(
                (
                    self._knowledge.behind_s(model, s.version_by_model[model])
                    for s in behind
                ),
                default=0.0,
            )
            share = LATE_SHARE if late_s > LATE_S else PARALLEL_SHARE
            most = max(1, int(share * len(servers)))
            for server in self._order_of_loads(behind, now):
                if len(self._loading) >= most:
                    break
                self._start_load(server, model, version)

    def _order_of_loads(
        self, behind: list[TrackedServer], now: float
    ) -> list[TrackedServer]:
        """Return the servers to load next, those with the fewest runs first."""
        due = [
            server
            for server in behind
            if server.entry.id not in self._loading
            and self._retry_at.get(server.entry.id, 0.0) <= now
        ]
        return sorted(
            due, key=lambda server: (server.load(now).requests, server.entry.id)
        )

    def _start_load(self, server: TrackedServer, model: ModelId, version: int) -> None:
        name = server.entry.id
        self._loading.add(name)

        def done(result: object) -> None:
            self._loading.discard(name)
            self.ordered.discard(name)
            self._retry_at[name] = self._clock.seconds() + RETRY_S

        work = start(self._bring_up(server, model, version))
        work.addErrback(log_failure(log, f"load at {name} failed"))
        work.addBoth(done)

    async def _bring_up(
        self, server: TrackedServer, model: ModelId, version: int
    ) -> None:
        name, address = server.entry.id, server.entry.address
        give_up_at = self._clock.seconds() + BRING_UP_S
        await self._finish_runs(server)
        while self._clock.seconds() < give_up_at:
            now = self._clock.seconds()
            try:
                accepted, present, is_busy = await self._giver.read_version(
                    name, address, model, now + CALL_S
                )
                self._servers.record_version(name, model, present)
                if present >= version:
                    log.info(
                        "weights loaded", extra={"server": name, "version": present}
                    )
                    return
                now = self._clock.seconds()
                if not self._may_order(now):
                    return
                if not is_busy:
                    await self._order(server, model, version, accepted)
            except ChivesaddleError as error:
                log.info("order failed", extra={"server": name, "cause": str(error)})
                return
            await sleep_until(self._clock, self._clock.seconds() + REPORT_INTERVAL_S)

    async def _finish_runs(self, server: TrackedServer) -> None:
        """Keep new requests of all daemons from a server while its runs finish."""
        self.ordered.add(server.entry.id)
        until = self._clock.seconds() + FINISH_RUNS_S
        while self._clock.seconds() < until:
            self._servers.record_busy(server.entry.id)
            if not server.load(self._clock.seconds()).requests:
                return
            await sleep_until(self._clock, self._clock.seconds() + TICK_S)

    async def _order(
        self, server: TrackedServer, model: ModelId, version: int, accepted: int
    ) -> None:
        runs = server.load(self._clock.seconds()).requests
        taken = await self._giver.order(
            server.entry.id,
            server.entry.address,
            model,
            version,
            orders_accepted=accepted,
            holder=self._holder,
            fence=self._term,
            runs_go_on=runs > 0,
            deadline=self._clock.seconds() + CALL_S,
        )
        log.info(
            "order given",
            extra={
                "server": server.entry.id,
                "version": version,
                "fence": self._term,
                "orders_accepted": accepted,
                "runs": runs,
                "taken": taken,
            },
        )
        self._servers.record_busy(server.entry.id)


__all__ = ["LEASE_NAME", "RENEW_S", "Rollout"]
