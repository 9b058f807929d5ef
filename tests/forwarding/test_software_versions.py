"""Streams of a service whose servers run several software versions."""

import pytest

from chivesaddle.core.ids import BackendServerId
from chivesaddle.forwarding import stream_key

EVENT_1 = b"id: 1\ndata: a\n\n"
EVENT_2 = b"id: 2\ndata: b\n\n"
VERSION_BY_SERVER = {1: "v1", 2: "v1", 3: "v2", 4: "v2"}


def start_version_mix(harness):
    for number in (1, 2):
        harness.servers.remove(BackendServerId(f"i-{number}"), may_have_expired=False)
    harness.advance(61)
    for number, version in VERSION_BY_SERVER.items():
        harness.add_server(number, version=version)


def close_pooled_connections(harness):
    harness.advance(4)
    harness.pool.close_expired()


def version_of(connection):
    return VERSION_BY_SERVER[int(connection.address[7])]


def resume(harness, resumes, after="1", request_id="a2", key="k1"):
    caller = harness.caller()
    caller.request(
        "/resumable/x",
        request_id,
        key=key,
        headers=f"Last-Event-Id: {after}\r\nResumes: {resumes}",
    )
    return caller


@pytest.fixture
def mixed(harness):
    start_version_mix(harness)
    return harness


class TestOneResponse:
    def test_stream_is_resumed_at_the_version_that_began_it(self, mixed):
        for _ in range(8):
            caller = mixed.caller()
            caller.request("/resumable/x", body=str(mixed.results).encode())
            first = mixed.connections[-1]
            first.start_stream(EVENT_1)
            first.transport.lose_connection()
            mixed.advance()
            mixed.advance()
            second = mixed.connections[-1]
            assert second is not first
            assert version_of(second) == version_of(first)
            second.start_stream(EVENT_2)
            second.end_stream()
            assert caller.received().endswith(b"0\r\n\r\n")
            close_pooled_connections(mixed)

    def test_stream_is_broken_off_if_its_version_has_no_other_server(self, mixed):
        caller = mixed.caller()
        caller.request("/resumable/x")
        first = mixed.connections[-1]
        first.start_stream(EVENT_1)
        for number, version in VERSION_BY_SERVER.items():
            if version == version_of(first) and first.address[7] != str(number):
                mixed.servers.remove(
                    BackendServerId(f"i-{number}"), may_have_expired=False
                )
        first.transport.lose_connection()
        mixed.advance()
        mixed.advance()
        assert mixed.connections[-1] is first
        assert caller.transport.is_lost

    def test_request_without_any_event_may_go_to_another_version(self, mixed):
        caller = mixed.caller()
        caller.request("/resumable/x")
        first = mixed.connections[-1]
        for number, version in VERSION_BY_SERVER.items():
            if version == version_of(first) and first.address[7] != str(number):
                mixed.servers.remove(
                    BackendServerId(f"i-{number}"), may_have_expired=False
                )
        first.start_stream()
        first.transport.lose_connection()
        mixed.advance()
        mixed.advance()
        second = mixed.connections[-1]
        assert version_of(second) != version_of(first)
        second.start_stream(EVENT_1)
        second.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")


class TestResumedByCaller:
    def begin(self, harness, request_id="a1"):
        caller = harness.caller()
        caller.request("/resumable/x", request_id)
        connection = harness.connections[-1]
        connection.start_stream(EVENT_1)
        caller.close_connection()
        return connection

    def test_stream_goes_on_at_the_version_that_began_it(self, mixed):
        """Without the version, the servers of the other one would be preferred."""
        for number in range(8):
            first = self.begin(mixed, f"a{number}")
            for server in mixed.servers.all():
                is_own = server.entry.software_version == version_of(first)
                server.failure_rate = 0.9 if is_own else 0.0
            resume(mixed, f"a{number}", request_id=f"b{number}")
            second = mixed.connections[-1]
            assert version_of(second) == version_of(first)
            second.start_stream(EVENT_2)
            second.end_stream()
            close_pooled_connections(mixed)

    def test_stream_that_is_resumed_twice_stays_at_its_version(self, mixed):
        first = self.begin(mixed)
        for request_id in ("a2", "a3"):
            caller = resume(mixed, "a1", request_id=request_id)
            connection = mixed.connections[-1]
            assert version_of(connection) == version_of(first)
            connection.start_stream(EVENT_2)
            caller.close_connection()

    @pytest.mark.parametrize("resumes", ["a0", "", "a\xe9", "x" * 1_024])
    def test_unknown_stream_is_refused_as_not_run_with_the_time_to_return(
        self, mixed, resumes
    ):
        caller = resume(mixed, resumes)
        mixed.advance(0.1)
        mixed.advance(0.1)
        assert caller.status == 503
        assert b"retry-after: 1.00" in caller.received().lower()
        assert mixed.connections == []

    def test_stream_of_another_account_is_unknown(self, mixed):
        mixed.origins.record_start(stream_key("other", "a1"), "app", "v1", 1e9)
        caller = resume(mixed, "a1")
        mixed.advance(0.1)
        mixed.advance(0.1)
        assert caller.status == 503

    def test_stream_is_refused_while_no_server_of_its_version_is_listed(self, mixed):
        mixed.origins.record_start(stream_key("acme", "a1"), "app", "v0", 1e9)
        caller = resume(mixed, "a1")
        assert caller.status == 503
        assert b"retry-after" in caller.received().lower()

    def test_unknown_stream_goes_on_if_its_service_has_had_one_version(self, harness):
        resume(harness, "a0")
        assert harness.connections[-1].header("last-event-id") == "1"

    def test_daemon_that_may_have_missed_a_version_refuses_unknown_streams(
        self, harness
    ):
        harness.knows_software_versions = False
        caller = resume(harness, "a0")
        harness.advance(0.1)
        harness.advance(0.1)
        assert caller.status == 503

    def test_version_that_left_within_a_minute_still_counts(self, harness):
        harness.add_server(1, version="v2")
        harness.add_server(2, version="v2")
        caller = resume(harness, "a0")
        harness.advance(0.1)
        harness.advance(0.1)
        assert caller.status == 503
        harness.advance(60)
        resume(harness, "a0", request_id="a3")
        assert harness.connections[-1].header("last-event-id") == "1"

    def test_request_that_resumes_nothing_is_placed_anywhere(self, mixed):
        caller = mixed.caller()
        caller.request("/resumable/x", headers="Resumes: a0")
        assert len(mixed.connections) == 1
