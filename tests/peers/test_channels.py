import pytest
from twisted.internet.defer import Deferred, fail, succeed

from chivesaddle.core.aio import start
from chivesaddle.peers import Channels, PeerUnreachable
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.traffic import Traffic


def answer_empty():
    return succeed(pb.Empty())


class FakeChannel:
    """Connection with one answer for all calls; None is silence."""

    def __init__(self, answer):
        self.answer = answer
        self.closed = False
        self._waiting = []

    def call(self, method, message):
        if self.answer is not None:
            return self.answer()
        self._waiting.append(Deferred())
        return self._waiting[-1]

    def close(self):
        self.closed = True
        for waiting in self._waiting:
            waiting.cancel()


@pytest.fixture
def opened():
    """Channels in the order in which they were opened."""
    return []


@pytest.fixture
def answers():
    """Answers of the channels to be opened."""
    return [None, answer_empty]


@pytest.fixture
def channels(clock, opened, answers):
    def open_channel(address):
        opened.append(FakeChannel(answers[len(opened)]))
        return opened[-1]

    return Channels(clock, Traffic(), open_channel)


def call(channels, deadline=1.0):
    return start(channels.call("a:1", "Announce", pb.Announcement(), deadline=deadline))


class TestChannels:
    @pytest.mark.fault("silence", step="peer connection")
    def test_a_silent_connection_is_replaced_after_a_missed_deadline(
        self, channels, clock, opened
    ):
        """Guards against a peer that stays lost while new connections work."""
        first = call(channels)
        clock.advance(1)
        with pytest.raises(PeerUnreachable):
            first.result.raiseException()
        assert opened[0].closed
        assert call(channels, deadline=2.0).result == pb.Empty()
        assert len(opened) == 2

    def test_a_failed_connection_is_replaced(self, channels, opened, answers):
        answers[0] = lambda: fail(OSError("reset"))
        with pytest.raises(PeerUnreachable):
            call(channels).result.raiseException()
        assert call(channels).result == pb.Empty()

    def test_calls_share_a_working_connection(self, channels, opened, answers):
        answers[0] = answer_empty
        call(channels)
        call(channels)
        assert len(opened) == 1

    @pytest.mark.fault("silence", step="peer connection")
    def test_two_missed_deadlines_replace_the_connection_once(
        self, channels, clock, opened, answers
    ):
        """Guards against closing the new connection for a call on the old one."""
        call(channels, deadline=1.0).addErrback(lambda failure: None)
        late = call(channels, deadline=2.0).addErrback(lambda failure: None)
        clock.advance(1)
        call(channels, deadline=3.0)
        clock.advance(1)
        assert late.called
        assert not opened[1].closed

    def test_a_call_ended_by_the_replacement_is_unreachable_not_cancelled(
        self, channels, clock
    ):
        """Guards against a cancelled round when another call lost the connection."""
        other = call(channels, deadline=9.0)
        call(channels, deadline=1.0).addErrback(lambda failure: None)
        clock.advance(1)
        with pytest.raises(PeerUnreachable):
            other.result.raiseException()

    def test_channels_of_unknown_daemons_are_closed(self, channels, opened, answers):
        answers[0] = answer_empty
        call(channels)
        channels.keep_only({"b:1"})
        assert opened[0].closed
