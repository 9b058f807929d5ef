"""Successors that send nothing while the silent server still has the request."""

import pytest

from .test_silent_servers import (
    EVENT_1,
    MAX_GAP_S,
    NOT_RUN,
    advance,
    go_on,
    is_whole,
    later_connections,
    start_stream,
)

# Two servers must not work on one request for longer.
MAX_OVERLAP_S = 0.4


class TestSuccessorWithoutAnyResponse:
    """Guards against a server that is given up for one that has taken nothing."""

    @pytest.mark.parametrize(
        "end", ["refuses", "breaks", "does not resume", "is silent"]
    )
    def test_an_idle_one_that_fails_after_the_overlap_loses_nothing(
        self, harness, caller, end
    ):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.1)
        (other,) = later_connections(harness)
        advance(harness, MAX_OVERLAP_S)
        match end:
            case "refuses":
                other.respond(503, extra_header=NOT_RUN)
            case "breaks":
                other.transport.lose_connection()
            case "does not resume":
                other.start_stream(EVENT_1)
        harness.advance(0.1)
        if not server.transport.is_lost:
            go_on(server)
        assert is_whole(caller)
