"""Answers of engines that are silent for a while, beside engines that cannot go on."""

import dataclasses

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import TimeoutError

from chivesaddle.core.aio import Task, start
from chivesaddle.core.ids import BackendServerId
from chivesaddle.engines import (
    ApiStyle,
    EngineFull,
    EngineRefused,
    EngineTimeout,
    EngineUnreachable,
    StreamInterrupted,
    StreamRelay,
    Target,
)
from chivesaddle.engines.chunks import DONE, encode

FIRST = Target(BackendServerId("a"), "http://a")
FULL_TEXT = "token by token"


@pytest.fixture
def run(relay, request_body, sink, delegate):
    """Start the relay and return its Deferred; errors are recorded by the sink."""

    def run_relay(relay=relay, **changes):
        request = dataclasses.replace(request_body, **changes)
        running = start(relay.run(request, FIRST, sink, delegate))
        running.addErrback(lambda failure: None)
        return running

    return run_relay


@pytest.fixture
def silent(engines, streams):
    """Return a stream that is silent after two tokens and cannot be resumed."""
    stream = streams.stream(streams.answer_events()[:2])
    engines.opens = [stream]
    engines.resumes = [EngineTimeout("silent")]
    return stream


@pytest.fixture
def go_on(silent, streams):
    """Let the silent engine send the rest of its answer."""

    def send_rest():
        for event in streams.answer_events()[2:]:
            silent.dataReceived(event)

    return send_rest


async def wait_for(response):
    return await response


def assert_complete(sink):
    assert sink.text == FULL_TEXT
    assert sink.events[-1] == DONE
    assert sink.finished
    assert sink.error is None


class TestSilentStreams:
    def test_the_connection_of_a_complete_answer_is_kept_for_reuse(
        self, run, engines, streams, sink
    ):
        """Guards against closing a connection whose body ends after the last event."""
        stream = streams.stream(streams.answer_events())
        engines.opens = [stream]
        run()
        assert_complete(sink)
        assert stream.transport.connected

    @pytest.mark.parametrize(
        "refusals",
        [
            [EngineRefused("x"), EngineRefused("x")],
            [EngineFull("x"), EngineUnreachable("x")],
            [],
        ],
        ids=["refused", "full", "no server"],
    )
    @pytest.mark.fault("silence", step="between tokens", fault="no other server")
    def test_an_answer_that_no_other_server_takes_is_finished(
        self, run, engines, silent, go_on, streams, sink, delegate, clock, refusals
    ):
        """Guards against an answer that fails although its engine goes on."""
        engines.opens += refusals
        del delegate.targets[len(refusals) :]
        run()
        clock.advance(2)
        assert (sink.error, engines.cancelled) == (None, [])
        clock.advance(3)
        go_on()
        assert_complete(sink)
        assert sink.events == streams.answer_events()
        assert "http://a" not in engines.cancelled
        assert delegate.recorded_calls[-2:] == [("returned", "a"), ("finished", "a")]

    @pytest.mark.fault("silence", step="between tokens", fault="refuses connections")
    def test_a_silent_server_that_refuses_connections_finishes_its_stream(
        self, run, engines, silent, go_on, sink, delegate, clock
    ):
        """Guards against closing a stream before it was resumed on a new connection."""
        engines.resumes = [EngineRefused("listener closed")]
        delegate.targets.clear()
        run()
        clock.advance(2)
        go_on()
        assert_complete(sink)

    def test_tool_calls_are_finished_by_the_silent_server(
        self, run, engines, streams, sink, clock
    ):
        """Guards against losing an answer that only its engine can go on with."""
        delta = {"tool_calls": [{"index": 0}]}
        value = {"id": "req-1", "token_index": 0, "choices": [{"delta": delta}]}
        usage = {"id": "req-1", "choices": [], "usage": {"prompt_tokens": 1}}
        stream = streams.stream([encode(value)])
        engines.opens, engines.resumes = [stream], [EngineTimeout("silent")]
        run(style=ApiStyle.CHAT)
        clock.advance(2)
        stream.dataReceived(encode(usage) + DONE)
        assert sink.finished
        assert sink.error is None

    def test_a_stream_that_is_resumed_replaces_the_silent_connection(
        self, run, engines, silent, streams, sink, clock
    ):
        engines.resumes = [streams.resumed]
        run()
        clock.advance(2)
        assert_complete(sink)
        assert not silent.transport.connected

    def test_a_server_that_stays_silent_fails_at_the_time_limit(
        self, run, engines, silent, sink, delegate, clock
    ):
        """Guards against a caller that waits forever."""
        delegate.targets.clear()
        run()
        clock.pump([1.0] * 30)
        assert isinstance(sink.error, StreamInterrupted)
        assert not silent.transport.connected
        assert engines.cancelled == ["http://a"]

    def test_a_run_that_the_engine_does_not_have_is_not_waited_for(
        self, run, engines, silent, sink, delegate, clock
    ):
        engines.resumes = []
        delegate.targets.clear()
        run()
        clock.advance(2)
        assert isinstance(sink.error, StreamInterrupted)
        assert not silent.transport.connected


