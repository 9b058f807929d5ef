"""Daemons that are killed or terminated while streams run through them."""

import pytest

from chivesaddle.tools.processes import wait_until

# The fourth daemon gets SIGTERM; the others are killed while it drains.
DAEMONS = 4
WAIT_TIMEOUT_S = 20.0
# Enough tokens for streams to run some seconds, until after the signals.
MAX_TOKENS = 250


def is_unlisted(deployment, stopped_url, other_urls):
    return all(stopped_url not in deployment.addresses(url) for url in other_urls)


@pytest.fixture(scope="module")
def streams_of_leaving_daemon(deployment):
    """Streams through the fourth daemon, which gets SIGTERM while they run."""
    fleet = deployment.fleet
    stopped_url, other_urls = fleet.callers[3], fleet.callers[:3]
    assert stopped_url in deployment.addresses(other_urls[0])
    streams = [
        deployment.stream(stopped_url, f"running at the shutdown {n}", MAX_TOKENS)
        for n in range(4)
    ]
    for stream in streams:
        stream.wait_for_tokens(1)
    fleet.terminate("daemon-4")
    assert wait_until(
        lambda: is_unlisted(deployment, stopped_url, other_urls), WAIT_TIMEOUT_S
    )
    # The address answer received before the signal is still valid.
    streams.append(deployment.stream(stopped_url, "started while leaving", MAX_TOKENS))
    return streams


class TestTerminatedDaemon:
    """Guards against a shutdown that interrupts streams or refuses late callers."""

    def test_it_finishes_its_streams_and_serves_callers_with_old_addresses(
        self, deployment, streams_of_leaving_daemon
    ):
        for stream in streams_of_leaving_daemon:
            stream.assert_text_complete()
        stopped_url = deployment.fleet.callers[3]
        assert deployment.send_completion(
            stopped_url, "with an older answer", 3
        ).is_success


class TestKilledDaemon:
    @pytest.mark.parametrize("daemon_index", range(3))
    def test_other_daemons_serve_and_resume_its_streams(self, deployment, daemon_index):
        """Guards against losing a stream with its daemon, or listing a lost daemon."""
        fleet = deployment.fleet
        running_urls = fleet.callers[:3]
        stopped_url = running_urls[daemon_index]
        other_urls = [url for url in running_urls if url != stopped_url]
        interrupted_stream = deployment.stream(
            stopped_url, f"cut by the loss of daemon {daemon_index}", MAX_TOKENS
        )
        concurrent_stream = deployment.stream(
            other_urls[0], f"beside the loss of {daemon_index}", MAX_TOKENS
        )
        interrupted_stream.wait_for_tokens(20)
        concurrent_stream.wait_for_tokens(1)
        fleet.kill(f"daemon-{daemon_index + 1}")
        interrupted_stream.join(WAIT_TIMEOUT_S)
        assert not interrupted_stream.is_complete
        received_count = len(interrupted_stream.text_chunks)
        resumed = deployment.resume(
            other_urls[1], interrupted_stream.request_id, received_count
        )
        resumed.join(WAIT_TIMEOUT_S)
        assert (resumed.status, resumed.error) == (200, None)
        interrupted_stream.text_chunks += resumed.text_chunks
        interrupted_stream.error, interrupted_stream.is_complete = (
            resumed.error,
            resumed.is_complete,
        )
        interrupted_stream.assert_text_complete()
        for url in other_urls:
            assert deployment.send_completion(
                url, f"after the loss of {daemon_index}", 3
            ).is_success
        assert wait_until(
            lambda: is_unlisted(deployment, stopped_url, other_urls), WAIT_TIMEOUT_S
        )
        concurrent_stream.assert_text_complete()
        fleet.restart(f"daemon-{daemon_index + 1}")
        deployment.wait_until_settled(running_urls)


class TestEndOfTerminatedDaemon:
    @pytest.mark.usefixtures("streams_of_leaving_daemon")
    def test_it_exits_with_success(self, deployment):
        """Guards against a shutdown that hangs when peers are lost during it."""
        assert deployment.fleet.wait_for_exit("daemon-4", WAIT_TIMEOUT_S) == 0
