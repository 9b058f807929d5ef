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
from chivesaddle.routing.suspects import MAX_SUSPECTS, Suspects, Verdict


def crash(router, request, now):
    """Send the request, let the server die; return the server and announcements."""
    sent = router.choose(request, now)
    started = router.record_start(request, sent, now)
    return sent.server_id, [*started, *router.record_crash(sent.server_id, now)]


class TestCrashCount:
    @pytest.mark.fault("crashes", step="second crash")
    def test_second_crash_rejects_for_a_day(self, build):
        router = build.router()
        crash(router, build.request(), 0)
        crash(router, build.request(), 10)
        refused = router.choose(build.request(), 20)
        assert isinstance(refused.error, RequestCrashesBackend)
        assert refused.error.retry_after_s == 24 * 3600 - 20
        assert isinstance(router.choose(build.request(deadline=1e6), 86_401), Send)

    @pytest.mark.fault("crashes", step="completed run")
    def test_completed_run_clears_everywhere_even_if_the_crash_arrives_later(
        self, build
    ):
        """Guards against a reordered announcement making a request suspect again."""
        router, peer = build.router(), Router("d2")
        _, announcements = crash(router, build.request(), 0)
        request = build.request()
        router.record_start(request, router.choose(request, 1), 1)
        cleared = router.record_finish(request.request_id, 2)
        for announcement in [*cleared, *announcements]:
            peer.receive(announcement, 3)
        for suspects in (router.suspects, peer.suspects):
            assert suspects.verdict(request.fingerprint, 3) is Verdict.NORMAL

    @pytest.mark.fault("crashes", step="announcement")
    def test_exchange_brings_a_peer_that_missed_everything_up_to_date(self, build):
        """Guards against lost announcements, of crashes as well as of clears."""
        router, peer = build.router(), Router("d2")
        crash(router, build.request(), 0)
        fingerprint = build.request().fingerprint
        for verdict in (Verdict.ISOLATED, Verdict.NORMAL):
            for announcement in router.suspects.snapshot(5):
                peer.receive(announcement, 5)
            assert peer.suspects.verdict(fingerprint, 5) is verdict
            router.clear_suspect(fingerprint, 5)

    def test_second_notice_of_one_death_counts_nothing(self, build):
        router = build.router()
        server, _ = crash(router, build.request(), 0)
        assert router.record_crash(server, 0.1) == ()

    @pytest.mark.fault("crashes", step="announcement")
    def test_one_death_seen_by_two_daemons_counts_once(self):
        """Guards against rejecting a request that ran twice on one dead server."""
        suspects = Suspects("d1")
        suspects.receive(SuspectCrashed("f", "1", "s", "d2"), 0)
        suspects.receive(SuspectCrashed("f", "2", "s", "d3"), 1)
        assert suspects.crash_count("f", 1) == 1
        suspects.receive(SuspectCrashed("f", "3", "s", "d3"), 30)
        assert suspects.crash_count("f", 30) == 2

    def test_relayed_crash_does_not_outlive_the_day(self):
        suspects = Suspects("d1")
        suspects.receive(SuspectCrashed("f", "1", "s", "d2", age_s=86_000), 0)
        assert suspects.crash_count("f", 500) == 0

    def test_peer_learns_of_copies_that_ran_before_the_crash(self):
        """Guards against a retry beside a copy that started unsuspected."""
        suspects = Suspects("d1")
        assert suspects.start("run", "f", "s0", 0) == ()
        crashed = SuspectCrashed("f", "1", "s1", "d2")
        assert suspects.receive(crashed, 1) == (SuspectRunning("f", "run", "s0"),)

    def test_run_whose_end_arrives_first_blocks_nothing(self):
        """Guards against a reordered start announcement occupying a server."""
        suspects = Suspects("d1")
        suspects.receive(SuspectCrashed("f", "1", "s1", "d2"), 0)
        suspects.receive(SuspectStopped("run"), 0)
        suspects.receive(SuspectRunning("f", "run", "s0"), 0)
        assert not suspects.is_running("f", 0)

    def test_memory_is_bounded_and_rejected_requests_stay(self):
        suspects = Suspects("d1")
        for n in range(2):
            suspects.receive(SuspectCrashed("bad", f"b{n}", f"s{n}", "d2"), n)
        for n in range(MAX_SUSPECTS + 5):
            suspects.receive(SuspectCrashed(f"f{n}", str(n), "s", "d2"), 9)
        assert len(suspects) == MAX_SUSPECTS
        assert suspects.verdict("bad", 9) is Verdict.REJECTED


class TestIsolation:
    @pytest.mark.fault("crashes", step="isolated run")
    def test_one_suspect_per_server_counting_peers(self, build):
        """Guards against one crash making two suspects indistinguishable."""
        router = build.router(servers=2)
        for server in ("s0", "s1"):
            for prompt in "xyz":
                request = build.request(prompt=prompt)
                router.record_start(request, Send(server, 0), 0)
            router.record_crash(server, 0)
            router.suspects._crashes.popitem()
        suspects = Suspects("d2")
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
        """Guards the limit under any order of announcements that beat the retry.

        Copies that start before the first crash is announced share a server, the case
        that the design covers.
        """
        routers, now = [], 0.0
        for n in range(3):
            routers.append(Router(f"d{n}"))
            routers[-1].update_config(build.config(servers=5, zones=1))
        pending, running, killed = [[], [], []], {}, set()

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
                        if not killed and running:
                            server_id = next(iter(running.values()))
                            sent = Send(server_id, 0)
                        announce(n, routers[n].record_start(request, sent, now))
                        running[n, request.request_id] = server_id
                    case Refuse(error):
                        assert isinstance(error, RequestCrashesBackend)
            elif kind == "die" and running:
                victim = sorted(set(running.values()))[index % len({*running.values()})]
                killed.add(victim)
                observers = {d for (d, _), s in running.items() if s == victim}
                running = {r: s for r, s in running.items() if s != victim}
                for daemon in observers:
                    announce(daemon, routers[daemon].record_crash(victim, now))
        assert len(killed) <= 2


class TestRivals:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(times=st.lists(st.floats(0, 1), min_size=6, max_size=6))
    @pytest.mark.fault("crashes", step="start", fault="two suspects at one moment")
    def test_two_daemons_never_run_suspects_on_one_server(self, times):
        """Guards against a crash that blames an innocent request for the second time.

        Each daemon asks only after its announcement was confirmed by the other.
        """
        clock = Clock()
        daemons = [Suspects(name) for name in ("a", "b")]
        for daemon in daemons:
            for n in range(2):
                daemon.receive(SuspectCrashed(f"f{n}", f"c{n}", "old", "z", 0.0), 0.0)
        ran = []

        def ask(n):
            if not daemons[n].has_rival(f"r{n}", clock.seconds()):
                ran.append(n)

        def deliver(n, announcements, back):
            for announcement in announcements:
                daemons[1 - n].receive(announcement, clock.seconds())
            clock.callLater(back, ask, n)

        def begin(n, there, back):
            sent = daemons[n].start(f"r{n}", f"f{n}", "s", clock.seconds())
            clock.callLater(there, deliver, n, sent, back)

        for n in range(2):
            at, there, back = times[3 * n : 3 * n + 3]
            clock.callLater(at, begin, n, there, back)
        clock.pump([0.001] * 3_100)
        assert len(ran) <= 1
