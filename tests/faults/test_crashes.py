"""A request that crashes backend servers takes down at most two of them."""

from collections import Counter

import pytest

from chivesaddle.routing import Refuse, RequestCrashesBackend, Router, Send, Wait
from chivesaddle.routing.naive import HashRouter, LeastLoadedRouter, RandomRouter
from chivesaddle.routing.suspects import Verdict

DAEMON_COUNT = 3
CRASHING_PROMPT = "bad"


class Fleet:
    """Routers of several daemons, and backend servers that crash on one prompt.

    Announcements are delivered at once, except over the (sender, receiver) pairs in
    ``lost_links``. Servers crash when they run ``CRASHING_PROMPT`` for account ``a``.
    """

    def __init__(self, build, lost_links=frozenset()):
        self.build = build
        self.lost_links = lost_links
        self.now = 0.0
        self.routers = []
        self.crashed_servers = []
        self.ran = Counter()
        for n in range(DAEMON_COUNT):
            self.routers.append(Router(f"d{n}"))
            self.routers[n].update_config(build.config(servers=9, accounts=("a", "b")))

    def deliver(self, sender, announcements):
        for n, router in enumerate(self.routers):
            if n == sender or (sender, n) in self.lost_links:
                continue
            for announcement in announcements:
                self.deliver(n, router.receive(announcement, self.now))

    def exchange_suspects(self):
        """Send each router's suspects to the others, as the periodic exchange does."""
        for sender, router in enumerate(self.routers):
            for receiver in self.routers:
                for announcement in router.suspects.snapshot(self.now):
                    if receiver is not self.routers[sender]:
                        receiver.receive(announcement, self.now)

    def start_request(self, daemon, prompt, account="a"):
        """Route a request; return it with its server's id, its error or None (wait)."""
        request = self.build.request(prompt, account, blocks=1, deadline=self.now + 9)
        match self.routers[daemon].choose(request, self.now):
            case Send() as decision:
                started = self.routers[daemon].record_start(request, decision, self.now)
                self.deliver(daemon, started)
                return request, decision.server_id
            case Refuse(error):
                return request, error
            case Wait():
                return request, None

    def crash_server(self, server):
        self.crashed_servers.append(server)
        # Each daemon that had a request on the server announces the crash to its peers.
        for n, router in enumerate(self.routers):
            self.deliver(n, router.record_crash(server, self.now))

    def finish_request(self, daemon, request):
        cleared = self.routers[daemon].record_finish(request.request_id, self.now)
        self.deliver(daemon, cleared)

    def send_request(self, daemon, prompt=CRASHING_PROMPT, account="a"):
        """Send a request and return the id of the server that ran it, or the error."""
        self.now += 5.0
        request, server_or_error = self.start_request(daemon, prompt, account)
        if not isinstance(server_or_error, str):
            return server_or_error
        if (prompt, account) == (CRASHING_PROMPT, "a"):
            self.crash_server(server_or_error)
        else:
            self.finish_request(daemon, request)
        return server_or_error


def verdict_of(router, request, fleet):
    return router.suspects.verdict(request.fingerprint, fleet.now)


@pytest.fixture
def build(import_conftest):
    return import_conftest("routing").build.__wrapped__()


