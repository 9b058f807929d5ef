"""A daemon whose connections to a server carried nothing for a while."""

import json

from twisted.internet.testing import MemoryReactorClock

from chivesaddle.core.serving_model import ServerEntry, ServerState
from chivesaddle.serving.app import ServingDaemon
from chivesaddle.serving.settings import ServingSettings

from .test_settings import VALID

ADDRESS = "10.0.0.1:80"


class IdleConnection:
    is_reusable = True
    lost = False

    def __init__(self):
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True


def test_connections_from_a_silence_are_not_used_after_it(tmp_path):
    """Guards against requests that wait on connections opened while the path hung."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(VALID))
    reactor = MemoryReactorClock()
    daemon = ServingDaemon(ServingSettings.from_config(path), reactor)
    daemon._servers.put(
        ServerEntry("s0", "app", ADDRESS, "z", 4, ServerState.READY, {}, 1, "")
    )
    daemon._servers.record_silent_path("s0")
    connection = IdleConnection()
    daemon._server_pool.release(ADDRESS, connection, None)
    daemon._servers.record_answer("s0")
    assert connection.is_aborted
    assert not daemon._server_pool.has_idle(ADDRESS, 60.0)