class TestSuccessors:
    @pytest.fixture
    def successor(self, engines, silent):
        """Return the Deferred of the response of a second engine."""
        response = Deferred()
        engines.opens.append(response)
        return response

    @pytest.mark.fault("silence", step="hand-over", fault="second engine prefills")
    def test_a_successor_that_works_takes_the_answer_within_400_ms(
        self, run, engines, successor, silent, streams, sink, clock
    ):
        """Guards against two engines that work on one answer, and against none."""
        run()
        clock.advance(2)
        engines.alive.callback(None)
        clock.advance(0.2)
        assert silent.transport.connected
        assert engines.cancelled == []
        clock.advance(0.15)
        assert not silent.transport.connected
        assert engines.cancelled == ["http://a"]
        clock.advance(3)
        successor.callback(streams.complete(start=2))
        assert_complete(sink)
        assert engines.cancelled == ["http://a"]

    def test_a_successor_takes_the_answer_when_it_responds(
        self, run, engines, successor, silent, streams, sink, clock
    ):
        run()
        clock.advance(2)
        assert engines.cancelled == []
        successor.callback(streams.complete(start=2))
        assert_complete(sink)
        assert engines.cancelled == ["http://a"]
        assert not silent.transport.connected

    @pytest.mark.fault("silence", step="hand-over", fault="second engine silent")
    def test_of_two_silent_servers_the_first_to_go_on_has_the_answer(
        self, run, engines, successor, go_on, sink, delegate, clock
    ):
        """Guards against an answer that is left to an engine that is silent too."""
        run()
        clock.advance(2)
        clock.advance(1)
        assert engines.cancelled == []
        go_on()
        assert_complete(sink)
        assert engines.cancelled == ["http://b"]
        assert delegate.recorded_calls[-2:] == [("returned", "a"), ("finished", "a")]

    def test_a_second_silent_server_may_go_on_first(
        self, run, engines, successor, streams, sink, clock
    ):
        run()
        clock.advance(2)
        clock.advance(1)
        successor.callback(streams.complete(start=2))
        assert_complete(sink)
        assert engines.cancelled == ["http://a"]

    @pytest.mark.fault("silence", step="queue for another server")
    def test_a_server_that_goes_on_while_another_is_waited_for_has_the_answer(
        self, run, engines, silent, go_on, sink, delegate, clock
    ):
        """Guards against an answer that waits for capacity that it does not need."""
        delegate.targets = [Deferred()]
        run()
        clock.advance(2)
        go_on()
        assert_complete(sink)
        assert [url for url, _ in engines.calls] == ["http://a", "http://a"]

    def test_a_caller_that_leaves_while_a_server_is_waited_for_ends_the_run(
        self, run, engines, silent, delegate, clock
    ):
        delegate.targets = [Deferred()]
        running = run()
        clock.advance(2)
        running.cancel()
        assert engines.cancelled == ["http://a"]
        assert not silent.transport.connected

    def test_a_caller_that_leaves_ends_both_runs(
        self, run, engines, successor, silent, delegate, clock
    ):
        running = run()
        clock.advance(2)
        running.cancel()
        assert sorted(engines.cancelled) == ["http://a", "http://b"]
        assert not silent.transport.connected
        assert delegate.recorded_calls[-1] == ("cancelled", "b")

    def test_a_silent_server_that_breaks_leaves_the_answer_to_the_successor(
        self, run, engines, successor, silent, streams, sink, clock
    ):
        run()
        clock.advance(2)
        silent.transport.loseConnection()
        successor.callback(streams.complete(start=2))
        assert_complete(sink)


