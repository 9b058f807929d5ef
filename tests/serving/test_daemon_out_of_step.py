"""Streams that callers take up at a daemon that is out of step, without a network.

One daemon is cut off from its peers, the store or both, or is frozen, while servers of
a second software version join. Streams that began there through other daemons must not
go on at the version that it knew.
"""

import random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from chivesaddle.core.aio import sleep_until, start
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.fleet import (
    Entry,
    Member,
    Members,
    Replica,
    ReplicaReader,
    StoreReachability,
    Watcher,
    WorkingSet,
)
from chivesaddle.forwarding import StreamOrigins, stream_key
from chivesaddle.objects import StoreEra
from chivesaddle.objects.memory import MemoryClient, MemoryObjectApi
from chivesaddle.placement import ServerTable, SoftwareHistory
from chivesaddle.platform import decode_server
from chivesaddle.serving.notices import OriginQuestion, VersionsAnswer
from chivesaddle.serving.software_view import SoftwareView
from chivesaddle.serving.stream_sharing import StreamSharing
from chivesaddle.serving.version_questions import VersionQuestions

SERVICE = "app"
GOSSIP_INTERVAL_S = 0.25
OUT_OF_STEP = "d0"


class Api:
    """One daemon's calls to the store, which may be refused or stay unanswered."""

    def __init__(self, daemon, api):
        self.daemon = daemon
        self.client = MemoryClient(api, StoreEra(daemon.clock))
        self.hangs = False

    async def _call(self, name, *args, deadline, **kwargs):
        call = getattr(self.client, name)
        try:
            if not self.hangs:
                result = await call(*args, deadline=deadline, **kwargs)
            if self.hangs:
                await sleep_until(self.daemon.clock, deadline)
                raise DeadlineExceeded("no answer")
            return result
        finally:
            await self.daemon.wait_until_awake()

    async def read_changes(self, kind, *, after, deadline):
        return await self._call("read_changes", kind, after=after, deadline=deadline)

    async def wait_for_changes(self, kind, *, after, deadline):
        return await self._call(
            "wait_for_changes", kind, after=after, deadline=deadline
        )

    async def list_objects(self, kind, *, prefix="", deadline):
        return await self._call("list_objects", kind, prefix=prefix, deadline=deadline)


class Datagrams:
    def __init__(self, fleet, id):
        self.fleet = fleet
        self.id = id
        self.handlers = {}

    def add_handler(self, message_type, handle):
        self.handlers[message_type] = handle

    def send(self, message, receivers):
        for member in receivers:
            self.fleet.sent += 1
            if (self.id, member.id) not in self.fleet.cut_links:
                delay = self.fleet.random.uniform(0.001, 0.01)
                self.fleet.clock.callLater(delay, self.deliver, member.id, message)

    def deliver(self, daemon, message):
        receiver = self.fleet.daemons.get(daemon)
        if receiver is None:
            return
        if receiver.is_old_build and isinstance(message, OriginQuestion):
            message = OriginQuestion(message.daemon, message.key)
        handle = receiver.datagrams.handlers.get(type(message))
        if handle is not None:
            receiver.run_when_awake(lambda: handle(message))


