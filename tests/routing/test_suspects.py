import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from chivesaddle.routing import (
    Refuse,
    RequestCrashesBackend,
    Router,
    Send,
    SuspectCrashed,
    SuspectRunning,
    SuspectStopped,
    Wait,
)
from chivesaddle.routing.suspects import MAX_SUSPECTS, SuspectRegistry, Verdict


def send_and_crash(router, request, now):
    """Send the request and crash its server; return the server and announcements."""
    sent = router.choose(request, now)
    started = router.record_start(request, sent, now)
    return sent.server_id, [*started, *router.record_crash(sent.server_id, now)]


class TestCrashCount:
    @pytest.mark.fault("crashes", step="second crash")
    def test_second_crash_rejects_for_a_day(self, build):
        router = build.router()
        send_and_crash(router, build.request(), 0)
        send_and_crash(router, build.request(), 10)
        refused = router.choose(build.request(), 20)
        assert isinstance(refused.error, RequestCrashesBackend)
        assert refused.error.retry_after_s == 24 * 3600 - 20
        assert isinstance(router.choose(build.request(deadline=1e6), 86_401), Send)

    @pytest.mark.fault("crashes", step="completed run")
    def test_completed_run_clears_on_all_daemons_even_if_the_crash_arrives_later(
        self, build
    ):
        """Guards against a reordered announcement making a request suspect again."""
        router, peer = build.router(), Router("d2")
        _, announcements = send_and_crash(router, build.request(), 0)
        request = build.request()
        router.record_start(request, router.choose(request, 1), 1)
        cleared = router.record_finish(request.request_id, 2)
        for announcement in [*cleared, *announcements]:
            peer.receive(announcement, 3)
        for suspects in (router.suspects, peer.suspects):
            assert suspects.verdict(request.fingerprint, 3) is Verdict.NORMAL

    @pytest.mark.fault("crashes", step="announcement")
    def test_exchange_updates_a_peer_that_missed_all_announcements(self, build):
        """Guards against lost announcements of crashes and of clears."""
        router, peer = build.router(), Router("d2")
        send_and_crash(router, build.request(), 0)
        fingerprint = build.request().fingerprint
        for verdict in (Verdict.ISOLATED, Verdict.NORMAL):
            for announcement in router.suspects.snapshot(5):
                peer.receive(announcement, 5)
            assert peer.suspects.verdict(fingerprint, 5) is verdict
            router.clear_suspect(fingerprint, 5)

    def test_second_report_of_one_crash_by_the_same_daemon_is_not_counted(self, build):
        router = build.router()
        server, _ = send_and_crash(router, build.request(), 0)
        assert router.record_crash(server, 0.1) == ()

    @pytest.mark.fault("crashes", step="announcement")
    def test_one_crash_reported_by_two_daemons_counts_once(self):
        """Guards against rejecting a request that ran twice on one crashed server."""
        suspects = SuspectRegistry("d1")
        suspects.receive(SuspectCrashed("f", "1", "s", "d2"), 0)
        suspects.receive(SuspectCrashed("f", "2", "s", "d3"), 1)
        assert suspects.crash_count("f", 1) == 1
        suspects.receive(SuspectCrashed("f", "3", "s", "d3"), 30)
        assert suspects.crash_count("f", 30) == 2

    def test_relayed_crash_expires_a_day_after_the_crash(self):
        suspects = SuspectRegistry("d1")
        suspects.receive(SuspectCrashed("f", "1", "s", "d2", age_s=86_000), 0)
        assert suspects.crash_count("f", 500) == 0

    def test_runs_that_started_before_the_crash_are_announced(self):
        """Guards against a retry while a copy runs that started before the crash."""
        suspects = SuspectRegistry("d1")
        assert suspects.start("run", "f", "s0", 0) == ()
        crashed = SuspectCrashed("f", "1", "s1", "d2")
        assert suspects.receive(crashed, 1) == (SuspectRunning("f", "run", "s0"),)

    def test_run_whose_end_arrives_before_its_start_is_ignored(self):
        """Guards against a reordered announcement marking a server as occupied."""
        suspects = SuspectRegistry("d1")
        suspects.receive(SuspectCrashed("f", "1", "s1", "d2"), 0)
        suspects.receive(SuspectStopped("run"), 0)
        suspects.receive(SuspectRunning("f", "run", "s0"), 0)
        assert not suspects.is_running("f", 0)

    def test_memory_is_bounded_and_rejected_requests_stay(self):
        suspects = SuspectRegistry("d1")
        for n in range(2):
            suspects.receive(SuspectCrashed("bad", f"b{n}", f"s{n}", "d2"), n)
        for n in range(MAX_SUSPECTS + 5):
            suspects.receive(SuspectCrashed(f"f{n}", str(n), "s", "d2"), 9)
        assert len(suspects) == MAX_SUSPECTS
        assert suspects.verdict("bad", 9) is Verdict.REJECTED


