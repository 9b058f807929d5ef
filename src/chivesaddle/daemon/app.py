"""The daemon: construction, wiring, start and shutdown of its components."""

import time
from collections.abc import Callable, Sequence
from typing import Any

import xxhash
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.server import Site

from chivesaddle.actions import ActionService, TreqServiceClient
from chivesaddle.configuration import (
    MAX_READING_AGE_S,
    ActiveConfig,
    ConfigService,
    Freshness,
    PromptStore,
)
from chivesaddle.core.aio import log_failure, sleep_until, start, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.http import IpEndpointFactory
from chivesaddle.core.ids import BackendServerId, ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.metrics import metrics_from_config
from chivesaddle.core.model import ConfigState, Service
from chivesaddle.core.settings import ListenAddress, Settings
from chivesaddle.daemon.adapters import (
    CallerActions,
    CallerPrompts,
    ConfigurationPort,
    OperatorActions,
    RouterSink,
)
from chivesaddle.daemon.announcing import SuspectAnnouncer
from chivesaddle.daemon.fleet import PeerFleet
from chivesaddle.daemon.leaving import LeavingServers
from chivesaddle.daemon.singleton_tasks import SingletonTasks
from chivesaddle.daemon.tls import ReloadingContextFactory
from chivesaddle.engines import EngineClient, EnginePoller
from chivesaddle.gateway import Dependencies, GatewayApi, limited_site
from chivesaddle.kv import (
    FixedPace,
    HttpStoreClient,
    KvService,
    Repair,
    block_keys,
    scope,
)
from chivesaddle.objects import Lease
from chivesaddle.operators import OperatorApi, OperatorKeys
from chivesaddle.orders import OrdersTask
from chivesaddle.peers import Peers, ServerReport
from chivesaddle.platform.store import StoreClient
from chivesaddle.routing import Announcement, Router, SuspectCleared, SuspectCrashed

MAINTENANCE_INTERVAL_S = 1.0
STORE_STATUS_INTERVAL_S = 10.0
STORE_STATUS_TIMEOUT_S = 1.0
# With more backend servers, a daemon polls only those of its own zone; see
# docs/CAPACITY.md.
MAX_POLLED_SERVERS = 64
# One tenth of the bandwidth of a 500 MB/s disk link. The pace is fixed because in the
# benchmark a pace derived from deadline and current load was not clearly better.
REPAIR_BYTES_PER_S = 50e6
# Time limit for releasing leases at shutdown. If the platform is unavailable, the
# leases expire without a release.
LEASE_RELEASE_TIMEOUT_S = 2.0

log = ComponentLogger("daemon")


