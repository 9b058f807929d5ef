"""Rollout of weight versions, driven by one daemon at a time.

The holder of a lease sends the backend servers load orders. Servers may ignore fencing
tokens, so orders of two holders are kept apart in time: a holder sends orders only
shortly after a renewal, and its successor waits until the last order of the previous
holder is older than a lease period.
"""

import math
import random
from collections.abc import Callable, Collection
from typing import Protocol

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId, FencingToken, ModelId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ServerState
from chivesaddle.forwarding.serving_state import ServingState
from chivesaddle.placement import ServerTable, TrackedServer

LEASE_NAME = "weights"
RENEW_INTERVAL_S = 0.4
# Orders are sent at most this long after a renewal, so that one missed renewal stops
# them.
ORDER_AFTER_RENEWAL_S = 0.6
# The lease lapses one TTL after the last observed renewal, and the previous holder
# sends orders until ORDER_AFTER_RENEWAL_S after that renewal. The pause extends the gap
# between the orders of the two holders to at least a whole TTL.
TAKEOVER_PAUSE_S = ORDER_AFTER_RENEWAL_S + 0.15
POLL_INTERVAL_S = 0.15
# Share of a model's servers that may load at once. Loading takes 0.4 s per server, and
# longer while more than two in five servers load at once.
MAX_LOADING_SHARE = 0.4
# Once the weights of any server have been outdated for this long, a larger share loads
# at once: near the limit of 8 s, outdated servers would get no requests anyway.
LATE_AFTER_S = 3.0
MAX_LOADING_SHARE_LATE = 0.6
CALL_TIMEOUT_S = 0.8
# A server's report lags by 0.1 s, and loading takes 0.4 s.
REPORT_POLL_INTERVAL_S = 0.25
# A server that has not loaded the version in this time is retried, starting again from
# its report.
LOAD_TIMEOUT_S = 6.0
RETRY_INTERVAL_S = 0.5
# A server gets no new requests for up to this long before its order. Half of the runs
# (requests being served) take less than 2 s. The remaining ones, of up to 8 s, continue
# under the new weights, because a server that waits for them would be idle otherwise.
DRAIN_TIMEOUT_S = 0.5
# Only daemons of the lowest ranks try to acquire the lease; further candidates would
# only add reads of it.
MAX_LEASE_CANDIDATES = 3
# A candidate whose rank has risen gives up at this rank. Ranks change by a few places
# when other daemons restart.
WITHDRAWAL_RANK = 2 * MAX_LEASE_CANDIDATES

# A holder gives the lease up for servers that it has not reached for this long, so that
# a server that restarts or is silent for a second is no reason.
HANDOVER_AFTER_S = 1.5
# It seeks the lease again after this time: a lease period and `TAKEOVER_PAUSE_S` until
# another daemon gives orders, and some time for these.
SEEK_AGAIN_AFTER_S = 8.0
# Servers that may keep older weights for long: one, and this share of them.
MAX_OUTDATED_SHARE = 0.1

log = ComponentLogger("weights")


class OrderClient(Protocol):
    """Calls to backend servers that the rollout uses."""

    async def read_version(
        self, server: BackendServerId, address: str, model: ModelId, deadline: float
    ) -> tuple[int, int, bool]:
        """Return the count of accepted orders, the version, whether an order runs."""

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
        continue_runs: bool,
        deadline: float,
    ) -> bool:
        """Send an order; return whether the server accepted it or has the version.

        With ``continue_runs`` the server loads the version at once and running requests
        continue with it; otherwise it waits until they have finished.
        """


class RolloutLease(Protocol):
    """The part of `chivesaddle.objects.Lease` that the rollout uses."""

    @property
    def fencing_token(self) -> FencingToken:
        """Fencing token of the current term as holder."""

    @property
    def renewed_at(self) -> float:
        """Time at which the last renewal was sent, in seconds on the clock."""

    @property
    def version(self) -> int:
        """Version of the lease object after this process last wrote it."""

    def is_held_at(self, now: float) -> bool:
        """Return whether this process holds the lease."""

    def record_relayed_version(self, version: int, age_s: float = 0.0) -> None:
        """Record a renewal that the holder relayed."""

    def start(self) -> None:
        """Start to acquire the lease."""

    async def stop(self, *, release: bool = True) -> None:
        """Stop renewing the lease; release it if ``release`` is true."""


class OrderPaths(Protocol):
    """Knows which daemons reach the servers."""

    @property
    def is_cut_off(self) -> bool:
        """Whether this daemon reaches no server while another one does."""

    def is_reached_by_peer(self, servers: Collection[BackendServerId]) -> bool:
        """Return whether a daemon may reach all of these servers."""


