"""The serving daemon: builds its components, starts and stops them in order."""

import logging
import math
import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from chivesaddle.cachemap import (
    CacheEventFeeds,
    CacheIndex,
    StoreCleaner,
    TransferPlanner,
)
from chivesaddle.core.aio import log_failure, sleep_until, start
from chivesaddle.core.ids import DaemonId, ZoneId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ServerEntry
from chivesaddle.fleet import (
    Beacon,
    Beacons,
    CatchUp,
    ExchangeMessage,
    GossipExchange,
    Member,
    Members,
    NoticeSender,
    PeerDatagrams,
    Replica,
    ReplicaReader,
    RequestDemand,
    RoleWait,
    StoreReachability,
    TickGrid,
    Update,
    UpdateRelay,
    Watcher,
    WatchRole,
    WorkingSet,
)
from chivesaddle.fleet.members import MEMBERS_KIND
from chivesaddle.fleet.rpc import PeerClient, PeerServer
from chivesaddle.forwarding import (
    CrashRecord,
    Forwarder,
    MessageCodec,
    PromptPlanner,
    RetryBudget,
    ServingState,
    StreamOrigins,
)
from chivesaddle.http1 import (
    CallerLimits,
    ConnectionPool,
    Connector,
    Request,
    Responder,
    listen,
)
from chivesaddle.objects import Lease, StoreEra
from chivesaddle.placement import (
    ColdStarts,
    Evacuations,
    RateLimits,
    ServerTable,
    SoftwareHistory,
    rendezvous_order,
)
from chivesaddle.platform import (
    CONFIG_KIND,
    EVACUATIONS_KIND,
    READINESS_PATH,
    RESOLVE_PATH,
    SERVERS_KIND,
    BackendClient,
    Features,
    StoreClient,
    decode_request,
    decode_response,
    encode_addresses,
    encode_peer_headers,
    encode_server_headers,
)
from chivesaddle.serving.answer_questions import AnswerQuestions
from chivesaddle.serving.beacon_content import BeaconContent
from chivesaddle.serving.build import read_build_id
from chivesaddle.serving.departed import DepartedMembers
from chivesaddle.serving.documents import (
    OPERATOR_KINDS,
    REAPPEARANCE_S,
    StoredDocuments,
    document_replicas,
)
from chivesaddle.serving.hints import LeavingHints, LoadHints, ServerLoadShares
from chivesaddle.serving.loop_lag import LoopLag
from chivesaddle.serving.metrics import ServingMetrics
from chivesaddle.serving.notices import (
    AnswerQuestion,
    AnswerReport,
    CrashNotice,
    LimitNotice,
    OriginNotice,
    OriginQuestion,
    VersionsAnswer,
)
from chivesaddle.serving.origin_record import OriginRecord
from chivesaddle.serving.path_probe import PathProbe
from chivesaddle.serving.peer_paths import FleetPaths
from chivesaddle.serving.records import RecordLoader
from chivesaddle.serving.registration import Registration
from chivesaddle.serving.request_senders import RequestSenders
from chivesaddle.serving.server_activity import ServerActivity
from chivesaddle.serving.server_probe import ServerProbe
from chivesaddle.serving.settings import ServingSettings, SettingsError
from chivesaddle.serving.silent_paths import SilentPaths
from chivesaddle.serving.software_record import SoftwareRecord
from chivesaddle.serving.software_view import SoftwareView
from chivesaddle.serving.status import STATUS_PATH, StatusPage
from chivesaddle.serving.store_hints import StoreHints
from chivesaddle.serving.stored_crashes import StoredCrashes
from chivesaddle.serving.stream_sharing import StreamSharing
from chivesaddle.serving.version_questions import VersionQuestions
from chivesaddle.serving.weight_hints import WeightHints
from chivesaddle.weights import LEASE_NAME, RENEW_INTERVAL_S, Rollout