class Daemon:
    """A daemon with its own clock, which stands still while the daemon is frozen."""

    def __init__(self, fleet, id):
        self.fleet = fleet
        self.own = fleet.members[id]
        self.clock = Clock()
        self.is_old_build = False
        self.input = None
        self.api = Api(self, fleet.api)
        self.reachability = StoreReachability(self.clock)
        self.servers = ServerTable(self.clock)
        self.software = SoftwareHistory(self.clock, self.servers)
        self.replica = Replica("servers")
        self.replica.add_listener(self.apply_entry)
        registrations = Replica("daemons")
        for number, other in enumerate(fleet.members.values()):
            fields = {f: getattr(other, f) for f in other.__struct_fields__}
            registrations.merge(number + 1, [Entry(other.id, number + 1, fields)])
        self.members = Members(self.clock, self.own, registrations)
        self.working_set = WorkingSet(self.clock, self.members)
        self.datagrams = Datagrams(fleet, id)
        self.knows_records = True
        self.make_origins()
        self.watcher = Watcher(
            self.api, self.clock, self.replica, self.reachability, lambda: 1
        )
        self.watcher.start()
        self.gossip_later()

    def make_origins(self):
        reader = ReplicaReader(
            self.api, self.clock, self.replica, lambda: len(self.fleet.members)
        )
        view = SoftwareView(
            self.clock,
            self.members,
            self.software,
            self.reachability,
            reader,
            lambda: self.knows_records,
            self.lists_all_servers,
        )
        self.replica.on_gap = view.record_gap
        view.questions = VersionQuestions(
            self.clock,
            self.members,
            self.working_set,
            self.datagrams,
            self.software,
            reader,
            view.knows_history,
            self.lists_all_servers,
        )
        self.origins = StreamOrigins(self.clock, self.software, view.confirm)
        StreamSharing(
            self.clock,
            self.members,
            self.working_set,
            self.datagrams,
            self.origins,
            view.questions,
        )

    def lists_all_servers(self):
        return not self.api.client.era.rose_within(2.0)

    def apply_entry(self, entry):
        if entry.is_deleted:
            self.servers.remove(entry.name, may_have_expired=False)
        else:
            self.servers.put(decode_server(entry.name, entry.value))

    def gossip_later(self):
        self.clock.callLater(GOSSIP_INTERVAL_S, self.gossip)

    def gossip(self):
        """Tell all others what this daemon knows, as exchanges and beacons do."""
        self.gossip_later()
        if not self.fleet.has_gossip:
            return
        for id, peer in self.fleet.daemons.items():
            if id == self.own.id or (self.own.id, id) in self.fleet.cut_links:
                continue
            through, hint = self.replica.applied_revision, self.software.collect()
            entries = self.replica.entries_after(peer.replica.applied_revision)
            peer.run_when_awake(
                lambda p=peer, t=through, h=hint, e=entries: p.hear(self, t, h, e)
            )

    def hear(self, peer, through, hint, entries):
        self.members.record_seen(peer.own.id, "x", 0.0, False)
        self.replica.merge(through, entries)
        self.software.apply_remote(hint)

    def run_when_awake(self, call):
        if self.input is None:
            call()
        else:
            self.input.append(call)

    def wait_until_awake(self):
        waiter = Deferred()
        self.run_when_awake(lambda: waiter.callback(None))
        return waiter

    def freeze(self):
        self.input = []

    def wake(self, before_input=lambda: None):
        """Go on, with a caller's request before what else has arrived."""
        queued, self.input = self.input, None
        frozen_s = self.fleet.clock.seconds() - self.clock.seconds()
        # Timers fire after the first input.
        self.clock.rightNow += frozen_s
        before_input()
        for call in queued:
            call()
        self.clock.advance(0)


class Fleet:
    def __init__(self, size):
        self.clock = Clock()
        self.random = random.Random(size)
        self.api = MemoryObjectApi(self.clock)
        self.cut_links = set()
        self.has_gossip = True
        self.sent = 0
        self.streams = 0
        self.members = {
            f"d{n}": Member(f"d{n}", "x", "z", "1.1.1.1:1", f"1.1.1.{n + 1}:2")
            for n in range(size)
        }
        self.daemons = {}
        for id in self.members:
            self.daemons[id] = Daemon(self, id)
        self.put_servers("v1")
        self.advance(5.0)

    def put_servers(self, version):
        for number in (1, 2):
            entry = {
                "service": SERVICE,
                "address": f"10.0.0.{number}:80",
                "zone": "z",
                "slots": 4,
                "state": "ready",
                "version": version,
            }
            self.call("create", "servers", f"i-{version}-{number}", entry)

    def remove_servers(self, version):
        for number in (1, 2):
            name = f"i-{version}-{number}"
            stored = self.call("get", "servers", name)
            self.call("delete", "servers", name, version=stored.version)

    def call(self, method, *args, **kwargs):
        results = []
        call = getattr(self.api, method)(*args, deadline=1e9, **kwargs)
        start(call).addCallback(results.append)
        return results[0]

    def advance(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)
            for daemon in list(self.daemons.values()):
                if daemon.input is None:
                    daemon.clock.advance(0.01)

    def cut(self, daemon, sends=True, receives=True):
        for other in self.members:
            if sends:
                self.cut_links.add((daemon, other))
            if receives:
                self.cut_links.add((other, daemon))

    def cut_store(self, daemon, hangs=False):
        api = self.daemons[daemon].api
        api.client.is_cut, api.hangs = not hangs, hangs

    def begin(self, daemon, version):
        self.streams += 1
        stream = f"s{self.streams}"
        origins = self.daemons[daemon].origins
        valid_until = self.daemons[daemon].clock.seconds() + 15
        origins.record_start(stream_key("acme", stream), SERVICE, version, valid_until)
        return stream

    def begin_elsewhere(self, version, count=6):
        """Begin streams at the daemons that are in step."""
        others = [id for id in self.daemons if id != OUT_OF_STEP]
        streams = [
            self.begin(self.random.choice(others), version) for _ in range(count)
        ]
        self.advance(0.05)
        return streams

    def find(self, daemon, stream):
        results = []
        finding = self.daemons[daemon].origins.find("acme", stream, SERVICE)
        start(finding).addBoth(results.append)
        return results

    def versions(self, found):
        """Return the versions at which streams go on, None for each refused one."""
        self.advance(1.0)
        versions = []
        for results in found:
            assert results, "neither refused nor resumed"
            if hasattr(results[0], "value"):
                assert isinstance(results[0].value, ChivesaddleError)
                versions.append(None)
            else:
                versions.append(results[0].version)
        return versions

    def resume(self, streams, daemon=OUT_OF_STEP):
        return self.versions([self.find(daemon, stream) for stream in streams])


