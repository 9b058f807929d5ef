from dataclasses import asdict, replace

import pytest

from chivesaddle.cachemap import PromptPlan
from chivesaddle.core.ids import ZoneId
from chivesaddle.placement import (
    ExchangeOutcome,
    Load,
    ServerRequirements,
    ServerTable,
    choose,
)
from chivesaddle.platform import decode_server


def entry(number, **fields):
    value = {
        "service": "app",
        "address": f"10.0.0.{number}:80",
        "zone": "z",
        "slots": 4,
        "state": "ready",
        **fields,
    }
    return decode_server(f"s{number}", value)


def test_logged_load_has_all_fields():
    """Guards against a field that is added to the load and missing in log lines."""
    load = Load(1, 2, 3)
    assert load.log_fields() == asdict(load)


def test_waiting_requests_are_told_once_of_requests_that_end_together(table, clock):
    """Guards against a search of the queue for each of them, and against a missed end.

    With many requests waiting, the searches of a turn took longer than the turn.
    """
    told = []
    table.on_capacity_freed = told.append
    for number, service in enumerate(("app", "app", "other")):
        table.put(entry(number, service=service))
    for _ in range(2):
        for number in range(3):
            serial = table.record_send(f"s{number}")
            table.record_end(f"s{number}", serial, ExchangeOutcome.ANSWERED)
        assert told == []
        clock.advance(0)
        assert sorted(told) == ["app", "other"]
        told.clear()
        clock.advance(1)
        assert told == []


@pytest.fixture
def table(clock):
    found = ServerTable(clock)
    for number in range(3):
        found.put(entry(number))
    return found


def chosen_server(table, clock, **kwargs):
    found = choose(
        table.of_service("app"),
        ServerRequirements(),
        ZoneId("z"),
        clock.seconds(),
        **kwargs,
    )
    return None if found is None else found.server.entry.id


class TestZones:
    @pytest.mark.parametrize("body_bytes, expected", [(800, "s1"), (34_000, "s0")])
    def test_large_request_stays_in_its_zone_at_a_moderate_load(
        self, table, clock, body_bytes, expected
    ):
        """Traffic between zones is billed by the byte."""
        table.put(entry(1, zone="y"))
        table.remove("s2", may_have_expired=False)
        for _ in range(2):
            table.record_send("s0")
        found = choose(
            table.of_service("app"),
            ServerRequirements(body_bytes=body_bytes),
            ZoneId("z"),
            clock.seconds(),
        )
        assert found.server.entry.id == expected

    def test_large_request_leaves_a_full_zone(self, table, clock):
        table.put(entry(1, zone="y"))
        table.remove("s2", may_have_expired=False)
        for _ in range(5):
            table.record_send("s0")
        found = choose(
            table.of_service("app"),
            ServerRequirements(body_bytes=34_000),
            ZoneId("z"),
            clock.seconds(),
        )
        assert found.server.entry.id == "s1"


class TestEjection:
    def test_unreachable_server_is_ejected_until_it_responds_again(self, table, clock):
        table.record_end("s0", table.record_send("s0"), ExchangeOutcome.UNREACHABLE)
        assert chosen_server(table, clock) != "s0"
        clock.advance(5)
        table.record_end("s0", table.record_send("s0"), ExchangeOutcome.ANSWERED)
        assert table.get("s0").ejected_until == 0

    def test_service_with_only_ejected_servers_is_still_used(self, table, clock):
        for server in ("s0", "s1", "s2"):
            for _ in range(3):
                table.record_end(
                    server, table.record_send(server), ExchangeOutcome.BROKEN
                )
        assert chosen_server(table, clock) is not None

    def test_healthy_server_is_preferred_to_one_that_often_fails(self, table, clock):
        for _ in range(4):
            table.record_end("s0", table.record_send("s0"), ExchangeOutcome.FAILED)
        assert chosen_server(table, clock, excluded={"s1"}) == "s2"

    def test_unresponsive_server_is_avoided(self, table, clock):
        table.record_send("s0")
        clock.advance(1)
        assert chosen_server(table, clock, excluded={"s1"}) == "s2"