class Rollout:
    """Brings backend servers to the target weight versions while it holds the lease.

    Parameters
    ----------
    clock : Clock
        Clock for all times and deadlines.
    holder : str
        Name of this daemon in orders.
    lease : RolloutLease
        Lease held by the daemon that sends orders.
    servers : ServerTable
        Backend servers and their weight versions.
    serving_state : ServingState
        Source of the target version of each model.
    order_client : OrderClient
        Calls to backend servers.
    rank : callable
        Returns this daemon's rank among the running daemons.
    paths : OrderPaths or None
        Lets a daemon that does not reach servers leave the orders to others; None if
        that is not known.
    """

    def __init__(
        self,
        clock: Clock,
        holder: str,
        lease: RolloutLease,
        servers: ServerTable,
        serving_state: ServingState,
        order_client: OrderClient,
        rank: Callable[[], int],
        paths: OrderPaths | None = None,
    ) -> None:
        self._clock = clock
        self._holder = holder
        self._lease = lease
        self._servers = servers
        self._serving_state = serving_state
        self._order_client = order_client
        self._rank = rank
        self._paths = paths
        self._cut_off_since = math.inf
        self._seek_from = -math.inf
        # When each server that gives no report was first asked for one.
        self._unreached_since: dict[BackendServerId, float] = {}
        self._random = random.Random()
        self._term = FencingToken(0)
        self._may_order_from = 0.0
        self._loading: set[BackendServerId] = set()
        # Servers that get no new requests because they drain or load a version.
        self.excluded_servers: set[BackendServerId] = set()
        self._retry_at: dict[BackendServerId, float] = {}
        self._loop: Deferred[None] | None = None
        self._lease_started = False

    def start(self) -> None:
        """Start to acquire the lease and to send orders."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "rollout loop failed"))

    async def stop(self) -> None:
        """Stop sending orders.

        The lease is left to expire: a successor that acquired it immediately would
        have to wait for the age of the last orders anyway.
        """
        if self._loop is not None:
            self._loop.cancel()
        await self._lease.stop(release=False)

    @property
    def holds_lease(self) -> bool:
        """Whether this daemon holds the lease."""
        return self._lease.is_held_at(self._clock.seconds())

    def lease_to_relay(self) -> tuple[int, int]:
        """Return the lease version and its renewal age in ms; zeros if not held."""
        now = self._clock.seconds()
        if not self._lease.is_held_at(now):
            return 0, 0
        return self._lease.version, int((now - self._lease.renewed_at) * 1_000)

    def observe_lease(self, version: int, age_s: float) -> None:
        """Record that another daemon holds the lease."""
        self._lease.record_relayed_version(version, age_s)

    async def _run(self) -> None:
        while True:
            now = self._clock.seconds()
            try:
                self._start_or_stop_lease(now)
                if self._may_order(now):
                    self._start_loads(now)
            except Exception as error:
                # The lease is renewed meanwhile, so that no other daemon gives orders.
                log.error("rollout step failed", exc_info=error)
            await sleep_until(self._clock, now + POLL_INTERVAL_S)

    def _start_or_stop_lease(self, now: float) -> None:
        rank = self._rank()
        is_candidate = rank < MAX_LEASE_CANDIDATES
        if not self._lease_started and not is_candidate:
            return
        if self._paths is None or not self._paths.is_cut_off:
            self._cut_off_since = math.inf
        elif self._cut_off_since == math.inf:
            self._cut_off_since = now
        if not self._lease_started:
            if self._cut_off_since == math.inf and now >= self._seek_from:
                self._lease_started = True
                self._lease.start()
        elif now - self._cut_off_since >= HANDOVER_AFTER_S:
            log.info("orders left to others", extra={"cause": "no server is reached"})
            self._stop_lease()
        elif rank >= WITHDRAWAL_RANK and not self.holds_lease:
            self._stop_lease()

    def _stop_lease(self) -> None:
        self._lease_started = False
        stopping = start(self._lease.stop(release=False))
        stopping.addErrback(log_failure(log, "lease not stopped"))

    def _leave_to_others(
        self, outdated: list[TrackedServer], server_count: int, now: float
    ) -> None:
        """Give the lease up if only servers are left that others may reach."""
        unreached = [server.entry.id for server in outdated]
        may_stay_outdated = 1 + MAX_OUTDATED_SHARE * server_count
        if (
            self._paths is None
            or len(outdated) <= may_stay_outdated
            or any(
                now - self._unreached_since.get(server, now) < HANDOVER_AFTER_S
                for server in unreached
            )
            or not self._paths.is_reached_by_peer(unreached)
        ):
            return
        log.info(
            "orders left to others",
            extra={"cause": "servers are not reached", "servers": unreached},
        )
        self._seek_from = now + SEEK_AGAIN_AFTER_S
        self._stop_lease()

    def _may_order(self, now: float) -> bool:
        if not self._lease.is_held_at(now):
            return False
        if self._lease.fencing_token != self._term:
            self._term = self._lease.fencing_token
            first = self._term <= 1
            self._may_order_from = now + (0.0 if first else TAKEOVER_PAUSE_S)
            log.info("orders taken over", extra={"fence": self._term})
        renewed_recently = now - self._lease.renewed_at <= ORDER_AFTER_RENEWAL_S
        return renewed_recently and now >= self._may_order_from

    def _start_loads(self, now: float) -> None:
        all_outdated: set[BackendServerId] = set()
        for model in self._serving_state.models_with_target_version():
            version = self._serving_state.target_version(model) or 0
            servers = [
                server
                for server in self._servers.all()
                if model in server.version_by_model
                and server.entry.state is ServerState.READY
            ]
            outdated = [
                server
                for server in servers
                if server.version_by_model[model] < version
                or model in server.assumed_models
            ]
            all_outdated.update(server.entry.id for server in outdated)
            max_outdated_s = max(
                (
                    self._serving_state.outdated_s(model, s.version_by_model[model])
                    for s in outdated
                ),
                default=0.0,
            )
            max_share = (
                MAX_LOADING_SHARE_LATE
                if max_outdated_s > LATE_AFTER_S
                else MAX_LOADING_SHARE
            )
            max_loading = max(1, int(max_share * len(servers)))
            for server in self._servers_to_load(outdated, now):
                if len(self._loading) >= max_loading:
                    break
                self._start_load(server, model, version)
            self._leave_to_others(outdated, len(servers), now)
        for server_id in self._unreached_since.keys() - all_outdated:
            del self._unreached_since[server_id]

    def _servers_to_load(
        self, outdated: list[TrackedServer], now: float
    ) -> list[TrackedServer]:
        """Return the servers that may load now.

        Servers that give reports are first, then those with the fewest runs.
        """
        loadable = [
            server
            for server in outdated
            if server.entry.id not in self._loading
            and self._retry_at.get(server.entry.id, 0.0) <= now
        ]
        return sorted(
            loadable,
            key=lambda server: (
                server.entry.id in self._unreached_since,
                server.load(now).requests,
                server.entry.id,
            ),
        )

    def _start_load(self, server: TrackedServer, model: ModelId, version: int) -> None:
        server_id = server.entry.id
        self._loading.add(server_id)

        def finish_load(result: object) -> None:
            self._loading.discard(server_id)
            self.excluded_servers.discard(server_id)
            self._retry_at[server_id] = self._clock.seconds() + RETRY_INTERVAL_S

        loading = start(self._load_version(server, model, version))
        loading.addErrback(log_failure(log, f"weight load at {server_id} failed"))
        loading.addBoth(finish_load)

    async def _load_version(
        self, server: TrackedServer, model: ModelId, version: int
    ) -> None:
        server_id, address = server.entry.id, server.entry.address
        asked_at = self._clock.seconds()
        timeout_at = asked_at + LOAD_TIMEOUT_S
        is_drained = has_report = False
        while self._clock.seconds() < timeout_at:
            now = self._clock.seconds()
            try:
                (
                    orders_accepted,
                    loaded_version,
                    order_is_running,
                ) = await self._order_client.read_version(
                    server_id, address, model, now + CALL_TIMEOUT_S
                )
                has_report = True
                self._unreached_since.pop(server_id, None)
                self._servers.record_version(server_id, model, loaded_version)
                if loaded_version >= version:
                    log.info(
                        "weights loaded",
                        extra={"server": server_id, "version": loaded_version},
                    )
                    return
                now = self._clock.seconds()
                if not self._may_order(now):
                    return
                if not is_drained:
                    is_drained = True
                    await self._drain(server)
                    continue
                if not order_is_running:
                    await self._send_order(server, model, version, orders_accepted)
            except ChivesaddleError as error:
                if not has_report:
                    self._unreached_since.setdefault(server_id, asked_at)
                log.info(
                    "order failed", extra={"server": server_id, "cause": str(error)}
                )
                return
            await sleep_until(
                self._clock, self._clock.seconds() + REPORT_POLL_INTERVAL_S
            )

    async def _drain(self, server: TrackedServer) -> None:
        """Wait for a server's runs to finish, for at most `DRAIN_TIMEOUT_S`.

        Meanwhile no daemon sends it new requests.
        """
        self.excluded_servers.add(server.entry.id)
        drain_until = self._clock.seconds() + DRAIN_TIMEOUT_S
        while self._clock.seconds() < drain_until:
            self._servers.record_busy(server.entry.id)
            if not server.load(self._clock.seconds()).requests:
                return
            await sleep_until(self._clock, self._clock.seconds() + POLL_INTERVAL_S)

    async def _send_order(
        self, server: TrackedServer, model: ModelId, version: int, orders_accepted: int
    ) -> None:
        runs = server.load(self._clock.seconds()).requests
        accepted = await self._order_client.order(
            server.entry.id,
            server.entry.address,
            model,
            version,
            orders_accepted=orders_accepted,
            holder=self._holder,
            fence=self._term,
            continue_runs=runs > 0,
            deadline=self._clock.seconds() + CALL_TIMEOUT_S,
        )
        log.info(
            "order given",
            extra={
                "server": server.entry.id,
                "version": version,
                "fence": self._term,
                "orders_accepted": orders_accepted,
                "runs": runs,
                "taken": accepted,
            },
        )
        self._servers.record_busy(server.entry.id)


__all__ = ["LEASE_NAME", "RENEW_INTERVAL_S", "Rollout"]
