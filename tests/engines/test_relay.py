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
WHOLE = "token by token"


@pytest.fixture
def run(relay, request_body, sink, guide):
    """Start the relay and return its Deferred; failures are seen at the sink."""

    def run_relay(**changes):
        request = dataclasses.replace(request_body, **changes)
        running = start(relay.run(request, FIRST, sink, guide))
        running.addErrback(lambda failure: None)
        return running

    return run_relay


def assert_whole(sink):
    assert sink.text == WHOLE
    assert sink.events[-1] == DONE
    assert sink.finished
    assert sink.error is None


class TestWholeAnswers:
    def test_an_unbroken_answer_is_relayed_byte_by_byte(
        self, run, engines, scripts, sink, guide
    ):
        engines.opens = [scripts.whole()]
        run()
        assert sink.data == b"".join(scripts.answer())
        assert guide.notes == [
            ("started", "a"),
            ("first_token", "a"),
            ("finished", "a"),
        ]

    @pytest.mark.parametrize("kept", range(5))
    @pytest.mark.fault(
        "whole_answer",
        step="after token {kept}",
        fault="stream broken, resumed at the engine",
    )
    def test_a_stream_broken_after_any_token_is_resumed(
        self, run, engines, scripts, sink, guide, kept
    ):
        """Guards against a lost or repeated token at each position of a break."""
        engines.opens = [scripts.cut(scripts.answer()[:kept])]
        engines.resumes = [scripts.rest]
        run()
        assert_whole(sink)
        assert sink.events == scripts.answer()
        # After the last chunk only the end marker is missing; nothing is resumed.
        assert ("resumed", kept) in guide.notes or kept == 4

    @pytest.mark.parametrize("numbered_from", [0, 2])
    @pytest.mark.fault(
        "whole_answer",
        step="token 2",
        fault="server lost, numbered from {numbered_from}",
    )
    def test_an_answer_continues_on_another_server(
        self, run, engines, scripts, sink, guide, numbered_from
    ):
        """Guards against a short answer when the server with the run is lost.

        The second server may count its tokens from 0 or from the text so far.
        """
        engines.opens = [
            scripts.cut(scripts.answer()[:2]),
            scripts.whole(start=2, numbered_from=numbered_from),
        ]
        run()
        assert_whole(sink)
        assert engines.calls[-1][1] == {
            "prompt": "p",
            "max_tokens": 7,
            "resume_text": "token ",
        }
        indices = [b'"token_index": %d' % i in sink.events[i] for i in range(4)]
        assert all(indices)
        assert b'"completion_tokens": 4' in sink.events[3]

    def test_an_answer_cut_at_its_token_limit_is_ended_without_another_token(
        self, run, engines, scripts, sink, guide
    ):
        engines.opens = [scripts.cut(scripts.answer()[:2])]
        run(max_tokens=2)
        assert len(engines.calls) == 2
        assert ("started", "b") not in guide.notes
        assert b'"finish_reason": "length"' in sink.events[-2]
        assert sink.finished

    @pytest.mark.fault("whole_answer", step="last chunk")
    def test_an_end_marker_before_the_last_chunk_does_not_end_the_answer(
        self, run, engines, scripts, sink
    ):
        """Guards against a short answer that looks complete."""
        events = [*scripts.answer()[:2], DONE]
        engines.opens = [scripts.stream(events, end=ResponseDone())]
        engines.resumes = [scripts.rest]
        run()
        assert_whole(sink)


