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
    EngineSilent,
    VersionNotLoaded,
)
from chivesaddle.engines.stream import HIGH_WATER_EVENTS

URL = "http://127.0.0.1:1"


def failure_of(deferred):
    caught = []
    deferred.addErrback(lambda f: caught.append(f.value))
    assert caught, "no failure yet"
    return caught[0]


def load(client):
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
    """A connection in the pool that has served one request."""
    first = load(client)
    network.connections[0].answer(LOAD)
    assert first.result.draining
    return network.connections[0]


def opened(client):
    return start(client.open_stream(URL, "/v1/completions", {"request_id": "r"}, 10.0))


class TestSilentConnections:
    @pytest.mark.fault("silence", step="reused engine connection")
    def test_a_silent_pooled_connection_is_closed_and_the_request_repeated(
        self, client, network, reused, clock
    ):
        """Guards against waiting for a connection that went silent for good."""
        stream = opened(client)
        assert len(network.connections) == 1
        clock.advance(0.18)
        assert not reused.connected
        fresh = network.connections[1]
        assert b'{"request_id": "r"}' in fresh.value()
        fresh.answer(b"data: 1\n\n")
        assert start(stream.result.next_event()).result == b"data: 1\n\n"

    @pytest.mark.fault("silence", step="fresh engine connection")
    def test_a_fresh_connection_may_be_slow_until_the_deadline(self, client, clock):
        """Guards against repeating requests whose prefill takes long."""
        stream = opened(client)
        clock.advance(9.9)
        assert not stream.called
        clock.advance(0.2)
        assert isinstance(failure_of(stream), EngineSilent)

    @pytest.mark.fault("silence", step="between tokens")
    def test_silence_between_tokens_fails_the_stream(self, client, network, clock):
        stream = opened(client)
        network.connections[0].answer(b"data: 1\n\n", complete=False)
        start(stream.result.next_event())
        waiting = start(stream.result.next_event())
        clock.advance(2.0)
        assert isinstance(failure_of(waiting), EngineSilent)
        assert not network.connections[0].connected

    def test_cancelling_a_request_that_waits_is_not_reported_as_a_reset(self, client):
        stream = opened(client)
        stream.cancel()
        assert isinstance(failure_of(stream), CancelledError)


class TestBrokenConnections:
    @pytest.mark.fault("not_run", step="engine connect")
    def test_refused_means_nothing_was_sent(self, client, network):
        network.refusing = True
        assert isinstance(failure_of(opened(client)), EngineRefused)

    def test_a_stale_pooled_connection_is_replaced(self, client, network, reused):
        """Guards against taking an idle connection's close for a failed server."""
        stream = opened(client)
        reused.break_off()
        network.connections[1].answer(b"data: 1\n\n")
        assert stream.result

    def test_reset_and_refused_is_a_crash(self, client, network):
        stream = opened(client)
        network.refusing = True
        network.connections[0].break_off()
        assert isinstance(failure_of(stream), EngineCrashed)

    @pytest.mark.parametrize(
        ("refusing", "failure"), [(False, EngineReset), (True, EngineCrashed)]
    )
    def test_two_resets_are_a_crash_if_the_listener_closes_after_them(
        self, client, network, clock, refusing, failure
    ):
        """Guards against a crash that counts against no request.

        An ending process can accept and break one more connection.
        """
        stream = opened(client)
        network.connections[0].break_off()
        network.connections[1].break_off()
        network.refusing = refusing
        clock.advance(0.05)
        assert isinstance(failure_of(stream), failure)
        assert not any(connection.connected for connection in network.connections)

    def test_a_stream_cut_after_some_events_reports_a_reset_after_them(
        self, client, network
    ):
        stream = opened(client)
        body, headers = b"data: 1\n\ndata: 2", "Content-Length: 99\r\n"
        network.connections[0].answer(body, headers=headers, complete=False)
        network.connections[0].break_off()
        assert start(stream.result.next_event()).result == b"data: 1\n\n"
        assert isinstance(failure_of(start(stream.result.next_event())), EngineReset)


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
    def test_statuses_have_types_and_retry_times(self, client, network, status, error):
        stream = opened(client)
        network.connections[0].answer(status=status, headers="Retry-After: 7\r\n")
        failure = failure_of(stream)
        assert type(failure) is error
        assert failure.retry_after_s == (7 if status[0:3] in ("429", "503") else None)

    @pytest.mark.parametrize("body", [b"{", b"[]", b'{"running": "x"}'])
    def test_broken_json_is_a_protocol_error(self, client, network, body):
        report = load(client)
        network.connections[0].answer(body)
        assert isinstance(failure_of(report), EngineProtocolError)

    def test_export_of_a_freed_block_is_a_conflict(self, client, network):
        export = start(client.export(URL, "http://s", "5a", [BlockKey("k")], 10.0))
        network.connections[0].answer(status="409 Conflict")
        assert isinstance(failure_of(export), EngineConflict)

    def test_order_carries_the_fencing_token(self, client, network):
        start(client.order(URL, FencingToken(7), "set_role", {"role": "x"}, 10.0))
        sent = network.connections[0].value().split(b"\r\n\r\n")[1]
        assert json.loads(sent) == {"fence": 7, "order": "set_role", "role": "x"}

    def test_resume_names_the_position_and_the_salt(self, client, network, reused):
        """Guards against resuming another account's stream or on a dead connection."""
        start(client.resume(URL, RequestId("a/b"), 4, "5a", 10.0))
        sent = network.connections[1].value()
        assert sent.startswith(b"GET /v1/streams/a%2Fb?after=4 ")
        assert b"X-Cache-Salt: 5a" in sent


class TestBackPressure:
    def test_a_stream_that_is_not_read_pauses_its_connection(self, client, network):
        """Guards against buffering a whole answer for a slow caller."""
        stream = opened(client)
        connection = network.connections[0]
        connection.answer(b"data: 1\n\n" * HIGH_WATER_EVENTS, complete=False)
        assert connection.producerState == "producing"
        connection.protocol.dataReceived(b"data: 1\n\n")
        assert connection.producerState == "paused"
        assert len(start(stream.result.next_events()).result) == HIGH_WATER_EVENTS + 1
        assert connection.producerState == "producing"
