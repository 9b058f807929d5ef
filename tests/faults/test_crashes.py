"""A request that crashes backend servers takes down at most two of the fleet."""

from collections import Counter

import pytest

from chivesaddle.routing import Refuse, RequestCrashesBackend, Router, Send, Wait
from chivesaddle.routing.naive import HashRouter, LeastLoadedRouter, RandomRouter
from chivesaddle.routing.suspects import Verdict

DAEMONS = 3
BAD = "bad"


class Fleet:
    """Routers with immediate, lossy announcements, and servers that die of ``BAD``."""

    def __init__(self, build, lost=frozenset()):
        self.build = build
        self.lost = lost
        self.now = 0.0
        self.routers = []
        self.killed = []
        self.ran = Counter()
        for n in range(DAEMONS):
            self.routers.append(Router(f"d{n}"))
            self.routers[n].update_config(build.config(servers=9, accounts=("a", "b")))

    def tell(self, sender, announcements):
        for n, router in enumerate(self.routers):
            if n == sender or (sender, n) in self.lost:
                continue
            for announcement in announcements:
                self.tell(n, router.receive(announcement, self.now))

    def exchange(self):
        """What the periodic exchange brings to peers that missed announcements."""
        for sender, router in enumerate(self.routers):
            for receiver in self.routers:
                for announcement in router.suspects.snapshot(self.now):
                    if receiver is not self.routers[sender]:
                        receiver.receive(announcement, self.now)

    def begin(self, daemon, prompt, account="a"):
        """Return the server that starts to run the request, or the refusal."""
        request = self.build.request(prompt, account, blocks=1, deadline=self.now + 9)
        match self.routers[daemon].choose(request, self.now):
            case Send() as sent:
                started = self.routers[daemon].record_start(request, sent, self.now)
                self.tell(daemon, started)
                return request, sent.server_id
            case Refuse(error):
                return request, error
            case Wait():
                return request, None

    def die(self, server):
        self.killed.append(server)
        # Announcements of each daemon that had a request there reach the peers.
        for n, router in enumerate(self.routers):
            self.tell(n, router.record_crash(server, self.now))

    def finish(self, daemon, request):
        cleared = self.routers[daemon].record_finish(request.request_id, self.now)
        self.tell(daemon, cleared)

    def resend(self, daemon, prompt=BAD, account="a"):
        """Send a request; the server dies if it is the bad one of account ``a``."""
        self.now += 5.0
        request, place = self.begin(daemon, prompt, account)
        if not isinstance(place, str):
            return place
        if (prompt, account) == (BAD, "a"):
            self.die(place)
        else:
            self.finish(daemon, request)
        return place


def _verdict(router, request, fleet):
    return router.suspects.verdict(request.fingerprint, fleet.now)


@pytest.fixture
def build(parts_of):
    return parts_of("routing").build.__wrapped__()


class TestCrashingRequest:
    @pytest.mark.fault("crashes", step="resent at {order}", fault="every run crashes")
    @pytest.mark.parametrize("order", ["0000", "0111", "0120", "0011", "2101"])
    def test_resends_anywhere_take_down_two_servers(self, build, order):
        """Guards against a caller that repeats its request at several daemons."""
        fleet = Fleet(build)
        answers = [fleet.resend(int(daemon)) for daemon in order]
        assert len(set(fleet.killed)) == 2
        assert all(isinstance(a, RequestCrashesBackend) for a in answers[2:])

    @pytest.mark.fault(
        "crashes",
        step="announcement",
        fault="lost to daemon {missed}, exchange follows",
    )
    @pytest.mark.parametrize("missed", [1, 2])
    def test_lost_announcement_is_made_up_by_exchange(self, build, missed):
        """Guards against a daemon that missed a crash counting from zero."""
        fleet = Fleet(build, lost={(0, missed)})
        for daemon in (0, missed, 3 - missed, 0, missed):
            fleet.resend(daemon)
            fleet.exchange()
        assert len(set(fleet.killed)) == 2

    @pytest.mark.fault("crashes", step="same prompt", fault="{name}")
    @pytest.mark.parametrize(
        ("name", "prompt", "account"),
        [("other account", BAD, "b"), ("other prompt", "good", "a")],
    )
    def test_only_the_request_of_the_account_is_rejected(
        self, build, name, prompt, account
    ):
        """Guards against one account's request blocking another account's."""
        fleet = Fleet(build)
        for daemon in (0, 1, 2):
            fleet.resend(daemon)
        assert isinstance(fleet.resend(0, prompt, account), str)

    @pytest.mark.fault("crashes", step="run together", fault="crash {crashes}")
    @pytest.mark.parametrize("crashes", [1, 2])
    def test_bystander_is_cleared_by_its_next_completed_run(self, build, crashes):
        """Guards against blaming requests that were in flight on the same server."""
        fleet = Fleet(build)
        for _ in range(crashes):
            fleet.now += 5.0
            _, server = fleet.begin(0, BAD)
            bystander = build.request("good", blocks=1, deadline=fleet.now + 9)
            peer, sent = fleet.routers[1], Send(server, 0)
            # A request that is suspect already would not be sent to the same server.
            assert _verdict(peer, bystander, fleet) is Verdict.NORMAL
            fleet.tell(1, peer.record_start(bystander, sent, fleet.now))
            fleet.die(server)
            fleet.resend(2, "good")
        for router in fleet.routers:
            assert _verdict(router, bystander, fleet) is Verdict.NORMAL

    @pytest.mark.fault("crashes", step="second run", fault="suspects share no server")
    def test_two_suspects_never_share_a_server(self, build):
        """Guards against a bystander that gets the blame for a second crash."""
        fleet = Fleet(build)
        _, server = fleet.begin(0, BAD)
        other = build.request("good", blocks=1, deadline=9.0)
        fleet.tell(1, fleet.routers[1].record_start(other, Send(server, 0), fleet.now))
        fleet.die(server)
        fleet.now = 5.0
        _, first = fleet.begin(1, BAD)
        _, second = fleet.begin(2, "good")
        assert isinstance(first, str)
        assert isinstance(second, str)
        assert first != second


class TestAgainstNaiveRouters:
    def resend_everywhere(self, build, routers):
        """Resend a crashing request at one daemon after another; return the dead."""
        killed, now = [], 0.0
        for turn in range(12):
            now += 5.0
            router = routers[turn % len(routers)]
            request = build.request(BAD, blocks=1, deadline=now + 9)
            match router.choose(request, now, frozenset(killed)):
                case Send(server_id) as sent:
                    announcements = [*router.record_start(request, sent, now)]
                    killed.append(server_id)
                    if isinstance(router, Router):
                        announcements += router.record_crash(server_id, now)
                    for other in routers:
                        if other is not router:
                            for announcement in announcements:
                                other.receive(announcement, now)
        return killed

    @pytest.mark.fault(
        "crashes", step="resent anywhere", fault="against {naive.__name__}"
    )
    @pytest.mark.parametrize("naive", [RandomRouter, LeastLoadedRouter, HashRouter])
    def test_naive_router_loses_the_pool_and_this_one_two_servers(self, build, naive):
        """Shows that the limit of two fails without crash counts."""
        simple = [naive() for _ in range(DAEMONS)]
        routers = [Router(f"d{n}") for n in range(DAEMONS)]
        for router in [*simple, *routers]:
            router.update_config(build.config(servers=9))
        assert len(set(self.resend_everywhere(build, simple))) == 9
        assert len(set(self.resend_everywhere(build, routers))) == 2
