from chivesaddle.fleet import Entry


def change(daemon, entry):
    """Apply a change as the watch of a working daemon does."""
    daemon.replica.merge(entry.revision, [entry])


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