@pytest.fixture(params=[3, 4, 9])
def fleet(request):
    return Fleet(request.param)


class TestOutOfStep:
    """Guards against streams of a new version that go on at the only known one."""

    @pytest.mark.parametrize("hangs", [False, True])
    @pytest.mark.parametrize("cut_s", [0.0, 1.0, 4.0])
    def test_cut_from_peers_and_store(self, fleet, cut_s, hangs):
        fleet.cut(OUT_OF_STEP)
        fleet.cut_store(OUT_OF_STEP, hangs)
        fleet.put_servers("v2")
        fleet.advance(0.1 + cut_s)
        streams = fleet.begin_elsewhere("v2")
        assert "v1" not in fleet.resume(streams)

    @pytest.mark.parametrize("hangs", [False, True])
    @pytest.mark.parametrize("cut_s", [0.0, 0.2, 4.0])
    def test_cut_from_the_store_while_news_is_not_relayed_yet(
        self, fleet, cut_s, hangs
    ):
        fleet.has_gossip = False
        fleet.cut_store(OUT_OF_STEP, hangs)
        fleet.put_servers("v2")
        fleet.advance(0.1 + cut_s)
        streams = fleet.begin_elsewhere("v2")
        resumed = fleet.resume(streams)
        assert "v1" not in resumed
        assert resumed.count("v2") >= 0.9 * len(streams)

    @pytest.mark.parametrize("cut_s", [0.0, 1.0, 4.0])
    def test_cut_from_its_peers(self, fleet, cut_s):
        fleet.cut(OUT_OF_STEP)
        # Its watch does not bring the news any more, and it does not know that yet.
        fleet.daemons[OUT_OF_STEP].api.wait_for_changes = lambda *args, **kw: Deferred()
        fleet.advance(16)
        fleet.put_servers("v2")
        fleet.advance(0.1 + cut_s)
        streams = fleet.begin_elsewhere("v2")
        assert "v1" not in fleet.resume(streams)

    @pytest.mark.parametrize("direction", ["sends", "receives"])
    @pytest.mark.parametrize("cut_s", [0.0, 1.0, 4.0])
    def test_cut_one_way(self, fleet, direction, cut_s):
        is_cut = {"sends": False, "receives": False, direction: True}
        fleet.cut(OUT_OF_STEP, **is_cut)
        fleet.cut_store(OUT_OF_STEP, hangs=True)
        if direction == "sends":
            # Beacons arrive, but not the entries, which are answers to its calls.
            fleet.daemons[OUT_OF_STEP].replica.merge = lambda *args: None
            fleet.daemons[OUT_OF_STEP].software.apply_remote([])
        fleet.put_servers("v2")
        fleet.advance(0.1 + cut_s)
        streams = fleet.begin_elsewhere("v2")
        fleet.daemons[OUT_OF_STEP].datagrams.handlers.clear()
        assert "v1" not in fleet.resume(streams)

    @pytest.mark.parametrize("frozen_s", [0.3, 2.0, 5.0, 40.0])
    def test_woken_before_it_reads_what_has_arrived(self, fleet, frozen_s):
        fleet.daemons[OUT_OF_STEP].freeze()
        fleet.put_servers("v2")
        fleet.advance(frozen_s)
        streams = fleet.begin_elsewhere("v2")
        found = []
        fleet.daemons[OUT_OF_STEP].wake(
            lambda: found.extend(fleet.find(OUT_OF_STEP, s) for s in streams)
        )
        assert "v1" not in fleet.versions(found)

    def test_woken_while_its_peers_are_cut_off(self, fleet):
        fleet.daemons[OUT_OF_STEP].freeze()
        fleet.put_servers("v2")
        fleet.advance(1.0)
        streams = fleet.begin_elsewhere("v2")
        fleet.cut(OUT_OF_STEP)
        found = []
        fleet.daemons[OUT_OF_STEP].wake(
            lambda: found.extend(fleet.find(OUT_OF_STEP, s) for s in streams)
        )
        assert "v1" not in fleet.versions(found)

    @pytest.mark.parametrize("frozen_s", [0.05, 2.0, 5.0])
    def test_frozen_while_it_asks(self, fleet, frozen_s):
        """A read that the store answered before the freeze tells only of its time."""
        fleet.cut(OUT_OF_STEP)
        daemon = fleet.daemons[OUT_OF_STEP]
        old = [fleet.find(OUT_OF_STEP, "old")]
        daemon.freeze()
        fleet.put_servers("v2")
        fleet.advance(frozen_s)
        streams = fleet.begin_elsewhere("v2")
        daemon.wake(lambda: old.extend(fleet.find(OUT_OF_STEP, s) for s in streams))
        assert "v1" not in fleet.versions(old)[1:]

    @pytest.mark.parametrize("hangs", [False, True])
    def test_peer_that_is_out_of_step_too_is_its_only_contact(self, fleet, hangs):
        others = [id for id in fleet.daemons if id not in (OUT_OF_STEP, "d1")]
        for other in others:
            for id in (OUT_OF_STEP, "d1"):
                fleet.cut_links |= {(id, other), (other, id)}
        fleet.cut_store(OUT_OF_STEP, hangs)
        fleet.cut_store("d1", hangs)
        fleet.put_servers("v2")
        fleet.advance(0.5)
        streams = [fleet.begin(others[0], "v2") for _ in range(6)]
        fleet.advance(0.05)
        assert "v1" not in fleet.resume(streams)

    def test_version_that_came_and_left_while_it_was_frozen(self, fleet):
        fleet.daemons[OUT_OF_STEP].freeze()
        fleet.put_servers("v2")
        fleet.advance(0.5)
        streams = fleet.begin_elsewhere("v2")
        fleet.remove_servers("v2")
        fleet.advance(0.5)
        found = []
        fleet.daemons[OUT_OF_STEP].wake(
            lambda: found.extend(fleet.find(OUT_OF_STEP, s) for s in streams)
        )
        assert "v1" not in fleet.versions(found)

    def test_version_that_came_and_left_before_the_store_lost_its_history(self, fleet):
        fleet.daemons[OUT_OF_STEP].freeze()
        fleet.put_servers("v2")
        fleet.advance(0.5)
        streams = fleet.begin_elsewhere("v2")
        fleet.remove_servers("v2")
        fleet.api.compact()
        fleet.cut(OUT_OF_STEP)
        found = []
        fleet.daemons[OUT_OF_STEP].wake(
            lambda: found.extend(fleet.find(OUT_OF_STEP, s) for s in streams)
        )
        assert "v1" not in fleet.versions(found)

    def test_store_that_returned_from_a_copy_without_the_new_servers(self, fleet):
        copy = fleet.api.take_copy()
        fleet.daemons[OUT_OF_STEP].freeze()
        fleet.put_servers("v2")
        fleet.advance(0.5)
        streams = fleet.begin_elsewhere("v2")
        fleet.api.restore(copy)
        fleet.cut(OUT_OF_STEP)
        found = []
        fleet.daemons[OUT_OF_STEP].wake(
            lambda: found.extend(fleet.find(OUT_OF_STEP, s) for s in streams)
        )
        assert "v1" not in fleet.versions(found)

    def test_peers_of_an_old_build_confirm_nothing(self, fleet):
        fleet.has_gossip = False
        for id in fleet.daemons:
            fleet.daemons[id].is_old_build = id != OUT_OF_STEP
        fleet.cut_store(OUT_OF_STEP)
        fleet.put_servers("v2")
        fleet.advance(0.2)
        fleet.cut_store("d1")
        streams = fleet.begin_elsewhere("v2")
        assert "v1" not in fleet.resume(streams)

    def test_daemon_that_has_not_read_the_records_confirms_nothing(self, fleet):
        daemon = fleet.daemons[OUT_OF_STEP]
        daemon.knows_records = False
        assert fleet.resume(["unknown"]) == [None]
        daemon.knows_records = True
        assert fleet.resume(["unknown"]) == ["v1"]


