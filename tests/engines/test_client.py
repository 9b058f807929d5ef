import json

import pytest
from twisted.internet.defer import CancelledError

from chivesaddle.core.aio import start
from chivesaddle.core.ids import BlockKey, FencingToken, RequestId
from chivesaddle.engines import (
    EngineConflict,
    EngineCrashed,
    EngineDraining,
    EngineFull,
    EngineNotFound,
    EngineProtocolError,
    EngineRefused,
    EngineRejected,
    EngineReset,
    EngineTimeout,
    VersionNotLoaded,
)
from chivesaddle.engines.stream import HIGH_WATER_EVENTS

URL = "http://127.0.0.1:1"


def error_of(deferred):
    errors = []
    deferred.addErrback(lambda f: errors.append(f.value))
    assert errors, "the Deferred has not failed"
    return errors[0]


def request_load(client):
    return start(client.load(URL, 10.0))


LOAD = json.dumps(
    {
        "running": 1,
        "queued": 0,
        "max_running": 4,
        "prefill_tokens_per_s": 1.0,
        "decode_tokens_per_s": 1.0,
        "state": "draining",
    }
).encode()


@pytest.fixture
def reused(client, network):
    """Return a pooled connection that has served one request."""
    first = request_load(client)
    network.connections[0].answer(LOAD)
    assert first.result.draining
    return network.connections[0]


def open_stream_request(client):
    return start(client.open_stream(URL, "/v1/completions", {"request_id": "r"}, 10.0))


class TestSilentConnections:
    @pytest.mark.fault("silence", step="reused engine connection")
    def test_a_silent_pooled_connection_is_closed_and_the_request_repeated(
        self, client, network, reused, clock
    ):
        """Guards against waiting for a connection on which no data arrives any more."""
        stream = open_stream_request(client)
        assert len(network.connections) == 1
        clock.advance(0.18)
        fresh = network.connections[1]
        assert b'{"request_id": "r"}' in fresh.value()
        fresh.answer(b"data: 1\n\n")
        assert not reused.connected
        assert start(stream.result.next_event()).result == b"data: 1\n\n"

    @pytest.mark.fault("silence", step="reused engine connection", fault="slow")
    def test_a_response_on_the_silent_connection_counts_if_it_is_the_first(
        self, client, network, reused, clock
    ):
        """Guards against a lost response of a server that takes no new connection."""
        stream = open_stream_request(client)
        clock.advance(0.2)
        reused.answer(b"data: 1\n\n")
        assert start(stream.result.next_event()).result == b"data: 1\n\n"
        assert not network.connections[1].connected

    @pytest.mark.fault("crashes", step="silent, then reset")
    def test_a_reset_beside_a_silent_connection_is_a_crash_if_none_is_accepted(
        self, client, network, reused, clock
    ):
        """Guards against waiting for the response of a server that has crashed."""
        stream = open_stream_request(client)
        clock.advance(0.18)
        network.connections[1].drop()
        network.refusing = True
        clock.advance(0.05)
        assert isinstance(error_of(stream), EngineCrashed)
        assert not reused.connected

    @pytest.mark.fault("crashes", step="silent, then reset", fault="other order")
    def test_a_silent_connection_that_is_lost_beside_a_refusal_is_a_crash(
        self, client, network, reused, clock
    ):
        stream = open_stream_request(client)
        clock.advance(0.18)
        reused.drop()
        network.refusing = True
        network.connections[1].drop()
        clock.advance(0.05)
        assert isinstance(error_of(stream), EngineCrashed)

    def test_cancelling_closes_the_silent_and_the_new_connection(
        self, client, network, reused, clock
    ):
        stream = open_stream_request(client)
        clock.advance(0.18)
        stream.cancel()
        assert isinstance(error_of(stream), CancelledError)
        assert not any(connection.connected for connection in network.connections)

    @pytest.mark.fault("silence", step="fresh engine connection")
    def test_a_fresh_connection_may_be_slow_until_the_deadline(self, client, clock):
        """Guards against repeating requests that have a long prefill."""
        stream = open_stream_request(client)
        clock.advance(9.9)
        assert not stream.called
        clock.advance(0.2)
        assert isinstance(error_of(stream), EngineTimeout)

    @pytest.mark.fault("silence", step="between tokens")
    def test_silence_between_tokens_fails_the_stream(self, client, network, clock):
        stream = open_stream_request(client)
        network.connections[0].answer(b"data: 1\n\n", complete=False)
        start(stream.result.next_event())
        waiting = start(stream.result.next_event())
        clock.advance(2.0)
        assert isinstance(error_of(waiting), EngineTimeout)
        stream.result.close()
        assert not network.connections[0].connected

    @pytest.mark.fault("silence", step="between tokens", fault="goes on later")
    def test_a_stream_can_be_read_after_a_silence(self, client, network, clock):
        """Guards against a stream that is lost before another server has taken it."""
        stream = open_stream_request(client)
        network.connections[0].answer(b"data: 1\n\n", complete=False)
        start(stream.result.next_event())
        waiting = start(stream.result.next_event())
        clock.advance(2.0)
        assert isinstance(error_of(waiting), EngineTimeout)
        network.connections[0].protocol.dataReceived(b"data: 2\n\n")
        assert start(stream.result.next_event()).result == b"data: 2\n\n"

    @pytest.mark.fault("silence", step="bytes between tokens")
    @pytest.mark.parametrize("sent", [b"d", b": wait\n\n"])
    def test_bytes_now_and_then_do_not_keep_a_stalled_stream(
        self, client, network, clock, sent
    ):
        """Guards against an engine that sends no token and never ends."""
        stream = open_stream_request(client)
        connection = network.connections[0]
        connection.answer(b"data: 1\n\n", complete=False)
        start(stream.result.next_event())
        waiting = start(stream.result.next_event())
        for _ in range(4):
            clock.advance(0.5)
            if connection.connected:
                connection.protocol.dataReceived(sent)
        assert isinstance(error_of(waiting), EngineTimeout)

    @pytest.mark.fault("silence", step="bytes before the first token")
    @pytest.mark.parametrize("sent", [b"d", b": wait\n\n"])
    def test_bytes_before_the_first_event_do_not_shorten_a_long_prefill(
        self, client, network, clock, sent
    ):
        """Guards against a slow but sound stream that is cut."""
        stream = open_stream_request(client)
        connection = network.connections[0]
        connection.answer(sent, complete=False)
        waiting = start(stream.result.next_event())
        clock.advance(5.0)
        event = b"data: 1\n\n".removeprefix(sent)
        connection.protocol.dataReceived(event)
        assert waiting.result == b"data: 1\n\n"

    def test_cancelling_a_request_that_waits_is_not_reported_as_a_reset(self, client):
        stream = open_stream_request(client)
        stream.cancel()
        assert isinstance(error_of(stream), CancelledError)


