import msgspec
import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import sleep_until, start
from chivesaddle.core.objects import UNREADABLE_VALUE
from chivesaddle.fleet import (
    Entry,
    ExchangeMessage,
    GossipExchange,
    Member,
    Members,
    Replica,
    StoreReachability,
    WorkingSet,
)
from chivesaddle.fleet.rpc import PeerUnreachable


class Fleet:
    """Exchanges of several daemons; a fake client that delivers their calls."""

    def __init__(self, clock, names):
        self.clock = clock
        self.unreachable = set()
        self.exchanges = {}
        self.replicas = {}
        self.registrations = {
            name: Member(name, f"{name}-1", "z", f"{name}:80", f"{name}:81")
            for name in names
        }
        for name in names:
            self.start_process(name)

    def start_process(self, name):
        """Give a daemon empty replicas of all that peers have to tell it."""
        clock, own = self.clock, self.registrations[name]
        replica, daemons = Replica("config"), Replica("daemons")
        for number, other in enumerate(self.registrations.values()):
            fields = {f: getattr(other, f) for f in other.__struct_fields__}
            daemons.merge(number + 1, [Entry(other.id, number + 1, fields)])
        members = Members(clock, own, daemons)
        reachability = StoreReachability(clock)
        reachability.record_success(clock.seconds())
        self.exchanges[name] = GossipExchange(
            clock,
            members,
            WorkingSet(clock, members),
            [replica, daemons],
            reachability,
            self,
            [],
            {},
        )
        self.replicas[name] = replica

    async def call(self, address, message, deadline):
        name = address.partition(":")[0]
        if name in self.unreachable or message.daemon in self.unreachable:
            raise PeerUnreachable("partitioned")
        return self.exchanges[name].handle(message)

    def close_address(self, address):
        pass

    def keep_only(self, addresses):
        pass

    def close(self):
        pass

    def start(self):
        for exchange in self.exchanges.values():
            exchange.start()


@pytest.fixture
def fleet(clock):
    return Fleet(clock, "abcdefghi")


class TestRestartedPeer:
    def test_is_not_told_that_it_has_what_its_predecessor_had(self, fleet):
        """Guards against a daemon whose next watch begins after what it never got."""
        ours = fleet.replicas["a"]
        for revision in (40, 41):
            ours.merge(revision, [Entry(f"e{revision}", revision, {})])
            for _ in range(2):
                start(fleet.exchanges["a"]._exchange_with("b:81"))
        assert fleet.replicas["b"].applied_revision == 41
        fleet.start_process("b")
        ours.merge(42, [Entry("e42", 42, {})])
        start(fleet.exchanges["a"]._exchange_with("b:81"))
        theirs = fleet.replicas["b"]
        assert [entry.name for entry in theirs.live()] == ["e42"]
        assert theirs.applied_revision == 0
        start(fleet.exchanges["a"]._exchange_with("b:81"))
        assert sorted(entry.name for entry in theirs.live()) == ["e40", "e41", "e42"]
        assert theirs.applied_revision == 42


