"""A prompt part that crashes servers that begin to answer it."""

from dataclasses import dataclass
from types import SimpleNamespace

import pytest

# The users' rule allows three requests later than 3 s after the fifth crash.
STABLE_WINDOW_S = 3.0
MAX_SENDS_AFTERWARDS = 3
# Target of the project; requests that run before the first crash is known crash too.
MAX_CRASHES = 8
# Time from the request until a server begins to answer.
PREFILL_S = 0.1
EVENT = b"id: 1\ndata: x\n\n"


def prefer(daemon, number):
    """Let a daemon send to one server, as long as its knowledge of load is recent."""
    for server in daemon.servers.all():
        is_chosen = server.entry.id.startswith(f"i-{number}-")
        daemon.servers.record_load(server.entry.id, 0 if is_chosen else 50, 0)


@dataclass
class Run:
    """A caller's request and the server that it runs on."""

    id: str
    caller: object
    parts: str
    is_deadly: bool
    sent_at: float
    connection: object = None
    due: float = 0.0


class PartTraffic:
    """Requests of a fleet's callers, some of which have a part that crashes servers."""

    def __init__(self, fleet, route="/stream/", server_down_s=1.5):
        self.fleet = fleet
        self.route = route
        self.server_down_s = server_down_s
        self.runs = []
        self.finished = []
        self.crash_times = []
        self.deadly_sends = []
        self.random = fleet.random

    @property
    def now(self):
        return self.fleet.reactor.seconds()

    def send(self, parts, *, is_deadly=False, daemon=None, number=None):
        count = len(self.runs) + len(self.finished)
        id = f"request-{count}"
        number = count if number is None else number
        daemon = self.random.choice(self.fleet.daemons) if daemon is None else daemon
        headers = f"X-Chivesaddle-Prompt-Prefix: {parts},{number:x}:10"
        caller = daemon.caller()
        caller.request(
            f"{self.route}{number}", id, headers=headers, body=b"%d" % number
        )
        run = Run(id, caller, parts, is_deadly, self.now)
        self.runs.append(run)
        return run

    def advance(self, seconds, each_tick=lambda: None):
        for _ in range(round(seconds / 0.05)):
            each_tick()
            self._step()
            self.fleet.advance(0.05)

    def _step(self):
        for run in list(self.runs):
            if run.caller.status is not None or run.caller.transport.is_lost:
                self.runs.remove(run)
                self.finished.append(run)
                continue
            connection = self.fleet.connection_of(run.id)
            if connection is None:
                continue
            if connection is not run.connection:
                run.connection, run.due = connection, self.now + PREFILL_S
                if run.is_deadly:
                    self.deadly_sends.append(self.now)
            elif self.now >= run.due:
                self._begin_to_answer(run)

    def _begin_to_answer(self, run):
        if run.is_deadly:
            self.crash_times.append(self.now)
            self.fleet.crash(run.connection, self.server_down_s)
            return
        run.connection.start_stream(EVENT, request_id=run.id)
        run.connection.end_stream()

    def sends_after_fifth_crash(self):
        if len(self.crash_times) < 5:
            return 0
        allowed_until = self.crash_times[4] + STABLE_WINDOW_S
        return sum(at > allowed_until for at in self.deadly_sends)

    def served_share(self, parts_start, since, until=float("inf")):
        sound = [
            run
            for run in self.finished
            if not run.is_deadly
            and run.parts.startswith(parts_start)
            and since <= run.sent_at < until
        ]
        assert len(sound) >= 20
        return sum(run.caller.status == 200 for run in sound) / len(sound)


@pytest.fixture
def traffic(crash_fleet):
    def make(daemons, **options):
        return PartTraffic(crash_fleet(daemons), **options)

    return make


class Mix:
    """Sends one deadly request and some sound ones in each interval."""

    def __init__(self, traffic, deadly, sound, deadly_every_s=0.0, sound_every_s=0.1):
        self.traffic = traffic
        self.deadly, self.sound = deadly, sound
        self.next = SimpleNamespace(deadly=traffic.now, sound=traffic.now)
        self.every = SimpleNamespace(deadly=deadly_every_s, sound=sound_every_s)
        self.sent = 0

    def __call__(self):
        now = self.traffic.now
        if self.deadly and now >= self.next.deadly:
            self.next.deadly = now + self.every.deadly
            self.traffic.send(self._pick(self.deadly), is_deadly=True)
        if now >= self.next.sound:
            self.next.sound = now + self.every.sound
            self.traffic.send(self._pick(self.sound))

    def _pick(self, prompts):
        self.sent += 1
        return prompts[self.sent % len(prompts)]


SOUND = ["aa:100,b1:20", "aa:100,b2:20", "aa:100,b3:20", "cc:50,b1:20"]


