import msgspec
import pytest

from chivesaddle.core.objects import UNREADABLE_VALUE
from chivesaddle.fleet import Entry, Update
from chivesaddle.fleet.datagrams import MAX_DATAGRAM_BYTES

from .conftest import change


class TestUpdates:
    def test_change_seen_by_the_working_daemons_reaches_all_others(self, network):
        names = ["z0-00", "z0-01", "z1-00", "z1-01", "z2-00", "z2-01"]
        for name in names:
            change(network.daemons[name], Entry("main", 5, {"version": 1}))
            change(network.daemons[name], Entry("main", 6, {"version": 2}))
        network.advance(0.1)
        assert all(
            daemon.replica.get("main") is not None
            for daemon in network.daemons.values()
        )

    def test_each_change_is_sent_by_three_daemons(self, network):
        """A lost datagram must not delay a change, nor every daemon send to all."""
        names = ["z0-00", "z0-01", "z1-00", "z1-01", "z2-00", "z2-01"]
        before = sum(network.daemons[name].datagrams.sent for name in names)
        for name in names:
            network.daemons[name].replica.applied_revision = 4
            change(network.daemons[name], Entry("main", 5, {"version": 1}))
        network.clock.advance(0.05)
        sent = sum(network.daemons[name].datagrams.sent for name in names) - before
        assert sent == 3 * 72

    def test_deletion_reaches_the_others(self, network):
        worker, other = network.daemons["z0-00"], network.daemons["z2-20"]
        for daemon in network.daemons.values():
            change(daemon, Entry("s1", 4, {"state": "ready"}))
        for name in ("z0-00", "z0-01", "z1-00", "z1-01", "z2-00", "z2-01"):
            change(network.daemons[name], Entry("s1", 5))
        network.advance(0.1)
        assert worker.replica.get("s1") is None
        assert other.replica.get("s1") is None

    def test_large_object_is_asked_for_and_not_taken_for_deleted(self, network):
        document = {"routes": ["r" * 90] * 90}
        for daemon in network.daemons.values():
            change(daemon, Entry("main", 4, {"version": 1}))
        for name in ("z0-00", "z0-01", "z1-00", "z1-01", "z2-00", "z2-01"):
            change(network.daemons[name], Entry("main", 5, document))
        network.advance(0.1)
        other = network.daemons["z2-20"]
        assert other.replica.get("main").value == {"version": 1}
        assert other.pulls

    def test_update_does_not_claim_that_all_older_changes_are_known(self, network):
        """Guards against a lost datagram that no exchange would make up for."""
        for name in ("z0-00", "z0-01", "z1-00", "z1-01", "z2-00", "z2-01"):
            network.daemons[name].replica.applied_revision = 4
            change(network.daemons[name], Entry("main", 9, {"version": 2}))
        network.advance(0.1)
        assert network.daemons["z2-20"].replica.applied_revision == 0


def nested(levels):
    value = 1
    for _ in range(levels):
        value = [value]
    return value


class TestUnusualObjects:
    """Guards against one object that keeps the changes beside it from being sent."""

    @pytest.mark.parametrize(
        "odd",
        [
            Entry("odd", 6, {"born": 10**30}),
            Entry("odd", 6, nested(2_000)),
            Entry("x" * 1_000, 6, {}),
            Entry("\U0001f600" * 1_000, 6, "x" * 1_000_000),
            Entry("x" * 1_000, 6),
        ],
    )
    def test_do_not_keep_others_from_the_same_batch(self, network, odd):
        for name in ("z0-00", "z0-01", "z1-00", "z1-01", "z2-00", "z2-01"):
            network.daemons[name].replica.applied_revision = 4
            change(network.daemons[name], odd)
            change(network.daemons[name], Entry("main", 7, {"version": 2}))
        sizes = []
        deliver = network.deliver

        def measure(sender, receiver, message):
            if isinstance(message, Update):
                sizes.append(len(msgspec.msgpack.encode(message)))
            deliver(sender, receiver, message)

        network.deliver = measure
        network.advance(0.1)
        other = network.daemons["z2-20"]
        assert other.replica.get("main").value == {"version": 2}
        assert other.replica.get(odd.name) is None
        assert max(sizes) <= MAX_DATAGRAM_BYTES

    def test_of_a_peer_that_nest_deeper_than_any_document_are_unreadable(self, network):
        daemon = network.daemons["z2-20"]
        entries = [Entry("odd", 6, nested(500)), Entry("main", 7, nested(50))]
        daemon.updates.handle(Update("z0-00:81", "config", entries))
        assert daemon.replica.get("odd").value == UNREADABLE_VALUE
        assert daemon.replica.get("main").value == nested(50)
