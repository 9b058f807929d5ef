"""The serving daemon: builds the slices, starts and stops them in order."""

import logging
import os
from pathlib import Path
from typing import Any

from chivesaddle.cachemap import CacheIndex, Cleaner, Feeds, Transfers
from chivesaddle.core.aio import log_failure, sleep_until, start
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import BackendServerId, ZoneId
from chivesaddle.core.logs import PartLogger
from chivesaddle.fleet import (
    BeaconProtocol,
    Entry,
    Exchange,
    ExchangeMessage,
    Member,
    Members,
    Replica,
    StoreReachability,
    Watcher,
)
from chivesaddle.fleet.members import MEMBERS_KIND
from chivesaddle.fleet.rpc import PeerClient, PeerServer
from chivesaddle.forwarding import (
    CrashRecord,
    Forwarder,
    Knowledge,
    Prompts,
    RetryBudget,
    Wire,
)
from chivesaddle.http1 import (
    CallerLimits,
    ConnectionPool,
    Connector,
    Request,
    Responder,
    listen,
)
from chivesaddle.objects import Lease
from chivesaddle.placement import ServerTable
from chivesaddle.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    READINESS_PATH,
    RESOLVE_PATH,
    SERVERS_KIND,
    VERSIONS_KIND,
    BackendClient,
    StoreClient,
    decode_configuration,
    decode_request,
    decode_response,
    decode_server,
    decode_weight_version,
    encode_addresses,
    server_headers,
)
from chivesaddle.serving.hints import LoadHints, ServerShares
from chivesaddle.serving.metrics import ServingMetrics
from chivesaddle.serving.registration import Registration
from chivesaddle.serving.settings import ServingSettings, SettingsError
from chivesaddle.weights import LEASE_NAME, RENEW_S, Rollout

# How long callers keep an address answer. Some keep it three times as long, which must
# fit between SIGTERM and SIGKILL.
ADDRESS_VALID_S = 1.5
# Part of the shutdown time that is left when the last requests are ended.
SHUTDOWN_RESERVE_S = 0.7
# Callers that keep an answer three times as long come up to here after SIGTERM.
LEAVING_S = 3 * ADDRESS_VALID_S + 0.5
HOUSEKEEPING_S = 1.0
# Part of the bound on older weights that is left for the news to arrive and for
# requests that wait at a server.
OLDER_WEIGHTS_RESERVE_S = 1.3

log = PartLogger("serving")


