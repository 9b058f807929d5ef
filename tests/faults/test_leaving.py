"""A leaving backend server gets no new requests after 3 s.

A daemon that shuts down gracefully interrupts no request that it has accepted.
"""

import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import start
from chivesaddle.core.events import EventRing
from chivesaddle.core.model import BackendServer, ConfigState, Model
from chivesaddle.daemon.adapters import RouterSink
from chivesaddle.daemon.leaving import LeavingServers
from chivesaddle.engines import EnginePoller, EngineState, EngineTimeout
from chivesaddle.engines import LoadReport as EngineLoad
from chivesaddle.engines.reports import CachedBlocks
from chivesaddle.gateway.drain import Drain
from chivesaddle.gateway.errors import Draining
from chivesaddle.peers import ServerReport
from chivesaddle.routing import Router, Send

LEAVES_AT_S = 10.0
MAX_ROUTING_AFTER_LEAVING_S = 3.0
CONFIG = ConfigState(
    revision=1,
    models_by_id={"m": Model(id="m", weight_version="v1")},
    backend_servers_by_id={
        f"s{i}": BackendServer(id=f"s{i}", url=f"s{i}", zone="z", models=("m",))
        for i in range(4)
    },
)


class Engines:
    """Engines that accept requests all the time; ``s0`` leaves at ``LEAVES_AT_S``.

    ``poll_faults`` are the faults of the next polls of ``s0`` after that time.
    """

    def __init__(self, clock):
        self.clock = clock
        self.reports_leaving = True
        self.poll_faults = []

    async def load(self, url, deadline):
        leaving = url == "s0" and self.clock.seconds() >= LEAVES_AT_S
        fault = self.poll_faults.pop(0) if leaving and self.poll_faults else None
        if fault == "lost":
            raise EngineTimeout("lost")
        if fault == "silent":
            pending = Deferred()
            self.clock.callLater(
                deadline - self.clock.seconds(), pending.errback, EngineTimeout("late")
            )
            await pending
        state = "draining" if leaving and self.reports_leaving else "serving"
        return EngineLoad(
            running=0,
            queued=0,
            max_running=4,
            prefill_tokens_per_s=8_000.0,
            decode_tokens_per_s=100.0,
            state=state,
        )

    async def state(self, url, deadline):
        return EngineState(models={"m": ["v1"]})

    async def blocks(self, url, deadline):
        return CachedBlocks(seq=0, block_keys=())

    async def events(self, url, after, deadline):
        raise EngineTimeout("no events")


class Daemon:
    """Router, poller and reports of one daemon; records when ``s0`` got a request."""

    def __init__(self, clock, build, name, polls_engines=True):
        self.clock, self.build = clock, build
        self.router = Router(name)
        self.router.update_config(CONFIG)
        self.engines = Engines(clock)
        self.announced = []
        self.leaving = LeavingServers(
            self.router, self.announced.append, EventRing(name)
        )
        if polls_engines:
            poller = EnginePoller(self.engines, clock, RouterSink(self.router))
            poller.set_servers({s: s for s in CONFIG.backend_servers_by_id})
        self.s0_request_times = []

    def serve(self, number):
        """Route a request with one of 16 prompts and finish it; return its server."""
        now = self.clock.seconds()
        request = self.build.request(prompt=f"p{number % 16}", deadline=now + 9)
        decision = self.router.choose(request, now)
        assert isinstance(decision, Send)
        self.router.record_start(request, decision, now)
        if decision.server_id == "s0":
            self.s0_request_times.append(now)
        self.router.record_finish(request.request_id, now)
        return decision.server_id


LEAVING_SIGNALS = {
    "own report": lambda daemon: None,
    "own report, one poll lost": lambda daemon: daemon.engines.poll_faults.append(
        "lost"
    ),
    "own report, one poll silent": lambda daemon: daemon.engines.poll_faults.append(
        "silent"
    ),
    "platform's list": lambda daemon: (
        setattr(daemon.engines, "reports_leaving", False),
        daemon.leaving.record_peer_report("s0", "platform"),
    ),
    "a peer's report": lambda daemon: (
        setattr(daemon.engines, "reports_leaving", False),
        daemon.leaving.record_peer_report("s0", "peer"),
    ),
    "503 response": lambda daemon: (
        setattr(daemon.engines, "reports_leaving", False),
        daemon.router.mark_leaving("s0"),
    ),
}


