"""A daemon among its peers: exchange, relay, announcements and collection."""

import time
from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.internet.task import LoopingCall

from chivesaddle.core.aio import Clock, log_failure, start
from chivesaddle.core.events import Event, EventFilter, EventKind, EventRing
from chivesaddle.core.ids import AccountId, DaemonId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.metrics import Metrics, NoMetrics
from chivesaddle.core.objects import ObjectApi
from chivesaddle.core.settings import Settings
from chivesaddle.peers.addresses import ADDRESS_TTL_S, AddressAnswer, address_answer
from chivesaddle.peers.announcing import Announcer, zone_peers
from chivesaddle.peers.catching_up import CatchUp
from chivesaddle.peers.channels import Channels, PeerUnreachable
from chivesaddle.peers.collecting import (
    CollectedEvents,
    FleetAnswer,
    collect,
    events_from_message,
    filter_to_message,
    merge_events,
    status_from_message,
)
from chivesaddle.peers.demand import DemandShare
from chivesaddle.peers.exchange import Exchange, choose_peers
from chivesaddle.peers.handlers import Handlers
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.membership import Member, Membership, MemberState
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort, LeasePort
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.reports import (
    Content,
    LeavingDaemon,
    ReportLog,
    ServerReport,
    SuspectNews,
)
from chivesaddle.peers.server import GrpcPeerServer, Handler, PeerServer
from chivesaddle.peers.traffic import Traffic
from chivesaddle.peers.zone_push import PushReceiver, PushSender
from chivesaddle.peers.zone_reader import ZoneReader

ROUND_S = 1.0
# Less than a round, so that a silent peer does not delay the next one.
EXCHANGE_WITHIN_S = 0.8

_log = PartLogger("peers")


