from types import SimpleNamespace

import pytest

from chivesaddle.core.aio import sleep_until
from chivesaddle.placement import ServerTable
from chivesaddle.platform import decode_server
from chivesaddle.serving.path_probe import (
    IDLE_INTERVAL_S,
    INTERVAL_S,
    MAX_SILENCE_S,
    PathProbe,
)
from chivesaddle.serving.server_activity import ServerActivity


@pytest.fixture
def table(clock):
    table = ServerTable(clock)
    for id in ("s0", "s1"):
        entry = {"service": "app", "address": f"10.0.0.{id[1]}:80", "zone": "z"}
        table.put(decode_server(id, {**entry, "slots": 4, "state": "ready"}))
    return table


class TestServerActivity:
    def test_idle_daemon_walks_no_servers(self, table, monkeypatch):
        """Guards against a cost of an idle daemon that grows with the servers."""
        activity = ServerActivity(table, lambda: False, reports_lost_paths=True)
        monkeypatch.setattr(table, "all", lambda: pytest.fail("servers were walked"))
        assert activity.lost() == activity.with_requests() == []

    def test_requests_are_found_until_they_end(self, table):
        """A caller that disconnects must not hide a request that is still running."""
        in_flight = [1]
        activity = ServerActivity(table, lambda: bool(in_flight))
        serial = table.record_send("s1")
        assert activity.with_requests() == [table.get("s1")]
        in_flight.clear()
        assert activity.with_requests() == [table.get("s1")]
        table.record_end("s1", serial, None)
        assert activity.with_requests() == []

    def test_lost_path_is_found_until_it_is_regained(self, table):
        activity = ServerActivity(table, reports_lost_paths=True)
        table.on_path_lost = lambda entry: activity.record_path_lost()
        table.record_connection_failure("s0", "refused")
        assert activity.lost() == activity.lost() == [table.get("s0")]
        table.record_connected("s0")
        assert activity.lost() == []


class TestProbeAfterAnIdleTime:
    def start(self, clock, table):
        # The probe compares with times since the boot, which are never near 0.
        clock.advance(10.0)
        self.opened_at = []
        activity = ServerActivity(
            table, lambda: bool(table.get("s0").in_flight), reports_lost_paths=True
        )

        async def open_and_keep(address, deadline, settle_s):
            self.opened_at.append(clock.seconds())
            await sleep_until(clock, clock.seconds() + settle_s)

        pool = SimpleNamespace(probe=open_and_keep)
        probe = PathProbe(clock, table, pool, activity)

        def record_path_lost(entry):
            activity.record_path_lost()
            probe.check_lost_path()

        table.on_path_lost = record_path_lost
        probe.start()
        clock.advance(INTERVAL_S)

    @pytest.mark.parametrize("after_s", [0.001, 0.2, IDLE_INTERVAL_S - 0.001])
    def test_silent_server_is_probed_in_time(self, clock, table, after_s):
        """Rare checks while nothing is in flight must not delay the first probe."""
        self.start(clock, table)
        clock.advance(after_s)
        sent_at = clock.seconds()
        table.record_send("s0")
        while not self.opened_at:
            clock.advance(0.01)
        assert self.opened_at[0] - sent_at <= MAX_SILENCE_S + INTERVAL_S + 0.011

    def test_lost_path_is_probed_at_once(self, clock, table):
        self.start(clock, table)
        clock.advance(0.05)
        table.record_connection_failure("s0", "refused")
        clock.advance(INTERVAL_S)
        assert len(self.opened_at) == 1
