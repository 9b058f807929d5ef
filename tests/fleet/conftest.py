import msgspec
import pytest

from chivesaddle.fleet import (
    Beacons,
    CatchUp,
    Entry,
    Member,
    Members,
    Replica,
    UpdateRelay,
    WatchRole,
    WorkingSet,
)

LARGE, SMALL = 2.15, 0.25


def change(daemon, entry):
    """Apply a change as the watch of a working daemon does."""
    daemon.replica.merge(entry.revision, [entry])


class Datagrams:
    """Fake of the UDP port that delivers to the other daemons at once."""

    def __init__(self, network):
        self._network = network
        self.handlers = {}
        self.sent = 0

    def add_handler(self, message_type, handle):
        self.handlers[message_type] = handle

    def send(self, message, receivers):
        for member in receivers:
            self.sent += 1
            self._network.deliver(self, member.id, message)


class Daemon:
    """The fleet components of one daemon; also the content of its beacons."""

    def __init__(self, clock, own, network):
        self.own = own
        self.network = network
        self.replica = Replica("config")
        self.registrations = Replica("daemons")
        self.members = Members(clock, own, self.registrations)
        self.working_set = WorkingSet(clock, self.members)
        self.watch_role = WatchRole(
            clock, self.members, self.working_set, lambda: self.has_store
        )
        self.datagrams = Datagrams(network)
        self.beacons = Beacons(
            clock, self.members, self.working_set, self.datagrams, self, self
        )
        self.updates = UpdateRelay(
            clock,
            self.members,
            self.working_set,
            {"config": self.replica},
            self.datagrams,
            self,
            self.watch_role.may_watch,
        )
        self.catch_up = CatchUp(
            clock,
            self.members,
            {"config": self.replica},
            self,
            self.record_late,
            lambda member: self.beacons.send_to(member),
        )
        self.cores = 0.0
        self.has_store = True
        self.lost = ([], False)
        self.lost_by_peer = {}
        self.shares_by_peer = {}
        self.pulls = []
        self.late_kinds = []

    def load_shares(self):
        return [], []

    def lease(self):
        return 0, 0

    def demand(self):
        return self.cores

    def reaches_store(self):
        return self.has_store

    def lost_servers(self):
        return self.lost

    def answering_services(self):
        return []

    def apply_answering_services(self, peer, services):
        pass

    def apply_lost_servers(self, peer, lost, valid_s):
        self.lost_by_peer[peer] = lost

    def apply_shares(self, peer, shares, loading, valid_s):
        self.shares_by_peer[peer] = shares

    def observe_lease(self, version, age_s):
        pass

    def observe_store(self, peer, reaches_store):
        self.watch_role.observe_store(peer, reaches_store)

    def progress_by_kind(self):
        return self.catch_up.progress_by_kind()

    def apply_progress(self, peer, progress_by_kind):
        self.catch_up.observe(peer, progress_by_kind)

    def record_late(self, kind, seen_at):
        self.late_kinds.append(kind)

    def pull_from(self, address, delay_s, is_needed):
        self.pulls.append(address)
        self.network.clock.callLater(delay_s, self.pull, address, is_needed)

    def pull(self, address, is_needed):
        if is_needed():
            self.network.exchange(self, address.partition(":")[0])


class Network:
    """Daemons of several zones, two large ones in each, and their datagrams."""

    def __init__(self, clock, zones, per_zone):
        self.clock = clock
        self.down = set()
        self.daemons = {}
        for zone in range(zones):
            for number in range(per_zone):
                name = f"z{zone}-{number:02}"
                capacity = LARGE if number < 2 else SMALL
                own = Member(
                    name, "1", f"z{zone}", f"{name}:80", f"{name}:81", capacity
                )
                self.daemons[name] = Daemon(clock, own, self)
        for daemon in self.daemons.values():
            self.register_all(daemon)

    def register_all(self, daemon):
        entries = [
            Entry(name, number + 1, msgspec.to_builtins(other.own))
            for number, (name, other) in enumerate(self.daemons.items())
        ]
        daemon.registrations.merge(len(entries), entries)

    def deliver(self, sender, receiver, message):
        daemon = self.daemons.get(receiver)
        senders = [n for n in self.down if self.daemons[n].datagrams is sender]
        if daemon is not None and receiver not in self.down and not senders:
            daemon.datagrams.handlers[type(message)](message)

    def exchange(self, daemon, name):
        """Bring a daemon what one of its peers has."""
        peer = self.daemons[name]
        entries = peer.replica.entries_after(0)
        daemon.replica.merge(peer.replica.applied_revision, entries)

    def start(self):
        for daemon in self.daemons.values():
            daemon.beacons.start()

    def hear_of_all(self):
        """Stand in for the exchanges, by which running daemons hear of each other."""
        running = [name for name in self.daemons if name not in self.down]
        for name in running:
            for other in running:
                if other != name:
                    self.daemons[name].members.record_seen(other, "1", 0.5, False)

    def advance(self, seconds):
        for step in range(round(seconds / 0.1)):
            if step % 10 == 0:
                self.hear_of_all()
            self.clock.advance(0.1)

    def watching(self):
        """Return how many daemons have to watch the store."""
        return sum(d.watch_role.may_watch() for d in self.daemons.values())

    def working_sets(self):
        """Return the distinct working sets of the running daemons."""
        return {
            tuple(member.id for member in daemon.working_set.daemons())
            for name, daemon in self.daemons.items()
            if name not in self.down
        }


@pytest.fixture
def network(clock):
    network = Network(clock, zones=3, per_zone=26)
    network.start()
    network.advance(5)
    return network
