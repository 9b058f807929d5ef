"""Requests to servers that have just started, of many daemons together."""

import functools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivesaddle.core.ids import DaemonId, ServiceId, ZoneId
from chivesaddle.core.serving_model import ColdStart
from chivesaddle.placement import (
    ColdStarts,
    LimitReport,
    RateLimits,
    ServerRequirements,
    ServerTable,
    choose,
)
from chivesaddle.platform import decode_server

APP = ServiceId("app")
STEP_S = 0.01


class Fleet:
    """Daemons that exchange reports as datagrams, and always have requests to send."""

    def __init__(
        self, size, per_s=8.8, servers=1, duration_s=3.0, loss=0.0, delay=0.05
    ):
        self.clock = Clock()
        self.clock.advance(100.0)
        self.random = random.Random(3)
        self.loss, self.delay = loss, delay
        self.cold_start = ColdStart(duration_s, per_s)
        self.ids = [DaemonId(f"d{n}") for n in range(size)]
        self.deaf, self.mute, self.frozen, self.idle = set(), set(), {}, set()
        self.tables, self.limits, self.cold = {}, {}, {}
        self.sent = {f"i-{n}": [] for n in range(servers)}
        for daemon in self.ids:
            self.start(daemon)

    def start(self, daemon):
        clock = _FreezableClock(self, daemon)
        table = self.tables[daemon] = ServerTable(clock)
        peers = [d for d in self.ids if d != daemon]
        limits = RateLimits(clock, table, daemon, lambda: peers)
        self.limits[daemon] = limits
        limits.on_report = functools.partial(self.announce, daemon)
        self.cold[daemon] = ColdStarts(clock, table, limits, lambda _: self.cold_start)
        for server in self.sent:
            self.put(daemon, server)

    def put(self, daemon, server, **fields):
        entry = {
            "service": "app",
            "address": f"10.0.0.{server[2:]}:80",
            "zone": "z",
            "slots": 64,
            "state": "ready",
            "born": 1,
            **fields,
        }
        self.tables[daemon].put(decode_server(server, entry))
        self.cold[daemon].record_entry(self.tables[daemon].get(server).entry)

    def announce(self, sender, reports):
        encoded = msgspec.msgpack.encode(reports)
        for peer in self.ids:
            lost = self.random.random() < self.loss
            if peer == sender or sender in self.mute or peer in self.deaf or lost:
                continue
            delay = 0.01 + self.random.uniform(0, self.delay)
            self.clock.callLater(delay, self.deliver, peer, encoded)

    def deliver(self, peer, encoded):
        if self.frozen.get(peer, 0.0) > self.clock.seconds():
            wait = self.frozen[peer] - self.clock.seconds()
            self.clock.callLater(wait, self.deliver, peer, encoded)
            return
        self.limits[peer].apply_reports(
            msgspec.msgpack.decode(encoded, type=list[LimitReport])
        )

    def step(self, then=lambda: None):
        self.clock.advance(STEP_S)
        now = self.clock.seconds()
        then()
        for daemon in self.random.sample(self.ids, len(self.ids)):
            if self.frozen.get(daemon, 0.0) > now or daemon in self.idle:
                continue
            self.limits[daemon].record_demand(APP)
            for tracked in self.tables[daemon].of_service(APP):
                # Requests that only warm servers get don't count, so they are left out.
                is_cold = tracked.limit is not None and tracked.limit.cold_per_s
                while is_cold and tracked.closed_until <= now:
                    self.limits[daemon].record_send(tracked.entry.id)
                    self.sent[tracked.entry.id].append(now)

    def play(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def set_cold(self, server="i-0", seconds=3.0):
        for daemon in self.ids:
            entry = self.tables[daemon].get(server).entry
            self.cold[daemon].record_response(entry, seconds)

    def most_in_second(self, server="i-0"):
        times = self.sent[server]
        return max(
            (sum(at <= t < at + 1.0 - 1e-9 for t in times) for at in times), default=0
        )

    @property
    def bound(self):
        return 1.5 * self.cold_start.per_s + 5


class _FreezableClock:
    """Clock of one daemon, whose calls wait while the daemon is frozen."""

    def __init__(self, fleet, daemon):
        self.fleet, self.daemon = fleet, daemon
        self.seconds = fleet.clock.seconds

    def callLater(self, delay, function, *args):  # noqa: N802
        def run():
            wait = self.fleet.frozen.get(self.daemon, 0.0) - self.seconds()
            if wait > 0:
                self.fleet.clock.callLater(wait, run)
            else:
                function(*args)

        return self.fleet.clock.callLater(delay, run)


class TestSharedBound:
    @pytest.mark.parametrize("size", [1, 2, 3, 12])
    @pytest.mark.parametrize("per_s", [8.8, 14.0])
    @pytest.mark.parametrize("loaded", [1, 12])
    def test_the_rate_is_used_and_the_bound_kept(self, size, per_s, loaded):
        """Equal shares alone would leave a rate unused that few daemons need."""
        fleet = Fleet(size, per_s, duration_s=20.0)
        fleet.idle = set(fleet.ids[loaded:])
        fleet.set_cold(seconds=20.0)
        fleet.play(12.0)
        assert fleet.most_in_second() <= fleet.bound
        used = sum(at > 102.0 for at in fleet.sent["i-0"]) / 10.0
        assert used >= 0.9 * per_s

    @given(data=st.data())
    @settings(derandomize=True, deadline=None, max_examples=60)
    def test_holds_for_daemons_that_are_deaf_frozen_or_idle(self, data):
        size = data.draw(st.integers(2, 12))
        per_s = data.draw(st.sampled_from([5.0, 8.8, 14.0, 25.0]))
        loss = data.draw(st.sampled_from([0.0, 0.1, 1.0]))
        fleet = Fleet(size, per_s, duration_s=30.0, loss=loss)
        fleet.set_cold(seconds=30.0)
        daemons = st.lists(st.sampled_from(fleet.ids), unique=True)
        for _ in range(4):
            fleet.deaf, fleet.mute = set(data.draw(daemons)), set(data.draw(daemons))
            fleet.idle = set(data.draw(daemons))
            thaws_at = fleet.clock.seconds() + data.draw(st.floats(0.05, 1.0))
            fleet.frozen = dict.fromkeys(data.draw(daemons), thaws_at)
            fleet.play(data.draw(st.floats(0.1, 1.2)))
        fleet.play(0.5)
        assert fleet.most_in_second() <= fleet.bound

    def test_holds_when_all_begin_after_a_pause(self):
        """An unused schedule must not let every daemon send a burst at once."""
        fleet = Fleet(12, duration_s=30.0)
        fleet.set_cold(seconds=30.0)
        fleet.play(1.0)
        fleet.idle = set(fleet.ids)
        fleet.play(1.5)
        fleet.idle = set()
        fleet.play(2.0)
        assert fleet.most_in_second() <= fleet.bound

    def test_daemons_that_hear_nobody_use_equal_shares(self):
        fleet = Fleet(12, duration_s=20.0, loss=1.0)
        fleet.set_cold(seconds=20.0)
        fleet.play(10.0)
        assert 0.7 * 8.8 <= len(fleet.sent["i-0"]) / 10.0 <= 1.05 * 8.8

    def test_servers_of_a_zone_that_return_while_the_store_is_silent(self):
        """Only connections tell, and each daemon notices the return by itself."""
        fleet = Fleet(9, servers=6)

        def lose(daemon, server):
            fleet.tables[daemon].record_connection_failure(server, "refused")

        def regain(daemon, server):
            fleet.tables[daemon].record_connected(server)

        for server in ("i-0", "i-1", "i-2"):
            for daemon in fleet.ids:
                fleet.clock.callLater(
                    fleet.random.uniform(0, 0.5), lose, daemon, server
                )
                at = 1.0 + fleet.random.uniform(0, 0.5)
                fleet.clock.callLater(at, regain, daemon, server)
        fleet.play(6.0)
        for server in ("i-0", "i-1", "i-2"):
            assert fleet.most_in_second(server) <= fleet.bound
            assert len(fleet.sent[server]) > 0.5 * 3 * 8.8
        assert not any(fleet.sent[server] for server in ("i-3", "i-4", "i-5"))
        assert all(cold.count() == 0 for cold in fleet.cold.values())


@pytest.fixture
def fleet():
    return Fleet(2)


def is_cold(fleet, daemon="d0", server="i-0"):
    limit = fleet.tables[daemon].get(server).limit
    return limit is not None and limit.cold_per_s is not None


class TestSources:
    def test_servers_at_the_daemons_own_start_are_warm(self, fleet):
        assert not is_cold(fleet)

    @pytest.mark.parametrize("remaining_ms", [None, "x", -5, True])
    def test_a_server_listed_later_is_presumed_cold(self, fleet, remaining_ms):
        fleet.clock.advance(5.0)
        fleet.put("d0", "i-9", cold_remaining_ms=remaining_ms)
        assert is_cold(fleet, server="i-9")
        fleet.clock.pump([0.1] * 31)
        assert not is_cold(fleet, server="i-9")

    def test_a_restart_is_cold_for_as_long_as_the_entry_says(self, fleet):
        fleet.clock.advance(5.0)
        fleet.put("d0", "i-0", born=2, cold_remaining_ms=500)
        assert is_cold(fleet)
        fleet.clock.pump([0.1] * 6)
        assert not is_cold(fleet)
        fleet.put("d0", "i-0", born=3, cold_remaining_ms=0)
        assert not is_cold(fleet)

    @pytest.mark.parametrize(
        "remaining_ms", [10**400, 1e9, 3_000], ids=["inf", "1e9", "3000"]
    )
    def test_a_huge_value_ends_within_the_configured_time(self, fleet, remaining_ms):
        fleet.put("d0", "i-0", cold_remaining_ms=remaining_ms)
        assert is_cold(fleet)
        fleet.clock.pump([0.1] * 31)
        assert not is_cold(fleet)

    def test_an_evacuated_zone_is_presumed_cold(self, fleet):
        fleet.cold["d0"].presume_cold(ZoneId("z"))
        assert is_cold(fleet)

    def test_a_peer_tells_and_the_server_itself_ends_it(self, fleet):
        fleet.cold["d0"].presume_cold(ZoneId("z"))
        fleet.clock.pump([0.05] * 5)
        assert is_cold(fleet, "d1")
        entry = fleet.tables["d1"].get("i-0").entry
        fleet.cold["d1"].record_response(entry, 0.0)
        fleet.clock.pump([0.05] * 5)
        assert not is_cold(fleet, "d0") and not is_cold(fleet, "d1")

    def test_a_lost_path_to_a_server_that_goes_on_changes_nothing(self, fleet):
        """One daemon's own network must not make all servers cold for all daemons."""
        table = fleet.tables["d0"]
        for daemon in fleet.ids:
            serial = fleet.tables[daemon].record_send("i-0")
            fleet.tables[daemon].record_response_bytes("i-0", serial, 90.0)
        table.record_connection_failure("i-0", "timeout")
        fleet.clock.advance(0.5)
        fleet.tables["d1"].record_response_bytes("i-0", serial, 90.0)
        table.record_connected("i-0")
        fleet.clock.pump([0.05] * 4)
        assert is_cold(fleet, "d0") and not is_cold(fleet, "d1")
        table.record_response_bytes("i-0", serial, 90.0)
        fleet.clock.pump([0.05] * 4)
        assert not is_cold(fleet, "d0")

    def test_services_without_a_cold_period_are_not_limited(self, fleet):
        fleet.cold_start = None
        fleet.clock.advance(5.0)
        fleet.put("d0", "i-0", born=2, cold_remaining_ms=900)
        fleet.tables["d0"].record_connection_failure("i-0", "refused")
        fleet.tables["d0"].record_connected("i-0")
        assert not is_cold(fleet)

    def test_the_end_dispatches_waiting_requests(self, fleet):
        freed = []
        fleet.tables["d0"].on_capacity_freed = freed.append
        fleet.set_cold(seconds=0.5)
        fleet.clock.pump([0.1] * 6)
        assert freed == [APP]


class TestWithOtherBuildsAndLimits:
    def test_an_old_build_decodes_reports_and_changes_no_limit(self, fleet):
        class OldReport(msgspec.Struct, array_like=True, frozen=True):
            daemon: str
            server: str
            started_ms: int
            per_s: float
            age_ms: int
            sends: int

        sent = []
        fleet.limits["d0"].on_report = sent.extend
        fleet.set_cold()
        encoded = msgspec.msgpack.encode(sent[0])
        old = msgspec.msgpack.decode(encoded, type=OldReport)
        # Older than any limit that the old build knows, so that it stays in force.
        assert old.per_s == 0 and old.age_ms == 10**9
        hint = msgspec.json.decode(msgspec.json.encode(fleet.limits["d0"].collect()))
        assert msgspec.convert(hint, list[OldReport])[0].per_s == 0

    def test_an_old_builds_reports_do_not_count_as_heard(self, fleet):
        """It neither tells all its requests nor keeps the rate."""
        fleet.limits["d1"].on_report = lambda reports: None
        fleet.set_cold()
        report = LimitReport("d1", "i-0", 1, 0.0, 0, 0)
        for _ in range(100):
            fleet.step(lambda: fleet.limits["d0"].apply_reports([report]))
        assert fleet.tables["d0"].get("i-0").limit.share_since is not None

    def test_the_lower_of_two_rates_holds(self, fleet):
        limit_of = fleet.tables["d0"].get("i-0")
        fleet.limits["d0"].record_response(limit_of.entry, 2.0)
        fleet.set_cold()
        assert limit_of.limit.rate == 2.0
        fleet.clock.advance(0.1)
        fleet.limits["d0"].record_response(limit_of.entry, 50.0)
        assert limit_of.limit.rate == 8.8

    def test_a_cold_server_waits_while_others_have_room(self):
        fleet = Fleet(1, servers=2)
        fleet.set_cold()
        servers = fleet.tables["d0"].of_service(APP)
        chosen = choose(servers, ServerRequirements(), ZoneId("z"), 100.0)
        assert chosen.server.entry.id == "i-1" and chosen.has_capacity
