"""Loss of daemons: killed, and asked to end, while streams run through them."""

import pytest

from chivesaddle.tools.processes import wait_until

# The fourth daemon is told to end; the others are killed while it leaves.
DAEMONS = 4
WAIT_S = 20.0
# Streams run for some seconds, so that they outlive the signals.
TOKENS = 250


def has_left(deployment, gone, others):
    return all(gone not in deployment.addresses(url) for url in others)


@pytest.fixture(scope="module")
def leaving_streams(deployment):
    """Streams through the fourth daemon, which is told to end while they run."""
    fleet = deployment.fleet
    gone, others = fleet.callers[3], fleet.callers[:3]
    assert gone in deployment.addresses(others[0])
    streams = [
        deployment.stream(gone, f"running at the shutdown {n}", TOKENS)
        for n in range(4)
    ]
    for stream in streams:
        stream.wait_for_tokens(1)
    fleet.terminate("daemon-4")
    assert wait_until(lambda: has_left(deployment, gone, others), WAIT_S)
    # The address answer taken before the signal is still valid.
    streams.append(deployment.stream(gone, "started while leaving", TOKENS))
    return streams


class TestTerminatedDaemon:
    """Guards against a shutdown that cuts streams or refuses late callers."""

    def test_it_finishes_its_streams_and_serves_holders_of_old_answers(
        self, deployment, leaving_streams
    ):
        for stream in leaving_streams:
            stream.assert_whole()
        gone = deployment.fleet.callers[3]
        assert deployment.complete(gone, "with an older answer", 3).is_success


class TestKilledDaemon:
    @pytest.mark.parametrize("n", range(3))
    def test_others_serve_and_resume_its_streams(self, deployment, n):
        """Guards against a stream or an address that is lost with its daemon."""
        fleet = deployment.fleet
        remaining = fleet.callers[:3]
        gone = remaining[n]
        others = [url for url in remaining if url != gone]
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
        deployment.wait_until_settled(remaining)


class TestEndOfTerminatedDaemon:
    @pytest.mark.usefixtures("leaving_streams")
    def test_it_exits_with_success(self, deployment):
        """Guards against a shutdown that hangs when peers are lost meanwhile."""
        assert deployment.fleet.wait_for_end("daemon-4", WAIT_S) == 0
