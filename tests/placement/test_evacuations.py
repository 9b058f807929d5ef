import logging

import pytest

from chivesaddle.placement import Evacuations, ServerTable
from chivesaddle.platform import decode_server

ERROR = "services refused: all servers in evacuated zones"


def entry(number, zone, service="app"):
    return decode_server(
        f"s{number}",
        {
            "service": service,
            "address": f"10.0.0.{number}:80",
            "zone": zone,
            "slots": 4,
            "state": "ready",
        },
    )


@pytest.fixture
def table(clock):
    found = ServerTable(clock)
    for number, zone in enumerate("xyy"):
        found.put(entry(number, zone))
    return found


@pytest.fixture
def evacuations(clock, table):
    return Evacuations(clock, table)


@pytest.fixture
def logged(caplog):
    caplog.set_level(logging.INFO)
    return lambda text: sum(text in r.getMessage() for r in caplog.records)


def ids(table):
    return [server.entry.id for server in table.of_service("app")]


class TestServers:
    def test_of_an_evacuated_zone_take_no_new_requests_until_it_returns(
        self, table, evacuations
    ):
        evacuations.put("y")
        assert ids(table) == ["s0"] and len(table.all()) == 3
        evacuations.remove("y")
        assert ids(table) == ["s0", "s1", "s2"]

    def test_count_neither_as_free_nor_open_nor_reached(self, table, evacuations):
        """Requests must not wait for a server that they cannot be sent to."""
        table.record_refusal("s0", 2.0)
        table.record_connection_failure("s0", "refused")
        evacuations.put("y")
        assert table.free_memory("app", 100) == {}
        assert table.opens_at("app") == 2.0
        assert not table.has_path("app")
        evacuations.put("x")
        assert table.free_memory("app", 100) is None

    def test_listed_later_are_left_out_too(self, table, evacuations):
        evacuations.put("y")
        table.put(entry(7, "y"))
        assert ids(table) == ["s0"]


class TestChange:
    @pytest.mark.parametrize("change", ["put", "remove"])
    def test_requests_that_wait_are_weighed_again(
        self, clock, table, evacuations, change
    ):
        table.put(entry(9, "x", "other"))
        evacuations.put("y")
        clock.advance(0.1)
        freed = set()
        table.on_capacity_freed = freed.add
        evacuations.put("x") if change == "put" else evacuations.remove("y")
        clock.advance(0)
        assert freed == {"app", "other"}

    def test_return_is_reported_once_for_an_evacuated_zone(self, evacuations):
        returned = []
        evacuations.on_zone_returned = returned.append
        evacuations.remove("y")
        assert returned == []
        evacuations.put("y")
        evacuations.put("y")
        evacuations.remove("y")
        evacuations.remove("y")
        assert returned == ["y"] and len(evacuations) == 0


class TestLog:
    def test_service_without_servers_is_one_error_per_change(
        self, table, evacuations, logged
    ):
        evacuations.put("y")
        evacuations.check()
        assert not logged(ERROR)
        evacuations.put("x")
        evacuations.check()
        assert logged(ERROR) == 1
        evacuations.remove("x")
        assert logged("services no longer refused") == 1

    def test_last_server_outside_that_leaves_is_an_error_too(
        self, table, evacuations, logged
    ):
        evacuations.put("y")
        table.remove("s0", may_have_expired=False)
        evacuations.check()
        assert logged(ERROR) == 1

    def test_unknown_zone_is_logged_once_and_changes_nothing(
        self, clock, table, evacuations, logged
    ):
        """Servers may be listed shortly after the evacuations are known."""
        evacuations.put("nowhere")
        evacuations.put("y")
        assert not logged("has no server")
        for _ in range(3):
            clock.advance(2.0)
            evacuations.check()
        assert logged("has no server") == 1
        assert ids(table) == ["s0"]