class TestBrokenConnections:
    @pytest.mark.fault("not_run", step="engine connect")
    def test_a_refused_connection_is_reported_as_refused(self, client, network):
        network.refusing = True
        assert isinstance(error_of(open_stream_request(client)), EngineRefused)

    def test_a_stale_pooled_connection_is_replaced(self, client, network, reused):
        """Guards against treating a closed idle connection as a failed server."""
        stream = open_stream_request(client)
        reused.drop()
        network.connections[1].answer(b"data: 1\n\n")
        assert stream.result

    def test_a_reset_followed_by_a_refusal_is_a_crash(self, client, network):
        stream = open_stream_request(client)
        network.refusing = True
        network.connections[0].drop()
        assert isinstance(error_of(stream), EngineCrashed)

    @pytest.mark.parametrize(
        ("refusing", "failure"), [(False, EngineReset), (True, EngineCrashed)]
    )
    def test_two_resets_are_a_crash_if_the_listener_closes_after_them(
        self, client, network, clock, refusing, failure
    ):
        """Guards against a crash that is not counted for any request.

        A crashing process can accept one more connection and then drop it.
        """
        stream = open_stream_request(client)
        network.connections[0].drop()
        network.connections[1].drop()
        network.refusing = refusing
        clock.advance(0.05)
        assert isinstance(error_of(stream), failure)
        assert not any(connection.connected for connection in network.connections)

    def test_an_interrupted_stream_delivers_its_events_before_the_reset(
        self, client, network
    ):
        stream = open_stream_request(client)
        body, headers = b"data: 1\n\ndata: 2", "Content-Length: 99\r\n"
        network.connections[0].answer(body, headers=headers, complete=False)
        network.connections[0].drop()
        assert start(stream.result.next_event()).result == b"data: 1\n\n"
        assert isinstance(error_of(start(stream.result.next_event())), EngineReset)


class TestAnswers:
    @pytest.mark.parametrize(
        ("status", "error"),
        [
            ("400 Bad Request", EngineRejected),
            ("404 Not Found", EngineNotFound),
            ("409 Conflict", VersionNotLoaded),
            ("429 Too Many Requests", EngineFull),
            ("503 Service Unavailable", EngineDraining),
        ],
    )
    def test_error_statuses_map_to_error_types_and_retry_times(
        self, client, network, status, error
    ):
        stream = open_stream_request(client)
        network.connections[0].answer(status=status, headers="Retry-After: 7\r\n")
        failure = error_of(stream)
        assert type(failure) is error
        assert failure.retry_after_s == (7 if status[0:3] in ("429", "503") else None)

    @pytest.mark.parametrize("body", [b"{", b"[]", b'{"running": "x"}'])
    def test_an_invalid_report_is_a_protocol_error(self, client, network, body):
        report = request_load(client)
        network.connections[0].answer(body)
        assert isinstance(error_of(report), EngineProtocolError)

    def test_export_of_a_freed_block_is_a_conflict(self, client, network):
        export = start(client.export(URL, "http://s", "5a", [BlockKey("k")], 10.0))
        network.connections[0].answer(status="409 Conflict")
        assert isinstance(error_of(export), EngineConflict)

    def test_order_carries_the_fencing_token(self, client, network):
        start(client.order(URL, FencingToken(7), "set_role", {"role": "x"}, 10.0))
        sent = network.connections[0].value().split(b"\r\n\r\n")[1]
        assert json.loads(sent) == {"fence": 7, "order": "set_role", "role": "x"}

    def test_resume_sends_the_position_and_the_cache_salt(
        self, client, network, reused
    ):
        """Guards against resuming another account's stream or on a lost connection."""
        start(client.resume(URL, RequestId("a/b"), 4, "5a", 10.0))
        sent = network.connections[1].value()
        assert sent.startswith(b"GET /v1/streams/a%2Fb?after=4 ")
        assert b"X-Cache-Salt: 5a" in sent


class TestBackPressure:
    def test_a_stream_that_is_not_read_pauses_its_connection(self, client, network):
        """Guards against buffering an entire answer for a slow caller."""
        stream = open_stream_request(client)
        connection = network.connections[0]
        connection.answer(b"data: 1\n\n" * HIGH_WATER_EVENTS, complete=False)
        assert connection.producerState == "producing"
        connection.protocol.dataReceived(b"data: 1\n\n")
        assert connection.producerState == "paused"
        assert len(start(stream.result.next_events()).result) == HIGH_WATER_EVENTS + 1
        assert connection.producerState == "producing"
