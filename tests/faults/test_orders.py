"""Orders to engines that check fencing tokens and to engines that ignore them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventRing
from chivesaddle.core.model import BackendServer, ConfigState, Model
from chivesaddle.engines import EngineState
from chivesaddle.orders import OrdersTask
from chivesaddle.orders.reconciler import ORDER_IN_FLIGHT_S, SETTLED_INTERVAL_S
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.errors import Rejected

WANTED = ["v2"]
ORDERS = {
    "unload of the wanted version": {"order": "unload_version", "version": "v2"},
    "load of the old version": {"order": "load_version", "version": "v1"},
}


def config(checks_fencing):
    return ConfigState(
        revision=1,
        models_by_id={"m": Model(id="m", weight_version="v2")},
        backend_servers_by_id={
            "s": BackendServer(
                id="s",
                url="s",
                zone="z",
                models=("m",),
                checks_fencing=checks_fencing,
            )
        },
    )


class HeldLease:
    def __init__(self, token):
        self.fencing_token = token
        self.held = True

    def held_at(self, now):
        return self.held


class Engine:
    """The stand-in's models; notes the token of every order that arrives."""

    def __init__(self, clock, checks_fencing):
        self.clock = clock
        self.models = LoadedModels.from_config(["m:v1"], checks_fencing)
        self.fences = []
        self.faults = []

    async def state(self, url, deadline):
        self._fail("state")
        models = {"m": list(self.models.versions_by_model["m"])}
        return EngineState(models=models, role=self.models.role)

    async def order(self, url, fence, name, arguments, deadline):
        self._fail("order lost")
        delay = self.faults.pop(0)[1] if self._is_next("order delayed") else 0.0
        order = {"order": name, **arguments}
        if delay:
            self.clock.callLater(delay, self.arrive, fence, order)
        else:
            self.arrive(fence, order)
        self._fail("answer lost")

    def arrive(self, fence, order):
        self.fences.append(fence)
        try:
            self.models.check_fence(fence, ignore=False)
        except Rejected:
            return
        self.models.apply({"model": "m"} | order)

    def _is_next(self, name):
        return bool(self.faults) and self.faults[0][0] == name

    def _fail(self, name):
        if self._is_next(name):
            self.faults.pop(0)
            raise ChivesaddleError(name)

    @property
    def versions(self):
        return self.models.versions_by_model["m"]


def make_task(clock, engine, token, checks_fencing):
    lease = HeldLease(token)
    task = OrdersTask("z", lease, engine, clock, EventRing("d"))
    task.update_config(config(checks_fencing))
    task.start()
    return lease


def pump(clock, seconds):
    clock.pump([0.5] * int(seconds * 2))


class TestOrders:
    @pytest.mark.fault("orders", step="late by {late_s} s", fault="{name}, {engine_is}")
    @pytest.mark.parametrize("engine_is", ["checks the token", "ignores the token"])
    @pytest.mark.parametrize("late_s", [0.0, 2.0, 5.0, 9.5, 12.0, 25.0])
    @pytest.mark.parametrize("name", ORDERS)
    def test_late_order_of_a_former_holder_does_not_last(
        self, clock, engine_is, late_s, name
    ):
        """Guards against a stale order deciding the lasting state of a server."""
        checks = engine_is == "checks the token"
        engine = Engine(clock, checks)
        make_task(clock, engine, 2, checks)
        clock.callLater(late_s, engine.arrive, 1, ORDERS[name])
        pump(clock, late_s + SETTLED_INTERVAL_S + 2 * ORDER_IN_FLIGHT_S + 5)
        assert engine.versions == WANTED

    @pytest.mark.fault("orders", step="first order", fault="{fault}, {engine_is}")
    @pytest.mark.parametrize("engine_is", ["checks the token", "ignores the token"])
    @pytest.mark.parametrize(
        "fault",
        ["state", "order lost", "answer lost", "order delayed"],
    )
    @pytest.mark.parametrize("times", [1, 3])
    def test_lost_or_delayed_order_is_repeated(self, clock, engine_is, fault, times):
        """Guards against a server that keeps the old version after one lost call."""
        checks = engine_is == "checks the token"
        engine = Engine(clock, checks)
        engine.faults = [(fault, 4.0)] * times
        make_task(clock, engine, 1, checks)
        pump(clock, 40)
        assert engine.versions == WANTED

    @pytest.mark.fault("orders", step="change of holder", fault="{engine_is}")
    @pytest.mark.parametrize("engine_is", ["checks the token", "ignores the token"])
    def test_every_order_carries_its_holders_token(self, clock, engine_is):
        """Guards against orders that an engine cannot tell from a later holder's."""
        checks = engine_is == "checks the token"
        engine = Engine(clock, checks)
        former = make_task(clock, engine, 1, checks)
        pump(clock, 1)
        former.held = False
        engine.models.versions_by_model["m"] = ["v1"]
        make_task(clock, engine, 2, checks)
        pump(clock, 40)
        assert engine.fences == sorted(engine.fences)
        assert set(engine.fences) == {1, 2}

    @pytest.mark.fault("orders", step="any", fault="faults and late orders together")
    @settings(derandomize=True, max_examples=80, deadline=None, database=None)
    @given(
        late=st.lists(
            st.tuples(st.floats(0, 20), st.sampled_from(sorted(ORDERS))), max_size=5
        ),
        faults=st.lists(
            st.tuples(
                st.sampled_from(["state", "order lost", "answer lost"]), st.just(0.0)
            ),
            max_size=5,
        ),
        checks=st.booleans(),
    )
    def test_no_combination_lasts(self, late, faults, checks):
        clock = Clock()
        engine = Engine(clock, checks)
        engine.faults = list(faults)
        for delay, name in late:
            clock.callLater(delay, engine.arrive, 1, ORDERS[name])
        make_task(clock, engine, 2, checks)
        pump(clock, 20 + SETTLED_INTERVAL_S + 2 * ORDER_IN_FLIGHT_S + 15)
        assert engine.versions == WANTED

    def test_state_that_is_not_covered(self, clock):
        """Documents the gap: a very late order holds until the next periodic read."""
        engine = Engine(clock, checks_fencing=False)
        make_task(clock, engine, 2, checks_fencing=False)
        pump(clock, 40)
        engine.arrive(1, ORDERS["unload of the wanted version"])
        pump(clock, 1)
        assert engine.versions == []
        pump(clock, SETTLED_INTERVAL_S + 2)
        assert engine.versions == WANTED
