import pytest

from chivesaddle.core.aio import start
from chivesaddle.core.ids import BackendServerId
from chivesaddle.placement import Candidate, Claim, MemoryLine, NoRoom, ServerTable
from chivesaddle.placement.choice import Load
from chivesaddle.platform import decode_server

MEMORY = 100


class Servers:
    """Servers with a memory that the tests fill and empty by hand."""

    def __init__(self, clock, count=2):
        self.clock = clock
        self.line = MemoryLine(clock)
        self.used = {BackendServerId(f"s{number}"): 0 for number in range(count)}
        table = ServerTable(clock)
        for server in self.used:
            entry = {
                "service": "llm",
                "address": f"10.0.0.{server[1:]}:80",
                "zone": "z",
                "slots": 4,
                "state": "ready",
            }
            table.put(decode_server(server, entry))
        self.tracked = table.get
        self.sent = []

    def choose(self, tokens):
        def chosen(reserved):
            def room(server):
                fits = self.used[server] + tokens <= MEMORY
                return fits and server not in reserved

            server = max(self.used, key=lambda s: (room(s), -self.used[s]))
            return Candidate(
                self.tracked(server),
                1,
                0.0,
                None,
                Load(0, 0, self.used[server]),
                has_room=room(server),
                alternatives=len(self.used),
            )

        return chosen

    def ask(self, name, tokens, rank=5, target_s=1.0, patience_s=3.0):
        now = self.clock.seconds()
        claim = Claim(tokens, rank, now, now + target_s, now + patience_s)

        async def send():
            found = await self.line.wait_for_room(claim, self.choose(tokens))
            self.used[found.server.entry.id] += tokens
            self.sent.append(name)

        return start(send())

    def free(self, server, tokens):
        self.used[server] -= tokens
        self.line.look()


@pytest.fixture
def servers(clock):
    return Servers(clock)


def fill(servers):
    for server in servers.used:
        servers.used[server] = MEMORY


class TestWaiting:
    def test_request_is_sent_at_once_while_a_server_has_room(self, servers):
        servers.ask("a", 60)
        servers.ask("b", 60)
        assert servers.sent == ["a", "b"]

    def test_request_waits_until_a_run_frees_memory(self, servers):
        fill(servers)
        servers.ask("a", 60)
        assert servers.sent == []
        servers.free("s1", 60)
        assert servers.sent == ["a"]

    def test_memory_that_nobody_reports_is_found_by_looking(self, servers, clock):
        fill(servers)
        servers.ask("a", 60)
        servers.used["s0"] = 0
        clock.advance(0.1)
        assert servers.sent == ["a"]

    def test_more_urgent_request_goes_first(self, servers):
        fill(servers)
        servers.ask("later", 60, rank=5)
        servers.ask("first", 60, rank=1)
        servers.free("s0", 60)
        assert servers.sent == ["first"]

    def test_request_that_can_be_on_time_goes_before_one_that_cannot(
        self, servers, clock
    ):
        fill(servers)
        servers.ask("late", 60, rank=1, target_s=0.2)
        clock.advance(0.3)
        servers.ask("on time", 60, rank=5)
        servers.free("s0", 60)
        assert servers.sent == ["on time"]

    def test_one_free_room_is_given_once(self, servers):
        fill(servers)
        servers.ask("a", 60)
        servers.ask("b", 60)
        servers.free("s0", 60)
        assert servers.sent == ["a"]

    def test_caller_that_leaves_gives_up_its_place(self, servers):
        fill(servers)
        left = servers.ask("a", 60)
        left.addErrback(lambda _: None)
        left.cancel()
        servers.free("s0", 60)
        assert servers.sent == []
        assert len(servers.line) == 0


class TestLargeRequests:
    def test_small_requests_pass_a_large_one_that_does_not_fit(self, servers):
        fill(servers)
        servers.ask("large", 90)
        servers.free("s0", 20)
        servers.ask("small", 20)
        assert servers.sent == ["small"]

    def test_large_request_gets_room_although_small_ones_keep_coming(self, clock):
        servers = Servers(clock, count=5)
        fill(servers)
        servers.ask("large", 90, target_s=0.8, patience_s=9.0)
        for number in range(40):
            clock.advance(0.1)
            for server in servers.used:
                servers.free(server, min(20, servers.used[server]))
            for side in "abcde":
                servers.ask(f"{number}{side}", 20).addErrback(lambda _: None)
            if "large" in servers.sent:
                break
        assert "large" in servers.sent
        assert len(servers.sent) > 5


class TestRefusing:
    def test_request_that_the_line_cannot_serve_in_time_is_refused_on_arrival(
        self, servers, clock
    ):
        for number in range(10):
            clock.advance(0.3)
            servers.ask(number, 10)
        fill(servers)
        # 60 tokens leave the line in its window of 2 s.
        servers.ask("a", 60)
        refused = servers.ask("b", 60, patience_s=3.0)
        error = self.failure_of(refused)
        assert isinstance(error, NoRoom)
        assert error.retry_after_s >= 3.0
        assert clock.seconds() == pytest.approx(3.0)

    def test_request_is_refused_once_its_caller_would_have_left(self, servers, clock):
        fill(servers)
        refused = servers.ask("a", 60, patience_s=0.5)
        clock.pump([0.1] * 6)
        assert isinstance(self.failure_of(refused), NoRoom)
        assert len(servers.line) == 0

    def test_error_of_the_choice_ends_the_request_alone(self, servers):
        fill(servers)

        async def broken():
            now = servers.clock.seconds()
            claim = Claim(1, 0, now, now + 1, now + 2)
            chosen = servers.choose(60)
            calls = []

            def choose(reserved):
                calls.append(reserved)
                if len(calls) > 1:
                    raise NoRoom("no server is left")
                return chosen(reserved)

            await servers.line.wait_for_room(claim, choose)

        ended = start(broken())
        servers.ask("a", 60)
        servers.free("s0", 60)
        assert isinstance(self.failure_of(ended), NoRoom)
        assert servers.sent == ["a"]

    def failure_of(self, deferred):
        errors = []
        deferred.addErrback(lambda failure: errors.append(failure.value))
        assert errors
        return errors[0]
