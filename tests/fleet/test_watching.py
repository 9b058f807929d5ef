import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.objects import (
    ChangeType,
    ObjectChange,
    ObjectChanges,
    ObjectList,
    PlatformUnavailable,
    StoredObject,
)
from chivesaddle.fleet import Replica, StoreContact, Watcher


class Store:
    """Objects of one kind; a watch waits until something changed after a revision."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 1
        self.history = []
        self.waiting = []
        self.calls = 0
        self.is_away = False

    async def list_objects(self, kind, *, deadline):
        self._count()
        return ObjectList(self.revision, {})

    async def wait_for_changes(self, kind, *, after, deadline):
        self._count()
        if not any(change.item.version > after for change in self.history):
            waiter = Deferred()
            self.waiting.append(waiter)
            await waiter
        newer = [c for c in self.history if c.item.version > after]
        return ObjectChanges(self.revision, tuple(newer))

    def change(self, name):
        self.revision += 1
        item = StoredObject("daemons", name, self.revision, {"n": self.revision})
        self.history.append(ObjectChange(ChangeType.PUT, item))
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            waiter.callback(None)

    def _count(self):
        self.calls += 1
        if self.is_away:
            raise PlatformUnavailable("The store is away")


@pytest.fixture
def store(clock):
    return Store(clock)


def watch(store, clock, fleet_size):
    replica = Replica("daemons")
    Watcher(store, clock, replica, StoreContact(clock), lambda: fleet_size).start()
    return replica


def play(clock, seconds):
    for _ in range(round(seconds / 0.01)):
        clock.advance(0.01)


class TestCalls:
    def test_change_is_known_at_once_when_none_came_before_it(self, store, clock):
        replica = watch(store, clock, fleet_size=80)
        play(clock, 1.0)
        store.change("d1")
        assert replica.get("d1") is not None

    def test_registrations_of_a_large_fleet_cost_few_calls(self, store, clock):
        replica = watch(store, clock, fleet_size=80)
        for number in range(80):
            store.change(f"d{number}")
            play(clock, 0.02)
        play(clock, 1.0)
        assert len(replica.live()) == 80
        assert store.calls <= 10

    def test_change_of_a_large_fleet_arrives_well_before_it_is_due(self, store, clock):
        replica = watch(store, clock, fleet_size=500)
        store.change("d1")
        store.change("d2")
        play(clock, 0.6)
        assert replica.get("d2") is not None

    def test_small_fleet_hardly_waits(self, store, clock):
        replica = watch(store, clock, fleet_size=6)
        store.change("d1")
        store.change("d2")
        play(clock, 0.06)
        assert replica.get("d2") is not None


class TestAbsence:
    def test_retries_while_the_store_is_away_are_few(self, store, clock):
        watch(store, clock, fleet_size=6)
        store.is_away = True
        store.change("d1")
        play(clock, 10.0)
        assert 5 <= store.calls <= 30