class TestForeignAndRepeatedEvents:
    @pytest.mark.fault("whole_answer", step="first event")
    def test_a_crossed_answer_is_never_relayed(self, run, engines, scripts, sink):
        """Guards against giving one caller another caller's answer."""
        engines.opens = [scripts.whole(request_id="req-2")]
        engines.resumes = [scripts.rest]
        run()
        assert_whole(sink)
        assert b"req-2" not in sink.data

    @pytest.mark.fault("whole_answer", step="middle")
    def test_an_event_of_another_request_in_the_middle_is_not_relayed(
        self, run, engines, scripts, sink
    ):
        events = scripts.answer()
        events[1] = scripts.answer(request_id="req-2")[1]
        engines.opens = [scripts.stream(events, end=ResponseDone())]
        engines.resumes = [scripts.rest]
        run()
        assert_whole(sink)

    @pytest.mark.fault("whole_answer", step="middle")
    def test_an_event_of_another_request_that_quotes_this_one_is_not_relayed(
        self, run, engines, scripts, sink
    ):
        """Guards against finding the own request id in another answer's text."""
        events = scripts.answer()
        foreign = scripts.answer(request_id="other")[1]
        events[1] = foreign.replace(b"ken ", b"req-1 ")
        assert events[1] != foreign
        engines.opens = [scripts.stream(events, end=ResponseDone())]
        engines.resumes = [scripts.rest]
        run()
        assert_whole(sink)

    @pytest.mark.fault("whole_answer", step="middle")
    def test_late_duplicates_are_dropped(self, run, engines, scripts, sink):
        events = scripts.answer()
        events = [*events[:2], events[0], events[1], *events[2:]]
        engines.opens = [scripts.stream(events, end=ResponseDone())]
        run()
        assert_whole(sink)

    @pytest.mark.fault("whole_answer", step="middle")
    def test_a_skipped_token_is_fetched_again(self, run, engines, scripts, sink):
        events = scripts.answer()
        engines.opens = [scripts.stream([events[0], *events[2:]], end=ResponseDone())]
        engines.resumes = [scripts.rest]
        run()
        assert_whole(sink)

    @pytest.mark.parametrize("broken", [b"data: {\n\n", b"data: 7\n\n", b"x: y\n\n"])
    @pytest.mark.fault("whole_answer", step="middle", fault="broken event {broken}")
    def test_broken_events_are_fetched_again(self, run, engines, scripts, sink, broken):
        events = [*scripts.answer()[:1], broken]
        engines.opens = [scripts.stream(events, end=ResponseDone())]
        engines.resumes = [scripts.rest]
        run()
        assert_whole(sink)

    def test_role_and_usage_chunks_without_index_are_relayed_once(
        self, run, engines, scripts, sink
    ):
        role = encode({"id": "req-1", "choices": [{"delta": {"role": "assistant"}}]})
        token = encode(
            {"id": "req-1", "token_index": 0, "choices": [{"delta": {"content": "x"}}]}
        )
        usage = encode({"id": "req-1", "choices": [], "usage": {"prompt_tokens": 1}})
        engines.opens = [scripts.cut([role, token])]
        engines.resumes = [
            scripts.stream([role, usage, usage, DONE], end=ResponseDone())
        ]
        run(style=ApiStyle.CHAT)
        assert sink.events == [role, token, usage, DONE]


