import pytest

from chivesaddle.core.aio import start
from chivesaddle.core.ids import BackendServerId
from chivesaddle.placement import (
    AdmissionQueue,
    Candidate,
    MemoryRequest,
    NoCapacity,
    ServerTable,
)
from chivesaddle.placement.choice import Load
from chivesaddle.platform import decode_server

MEMORY_TOKENS = 100


class Servers:
    """Servers whose memory use the tests set directly."""

    def __init__(self, clock, count=2):
        self.clock = clock
        self.queue = AdmissionQueue(clock, self.free_tokens)
        self.choices = 0
        self.is_listed = True
        self.used_tokens = {BackendServerId(f"s{number}"): 0 for number in range(count)}
        table = ServerTable(clock)
        for server in self.used_tokens:
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
            self.choices += 1
            if not self.is_listed:
                raise NoCapacity("The service has no server")

            def has_room(server):
                fits_in_memory = self.used_tokens[server] + tokens <= MEMORY_TOKENS
                return fits_in_memory and server not in reserved

            server = max(
                self.used_tokens, key=lambda s: (has_room(s), -self.used_tokens[s])
            )
            return Candidate(
                self.tracked(server),
                1,
                0.0,
                None,
                Load(0, 0, self.used_tokens[server]),
                has_capacity=has_room(server),
                candidate_count=len(self.used_tokens),
            )

        return chosen

    def submit(self, name, tokens, priority=5, target_s=1.0, timeout_s=3.0):
        now = self.clock.seconds()
        memory_request = MemoryRequest(
            tokens, priority, now, now + target_s, now + timeout_s
        )

        async def send():
            candidate = await self.queue.wait_for_capacity(
                memory_request, self.choose(tokens)
            )
            self.used_tokens[candidate.server.entry.id] += tokens
            self.sent.append(name)

        return start(send())

    def free_tokens(self):
        if not self.is_listed:
            return None
        return {s: MEMORY_TOKENS - used for s, used in self.used_tokens.items()}

    def free_memory(self, server, tokens):
        self.used_tokens[server] -= tokens
        self.queue.dispatch_ready()


@pytest.fixture
def servers(clock):
    return Servers(clock)


def fill_memory(servers):
    for server in servers.used_tokens:
        servers.used_tokens[server] = MEMORY_TOKENS


class TestWaiting:
    def test_request_is_sent_at_once_while_a_server_has_room(self, servers):
        servers.submit("a", 60)
        servers.submit("b", 60)
        assert servers.sent == ["a", "b"]

    def test_request_waits_until_a_run_frees_memory(self, servers):
        fill_memory(servers)
        servers.submit("a", 60)
        assert servers.sent == []
        servers.free_memory("s1", 60)
        assert servers.sent == ["a"]

    def test_memory_that_is_freed_without_a_report_is_found_by_polling(
        self, servers, clock
    ):
        fill_memory(servers)
        servers.submit("a", 60)
        servers.used_tokens["s0"] = 0
        clock.advance(0.1)
        assert servers.sent == ["a"]

    def test_more_urgent_request_goes_first(self, servers):
        fill_memory(servers)
        servers.submit("later", 60, priority=5)
        servers.submit("first", 60, priority=1)
        servers.free_memory("s0", 60)
        assert servers.sent == ["first"]

    def test_request_that_can_be_on_time_goes_before_one_that_cannot(
        self, servers, clock
    ):
        fill_memory(servers)
        servers.submit("late", 60, priority=1, target_s=0.2)
        clock.advance(0.3)
        servers.submit("on time", 60, priority=5)
        servers.free_memory("s0", 60)
        assert servers.sent == ["on time"]

    def test_freed_memory_is_given_to_one_request(self, servers):
        fill_memory(servers)
        servers.submit("a", 60)
        servers.submit("b", 60)
        servers.free_memory("s0", 60)
        assert servers.sent == ["a"]

    def test_cancelled_request_is_removed_from_the_queue(self, servers):
        fill_memory(servers)
        abandoned = servers.submit("a", 60)
        abandoned.addErrback(lambda _: None)
        abandoned.cancel()
        servers.free_memory("s0", 60)
        assert servers.sent == []
        assert len(servers.queue) == 0


