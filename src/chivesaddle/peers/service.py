"""Peer communication of a daemon: exchange, pushes, announcements and queries."""

import time
from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.internet.task import LoopingCall

from chivesaddle.core.aio import Clock, log_failure, start
from chivesaddle.core.events import Event, EventFilter, EventKind, EventRing
from chivesaddle.core.ids import AccountId, DaemonId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.metrics import Metrics, NoMetrics
from chivesaddle.core.objects import ObjectApi
from chivesaddle.core.settings import Settings
from chivesaddle.peers.addresses import ADDRESS_TTL_S, AddressList, select_addresses
from chivesaddle.peers.announcer import Announcer, zone_peers
from chivesaddle.peers.channels import Channels, PeerUnreachable
from chivesaddle.peers.configuration_fetcher import ConfigurationFetcher
from chivesaddle.peers.demand import PeerDemand
from chivesaddle.peers.exchange import StateExchange, choose_peers
from chivesaddle.peers.fleet_queries import (
    CollectedEvents,
    FleetResponse,
    events_from_message,
    filter_to_message,
    merge_events,
    query_peers,
    status_from_message,
)
from chivesaddle.peers.handlers import Handlers
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.membership import Member, Membership, MemberState
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort, LeasePort
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.reports import (
    LeavingDaemon,
    ReportContent,
    ReportLog,
    ServerReport,
    SuspectReport,
)
from chivesaddle.peers.server import GrpcPeerServer, Handler, PeerServer
from chivesaddle.peers.traffic import TrafficMeter
from chivesaddle.peers.zone_push import PushReceiver, PushSender
from chivesaddle.peers.zone_reader import ZoneReader

ROUND_INTERVAL_S = 1.0
# Less than a round, so that an unresponsive peer does not delay the next round.
EXCHANGE_TIMEOUT_S = 0.8

_log = ComponentLogger("peers")