class TestInStep:
    """Guards against streams of one version that are refused wholesale."""

    def streams(self, fleet):
        """Streams that no daemon knows any more."""
        return [f"old-{number}" for number in range(12)]

    def test_streams_go_on(self, fleet):
        streams = self.streams(fleet)
        assert fleet.resume(streams) == ["v1"] * len(streams)

    @pytest.mark.parametrize("hangs", [False, True])
    def test_streams_go_on_while_one_daemon_does_not_reach_the_store(
        self, fleet, hangs
    ):
        fleet.cut_store(OUT_OF_STEP, hangs)
        streams = self.streams(fleet)
        assert fleet.resume(streams) == ["v1"] * len(streams)
        fleet.advance(10)
        assert fleet.resume(streams) == ["v1"] * len(streams)

    @pytest.mark.parametrize("hangs", [False, True])
    def test_streams_go_on_while_no_daemon_reaches_the_store(self, fleet, hangs):
        for id in fleet.daemons:
            fleet.cut_store(id, hangs)
        streams = self.streams(fleet)
        assert fleet.resume(streams) == ["v1"] * len(streams)
        fleet.advance(10)
        assert fleet.resume(streams) == ["v1"] * len(streams)

    def test_streams_go_on_after_other_daemons_have_ended(self, fleet):
        for id in list(fleet.daemons)[1:]:
            # Its clock stands still from now on, so its watches would never wait.
            fleet.daemons.pop(id).watcher.stop()
        streams = self.streams(fleet)
        assert fleet.resume(streams) == ["v1"] * len(streams)
        fleet.advance(10)
        assert fleet.resume(streams) == ["v1"] * len(streams)

    def test_streams_go_on_while_the_others_are_of_an_old_build(self, fleet):
        for id in fleet.daemons:
            fleet.daemons[id].is_old_build = id != OUT_OF_STEP
        streams = self.streams(fleet)
        assert fleet.resume(streams) == ["v1"] * len(streams)

    def test_streams_go_on_once_a_daemon_that_was_frozen_is_back(self, fleet):
        fleet.daemons[OUT_OF_STEP].freeze()
        fleet.advance(5)
        fleet.daemons[OUT_OF_STEP].wake()
        fleet.advance(0.5)
        streams = self.streams(fleet)
        assert fleet.resume(streams) == ["v1"] * len(streams)

    def test_streams_go_on_after_the_store_lost_its_history(self, fleet):
        fleet.api.compact()
        fleet.put_servers("v1.0")
        fleet.remove_servers("v1.0")
        fleet.advance(62)
        fleet.api.compact()
        streams = self.streams(fleet)
        assert fleet.resume(streams) == ["v1"] * len(streams)

    def test_questions_at_one_moment_share_a_read(self, fleet):
        """Guards against a burst that uses up the store's rate for the fleet."""
        before = fleet.api.calls["watch"] + fleet.api.calls["list"]
        assert fleet.resume([f"old-{n}" for n in range(200)]) == ["v1"] * 200
        # Besides the read, the daemons' own watches may end and begin again.
        calls = fleet.api.calls["watch"] + fleet.api.calls["list"] - before
        assert calls <= 2 + len(fleet.daemons)

    def test_new_streams_and_known_ones_ask_nothing(self, fleet):
        before = fleet.sent
        streams = [fleet.begin(OUT_OF_STEP, "v1") for _ in range(6)]
        assert fleet.resume(streams) == ["v1"] * 6
        assert fleet.sent == before


def test_version_told_by_peers_is_forgotten_in_time():
    """Guards against daemons that renew each other's news of a version that left."""
    fleet = Fleet(3)
    fleet.put_servers("v2")
    fleet.advance(0.5)
    fleet.remove_servers("v2")
    for second in range(61):
        fleet.find(f"d{second % 3}", "unknown")
        fleet.advance(1.0)
    assert fleet.resume(["unknown"]) == ["v1"]


def test_answer_to_another_question_confirms_nothing():
    """Guards against an answer that waited in a buffer since before a freeze."""
    fleet = Fleet(3)
    fleet.cut(OUT_OF_STEP)
    fleet.cut_store(OUT_OF_STEP)
    found = fleet.find(OUT_OF_STEP, "unknown")
    handle = fleet.daemons[OUT_OF_STEP].datagrams.handlers[VersionsAnswer]
    for daemon in ("d1", "d2"):
        handle(VersionsAnswer(daemon, 1, [], True, True))
    assert fleet.versions([found]) == [None]
