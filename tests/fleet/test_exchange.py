import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import start
from chivesaddle.fleet import Entry, Exchange, Member, Members, Replica, StoreContact
from chivesaddle.fleet.channels import PeerUnreachable


class Fleet:
    """Exchanges of several daemons whose calls pass through this object."""

    def __init__(self, clock, names):
        self.clock = clock
        self.cut = set()
        self.exchanges = {}
        self.replicas = {}
        registrations = [
            Member(name, f"{name}-1", "z", f"{name}:80", f"{name}:81") for name in names
        ]
        for own in registrations:
            replica, daemons = Replica("config"), Replica("daemons")
            for number, other in enumerate(registrations):
                fields = {f: getattr(other, f) for f in other.__struct_fields__}
                daemons.merge(number + 1, [Entry(other.id, number + 1, fields)])
            members = Members(clock, own, daemons)
            contact = StoreContact(clock)
            contact.record_success()
            exchange = Exchange(
                clock, members, [replica, daemons], contact, self, [], {}
            )
            self.exchanges[own.id] = exchange
            self.replicas[own.id] = replica

    async def call(self, address, message, deadline):
        name = address.partition(":")[0]
        if name in self.cut or message.daemon in self.cut:
            raise PeerUnreachable("cut")
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


class TestExchange:
    def test_daemon_without_the_store_gets_a_change_within_two_seconds(
        self, fleet, clock
    ):
        """A configuration is due on each daemon 2 s after it was acknowledged."""
        fleet.start()
        clock.pump([0.05] * 40)
        fleet.exchanges["a"]._contact.record_failure(PeerUnreachable("store"))
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

    def test_daemon_that_is_cut_off_is_out_of_the_answers_and_comes_back(
        self, fleet, clock
    ):
        fleet.start()
        clock.pump([0.05] * 60)
        fleet.cut = {"c"}
        clock.pump([0.05] * 120)
        members = fleet.exchanges["a"]._members
        assert "c:80" not in members.caller_addresses("z", True)
        fleet.cut = set()
        clock.pump([0.05] * 120)
        assert "c:80" in members.caller_addresses("z", True)

    def test_leaving_is_announced_at_once(self, fleet, clock):
        fleet.start()
        clock.pump([0.05] * 60)
        start(fleet.exchanges["b"].announce_leaving())
        knowing = [
            name
            for name, exchange in fleet.exchanges.items()
            if not exchange._members.is_serving("b") and name != "b"
        ]
        assert knowing

    def test_first_message_to_a_peer_asks_before_it_sends_documents(self, fleet):
        sent = []

        async def call(address, message, deadline):
            sent.append(message)
            await Deferred()

        fleet.call = call
        fleet.replicas["a"].merge(40, [Entry("main", 40, {"version": 2})])
        fleet.exchanges["a"].start()
        assert sent[0].entries == {}
        assert sent[0].through["config"] == 40
