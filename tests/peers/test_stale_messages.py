from random import Random

import pytest

from chivesaddle.peers.exchange import choose_peers
from chivesaddle.peers.instances import InstanceTable
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.zone_push import PushReceiver, PushSender


@pytest.fixture
def receiver():
    return PushReceiver(InstanceTable(), first_token=100)


@pytest.fixture
def sender():
    table = InstanceTable()
    table.replace(5, {"a": {"role": "daemon"}})
    return PushSender("reader", table)


def build(sender, lease_version=1):
    return sender.build("m", lease_version=lease_version, revision=1, reading_age_s=1.0)


class TestPushes:
    def test_first_push_has_no_known_reading_age(self, sender, receiver):
        assert receiver.reading_age_s(build(sender), now=0.0) is None

    def test_time_in_a_buffer_counts_as_reading_age(self, sender, receiver):
        """Guards against a daemon that serves a stale configuration after a pause."""
        sender.record_reply("m", receiver.reply(now=0.0))
        push = build(sender)
        assert receiver.reading_age_s(push, now=1.0) == 2.0
        assert receiver.reading_age_s(push, now=30.0) == 31.0

    def test_push_of_an_earlier_holder_is_ignored(self, receiver, sender):
        assert receiver.receive(build(sender, lease_version=2), now=0.0)
        assert not receiver.receive(build(sender, lease_version=1), now=0.0)

    def test_a_member_without_a_list_is_sent_the_complete_one(self, sender, receiver):
        assert len(build(sender).instances) == 0
        sender.record_reply("m", receiver.reply(now=0.0))
        receiver.receive(build(sender), now=0.0)
        assert receiver.reply(now=0.0).instances_revision == 5

    def test_a_new_reader_sends_only_differences(self, sender, receiver):
        """Guards against sending megabytes to each member when the reader changes."""
        table = InstanceTable()
        table.replace(3, {"a": {"role": "daemon"}})
        table.replace(9, {"a": {"role": "daemon"}, "b": {"role": "store"}})
        successor = PushSender("reader-2", table)
        sender.record_reply("m", receiver.reply(now=0.0))
        receiver.receive(build(sender), now=0.0)
        successor.record_reply("m", receiver.reply(now=0.0))
        assert [
            instance.name for instance in build(successor, lease_version=2).instances
        ] == ["b"]

    def test_older_list_is_not_applied(self, receiver):
        value = pb.Instance(name="a", value=b"{}")
        new = pb.ZonePush(lease_version=1, instances_revision=9, instances=[value])
        old = pb.ZonePush(lease_version=1, instances_revision=8)
        receiver.receive(new, now=0.0)
        receiver.receive(old, now=0.0)
        assert receiver.reply(now=0.0).instances_revision == 9


class TestExchange:
    def test_requests_do_not_count_for_freshness(self, fleet):
        """Guards against a request that was buffered while the receiver was paused."""
        receiver, caller = fleet.daemons[4], fleet.daemons[0]
        state = caller.peers._exchange.build(fleet.clock.seconds())
        receiver.freshness.read_at = None
        receiver.freshness.last_contact_at.clear()
        fleet.clock.rightNow += 60
        receiver.peers._exchange.receive(state, fleet.clock.seconds())
        assert receiver.freshness.read_at is None
        assert receiver.freshness.last_contact_at == {}

    def test_age_of_a_response_includes_the_duration_of_the_call(self, fleet):
        caller, responder = fleet.daemons[4], fleet.daemons[0]
        fleet.advance(10)
        now = fleet.clock.seconds()
        response = responder.peers._exchange.build(now, is_response=True)
        caller.freshness.read_at = None
        caller.peers._exchange.receive_response(response, sent_at=now - 5, now=now)
        assert caller.freshness.reading_age(now) >= 5

    def test_reading_at_an_unknown_revision_counts_only_after_the_changes(self, fleet):
        """Guards against confirming a revision that is not in effect on this daemon."""
        caller = fleet.daemons[4]
        now = fleet.clock.seconds()
        response = pb.PeerState(
            sender="daemon-0", incarnation=1, revision=99, reading_age_ms=0
        )
        caller.freshness.read_at = None
        assert caller.peers._exchange.receive_response(response, sent_at=now, now=now)
        assert caller.freshness.read_at is None


class TestChoosePeers:
    def test_chosen_peers_include_an_unreachable_one(self, fleet):
        """Guards against a failure to detect the end of a network partition."""
        fleet.kill(5)
        fleet.advance(10)
        membership = fleet.daemons[0].peers.membership
        chosen = choose_peers(membership, fleet.clock.seconds(), Random(1))
        assert "daemon-5" in [peer.id for peer in chosen]