class TestCrashingRequest:
    @pytest.mark.fault("crashes", step="resent at {order}", fault="every run crashes")
    @pytest.mark.parametrize("order", ["0000", "0111", "0120", "0011", "2101"])
    def test_resends_at_any_daemon_crash_two_servers(self, build, order):
        """Guards against further crashes when a caller repeats a crashing request."""
        fleet = Fleet(build)
        answers = [fleet.send_request(int(daemon)) for daemon in order]
        assert len(set(fleet.crashed_servers)) == 2
        assert all(isinstance(a, RequestCrashesBackend) for a in answers[2:])

    @pytest.mark.fault(
        "crashes",
        step="announcement",
        fault="lost to daemon {missed_daemon}, exchange follows",
    )
    @pytest.mark.parametrize("missed_daemon", [1, 2])
    def test_exchange_recovers_lost_announcement(self, build, missed_daemon):
        """Guards against a daemon that counts from zero after a lost announcement."""
        fleet = Fleet(build, lost_links={(0, missed_daemon)})
        for daemon in (0, missed_daemon, 3 - missed_daemon, 0, missed_daemon):
            fleet.send_request(daemon)
            fleet.exchange_suspects()
        assert len(set(fleet.crashed_servers)) == 2

    @pytest.mark.fault("crashes", step="same prompt", fault="{name}")
    @pytest.mark.parametrize(
        ("name", "prompt", "account"),
        [("other account", CRASHING_PROMPT, "b"), ("other prompt", "good", "a")],
    )
    def test_only_the_request_of_the_account_is_rejected(
        self, build, name, prompt, account
    ):
        """Guards against one account's request blocking another account's."""
        fleet = Fleet(build)
        for daemon in (0, 1, 2):
            fleet.send_request(daemon)
        assert isinstance(fleet.send_request(0, prompt, account), str)

    @pytest.mark.fault("crashes", step="run together", fault="crash {crashes}")
    @pytest.mark.parametrize("crashes", [1, 2])
    def test_concurrent_request_is_cleared_by_its_next_completed_run(
        self, build, crashes
    ):
        """Guards against rejecting requests that merely ran on a crashed server."""
        fleet = Fleet(build)
        for _ in range(crashes):
            fleet.now += 5.0
            _, server = fleet.start_request(0, CRASHING_PROMPT)
            concurrent_request = build.request("good", blocks=1, deadline=fleet.now + 9)
            peer, decision = fleet.routers[1], Send(server, 0)
            # A request that is already suspect would not be sent to the same server.
            assert verdict_of(peer, concurrent_request, fleet) is Verdict.NORMAL
            fleet.deliver(1, peer.record_start(concurrent_request, decision, fleet.now))
            fleet.crash_server(server)
            fleet.send_request(2, "good")
        for router in fleet.routers:
            assert verdict_of(router, concurrent_request, fleet) is Verdict.NORMAL

    @pytest.mark.fault("crashes", step="second run", fault="suspects share no server")
    def test_two_suspects_never_share_a_server(self, build):
        """Guards against counting a second crash for a request that didn't cause it."""
        fleet = Fleet(build)
        _, server = fleet.start_request(0, CRASHING_PROMPT)
        other = build.request("good", blocks=1, deadline=9.0)
        fleet.deliver(
            1, fleet.routers[1].record_start(other, Send(server, 0), fleet.now)
        )
        fleet.crash_server(server)
        fleet.now = 5.0
        _, first_server = fleet.start_request(1, CRASHING_PROMPT)
        _, second_server = fleet.start_request(2, "good")
        assert isinstance(first_server, str)
        assert isinstance(second_server, str)
        assert first_server != second_server


class TestAgainstNaiveRouters:
    def send_to_each_router(self, build, routers):
        """Send a crashing request to the routers in turn; return the lost servers."""
        crashed_servers, now = [], 0.0
        for attempt in range(12):
            now += 5.0
            router = routers[attempt % len(routers)]
            request = build.request(CRASHING_PROMPT, blocks=1, deadline=now + 9)
            match router.choose(request, now, frozenset(crashed_servers)):
                case Send(server_id) as decision:
                    announcements = [*router.record_start(request, decision, now)]
                    crashed_servers.append(server_id)
                    if isinstance(router, Router):
                        announcements += router.record_crash(server_id, now)
                    for other in routers:
                        if other is not router:
                            for announcement in announcements:
                                other.receive(announcement, now)
        return crashed_servers

    @pytest.mark.fault(
        "crashes", step="resent anywhere", fault="against {naive.__name__}"
    )
    @pytest.mark.parametrize("naive", [RandomRouter, LeastLoadedRouter, HashRouter])
    def test_naive_router_loses_the_pool_and_this_one_two_servers(self, build, naive):
        """Shows that routers without crash counts exceed the limit of two servers."""
        naive_routers = [naive() for _ in range(DAEMON_COUNT)]
        routers = [Router(f"d{n}") for n in range(DAEMON_COUNT)]
        for router in [*naive_routers, *routers]:
            router.update_config(build.config(servers=9))
        assert len(set(self.send_to_each_router(build, naive_routers))) == 9
        assert len(set(self.send_to_each_router(build, routers))) == 2
