import json

import pytest

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.engines import (
    EngineCrashed,
    EngineDraining,
    EngineFull,
    EngineRejected,
    EngineReset,
)
from chivesaddle.engines.chunks import DONE

NAME = "req_" + "0" * 32


class TestResponses:
    def test_non_streamed_response_is_assembled_from_chunks(self, complete, fakes):
        caller = complete()
        assert caller.response.status == 200
        assert caller.json["object"] == "text_completion"
        choice = caller.json["choices"][0]
        assert (choice["text"], choice["finish_reason"]) == ("one two", "stop")
        assert caller.json["usage"]["prompt_tokens_details"] == {"cached_tokens": 1}
        assert fakes.router.recorded_calls == [
            ("start", "a"),
            ("first_token", "a"),
            ("finish", "a"),
        ]

    def test_streamed_response_has_the_bytes_of_the_engine(self, complete, fakes):
        caller = complete(stream=True)
        assert caller.sse_events == fakes.engines.events(
            fakes.engines.request_bodies[0]
        )
        assert caller.response.headers["content-type"].startswith("text/event-stream")

    def test_chat_response_contains_a_message(self, call):
        messages = [{"role": "user", "content": "hi"}]
        caller = call(
            "POST", "/v1/chat/completions", {"model": "m", "messages": messages}
        )
        message = caller.json["choices"][0]["message"]
        assert message == {"role": "assistant", "content": "one two"}

    def test_blocks_are_saved_after_the_response(self, complete, fakes):
        complete(prompt="x" * 2048)
        assert [(len(k), s) for k, s in fakes.kv.saved] == [(2, "a")]

    def test_events_contain_the_request_name(self, complete, fakes):
        caller = complete()
        name = caller.response.headers["x-request-id"].partition(".")[0]
        assert {event.request for event in fakes.events} == {name}
        assert fakes.event_kinds() == [
            "request_received",
            "request_routed",
            "request_first_token",
            "request_finished",
        ]


class TestRouting:
    def test_request_waits_until_the_time_from_the_router(
        self, complete, fakes, scripted, clock
    ):
        fakes.router.decisions = [scripted.Wait(until=2.0)]
        caller = complete()
        clock.advance(1.9)
        assert not fakes.engines.request_bodies
        clock.advance(0.2)
        assert caller.response.status == 200

    def test_wait_ends_at_the_deadline_with_a_retry_time(
        self, complete, fakes, scripted, clock
    ):
        """Guards against requests that wait forever without a response."""
        fakes.router.decisions = [scripted.Wait(until=1e9)] * 2
        caller = complete()
        clock.advance(10)
        assert (caller.response.status, caller.error_code) == (503, "request_given_up")
        assert caller.response.headers["retry-after"] == "1"

    def test_refused_request_gets_an_error_immediately(self, complete, fakes, scripted):
        error = ChivesaddleError("late", retry_after_s=3.2)
        error.status = 503
        fakes.router.decisions = [scripted.Refuse(error)]
        caller = complete(stream=True)
        assert caller.response.status == 503
        assert caller.response.headers["retry-after"] == "4"
        assert fakes.event_kinds()[-1] == "request_refused"

    def test_blocks_are_imported_before_the_request_is_sent(
        self, complete, fakes, scripted
    ):
        decision = scripted.Send("b", 0.0, import_from="s1", import_blocks=1)
        fakes.router.decisions = [decision]
        complete(prompt="x" * 2048)
        assert fakes.kv.loaded == [(1, "b")]
        assert fakes.router.block_updates == [("b", 1)]
        assert fakes.router.requests[0].copies[0].store_id == "s1"

    def test_request_succeeds_when_the_block_import_fails(
        self, complete, fakes, scripted
    ):
        fakes.kv.failure = ChivesaddleError("store unavailable")
        decision = scripted.Send("b", 0.0, import_from="s1", import_blocks=1)
        fakes.router.decisions = [decision]
        assert complete(prompt="x" * 2048).response.status == 200
        assert "kv_import_rejected" in fakes.event_kinds()


