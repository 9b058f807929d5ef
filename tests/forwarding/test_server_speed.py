"""Work times that servers report in their responses."""

import pytest


def answer(harness, caller, number, load):
    caller.request("/safe/x", f"a{number}")
    connection = harness.connections[-1]
    connection.respond(
        extra_header=f"X-Chivesaddle-Server-Load: {load}\r\nConnection: close"
    )
    harness.advance(0.1)
    return connection.address


class TestReportedWorkTime:
    @pytest.mark.parametrize("work_time, factor", [("", None), (", 250", 1.33)])
    def test_moves_the_next_request_to_another_server(
        self, harness, caller, caplog, work_time, factor
    ):
        """Guards against a figure that is decoded and not used."""
        caplog.set_level("INFO")
        first = answer(harness, caller, 1, f"0, 0, 8{work_time}")
        second = answer(harness, caller, 2, "0, 0, 8")
        assert (second != first) is (factor is not None)
        harness.advance(0.4)
        for server in harness.servers.all():
            if server.entry.address != first:
                harness.servers.record_load(server.entry.id, 50, 0)
        assert answer(harness, caller, 3, "0, 0, 8") == first
        record = [r for r in caplog.records if "answered" in r.getMessage()][-1]
        assert getattr(record, "speed_factor", None) == factor
