"""The platform's store returns from a copy that is some seconds old."""

import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock

from chivesaddle.core.ids import BackendServerId, ModelId
from chivesaddle.core.serving_model import ServerState
from chivesaddle.fleet.members import MEMBERS_KIND
from chivesaddle.platform import CONFIG_KIND, SERVERS_KIND, VERSIONS_KIND
from chivesaddle.serving.app import ServingDaemon
from chivesaddle.serving.documents import REAPPEARANCE_S
from chivesaddle.serving.settings import ServingSettings

from .conftest import StoreFleet
from .test_settings import VALID

SERVER = BackendServerId("s1")
MODEL = ModelId("m")


def states_of(fleet, server=SERVER):
    tracked = [daemon.servers.get(server) for daemon in fleet.daemons]
    return {None if t is None else t.entry.state for t in tracked}


def versions_of(fleet):
    return {daemon.configuration_version for daemon in fleet.daemons}


@pytest.fixture(params=[3, 80])
def fleet(request, store_fleet):
    return store_fleet(request.param)


class TestConfiguration:
    def test_lost_configuration_stays_in_force(self, fleet):
        copied = fleet.api.take_copy()
        fleet.configure(2)
        fleet.advance(3)
        fleet.go_away(1)
        fleet.api.restore(copied)
        fleet.advance(8)
        assert versions_of(fleet) == {2}

    def test_daemon_that_starts_afterwards_gets_it_from_its_peers(self, fleet):
        copied = fleet.api.take_copy()
        fleet.configure(2)
        fleet.advance(3)
        fleet.api.restore(copied)
        fleet.advance(3)
        late = type(fleet.daemons[0])(fleet, fleet.daemons[-1].own)
        fleet.daemons[-1].is_down = True
        fleet.daemons[-1] = fleet.by_address[late.own.peers] = late
        late.start()
        fleet.advance(5)
        assert late.configuration_version == 2

    def test_next_configuration_of_the_operator_is_in_force_everywhere(self, fleet):
        """Its revision is one that the lost configuration had before."""
        copied = fleet.api.take_copy()
        fleet.configure(2)
        fleet.advance(3)
        fleet.api.restore(copied)
        fleet.configure(3)
        fleet.advance(3)
        assert versions_of(fleet) == {3}

    def test_configuration_is_missing_from_the_copy(self, fleet):
        copied = fleet.api.take_copy()
        copied.objects.pop((CONFIG_KIND, "main"))
        fleet.api.restore(copied)
        fleet.advance(8)
        assert versions_of(fleet) == {1}

    def test_named_weights_do_not_go_back(self, fleet):
        fleet.write(VERSIONS_KIND, "m", {"model": "m", "version": 1})
        fleet.advance(2)
        copied = fleet.api.take_copy()
        fleet.write(VERSIONS_KIND, "m", {"model": "m", "version": 2})
        fleet.advance(3)
        fleet.api.restore(copied)
        fleet.advance(8)
        targets = {d.serving_state.target_version(MODEL) for d in fleet.daemons}
        assert targets == {2}

    def test_two_returns_in_a_row(self, fleet):
        copied = fleet.api.take_copy()
        fleet.configure(2)
        fleet.advance(2)
        fleet.api.restore(copied)
        fleet.advance(0.5)
        fleet.configure(3)
        fleet.advance(2)
        fleet.api.restore(copied)
        fleet.advance(6)
        assert versions_of(fleet) == {3}
        fleet.configure(4)
        fleet.advance(3)
        assert versions_of(fleet) == {4}

    def test_daemons_that_notice_later_do_not_undo_it(self, fleet):
        """Some daemons still reach only peers of the era before."""
        copied = fleet.api.take_copy()
        fleet.configure(2)
        fleet.advance(3)
        for daemon in fleet.daemons[1:]:
            daemon.client.is_cut = True
        fleet.api.restore(copied)
        fleet.configure(3)
        fleet.advance(3)
        assert versions_of(fleet) == {3}
        for daemon in fleet.daemons:
            daemon.client.is_cut = False
        fleet.advance(3)
        assert versions_of(fleet) == {3}