class ServingDaemon:
    """One daemon of the fleet on the platform.

    Parameters
    ----------
    settings : ServingSettings
        Checked settings.
    reactor : Any
        Twisted's asyncio reactor; its time is the clock of all slices.
    """

    def __init__(self, settings: ServingSettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._leaving = False
        bounds = settings.bounds
        self.metrics = ServingMetrics()
        connector = Connector(reactor)
        self._server_pool = ConnectionPool(connector, reactor)
        self._store_pool = ConnectionPool(connector, reactor)
        self.store = StoreClient(
            settings.store.address,
            self._store_pool,
            reactor,
            settings.store.max_value_bytes,
        )
        own = Member(
            settings.daemon_id,
            os.urandom(6).hex(),
            settings.zone,
            settings.listen.callers,
            settings.listen.peers,
        )
        self._reachability = StoreReachability(reactor)
        self._replicas = {
            kind: Replica(kind)
            for kind in (CONFIG_KIND, SERVERS_KIND, VERSIONS_KIND, MEMBERS_KIND)
        }
        self._knowledge = Knowledge(
            reactor, bounds.older_weights_s - OLDER_WEIGHTS_RESERVE_S
        )
        self._servers = ServerTable(reactor)
        self._replicas[CONFIG_KIND].add_listener(self._take_configuration)
        self._replicas[SERVERS_KIND].add_listener(self._take_server)
        self._replicas[VERSIONS_KIND].add_listener(self._take_weight_version)
        self._members = Members(reactor, own, self._replicas[MEMBERS_KIND])
        self._watchers = [
            Watcher(
                self.store,
                reactor,
                replica,
                self._reachability,
                self._members.fleet_size,
            )
            for replica in self._replicas.values()
        ]
        crashes = CrashRecord(reactor)
        self._servers.on_down = crashes.confirm
        self._exchange = Exchange(
            reactor,
            self._members,
            list(self._replicas.values()),
            self._reachability,
            PeerClient(reactor, ExchangeMessage),
            settings.seeds,
            {"loads": LoadHints(self._servers), "crashes": crashes},
        )
        self._peer_listener = PeerServer(
            settings.listen.peers, ExchangeMessage, self._exchange.handle
        )
        self._registration = Registration(
            self.store, reactor, own, self._replicas[MEMBERS_KIND]
        )
        server_api = BackendClient(self._server_pool, reactor)
        self._rollout = Rollout(
            reactor,
            settings.daemon_id,
            Lease(
                self.store,
                reactor,
                LEASE_NAME,
                settings.daemon_id,
                own.incarnation,
                renew_s=RENEW_S,
            ),
            self._servers,
            self._knowledge,
            server_api,
            self._members.rank,
        )
        shares = ServerShares(reactor, self._servers, lambda: self._rollout.ordered)
        self._beacons = BeaconProtocol(
            reactor,
            self._members,
            shares.collect,
            shares.learn,
            self._rollout.lease_to_relay,
            self._rollout.observe_lease,
        )
        self._index = CacheIndex(reactor)
        self._feeds = Feeds(reactor, server_api, self._index)
        self._cleaner = Cleaner(
            reactor, self._index, server_api, self._servers.oldest_version
        )
        self._transfers = Transfers(reactor, self._index)
        self._forwarder = Forwarder(
            reactor,
            ZoneId(settings.zone),
            Wire(decode_request, decode_response, server_headers),
            self._knowledge,
            self._servers,
            self._server_pool,
            RetryBudget(
                reactor,
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self._members.fleet_size,
            ),
            crashes,
            Prompts(reactor, self._knowledge, self._servers, self._transfers),
            self.metrics.observe_request,
        )
        self._callers: Any = None
        self._listeners: list[Any] = []

    async def start(self) -> None:
        """Listen, register, and start to watch; raises `ListenFailed`."""
        addresses = self._settings.listen
        listeners = [
            listen(self._reactor, addresses.readiness, self._answer_readiness),
            listen(self._reactor, addresses.addresses, self._answer_addresses),
            listen(self._reactor, addresses.metrics, self.metrics.handle),
        ]
        self._callers = listen(
            self._reactor, addresses.callers, self._forwarder.handle, self._limits
        )
        self._listeners = [*listeners, self._callers]
        await self._peer_listener.start()
        for watcher in self._watchers:
            watcher.start()
        self._beacons.listen(self._reactor, addresses.peers)
        self._exchange.start()
        self._registration.start()
        self._rollout.start()
        start(self._keep_house()).addErrback(log_failure(log, "housekeeping ended"))
        log.info("started", extra={"zone": self._settings.zone})

    async def stop(self) -> None:
        """Leave the address answers, finish what is in flight, and stop."""
        began = self._reactor.seconds()
        self._leaving = True
        log.info("leaving", extra={"in_flight": self._callers.in_flight})
        end = began + self._settings.bounds.shutdown_s - SHUTDOWN_RESERVE_S
        await self._rollout.stop()
        self._registration.stop()
        start(self._exchange.announce_leaving()).addErrback(
            log_failure(log, "leaving was not announced")
        )
        await sleep_until(self._reactor, min(began + LEAVING_S, end))
        self._callers.leave()
        self._callers.stop()
        while self._callers.in_flight and self._reactor.seconds() < end:
            await sleep_until(self._reactor, self._reactor.seconds() + 0.05)
        self._exchange.stop()
        self._feeds.stop()
        self._beacons.stop()
        for watcher in self._watchers:
            watcher.stop()
        log.info("stopped", extra={"in_flight": self._callers.in_flight})

    def reload(self, path: Path) -> None:
        """Read the settings again; a wrong file is logged and changes nothing.

        Log level and the times of shutdown and address answers take effect at once. A
        change of anything else needs a restart and is logged.
        """
        try:
            settings = ServingSettings.from_config(path)
        except SettingsError as error:
            log.error("settings not read", extra={"cause": str(error)})
            return
        logging.getLogger().setLevel(settings.log_level)
        fixed = ("daemon_id", "zone", "listen", "store", "seeds")
        changed = [
            name
            for name in fixed
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        log.info("settings read again", extra={"needs_restart": changed})

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this daemon."""
        return not self._leaving and self._knowledge.configuration is not None

    def _answer_readiness(self, request: Request, responder: Responder) -> None:
        if request.target.partition(b"?")[0] != READINESS_PATH:
            responder.answer(404)
        else:
            responder.answer(200 if self.is_ready else 503)

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
        addresses = self._members.caller_addresses(zone, self.is_ready)
        if not addresses:
            responder.answer(503)
            return
        valid_s = min(ADDRESS_VALID_S, self._settings.bounds.address_valid_most_s)
        body = encode_addresses(addresses, valid_s)
        responder.answer(200, body, [(b"content-type", b"application/json")])

    def _limits(self) -> CallerLimits:
        configuration = self._knowledge.configuration
        if configuration is None:
            return CallerLimits()
        limits = configuration.limits
        return CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )

    def _take_configuration(self, entry: Entry) -> None:
        if entry.name != CONFIG_NAME or entry.is_deleted:
            return
        try:
            self._knowledge.put_configuration(decode_configuration(entry.value))
        except InvalidValue as error:
            log.error("configuration refused", extra={"cause": str(error)})

    def _take_server(self, entry: Entry) -> None:
        name = BackendServerId(entry.name)
        server = None if entry.is_deleted else decode_server(entry.name, entry.value)
        if server is not None:
            self._servers.put(server)
            return
        if not entry.is_deleted:
            log.warning("server entry unreadable", extra={"server": entry.name})
        known = self._servers.get(name)
        self._servers.remove(name, may_have_lapsed=self._store_was_away())
        if known is not None and self._servers.get(name) is None:
            self._server_pool.close_address(known.entry.address)

    def _store_was_away(self) -> bool:
        """Tell whether entries may lack only because the store was away."""
        reachability = self._reachability
        if reachability.unreachable_since is not None:
            return True
        return self._reactor.seconds() - reachability.reachable_since < 1.0

    def _take_weight_version(self, entry: Entry) -> None:
        if entry.is_deleted:
            return
        named = decode_weight_version(entry.value)
        if named is None:
            log.warning("weight version unreadable", extra={"entry": entry.name})
            return
        self._knowledge.put_weight_version(named.model, named.version)

    def _follow_holders(self) -> None:
        """Read cache events of all holders, if they accept that many readers."""
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        stores = {s.address: s for s in configuration.stores_by_id.values()}
        self._transfers.set_stores(stores)
        is_store_by_address = dict.fromkeys(stores, True)
        fleet_size = self._members.fleet_size()
        for tracked in self._servers.all():
            service = configuration.services_by_id.get(tracked.entry.service)
            if service is not None and service.engine is not None:
                if fleet_size > service.engine.event_readers:
                    is_store_by_address.clear()
                    break
                is_store_by_address[tracked.entry.address] = False
        self._feeds.set_holders(is_store_by_address)

    async def _clean_stores(self) -> None:
        configuration = self._knowledge.configuration
        if configuration is not None:
            stores = [s.address for s in configuration.stores_by_id.values()]
            await self._cleaner.step(stores, self._rollout.gives_orders)

    async def _keep_house(self) -> None:
        while not self._leaving:
            await sleep_until(self._reactor, self._reactor.seconds() + HOUSEKEEPING_S)
            self._follow_holders()
            await self._clean_stores()
            self._server_pool.close_expired()
            self._store_pool.close_expired()
            self.metrics.set_value("store_calls", self.store.calls)
            self.metrics.set_value("connections_opened", self._server_pool.opened)
            self.metrics.set_value("in_flight", self._callers.in_flight)
            self.metrics.set_value("callers", len(self._callers.connections))


__all__ = ["ServingDaemon"]
