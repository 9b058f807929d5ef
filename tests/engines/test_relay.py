import dataclasses

import pytest
from twisted.web.client import ResponseDone

from chivesaddle.core.aio import start
from chivesaddle.core.ids import BackendServerId
from chivesaddle.engines import (
    ApiStyle,
    EngineCrashed,
    EngineDraining,
    EngineFull,
    EngineRefused,
    EngineRejected,
    EngineReset,
    StreamInterrupted,
    Target,
)
from chivesaddle.engines.chunks import DONE, encode

FIRST = Target(BackendServerId("a"), "http://a")
FULL_TEXT = "token by token"


@pytest.fixture
def run(relay, request_body, sink, delegate):
    """Start the relay and return its Deferred; errors are recorded by the sink."""

    def run_relay(**changes):
        request = dataclasses.replace(request_body, **changes)
        running = start(relay.run(request, FIRST, sink, delegate))
        running.addErrback(lambda failure: None)
        return running

    return run_relay


def assert_complete(sink):
    assert sink.text == FULL_TEXT
    assert sink.events[-1] == DONE
    assert sink.finished
    assert sink.error is None


class TestCompleteAnswers:
    def test_an_uninterrupted_answer_is_relayed_unchanged(
        self, run, engines, streams, sink, delegate
    ):
        engines.opens = [streams.complete()]
        run()
        assert sink.data == b"".join(streams.answer_events())
        assert delegate.recorded_calls == [
            ("started", "a"),
            ("first_token", "a"),
            ("finished", "a"),
        ]

    @pytest.mark.parametrize("received", range(5))
    @pytest.mark.fault(
        "whole_answer",
        step="after token {received}",
        fault="stream broken, resumed at the engine",
    )
    def test_a_stream_that_breaks_after_any_token_is_resumed(
        self, run, engines, streams, sink, delegate, received
    ):
        """Guards against lost or repeated tokens wherever the stream is interrupted."""
        engines.opens = [streams.broken_off(streams.answer_events()[:received])]
        engines.resumes = [streams.resumed]
        run()
        assert_complete(sink)
        assert sink.events == streams.answer_events()
        # After the last chunk (4) only the end marker is missing; nothing is resumed.
        assert ("resumed", received) in delegate.recorded_calls or received == 4

    @pytest.mark.parametrize("numbered_from", [0, 2])
    @pytest.mark.fault(
        "whole_answer",
        step="token 2",
        fault="server lost, numbered from {numbered_from}",
    )
    def test_an_answer_continues_on_another_server(
        self, run, engines, streams, sink, delegate, numbered_from
    ):
        """Guards against a truncated answer when the server of the run fails.

        The second server may number its tokens from 0 or from the end of the text that
        the first one generated.
        """
        engines.opens = [
            streams.broken_off(streams.answer_events()[:2]),
            streams.complete(start=2, numbered_from=numbered_from),
        ]
        run()
        assert_complete(sink)
        assert engines.calls[-1][1] == {
            "prompt": "p",
            "max_tokens": 7,
            "resume_text": "token ",
        }
        indices = [b'"token_index": %d' % i in sink.events[i] for i in range(4)]
        assert all(indices)
        assert b'"completion_tokens": 4' in sink.events[3]

    def test_an_answer_interrupted_at_its_token_limit_ends_without_a_retry(
        self, run, engines, streams, sink, delegate
    ):
        engines.opens = [streams.broken_off(streams.answer_events()[:2])]
        run(max_tokens=2)
        assert len(engines.calls) == 2
        assert ("started", "b") not in delegate.recorded_calls
        assert b'"finish_reason": "length"' in sink.events[-2]
        assert sink.finished

    @pytest.mark.fault("whole_answer", step="last chunk")
    def test_an_end_marker_before_the_last_chunk_does_not_end_the_answer(
        self, run, engines, streams, sink
    ):
        """Guards against a truncated answer that appears complete."""
        events = [*streams.answer_events()[:2], DONE]
        engines.opens = [streams.stream(events, end=ResponseDone())]
        engines.resumes = [streams.resumed]
        run()
        assert_complete(sink)