class TestLargeRequests:
    def test_small_request_overtakes_a_large_one_that_does_not_fit(self, servers):
        fill_memory(servers)
        servers.submit("large", 90)
        servers.free_memory("s0", 20)
        servers.submit("small", 20)
        assert servers.sent == ["small"]

    def test_large_request_is_not_starved_by_small_ones(self, clock):
        servers = Servers(clock, count=5)
        fill_memory(servers)
        servers.submit("large", 90, target_s=0.8, timeout_s=9.0)
        for number in range(40):
            clock.advance(0.1)
            for server in servers.used_tokens:
                servers.free_memory(server, min(20, servers.used_tokens[server]))
            for suffix in "abcde":
                servers.submit(f"{number}{suffix}", 20).addErrback(lambda _: None)
            if "large" in servers.sent:
                break
        assert "large" in servers.sent
        assert len(servers.sent) > 5


class TestRejection:
    def test_request_that_cannot_be_served_in_time_is_rejected_on_arrival(
        self, servers, clock
    ):
        for number in range(10):
            clock.advance(0.3)
            servers.submit(number, 10)
        fill_memory(servers)
        # The queue has sent 70 tokens within its throughput window of 2 s.
        servers.submit("a", 60)
        rejected = servers.submit("b", 60, timeout_s=3.0)
        error = self.failure_of(rejected)
        assert isinstance(error, NoCapacity)
        assert error.retry_after_s >= 3.0
        assert clock.seconds() == pytest.approx(3.0)

    def test_request_is_rejected_when_it_expires(self, servers, clock):
        fill_memory(servers)
        rejected = servers.submit("a", 60, timeout_s=0.5)
        clock.pump([0.1] * 6)
        assert isinstance(self.failure_of(rejected), NoCapacity)
        assert len(servers.queue) == 0

    def test_error_while_choosing_a_server_ends_only_that_request(self, servers):
        fill_memory(servers)

        async def send_with_failing_choice():
            now = servers.clock.seconds()
            memory_request = MemoryRequest(1, 0, now, now + 1, now + 2)
            chosen = servers.choose(60)
            calls = []

            def choose(reserved):
                calls.append(reserved)
                if len(calls) > 1:
                    raise NoCapacity("no server is left")
                return chosen(reserved)

            await servers.queue.wait_for_capacity(memory_request, choose)

        result = start(send_with_failing_choice())
        servers.submit("a", 60)
        servers.free_memory("s0", 60)
        assert isinstance(self.failure_of(result), NoCapacity)
        assert servers.sent == ["a"]

    def failure_of(self, deferred):
        errors = []
        deferred.addErrback(lambda failure: errors.append(failure.value))
        assert errors
        return errors[0]


class TestCostOfLongQueues:
    """39 full servers and 200 waiting requests, as on the heaviest large day.

    Weighing 39 servers takes about a millisecond. Doing it for each waiting request at
    each change kept daemons busy for seconds: they answered late and did not notice
    that callers had left.
    """

    @pytest.fixture
    def full(self, clock):
        servers = Servers(clock, count=39)
        for server in servers.used_tokens:
            servers.used_tokens[server] = MEMORY_TOKENS
        for number in range(200):
            waiting = servers.submit(f"r{number}", 30, target_s=1.0, timeout_s=9.0)
            waiting.addErrback(lambda failure: failure.trap(NoCapacity))
        servers.choices = 0
        return servers

    def test_requests_that_fit_nowhere_are_not_weighed(self, full):
        for _ in range(50):
            full.queue.dispatch_ready()
        assert full.choices == 0

    def test_reservations_are_not_chosen_at_every_change(self, full, clock):
        clock.advance(0.6)
        full.choices = 0
        for _ in range(50):
            full.queue.dispatch_ready()
        assert full.choices <= 20

    def test_freed_memory_is_used_at_once(self, full):
        full.free_memory("s7", 60)
        assert full.sent == ["r0", "r1"]
        assert full.choices <= 4

    def test_waiting_requests_end_at_once_when_the_service_loses_its_servers(
        self, full
    ):
        full.is_listed = False
        full.queue.dispatch_ready()
        assert len(full.queue) == 0
