import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import start
from chivesaddle.fleet import Member, StoreReachability
from chivesaddle.placement import ServerTable, SoftwareHistory
from chivesaddle.serving.notices import OriginQuestion, VersionsAnswer
from chivesaddle.serving.software_view import SoftwareView
from chivesaddle.serving.version_questions import VersionQuestions

SERVICE = "app"


class Members:
    """Members and working set of a small fleet."""

    is_whole_fleet = True

    def __init__(self):
        self.own = Member("d0", "x", "z", "1.1.1.1:1", "1.1.1.1:2")
        self.registered = [Member("d1", "x", "z", "1.1.1.2:1", "1.1.1.2:2")]
        self.serving = self.registered

    def peers(self):
        return self.registered

    def serving_peers(self):
        return self.serving

    def has_left(self, daemon):
        return False


class Reader:
    """Reads the store, which answers at once, fails, or is silent (None)."""

    def __init__(self):
        self.result = True

    def read(self):
        reading = Deferred()
        if self.result is not None:
            reading.callback(self.result)
        return reading


class Datagrams:
    def __init__(self):
        self.sent = []
        self.handlers = {}

    def add_handler(self, message_type, handle):
        self.handlers[message_type] = handle

    def send(self, message, receivers):
        self.sent += [(message, member.id) for member in receivers]


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
def reader():
    return Reader()


@pytest.fixture
def records():
    """Whether the daemon knows what was recorded."""
    return [True]


@pytest.fixture
def datagrams():
    return Datagrams()


@pytest.fixture
def view(clock, members, software, reachability, reader, records, datagrams):
    view = SoftwareView(
        clock,
        members,
        software,
        reachability,
        reader,
        lambda: records[0],
        lambda: True,
    )
    view.questions = VersionQuestions(
        clock,
        members,
        members,
        datagrams,
        software,
        reader,
        view.knows_history,
        lambda: True,
    )
    return view


@pytest.fixture
def confirm(clock, view):
    """Return a function that returns whether the known versions are confirmed."""

    def confirm_versions():
        results = []
        start(view.confirm(SERVICE, 1)).addBoth(results.append)
        clock.pump([0.05] * 20)
        return results == [True]

    return confirm_versions


def answer_to(message, daemon="d1", versions=(), has_tried=True, is_confirmed=True):
    return VersionsAnswer(
        daemon, message.number, list(versions), has_tried, is_confirmed
    )


def test_is_confirmed_after_the_first_exchange_with_a_peer(confirm, software):
    assert not confirm()
    software.apply_remote([])
    assert confirm()


def test_is_not_confirmed_without_an_exchange_while_peers_run(confirm, clock):
    clock.advance(60)
    assert not confirm()


@pytest.mark.parametrize("result", [False, None])
def test_daemon_that_is_cut_off_confirms_nothing(
    confirm, software, reachability, reader, result, clock
):
    """Guards against trust in what was heard a moment ago."""
    software.apply_remote([])
    reachability.record_success(clock.seconds())
    reader.result = result
    assert not confirm()


def test_only_daemon_left_confirms_while_the_store_answers(
    confirm, clock, members, reader
):
    members.serving = []
    clock.advance(4)
    reader.result = False
    assert not confirm()
    reader.result = True
    assert confirm()


def test_fleet_of_one_confirms_while_the_store_answers(confirm, members, reader):
    members.registered = members.serving = []
    assert confirm()
    reader.result = False
    assert not confirm()


def test_is_not_confirmed_without_the_records_in_the_store(confirm, software, records):
    """Guards against streams that are joined after all daemons have lost power."""
    records[0] = False
    software.apply_remote([])
    assert not confirm()
    records[0] = True
    assert confirm()


def test_peer_that_reads_the_store_confirms(clock, view, software, reader, datagrams):
    software.apply_remote([])
    reader.result = False
    results = []
    start(view.confirm(SERVICE, 1)).addBoth(results.append)
    message, receiver = datagrams.sent[-1]
    assert receiver == "d1" and message.reads_store and message.service == SERVICE
    datagrams.handlers[VersionsAnswer](answer_to(message))
    assert results == [True]


def test_silent_peer_leaves_the_answer_of_the_store_after_a_tenth_of_a_second(
    clock, view, software, reader
):
    """Guards against requests that wait for daemons of an old build."""
    software.apply_remote([])
    results = []
    start(view.confirm(SERVICE, 1)).addBoth(results.append)
    assert results == []
    clock.advance(0.1)
    assert results == [True]


def test_list_that_was_read_without_its_history_needs_a_peer(
    clock, view, confirm, software, datagrams
):
    """Guards against a version that came and left while this daemon was cut off."""
    software.apply_remote([])
    view.record_gap()
    assert not confirm()
    results = []
    start(view.confirm(SERVICE, 1)).addBoth(results.append)
    message, _ = datagrams.sent[-1]
    datagrams.handlers[VersionsAnswer](answer_to(message, has_tried=False))
    assert results == [True]
    assert confirm()


def test_question_of_a_daemon_that_is_not_registered_is_not_answered(
    view, software, datagrams
):
    software.apply_remote([])
    view.questions.answer(OriginQuestion("d1", 7, 3, SERVICE))
    assert [type(message) for message, _ in datagrams.sent] == [VersionsAnswer]
    view.questions.answer(OriginQuestion("stranger", 7, 3, SERVICE))
    assert len(datagrams.sent) == 1


def test_peer_that_does_not_know_which_versions_have_left_does_not_answer(
    view, datagrams
):
    view.questions.answer(OriginQuestion("d1", 7, 3, SERVICE))
    assert datagrams.sent == []


@pytest.mark.parametrize(("result", "is_confirmed"), [(True, True), (False, False)])
def test_answer_says_whether_the_store_was_read(
    view, software, reader, datagrams, result, is_confirmed
):
    software.apply_remote([])
    reader.result = result
    view.questions.answer(OriginQuestion("d1", 7, 3, SERVICE, True))
    message, _ = datagrams.sent[-1]
    assert (message.has_tried, message.is_confirmed) == (True, is_confirmed)