class Peers:
    """Runs the peer service and the periodic rounds of one daemon.

    Parameters
    ----------
    own : Member
        This daemon, with its addresses and incarnation.
    channels : Channels
        Calls to peers.
    make_server : callable
        Takes a request handler and returns the server that calls it.
    status_source : callable
        Returns this daemon's status as JSON-compatible values.
    """

    def __init__(
        self,
        own: Member,
        clock: Clock,
        api: ObjectApi,
        lease: LeasePort,
        configuration: ConfigurationPort,
        freshness: FreshnessPort,
        events: EventRing,
        channels: Channels,
        traffic: TrafficMeter,
        make_server: Callable[[Handler], PeerServer],
        *,
        status_source: Callable[[], dict[str, Any]] = dict,
        metrics: Metrics | None = None,
        random: Random | None = None,
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._configuration = configuration
        self._freshness = freshness
        self._events = events
        self._channels = channels
        self._status_source = status_source
        self._metrics = metrics or NoMetrics()
        self._random = random or Random()
        self.traffic = traffic
        self.membership = Membership(own)
        self._instance_table = InstanceTable()
        self._push_sender = PushSender(own.id, self._instance_table)
        self._announcer = Announcer(self.membership, channels, clock)
        self._configuration_fetcher = ConfigurationFetcher(
            clock, channels, configuration
        )
        self._demand = PeerDemand()
        self._reports = ReportLog(own.id, own.incarnation)
        self._reports.add_listener(self._handle_report)
        self._suspect_listeners: list[Callable[[SuspectReport], None]] = []
        self._server_listeners: list[Callable[[ServerReport], None]] = []
        self._instance_listeners: list[Callable[[dict[str, Any]], None]] = []
        self._exchange = StateExchange(
            self.membership,
            freshness,
            configuration,
            events.clock,
            self._demand,
            self._reports,
            clock.seconds(),
            self._random,
        )
        self._zone_reader = ZoneReader(
            clock,
            api,
            lease,
            configuration,
            freshness,
            self._instance_table,
            self._handle_instances_changed,
            self._set_platform_reachable,
        )
        handlers = Handlers(
            clock,
            traffic,
            self.membership,
            self._exchange,
            self._reports,
            self._announcer,
            self._configuration_fetcher,
            self._instance_table,
            PushReceiver(self._instance_table, self._random.getrandbits(48)),
            lease,
            configuration,
            freshness,
            events,
            status_source,
            lambda: self._suspect_source(),
            self._handle_instances_changed,
        )
        self._server = make_server(handlers.handle)
        self._looping_calls = [
            self._make_looping_call(self._exchange_round),
            self._make_looping_call(self._push_round),
        ]
        self._states_by_daemon_id: dict[DaemonId, MemberState] = {}
        self._catching_up = False
        self._rotation = 0
        self._suspect_source: Callable[[], Sequence[SuspectReport]] = tuple
        # Peers that became live and were not asked yet for suspect reports that this
        # daemon may have missed.
        self._unsynced_peer_ids: set[DaemonId] = set()
        self.accept_until: float | None = None

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        clock: Clock,
        api: ObjectApi,
        lease: LeasePort,
        configuration: ConfigurationPort,
        freshness: FreshnessPort,
        events: EventRing,
        *,
        status_source: Callable[[], dict[str, Any]] = dict,
        metrics: Metrics | None = None,
    ) -> "Peers":
        """Create the peer communication over gRPC."""
        own = Member(
            settings.daemon_id,
            settings.zone,
            settings.region,
            peer_address=settings.peers.address,
            caller_url=settings.caller_url,
            operator_url=settings.operator_url,
            incarnation=int(time.time() * 1_000),
        )
        traffic = TrafficMeter()
        return cls(
            own,
            clock,
            api,
            lease,
            configuration,
            freshness,
            events,
            Channels(clock, traffic),
            traffic,
            lambda handle: GrpcPeerServer(settings.peers, handle),
            status_source=status_source,
            metrics=metrics,
        )

    async def start(self) -> None:
        """Accept calls, then start the zone reader and the rounds."""
        await self._server.start()
        self._zone_reader.start()
        for looping_call in self._looping_calls:
            looping_call.start(ROUND_INTERVAL_S)

    async def stop(self) -> None:
        """Stop everything; peers then consider this daemon unreachable."""
        for looping_call in self._looping_calls:
            if looping_call.running:
                looping_call.stop()
        self._zone_reader.stop()
        self._channels.close()
        await self._server.stop()

    # Interface to other packages

    def set_demand_source(self, source: Callable[[], dict[AccountId, float]]) -> None:
        """Set the function that returns this daemon's own demand by account."""
        self._exchange.demand_source = source

    def demand_by_account_id(self) -> dict[AccountId, float]:
        """Return the estimated total demand of all other daemons."""
        now = self._clock.seconds()
        live = self.membership.members(now, MemberState.LIVE, MemberState.LEAVING)
        others = sum(member is not self.membership.own for member in live)
        return self._demand.by_account_id(others, now)

    def set_suspect_source(self, source: Callable[[], Sequence[SuspectReport]]) -> None:
        """Set the function that returns reports of all known suspect requests."""
        self._suspect_source = source

    def on_suspect(self, listener: Callable[[SuspectReport], None]) -> None:
        """Call ``listener`` with other daemons' reports of suspect requests."""
        self._suspect_listeners.append(listener)

    def on_server_report(self, listener: Callable[[ServerReport], None]) -> None:
        """Call ``listener`` with other daemons' reports of backend servers."""
        self._server_listeners.append(listener)

    def on_instances(self, listener: Callable[[dict[str, Any]], None]) -> None:
        """Call ``listener`` after each change with the instance values by name."""
        self._instance_listeners.append(listener)

    def announce_suspects(
        self, reports: Sequence[SuspectReport]
    ) -> "Deferred[list[DaemonId]]":
        """Announce suspect reports; see `announce`."""
        return self.announce(*reports)

    def announce_server(self, report: ServerReport) -> "Deferred[list[DaemonId]]":
        """Announce a report of a backend server; see `announce`."""
        return self.announce(report)

    def announce(self, *contents: ReportContent) -> "Deferred[list[DaemonId]]":
        """Send reports to all daemons within `ANNOUNCE_TIMEOUT_S`.

        Returns
        -------
        Deferred of list of DaemonId
            Daemons that did not acknowledge; they receive the reports by exchange.
        """
        now = self._clock.seconds()
        reports = [self._reports.create(content, now) for content in contents]
        return start(self._announcer.announce(reports))

    def address_list(self, now: float) -> AddressList:
        """Return the addresses that callers may use."""
        self.membership.own.confirmed = self._freshness.is_confirmed(now)
        self._rotation += 1
        return select_addresses(self.membership, now, self._rotation)

    def start_leaving(self) -> "Deferred[None]":
        """Remove this daemon from all address lists and set ``accept_until``.

        Until then, callers may still use an address list that contains this daemon. A
        peer that missed the announcement drops this daemon when it considers it
        unreachable.
        """
        own = self.membership.own
        if self.accept_until is None:
            own.leaving = True
            unreachable_after_s = self.membership.unreachable_after_s
            latest = self._clock.seconds() + unreachable_after_s + ADDRESS_TTL_S
            self.accept_until = latest
        return self.announce(LeavingDaemon(own.id, own.incarnation)).addCallback(
            self._shorten_serving
        )

    async def collect_events(
        self, event_filter: EventFilter, deadline: float
    ) -> CollectedEvents:
        """Return the fleet's events and the daemons that did not respond."""

        async def call_peer(peer: Member, peer_deadline: float) -> list[Event]:
            message = filter_to_message(event_filter)
            return events_from_message(
                await self._call(peer, "GetEvents", message, peer_deadline)
            )

        peers = self.membership.peers(self._clock.seconds())
        response = await query_peers(self._clock, peers, call_peer, deadline)
        response.responses_by_daemon_id[self.membership.own.id] = self._events.select(
            event_filter
        )
        return merge_events(response, event_filter)

    async def collect_status(self, deadline: float) -> FleetResponse[dict[str, Any]]:
        """Return each daemon's status and the daemons that did not respond."""

        async def call_peer(peer: Member, peer_deadline: float) -> dict[str, Any]:
            message = pb.StatusRequest()
            return status_from_message(
                await self._call(peer, "GetStatus", message, peer_deadline)
            )

        peers = self.membership.peers(self._clock.seconds())
        response = await query_peers(self._clock, peers, call_peer, deadline)
        response.responses_by_daemon_id[self.membership.own.id] = self._status_source()
        return response

    # Rounds

    async def _exchange_with(self, peer: Member) -> None:
        sent_at = self._clock.seconds()
        try:
            response = await self._call(
                peer,
                "Exchange",
                self._exchange.build(sent_at),
                sent_at + EXCHANGE_TIMEOUT_S,
            )
        except PeerUnreachable as error:
            _log.debug("%s", error.message)
            return
        await self._sync_suspects(peer)
        has_newer_revision = self._exchange.receive_response(
            response, sent_at, self._clock.seconds()
        )
        if has_newer_revision and await self._configuration_fetcher.fetch_up_to(
            peer.peer_address, response.revision
        ):
            self._exchange.record_reading(response, sent_at, self._clock.seconds())

    async def _sync_suspects(self, peer: Member) -> None:
        """Request suspect reports that this daemon may have missed from one peer.

        One response is enough, because peers that can reach each other have exchanged
        their reports. After a network partition, each side asks a daemon of the other.
        """
        if peer.id not in self._unsynced_peer_ids:
            return
        deadline = self._clock.seconds() + EXCHANGE_TIMEOUT_S
        try:
            response = await self._call(peer, "GetSuspects", pb.Empty(), deadline)
        except PeerUnreachable as error:
            _log.debug("%s", error.message)
            return
        self._unsynced_peer_ids.clear()
        self._reports.receive(response.reports, self._clock.seconds())

    def _exchange_round(self) -> Deferred:
        now = self._clock.seconds()
        self.membership.remove_gone(now)
        self._record_member_changes(now)
        self._freshness.set_members(self.membership.zones_by_daemon_id(now))
        self._channels.close_except(
            {p.peer_address for p in self.membership.peers(now)}
        )
        self._metrics.gauge("peers.bytes_per_s", self.traffic.bytes_per_s(now))
        self._exchange.start_round(now)
        chosen = choose_peers(self.membership, now, self._random)
        return self._start_all(self._exchange_with(peer) for peer in chosen)

    def _push_round(self) -> Deferred:
        now = self._clock.seconds()
        reading_age_s = self._freshness.reading_age(now)
        if reading_age_s is None or not self._zone_reader.is_reader():
            return self._start_all([])
        peers = zone_peers(self.membership, now)
        return self._start_all(
            self._push_to(peer, now, reading_age_s) for peer in peers
        )

    async def _push_to(self, peer: Member, now: float, reading_age_s: float) -> None:
        push = self._push_sender.build(
            peer.id,
            lease_version=self._lease.version,
            revision=self._configuration.revision,
            reading_age_s=reading_age_s,
        )
        try:
            reply = await self._call(peer, "Push", push, now + EXCHANGE_TIMEOUT_S)
        except PeerUnreachable:
            self._push_sender.discard_reply(peer.id)
        else:
            self._push_sender.record_reply(peer.id, reply)

    def _shorten_serving(self, unacknowledged: list[DaemonId]) -> None:
        if not unacknowledged:
            self.accept_until = self._clock.seconds() + ADDRESS_TTL_S

    # Event handlers

    def _handle_report(self, content: ReportContent) -> None:
        match content:
            case ServerReport():
                for on_server in self._server_listeners:
                    on_server(content)
            case LeavingDaemon(daemon, incarnation):
                self.membership.record_leaving(daemon, incarnation)
            case _:
                for on_suspect in self._suspect_listeners:
                    on_suspect(content)

    def _handle_instances_changed(self) -> None:
        values = self._instance_table.values_by_name
        self.membership.update_instances(values)
        for listener in self._instance_listeners:
            listener(values)

    def _set_platform_reachable(self, reachable: bool) -> None:
        self._exchange.platform_reachable = reachable

    def _record_member_changes(self, now: float) -> None:
        states = {
            member.id: self.membership.state_of(member.id, now)
            for member in self.membership.members(now, *MemberState)
        }
        for daemon_id in sorted(states.keys() | self._states_by_daemon_id.keys()):
            state = states.get(daemon_id, MemberState.GONE)
            if state is not self._states_by_daemon_id.get(daemon_id):
                if state is MemberState.LIVE:
                    self._unsynced_peer_ids.add(daemon_id)
                self._events.record(
                    EventKind.MEMBER_CHANGED, object=daemon_id, state=state.value
                )
        self._states_by_daemon_id = states

    # Helpers

    def _make_looping_call(self, run_round: Callable[[], Deferred]) -> LoopingCall:
        def run_guarded() -> Deferred:
            # A failed round must not end the loop.
            work = maybeDeferred(run_round)
            return work.addErrback(log_failure(_log, "round failed"))

        looping_call = LoopingCall(run_guarded)
        looping_call.clock = self._clock  # type: ignore[assignment]
        return looping_call

    def _call(
        self, peer: Member, method: str, message: Any, deadline: float
    ) -> Coroutine[Any, Any, Any]:
        return self._channels.call(
            peer.peer_address, method, message, deadline=deadline
        )

    def _start_logged(self, work: Coroutine[Any, Any, Any]) -> Deferred:
        return start(work).addErrback(log_failure(_log, "peer call failed"))

    def _start_all(self, coroutines: Any) -> Deferred:
        return DeferredList([self._start_logged(work) for work in coroutines])


__all__ = ["Peers"]
