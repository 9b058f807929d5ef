"""Objects that requests leave to the garbage collector."""

import gc

REQUESTS = 20


class TestRequestThatWasAnswered:
    def test_leaves_no_reference_cycle(self, harness, caller):
        """Guards against memory and pauses: daemons collect cycles rarely."""
        self.request(harness, caller, "warm")
        # Finalizers of what earlier tests left create garbage of their own.
        while gc.collect():
            pass
        gc.disable()
        try:
            self.request(harness, caller, "a")
            unreachable = gc.collect()
        finally:
            gc.enable()
        assert unreachable < REQUESTS

    def request(self, harness, caller, prefix):
        for number in range(REQUESTS):
            request_id = f"{prefix}-{number}"
            caller.request("/safe/x", request_id)
            harness.connections[0].respond(request_id=request_id)
            harness.advance(0.001)