class TestIsolation:
    @pytest.mark.fault("crashes", step="isolated run")
    def test_one_suspect_per_server_counting_peers(self, build):
        """Guards against a crash that may be due to either of two suspects."""
        router = build.router(servers=2)
        for server in ("s0", "s1"):
            for prompt in "xyz":
                request = build.request(prompt=prompt)
                router.record_start(request, Send(server, 0), 0)
            router.record_crash(server, 0)
            router.suspects._reports_by_fingerprint.popitem()
        suspects = SuspectRegistry("d2")
        suspects.receive(SuspectCrashed("p", "1", "s9", "d3"), 0)
        for announcement in suspects.start("run", "p", "s0", 0):
            router.receive(announcement, 0)
        router.receive(SuspectCrashed("p", "1", "s9", "d3"), 0)
        router.receive(SuspectCrashed("a/q", "2", "s9", "d3"), 0)
        request = build.request(prompt="q")
        sent = router.choose(request, 9)
        assert sent.server_id == "s1"
        router.record_start(request, sent, 9)
        router.receive(SuspectCrashed("a/r", "3", "s9", "d3"), 9)
        assert isinstance(router.choose(build.request(prompt="r"), 9), Wait)
        for announcement in suspects.stop("run", 9, completed=False):
            router.receive(announcement, 9)
        assert router.choose(build.request(prompt="r"), 9).server_id == "s0"

    @settings(
        derandomize=True,
        deadline=None,
        max_examples=300,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["submit", "die", "deliver"]),
                st.integers(0, 2),
                st.integers(0, 9),
            ),
            max_size=50,
        )
    )
    @pytest.mark.fault(
        "crashes", step="any", fault="any order of crashes and announcements"
    )
    def test_one_request_takes_down_at_most_two_servers(self, build, steps):
        """Guards the limit under any order of events.

        A daemon receives all pending announcements before it sends a request. Copies
        that start before the first crash are placed on one server, the case that the
        design covers.
        """
        routers, now = [], 0.0
        for n in range(3):
            routers.append(Router(f"d{n}"))
            routers[-1].update_config(build.config(servers=5, zones=1))
        pending, running, crashed_servers = [[], [], []], {}, set()

        def announce(sender, announcements):
            for n in range(3):
                if n != sender:
                    pending[n].extend(announcements)

        def deliver(n, index):
            announcement = pending[n].pop(index % len(pending[n]))
            announce(n, routers[n].receive(announcement, now))

        for kind, n, index in steps:
            now += 5.0
            if kind == "deliver" and pending[n]:
                deliver(n, index)
            elif kind == "submit":
                while pending[n]:
                    deliver(n, index)
                request = build.request(blocks=1, deadline=now + 9)
                match routers[n].choose(request, now):
                    case Send(server_id) as sent:
                        if not crashed_servers and running:
                            server_id = next(iter(running.values()))
                            sent = Send(server_id, 0)
                        announce(n, routers[n].record_start(request, sent, now))
                        running[n, request.request_id] = server_id
                    case Refuse(error):
                        assert isinstance(error, RequestCrashesBackend)
            elif kind == "die" and running:
                crashed_server = sorted(set(running.values()))[
                    index % len({*running.values()})
                ]
                crashed_servers.add(crashed_server)
                observers = {d for (d, _), s in running.items() if s == crashed_server}
                running = {r: s for r, s in running.items() if s != crashed_server}
                for daemon in observers:
                    announce(daemon, routers[daemon].record_crash(crashed_server, now))
        assert len(crashed_servers) <= 2


class TestConflictingRuns:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(delays_s=st.lists(st.floats(0, 1), min_size=6, max_size=6))
    @pytest.mark.fault("crashes", step="start", fault="two suspects at one moment")
    def test_two_daemons_never_run_suspects_on_one_server(self, delays_s):
        """Guards against a second crash counting against a request without fault.

        Each daemon checks for a conflict after the other confirmed its announcement.
        """
        clock = Clock()
        daemons = [SuspectRegistry(name) for name in ("a", "b")]
        for daemon in daemons:
            for n in range(2):
                daemon.receive(SuspectCrashed(f"f{n}", f"c{n}", "old", "z", 0.0), 0.0)
        started_runs = []

        def start_unless_conflict(n):
            if not daemons[n].has_conflicting_run(f"r{n}", clock.seconds()):
                started_runs.append(n)

        def deliver(n, announcements, confirm_delay_s):
            for announcement in announcements:
                daemons[1 - n].receive(announcement, clock.seconds())
            clock.callLater(confirm_delay_s, start_unless_conflict, n)

        def announce_run(n, announce_delay_s, confirm_delay_s):
            sent = daemons[n].start(f"r{n}", f"f{n}", "s", clock.seconds())
            clock.callLater(announce_delay_s, deliver, n, sent, confirm_delay_s)

        for n in range(2):
            start_at, announce_delay_s, confirm_delay_s = delays_s[3 * n : 3 * n + 3]
            clock.callLater(
                start_at, announce_run, n, announce_delay_s, confirm_delay_s
            )
        clock.pump([0.001] * 3_100)
        assert len(started_runs) <= 1
