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
from chivesaddle.orders.reconciler import MAX_ORDER_DELAY_S, SETTLED_READ_INTERVAL_S
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.errors import Rejected

WANTED_VERSIONS = ["v2"]
STALE_ORDERS = {
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

    def is_held_at(self, now):
        return self.held


class Engine:
    """Engine over the stand-in's models; records the token of every received order.

    ``faults`` are the next faults as (name, delay in seconds) pairs.
    """

    def __init__(self, clock, checks_fencing):
        self.clock = clock
        self.models = LoadedModels.from_config(["m:v1"], checks_fencing)
        self.received_tokens = []
        self.faults = []

    async def state(self, url, deadline):
        self._raise_if_next("state")
        models = {"m": list(self.models.versions_by_model["m"])}
        return EngineState(models=models, role=self.models.role)

    async def order(self, url, fence, name, arguments, deadline):
        self._raise_if_next("order lost")
        delay = self.faults.pop(0)[1] if self._is_next("order delayed") else 0.0
        order = {"order": name, **arguments}
        if delay:
            self.clock.callLater(delay, self.deliver_order, fence, order)
        else:
            self.deliver_order(fence, order)
        self._raise_if_next("answer lost")

    def deliver_order(self, fence, order):
        self.received_tokens.append(fence)
        try:
            self.models.check_fencing_token(fence, ignore=False)
        except Rejected:
            return
        self.models.apply({"model": "m"} | order)

    def _is_next(self, name):
        return bool(self.faults) and self.faults[0][0] == name

    def _raise_if_next(self, name):
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
    @pytest.mark.fault(
        "orders", step="late by {late_s} s", fault="{name}, {token_handling}"
    )
    @pytest.mark.parametrize(
        "token_handling", ["checks the token", "ignores the token"]
    )
    @pytest.mark.parametrize("late_s", [0.0, 2.0, 5.0, 9.5, 12.0, 25.0])
    @pytest.mark.parametrize("name", STALE_ORDERS)
    def test_late_order_of_a_former_holder_is_corrected(
        self, clock, token_handling, late_s, name
    ):
        """Guards against a stale order whose effect on a server is not corrected."""
        checks_tokens = token_handling == "checks the token"
        engine = Engine(clock, checks_tokens)
        make_task(clock, engine, 2, checks_tokens)
        clock.callLater(late_s, engine.deliver_order, 1, STALE_ORDERS[name])
        pump(clock, late_s + SETTLED_READ_INTERVAL_S + 2 * MAX_ORDER_DELAY_S + 5)
        assert engine.versions == WANTED_VERSIONS

    @pytest.mark.fault("orders", step="first order", fault="{fault}, {token_handling}")
    @pytest.mark.parametrize(
        "token_handling", ["checks the token", "ignores the token"]
    )
    @pytest.mark.parametrize(
        "fault",
        ["state", "order lost", "answer lost", "order delayed"],
    )
    @pytest.mark.parametrize("repetitions", [1, 3])
    def test_lost_or_delayed_order_is_repeated(
        self, clock, token_handling, fault, repetitions
    ):
        """Guards against a server that keeps the old version after one lost call."""
        checks_tokens = token_handling == "checks the token"
        engine = Engine(clock, checks_tokens)
        engine.faults = [(fault, 4.0)] * repetitions
        make_task(clock, engine, 1, checks_tokens)
        pump(clock, 40)
        assert engine.versions == WANTED_VERSIONS

    @pytest.mark.fault("orders", step="change of holder", fault="{token_handling}")
    @pytest.mark.parametrize(
        "token_handling", ["checks the token", "ignores the token"]
    )
    def test_every_order_carries_its_holders_token(self, clock, token_handling):
        """Guards against orders that look to an engine like those of a later holder."""
        checks_tokens = token_handling == "checks the token"
        engine = Engine(clock, checks_tokens)
        former = make_task(clock, engine, 1, checks_tokens)
        pump(clock, 1)
        former.held = False
        engine.models.versions_by_model["m"] = ["v1"]
        make_task(clock, engine, 2, checks_tokens)
        pump(clock, 40)
        assert engine.received_tokens == sorted(engine.received_tokens)
        assert set(engine.received_tokens) == {1, 2}

    @pytest.mark.fault("orders", step="any", fault="faults and late orders together")
    @settings(derandomize=True, max_examples=80, deadline=None, database=None)
    @given(
        late=st.lists(
            st.tuples(st.floats(0, 20), st.sampled_from(sorted(STALE_ORDERS))),
            max_size=5,
        ),
        faults=st.lists(
            st.tuples(
                st.sampled_from(["state", "order lost", "answer lost"]), st.just(0.0)
            ),
            max_size=5,
        ),
        checks_tokens=st.booleans(),
    )
    def test_every_combination_of_faults_is_corrected(
        self, late, faults, checks_tokens
    ):
        clock = Clock()
        engine = Engine(clock, checks_tokens)
        engine.faults = list(faults)
        for delay, name in late:
            clock.callLater(delay, engine.deliver_order, 1, STALE_ORDERS[name])
        make_task(clock, engine, 2, checks_tokens)
        pump(clock, 20 + SETTLED_READ_INTERVAL_S + 2 * MAX_ORDER_DELAY_S + 15)
        assert engine.versions == WANTED_VERSIONS

    def test_very_late_order_lasts_until_the_next_periodic_read(self, clock):
        """Documents a limit: a very late order lasts until the next periodic read."""
        engine = Engine(clock, checks_fencing=False)
        make_task(clock, engine, 2, checks_fencing=False)
        pump(clock, 40)
        engine.deliver_order(1, STALE_ORDERS["unload of the wanted version"])
        pump(clock, 1)
        assert engine.versions == []
        pump(clock, SETTLED_READ_INTERVAL_S + 2)
        assert engine.versions == WANTED_VERSIONS
