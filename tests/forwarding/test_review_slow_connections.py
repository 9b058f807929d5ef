"""A server that is silent while its connection is being opened."""

from types import SimpleNamespace


class TestOnlyServerThatConnectsSlowly:
    def test_gets_the_request_once(self, harness, caller):
        """Guards against a second send to the server that the first one goes to."""
        harness.servers.remove("i-2", may_have_expired=False)
        connect = harness.reactor.connectTCP
        # A packet of the first connection is lost.
        delays_s = iter([0.3])

        def connect_late(*args, **options):
            harness.reactor.callLater(next(delays_s, 0.0), connect, *args, **options)
            return SimpleNamespace(disconnect=lambda: None)

        harness.reactor.connectTCP = connect_late
        caller.request("/safe/x", headers="X-Chivesaddle-Deadline-Milliseconds: 400")
        for _ in range(34):
            harness.advance(0.01)
        sent = [c for c in harness.connections if c.request_id == "a1"]
        assert len(sent) == 1