class TestFailures:
    @pytest.mark.parametrize("events_before_break", range(4))
    @pytest.mark.parametrize("stream", [False, True])
    @pytest.mark.fault(
        "whole_answer",
        step="after event {events_before_break}",
        fault="stream broken, streaming={stream}",
    )
    def test_stream_broken_after_any_event_gives_the_complete_text(
        self, complete, fakes, events_before_break, stream
    ):
        """Guards against missing or repeated text after a broken stream."""
        fakes.engines.stream_faults = [events_before_break]
        caller = complete(stream=stream)
        if stream:
            assert caller.sse_events == fakes.engines.events(
                fakes.engines.request_bodies[0]
            )
        else:
            assert caller.json["choices"][0]["text"] == "one two"

    @pytest.mark.fault("crashes", step="retry")
    def test_a_crash_is_announced_before_the_retry(self, complete, fakes, scripted):
        """Guards against retrying a request that crashed a server before peers know.

        Otherwise it could crash a second server while a peer still treats it as safe.
        """
        fakes.engines.stream_faults = [EngineCrashed("dead")]
        fakes.pending_announcement = scripted.unresolved()
        caller = complete()
        assert fakes.announced == ["a"]
        assert len(fakes.engines.request_bodies) == 1
        fakes.pending_announcement.callback(None)
        assert caller.response.status == 200
        kinds = [kind for kind, _ in fakes.router.recorded_calls]
        assert kinds[:3] == ["start", "crash", "start"]

    def test_conflicting_suspect_run_ends_and_starts_again(
        self, complete, fakes, clock, scripted
    ):
        """Guards against two suspect runs on one server.

        A crash of the server would count against both requests.
        """
        fakes.router.start_announcements = (scripted.running,)
        fakes.router.conflicts = [True, False]
        caller = complete()
        assert not fakes.engines.request_bodies
        clock.advance(0.2)
        assert caller.response.status == 200
        assert [k for k, _ in fakes.router.recorded_calls[:3]] == [
            "start",
            "cancel",
            "start",
        ]

    def test_retry_waits_at_most_500_ms_for_an_announcement(
        self, complete, fakes, scripted, clock
    ):
        fakes.engines.stream_faults = [EngineCrashed("dead")]
        fakes.pending_announcement = scripted.unresolved()
        caller = complete()
        clock.advance(0.5)
        assert caller.response.status == 200

    @pytest.mark.fault("leaving", step="submit")
    def test_draining_server_is_marked_leaving_without_a_fault(self, complete, fakes):
        fakes.engines.stream_faults = [EngineDraining("leaving")]
        assert complete().response.status == 200
        assert fakes.router.recorded_calls[1:3] == [("leaving", "a"), ("cancel", "a")]

    def test_response_has_a_retry_time_when_all_servers_are_full(self, complete, fakes):
        fakes.engines.stream_faults = [EngineFull("full", retry_after_s=7)] * 3
        caller = complete()
        assert caller.response.status == 429
        assert caller.response.headers["retry-after"] == "7"

    @pytest.mark.fault("whole_answer", step="middle")
    def test_stream_that_cannot_be_continued_ends_with_an_error_event(
        self, complete, fakes
    ):
        """Guards against a truncated answer that looks complete."""
        fakes.engines.stream_faults = [1, EngineReset("x"), EngineReset("x")]
        fakes.engines.resume = _no_resume
        caller = complete(stream=True)
        error = json.loads(caller.sse_events[-1][5:])["error"]
        assert error["code"] == "stream_interrupted"
        assert error["retry_after_s"] > 0
        assert DONE not in caller.sse_events

    def test_request_rejected_by_the_engine_is_not_a_server_fault(
        self, complete, fakes
    ):
        fakes.engines.stream_faults = [EngineRejected("context too long")]
        caller = complete()
        assert caller.response.status == 400
        assert fakes.router.recorded_calls[-1] == ("cancel", "a")

    def test_unexpected_exception_gives_an_error_and_ends_the_run(
        self, complete, fakes, caplog
    ):
        fakes.engines.stream_faults = [ZeroDivisionError()]
        caller = complete()
        assert (caller.response.status, caller.error_code) == (500, "internal_error")
        assert fakes.router.recorded_calls[-1] == ("cancel", "a")