class TestExchange:
    def test_daemon_that_cannot_reach_the_store_gets_a_change_within_two_seconds(
        self, fleet, clock
    ):
        """A configuration must reach each daemon within 2 s of its acknowledgement."""
        fleet.start()
        clock.pump([0.05] * 40)
        fleet.exchanges["a"]._reachability.record_failure(PeerUnreachable("store"))
        clock.pump([0.05] * 20)
        for name in "bcdefghi":
            fleet.replicas[name].merge(40, [Entry("main", 40, {"version": 2})])
        clock.pump([0.05] * 36)
        assert fleet.replicas["a"].get("main").revision == 40

    def test_change_known_to_one_daemon_reaches_all(self, fleet, clock):
        fleet.start()
        fleet.replicas["e"].merge(40, [Entry("main", 40, {"version": 2})])
        clock.pump([0.05] * 120)
        assert all(r.get("main") is not None for r in fleet.replicas.values())

    def test_unreachable_daemon_is_not_returned_to_callers_until_it_recovers(
        self, fleet, clock
    ):
        fleet.start()
        clock.pump([0.05] * 60)
        fleet.unreachable = {"c"}
        clock.pump([0.05] * 120)
        members = fleet.exchanges["a"]._members
        assert "c:80" not in members.caller_addresses("z", True)
        fleet.unreachable = set()
        clock.pump([0.05] * 120)
        assert "c:80" in members.caller_addresses("z", True)

    def test_leaving_daemon_announces_it_without_waiting_for_the_next_round(
        self, fleet, clock
    ):
        fleet.start()
        clock.pump([0.05] * 60)
        start(fleet.exchanges["b"].announce_leaving())
        informed = [
            name
            for name, exchange in fleet.exchanges.items()
            if not exchange._members.is_serving("b") and name != "b"
        ]
        assert informed

    def test_first_message_to_a_peer_carries_revisions_but_no_objects(self, fleet):
        sent = []

        async def call(address, message, deadline):
            sent.append(message)
            await Deferred()

        fleet.call = call
        fleet.replicas["a"].merge(40, [Entry("main", 40, {"version": 2})])
        fleet.exchanges["a"].start()
        assert sent[0].entries == {}
        assert sent[0].through["config"] == 40


class TestUnreadableObjects:
    """Guards against one object of a peer that keeps its other ones from being read."""

    GOOD = b'["good",5,{"version":2}]'

    def decode(self, *entries):
        message = ExchangeMessage(
            "a", "a-1", False, {"b": ("b-1", 3, False)}, {"config": 9}, {}, {"h": [1]}
        )
        text = msgspec.json.encode(message)
        objects = b'"entries":{"config":[' + b",".join(entries) + b"]}"
        return ExchangeMessage.decode(text.replace(b'"entries":{}', objects))

    @pytest.mark.parametrize(
        "value",
        [
            b"[" * 1_500 + b"]" * 1_500,
            b"[" * 200 + b"]" * 200,
            b'"\\ud83d"',
            b'"\xff"',
            b"1e999",
            b"9" * 5_000,
            b"NaN",
        ],
    )
    def test_keep_their_names_beside_the_others(self, value):
        odd = b'["odd",7,' + value + b"]"
        message = self.decode(odd, self.GOOD)
        assert message.entries == {
            "config": [
                Entry("odd", 7, UNREADABLE_VALUE),
                Entry("good", 5, {"version": 2}),
            ]
        }
        assert message.heard == {"b": ("b-1", 3, False)}
        assert (message.through, message.hints) == ({"config": 9}, {"h": [1]})

    @pytest.mark.parametrize(
        "odd", [b'["\\ud83d",7,1]', b'["odd","7",1]', b"null", b"[]", b"5"]
    )
    def test_without_a_name_or_revision_are_left_out(self, odd):
        message = self.decode(odd, self.GOOD)
        assert [entry.name for entry in message.entries["config"]] == ["good"]

    @pytest.mark.parametrize("text", [b"", b"null", b"{}", b"[" * 5_000])
    def test_message_that_is_none_is_an_error(self, text):
        with pytest.raises(ValueError):
            ExchangeMessage.decode(text)

    def test_hint_that_cannot_be_applied_does_not_end_the_exchange(self, fleet, clock):
        class Hints:
            def collect(self):
                return {"odd": 1}

            def apply_remote(self, hint):
                raise RecursionError("deep")

        fleet.exchanges["a"]._hints_by_name = {"h": Hints()}
        fleet.exchanges["b"]._hints_by_name = {"h": Hints()}
        fleet.start()
        clock.pump([0.05] * 60)
        fleet.replicas["e"].merge(40, [Entry("main", 40, {"version": 2})])
        clock.pump([0.05] * 120)
        assert all(r.get("main") is not None for r in fleet.replicas.values())

    def test_unexpected_error_does_not_end_the_exchange(self, fleet, clock):
        call, failures = fleet.call, [ValueError("port"), OverflowError("port")]

        async def fail_first(address, message, deadline):
            if failures:
                raise failures.pop()
            return await call(address, message, deadline)

        fleet.call = fail_first
        # A seed under which "a" calls "e", which it would else miss now and then.
        fleet.exchanges["a"]._random.seed(7)
        fleet.replicas["e"].merge(40, [Entry("main", 40, {"version": 2})])
        fleet.exchanges["a"].start()
        clock.pump([0.05] * 400)
        assert fleet.replicas["a"].get("main") is not None


