import pytest

from chivesaddle.fleet import StoreReachability
from chivesaddle.placement import ServerTable, SoftwareHistory
from chivesaddle.serving.software_view import SoftwareView


class Members:
    def __init__(self):
        self.registered = ["d1"]
        self.serving = ["d1"]

    def peers(self):
        return self.registered

    def serving_peers(self):
        return self.serving


@pytest.fixture
def members():
    return Members()


@pytest.fixture
def software(clock):
    return SoftwareHistory(clock, ServerTable(clock))


@pytest.fixture
def reachability(clock):
    return StoreReachability(clock)


@pytest.fixture
def records():
    """Whether the daemon knows what was recorded."""
    return [True]


@pytest.fixture
def view(clock, members, software, reachability, records):
    return SoftwareView(clock, members, software, reachability, lambda: records[0])


def test_is_current_after_the_first_exchange_with_a_peer(view, software):
    assert not view.is_current()
    software.apply_remote([])
    assert view.is_current()


def test_is_not_current_without_an_exchange_while_peers_run(view, clock):
    clock.advance(60)
    assert not view.is_current()


def test_of_a_daemon_that_is_cut_off_is_not_current(
    view, clock, members, software, reachability
):
    software.apply_remote([])
    reachability.record_success()
    members.serving = []
    clock.advance(4)
    assert not view.is_current()


def test_of_the_only_daemon_left_is_current_while_the_store_answers(
    view, clock, members, reachability
):
    members.serving = []
    clock.advance(4)
    assert not view.is_current()
    reachability.record_success()
    assert view.is_current()


def test_of_a_fleet_of_one_is_current(view, members):
    members.registered = members.serving = []
    assert view.is_current()


def test_is_not_current_without_the_records_in_the_store(view, software, records):
    """Guards against streams that are joined after all daemons have lost power."""
    records[0] = False
    software.apply_remote([])
    assert not view.is_current()
    records[0] = True
    assert view.is_current()
