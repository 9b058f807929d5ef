"""Which daemon reaches servers that this one does not."""

from types import SimpleNamespace

import pytest

from chivesaddle.core.ids import BackendServerId
from chivesaddle.core.serving_model import ServerEntry, ServerState
from chivesaddle.fleet import Member, Members, Replica
from chivesaddle.fleet.beacons import server_hash
from chivesaddle.fleet.members import MEMBERS_KIND
from chivesaddle.placement import ServerTable
from chivesaddle.serving.peer_paths import ANSWERING_FOR_S, FleetPaths

SERVERS = [BackendServerId("s0"), BackendServerId("s1")]


class Environment:
    def __init__(self, clock):
        self.cut_off = set()
        peers = [SimpleNamespace(id=id) for id in ("d1", "d2")]
        members = SimpleNamespace(is_cut_off=lambda id: id in self.cut_off)
        working_set = SimpleNamespace(peers=lambda: peers)
        self.paths = FleetPaths(clock, members, working_set, ServerTable(clock))

    def report(self, peer, *lost, valid_s=1.0):
        hashes = [server_hash(server) for server in lost]
        self.paths.apply_lost_servers(peer, hashes, valid_s)


@pytest.fixture
def env(clock):
    return Environment(clock)


class TestReachedByPeer:
    def test_peer_without_a_report_may_reach_all(self, env):
        assert env.paths.is_reached_by_peer(SERVERS)

    def test_each_peer_lost_one_of_them(self, env):
        """Guards against orders that are left to daemons that cannot give them."""
        env.report("d1", "s0")
        env.report("d2", "s1")
        assert not env.paths.is_reached_by_peer(SERVERS)
        assert env.paths.is_reached_by_peer(SERVERS[:1])

    def test_peer_that_is_cut_off_reaches_none(self, env):
        env.report("d1", "s0")
        env.cut_off = {"d2"}
        assert not env.paths.is_reached_by_peer(SERVERS[:1])

    def test_report_expires(self, env, clock):
        for peer in ("d1", "d2"):
            env.report(peer, "s0")
        assert not env.paths.is_reached_by_peer(SERVERS[:1])
        clock.advance(2)
        assert env.paths.is_reached_by_peer(SERVERS[:1])


class TestRank:
    def test_daemon_that_is_cut_off_gives_no_orders(self, clock):
        """Guards against orders that nobody gives while one zone is cut off."""
        replica = Replica(MEMBERS_KIND)
        members = Members(clock, member("d2"), replica)
        members.peers = lambda: [member("d0"), member("d1")]
        members.is_serving = lambda id: True
        assert members.rank() == 2
        members.is_cut_off = lambda id: id == "d0"
        assert members.rank() == 1


def member(id):
    return Member(id, "1", "z0", f"{id}:80", f"{id}:81", 1.0)


def test_peers_that_a_service_answered_lately_are_first(clock):
    """Guards against requests that are passed on to a daemon that is cut off too."""
    entry = ServerEntry("s0", "app", "s0", "z", 4, ServerState.READY, {}, 1, "")
    servers = ServerTable(clock)
    servers.put(entry)
    peers = [member(f"d{number}") for number in range(1, 9)]
    members = SimpleNamespace(is_cut_off=lambda id: False, own=member("d0"))
    paths = FleetPaths(clock, members, SimpleNamespace(peers=lambda: peers), servers)
    servers.record_connection_failure("s0", "refused")
    paths.record_answering("d7", [server_hash("app")])
    paths.record_answering("d3", [server_hash("other")])
    firsts = {paths.reaching("app")[0].id for _ in range(50)}
    assert firsts == {"d7"}
    clock.advance(ANSWERING_FOR_S)
    assert len({paths.reaching("app")[0].id for _ in range(50)}) > 1
