import pytest
from twisted.internet.defer import Deferred, fail, succeed

from chivesaddle.core.aio import start
from chivesaddle.peers import Channels, PeerUnreachable
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.traffic import TrafficMeter


def respond_empty():
    return succeed(pb.Empty())


class FakeChannel:
    """Connection that gives all calls the same response; with None it gives none."""

    def __init__(self, response):
        self.response = response
        self.closed = False
        self._pending_calls = []

    def call(self, method, message):
        if self.response is not None:
            return self.response()
        self._pending_calls.append(Deferred())
        return self._pending_calls[-1]

    def close(self):
        self.closed = True
        for pending in self._pending_calls:
            pending.cancel()


@pytest.fixture
def opened_channels():
    """Channels in the order of opening."""
    return []


@pytest.fixture
def responses():
    """Responses of the channels in the order of opening."""
    return [None, respond_empty]


@pytest.fixture
def channels(clock, opened_channels, responses):
    def open_channel(address):
        opened_channels.append(FakeChannel(responses[len(opened_channels)]))
        return opened_channels[-1]

    return Channels(clock, TrafficMeter(), open_channel)


def call(channels, deadline=1.0):
    return start(channels.call("a:1", "Announce", pb.Announcement(), deadline=deadline))


class TestChannels:
    @pytest.mark.fault("silence", step="peer connection")
    def test_a_silent_connection_is_replaced_after_a_missed_deadline(
        self, channels, clock, opened_channels
    ):
        """Guards against a peer that stays unreachable while new connections work."""
        first = call(channels)
        clock.advance(1)
        with pytest.raises(PeerUnreachable):
            first.result.raiseException()
        assert opened_channels[0].closed
        assert call(channels, deadline=2.0).result == pb.Empty()
        assert len(opened_channels) == 2

    def test_a_failed_connection_is_replaced(
        self, channels, opened_channels, responses
    ):
        responses[0] = lambda: fail(OSError("reset"))
        with pytest.raises(PeerUnreachable):
            call(channels).result.raiseException()
        assert call(channels).result == pb.Empty()

    def test_calls_share_a_working_connection(
        self, channels, opened_channels, responses
    ):
        responses[0] = respond_empty
        call(channels)
        call(channels)
        assert len(opened_channels) == 1

    @pytest.mark.fault("silence", step="peer connection")
    def test_two_missed_deadlines_replace_the_connection_once(
        self, channels, clock, opened_channels, responses
    ):
        """Guards against closing the new connection when an old call fails."""
        call(channels, deadline=1.0).addErrback(lambda failure: None)
        late = call(channels, deadline=2.0).addErrback(lambda failure: None)
        clock.advance(1)
        call(channels, deadline=3.0)
        clock.advance(1)
        assert late.called
        assert not opened_channels[1].closed

    def test_a_call_ended_by_the_replacement_is_unreachable_not_cancelled(
        self, channels, clock
    ):
        """Guards against cancelling a round when another call closes its connection."""
        other = call(channels, deadline=9.0)
        call(channels, deadline=1.0).addErrback(lambda failure: None)
        clock.advance(1)
        with pytest.raises(PeerUnreachable):
            other.result.raiseException()

    def test_channels_of_unknown_daemons_are_closed(
        self, channels, opened_channels, responses
    ):
        responses[0] = respond_empty
        call(channels)
        channels.close_except({"b:1"})
        assert opened_channels[0].closed
