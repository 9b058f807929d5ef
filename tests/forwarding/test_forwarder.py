import pytest

EVENT_1 = b"id: 1\ndata: a\n\n"
EVENT_2 = b"id: 2\ndata: b\n\n"


class TestWholeAnswers:
    def test_answer_reaches_the_caller_unchanged_and_signed(self, path, caller):
        caller.request("/safe/x")
        path.connections[0].answer(200, b"hello")
        assert caller.status == 200
        assert b"x-chivesaddle-server-signature: sig" in caller.received().lower()
        assert caller.received().endswith(b"\r\n\r\nhello")

    def test_success_without_signature_is_not_passed_on(self, path, caller):
        """Guards against handing out bytes that no server vouches for."""
        caller.request("/unsafe/x")
        path.connections[0].answer(200, b"hello", signed=False)
        assert caller.status == 502
        assert b"hello" not in caller.received()

    def test_answer_to_another_request_is_skipped_and_the_own_one_passed(
        self, path, caller
    ):
        """Guards against an earlier request's surplus answer reaching this caller."""
        caller.request("/unsafe/x")
        server = path.connections[0]
        server.answer(200, b"other", request_id="a0")
        assert caller.status is None
        server.answer(200, b"own")
        assert caller.received().endswith(b"\r\n\r\nown")

    def test_answer_that_ends_early_is_a_failure_not_a_short_success(
        self, path, caller
    ):
        caller.request("/unsafe/x")
        server = path.connections[0]
        server.send(
            b"HTTP/1.1 200 OK\r\nX-Chivesaddle-Server-Signature: s\r\n"
            b"X-Chivesaddle-Attempt-Identifier: a1\r\nContent-Length: 9\r\n\r\nhal"
        )
        server.transport.lose()
        assert caller.status == 502
        assert b"hal" not in caller.received()

    def test_unframed_answer_that_is_reset_is_not_complete(self, path, caller):
        caller.request("/unsafe/x")
        server = path.connections[0]
        server.send(
            b"HTTP/1.1 200 OK\r\nX-Chivesaddle-Server-Signature: s\r\n"
            b"X-Chivesaddle-Attempt-Identifier: a1\r\nConnection: close\r\n\r\nhal"
        )
        server.transport.lose()
        assert caller.status == 502

    def test_connection_with_surplus_bytes_carries_no_other_request(self, path, caller):
        caller.request("/safe/x")
        path.connections[0].answer(200, b"one")
        path.connections[0].send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        path.advance()
        caller.request("/safe/x", request_id="a2")
        assert len(path.connections) == 2

    def test_bytes_after_an_answer_in_the_same_segment_close_the_connection(
        self, path, caller
    ):
        caller.request("/safe/x")
        server = path.connections[0]
        server.send(
            b"HTTP/1.1 200 OK\r\nX-Chivesaddle-Server-Signature: s\r\n"
            b"X-Chivesaddle-Attempt-Identifier: a1\r\nContent-Length: 2\r\n\r\nokJUNK"
        )
        path.advance()
        assert caller.received().endswith(b"\r\n\r\nok")
        assert server.transport.gone


class TestAtMostOnce:
    def test_unsafe_request_is_not_sent_again_after_a_broken_answer(self, path, caller):
        caller.request("/unsafe/x")
        path.connections[0].transport.lose()
        path.advance(0.1)
        assert caller.status == 502
        assert len(path.connections) == 1

    def test_unsafe_request_goes_to_another_server_that_has_proof_it_did_not_run(
        self, path, caller
    ):
        caller.request("/unsafe/x")
        path.connections[0].answer(503, extra="X-Chivesaddle-Not-Executed: 1")
        path.advance()
        path.advance()
        assert path.connections[1].address != path.connections[0].address
        path.connections[1].answer(200, b"done")
        assert caller.status == 200

    def test_address_of_another_server_is_left_at_once(self, path, caller):
        """Guards against sending each request to a reused address first."""
        caller.request("/unsafe/x")
        first = path.connections[0]
        first.answer(421, extra="X-Chivesaddle-Instance: i-9")
        path.advance()
        path.advance()
        path.connections[1].answer(200, b"done")
        assert caller.status == 200
        assert path.servers.get(f"i-{first.address[7]}").ejected_until > 0

    def test_refused_connection_proves_that_nothing_ran(self, path, caller):
        path.network.refuses = {"10.0.0.1:80", "10.0.0.2:80"}
        caller.request("/unsafe/x")
        for _ in range(8):
            path.advance(0.05)
        assert caller.status == 503
        assert b"retry-after" in caller.received().lower()

    def test_time_running_out_after_the_send_never_says_not_run(self, path, caller):
        caller.request("/unsafe/x", headers="X-Chivesaddle-Deadline-Milliseconds: 500")
        path.advance(0.6)
        assert caller.status == 504

    def test_503_without_proof_is_passed_on_and_not_repeated(self, path, caller):
        caller.request("/unsafe/x")
        path.connections[0].answer(503)
        assert caller.status == 503
        assert len(path.connections) == 1

    def test_unsafe_request_does_not_risk_a_connection_that_was_idle(
        self, path, caller
    ):
        """Guards against losing an action to a connection closed without notice."""
        caller.request("/safe/x")
        path.connections[0].answer()
        path.advance(0.5)
        caller.request("/unsafe/x", request_id="a2")
        assert len(path.connections) == 2