class TestMismatchedAndDuplicateEvents:
    @pytest.mark.fault("whole_answer", step="first event")
    def test_an_answer_to_another_request_is_never_relayed(
        self, run, engines, streams, sink
    ):
        """Guards against sending a caller the answer of another caller."""
        engines.opens = [streams.complete(request_id="req-2")]
        engines.resumes = [streams.resumed]
        run()
        assert_complete(sink)
        assert b"req-2" not in sink.data

    @pytest.mark.fault("whole_answer", step="middle")
    def test_an_event_of_another_request_in_the_middle_is_not_relayed(
        self, run, engines, streams, sink
    ):
        events = streams.answer_events()
        events[1] = streams.answer_events(request_id="req-2")[1]
        engines.opens = [streams.stream(events, end=ResponseDone())]
        engines.resumes = [streams.resumed]
        run()
        assert_complete(sink)

    @pytest.mark.fault("whole_answer", step="middle")
    def test_an_event_of_another_request_that_quotes_this_one_is_not_relayed(
        self, run, engines, streams, sink
    ):
        """Guards against matching the request id in the text of another answer."""
        events = streams.answer_events()
        foreign = streams.answer_events(request_id="other")[1]
        events[1] = foreign.replace(b"ken ", b"req-1 ")
        assert events[1] != foreign
        engines.opens = [streams.stream(events, end=ResponseDone())]
        engines.resumes = [streams.resumed]
        run()
        assert_complete(sink)

    @pytest.mark.fault("whole_answer", step="middle")
    def test_late_duplicates_are_dropped(self, run, engines, streams, sink):
        events = streams.answer_events()
        events = [*events[:2], events[0], events[1], *events[2:]]
        engines.opens = [streams.stream(events, end=ResponseDone())]
        run()
        assert_complete(sink)

    @pytest.mark.fault("whole_answer", step="middle")
    def test_a_skipped_token_is_fetched_again(self, run, engines, streams, sink):
        events = streams.answer_events()
        engines.opens = [streams.stream([events[0], *events[2:]], end=ResponseDone())]
        engines.resumes = [streams.resumed]
        run()
        assert_complete(sink)

    @pytest.mark.parametrize("broken", [b"data: {\n\n", b"data: 7\n\n", b"x: y\n\n"])
    @pytest.mark.fault("whole_answer", step="middle", fault="broken event {broken}")
    def test_malformed_events_are_fetched_again(
        self, run, engines, streams, sink, broken
    ):
        events = [*streams.answer_events()[:1], broken]
        engines.opens = [streams.stream(events, end=ResponseDone())]
        engines.resumes = [streams.resumed]
        run()
        assert_complete(sink)

    def test_role_and_usage_chunks_without_index_are_relayed_once(
        self, run, engines, streams, sink
    ):
        role = encode({"id": "req-1", "choices": [{"delta": {"role": "assistant"}}]})
        token = encode(
            {"id": "req-1", "token_index": 0, "choices": [{"delta": {"content": "x"}}]}
        )
        usage = encode({"id": "req-1", "choices": [], "usage": {"prompt_tokens": 1}})
        engines.opens = [streams.broken_off([role, token])]
        engines.resumes = [
            streams.stream([role, usage, usage, DONE], end=ResponseDone())
        ]
        run(style=ApiStyle.CHAT)
        assert sink.events == [role, token, usage, DONE]


