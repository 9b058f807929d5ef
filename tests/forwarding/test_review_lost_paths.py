"""Silent requests of a daemon that reaches no server any more."""

import pytest

from chivesaddle.core.ids import DaemonId
from chivesaddle.forwarding.passing import PeerDaemon

from .test_silent_servers import (
    MAX_GAP_S,
    MAX_HEAD_WAIT_S,
    advance,
    start_stream,
)

PEERS = [
    PeerDaemon(DaemonId("d1"), "10.9.0.1:80"),
    PeerDaemon(DaemonId("d2"), "10.9.0.2:80"),
]


class TestRequestWhoseServerIsNotReachedAnyMore:
    """Guards against requests that stay on a path that carries nothing."""

    @pytest.mark.parametrize(
        ("target", "wait_s"),
        [("/safe/x", MAX_HEAD_WAIT_S), ("/resumable/x", MAX_GAP_S + 0.2)],
    )
    def test_is_passed_on(self, harness, caller, target, wait_s):
        caller.request(target)
        harness.peer_paths.peers = PEERS
        advance(harness, wait_s)
        assert [c.address for c in harness.connections[1:]] == [PEERS[0].address]

    def test_a_stream_that_has_begun_is_passed_on(self, harness, caller):
        start_stream(harness, caller)
        harness.peer_paths.peers = PEERS
        advance(harness, MAX_GAP_S + 0.2)
        assert [c.address for c in harness.connections[1:]] == [PEERS[0].address]