class TestServers:
    def test_draining_server_gets_no_work_from_its_older_entry(self, fleet):
        fleet.put_server("s1")
        fleet.advance(2)
        copied = fleet.api.take_copy()
        fleet.put_server("s1", "draining")
        fleet.advance(3)
        fleet.api.restore(copied)
        seen = set()
        fleet.advance(3, lambda: seen.update(states_of(fleet)))
        assert seen == {ServerState.DRAINING}

    def test_ended_server_is_not_used_while_its_older_entry_expires(self, fleet):
        fleet.put_server("s1")
        fleet.advance(2)
        copied = fleet.api.take_copy()
        fleet.delete(SERVERS_KIND, "s1")
        fleet.advance(5)
        assert states_of(fleet) == {None}
        fleet.api.restore(copied)
        seen = set()
        fleet.advance(3.3, lambda: seen.update(states_of(fleet)))
        fleet.delete(SERVERS_KIND, "s1")
        fleet.advance(6, lambda: seen.update(states_of(fleet)))
        assert seen == {None}

    def test_server_that_still_runs_after_that_is_used_again(self, fleet):
        fleet.put_server("s1")
        fleet.advance(2)
        copied = fleet.api.take_copy()
        fleet.delete(SERVERS_KIND, "s1")
        fleet.advance(5)
        fleet.api.restore(copied)
        fleet.advance(8)
        assert states_of(fleet) == {ServerState.READY}

    def test_server_whose_entry_was_lost_stays_in_use_until_it_writes_again(
        self, fleet
    ):
        copied = fleet.api.take_copy()
        fleet.put_server("s1")
        fleet.advance(3)
        fleet.api.restore(copied)
        seen = set()
        fleet.advance(1, lambda: seen.update(states_of(fleet)))
        fleet.put_server("s1")
        fleet.advance(6, lambda: seen.update(states_of(fleet)))
        assert seen == {ServerState.READY}

    def test_server_whose_entry_is_not_written_again_is_gone(self, fleet):
        copied = fleet.api.take_copy()
        fleet.put_server("s1")
        fleet.advance(3)
        fleet.api.restore(copied)
        fleet.advance(6)
        assert states_of(fleet) == {None}

    def test_restarted_server_is_used_at_once(self, fleet):
        fleet.put_server("s1")
        fleet.advance(2)
        copied = fleet.api.take_copy()
        fleet.put_server("s1", "draining")
        fleet.advance(3)
        fleet.api.restore(copied)
        fleet.advance(0.5)
        fleet.put_server("s1", born=2)
        fleet.advance(2)
        assert states_of(fleet) == {ServerState.READY}


class TestMembers:
    def test_daemons_stay_known_and_register_again(self, fleet, clock):
        copied = fleet.api.take_copy()
        fleet.api.restore(copied, [MEMBERS_KIND])
        fewest = []
        fleet.advance(
            8, lambda: fewest.append(min(d.members.fleet_size() for d in fleet.daemons))
        )
        assert min(fewest) == len(fleet.daemons)
        registered = [key for key in fleet.api._objects if key[0] == MEMBERS_KIND]
        assert len(registered) == len(fleet.daemons)

    def test_calls_after_the_return_are_spread(self, store_fleet):
        """80 daemons must not all list and write at once."""
        fleet = store_fleet(80)
        copied = fleet.api.take_copy()
        before = sum(fleet.api.calls.values())
        fleet.api.restore(copied, [MEMBERS_KIND])
        fleet.advance(5)
        # One write of each daemon, the lists and watches of the working daemons, and a
        # list and a watch of configurations and of weight versions by each other one.
        assert sum(fleet.api.calls.values()) - before < 80 + 6 * 4 * 12 + 74 * 2 * 2


class StoreDrill(RuleBasedStateMachine):
    """Three daemons over a store that goes away, comes back older, and refuses some."""

    @initialize()
    def start_fleet(self):
        self.fleet = StoreFleet(Clock(), 3)
        self.copied = self.fleet.api.take_copy()
        self.acknowledged = 1
        self.in_force = [0, 0, 0]
        self.fleet.configure(1)
        self.fleet.start()
        self.fleet.advance(4)
        self.is_draining = False

    @rule()
    def copy(self):
        self.copied = self.fleet.api.take_copy()

    @rule(is_registration_lost=st.booleans())
    def restore(self, is_registration_lost):
        kinds = [MEMBERS_KIND] if is_registration_lost else []
        self.fleet.api.restore(self.copied, kinds)

    @rule(daemon=st.integers(0, 2), is_cut=st.booleans())
    def cut(self, daemon, is_cut):
        self.fleet.daemons[daemon].client.is_cut = is_cut

    @rule(is_away=st.booleans())
    def go_away(self, is_away):
        self.fleet.api.faults.outage = is_away

    @rule(step=st.integers(1, 3))
    def configure(self, step):
        if not self.fleet.api.faults.outage:
            self.acknowledged += step
            self.fleet.configure(self.acknowledged)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @invariant()
    def no_daemon_goes_back(self):
        if not hasattr(self, "fleet"):
            return
        for number, daemon in enumerate(self.fleet.daemons):
            version = daemon.configuration_version or 0
            assert version >= self.in_force[number]
            self.in_force[number] = version

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.api.faults.outage = False
        for daemon in self.fleet.daemons:
            daemon.client.is_cut = False
        self.fleet.advance(3)
        # The operator writes again what it wrote.
        self.fleet.configure(self.acknowledged)
        self.fleet.advance(4)
        assert versions_of(self.fleet) == {self.acknowledged}
        assert len({d.era.current for d in self.fleet.daemons}) == 1
        assert min(d.members.fleet_size() for d in self.fleet.daemons) == 3


TestStoreDrill = StoreDrill.TestCase
TestStoreDrill.settings = settings(
    max_examples=40,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    database=None,
)


def test_daemon_that_starts_afterwards_does_not_trust_the_list_of_servers(tmp_path):
    """Guards against a copy without a new software version that is taken for whole."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(VALID))
    reactor = MemoryReactorClock()
    daemon = ServingDaemon(ServingSettings.from_config(path), reactor)
    assert daemon._lists_all_servers()
    daemon._era.observe(1)
    assert not daemon._lists_all_servers()
    reactor.advance(REAPPEARANCE_S)
    assert daemon._lists_all_servers()
