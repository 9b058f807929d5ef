"""Task that sends orders to the backend servers of a zone; one holder per zone."""

from typing import Any, Protocol

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.ids import BackendServerId, FencingToken, ZoneId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.model import BackendServer, ConfigState
from chivesaddle.engines import EngineState
from chivesaddle.orders.desired import (
    Order,
    ServerProvisioning,
    desired_state,
    order_to_json,
)
from chivesaddle.orders.reconciler import ServerReconciler

LOOP_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 2.0

log = ComponentLogger("orders")


class OrderClient(Protocol):
    """Reads the state of model engines and sends them orders."""

    async def state(self, url: str, deadline: float) -> EngineState:
        """Read the state of an engine."""

    async def order(
        self,
        url: str,
        fence: FencingToken,
        order: str,
        arguments: dict[str, Any],
        deadline: float,
    ) -> None:
        """Send one order; fails if the engine rejects its fencing token."""


class HeldLease(Protocol):
    """The part of the lease interface that the task uses."""

    @property
    def fencing_token(self) -> FencingToken:
        """Fencing token of the last term in which the lease was held."""

    def is_held_at(self, now: float) -> bool:
        """Return whether this process may act as the lease holder at ``now``."""


class OrdersTask:
    """Reconciles the backend servers of one zone while the lease is held.

    Parameters
    ----------
    zone : ZoneId
        Zone whose backend servers this task reconciles.
    lease : HeldLease
        Lease ``orders/{zone}``.
    client : OrderClient
        Client of the engines.
    clock : Clock
        Clock for intervals and deadlines.
    events : EventRing
        Receives an event for each order.
    """

    def __init__(
        self,
        zone: ZoneId,
        lease: HeldLease,
        client: OrderClient,
        clock: Clock,
        events: EventRing,
    ) -> None:
        self._zone = zone
        self._lease = lease
        self._client = client
        self._clock = clock
        self._events = events
        self._config = ConfigState.empty()
        self._reconcilers_by_id: dict[BackendServerId, ServerReconciler] = {}
        self._reconciling_ids: set[BackendServerId] = set()
        self._loop: Deferred[None] | None = None

    def update_config(self, config: ConfigState) -> None:
        """Use a new configuration."""
        self._config = config

    def start(self) -> None:
        """Start the loop; it sends orders only while the lease is held."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "orders task stopped"))

    def stop(self) -> None:
        """Stop the loop."""
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self) -> None:
        while True:
            if self._lease.is_held_at(self._clock.seconds()):
                self._start_due_reconciliations()
            else:
                # In a new term of the lease, every server has to settle again.
                self._reconcilers_by_id.clear()
            await sleep_until(self._clock, self._clock.seconds() + LOOP_INTERVAL_S)

    def _start_due_reconciliations(self) -> None:
        now = self._clock.seconds()
        servers_by_id = {
            server.id: server
            for server in self._config.backend_servers_by_id.values()
            if server.zone == self._zone
        }
        for removed_id in self._reconcilers_by_id.keys() - servers_by_id.keys():
            del self._reconcilers_by_id[removed_id]
        for server in servers_by_id.values():
            reconciler = self._reconcilers_by_id.setdefault(
                server.id, ServerReconciler(server.checks_fencing)
            )
            reconciler.set_desired(desired_state(server, self._config), now)
            if (
                reconciler.next_read_at <= now
                and server.id not in self._reconciling_ids
            ):
                self._reconciling_ids.add(server.id)
                reconciliation = start(self._reconcile(server, reconciler))
                reconciliation.addErrback(
                    log_failure(log, f"failed to reconcile server {server.id}")
                )

    async def _reconcile(
        self, server: BackendServer, reconciler: ServerReconciler
    ) -> None:
        try:
            deadline = self._clock.seconds() + CALL_TIMEOUT_S
            state = await self._client.state(server.url, deadline)
            actual = ServerProvisioning.from_engine(state)
            for order in reconciler.observe(actual, self._clock.seconds()):
                await self._send_order(server, order)
        except CancelledError:
            raise
        except ChivesaddleError as error:
            log.info("failed to reconcile server %s: %s", server.id, error)
            reconciler.record_failure(self._clock.seconds())
        finally:
            self._reconciling_ids.discard(server.id)

    async def _send_order(self, server: BackendServer, order: Order) -> None:
        now = self._clock.seconds()
        # A holder that was paused past its lease term must not send orders that it
        # decided on before the pause.
        if not self._lease.is_held_at(now):
            return
        fence = self._lease.fencing_token
        name, arguments = order_to_json(order)
        self._events.record(
            EventKind.ORDER_SENT,
            object=server.id,
            fence=fence,
            order=name,
            arguments=arguments,
        )
        await self._client.order(
            server.url, fence, name, arguments, now + CALL_TIMEOUT_S
        )


__all__ = ["HeldLease", "OrderClient", "OrdersTask"]