class Daemon:
    """A daemon with all its components.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    reactor : Any
        The asyncio reactor with its monotonic clock.
    """

    def __init__(self, settings: Settings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._listening_ports: list[Any] = []
        self._periodic_loops: list[LoopingCall] = []
        self._config_confirmed = False
        self._instances_by_name: dict[str, dict[str, Any]] = {}
        self.metrics = metrics_from_config(settings.statsd)
        self.events = EventRing(settings.daemon_id)
        # The incarnation keeps crash ids unique across restarts. Peers ignore a crash
        # whose id they remember as cleared.
        self.router = Router(
            settings.daemon_id,
            incarnation=time.time_ns(),
            seed=xxhash.xxh32_intdigest(settings.daemon_id.encode()),
        )
        self._build_configuration()
        self._build_singleton_tasks()
        self._build_serving()
        self._build_listeners()
        self._register_callbacks()

    @classmethod
    def from_settings(cls, settings: Settings, reactor: Any) -> "Daemon":
        """Build a daemon; it listens after `start`."""
        return cls(settings, reactor)

    # Construction

    def _build_configuration(self) -> None:
        settings, reactor = self._settings, self._reactor
        self.platform = StoreClient.from_config(settings.platform_url, reactor)
        self.active_config = ActiveConfig()
        self.freshness = Freshness(settings.daemon_id, settings.zone)
        self.config = ConfigService(
            self.platform,
            reactor,
            settings.daemon_id,
            self.active_config,
            self.freshness,
        )
        self.zone_lease = self._make_lease(f"zone-reader/{settings.zone}")
        self.peers = Peers.from_settings(
            settings,
            reactor,
            self.platform,
            self.zone_lease,
            ConfigurationPort(self.config),
            self.freshness,
            self.events,
            status_source=self.status,
            metrics=self.metrics,
        )
        self.announcer = SuspectAnnouncer(self._send_announcements)
        self.leaving_servers = LeavingServers(
            self.router, self.peers.announce_server, self.events
        )

    def _build_singleton_tasks(self) -> None:
        settings, reactor = self._settings, self._reactor
        self.engines = EngineClient.from_reactor(reactor)
        agent = Agent.usingEndpointFactory(
            reactor, IpEndpointFactory(reactor), HTTPConnectionPool(reactor)
        )
        self.store_client = HttpStoreClient(HTTPClient(agent), reactor)
        self.kv = KvService(
            self.store_client,
            self.engines,
            reactor,
            events=self.events,
            metrics=self.metrics,
        )
        orders_lease = self._make_lease(f"orders/{settings.zone}")
        repair_lease = self._make_lease(f"repair/{settings.region}")
        self.orders = OrdersTask(
            settings.zone, orders_lease, self.engines, reactor, self.events
        )
        self.repair = Repair(
            repair_lease,
            self.store_client,
            self.kv.links,
            reactor,
            FixedPace(REPAIR_BYTES_PER_S),
            lambda: tuple(self.active_config.state.stores_by_id.values()),
            events=self.events,
        )
        self.singleton_tasks = SingletonTasks(
            self.zone_lease, (orders_lease, repair_lease), self.events
        )

    def _build_serving(self) -> None:
        reactor = self._reactor
        self.actions = ActionService(
            self.platform,
            TreqServiceClient(reactor),
            reactor,
            self._settings.daemon_id,
            self._find_service,
            budget=self.router.retry_budget,
            is_platform_responsive=self._platform_responds,
            events=self.events,
        )
        self.prompts = PromptStore(self.platform, reactor)
        self.gateway = GatewayApi(
            Dependencies(
                clock=reactor,
                config=self.active_config,
                freshness=self.freshness,
                addresses=self.peers,
                router=self.router,
                engines=self.engines,
                budget=self.router.retry_budget,
                scope=scope,
                block_keys=block_keys,
                kv=self.kv,
                actions=CallerActions(self.actions),
                prompts=CallerPrompts(self.prompts),
                announce=self.announcer.announce,
                events=self.events,
                metrics=self.metrics,
            )
        )
        self.router_sink = RouterSink(self.router)
        self.poller = EnginePoller(self.engines, reactor, self.router_sink)

    def _build_listeners(self) -> None:
        fleet = PeerFleet(
            self.peers, self.router, self._reactor, self.announcer.announce
        )
        self.operator_api = OperatorApi(
            OperatorKeys(self._settings.operator_keys),
            self.config,
            self.prompts,
            fleet,
            OperatorActions(self.actions),
            self.events,
            self._reactor,
        )

    def _register_callbacks(self) -> None:
        self.active_config.add_listener(self._apply_config)
        self.peers.set_demand_source(
            lambda: self.router.own_demand(self._reactor.seconds())
        )
        self.peers.set_suspect_source(
            lambda: self.router.suspects.snapshot(self._reactor.seconds())
        )
        self.peers.on_suspect(self._receive_suspect)
        self.peers.on_server_report(self._receive_server_report)
        self.peers.on_instances(self._receive_instances)

    def _make_lease(self, name: str) -> Lease:
        return Lease(
            self.platform,
            self._reactor,
            name,
            self._settings.daemon_id,
            era=self.platform.era,
        )

    def _platform_responds(self) -> bool:
        age = self.freshness.reading_age(self._reactor.seconds())
        return age is not None and age < MAX_READING_AGE_S

    def _find_service(self, service_id: ServiceId) -> Service | None:
        return self.active_config.state.services_by_id.get(service_id)

    # Start and shutdown

    async def start(self) -> None:
        """Join the fleet and open the listeners.

        Raises
        ------
        ListenFailed
            If a configured address cannot be used, e.g. because it is in use already.
        """
        settings = self._settings
        await self.peers.start()
        self._listen("callers", settings.callers, self.gateway.site())
        operators = limited_site(self.operator_api.resource(), self._reactor)
        self._listen("operators", settings.operators, operators)
        self.orders.start()
        self.repair.start()
        self._start_periodic(MAINTENANCE_INTERVAL_S, self._run_maintenance)
        self._start_periodic(STORE_STATUS_INTERVAL_S, self._refresh_stores)
        self.events.record(EventKind.DAEMON_STARTED, object=settings.daemon_id)
        log.info("serving callers at %s", settings.caller_url)

    async def shut_down(self) -> None:
        """Leave the fleet, finish all requests in flight, then stop.

        Callers may send new requests until the last address response that listed this
        daemon has expired.
        """
        self.events.record(EventKind.DAEMON_DRAINING, object=self._settings.daemon_id)
        log.info("shutting down; requests in flight: %d", self.gateway.drain.in_flight)
        releases: list[Deferred[Any]] = []
        try:
            releases = self.singleton_tasks.stop()
            leaving = self.peers.start_leaving()
            if self.peers.accept_until is not None:
                self.gateway.drain.start(self.peers.accept_until)
            await leaving
        except Exception:
            # The requests in flight are finished nevertheless.
            log.exception("leaving the fleet failed")
        # The deadline is now earlier if every daemon has confirmed that it no longer
        # lists this one.
        self.gateway.drain.start(self.peers.accept_until or self._reactor.seconds())
        await self.gateway.drain.wait_idle()
        await self.actions.close()
        await self._wait_for_release(DeferredList(releases, consumeErrors=True))
        await self._stop()

    async def _stop(self) -> None:
        for port in self._listening_ports:
            await port.stopListening()
        for loop in self._periodic_loops:
            loop.stop()
        self.poller.stop()
        self.orders.stop()
        self.repair.stop()
        self.gateway.completion_service.close()
        await self.kv.close()
        await self._wait_for_release(start(self.zone_lease.stop()))
        await self.peers.stop()
        await self.engines.close()
        self.events.record(EventKind.DAEMON_STOPPED, object=self._settings.daemon_id)
        log.info("stopped")

    async def _wait_for_release(self, release: "Deferred[Any]") -> None:
        deadline = self._reactor.seconds() + LEASE_RELEASE_TIMEOUT_S
        try:
            await with_deadline(self._reactor, deadline, release, "release of leases")
        except DeadlineExceeded as error:
            log.info("%s", error)

    def _listen(self, name: str, listen: ListenAddress, site: Site) -> None:
        tls = self._settings.tls
        try:
            if tls is None:
                port = self._reactor.listenTCP(listen.port, site, interface=listen.host)
            else:
                port = self._reactor.listenSSL(
                    listen.port,
                    site,
                    ReloadingContextFactory(tls),
                    interface=listen.host,
                )
        except CannotListenError as error:
            raise listen.listen_error(name, error.socketError) from error
        self._listening_ports.append(port)

    def _start_periodic(self, interval_s: float, function: Callable[[], Any]) -> None:
        def run_and_log_errors() -> Any:
            try:
                return function()
            except Exception:
                log.exception("periodic task failed")

        loop = LoopingCall(run_and_log_errors)
        loop.clock = self._reactor
        loop.start(interval_s).addErrback(log_failure(log, "periodic task stopped"))
        self._periodic_loops.append(loop)

    # Periodic tasks

    def _run_maintenance(self) -> None:
        now = self._reactor.seconds()
        peer_demand = self.peers.demand_by_account_id()
        self.router.update_demand(peer_demand, len(self.peers.membership), now)
        self.leaving_servers.announce_new(
            self.active_config.state.backend_servers_by_id
        )
        confirmed = self.freshness.is_confirmed(now)
        if confirmed != self._config_confirmed:
            self._config_confirmed = confirmed
            self.events.record(
                EventKind.CONFIG_STALE,
                object=self._settings.daemon_id,
                revision=self.active_config.revision,
                confirmed=confirmed,
            )
            log.info("configuration confirmed: %s", confirmed)

    def _refresh_stores(self) -> Any:
        deadline = self._reactor.seconds() + STORE_STATUS_TIMEOUT_S
        return start(self.kv.refresh_status(deadline)).addErrback(
            log_failure(log, "refresh of store status failed")
        )

    def status(self) -> dict[str, Any]:
        """Return this daemon's status as JSON values."""
        now = self._reactor.seconds()
        return {
            "daemon": self._settings.daemon_id,
            "zone": self._settings.zone,
            "revision": self.active_config.revision,
            "confirmed": self.freshness.is_confirmed(now),
            "in_flight": self.gateway.drain.in_flight,
            "leaving": self.gateway.drain.leaving,
            "zone_reader": self.zone_lease.is_held_at(now),
            "control_bytes_per_s": round(self.peers.traffic.bytes_per_s(now)),
        }

    # Callbacks

    def _apply_config(self, state: ConfigState) -> None:
        self.router.update_config(state)
        self.kv.update_config(state)
        self.orders.update_config(state)
        self.poller.set_servers(self._polled_servers(state))
        # The list may identify servers by URLs that only this configuration contains.
        self._receive_instances(self._instances_by_name)
        self.events.record(
            EventKind.CONFIG_APPLIED,
            object=self._settings.daemon_id,
            revision=state.revision,
        )
        log.info("configuration revision %d applied", state.revision)

    def _polled_servers(self, state: ConfigState) -> dict[BackendServerId, str]:
        servers = state.backend_servers_by_id.values()
        poll_all_zones = len(servers) <= MAX_POLLED_SERVERS
        return {
            server.id: server.url
            for server in servers
            if poll_all_zones or server.zone == self._settings.zone
        }

    def _send_announcements(
        self, announcements: Sequence[Announcement]
    ) -> "Deferred[Any]":
        for announcement in announcements:
            match announcement:
                case SuspectCrashed(fingerprint, crash_id, server_id):
                    self.metrics.incr("suspects.crashed")
                    self._record_suspect(
                        fingerprint, "crashed", server=server_id, crash=crash_id
                    )
                case SuspectCleared(fingerprint):
                    self._record_suspect(fingerprint, "cleared")
        return self.peers.announce_suspects(announcements)

    def _record_suspect(self, fingerprint: str, state: str, **detail: Any) -> None:
        self.events.record(
            EventKind.SUSPECT_CHANGED,
            object=f"suspect/{fingerprint}",
            state=state,
            **detail,
        )

    def _receive_suspect(self, announcement: Announcement) -> None:
        answers = self.router.receive(announcement, self._reactor.seconds())
        if answers:
            start(self.announcer.announce(answers)).addErrback(
                log_failure(log, "announcement failed")
            )

    def _receive_server_report(self, report: ServerReport) -> None:
        if report.leaving:
            self.leaving_servers.record_peer_report(report.server, "peer")

    def _receive_instances(self, values_by_name: dict[str, dict[str, Any]]) -> None:
        self._instances_by_name = values_by_name
        servers = self.active_config.state.backend_servers_by_id
        ids_by_url = {server.url: server.id for server in servers.values()}
        self.leaving_servers.set_listed(
            frozenset(
                ids_by_url.get(value.get("url", ""), BackendServerId(name))
                for name, value in values_by_name.items()
                if value.get("role") == "backend_server"
                and value.get("state") == "leaving"
            )
        )


async def run_until_stopped(daemon: Daemon, reactor: Any) -> None:
    """Shut the daemon down and stop the reactor in its next iteration."""
    await daemon.shut_down()
    await sleep_until(reactor, reactor.seconds())
    reactor.stop()


__all__ = ["Daemon", "run_until_stopped"]