class TestPulls:
    """Several working daemons notify a daemon of the same large object."""

    @pytest.fixture
    def calls(self, fleet):
        calls = []
        call = fleet.call

        async def count_call(address, message, deadline):
            calls.append(address)
            return await call(address, message, deadline)

        fleet.call = count_call
        return calls

    def pull_all(self, fleet, name, revision):
        replica = fleet.replicas["a"]
        for number, peer in enumerate(("b", "c")):
            fleet.exchanges["a"].pull_from(
                f"{peer}:81",
                0.1 + 0.1 * number,
                lambda: replica.revision_of(name) < revision,
            )

    def test_object_is_pulled_from_one_of_them(self, fleet, clock, calls):
        """Guards against three exchanges of an idle daemon for each configuration."""
        for peer in ("b", "c"):
            fleet.replicas[peer].merge(5, [Entry("main", 5, {"v": 1})])
        self.pull_all(fleet, "main", 5)
        clock.pump([0.05] * 10)
        assert fleet.replicas["a"].get("main") is not None
        assert calls == ["b:81"]

    def test_object_that_the_first_lacks_is_pulled_from_the_next(
        self, fleet, clock, calls
    ):
        fleet.replicas["c"].merge(5, [Entry("main", 5, {"v": 1})])
        self.pull_all(fleet, "main", 5)
        clock.pump([0.05] * 10)
        assert fleet.replicas["a"].get("main") is not None
        assert calls == ["b:81", "c:81"]

    @pytest.mark.parametrize("delay_s", [0.7, 1.5])
    def test_object_is_pulled_over_a_link_whose_packets_wait(
        self, fleet, clock, delay_s
    ):
        """Guards against attempts that are all given up before their response."""
        call = fleet.call

        async def call_slowly(address, message, deadline):
            due = clock.seconds() + delay_s
            await sleep_until(clock, min(due, deadline))
            if due > deadline:
                raise PeerUnreachable("late")
            return await call(address, message, deadline)

        fleet.call = call_slowly
        fleet.replicas["b"].merge(5, [Entry("main", 5, {"v": 1})])
        self.pull_all(fleet, "main", 5)
        clock.pump([0.05] * 40)
        assert fleet.replicas["a"].get("main") is not None

    def test_second_object_offered_before_the_pull_is_pulled(self, fleet, clock, calls):
        """A planned pull of an object that has arrived must not hide the second."""
        fleet.replicas["b"].merge(6, [Entry("second", 6, {"v": 1})])
        pull_from = fleet.exchanges["a"].pull_from
        pull_from("b:81", 0.1, lambda: False)
        pull_from("b:81", 0.1, lambda: True)
        clock.pump([0.05] * 10)
        assert fleet.replicas["a"].get("second") is not None


class TestTrafficOfLargeFleets:
    """78 daemons of 3 zones; traffic between zones is billed."""

    def test_daemon_without_callers_mostly_exchanges_within_its_zone(self, network):
        idle = network.daemons["z1-20"]
        exchange = GossipExchange(
            network.clock,
            idle.members,
            idle.working_set,
            [idle.replica],
            StoreReachability(network.clock),
            network,
            [],
            {},
        )
        network.keep_only = lambda addresses: None
        first = [exchange._peer_candidates()[0] for _ in range(200)]
        assert sum(address.startswith("z1") for address in first) > 120
        assert len({address[:2] for address in first}) == 3
