"""Fleets of daemons over one store, without network and processes."""

import msgspec
import pytest

from chivesaddle.core.aio import start
from chivesaddle.fleet import (
    Beacons,
    CatchUp,
    GossipExchange,
    Member,
    Members,
    Replica,
    RoleWait,
    StoreReachability,
    UpdateRelay,
    Watcher,
    WatchRole,
    WorkingSet,
)
from chivesaddle.fleet.members import MEMBERS_KIND
from chivesaddle.fleet.rpc import PeerUnreachable
from chivesaddle.forwarding import ServingState
from chivesaddle.objects import Lease, StoreEra
from chivesaddle.objects.memory import MemoryClient, MemoryObjectApi
from chivesaddle.placement import Evacuations, ServerTable
from chivesaddle.platform import CONFIG_KIND, SERVERS_KIND
from chivesaddle.serving.beacon_content import MAX_STORE_ANSWER_AGE_S
from chivesaddle.serving.documents import (
    OPERATOR_KINDS,
    StoredDocuments,
    document_replicas,
)
from chivesaddle.serving.registration import Registration
from chivesaddle.serving.store_hints import StoreHints
from chivesaddle.serving.weight_hints import WeightHints


class BeaconContent:
    """Beacons without load."""

    def __init__(self, daemon):
        self._daemon = daemon

    def load_shares(self):
        return [], []

    def lease(self):
        return 0, 0

    def demand(self):
        return 0.0

    def reaches_store(self):
        return self._daemon.reachability.answered_within(MAX_STORE_ANSWER_AGE_S)

    def apply_shares(self, peer, shares, loading, valid_s):
        pass

    def observe_lease(self, version, age_s):
        pass

    def lost_servers(self):
        return [], False

    def answering_services(self):
        return []

    def apply_answering_services(self, peer, services):
        pass

    def apply_lost_servers(self, peer, lost, valid_s):
        pass

    def progress_by_kind(self):
        return self._daemon.catch_up.progress_by_kind()

    def apply_progress(self, peer, progress_by_kind):
        self._daemon.catch_up.observe(peer, progress_by_kind)

    def observe_store(self, peer, reaches_store):
        self._daemon.watch_role.observe_store(peer, reaches_store)