class TestBackendServer:
    @pytest.fixture
    def build(self, import_conftest):
        return import_conftest("routing").build.__wrapped__()

    @pytest.mark.fault("leaving", step="known by {name}", fault="no other signal")
    @pytest.mark.parametrize("name", LEAVING_SIGNALS)
    def test_no_new_requests_three_seconds_after_it_leaves(self, clock, build, name):
        """Guards against requests for a server that ends before they are completed."""
        daemon = Daemon(clock, build, "d0")
        clock.callLater(LEAVES_AT_S, LEAVING_SIGNALS[name], daemon)
        for number in range(300):
            clock.advance(0.1)
            daemon.serve(number)
        assert any(at < LEAVES_AT_S for at in daemon.s0_request_times)
        assert max(daemon.s0_request_times) <= LEAVES_AT_S + MAX_ROUTING_AFTER_LEAVING_S

    @pytest.mark.fault("leaving", step="report to peers", fault="{name}")
    @pytest.mark.parametrize(
        ("name", "polls_engines"),
        [
            ("platform list delayed, peer does not poll", False),
            ("platform list delayed, peer polls", True),
        ],
    )
    def test_leaving_server_noticed_by_one_daemon_is_reported_to_the_others(
        self, clock, build, name, polls_engines
    ):
        """Guards against other daemons that send requests to a leaving server."""
        first = Daemon(clock, build, "d0")
        second = Daemon(clock, build, "d1", polls_engines)
        second.engines.reports_leaving = False
        for number in range(300):
            clock.advance(0.1)
            if number % 10 == 0:
                first.leaving.announce_new(CONFIG.backend_servers_by_id)
            for report in first.announced:
                second.leaving.record_peer_report(report.server, "peer")
            second.serve(number)
            second.leaving.announce_new(CONFIG.backend_servers_by_id)
        assert max(second.s0_request_times) <= LEAVES_AT_S + MAX_ROUTING_AFTER_LEAVING_S
        assert first.announced == [ServerReport("s0")]
        assert second.announced == []

    @pytest.mark.fault("leaving", step="report to peers", fault="{name}")
    @pytest.mark.parametrize(
        ("name", "fault"),
        [
            ("no fault", lambda fleet: None),
            ("zone readers lost", lambda fleet: [fleet.kill(n) for n in (1, 2)]),
            (
                "platform outage",
                lambda fleet: setattr(fleet.api.faults, "outage", True),
            ),
            ("announcement missed", lambda fleet: fleet.cut_off(5)),
        ],
    )
    def test_report_reaches_every_daemon_in_time(self, import_conftest, name, fault):
        """Guards against a report that needs the platform or a zone reader."""
        fleet = import_conftest("peers").Fleet()
        reports_by_daemon = [[] for _ in fleet.daemons]
        for daemon, reports in zip(fleet.daemons, reports_by_daemon, strict=True):
            daemon.peers.on_server_report(reports.append)
        fault(fleet)
        fleet.daemons[0].peers.announce_server(ServerReport("s0"))
        fleet.advance(0.5)
        fleet.cut_off()
        fleet.advance(1.5)
        running = [n for n in range(1, 6) if name != "zone readers lost" or n > 2]
        assert all(reports_by_daemon[n] == [ServerReport("s0")] for n in running)


class TestDaemon:
    @pytest.mark.fault("leaving", step="{entered_at} s", fault="daemon told to stop")
    @pytest.mark.parametrize("entered_at", [0.0, 0.5, 9.75, 10.0, 11.0])
    @pytest.mark.parametrize("duration_s", [0.25, 30.0])
    def test_graceful_stop_waits_for_every_accepted_request(
        self, clock, entered_at, duration_s
    ):
        """Guards against interrupting requests sent to a still valid address."""
        drain, finished = Drain(clock), []

        async def request():
            with drain.track_request():
                done = Deferred()
                clock.callLater(duration_s, done.callback, None)
                await done
                finished.append(clock.seconds())

        with drain.track_request():
            drain.start(accept_until=10.0)
        stopped = start(drain.wait_idle())
        stopped.addCallback(lambda _: clock.seconds())
        entered = []
        clock.callLater(entered_at, lambda: entered.append(start(request())))
        clock.pump([0.25] * 200)
        if entered_at < 10.0:
            assert stopped.result >= finished[0]
        else:
            assert isinstance(entered[0].result.value, Draining)
            entered[0].addErrback(lambda _: None)
        assert stopped.result >= 10.0
