from types import SimpleNamespace

from chivesaddle.daemon.adapters import RouterSink


class TestRouterSink:
    def test_a_draining_server_is_shared_once(self):
        """Guards against an announcement at every poll of a draining server."""
        leaving, shared = set(), []
        router = SimpleNamespace(
            is_leaving=leaving.__contains__, set_leaving=leaving.add
        )
        sink = RouterSink(router, shared.append)
        sink.set_leaving("a")
        sink.set_leaving("a")
        assert shared == ["a"] and leaving == {"a"}