# How long callers may cache an address response. Some cache it three times as long,
# which must fit between SIGTERM and SIGKILL.
ADDRESS_TTL_S = 1.5
# Time left before SIGKILL when the daemon stops waiting for requests in flight; the end
# of the process takes some 0.1 s.
SHUTDOWN_RESERVE_S = 0.4
# New connections are accepted for this long after SIGTERM, since some callers cache an
# address response three times as long as its TTL.
ACCEPT_AFTER_SIGTERM_S = 3 * ADDRESS_TTL_S + 0.5
# Operators allow for cuts of requests that callers sent up to 3 s after SIGTERM; the
# process may get the signal late.
ESTIMATES_AFTER_SIGTERM_S = 2.5
HOUSEKEEPING_INTERVAL_S = 1.0

log = ComponentLogger("serving")


class ServingDaemon:
    """One daemon of the fleet on the platform.

    Parameters
    ----------
    settings : ServingSettings
        Validated settings.
    reactor : Any
        Twisted's asyncio reactor, which is also the clock of all components.
    """

    def __init__(self, settings: ServingSettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._is_leaving = False
        self._grid = TickGrid(reactor)
        bounds = settings.bounds
        self.metrics = ServingMetrics()
        connector = Connector(reactor, settings.connect_from)
        self._server_pool = ConnectionPool(connector, reactor)
        # Responses to control calls have no id, unlike those to callers' requests.
        self._control_pool = ConnectionPool(connector, reactor)
        self._store_pool = ConnectionPool(connector, reactor)
        self._peer_pool = ConnectionPool(connector, reactor)
        self._era = StoreEra(reactor)
        self.store = StoreClient(
            settings.store.address,
            self._store_pool,
            reactor,
            settings.store.max_value_bytes,
            self._era,
        )
        own = Member(
            settings.daemon_id,
            os.urandom(6).hex(),
            settings.zone,
            settings.listen.callers,
            settings.listen.peers,
            settings.capacity.cores,
            settings.listen.metrics,
        )
        self._reachability = StoreReachability(reactor)
        self._replicas = document_replicas(bounds.evacuation_s is not None)
        self._replicas[MEMBERS_KIND] = Replica(MEMBERS_KIND)
        self._serving_state = ServingState.from_bound(reactor, bounds.older_weights_s)
        self._servers = ServerTable(reactor)
        self._software = SoftwareHistory(reactor, self._servers)
        self._evacuations = Evacuations(reactor, self._servers)
        self._status_page = StatusPage(
            reactor,
            settings.daemon_id,
            self._servers,
            self._evacuations,
            self._replicas.get(EVACUATIONS_KIND),
        )
        StoredDocuments(
            reactor,
            self._replicas,
            self._serving_state,
            self._servers,
            self._evacuations,
            self._reachability,
            self._era,
            self._close_address,
            lambda entry: self._cold_starts.record_entry(entry),
        )
        self._members = Members(reactor, own, self._replicas[MEMBERS_KIND])
        self._working_set = WorkingSet(reactor, self._members)
        self._activity = ServerActivity(
            self._servers, self._has_callers_requests, reports_lost_paths=True
        )
        self._paths = FleetPaths(
            reactor, self._members, self._working_set, self._servers, self._activity
        )
        self._path_probe = PathProbe(
            reactor, self._servers, self._server_pool, self._activity, self._grid
        )
        self._silent_paths = SilentPaths(
            reactor,
            self._servers,
            self._server_pool,
            self._serving_state.health_path,
            self._activity,
            self._grid,
        )
        self._servers.on_path_lost = self._give_up_connections
        # Connections that were opened meanwhile may carry nothing for good.
        self._servers.on_silence_ended = lambda entry: self._close_address(
            entry.address
        )
        self._servers.on_broken = self._path_probe.check
        watch_role = WatchRole(
            reactor,
            self._members,
            self._working_set,
            lambda: self._reachability.unreachable_since is None,
        )
        role_wait = RoleWait(reactor, watch_role.may_watch, self._grid)
        self._watchers = [
            Watcher(
                self.store,
                reactor,
                replica,
                self._reachability,
                self._members.fleet_size,
                role_wait,
                # No daemon depends on others to learn what an operator has written.
                is_for_all=replica.kind in OPERATOR_KINDS,
                is_proof=replica.kind == CONFIG_KIND,
                watchers=lambda: len(self._working_set.daemons()),
            )
            for replica in self._replicas.values()
        ]
        lease = Lease(
            self.store,
            reactor,
            LEASE_NAME,
            settings.daemon_id,
            own.incarnation,
            renew_s=RENEW_INTERVAL_S,
            era=self._era,
        )
        limits = RateLimits(
            reactor,
            self._servers,
            DaemonId(settings.daemon_id),
            lambda: [DaemonId(member.id) for member in self._working_set.peers()],
            RequestSenders(reactor, self._members, self._working_set).peers,
        )
        self._limits = limits
        self._cold_starts = ColdStarts(
            reactor,
            self._servers,
            limits,
            self._serving_state.cold_start_of,
            lambda: self._working_set.includes_own,
        )
        self._evacuations.on_zone_returned = self._cold_starts.presume_cold
        self._crashes = crashes = CrashRecord(
            reactor, -math.inf if settings.is_first_start else reactor.seconds()
        )
        self._servers.on_down = crashes.confirm
        crashes.trial_rank = self._trial_rank
        server_list = self._replicas[SERVERS_KIND]
        self._server_list_reader = ReplicaReader(
            self.store, reactor, server_list, lambda: len(self._working_set.daemons())
        )
        software_view = SoftwareView(
            reactor,
            self._members,
            self._software,
            self._reachability,
            self._server_list_reader,
            lambda: self._records.is_known(),
            self._lists_all_servers,
        )
        server_list.on_gap = software_view.record_gap
        self._origins = StreamOrigins(reactor, self._software, software_view.confirm)
        self._software_record = SoftwareRecord(
            self.store,
            reactor,
            self._software,
            self._serving_state.services_with_resumption,
            self._era,
        )
        self._origin_record = OriginRecord(
            self.store,
            reactor,
            DaemonId(settings.daemon_id),
            self._origins,
            lambda: len(self._working_set.daemons()),
            self._era,
        )
        self._stored_crashes = StoredCrashes(
            self.store,
            reactor,
            DaemonId(settings.daemon_id),
            crashes,
            lambda: len(self._working_set.daemons()),
            self._era,
        )
        # Apart from the records of streams, whose reading is told to peers.
        self._crash_loader = RecordLoader(reactor, self._stored_crashes)
        self._records = RecordLoader(
            reactor, self._software_record, self._origin_record
        )
        self._exchange = GossipExchange(
            reactor,
            self._members,
            self._working_set,
            list(self._replicas.values()),
            self._reachability,
            PeerClient(reactor, ExchangeMessage),
            settings.seeds,
            {
                "loads": LoadHints(
                    self._servers, lambda: self._working_set.includes_own
                ),
                "crash_reports": crashes,
                "limits": limits,
                "leaving": LeavingHints(self._servers),
                "software": self._software,
                "records": self._records,
                "store": StoreHints(self._era, lease),
                "weights": WeightHints(self._serving_state),
            },
        )
        self._peer_listener = PeerServer(
            settings.listen.peers, ExchangeMessage, self._exchange.handle
        )
        self._registration = Registration(
            self.store, reactor, own, self._replicas[MEMBERS_KIND], self._era
        )
        backend_client = BackendClient(self._control_pool, reactor)
        self._departed = DepartedMembers(self.store, reactor, self._members)
        self._rollout = Rollout(
            reactor,
            settings.daemon_id,
            lease,
            self._servers,
            self._serving_state,
            backend_client,
            self._order_rank,
            self._paths,
        )
        shares = ServerLoadShares(
            reactor,
            self._servers,
            lambda: self._rollout.excluded_servers,
            self._activity,
        )
        self._demand = RequestDemand(reactor)
        self._datagrams = PeerDatagrams(
            reactor,
            Beacon
            | Update
            | CrashNotice
            | LimitNotice
            | OriginNotice
            | OriginQuestion
            | VersionsAnswer
            | AnswerQuestion
            | AnswerReport,
        )
        self._answer_questions = AnswerQuestions(
            reactor,
            self._members,
            self._working_set,
            self._datagrams,
            self._silent_paths,
            self._paths,
        )
        self._crash_notices = NoticeSender(
            reactor,
            self._working_set,
            self._datagrams,
            CrashNotice,
            crashes.apply_reports,
        )
        crashes.on_report = self._crash_notices.send
        self._limit_notices = NoticeSender(
            reactor,
            self._working_set,
            self._datagrams,
            LimitNotice,
            limits.apply_reports,
        )
        limits.on_report = self._limit_notices.send
        software_view.questions = VersionQuestions(
            reactor,
            self._members,
            self._working_set,
            self._datagrams,
            self._software,
            self._server_list_reader,
            software_view.knows_history,
            self._lists_all_servers,
        )
        self._stream_sharing = StreamSharing(
            reactor,
            self._members,
            self._working_set,
            self._datagrams,
            self._origins,
            software_view.questions,
        )
        operator_documents = {
            kind: replica
            for kind, replica in self._replicas.items()
            if kind in OPERATOR_KINDS
        }
        content = BeaconContent(
            shares,
            self._rollout,
            self._demand,
            self._reachability,
            watch_role,
            self._paths,
            self._silent_paths,
            CatchUp(
                reactor,
                self._members,
                operator_documents,
                self._exchange,
                self._repeat_watch,
                lambda member: self._beacons.send_to(member),
            ),
        )
        self._beacons = Beacons(
            reactor,
            self._members,
            self._working_set,
            self._datagrams,
            content,
            content,
            self._grid,
        )
        self._updates = UpdateRelay(
            reactor,
            self._members,
            self._working_set,
            self._replicas,
            self._datagrams,
            self._exchange,
            watch_role.may_watch,
        )
        self._cache_index = CacheIndex(reactor)
        self._feeds = CacheEventFeeds(reactor, backend_client, self._cache_index)
        self._cleaner = StoreCleaner(
            reactor, self._cache_index, backend_client, self._oldest_version
        )
        self._transfers = TransferPlanner(reactor, self._cache_index)
        self._forwarder = Forwarder(
            reactor,
            ZoneId(settings.zone),
            MessageCodec(
                decode_request,
                decode_response,
                encode_server_headers,
                encode_peer_headers,
            ),
            self._serving_state,
            self._servers,
            limits,
            self._server_pool,
            self._paths,
            self._peer_pool,
            RetryBudget(
                reactor,
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self._retry_sharers,
                reactor.seconds(),
            ),
            crashes,
            PromptPlanner(reactor, self._serving_state, self._servers, self._transfers),
            self._origins,
            self._observe_request,
            Features.from_contracts(settings.contracts).shares_by_account,
            backend_client.read_start,
            lambda: self._loop_lag.was_late,
            ServerProbe(
                reactor,
                self._server_pool,
                backend_client.read_start,
                self._serving_state.has_engines,
                self._serving_state.health_path,
            ).answers,
        )
        self._loop_lag = LoopLag(
            reactor,
            self.metrics.loop_lag.observe,
            lambda: self._caller_listener.in_flight,
        )
        self._caller_listener: Any = None
        self._listeners: list[Any] = []

    async def start(self) -> None:
        """Listen, register, and start watching the store; raises `ListenFailed`."""
        if self._is_leaving:
            return
        addresses = self._settings.listen
        listeners = [
            listen(self._reactor, addresses.readiness, self._answer_readiness),
            listen(self._reactor, addresses.addresses, self._answer_addresses),
            listen(self._reactor, addresses.metrics, self._answer_operators),
        ]
        self._caller_listener = listen(
            self._reactor,
            addresses.callers,
            self._forwarder.handle,
            self._caller_limits,
        )
        self._listeners = [*listeners, self._caller_listener]
        await self._peer_listener.start()
        if self._is_leaving:
            # A signal to stop arrived meanwhile.
            return
        for watcher in self._watchers:
            watcher.start()
        self._datagrams.listen(self._reactor, addresses.peers)
        self._beacons.start()
        self._exchange.start()
        self._registration.start()
        self._rollout.start()
        self._records.start()
        self._crash_loader.start()
        self._path_probe.start()
        self._silent_paths.start()
        start(self._watch_loop_lag()).addErrback(
            log_failure(log, "watch of the event loop ended")
        )
        start(self._run_housekeeping()).addErrback(
            log_failure(log, "housekeeping ended")
        )
        log.info(
            "started",
            extra={"zone": self._settings.zone, "build": read_build_id()},
        )

    async def stop(self, signalled_at: float) -> None:
        """Withdraw this daemon's address, wait for requests in flight, and stop.

        Parameters
        ----------
        signalled_at : float
            When the signal to stop arrived, in seconds of the reactor's clock.
        """
        self._is_leaving = True
        if self._caller_listener is None:
            log.info("stopped before the start")
            return
        log.info(
            "leaving",
            extra={
                "in_flight": self._caller_listener.in_flight,
                "signal_age_ms": round((self._reactor.seconds() - signalled_at) * 1e3),
            },
        )
        shutdown_deadline = (
            signalled_at + self._settings.bounds.shutdown_s - SHUTDOWN_RESERVE_S
        )
        self._forwarder.begin_shutdown(
            shutdown_deadline, signalled_at + ESTIMATES_AFTER_SIGTERM_S
        )
        self._withdraw()
        await sleep_until(
            self._reactor,
            min(signalled_at + ACCEPT_AFTER_SIGTERM_S, shutdown_deadline),
        )
        self._caller_listener.start_draining()
        self._caller_listener.stop()
        while (
            self._caller_listener.unfinished
            and self._reactor.seconds() < shutdown_deadline
        ):
            await sleep_until(self._reactor, self._reactor.seconds() + 0.05)
        log.info("stopped", extra={"in_flight": self._caller_listener.in_flight})
        self._forwarder.end_requests()
        self._run_steps((self._caller_listener.refuse_incomplete,))
        self._stop_components()

    def _withdraw(self) -> None:
        """Give up this daemon's duties, and tell the others that it leaves."""
        start(self._rollout.stop()).addErrback(log_failure(log, "rollout not stopped"))
        start(self._exchange.announce_leaving()).addErrback(
            log_failure(log, "leaving could not be announced to peers")
        )
        self._run_steps((self._registration.stop, self._beacons.announce_leaving))

    def _stop_components(self) -> None:
        self._run_steps(
            (
                self._exchange.stop,
                self._feeds.stop,
                self._path_probe.stop,
                self._silent_paths.stop,
                self._beacons.stop,
                self._updates.stop,
                self._crash_notices.stop,
                self._cold_starts.stop,
                self._limit_notices.stop,
                self._stream_sharing.stop,
                self._server_list_reader.stop,
                self._records.stop,
                self._origin_record.stop,
                self._crash_loader.stop,
                self._stored_crashes.stop,
                self._datagrams.stop,
                *(watcher.stop for watcher in self._watchers),
            )
        )

    def _run_steps(self, steps: Iterable[Callable[[], None]]) -> None:
        """Run the steps of a shutdown; one that fails does not end it."""
        for step in steps:
            try:
                step()
            except Exception:
                log.exception("shutdown step failed", extra={"step": repr(step)})

    def reload(self, path: Path) -> None:
        """Read the settings again; an invalid file is logged and changes nothing.

        The log level, the shutdown time and the longest time for which callers cache an
        address response take effect at once. Other settings need a restart; changes to
        the daemon's id, zone, addresses, store, seeds or contracts are logged.
        """
        try:
            settings = ServingSettings.from_config(path)
        except SettingsError as error:
            log.error("settings not read", extra={"cause": str(error)})
            return
        logging.getLogger().setLevel(settings.log_level)
        restart_fields = ("daemon_id", "zone", "listen", "store", "seeds", "contracts")
        changed = [
            name
            for name in restart_fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        log.info("settings read again", extra={"needs_restart": changed})

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this daemon."""
        return not self._is_leaving and self._serving_state.configuration is not None

    def _lists_all_servers(self) -> bool:
        """Return whether the store's list of servers is complete.

        After it returned from a copy, servers first write their entries again.
        """
        return not self._era.may_have_risen_within(REAPPEARANCE_S)

    def _answer_readiness(self, request: Request, responder: Responder) -> None:
        if request.target.partition(b"?")[0] != READINESS_PATH:
            responder.answer(404)
        else:
            responder.answer(200 if self.is_ready else 503)

    def _answer_operators(self, request: Request, responder: Responder) -> None:
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path == STATUS_PATH:
            self._status_page.handle(request, responder)
        else:
            self._update_metrics()
            self.metrics.handle(request, responder)

    def _answer_addresses(self, request: Request, responder: Responder) -> None:
        path, _, query = request.target.partition(b"?")
        if path != RESOLVE_PATH:
            responder.answer(404)
            return
        zone = ""
        for pair in query.decode("latin-1").split("&"):
            name, _, value = pair.partition("=")
            if name == "zone":
                zone = value
        include_own = self.is_ready and not self._paths.is_cut_off
        addresses = self._working_set.caller_addresses(zone, include_own)
        if not addresses:
            responder.answer(503)
            return
        valid_s = min(ADDRESS_TTL_S, self._settings.bounds.address_valid_most_s)
        body = encode_addresses(addresses, valid_s)
        responder.answer(200, body, [(b"content-type", b"application/json")])

    def _caller_limits(self) -> CallerLimits:
        configuration = self._serving_state.configuration
        if configuration is None:
            return CallerLimits()
        limits = configuration.limits
        return CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )

    def _observe_request(self, result: str, seconds: float) -> None:
        self.metrics.observe_request(result, seconds)
        self._demand.record_request()

    def _has_callers_requests(self) -> bool:
        """Return whether a caller or a peer waits for a response of this daemon."""
        return self._caller_listener is not None and self._caller_listener.in_flight > 0

    def _give_up_connections(self, server: ServerEntry) -> None:
        """Close the idle connections of a lost path, and probe similar ones."""
        self._activity.record_path_lost()
        self._path_probe.check_lost_path()
        self._close_address(server.address)
        self._path_probe.probe_service(server.service)

    def _repeat_watch(self, kind: str, began_before: float) -> None:
        """Begin a watch again that did not bring a change."""
        for watcher in self._watchers:
            if watcher.kind == kind:
                watcher.repeat_call(began_before)

    def _close_address(self, address: str) -> None:
        self._server_pool.close_address(address)
        self._control_pool.close_address(address)

    def _trial_rank(self, part: str) -> int | None:
        """Return this daemon's position among those that may try a part of prompts."""
        daemons = [member.id for member in self._working_set.daemons()]
        own = self._settings.daemon_id
        return rendezvous_order(part, daemons).index(own) if own in daemons else None

    def _order_rank(self) -> int:
        """Return this daemon's position among those that may give weight orders."""
        if self._working_set.is_whole_fleet:
            return self._members.rank()
        rank = self._working_set.own_rank_if_settled
        return self._members.fleet_size() if rank is None else rank

    def _retry_sharers(self) -> int:
        """Return the number of daemons that share the slack of the retry budget."""
        if self._working_set.includes_own:
            return max(1, len(self._working_set.daemons()))
        return self._members.fleet_size()

    def _update_cache_feeds(self) -> None:
        """Read the cache events of all holders that accept this daemon as a reader."""
        configuration = self._serving_state.configuration
        if configuration is None:
            return
        stores = {s.address: s for s in configuration.stores_by_id.values()}
        self._transfers.set_stores(stores)
        engines = [
            service.engine
            for service in configuration.services_by_id.values()
            if service.engine is not None
        ]
        self._working_set.set_event_readers(
            min((engine.max_event_readers for engine in engines), default=None)
        )
        rank = self._working_set.rank(self._members.own.id)
        if rank is None or rank >= self._working_set.event_readers:
            self._feeds.set_holders({})
            return
        is_store_by_address = dict.fromkeys(stores, True)
        for tracked in self._servers.all():
            service = configuration.services_by_id.get(tracked.entry.service)
            if service is not None and service.engine is not None:
                is_store_by_address[tracked.entry.address] = False
        self._feeds.set_holders(is_store_by_address)

    def _oldest_version(self) -> int | None:
        """Return the oldest weight version that runs, None if this daemon is idle.

        It is followed for the stores, which only a working daemon cleans.
        """
        is_working = self._working_set.includes_own
        return self._servers.oldest_version() if is_working else None

    async def _clean_stores(self) -> None:
        configuration = self._serving_state.configuration
        if configuration is not None:
            stores = [s.address for s in configuration.stores_by_id.values()]
            await self._cleaner.step(stores, self._rollout.holds_lease)

    async def _watch_loop_lag(self) -> None:
        """Notice pauses of this process until it ends, whatever else waits."""
        while True:
            delay_s = self._grid.delay_s(HOUSEKEEPING_INTERVAL_S)
            due = self._reactor.seconds() + delay_s
            await sleep_until(self._reactor, due)
            self._loop_lag.record_timer(due)

    async def _run_housekeeping(self) -> None:
        while not self._is_leaving:
            delay_s = self._grid.delay_s(HOUSEKEEPING_INTERVAL_S)
            await sleep_until(self._reactor, self._reactor.seconds() + delay_s)
            try:
                await self._keep_house()
            except Exception as error:
                log.error("housekeeping failed", exc_info=error)

    async def _keep_house(self) -> None:
        self._update_cache_feeds()
        await self._clean_stores()
        await self._departed.step(self._rollout.holds_lease)
        await self._software_record.step(self._rollout.holds_lease)
        self._origin_record.step()
        self._stored_crashes.step()
        self._server_pool.close_expired()
        self._control_pool.close_expired()
        self._store_pool.close_expired()
        self._peer_pool.close_expired()
        # Without an evacuated zone there is nothing to find.
        if len(self._evacuations):
            self._evacuations.check()

    def _update_metrics(self) -> None:
        """Set the current values, some of which are found by walks over all servers."""
        self.metrics.set_value("store_calls", self.store.calls)
        answered_at = self._reachability.last_success_at
        self.metrics.set_value(
            "store_answer_age_s", self._reactor.seconds() - answered_at
        )
        configuration = self._serving_state.configuration
        if configuration is not None:
            self.metrics.set_value("configuration_version", configuration.version)
            self.metrics.set_value(
                "configuration_age_s",
                self._reactor.seconds() - self._serving_state.configured_at,
            )
        self.metrics.set_value(
            "connections_opened", self._server_pool.connections_opened
        )
        self.metrics.set_value("working_set", len(self._working_set.daemons()))
        self.metrics.set_value("limited_servers", self._limits.in_force())
        self.metrics.set_value("cold_servers", self._cold_starts.count())
        self.metrics.set_value("stream_origins", len(self._origins))
        crashing_parts = self._crashes.count_crashing_parts()
        self.metrics.set_value("crashing_parts", crashing_parts)
        self.metrics.set_value("refused_as_crashing", self._crashes.refused)
        for name, count in self._forwarder.admission_counts.by_name.items():
            self.metrics.set_value(name, count)
        for result, count in self._origins.resumed_by_result.items():
            self.metrics.set_value(f"streams_resumed_{result}", count)
        self.metrics.set_value("evacuated_zones", len(self._evacuations))
        self.metrics.set_value("lost_paths", self._paths.lost_count)
        self.metrics.set_value("is_cut_off", self._paths.is_cut_off)
        self.metrics.set_value("path_probes", self._path_probe.probes)
        self.metrics.set_value(
            "health_requests", self._silent_paths.health_requests_sent
        )
        self.metrics.set_value("in_flight", self._caller_listener.in_flight)
        self.metrics.set_value("callers", len(self._caller_listener.connections))


__all__ = ["ServingDaemon"]
