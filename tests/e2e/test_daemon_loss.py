"""Loss of daemons: killed, and asked to end, while streams run through them."""

import pytest

from chivesaddle.tools.processes import wait_until

WAIT_S = 20.0
# Streams run for some seconds, so that they outlive the signals.
TOKENS = 400


def has_left(deployment, gone, others):
    return all(gone not in deployment.addresses(url) for url in others)


class TestKilledDaemon:
    @pytest.mark.parametrize("n", range(3))
    def test_others_serve_and_resume_its_streams(self, deployment, n):
        """Guards against a stream or an address that is lost with its daemon."""
        fleet = deployment.fleet
        gone = fleet.callers[n]
        others = [url for url in fleet.callers if url != gone]
        broken = deployment.stream(gone, f"cut by the loss of daemon {n}", TOKENS)
        beside = deployment.stream(others[0], f"beside the loss of {n}", TOKENS)
        broken.wait_for_tokens(20)
        beside.wait_for_tokens(1)
        fleet.kill(f"daemon-{n + 1}")
        broken.join(WAIT_S)
        assert not broken.complete
        received = len(broken.pieces)
        resumed = deployment.resume(others[1], broken.request_id, received)
        resumed.join(WAIT_S)
        assert (resumed.status, resumed.error) == (200, None)
        broken.pieces += resumed.pieces
        broken.error, broken.complete = resumed.error, resumed.complete
        broken.assert_whole()
        for url in others:
            assert deployment.complete(url, f"after the loss of {n}", 3).is_success
        assert wait_until(lambda: has_left(deployment, gone, others), WAIT_S)
        beside.assert_whole()
        fleet.restart(f"daemon-{n + 1}")
        deployment.wait_until_settled()


class TestTerminatedDaemon:
    def test_it_finishes_its_streams_and_serves_holders_of_old_answers(
        self, deployment
    ):
        """Guards against a shutdown that cuts streams or refuses late callers."""
        fleet = deployment.fleet
        gone, others = fleet.callers[0], fleet.callers[1:]
        assert gone in deployment.addresses(others[0])
        streams = [
            deployment.stream(gone, f"running at the shutdown {n}", TOKENS)
            for n in range(4)
        ]
        for stream in streams:
            stream.wait_for_tokens(1)
        fleet.terminate("daemon-1")
        assert wait_until(lambda: has_left(deployment, gone, others), WAIT_S)
        # The answer taken before the signal is still valid.
        late = deployment.complete(gone, "with an older address answer", 3)
        assert late.is_success
        last = deployment.stream(gone, "started while draining", TOKENS)
        for stream in [*streams, last]:
            stream.assert_whole()
        assert fleet.wait_for_end("daemon-1", WAIT_S) == 0
        fleet.restart("daemon-1")
        deployment.wait_until_settled()
