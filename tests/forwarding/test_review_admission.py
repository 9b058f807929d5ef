"""Silent requests at the admission queue."""

from .test_silent_servers import (
    EVENT_1,
    MAX_GAP_S,
)


class TestSilentRequestThatWaitsForCapacity:
    PROMPT = "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: {},10"

    def stall(self, harness, seconds):
        """Stall a stream for some seconds while the other server is full."""
        harness.use_model_engines()
        harness.forwarder = harness.make_forwarder(shares_by_account=True)
        harness.servers.get("i-2").ejected_until = 1e9
        harness.caller().request("/resumable/x", "a1", headers=self.PROMPT.format(20))
        harness.connections[0].start_stream(EVENT_1)
        harness.servers.get("i-2").ejected_until = 0.0
        harness.servers.get("i-1").ejected_until = 1e9
        harness.caller().request("/resumable/x", "a2", headers=self.PROMPT.format(80))
        harness.connections[1].start_stream(EVENT_1)
        harness.servers.get("i-1").ejected_until = 0.0
        for number in range(2, round(seconds / 0.1) + 2):
            harness.advance(0.1)
            harness.connections[1].chunk(b"id: %d\ndata: a\n\n" % number)

    def test_is_not_counted_as_refused(self, harness):
        """Guards against alerts and waits for refusals that no caller has seen."""
        self.stall(harness, MAX_GAP_S + 2.0)
        counts = harness.forwarder.admission_counts.by_name
        assert not [name for name in counts if "refused" in name]
