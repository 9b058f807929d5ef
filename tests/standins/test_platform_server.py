from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from chivesaddle.standins.platform_server import PROCESSING_TIME_S, PlatformServer


class TestRunSpans:
    """Guards against a soak test that sees no overlap because no run is recorded."""

    @pytest.fixture
    def clock(self):
        return Clock()

    @pytest.fixture
    def server(self, clock):
        return PlatformServer(clock, "server-0")

    @pytest.fixture
    def responder(self, server):
        headers = {"x-chivesaddle-attempt-identifier": "a"}
        request = SimpleNamespace(
            target=b"/safe/x", method=b"POST", headers=headers, body=b""
        )
        responder = SimpleNamespace(
            disconnected=Deferred(), answer=lambda *arguments: None
        )
        server.handle(request, responder)
        return responder

    def test_run_has_no_end_while_it_lasts(self, server, responder):
        (span,) = server.spans
        assert span.request_id == "a"
        assert span.ended_at is None

    def test_run_ends_with_its_response(self, server, responder, clock):
        clock.advance(PROCESSING_TIME_S)
        (span,) = server.spans
        assert span.ended_at >= span.began_at

    def test_run_ends_when_its_connection_is_closed(self, server, responder):
        responder.disconnected.callback(None)
        (span,) = server.spans
        assert span.ended_at >= span.began_at