class Daemon:
    """What one daemon keeps of the store, and how it learns of changes."""

    def __init__(self, fleet, own, has_evacuations=False):
        clock = fleet.clock
        self.fleet, self.own = fleet, own
        self.is_down = False
        self.handlers = {}
        self.era = StoreEra(clock)
        self.client = MemoryClient(fleet.api, self.era)
        self.replicas = document_replicas(has_evacuations)
        self.replicas[MEMBERS_KIND] = Replica(MEMBERS_KIND)
        self.serving_state = ServingState(clock, 8.0)
        self.servers = ServerTable(clock)
        self.evacuations = Evacuations(clock, self.servers)
        self.reachability = StoreReachability(clock)
        StoredDocuments(
            clock,
            self.replicas,
            self.serving_state,
            self.servers,
            self.evacuations,
            self.reachability,
            self.era,
            lambda address: None,
        )
        self.members = Members(clock, own, self.replicas[MEMBERS_KIND])
        self.working_set = WorkingSet(clock, self.members)
        self.watch_role = WatchRole(
            clock,
            self.members,
            self.working_set,
            lambda: self.reachability.unreachable_since is None,
        )
        self.lease = Lease(self.client, clock, "weights", own.id, "1", era=self.era)
        role_wait = RoleWait(clock, self.watch_role.may_watch)
        self.watchers = [
            Watcher(
                self.client,
                clock,
                replica,
                self.reachability,
                self.members.fleet_size,
                role_wait,
                is_for_all=replica.kind in OPERATOR_KINDS,
                is_proof=replica.kind == CONFIG_KIND,
                watchers=lambda: len(self.working_set.daemons()),
            )
            for replica in self.replicas.values()
        ]
        self.exchange = GossipExchange(
            clock,
            self.members,
            self.working_set,
            list(self.replicas.values()),
            self.reachability,
            self,
            [],
            {
                "store": StoreHints(self.era, self.lease),
                "weights": WeightHints(self.serving_state),
            },
        )
        documents = {k: r for k, r in self.replicas.items() if k in OPERATOR_KINDS}
        self.catch_up = CatchUp(
            clock,
            self.members,
            documents,
            self.exchange,
            self.repeat_watch,
            lambda member: self.beacons.send_to(member),
        )
        content = BeaconContent(self)
        self.beacons = Beacons(
            clock, self.members, self.working_set, self, content, content
        )
        self.updates = UpdateRelay(
            clock,
            self.members,
            self.working_set,
            self.replicas,
            self,
            self.exchange,
            self.watch_role.may_watch,
        )
        self.registration = Registration(
            self.client, clock, own, self.replicas[MEMBERS_KIND], self.era
        )

    def start(self):
        for watcher in self.watchers:
            watcher.start()
        self.beacons.start()
        self.exchange.start()
        self.registration.start()

    def repeat_watch(self, kind, began_before):
        for watcher in self.watchers:
            if watcher.kind == kind:
                watcher.repeat_call(began_before)

    # Peers' channels and datagrams.

    async def call(self, address, message, deadline):
        peer = self.fleet.by_address[address]
        if self.is_down or peer.is_down:
            raise PeerUnreachable("down")
        return peer.exchange.handle(
            msgspec.json.decode(msgspec.json.encode(message), type=type(message))
        )

    def close_address(self, address):
        pass

    def keep_only(self, addresses):
        pass

    def close(self):
        pass

    def add_handler(self, message_type, handle):
        self.handlers[message_type] = handle

    def send(self, message, receivers):
        for member in receivers:
            peer = self.fleet.by_address.get(member.peers)
            if peer is not None and not (self.is_down or peer.is_down):
                peer.handlers[type(message)](message)

    @property
    def configuration_version(self):
        configuration = self.serving_state.configuration
        return None if configuration is None else configuration.version


class StoreFleet:
    """Daemons in zones of two large instances and small ones, and their store."""

    def __init__(self, clock, size, zones=3, has_evacuations=False):
        self.clock = clock
        self.api = MemoryObjectApi(clock)
        self.daemons = [
            Daemon(
                self,
                Member(
                    f"d{n:03}",
                    "1",
                    f"z{n % zones}",
                    f"d{n}:80",
                    f"d{n}:81",
                    2.0 if n < 2 * zones else 0.25,
                ),
                has_evacuations,
            )
            for n in range(size)
        ]
        self.by_address = {d.own.peers: d for d in self.daemons}

    def start(self):
        for daemon in self.daemons:
            daemon.start()

    def advance(self, seconds, check=lambda: None):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            check()

    def write(self, kind, name, value):
        """Write as the operator or a backend server does, without a condition."""

        async def put():
            listing = await self.api.list_objects(kind, deadline=1e9)
            item = listing.items_by_name.get(name)
            if item is None:
                await self.api.create(kind, name, value, deadline=1e9)
            else:
                await self.api.update(
                    kind, name, value, version=item.version, deadline=1e9
                )

        start(put())

    def delete(self, kind, name):
        async def delete():
            item = await self.api.get(kind, name, deadline=1e9)
            await self.api.delete(kind, name, version=item.version, deadline=1e9)

        start(delete())

    def configure(self, version):
        self.write(CONFIG_KIND, "main", {"version": version})

    def put_server(self, name, state="ready", born=1):
        self.write(
            SERVERS_KIND,
            name,
            {
                "service": "app",
                "address": "10.0.0.1:80",
                "zone": "z0",
                "slots": 8,
                "state": state,
                "born": born,
            },
        )

    def go_away(self, seconds):
        self.api.faults.outage = True
        self.advance(seconds)
        self.api.faults.outage = False


@pytest.fixture
def store_fleet(clock):
    def make(size):
        fleet = StoreFleet(clock, size)
        fleet.configure(1)
        fleet.start()
        fleet.advance(6)
        return fleet

    return make