class TestRepeatableRequests:
    def test_broken_answer_is_repeated_on_another_server(self, path, caller):
        caller.request("/safe/x")
        path.connections[0].transport.lose()
        path.advance()
        path.advance()
        path.connections[1].answer(200, b"second")
        assert caller.status == 200

    def test_servers_own_failure_is_repeated_once(self, path, caller):
        caller.request("/safe/x")
        path.connections[0].answer(500)
        path.advance()
        path.advance()
        path.connections[1].answer(500)
        assert caller.status == 500
        assert len(path.connections) == 2

    def test_silent_server_is_given_up_for_another_one(self, path, caller):
        caller.request("/safe/x")
        path.advance(0.85)
        path.advance()
        path.advance()
        assert len(path.connections) == 2
        assert path.connections[0].transport.gone

    def test_used_up_budget_stops_repeats(self, path, caller):
        path.budget.take = lambda service: False
        caller.request("/safe/x")
        path.connections[0].transport.lose()
        path.advance()
        assert caller.status == 502


class TestStreams:
    def test_events_are_passed_on_whole_as_they_arrive(self, path, caller):
        caller.request("/stream/x")
        path.connections[0].start_stream(EVENT_1 + b"id: 2\nda")
        assert EVENT_1 in caller.received()
        assert b"id: 2" not in caller.received()
        path.connections[0].chunk(b"ta: b\n\n")
        path.connections[0].end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")

    def test_broken_stream_never_looks_complete(self, path, caller):
        caller.request("/stream/x")
        path.connections[0].start_stream(EVENT_1)
        path.connections[0].transport.lose()
        path.advance()
        assert not caller.received().endswith(b"0\r\n\r\n")
        assert caller.transport.gone

    def test_resumable_stream_goes_on_after_the_last_whole_event(self, path, caller):
        caller.request("/resumable/x")
        first = path.connections[0]
        first.start_stream(EVENT_1 + b"id: 2\nda")
        first.transport.lose()
        path.advance()
        path.advance()
        second = path.connections[1]
        assert second.header("last-event-id") == "1"
        second.start_stream(EVENT_2)
        second.end_stream()
        body = caller.received()
        assert body.count(b"id: 1\n") == body.count(b"id: 2\n") == 1
        assert body.endswith(b"0\r\n\r\n")
        assert body.count(b"HTTP/1.1 200") == 1

    def test_stream_that_broke_before_its_first_event_fails_with_a_status(
        self, path, caller
    ):
        caller.request("/stream/x")
        path.connections[0].start_stream()
        path.connections[0].transport.lose()
        assert caller.status == 502

    def test_stream_ends_at_its_routes_time_limit(self, path, caller):
        caller.request("/stream/x")
        path.connections[0].start_stream(EVENT_1)
        path.advance(9.1)
        path.advance()
        assert caller.transport.gone
        assert path.connections[0].transport.gone


class TestCallersThatLeave:
    @pytest.mark.parametrize("target", ["/safe/x", "/unsafe/x", "/stream/x"])
    def test_server_is_freed_at_once(self, path, caller, target):
        caller.request(target)
        caller.leave()
        path.advance()
        assert path.connections[0].transport.gone
        assert path.results == ["caller_left"]

    def test_nothing_is_sent_again_for_them(self, path, caller):
        caller.request("/safe/x")
        path.connections[0].transport.lose()
        caller.leave()
        path.advance(1)
        assert path.listener.in_flight == 0


