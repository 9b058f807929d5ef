import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.ids import FencingToken, ModelId
from chivesaddle.forwarding import Knowledge
from chivesaddle.placement import Outcome, ServerTable
from chivesaddle.platform import ServerCallFailed, decode_server
from chivesaddle.weights import Rollout

MODEL = ModelId("m")


class FakeLease:
    def __init__(self, clock):
        self.clock = clock
        self.fencing_token = FencingToken(1)
        self.renewed_at = 0.0
        self.held = True
        self.started = False

    def held_at(self, now):
        return self.held

    version = 1

    def observe(self, version, age_s=0.0):
        self.observed = (version, age_s)

    def start(self):
        self.started = True

    async def stop(self, *, release=True):
        self.held = False


class FakeServers:
    """Servers that take 0.4 s to load and check an order's precondition."""

    def __init__(self, clock, count):
        self.clock = clock
        self.version_by_id = {f"s{n}": 1 for n in range(count)}
        self.accepted_by_id = dict.fromkeys(self.version_by_id, 0)
        self.busy = set()
        self.orders = []
        self.runs_go_on = {}
        self.most_busy = 0
        self.lost = set()

    async def read_version(self, server, address, model, deadline):
        if server in self.lost:
            raise ServerCallFailed("lost")
        return (
            self.accepted_by_id[server],
            self.version_by_id[server],
            server in self.busy,
        )

    async def order(
        self,
        server,
        address,
        model,
        version,
        *,
        orders_accepted,
        holder,
        fence,
        runs_go_on,
        deadline,
    ):
        self.orders.append((self.clock.seconds(), server, version, fence))
        self.runs_go_on[server] = runs_go_on
        if orders_accepted != self.accepted_by_id[server] or server in self.busy:
            return False
        self.accepted_by_id[server] += 1
        self.busy.add(server)
        self.most_busy = max(self.most_busy, len(self.busy))
        self.clock.callLater(0.4, self._loaded, server, version)
        return True

    def _loaded(self, server, version):
        self.busy.discard(server)
        self.version_by_id[server] = version


class World:
    def __init__(self, clock, count=5):
        self.clock = clock
        self.knowledge = Knowledge(clock, 7.0)
        self.knowledge.put_weight_version(MODEL, 1)
        self.table = ServerTable(clock)
        for number in range(count):
            entry = {
                "service": "llm",
                "address": f"10.0.0.{number}:80",
                "zone": "z",
                "slots": 8,
                "state": "ready",
                "models": [{"name": "m", "version": 1}],
            }
            self.table.put(decode_server(f"s{number}", entry))
        self.servers = FakeServers(clock, count)
        self.lease = FakeLease(clock)
        self.rank = 0
        self.rollout = Rollout(
            clock,
            "d1",
            self.lease,
            self.table,
            self.knowledge,
            self.servers,
            lambda: self.rank,
        )

    def play(self, seconds, renewing=True):
        for _ in range(round(seconds / 0.05)):
            if renewing:
                self.lease.renewed_at = self.clock.seconds()
            self.clock.advance(0.05)


@pytest.fixture
def world(clock):
    return World(clock)


class TestRollout:
    def test_all_servers_come_up_with_few_out_at_once(self, world):
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(5)
        assert set(world.servers.version_by_id.values()) == {2}
        assert world.servers.most_busy <= 2
        assert len(world.servers.orders) == 5

    def test_late_rollout_loads_more_servers_at_once(self, world):
        world.knowledge.put_weight_version(MODEL, 2)
        world.clock.advance(4)
        world.rollout.start()
        world.play(3)
        assert set(world.servers.version_by_id.values()) == {2}
        assert world.servers.most_busy == 3

    def test_version_named_during_a_rollout_is_reached_too(self, world):
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(0.5)
        world.knowledge.put_weight_version(MODEL, 3)
        world.play(8)
        assert set(world.servers.version_by_id.values()) == {3}

    def test_daemon_without_the_lease_gives_no_orders(self, world):
        world.lease.held = False
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(3)
        assert not world.servers.orders

    def test_missed_renewal_stops_orders_before_the_lease_lapses(self, world):
        """Guards against orders of two holders within a lease period."""
        world.rollout.start()
        world.play(0.2)
        world.play(1.3, renewing=False)
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(1.0, renewing=False)
        assert not world.servers.orders

    def test_new_holder_waits_until_former_orders_are_old(self, world):
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.lease.fencing_token = FencingToken(2)
        world.play(0.7)
        assert not world.servers.orders
        world.play(0.4)
        assert world.servers.orders

    def test_order_without_an_answer_is_given_again_from_a_fresh_report(self, world):
        world.servers.lost = {"s0"}
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(3)
        world.servers.lost = set()
        world.play(3)
        assert world.servers.version_by_id["s0"] == 2

    def test_only_the_first_daemons_seek_the_lease(self, world):
        world.rank = 3
        world.rollout.start()
        world.play(1)
        assert not world.lease.started

    def test_server_that_hangs_does_not_stop_the_others(self, world):
        async def hang(*_):
            await Deferred()

        answer = world.servers.read_version

        async def read(server, *args):
            if server == "s0":
                await hang()
            return await answer(server, *args)

        world.servers.read_version = read
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(6)
        versions = dict(world.servers.version_by_id)
        assert versions.pop("s0") == 1
        assert set(versions.values()) == {2}


class TestRunsAtALoad:
    def test_server_gets_no_new_requests_while_its_runs_finish(self, world):
        world.table.record_send("s0", 10, 10)
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(4.0)
        given_at = next(at for at, server, *_ in world.servers.orders if server == "s0")
        assert world.table.get("s0").busy_until >= given_at

    def test_last_runs_go_on_so_that_the_server_is_not_idle_for_them(self, world):
        world.table.record_send("s0", 10, 10)
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(4.0)
        assert set(world.servers.version_by_id.values()) == {2}
        assert world.servers.runs_go_on == {
            "s0": True,
            "s1": False,
            "s2": False,
            "s3": False,
            "s4": False,
        }

    def test_server_without_runs_loads_at_once(self, world):
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(0.3)
        assert world.servers.orders

    def test_runs_that_end_in_time_delay_the_order_no_longer(self, world):
        serials = {s: world.table.record_send(s, 10, 10) for s in ("s0", "s1")}
        for server in ("s2", "s3", "s4"):
            world.table.record_version(server, MODEL, 2)
            world.servers.version_by_id[server] = 2
        world.rollout.start()
        world.knowledge.put_weight_version(MODEL, 2)
        world.play(0.25)
        assert not world.servers.orders
        for server, serial in serials.items():
            world.table.record_end(server, serial, Outcome.ANSWERED)
        world.play(0.2)
        assert world.servers.runs_go_on == {"s0": False, "s1": False}