class TestCallerConnections:
    def test_disconnect_cancels_the_run(self, complete, fakes):
        fakes.engines.stream_faults = [None]
        caller = complete(stream=True)
        caller.transport.loseConnection()
        assert fakes.engines.cancelled_urls == ["http://a"]
        assert fakes.router.recorded_calls == [("start", "a"), ("cancel", "a")]

    def test_disconnect_while_waiting_drops_the_request(
        self, complete, fakes, scripted, clock, api
    ):
        fakes.router.decisions = [scripted.Wait(until=5.0)]
        caller = complete()
        caller.transport.loseConnection()
        clock.advance(6)
        assert not fakes.engines.request_bodies
        assert api.drain.in_flight == 0

    def test_stalled_caller_pauses_the_stream_and_is_disconnected(
        self, complete, fakes, clock
    ):
        """Guards against unbounded buffers, and runs kept alive by dead connections."""
        fakes.engines.stream_faults = [None]
        caller = complete(stream=True)
        stream = fakes.engines.streams[0]
        events = fakes.engines.events(fakes.engines.request_bodies[0])
        stream.dataReceived(events[0])
        caller.channel.pauseProducing()
        stream.dataReceived(events[1])
        stream.dataReceived(events[2])
        assert caller.sse_events == events[:2]
        clock.advance(30)
        assert not caller.transport.connected
        assert fakes.engines.cancelled_urls == ["http://a"]

    def test_slow_caller_receives_all_events_after_resuming(self, complete, fakes):
        fakes.engines.stream_faults = [None]
        caller = complete(stream=True)
        body = fakes.engines.request_bodies[0]
        events = fakes.engines.events(body)
        fakes.engines.streams[0].dataReceived(events[0])
        caller.channel.pauseProducing()
        fakes.engines.feed(fakes.engines.streams[0], body, 1, 3)
        caller.channel.resumeProducing()
        assert caller.sse_events == events


class TestResumeThroughAnyDaemon:
    @pytest.fixture
    def request_id(self, complete):
        return complete(stream=True).response.headers["x-request-id"]

    def test_resume_sends_the_remaining_events(self, call, fakes, complete):
        fakes.engines.stream_faults = [None]
        first_caller = complete(stream=True)
        request_id = fakes.engines.request_bodies[0]["request_id"]
        caller = call("GET", f"/v1/requests/{request_id}/stream?after=1")
        assert (
            caller.sse_events
            == fakes.engines.events(fakes.engines.request_bodies[0])[1:]
        )
        assert first_caller.transport.connected
        first_caller.transport.loseConnection()

    @pytest.mark.fault("whole_answer", step="resume")
    def test_another_accounts_stream_is_not_found(self, call, fakes, complete):
        """Guards against reading another account's answer by its request id."""
        complete()
        request_id = fakes.engines.request_bodies[0]["request_id"]
        path = f"/v1/requests/{request_id}/stream?after=0"
        caller = call("GET", path, key="key-tallinn")
        assert (caller.response.status, caller.error_code) == (404, "not_found")
        assert b"one" not in caller.response.body

    @pytest.mark.parametrize(
        "request_id",
        ["x", NAME, f"{NAME}.e30", f"{NAME}.!!", f"{NAME}.W10", "req_1.WzEsMiwzLDRd"],
    )
    def test_a_malformed_request_id_is_not_found(self, call, request_id):
        caller = call("GET", f"/v1/requests/{request_id}/stream")
        assert caller.response.status == 404

    def test_negative_after_is_rejected(self, call):
        caller = call("GET", "/v1/requests/x/stream?after=-1")
        assert caller.response.status == 400


async def _no_resume(*arguments):
    raise EngineReset("resume failed")