class TestFailures:
    @pytest.mark.fault("crashes", step="retry")
    def test_a_crashed_server_is_reported_before_the_retry(
        self, run, engines, scripts, sink, guide
    ):
        """Guards against retrying a poison request before its crash is announced."""
        engines.opens = [scripts.cut(scripts.answer()[:1]), scripts.whole(start=1)]
        engines.resumes = [EngineRefused("dead")]
        run()
        assert_whole(sink)
        crash = guide.notes.index(("EngineCrashed", "a"))
        assert crash < guide.notes.index(("started", "b"))

    @pytest.mark.fault("whole_answer", step="middle")
    def test_no_server_left_gives_a_typed_error_and_not_an_end(
        self, run, engines, scripts, sink
    ):
        engines.opens = [scripts.cut(scripts.answer()[:2])]
        run()
        assert isinstance(sink.error, StreamInterrupted)
        assert sink.error.retry_after_s > 0
        assert DONE not in sink.data
        assert not sink.finished

    def test_failures_before_the_first_token_keep_their_type(
        self, run, engines, sink, guide
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
        """Guards against retries multiplying the load of an overloaded fleet."""
        budget.left = 1
        engines.opens = [EngineFull("x")] * 3
        run()
        assert len(engines.calls) == 2

    @pytest.mark.parametrize("kind", [EngineCrashed, EngineDraining, EngineRefused])
    def test_a_gone_server_is_replaced_without_budget(
        self, run, engines, scripts, sink, budget, kind
    ):
        """Guards against a server's end failing all but a few of its requests."""
        budget.left = 0
        engines.opens = [kind("x"), scripts.whole()]
        run()
        assert_whole(sink)

    def test_a_begun_answer_is_continued_without_budget(
        self, run, engines, scripts, sink, budget
    ):
        """Guards against answers cut short when a server with many of them fails."""
        budget.left = 0
        engines.opens = [scripts.cut(scripts.answer()[:2]), scripts.whole(start=2)]
        run()
        assert_whole(sink)

    def test_tool_calls_are_not_continued_as_text(
        self, run, engines, scripts, sink, guide
    ):
        delta = {"tool_calls": [{"index": 0}]}
        value = {"id": "req-1", "token_index": 0, "choices": [{"delta": delta}]}
        engines.opens = [scripts.cut([encode(value)]), scripts.whole()]
        run(style=ApiStyle.CHAT)
        assert isinstance(sink.error, StreamInterrupted)
        assert len(guide.targets) == 3

    @pytest.mark.fault("silence", step="between tokens")
    def test_a_silent_stream_is_resumed(self, run, engines, scripts, sink, clock):
        engines.opens = [scripts.stream(scripts.answer()[:2])]
        engines.resumes = [scripts.rest]
        run()
        assert not sink.finished
        clock.advance(2)
        assert_whole(sink)

    def test_an_error_event_of_the_engine_moves_the_answer_on(
        self, run, engines, scripts, sink
    ):
        error = encode({"error": {"message": "out of memory"}})
        engines.opens = [
            scripts.stream([*scripts.answer()[:1], error]),
            scripts.whole(start=1),
        ]
        run()
        assert_whole(sink)

    def test_a_resumed_request_without_body_is_only_resumed(
        self, run, engines, scripts, sink
    ):
        engines.resumes = [scripts.rest]
        run(body=None, tokens=2)
        assert sink.text == "by token"
        assert engines.calls == [("http://a", 2)]


class TestCallers:
    def test_a_gone_caller_cancels_the_run(self, run, engines, scripts, guide):
        """Guards against generating tokens for nobody."""
        stream = scripts.stream(scripts.answer()[:1])
        engines.opens = [stream]
        run().cancel()
        assert engines.cancelled == ["http://a"]
        assert guide.notes[-1] == ("cancelled", "a")
        assert not stream.transport.connected

    def test_a_slow_caller_pauses_the_relay(self, run, engines, scripts, sink):
        stream = scripts.stream()
        engines.opens = [stream]
        run()
        sink.paused = True
        events = scripts.answer()
        stream.dataReceived(events[0])
        stream.dataReceived(b"".join(events[1:]))
        assert sink.events == events[:1]
        sink.paused = False
        sink.waiting.callback(None)
        assert_whole(sink)

    @pytest.mark.fault("whole_answer", step="slow caller")
    def test_a_stream_that_breaks_while_the_caller_is_slow_loses_nothing(
        self, run, engines, scripts, sink
    ):
        stream = scripts.stream()
        engines.opens, engines.resumes = [stream], [scripts.rest]
        run()
        sink.paused = True
        stream.dataReceived(scripts.answer()[0])
        stream.dataReceived(scripts.answer()[1])
        stream.transport.loseConnection()
        sink.paused = False
        sink.waiting.callback(None)
        assert_whole(sink)


class TestEngineReset:
    @pytest.mark.fault("whole_answer", step="resume")
    def test_a_resume_that_is_reset_falls_back_to_another_server(
        self, run, engines, scripts, sink
    ):
        engines.opens = [scripts.cut(scripts.answer()[:3]), scripts.whole(start=3)]
        engines.resumes = [EngineReset("again")]
        run()
        assert_whole(sink)