class TestEntries:
    def test_draining_server_gets_no_new_request(self, table):
        table.put(entry(0, state="draining"))
        assert "s0" not in [s.entry.id for s in table.of_service("app")]

    def test_restarted_server_with_the_same_id_is_not_ejected(self, table):
        table.record_end("s0", table.record_send("s0"), ExchangeOutcome.UNREACHABLE)
        table.put(entry(0, born=5))
        assert table.get("s0").ejected_until == 0

    def test_entry_that_expired_during_a_store_outage_is_kept_for_a_grace_period(
        self, table, clock
    ):
        """A server whose entry expired in a store outage writes it again within 2 s."""
        table.remove("s0", may_have_expired=True)
        assert table.get("s0") is not None
        table.put(entry(0))
        clock.advance(3)
        assert table.get("s0") is not None
        table.remove("s0", may_have_expired=True)
        clock.advance(1.6)
        assert table.get("s0") is None

    def test_entry_does_not_lower_a_version_that_the_server_reported(self, table):
        table.put(entry(0, models=[{"name": "m", "version": 1}]))
        table.record_version("s0", "m", 2)
        table.put(entry(0, models=[{"name": "m", "version": 1}], slots=5))
        assert table.get("s0").version_by_model == {"m": 2}


class TestLoad:
    def test_load_is_the_sum_over_all_daemons(self, table, clock):
        from chivesaddle.placement import Load

        table.record_send("s0", 100, 500)
        table.get("s0").peer_loads["d2"] = (Load(2, 300, 900), clock.seconds() + 1)
        assert table.get("s0").load(clock.seconds()) == Load(3, 400, 1_400)
        clock.advance(2)
        assert table.get("s0").load(clock.seconds()) == Load(1, 100, 500)

    def test_least_loaded_server_is_chosen(self, table, clock):
        for server in ("s0", "s0", "s1"):
            table.record_send(server)
        assert chosen_server(table, clock) == "s2"

    def test_prompt_is_not_counted_as_unread_after_the_first_event(self, table, clock):
        serial = table.record_send("s0", 100, 500)
        table.record_first_event("s0", serial)
        assert table.get("s0").load(clock.seconds()).unread_tokens == 0


class TestCapacity:
    NEED = ServerRequirements(
        model="m",
        plan_prompt=lambda server, version, is_preferred: PromptPlan(10, 0.0),
        memory_tokens=40,
        server_memory_tokens=100,
    )

    @pytest.fixture
    def engines(self, clock):
        table = ServerTable(clock)
        for number in range(2):
            models = [{"name": "m", "version": 1}]
            table.put(entry(number, service="llm", models=models))
        return table

    def choose(self, table, clock, **kwargs):
        servers = table.of_service("llm")
        return choose(servers, self.NEED, ZoneId("z"), clock.seconds(), **kwargs)

    def test_server_with_free_memory_is_preferred(self, engines, clock):
        engines.record_send("s0", 0, 70)
        engines.record_send("s1", 5_000, 10)
        found = self.choose(engines, clock)
        assert (found.server.entry.id, found.has_capacity) == ("s1", True)

    def test_server_without_a_free_slot_has_no_capacity(self, engines, clock):
        for _ in range(4):
            engines.record_send("s0", 0, 1)
            engines.record_send("s1", 0, 1)
        assert not self.choose(engines, clock).has_capacity

    def test_server_that_loads_weights_has_no_capacity(self, engines, clock):
        engines.record_busy("s0")
        assert self.choose(engines, clock).server.entry.id == "s1"
        engines.record_busy("s1")
        assert not self.choose(engines, clock).has_capacity

    def test_reserved_server_has_no_capacity_for_other_requests(self, engines, clock):
        assert self.choose(engines, clock, reserved={"s0"}).server.entry.id == "s1"
        assert not self.choose(engines, clock, reserved={"s0", "s1"}).has_capacity

    def test_request_larger_than_any_memory_is_sent_to_an_idle_server(
        self, engines, clock
    ):
        engines.record_send("s0", 0, 10)
        servers = engines.of_service("llm")
        requirements = replace(self.NEED, memory_tokens=150)
        found = choose(servers, requirements, ZoneId("z"), clock.seconds())
        assert (found.server.entry.id, found.has_capacity) == ("s1", True)
