"""One daemon: its slices, how they are connected, and their start and stop."""

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
    ConfigHolder,
    ConfigService,
    Freshness,
    PromptStore,
)
from chivesaddle.core.aio import log_failure, sleep_until, start, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.http import IpEndpoints
from chivesaddle.core.ids import BackendServerId, ServiceId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.metrics import metrics_from_config
from chivesaddle.core.model import ConfigState, Service
from chivesaddle.core.settings import Listen, Settings
from chivesaddle.daemon.adapters import (
    CallerActions,
    CallerPrompts,
    ConfigurationPort,
    OperatorActions,
    RouterSink,
)
from chivesaddle.daemon.announcing import SuspectAnnouncer
from chivesaddle.daemon.duties import Duties
from chivesaddle.daemon.fleet import PeerFleet
from chivesaddle.daemon.leaving import LeavingServers
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

UPKEEP_INTERVAL_S = 1.0
STORE_STATUS_INTERVAL_S = 10.0
STORE_STATUS_DEADLINE_S = 1.0
# A fleet with more backend servers is polled by zone; see docs/CAPACITY.md.
MAX_POLLED_SERVERS = 64
# A tenth of a disk link of 500 MB/s. In the bench a pace from deadline and live load
# was no clear gain over a fixed one.
REPAIR_BYTES_PER_S = 50e6
# Releases of leases at shutdown; they expire by themselves if the platform is out.
RELEASE_WITHIN_S = 2.0

log = PartLogger("daemon")


