import json
import os

import httpx
import pytest

from chivesaddle.core.settings import Settings
from chivesaddle.tools.fleet import Fleet
from chivesaddle.tools.operations import initial_operations


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """A fleet of real processes, with fakes only and no daemons."""
    with Fleet(tmp_path_factory.mktemp("build"), daemons=0) as running:
        yield running


class TestFleet:
    def test_every_standin_is_running_and_described(self, fleet):
        described = fleet.describe()
        assert len(described["pids"]) == 12
        assert set(described["pids"]) == set(described["standins"])

    def test_killed_process_is_gone_and_restarts_on_its_port(self, fleet):
        """Guards against fault tests that signal the wrong process."""
        pid = fleet.pids["booking-1"]
        fleet.kill("booking-1")
        assert "booking-1" not in fleet.pids
        fleet.restart("booking-1")
        assert fleet.pids["booking-1"] != pid
        assert fleet.counters("booking-1")["runs"] == 0

    def test_paused_process_answers_after_it_resumes(self, fleet):
        url = f"{fleet.urls_by_name['booking-2']}/control/log"
        fleet.pause("booking-2")
        with pytest.raises(httpx.TimeoutException):
            httpx.get(url, timeout=0.3)
        fleet.resume("booking-2")
        assert httpx.get(url, timeout=30).status_code == 200

    def test_stop_ends_every_process_started(self, tmp_path):
        """Guards against processes that outlive a test or the demo."""
        with Fleet(tmp_path, daemons=0) as second_fleet:
            pids = list(second_fleet.pids.values())
            second_fleet.pause("store-2")
        assert json.loads((tmp_path / "fleet.json").read_text())["pids"]
        for pid in pids:
            with pytest.raises(ProcessLookupError):
                os.kill(pid, 0)

    def test_leaving_instance_appears_in_the_lagging_list(self, fleet):
        fleet.set_faults("object-api", instances_lag_s=0)
        fleet.set_instance_state("engine-5", "leaving")
        url = f"{fleet.urls_by_name['object-api']}/objects/instances/engine-5"
        assert httpx.get(url).json()["specification"]["state"] == "leaving"


class TestFirstConfiguration:
    def test_operations_cover_the_deployment(self, fleet):
        operations = initial_operations(fleet.keys_by_account, fleet.urls_by_name)
        kinds = [operation["kind"] for operation in operations]
        assert kinds.count("put_account") == 10
        assert kinds.count("put_backend_server") == 5
        assert kinds.count("put_store") == 2
        (service,) = [o for o in operations if o["kind"] == "put_service"]
        assert {"name": "reserve_seat", "repeatable": False} in service["operations"]

    def test_daemon_settings_are_valid(self, fleet, tmp_path):
        path = tmp_path / "daemon.json"
        path.write_text(json.dumps(fleet._settings("daemon-1", "tartu-a", 1, 2, 3)))
        assert Settings.from_config(path).zone == "tartu-a"
