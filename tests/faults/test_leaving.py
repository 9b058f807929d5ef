"""A leaving backend server gets no new work after 3 s; a daemon's stop cuts nothing."""

import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import start
from chivesaddle.core.events import EventRing
from chivesaddle.core.model import BackendServer, ConfigState, Model
from chivesaddle.daemon.adapters import RouterSink
from chivesaddle.daemon.leaving import LeavingServers
from chivesaddle.engines import EnginePoller, EngineSilent, EngineState
from chivesaddle.engines import LoadReport as EngineLoad
from chivesaddle.engines.reports import CachedBlocks
from chivesaddle.gateway.drain import Drain
from chivesaddle.gateway.errors import Draining
from chivesaddle.peers import ServerReport
from chivesaddle.routing import Router, Send

LEAVES_AT = 10.0
WITHIN_S = 3.0
CONFIG = ConfigState(
    revision=1,
    models_by_id={"m": Model(id="m", weight_version="v1")},
    backend_servers_by_id={
        f"s{i}": BackendServer(id=f"s{i}", url=f"s{i}", zone="z", models=("m",))
        for i in range(4)
    },
)


class Engines:
    """Engines that go on accepting work; ``polls`` are faults of polls of ``s0``."""

    def __init__(self, clock):
        self.clock = clock
        self.reports_leaving = True
        self.polls = []

    async def load(self, url, deadline):
        leaving = url == "s0" and self.clock.seconds() >= LEAVES_AT
        fault = self.polls.pop(0) if leaving and self.polls else None
        if fault == "lost":
            raise EngineSilent("lost")
        if fault == "silent":
            waiting = Deferred()
            self.clock.callLater(
                deadline - self.clock.seconds(), waiting.errback, EngineSilent("late")
            )
            await waiting
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
        raise EngineSilent("no events")


class Daemon:
    """Router, poller and reports of one daemon; notes when ``s0`` got work."""

    def __init__(self, clock, build, name, polls=True):
        self.clock, self.build = clock, build
        self.router = Router(name)
        self.router.update_config(CONFIG)
        self.engines = Engines(clock)
        self.announced = []
        self.leaving = LeavingServers(
            self.router, self.announced.append, EventRing(name)
        )
        if polls:
            poller = EnginePoller(self.engines, clock, RouterSink(self.router))
            poller.set_servers({s: s for s in CONFIG.backend_servers_by_id})
        self.work_at = []

    def serve(self, number):
        """Send a request of a prompt whose home is ``s0``, then finish it."""
        now = self.clock.seconds()
        request = self.build.request(prompt=f"p{number % 16}", deadline=now + 9)
        sent = self.router.choose(request, now)
        assert isinstance(sent, Send)
        self.router.record_start(request, sent, now)
        if sent.server_id == "s0":
            self.work_at.append(now)
        self.router.record_finish(request.request_id, now)
        return sent.server_id


SIGNALS = {
    "own report": lambda d: None,
    "own report, one poll lost": lambda d: d.engines.polls.append("lost"),
    "own report, one poll silent": lambda d: d.engines.polls.append("silent"),
    "platform's list": lambda d: (
        setattr(d.engines, "reports_leaving", False),
        d.leaving.learn("s0", "platform"),
    ),
    "a peer's report": lambda d: (
        setattr(d.engines, "reports_leaving", False),
        d.leaving.learn("s0", "peer"),
    ),
    "answer 503": lambda d: (
        setattr(d.engines, "reports_leaving", False),
        d.router.set_leaving("s0"),
    ),
}


class TestBackendServer:
    @pytest.fixture
    def build(self, parts_of):
        return parts_of("routing").build.__wrapped__()

    @pytest.mark.fault(
        "leaving", step="known by {name}", fault="the others say nothing"
    )
    @pytest.mark.parametrize("name", SIGNALS)
    def test_no_new_work_three_seconds_after_it_leaves(self, clock, build, name):
        """Guards against work for a server that will be gone before it is done."""
        daemon = Daemon(clock, build, "d0")
        clock.callLater(LEAVES_AT, SIGNALS[name], daemon)
        for number in range(300):
            clock.advance(0.1)
            daemon.serve(number)
        assert any(at < LEAVES_AT for at in daemon.work_at)
        assert max(daemon.work_at) <= LEAVES_AT + WITHIN_S

    @pytest.mark.fault("leaving", step="report to peers", fault="{name}")
    @pytest.mark.parametrize(
        ("name", "polls"),
        [("list lags, peer does not poll", False), ("list lags, peer polls", True)],
    )
    def test_what_one_daemon_notices_is_told_to_the_others(
        self, clock, build, name, polls
    ):
        """Guards against daemons of other zones that send work to a leaving server."""
        first = Daemon(clock, build, "d0")
        second = Daemon(clock, build, "d1", polls)
        second.engines.reports_leaving = False
        for number in range(300):
            clock.advance(0.1)
            if number % 10 == 0:
                first.leaving.announce_new(CONFIG.backend_servers_by_id)
            for report in first.announced:
                second.leaving.learn(report.server, "peer")
            second.serve(number)
            second.leaving.announce_new(CONFIG.backend_servers_by_id)
        assert max(second.work_at) <= LEAVES_AT + WITHIN_S
        assert first.announced == [ServerReport("s0")]
        assert second.announced == []

    @pytest.mark.fault("leaving", step="report to peers", fault="{name}")
    @pytest.mark.parametrize(
        ("name", "fault"),
        [
            ("no fault", lambda f: None),
            ("zone readers lost", lambda f: [f.kill(n) for n in (1, 2)]),
            ("platform out", lambda f: setattr(f.api.faults, "outage", True)),
            ("announcement missed", lambda f: f.cut_off(5)),
        ],
    )
    def test_report_reaches_every_daemon_in_time(self, parts_of, name, fault):
        """Guards against a report that depends on the platform or a zone's reader."""
        fleet = parts_of("peers").Fleet()
        told = [[] for _ in fleet.daemons]
        for daemon, reports in zip(fleet.daemons, told, strict=True):
            daemon.peers.on_server_report(reports.append)
        fault(fleet)
        fleet.daemons[0].peers.announce_server(ServerReport("s0"))
        fleet.advance(0.5)
        fleet.cut_off()
        fleet.advance(1.5)
        running = [n for n in range(1, 6) if name != "zone readers lost" or n > 2]
        assert all(told[n] == [ServerReport("s0")] for n in running)


class TestDaemon:
    @pytest.mark.fault("leaving", step="{entered_at} s", fault="daemon told to stop")
    @pytest.mark.parametrize("entered_at", [0.0, 0.5, 9.75, 10.0, 11.0])
    @pytest.mark.parametrize("lasts", [0.25, 30.0])
    def test_graceful_stop_waits_for_every_accepted_request(
        self, clock, entered_at, lasts
    ):
        """Guards against cutting requests that arrive by an address still valid."""
        drain, finished = Drain(clock), []

        async def request():
            with drain.enter():
                done = Deferred()
                clock.callLater(lasts, done.callback, None)
                await done
                finished.append(clock.seconds())

        with drain.enter():
            drain.start(serve_until=10.0)
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
