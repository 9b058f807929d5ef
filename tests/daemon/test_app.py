import pytest
from twisted.internet.defer import succeed

from chivesaddle.core.settings import Settings
from chivesaddle.daemon.app import Daemon


@pytest.fixture
def daemon(clock):
    """A daemon that is built but not started."""
    listeners = {
        name: {"port": port}
        for port, name in enumerate(("callers", "operators", "peers"), 20_000)
    }
    settings = Settings.model_validate(
        {
            "daemon_id": "d1",
            "zone": "z1",
            "caller_url": "http://127.0.0.1:20000",
            "platform_url": "http://127.0.0.1:20003",
            **listeners,
        }
    )
    return Daemon.from_settings(settings, clock)


class TestLeavingServers:
    def test_a_servers_own_report_is_passed_on_to_the_peers_once(self, daemon):
        """Guards against daemons of other zones that do not poll the server."""
        announced = []
        daemon.peers.announce_server = lambda report: succeed(announced.append(report))
        for _ in range(2):
            daemon.sink.set_leaving("s1")
        assert [(report.server, report.leaving) for report in announced] == [
            ("s1", True)
        ]
        assert daemon.router.is_leaving("s1")