class Daemon:
    """One daemon.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    reactor : Any
        The asyncio reactor with its monotonic clock.
    """

    def __init__(self, settings: Settings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._ports: list[Any] = []
        self._loops: list[LoopingCall] = []
        self._confirmed = False
        self._instances_by_name: dict[str, dict[str, Any]] = {}
        self.metrics = metrics_from_config(settings.statsd)
        self.events = EventRing(settings.daemon_id)
        # Crash ids must not repeat after a restart: peers remember cleared ones.
        self.router = Router(
            settings.daemon_id,
            incarnation=time.time_ns(),
            seed=xxhash.xxh32_intdigest(settings.daemon_id.encode()),
        )
        self._build_configuration()
        self._build_duties()
        self._build_serving()
        self._build_listeners()
        self._connect()

    @classmethod
    def from_settings(cls, settings: Settings, reactor: Any) -> "Daemon":
        """Build a daemon; `start` makes it listen."""
        return cls(settings, reactor)

    # Construction

    def _build_configuration(self) -> None:
        settings, reactor = self._settings, self._reactor
        self.platform = StoreClient.from_config(settings.platform_url, reactor)
        self.holder = ConfigHolder()
        self.freshness = Freshness(settings.daemon_id, settings.zone)
        self.config = ConfigService(
            self.platform, reactor, settings.daemon_id, self.holder, self.freshness
        )
        self.zone_lease = self._lease(f"zone-reader/{settings.zone}")
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
        self.leaving = LeavingServers(
            self.router, self.peers.announce_server, self.events
        )

    def _build_duties(self) -> None:
        settings, reactor = self._settings, self._reactor
        self.engines = EngineClient.from_reactor(reactor)
        agent = Agent.usingEndpointFactory(
            reactor, IpEndpoints(reactor), HTTPConnectionPool(reactor)
        )
        self.store_client = HttpStoreClient(HTTPClient(agent), reactor)
        self.kv = KvService(
            self.store_client,
            self.engines,
            reactor,
            events=self.events,
            metrics=self.metrics,
        )
        orders_lease = self._lease(f"orders/{settings.zone}")
        repair_lease = self._lease(f"repair/{settings.region}")
        self.orders = OrdersTask(
            settings.zone, orders_lease, self.engines, reactor, self.events
        )
        self.repair = Repair(
            repair_lease,
            self.store_client,
            self.kv.links,
            reactor,
            FixedPace(REPAIR_BYTES_PER_S),
            lambda: tuple(self.holder.state.stores_by_id.values()),
            events=self.events,
        )
        self.duties = Duties(self.zone_lease, (orders_lease, repair_lease), self.events)

    def _build_serving(self) -> None:
        reactor = self._reactor
        self.actions = ActionService(
            self.platform,
            TreqServiceClient(reactor),
            reactor,
            self._settings.daemon_id,
            self._service,
            budget=self.router.retry_budget,
            platform_answers=self._platform_answers,
            events=self.events,
        )
        self.prompts = PromptStore(self.platform, reactor)
        self.gateway = GatewayApi(
            Dependencies(
                clock=reactor,
                config=self.holder,
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
        self.sink = RouterSink(self.router)
        self.poller = EnginePoller(self.engines, reactor, self.sink)

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

    def _connect(self) -> None:
        self.holder.add_listener(self._apply_config)
        self.peers.set_demand_source(
            lambda: self.router.own_demand(self._reactor.seconds())
        )
        self.peers.set_suspect_source(
            lambda: self.router.suspects.snapshot(self._reactor.seconds())
        )
        self.peers.on_suspect(self._receive_suspect)
        self.peers.on_server_report(self._receive_server_report)
        self.peers.on_instances(self._receive_instances)

    def _lease(self, name: str) -> Lease:
        return Lease(self.platform, self._reactor, name, self._settings.daemon_id)

    def _platform_answers(self) -> bool:
        age = self.freshness.reading_age(self._reactor.seconds())
        return age is not None and age < MAX_READING_AGE_S

    def _service(self, service_id: ServiceId) -> Service | None:
        return self.holder.state.services_by_id.get(service_id)

    # Life cycle

    async def start(self) -> None:
        """Listen and join the fleet.

        Raises
        ------
        ListenFailed
            If an address of the settings is taken.
        """
        settings = self._settings
        await self.peers.start()
        self._listen("callers", settings.callers, self.gateway.site())
        operators = limited_site(self.operator_api.resource(), self._reactor)
        self._listen("operators", settings.operators, operators)
        self.orders.start()
        self.repair.start()
        self._loop(UPKEEP_INTERVAL_S, self._keep_up)
        self._loop(STORE_STATUS_INTERVAL_S, self._refresh_stores)
        self.events.record(EventKind.DAEMON_STARTED, object=settings.daemon_id)
        log.info("serving callers at %s", settings.caller_url)

    async def shut_down(self) -> None:
        """Leave the fleet, finish everything in flight, then stop.

        New callers may arrive until the last address answer that named this daemon
        has expired.
        """
        self.events.record(EventKind.DAEMON_DRAINING, object=self._settings.daemon_id)
        log.info("leaving; in flight: %d", self.gateway.drain.in_flight)
        releases = self.duties.stop()
        leaving = self.peers.start_leaving()
        if self.peers.serve_until is not None:
            self.gateway.drain.start(self.peers.serve_until)
        await leaving
        # Shorter when every daemon has confirmed that it names this one no more.
        self.gateway.drain.start(self.peers.serve_until or self._reactor.seconds())
        await self.gateway.drain.wait_idle()
        await self.actions.close()
        await self._within(DeferredList(releases, consumeErrors=True))
        await self._stop()

    async def _stop(self) -> None:
        for port in self._ports:
            await port.stopListening()
        for loop in self._loops:
            loop.stop()
        self.poller.stop()
        self.orders.stop()
        self.repair.stop()
        self.gateway.flow.close()
        await self.kv.close()
        await self._within(start(self.zone_lease.stop()))
        await self.peers.stop()
        await self.engines.close()
        self.events.record(EventKind.DAEMON_STOPPED, object=self._settings.daemon_id)
        log.info("stopped")

    async def _within(self, work: "Deferred[Any]") -> None:
        deadline = self._reactor.seconds() + RELEASE_WITHIN_S
        try:
            await with_deadline(self._reactor, deadline, work, "release of leases")
        except DeadlineExceeded as error:
            log.info("%s", error)

    def _listen(self, name: str, listen: Listen, site: Site) -> None:
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
            raise listen.failed(name, error.socketError) from error
        self._ports.append(port)

    def _loop(self, interval_s: float, work: Callable[[], Any]) -> None:
        def guarded() -> Any:
            try:
                return work()
            except Exception:
                log.exception("periodic work failed")

        loop = LoopingCall(guarded)
        loop.clock = self._reactor
        loop.start(interval_s).addErrback(log_failure(log, "periodic work ended"))
        self._loops.append(loop)

    # Periodic work

    def _keep_up(self) -> None:
        now = self._reactor.seconds()
        others = self.peers.demand_by_account_id()
        self.router.update_demand(others, len(self.peers.membership), now)
        self.leaving.announce_new(self.holder.state.backend_servers_by_id)
        confirmed = self.freshness.is_confirmed(now)
        if confirmed != self._confirmed:
            self._confirmed = confirmed
            self.events.record(
                EventKind.CONFIG_STALE,
                object=self._settings.daemon_id,
                revision=self.holder.revision,
                confirmed=confirmed,
            )
            log.info("configuration confirmed: %s", confirmed)

    def _refresh_stores(self) -> Any:
        deadline = self._reactor.seconds() + STORE_STATUS_DEADLINE_S
        return start(self.kv.refresh_status(deadline)).addErrback(
            log_failure(log, "store status")
        )

    def status(self) -> dict[str, Any]:
        """Return this daemon's status as JSON values."""
        now = self._reactor.seconds()
        return {
            "daemon": self._settings.daemon_id,
            "zone": self._settings.zone,
            "revision": self.holder.revision,
            "confirmed": self.freshness.is_confirmed(now),
            "in_flight": self.gateway.drain.in_flight,
            "leaving": self.gateway.drain.leaving,
            "zone_reader": self.zone_lease.held_at(now),
            "control_bytes_per_s": round(self.peers.traffic.bytes_per_s(now)),
        }

    # Reactions

    def _apply_config(self, state: ConfigState) -> None:
        self.router.update_config(state)
        self.kv.update_config(state)
        self.orders.update_config(state)
        self.poller.set_servers(self._polled_servers(state))
        # The list may name servers by addresses that only this configuration knows.
        self._receive_instances(self._instances_by_name)
        self.events.record(
            EventKind.CONFIG_APPLIED,
            object=self._settings.daemon_id,
            revision=state.revision,
        )
        log.info("configuration %d in force", state.revision)

    def _polled_servers(self, state: ConfigState) -> dict[BackendServerId, str]:
        servers = state.backend_servers_by_id.values()
        everywhere = len(servers) <= MAX_POLLED_SERVERS
        return {
            server.id: server.url
            for server in servers
            if everywhere or server.zone == self._settings.zone
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
            self.leaving.learn(report.server, "peer")

    def _receive_instances(self, values_by_name: dict[str, dict[str, Any]]) -> None:
        self._instances_by_name = values_by_name
        servers = self.holder.state.backend_servers_by_id
        ids_by_url = {server.url: server.id for server in servers.values()}
        self.leaving.list(
            frozenset(
                ids_by_url.get(value.get("url", ""), BackendServerId(name))
                for name, value in values_by_name.items()
                if value.get("role") == "backend_server"
                and value.get("state") == "leaving"
            )
        )


async def run_until_stopped(daemon: Daemon, reactor: Any) -> None:
    """Shut the daemon down and stop the reactor a moment later."""
    await daemon.shut_down()
    await sleep_until(reactor, reactor.seconds())
    reactor.stop()


__all__ = ["Daemon", "run_until_stopped"]