class TestFailures:
    @pytest.mark.fault("crashes", step="retry")
    def test_a_crashed_server_is_reported_before_the_retry(
        self, run, engines, streams, sink, delegate
    ):
        """Guards against retrying a crashing request before the crash is announced."""
        engines.opens = [
            streams.broken_off(streams.answer_events()[:1]),
            streams.complete(start=1),
        ]
        engines.resumes = [EngineRefused("dead")]
        run()
        assert_complete(sink)
        crash_position = delegate.recorded_calls.index(("EngineCrashed", "a"))
        assert crash_position < delegate.recorded_calls.index(("started", "b"))

    @pytest.mark.fault("whole_answer", step="middle")
    def test_without_another_server_the_answer_fails_with_an_error(
        self, run, engines, streams, sink
    ):
        engines.opens = [streams.broken_off(streams.answer_events()[:2])]
        run()
        assert isinstance(sink.error, StreamInterrupted)
        assert sink.error.retry_after_s > 0
        assert DONE not in sink.data
        assert not sink.finished

    def test_failures_before_the_first_token_keep_their_type(
        self, run, engines, sink, delegate
    ):
        engines.opens = [EngineFull("full", retry_after_s=7)] * 3
        run()
        assert isinstance(sink.error, EngineFull)
        assert sink.error.retry_after_s == 7
        assert len(engines.calls) == 3

    def test_an_invalid_request_is_not_repeated(self, run, engines, sink):
        engines.opens = [EngineRejected("bad")]
        run()
        assert isinstance(sink.error, EngineRejected)
        assert len(engines.calls) == 1

    def test_retries_stop_when_the_budget_is_spent(self, run, engines, sink, budget):
        """Guards against retries that multiply the load of an overloaded fleet."""
        budget.remaining = 1
        engines.opens = [EngineFull("x")] * 3
        run()
        assert len(engines.calls) == 2

    @pytest.mark.parametrize("kind", [EngineCrashed, EngineDraining, EngineRefused])
    def test_a_retry_for_an_unavailable_server_needs_no_budget(
        self, run, engines, streams, sink, budget, kind
    ):
        """Guards against failing most requests of a server that becomes unavailable."""
        budget.remaining = 0
        engines.opens = [kind("x"), streams.complete()]
        run()
        assert_complete(sink)

    def test_a_started_answer_is_continued_without_budget(
        self, run, engines, streams, sink, budget
    ):
        """Guards against truncated answers when a server with many of them fails."""
        budget.remaining = 0
        engines.opens = [
            streams.broken_off(streams.answer_events()[:2]),
            streams.complete(start=2),
        ]
        run()
        assert_complete(sink)

    def test_tool_calls_are_not_continued_as_text(
        self, run, engines, streams, sink, delegate
    ):
        delta = {"tool_calls": [{"index": 0}]}
        value = {"id": "req-1", "token_index": 0, "choices": [{"delta": delta}]}
        engines.opens = [streams.broken_off([encode(value)]), streams.complete()]
        run(style=ApiStyle.CHAT)
        assert isinstance(sink.error, StreamInterrupted)
        assert len(delegate.targets) == 3

    @pytest.mark.fault("silence", step="between tokens")
    def test_a_silent_stream_is_resumed(self, run, engines, streams, sink, clock):
        engines.opens = [streams.stream(streams.answer_events()[:2])]
        engines.resumes = [streams.resumed]
        run()
        assert not sink.finished
        clock.advance(2)
        assert_complete(sink)

    def test_an_answer_with_an_error_event_continues_on_another_server(
        self, run, engines, streams, sink
    ):
        error = encode({"error": {"message": "out of memory"}})
        engines.opens = [
            streams.stream([*streams.answer_events()[:1], error]),
            streams.complete(start=1),
        ]
        run()
        assert_complete(sink)

    def test_a_request_without_body_is_only_resumed(self, run, engines, streams, sink):
        engines.resumes = [streams.resumed]
        run(body=None, tokens=2)
        assert sink.text == "by token"
        assert engines.calls == [("http://a", 2)]


class TestCallerDisconnectAndBackPressure:
    def test_a_disconnected_caller_cancels_the_run(
        self, run, engines, streams, delegate
    ):
        """Guards against generating tokens that nobody receives."""
        stream = streams.stream(streams.answer_events()[:1])
        engines.opens = [stream]
        run().cancel()
        assert engines.cancelled == ["http://a"]
        assert delegate.recorded_calls[-1] == ("cancelled", "a")
        assert not stream.transport.connected

    def test_a_slow_caller_pauses_the_relay(self, run, engines, streams, sink):
        stream = streams.stream()
        engines.opens = [stream]
        run()
        sink.paused = True
        events = streams.answer_events()
        stream.dataReceived(events[0])
        stream.dataReceived(b"".join(events[1:]))
        assert sink.events == events[:1]
        sink.paused = False
        sink.waiting.callback(None)
        assert_complete(sink)

    @pytest.mark.fault("whole_answer", step="slow caller")
    def test_a_stream_that_breaks_while_the_caller_is_slow_loses_nothing(
        self, run, engines, streams, sink
    ):
        stream = streams.stream()
        engines.opens, engines.resumes = [stream], [streams.resumed]
        run()
        sink.paused = True
        stream.dataReceived(streams.answer_events()[0])
        stream.dataReceived(streams.answer_events()[1])
        stream.transport.loseConnection()
        sink.paused = False
        sink.waiting.callback(None)
        assert_complete(sink)


class TestResumeReset:
    @pytest.mark.fault("whole_answer", step="resume")
    def test_a_resume_that_is_reset_falls_back_to_another_server(
        self, run, engines, streams, sink
    ):
        engines.opens = [
            streams.broken_off(streams.answer_events()[:3]),
            streams.complete(start=3),
        ]
        engines.resumes = [EngineReset("again")]
        run()
        assert_complete(sink)
