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
DESIRED_VERSIONS = {"v2", "v3"}


class FakeLease:
    def __init__(self, token):
        self.fencing_token = token
        self.held = True

    def is_held_at(self, now):
        return self.held


class FakeEngine:
    """Engine that can delay orders and optionally checks fencing tokens."""

    def __init__(self, clock, checks_fencing=False):
        self.clock = clock
        self.checks_fencing = checks_fencing
        self.versions = {"v1"}
        self.fence = 0
        self.delays = []
        self.read_blocker = None

    async def state(self, url, deadline):
        response = EngineState(models={"m": sorted(self.versions)}, role="serving")
        if self.read_blocker is not None:
            await self.read_blocker
        return response

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
    def test_missing_versions_are_loaded_before_the_replaced_one_is_unloaded(
        self, clock
    ):
        """Guards against unloading a version that running requests still use."""
        engine = FakeEngine(clock)
        make_task(clock, engine, FakeLease(1))
        pump(clock, 4)
        assert engine.versions == DESIRED_VERSIONS | {"v1"}
        pump(clock, 20)
        assert engine.versions == DESIRED_VERSIONS

    def test_failed_state_read_is_retried(self, clock):
        engine = FakeEngine(clock)
        working_state = engine.state

        async def failing_state(url, deadline):
            raise ChivesaddleError("refused")

        engine.state = failing_state
        make_task(clock, engine, FakeLease(1))
        pump(clock, 5)
        engine.state = working_state
        pump(clock, 5)
        assert engine.versions >= DESIRED_VERSIONS


class TestFencing:
    @pytest.mark.fault("orders", step="read")
    def test_no_order_is_sent_if_the_lease_expires_during_a_read(self, clock):
        """Guards against a paused holder that sends orders decided before the pause."""
        engine, lease = FakeEngine(clock), FakeLease(1)
        engine.read_blocker = Deferred()
        make_task(clock, engine, lease)
        lease.held = False
        engine.read_blocker.callback(None)
        pump(clock, 5)
        assert engine.versions == {"v1"}

    @pytest.mark.fault("orders", step="settling")
    def test_late_order_is_corrected_on_an_engine_without_fencing(self, clock):
        """Guards against an order of a former holder that arrives during settling."""
        engine = FakeEngine(clock)
        make_task(clock, engine, FakeLease(2))
        pump(clock, 6)
        engine.apply(1, {"order": "unload_version", "version": "v2"})
        pump(clock, 5)
        assert engine.versions >= DESIRED_VERSIONS

    @pytest.mark.parametrize("checks_fencing", [False, True])
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        late_orders=st.lists(
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
    def test_late_orders_of_a_former_holder_do_not_decide_the_final_state(
        self, checks_fencing, late_orders, delays
    ):
        """Guards against a stale order that changes the final state of a server."""
        clock = Clock()
        engine = FakeEngine(clock, checks_fencing)
        engine.delays = list(delays)
        for delay, order, version in late_orders:
            clock.callLater(
                delay, engine.apply, 1, {"order": order, "version": version}
            )
        make_task(clock, engine, FakeLease(2))
        pump(clock, 90)
        assert engine.versions == DESIRED_VERSIONS