class Peers:
    """See the module's description.

    Parameters
    ----------
    own : Member
        This daemon, with its addresses and incarnation.
    channels : Channels
        Calls to peers.
    make_server : callable
        Returns the server that passes calls to the handler it is given.
    status_source : callable
        Returns this daemon's status as JSON values.
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
        traffic: Traffic,
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
        self._table = InstanceTable()
        self._push_sender = PushSender(own.id, self._table)
        self._announcer = Announcer(self.membership, channels, clock)
        self._catch_up = CatchUp(clock, channels, configuration)
        self._demand = DemandShare()
        self._reports = ReportLog(own.id, own.incarnation)
        self._reports.add_listener(self._take_report)
        self._suspect_listeners: list[Callable[[SuspectNews], None]] = []
        self._server_listeners: list[Callable[[ServerReport], None]] = []
        self._instance_listeners: list[Callable[[dict[str, Any]], None]] = []
        self._exchange = Exchange(
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
            self._table,
            self._take_instances,
            self._note_platform,
        )
        handlers = Handlers(
            clock,
            traffic,
            self.membership,
            self._exchange,
            self._reports,
            self._announcer,
            self._catch_up,
            self._table,
            PushReceiver(self._table, self._random.getrandbits(48)),
            lease,
            configuration,
            freshness,
            events,
            status_source,
            lambda: self._suspect_source(),
            self._take_instances,
        )
        self._server = make_server(handlers.handle)
        self._rounds = [
            self._looping_call(self._exchange_round),
            self._looping_call(self._push_round),
        ]
        self._states_by_daemon_id: dict[DaemonId, MemberState] = {}
        self._catching_up = False
        self._turn = 0
        self._suspect_source: Callable[[], Sequence[SuspectNews]] = tuple
        # Peers that were not heard from when suspects may have been announced.
        self._unasked: set[DaemonId] = set()
        self.serve_until: float | None = None

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
        """Build the peers of a daemon over gRPC."""
        own = Member(
            settings.daemon_id,
            settings.zone,
            settings.region,
            peer_address=settings.peers.address,
            caller_url=settings.caller_url,
            operator_url=settings.operator_url,
            incarnation=int(time.time() * 1_000),
        )
        traffic = Traffic()
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
        """Accept calls, then start to read and exchange."""
        await self._server.start()
        self._zone_reader.start()
        for looping_call in self._rounds:
            looping_call.start(ROUND_S)

    async def stop(self) -> None:
        """Stop everything; peers see this daemon as unreachable."""
        for looping_call in self._rounds:
            if looping_call.running:
                looping_call.stop()
        self._zone_reader.stop()
        self._channels.close()
        await self._server.stop()

    # Interface to other slices

    def set_demand_source(self, source: Callable[[], dict[AccountId, float]]) -> None:
        """Set the function that returns this daemon's own demand by account."""
        self._exchange.demand_source = source

    def demand_by_account_id(self) -> dict[AccountId, float]:
        """Return the summed demand of all other daemons."""
        now = self._clock.seconds()
        live = self.membership.members(now, MemberState.LIVE, MemberState.LEAVING)
        others = sum(member is not self.membership.own for member in live)
        return self._demand.by_account_id(others, now)

    def set_suspect_source(self, source: Callable[[], Sequence[SuspectNews]]) -> None:
        """Set the function that returns all that is known of suspect requests."""
        self._suspect_source = source

    def on_suspect(self, listener: Callable[[SuspectNews], None]) -> None:
        """Call ``listener`` with other daemons' reports of suspect requests."""
        self._suspect_listeners.append(listener)

    def on_server_report(self, listener: Callable[[ServerReport], None]) -> None:
        """Call ``listener`` with other daemons' reports of backend servers."""
        self._server_listeners.append(listener)

    def on_instances(self, listener: Callable[[dict[str, Any]], None]) -> None:
        """Call ``listener`` with the instance list by name after each change."""
        self._instance_listeners.append(listener)

    def announce_suspects(
        self, news: Sequence[SuspectNews]
    ) -> "Deferred[list[DaemonId]]":
        """Tell all daemons; see `announce`."""
        return self.announce(*news)

    def announce_server(self, report: ServerReport) -> "Deferred[list[DaemonId]]":
        """Tell all daemons; see `announce`."""
        return self.announce(report)

    def announce(self, *contents: Content) -> "Deferred[list[DaemonId]]":
        """Tell all daemons within `ANNOUNCE_WITHIN_S`.

        Returns
        -------
        Deferred of list of DaemonId
            Daemons that did not confirm; they learn of it by exchange.
        """
        now = self._clock.seconds()
        reports = [self._reports.create(content, now) for content in contents]
        return start(self._announcer.announce(reports))

    def address_answer(self, now: float) -> AddressAnswer:
        """Return the addresses that callers may use."""
        self.membership.own.confirmed = self._freshness.is_confirmed(now)
        self._turn += 1
        return address_answer(self.membership, now, self._turn)

    def start_leaving(self) -> "Deferred[None]":
        """Leave all address answers; sets ``serve_until``.

        Until then callers may still use an answer that named this daemon. A daemon
        that missed the announcement stops naming it when it is no longer heard of.
        """
        own = self.membership.own
        if self.serve_until is None:
            own.leaving = True
            heard_ttl_s = self.membership.heard_ttl_s
            latest = self._clock.seconds() + heard_ttl_s + ADDRESS_TTL_S
            self.serve_until = latest
        return self.announce(LeavingDaemon(own.id, own.incarnation)).addCallback(
            self._shorten_leaving
        )

    async def collect_events(
        self, wanted: EventFilter, deadline: float
    ) -> CollectedEvents:
        """Return the fleet's events; daemons that did not answer are named."""

        async def ask(peer: Member, peer_deadline: float) -> list[Event]:
            message = filter_to_message(wanted)
            return events_from_message(
                await self._call(peer, "GetEvents", message, peer_deadline)
            )

        peers = self.membership.peers(self._clock.seconds())
        answer = await collect(self._clock, peers, ask, deadline)
        answer.answers_by_daemon_id[self.membership.own.id] = self._events.select(
            wanted
        )
        return merge_events(answer, wanted)

    async def collect_status(self, deadline: float) -> FleetAnswer[dict[str, Any]]:
        """Return each daemon's status; daemons that did not answer are named."""

        async def ask(peer: Member, peer_deadline: float) -> dict[str, Any]:
            message = pb.StatusRequest()
            return status_from_message(
                await self._call(peer, "GetStatus", message, peer_deadline)
            )

        peers = self.membership.peers(self._clock.seconds())
        answer = await collect(self._clock, peers, ask, deadline)
        answer.answers_by_daemon_id[self.membership.own.id] = self._status_source()
        return answer

    # Rounds

    async def _exchange_with(self, peer: Member) -> None:
        sent_at = self._clock.seconds()
        try:
            answer = await self._call(
                peer,
                "Exchange",
                self._exchange.build(sent_at),
                sent_at + EXCHANGE_WITHIN_S,
            )
        except PeerUnreachable as error:
            _log.debug("%s", error.message)
            return
        await self._catch_up_on_suspects(peer)
        behind = self._exchange.receive_answer(answer, sent_at, self._clock.seconds())
        if behind and await self._catch_up.catch_up(peer.peer_address, answer.revision):
            self._exchange.record_reading(answer, sent_at, self._clock.seconds())

    async def _catch_up_on_suspects(self, peer: Member) -> None:
        """Ask one peer that has become reachable what this daemon may have missed.

        One answer is enough: reachable peers have told each other. After a partition
        each side asks a daemon of the other.
        """
        if peer.id not in self._unasked:
            return
        deadline = self._clock.seconds() + EXCHANGE_WITHIN_S
        try:
            answer = await self._call(peer, "GetSuspects", pb.Empty(), deadline)
        except PeerUnreachable as error:
            _log.debug("%s", error.message)
            return
        self._unasked.clear()
        self._reports.receive(answer.reports, self._clock.seconds())

    def _exchange_round(self) -> Deferred:
        now = self._clock.seconds()
        self.membership.forget_gone(now)
        self._report_changed_members(now)
        self._freshness.set_members(self.membership.zones_by_daemon_id(now))
        self._channels.keep_only({p.peer_address for p in self.membership.peers(now)})
        self._metrics.gauge("peers.bytes_per_s", self.traffic.bytes_per_s(now))
        self._exchange.start_round(now)
        chosen = choose_peers(self.membership, now, self._random)
        return self._run_all(self._exchange_with(peer) for peer in chosen)

    def _push_round(self) -> Deferred:
        now = self._clock.seconds()
        age = self._freshness.reading_age(now)
        if age is None or not self._zone_reader.is_reader():
            return self._run_all([])
        peers = zone_peers(self.membership, now)
        return self._run_all(self._push_to(peer, now, age) for peer in peers)

    async def _push_to(self, peer: Member, now: float, age: float) -> None:
        push = self._push_sender.build(
            peer.id,
            lease_version=self._lease.version,
            revision=self._configuration.revision,
            reading_age_s=age,
        )
        try:
            reply = await self._call(peer, "Push", push, now + EXCHANGE_WITHIN_S)
        except PeerUnreachable:
            self._push_sender.forget(peer.id)
        else:
            self._push_sender.record_reply(peer.id, reply)

    def _shorten_leaving(self, missed: list[DaemonId]) -> None:
        if not missed:
            self.serve_until = self._clock.seconds() + ADDRESS_TTL_S

    # Effects

    def _take_report(self, content: Content) -> None:
        match content:
            case ServerReport():
                for on_server in self._server_listeners:
                    on_server(content)
            case LeavingDaemon(daemon, incarnation):
                self.membership.record_leaving(daemon, incarnation)
            case _:
                for on_suspect in self._suspect_listeners:
                    on_suspect(content)

    def _take_instances(self) -> None:
        values = self._table.values_by_name
        self.membership.update_instances(values)
        for listener in self._instance_listeners:
            listener(values)

    def _note_platform(self, reachable: bool) -> None:
        self._exchange.platform_reachable = reachable

    def _report_changed_members(self, now: float) -> None:
        states = {
            member.id: self.membership.state_of(member.id, now)
            for member in self.membership.members(now, *MemberState)
        }
        for daemon_id in sorted(states.keys() | self._states_by_daemon_id.keys()):
            state = states.get(daemon_id, MemberState.GONE)
            if state is not self._states_by_daemon_id.get(daemon_id):
                if state is MemberState.LIVE:
                    self._unasked.add(daemon_id)
                self._events.record(
                    EventKind.MEMBER_CHANGED, object=daemon_id, state=state.value
                )
        self._states_by_daemon_id = states

    # Helpers

    def _looping_call(self, take_round: Callable[[], Deferred]) -> LoopingCall:
        def guarded() -> Deferred:
            # A failed round must not end the loop.
            work = maybeDeferred(take_round)
            return work.addErrback(log_failure(_log, "round failed"))

        looping_call = LoopingCall(guarded)
        looping_call.clock = self._clock  # type: ignore[assignment]
        return looping_call

    def _call(
        self, peer: Member, method: str, message: Any, deadline: float
    ) -> Coroutine[Any, Any, Any]:
        return self._channels.call(
            peer.peer_address, method, message, deadline=deadline
        )

    def _run(self, work: Coroutine[Any, Any, Any]) -> Deferred:
        return start(work).addErrback(log_failure(_log, "call failed"))

    def _run_all(self, works: Any) -> Deferred:
        return DeferredList([self._run(work) for work in works])


__all__ = ["Peers"]