class TestAdmission:
    def test_daemon_without_a_configuration_answers_503(self, path, caller):
        path.knowledge.configuration = None
        caller.request("/safe/x")
        assert caller.status == 503

    def test_unknown_route_and_unknown_key_have_their_own_status(self, path):
        for target, key, status in (("/none/", "k1", 404), ("/safe/x", "k9", 401)):
            caller = path.caller()
            caller.request(target, key=key)
            assert caller.status == status

    def test_server_gets_the_account_and_never_the_key(self, path, caller):
        caller.request("/safe/x", headers="X-Chivesaddle-Tenant: other")
        assert path.connections[0].header("x-chivesaddle-tenant") == "acme"
        assert "k1" not in path.connections[0].head

    @pytest.mark.parametrize(
        "header",
        [
            "X-Chivesaddle-Hold: h",
            "X-Chivesaddle-Pin-Milliseconds: 5",
            "X-Chivesaddle-Kv-Backup: 10.0.0.9:80",
            "Kv-From: 10.0.0.9:80/1",
            "X-Chivesaddle-Cache-Salt: s",
        ],
    )
    def test_headers_that_only_the_daemon_sets_are_dropped(self, path, caller, header):
        caller.request("/safe/x", headers=header)
        assert path.connections[0].header(header.partition(":")[0]) is None

    def test_server_gets_the_time_that_is_left_of_the_shorter_limit(self, path, caller):
        caller.request("/safe/x", headers="X-Chivesaddle-Deadline-Milliseconds: 5000")
        left = int(path.connections[0].header("x-chivesaddle-deadline-milliseconds"))
        assert 900 <= left <= 1000

    def test_only_the_named_server_may_run_the_request(self, path, caller):
        caller.request("/safe/x")
        number = path.connections[0].address[7]
        expected = path.connections[0].header("x-chivesaddle-expected-instance")
        assert expected == f"i-{number}"

    def test_request_without_a_usable_server_is_refused_at_once(self, path, caller):
        for number in (1, 2):
            path.list_server(number, state="draining")
        caller.request("/unsafe/x")
        assert caller.status == 503
        assert not path.connections


class TestCrashingRequests:
    def crash(self, path, attempt, is_down):
        caller = path.caller()
        caller.request("/unsafe/x", request_id=f"a{attempt}")
        server = path.connections[-1]
        server.transport.lose()
        number = int(server.address[7])
        if is_down:
            path.servers.remove(f"i-{number}", may_have_lapsed=False)
            path.list_server(number)
        path.advance(4)

    def test_request_that_broke_three_servers_is_stopped(self, path, caller):
        """Guards against one request taking down server after server."""
        for attempt in range(3):
            self.crash(path, attempt, is_down=True)
        caller.request("/unsafe/x", request_id="a9")
        assert caller.status == 503
        assert len(path.connections) == 3

    def test_lost_answers_of_running_servers_stop_nothing(self, path):
        """Guards against refusing sound requests that share path and body."""
        for attempt in range(5):
            self.crash(path, attempt, is_down=False)
        caller = path.caller()
        caller.request("/unsafe/x", request_id="a9")
        path.connections[-1].answer()
        assert caller.status == 200


class TestWaitingForMemory:
    PROMPT = (
        "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: 50,10\r\n"
        "X-Chivesaddle-Prompt-Prefix: aa:20,bb:30"
    )

    @pytest.fixture
    def engines(self, path):
        path.list_engines()
        return path

    def fill(self, path):
        """Send one request to each server; its memory holds no second one."""
        callers = [path.caller() for _ in range(2)]
        for number, caller in enumerate(callers):
            caller.request("/resumable/", f"first{number}", headers=self.PROMPT)
        assert len(path.connections) == 2
        for server in path.connections:
            server.start_stream(EVENT_1)
        return callers

    def test_request_is_sent_once_a_server_has_memory(self, engines):
        self.fill(engines)
        waiting = engines.caller()
        waiting.request("/resumable/", "next", headers=self.PROMPT)
        engines.advance(0.1)
        assert len(engines.connections) == 2
        engines.connections[0].end_stream()
        engines.advance()
        engines.advance()
        assert b"next" in engines.connections[0].transport.value()

    def test_nothing_is_sent_for_a_caller_that_left_the_line(self, engines):
        self.fill(engines)
        waiting = engines.caller()
        waiting.request("/resumable/", "next", headers=self.PROMPT)
        waiting.leave()
        engines.connections[0].end_stream()
        engines.advance(0.2)
        assert not any(
            b"next" in server.transport.value() for server in engines.connections
        )

    def test_request_that_got_no_memory_is_refused_with_a_time_to_come_back(
        self, engines
    ):
        self.fill(engines)
        waiting = engines.caller()
        waiting.request("/resumable/", "next", headers=self.PROMPT)
        for _ in range(80):
            engines.advance(0.05)
        assert waiting.status == 503
        assert b"retry-after" in waiting.received().lower()
        assert not any(
            b"next" in server.transport.value() for server in engines.connections
        )
