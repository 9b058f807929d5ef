"""Streams whose server is silent while the daemon shuts down."""

from chivesaddle.platform import decode_configuration

from .conftest import CONFIGURATION

EVENT = b"id: %d\ndata: a\n\n"
EVENTS = 25
EVENT_INTERVAL_S = 0.1
# From SIGTERM: until when streams are accepted by their expected duration, and the end.
ESTIMATES_S, END_S = 2.5, 7.6
TARGET_MS = GAP_MS = 400
# Shorter than the eight pauses for which callers of the route wait.
SILENCE_S = 3.0


class TestStreamThatIsAcceptedDuringShutdown:
    def test_ends_before_the_daemon_though_its_server_is_silent(self, harness):
        """Guards against an expected duration with less silence than callers wait."""
        routes = [
            {
                **r,
                "target_latency_ms": TARGET_MS,
                "target_gap_ms": GAP_MS,
                "timeout_ms": 12_000,
            }
            for r in CONFIGURATION["routes"]
            if r["name"] == "resumable"
        ]
        harness.serving_state.put_configuration(
            decode_configuration({**CONFIGURATION, "version": 4, "routes": routes})
        )
        harness.servers.remove("i-2", may_have_expired=False)
        for number in range(16):
            caller = harness.caller()
            caller.request("/resumable/x", f"b{number}")
            self.stream(harness, f"b{number}", 0.0)
            assert caller.status == 200
        signalled_at = harness.reactor.seconds()
        harness.forwarder.begin_shutdown(
            signalled_at + END_S, signalled_at + ESTIMATES_S
        )
        harness.advance(ESTIMATES_S - 0.1)
        caller = harness.caller()
        caller.request("/resumable/x", "a1")
        if caller.status == 503:
            return
        self.stream(harness, "a1", SILENCE_S, signalled_at + END_S)
        assert caller.received().endswith(b"0\r\n\r\n")

    def stream(self, harness, request_id, silence_s, ends_at=float("inf")):
        server = harness.connections[-1]
        server.start_stream(request_id=request_id)
        for number in range(1, EVENTS + 1):
            pause_s = EVENT_INTERVAL_S + (silence_s if number == 5 else 0.0)
            for _ in range(round(pause_s / 0.1)):
                harness.advance(0.1)
                if harness.reactor.seconds() >= ends_at:
                    harness.forwarder.end_requests()
                    return
            server.chunk(EVENT % number)
        server.end_stream()
        harness.advance()
