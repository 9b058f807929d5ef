import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventRing
from chivesaddle.core.model import BackendServer, ConfigState, Model
from chivesaddle.engines import EngineState
from chivesaddle.orders import OrdersTask

CONFIG = ConfigState(
    revision=1,
    models_by_id={"m": Model(id="m", weight_version="v2", preload=("v3",))},
    backend_servers_by_id={
        "s1": BackendServer(id="s1", url="s1", zone="z", models=("m",)),
    },
)
WANTED = {"v2", "v3"}


class FakeLease:
    def __init__(self, token):
        self.fencing_token = token
        self.held = True

    def held_at(self, now):
        return self.held


class FakeEngine:
    """Engine whose orders may be delayed; checks fencing tokens on request."""

    def __init__(self, clock, checks_fencing=False):
        self.clock = clock
        self.checks_fencing = checks_fencing
        self.versions = {"v1"}
        self.fence = 0
        self.delays = []
        self.reads_paused = None

    async def state(self, url, deadline):
        answer = EngineState(models={"m": sorted(self.versions)}, role="serving")
        if self.reads_paused is not None:
            await self.reads_paused
        return answer

    async def order(self, url, fence, name, arguments, deadline):
        order = {"order": name, **arguments}
        delay = self.delays.pop(0) if self.delays else 0
        if delay:
            self.clock.callLater(delay, self.apply, fence, order)
        else:
            self.apply(fence, order)

    def apply(self, fence, order):
        if self.checks_fencing and fence < self.fence:
            return
        self.fence = max(self.fence, fence)
        if order["order"] == "load_version":
            self.versions.add(order["version"])
        elif order["order"] == "unload_version":
            self.versions.discard(order["version"])


def make_task(clock, engine, lease):
    task = OrdersTask("z", lease, engine, clock, EventRing("d1"))
    task.update_config(CONFIG)
    task.start()
    return task


def pump(clock, seconds):
    clock.pump([0.5] * int(seconds * 2))


class TestReconciliation:
    def test_wanted_versions_are_loaded_and_the_old_one_unloaded_later(self, clock):
        """Guards against unloading a version under runs that still use it."""
        engine = FakeEngine(clock)
        make_task(clock, engine, FakeLease(1))
        pump(clock, 4)
        assert engine.versions == WANTED | {"v1"}
        pump(clock, 20)
        assert engine.versions == WANTED

    def test_failing_server_is_tried_again(self, clock):
        engine = FakeEngine(clock)
        working = engine.state

        async def broken(url, deadline):
            raise ChivesaddleError("refused")

        engine.state = broken
        make_task(clock, engine, FakeLease(1))
        pump(clock, 5)
        engine.state = working
        pump(clock, 5)
        assert engine.versions >= WANTED


class TestFencing:
    @pytest.mark.fault("orders", step="read")
    def test_holder_whose_lease_lapsed_during_a_read_sends_nothing(self, clock):
        """Guards against a paused holder acting on a decision made before."""
        engine, lease = FakeEngine(clock), FakeLease(1)
        engine.reads_paused = Deferred()
        make_task(clock, engine, lease)
        lease.held = False
        engine.reads_paused.callback(None)
        pump(clock, 5)
        assert engine.versions == {"v1"}

    @pytest.mark.fault("orders", step="settling")
    def test_engine_without_fencing_is_corrected_after_a_late_order(self, clock):
        """Guards against a former holder's order that arrives after settling began."""
        engine = FakeEngine(clock)
        make_task(clock, engine, FakeLease(2))
        pump(clock, 6)
        engine.apply(1, {"order": "unload_version", "version": "v2"})
        pump(clock, 5)
        assert engine.versions >= WANTED

    @pytest.mark.parametrize("checks_fencing", [False, True])
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        late=st.lists(
            st.tuples(
                st.floats(0, 10),
                st.sampled_from(["load_version", "unload_version"]),
                st.sampled_from(["v1", "v2", "v3"]),
            ),
            max_size=6,
        ),
        delays=st.lists(st.floats(0, 9), max_size=4),
    )
    @pytest.mark.fault(
        "orders", step="any", fault="late orders, checks_fencing={checks_fencing}"
    )
    def test_late_orders_of_a_former_holder_never_win(
        self, checks_fencing, late, delays
    ):
        """Guards against a stale order deciding the lasting state of a server."""
        clock = Clock()
        engine = FakeEngine(clock, checks_fencing)
        engine.delays = list(delays)
        for delay, order, version in late:
            clock.callLater(
                delay, engine.apply, 1, {"order": order, "version": version}
            )
        make_task(clock, engine, FakeLease(2))
        pump(clock, 90)
        assert engine.versions == WANTED