class TestSilentReusedConnections:
    @pytest.fixture
    def reused(self, client, network):
        """Return a pooled connection that has served one request."""
        start(client.load(FIRST.url, 10.0)).addErrback(lambda _: None)
        network.connections[0].answer()
        return network.connections[0]

    @pytest.fixture
    def no_other(self, delegate, budget):
        """Leave no other server and no retry budget; return the delegate."""
        budget.remaining = 0
        delegate.targets.clear()
        return delegate

    @pytest.fixture
    def real_relay(self, client, clock, budget):
        return StreamRelay(client, clock, budget)

    @pytest.mark.parametrize("failure", ["refused", "unreachable"])
    @pytest.mark.fault(
        "silence", step="reused engine connection", fault="new one {failure}"
    )
    def test_a_request_is_finished_on_the_silent_connection_if_a_new_one_fails(
        self, run, real_relay, network, reused, streams, sink, clock, no_other, failure
    ):
        """Guards against a request that fails though its engine has it and goes on.

        The engine accepts no new connection, and no other one takes the request: there
        is none, or the retry budget is used up.
        """
        run(real_relay)
        if failure == "refused":
            network.refusing = True
        else:
            network.failure = TimeoutError()
        clock.advance(0.18)
        assert sink.error is None
        clock.advance(1)
        reused.answer(b"".join(streams.answer_events()))
        assert_complete(sink)
        assert no_other.recorded_calls[-1] == ("finished", "a")

    def test_retries_of_a_silent_request_stay_within_the_budget(
        self, run, engines, streams, sink, budget, clock
    ):
        """Guards against retries that multiply the load of an overloaded fleet."""
        budget.remaining = 1
        response = Deferred()
        unreachable = EngineUnreachable("no new connection")
        unreachable.pending = Task(wait_for(response))
        engines.opens = [unreachable, EngineFull("x"), streams.complete()]
        run()
        assert [url for url, _ in engines.calls] == ["http://a", "http://b"]
        assert sink.error is None
        response.callback(streams.complete())
        assert_complete(sink)

    def test_a_request_that_stays_silent_fails_at_its_deadline(
        self, run, real_relay, network, reused, sink, delegate, clock
    ):
        delegate.targets.clear()
        run(real_relay)
        network.refusing = True
        clock.pump([1.0] * 11)
        assert sink.error is not None
        assert not reused.connected

    def test_another_server_that_takes_the_request_ends_the_silent_one(
        self, run, real_relay, network, reused, streams, sink, delegate, clock
    ):
        """Guards against a run that goes on beside that of another engine."""
        delegate.targets = [Deferred()]
        selection = delegate.targets[0]
        run(real_relay)
        network.refusing = True
        clock.advance(0.18)
        assert reused.connected
        network.refusing = False
        selection.callback(Target(BackendServerId("b"), "http://b"))
        posts = [c for c in network.connections if c.value().startswith(b"POST")]
        assert len(posts) == 2
        posts[-1].answer(b"".join(streams.answer_events()))
        assert_complete(sink)
        assert not reused.connected
        sent = [connection.value() for connection in network.connections]
        assert any(data.startswith(b"DELETE /v1/streams/req-1") for data in sent)