class TestPartThatCrashesServers:
    @pytest.mark.parametrize("daemons", [1, 4, 9])
    @pytest.mark.parametrize("route", ["/stream/", "/resumable/"])
    @pytest.mark.parametrize("deadly_every_s", [0.1, 0.4, 2.0])
    def test_ends_few_servers(self, traffic, daemons, route, deadly_every_s):
        traffic = traffic(daemons, route=route)
        traffic.advance(5, Mix(traffic, [], SOUND))
        started_at = traffic.now
        mix = Mix(traffic, ["aa:100,dd:20"], SOUND, deadly_every_s)
        traffic.advance(30, mix)
        assert len(traffic.crash_times) <= MAX_CRASHES
        assert traffic.sends_after_fifth_crash() <= MAX_SENDS_AFTERWARDS
        assert traffic.served_share("aa", started_at + 20) >= 0.9

    @pytest.mark.parametrize(
        "deadly",
        [
            pytest.param(["dd:100,b1:20", "dd:100,b2:20"], id="first-part"),
            pytest.param(["aa:100,dd:20,b1:5", "cc:100,dd:20"], id="changing-places"),
            pytest.param(["aa:100,dd:9", "aa:100,de:9"], id="two-parts"),
            pytest.param(["aa:100,dd:9,de:9"], id="two-parts-always-together"),
        ],
    )
    def test_is_found_wherever_it_stands(self, traffic, deadly):
        traffic = traffic(6)
        traffic.advance(25, Mix(traffic, deadly, SOUND, 0.3))
        assert len(traffic.crash_times) <= MAX_CRASHES
        assert traffic.sends_after_fifth_crash() <= MAX_SENDS_AFTERWARDS
        assert traffic.served_share("aa", 15) >= 0.9

    def test_is_found_while_datagrams_are_lost(self, traffic):
        traffic = traffic(6)
        traffic.fleet.loses_datagrams = True
        traffic.advance(30, Mix(traffic, ["aa:100,dd:20"], SOUND, 0.5))
        assert traffic.sends_after_fifth_crash() <= MAX_SENDS_AFTERWARDS
        assert traffic.served_share("aa", 20) >= 0.9


class TestSoundParts:
    def test_parts_of_one_request_that_crashes_servers_are_served(self, traffic):
        """Guards against a request that takes the requests of its parts along."""
        traffic = traffic(6)
        for _ in range(20):
            traffic.send("ff:9,fe:9", is_deadly=True, number=0)
            traffic.advance(0.5)
        assert len(traffic.crash_times) == 3
        for _ in range(20):
            traffic.send("ff:9,fe:9")
            traffic.advance(0.1)
        traffic.advance(1)
        assert traffic.served_share("ff", 10) == 1.0

    def test_parts_of_servers_that_end_by_themselves_are_served(self, traffic):
        traffic = traffic(6)
        mix = Mix(traffic, [], SOUND, sound_every_s=0.05)
        for _ in range(10):
            traffic.advance(1, mix)
            running = [run.connection for run in traffic.runs if run.connection]
            traffic.fleet.crash(running[-1], 0.5)
        traffic.advance(2, mix)
        assert traffic.served_share("aa", traffic.now - 2) == 1.0

    def test_parts_of_a_lost_zone_are_served(self, traffic):
        """Guards against one moment without servers that condemns common parts."""
        traffic = traffic(6)
        mix = Mix(traffic, [], SOUND, sound_every_s=0.05)
        traffic.advance(5, mix)
        for number, daemon in zip(
            traffic.fleet.SERVERS, traffic.fleet.daemons, strict=False
        ):
            prefer(daemon, number)
            for parts in SOUND:
                run = traffic.send(parts, daemon=daemon)
            traffic.fleet.crash(traffic.fleet.connection_of(run.id), 2.0)
        traffic.advance(10, mix)
        assert traffic.served_share("aa", traffic.now - 5) == 1.0

    def test_lost_connections_of_one_daemon_condemn_nothing(self, traffic):
        traffic = traffic(6)
        mix = Mix(traffic, [], SOUND, sound_every_s=0.05)
        traffic.advance(5, mix)
        daemon = traffic.fleet.daemons[0]
        for _ in range(12):
            for _ in range(6):
                traffic.send("ee:100", daemon=daemon)
            for run in traffic.runs:
                if run.parts == "ee:100":
                    connection = traffic.fleet.connection_of(run.id)
                    if connection is not None:
                        connection.transport.lose_connection()
            traffic.advance(1, mix)
        others = traffic.fleet.daemons[1:]
        served = [traffic.send("ee:100", daemon=other) for other in others]
        traffic.advance(1, mix)
        assert [run.caller.status for run in served] == [200] * len(others)
