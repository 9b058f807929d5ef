"""Requests avoid servers on machines that are slow at times, without a network."""

import functools
import heapq
import random

import pytest
from twisted.internet.task import Clock

from chivesaddle.core.serving_model import ServerEntry, ServerState
from chivesaddle.placement import Load, ServerRequirements, ServerTable, choose
from chivesaddle.placement.speed import ServerSpeed, with_report

SERVERS, REQUESTS_PER_S, DURATION_S = 70, 600, 6.0
SLOW_SHARE, SLOW_FACTOR, SLOW_S = 0.15, 2.5, 0.6
FIRST_EVENT_S, BEACON_S = 0.04, 0.05


class Simulation:
    """Daemons that send requests by their own reports and the peers' loads."""

    def __init__(self, daemons, request_s, are_reported):
        self.rng = random.Random(5)
        self.request_s = request_s
        self.clock = Clock()
        self.clock.advance(100)
        self.are_reported = are_reported
        self.tables = [ServerTable(self.clock) for _ in range(daemons)]
        self.ids = [f"s{n:02}" for n in range(SERVERS)]
        for table in self.tables:
            for id in self.ids:
                table.put(
                    ServerEntry(id, "app", id, "a", 16, ServerState.READY, {}, 1, "")
                )
        self.slow_periods = {id: self.draw_periods() for id in self.ids}
        # One server is slow long enough for all daemons to know it as such.
        self.slow_periods["s00"] = [(90.0, 102.0)]
        self.starts = []  # (at, server)
        self.events = []

    def draw_periods(self):
        pause_s = SLOW_S * (1 - SLOW_SHARE) / SLOW_SHARE
        at, periods = 100.0 - self.rng.random() * pause_s, []
        while at < 100 + DURATION_S:
            periods.append((at, at + SLOW_S))
            at += SLOW_S + self.rng.expovariate(1 / pause_s)
        return periods

    def is_slow(self, id, at):
        return any(start <= at < end for start, end in self.slow_periods[id])

    def run(self):
        arrivals = int(REQUESTS_PER_S * DURATION_S)
        push = lambda at, *event: heapq.heappush(self.events, (at, *event))  # noqa: E731
        for n in range(arrivals):
            push(100 + n / REQUESTS_PER_S, 0, n, "arrive", None)
        for n in range(int(DURATION_S / BEACON_S)):
            push(100 + n * BEACON_S, 1, n, "beacon", None)
        while self.events:
            at, _, n, kind, sent = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at - self.clock.seconds()))
            table = self.tables[n % len(self.tables)]
            match kind:
                case "arrive":
                    servers = table.of_service("app")
                    id = choose(servers, ServerRequirements(), "a", at).server.entry.id
                    self.starts.append((at, id))
                    sent = (id, table.record_send(id, 0, 0))
                    factor = SLOW_FACTOR if self.is_slow(id, at) else 1.0
                    push(at + FIRST_EVENT_S * factor, 2, n, "respond", sent)
                    push(at + self.request_s * factor, 3, n, "end", sent)
                case "respond":
                    percent = 250 if self.is_slow(sent[0], at) else 100
                    table.record_response_bytes(*sent)
                    table.record_load(
                        sent[0], 0, 0, 0.0, percent if self.are_reported else None
                    )
                case "end":
                    table.record_end(*sent, None)
                case "beacon":
                    self.exchange_loads(at)
        return self

    def exchange_loads(self, at):
        for id in self.ids:
            counts = [table.get(id).in_flight.count for table in self.tables]
            for own, table in enumerate(self.tables):
                for peer, count in enumerate(counts):
                    if peer != own:
                        load = (Load(count, 0, 0), at + 1.0)
                        table.get(id).peer_loads[f"d{peer}"] = load

    def slow_share(self):
        slow = sum(self.is_slow(id, at) for at, id in self.starts)
        return slow / len(self.starts)


# Requests without a model take 50 ms, others 500 ms. More daemons get too few reports
# of the same server in a slow period: 4 daemons with 500 ms lose only a sixth.
@functools.cache
def simulate(daemons, request_s, are_reported):
    return Simulation(daemons, request_s, are_reported).run()


class TestChoiceAmongSharedMachines:
    @pytest.mark.parametrize("daemons, request_s", [(4, 0.05), (2, 0.5)])
    def test_a_third_fewer_requests_start_on_slow_servers(self, daemons, request_s):
        """Guards against reports that are ignored, or weighed when out of date."""
        without, reported = [
            simulate(daemons, request_s, are_reported).slow_share()
            for are_reported in (False, True)
        ]
        assert reported <= without * 2 / 3

    def test_server_that_is_fast_again_gets_requests(self):
        """Guards against avoiding a server that sends no more reports thereby.

        The load of short requests does not need all servers.
        """
        simulation = simulate(2, 0.5, are_reported=True)
        for id, periods in simulation.slow_periods.items():
            for _, end in periods:
                if 100 <= end < 100 + DURATION_S - 2:
                    assert any(
                        s == id and end <= at < end + 2 for at, s in simulation.starts
                    )


class TestServerSpeed:
    def test_server_without_work_times_has_no_speed(self):
        assert with_report(None, None, 1.0) is None

    def test_newest_figure_counts_less_with_its_age(self):
        speed = ServerSpeed()
        speed.record(250, 10.0)
        factors = [speed.expected_factor(10.0 + age) for age in (0, 0.3, 0.6)]
        assert factors == pytest.approx([2.5, 1.93, 1.33], abs=0.02)

    def test_server_slow_for_long_is_tried_again_in_seconds(self):
        """Guards against avoiding it while it sends no reports."""
        speed = ServerSpeed()
        for n in range(60):
            speed.record(250, float(n))
        assert speed.expected_factor(60.0) > 1.8
        assert speed.expected_factor(64.0) == 1.0

    def test_slow_reports_are_forgotten_by_time(self):
        speed = ServerSpeed()
        for n in range(40):
            speed.record(250 if n < 10 else 100, float(n))
        speed.record(100, 60.0)
        assert 1.0 < speed.expected_factor(61.0) < 1.1

    @pytest.mark.parametrize("percent, factor", [(10, 1.0), (10**9, 4.0)])
    def test_factor_is_bounded(self, percent, factor):
        speed = ServerSpeed()
        speed.record(percent, 1.0)
        assert speed.expected_factor(1.0) == factor

    def test_older_report_is_ignored(self):
        speed = ServerSpeed()
        speed.record(100, 2.0)
        speed.record(250, 1.0)
        assert speed.expected_factor(2.0) == 1.0
