"""Requests that another daemon has while its server is silent."""

import pytest

from chivesaddle.core.ids import DaemonId
from chivesaddle.forwarding.passing import PeerDaemon

from .test_silent_servers import (
    EVENT_1,
    MAX_GAP_S,
    advance,
    go_on,
)

PEERS = [
    PeerDaemon(DaemonId("d1"), "10.9.0.1:80"),
    PeerDaemon(DaemonId("d2"), "10.9.0.2:80"),
]


class TestRequestThatWasPassedOn:
    """Guards against a daemon that is given up while its server is silent."""

    @pytest.mark.parametrize(
        ("target", "wait_s"), [("/safe/x", 0.7), ("/resumable/x", MAX_GAP_S + 0.4)]
    )
    @pytest.mark.parametrize("peers", [1, 2])
    def test_is_answered_by_the_only_daemon_that_accepts_it(
        self, harness, caller, target, wait_s, peers
    ):
        harness.peer_paths.peers = PEERS[:peers]
        harness.reactor.refusing_addresses.add(PEERS[1].address)
        caller.request(target)
        (peer,) = harness.connections
        advance(harness, wait_s)
        if not peer.transport.is_lost:
            if target == "/safe/x":
                peer.respond()
            else:
                peer.start_stream(EVENT_1)
                go_on(peer)
        harness.advance()
        assert caller.status == 200
