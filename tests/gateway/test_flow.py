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


class TestAnswers:
    def test_a_plain_answer_is_assembled(self, complete, fakes):
        answer = complete()
        assert answer.response.status == 200
        assert answer.json["object"] == "text_completion"
        choice = answer.json["choices"][0]
        assert (choice["text"], choice["finish_reason"]) == ("one two", "stop")
        assert answer.json["usage"]["prompt_tokens_details"] == {"cached_tokens": 1}
        assert fakes.router.notes == [
            ("start", "a"),
            ("first_token", "a"),
            ("finish", "a"),
        ]

    def test_a_streamed_answer_is_the_engines_bytes(self, complete, fakes):
        answer = complete(stream=True)
        assert answer.sse == fakes.engines.events(fakes.engines.bodies[0])
        assert answer.response.headers["content-type"].startswith("text/event-stream")

    def test_a_chat_answer_is_a_message(self, call):
        messages = [{"role": "user", "content": "hi"}]
        answer = call(
            "POST", "/v1/chat/completions", {"model": "m", "messages": messages}
        )
        message = answer.json["choices"][0]["message"]
        assert message == {"role": "assistant", "content": "one two"}

    def test_blocks_are_saved_after_the_answer(self, complete, fakes):
        complete(prompt="x" * 2048)
        assert [(len(k), s) for k, s in fakes.kv.saved] == [(2, "a")]

    def test_events_name_the_request(self, complete, fakes):
        answer = complete()
        name = answer.response.headers["x-request-id"].partition(".")[0]
        assert {event.request for event in fakes.events} == {name}
        assert fakes.event_kinds() == [
            "request_received",
            "request_routed",
            "request_first_token",
            "request_finished",
        ]


class TestRouting:
    def test_a_request_waits_until_the_router_says(
        self, complete, fakes, faults, clock
    ):
        fakes.router.decisions = [faults.Wait(until=2.0)]
        answer = complete()
        clock.advance(1.9)
        assert not fakes.engines.bodies
        clock.advance(0.2)
        assert answer.response.status == 200

    def test_waiting_ends_at_the_deadline_with_a_time_to_come_back(
        self, complete, fakes, faults, clock
    ):
        """Guards against callers that hang without an answer."""
        fakes.router.decisions = [faults.Wait(until=1e9)] * 2
        answer = complete()
        clock.advance(10)
        assert (answer.response.status, answer.code) == (503, "request_given_up")
        assert answer.response.headers["retry-after"] == "1"

    def test_a_rejection_is_answered_at_once(self, complete, fakes, faults):
        refused = ChivesaddleError("late", retry_after_s=3.2)
        refused.status = 503
        fakes.router.decisions = [faults.Refuse(refused)]
        answer = complete(stream=True)
        assert answer.response.status == 503
        assert answer.response.headers["retry-after"] == "4"
        assert fakes.event_kinds()[-1] == "request_refused"

    def test_blocks_are_loaded_before_the_request_is_sent(
        self, complete, fakes, faults
    ):
        decision = faults.Send("b", 0.0, import_from="s1", import_blocks=1)
        fakes.router.decisions = [decision]
        complete(prompt="x" * 2048)
        assert fakes.kv.loaded == [(1, "b")]
        assert fakes.router.blocks == [("b", 1)]
        assert fakes.router.requests[0].copies[0].store_id == "s1"

    def test_a_failed_load_only_costs_recomputation(self, complete, fakes, faults):
        fakes.kv.failure = ChivesaddleError("store died")
        decision = faults.Send("b", 0.0, import_from="s1", import_blocks=1)
        fakes.router.decisions = [decision]
        assert complete(prompt="x" * 2048).response.status == 200
        assert "kv_import_rejected" in fakes.event_kinds()


class TestFailures:
    @pytest.mark.parametrize("kept", range(4))
    @pytest.mark.parametrize("stream", [False, True])
    @pytest.mark.fault(
        "whole_answer",
        step="after event {kept}",
        fault="stream broken, streaming={stream}",
    )
    def test_a_break_after_any_event_is_invisible_to_the_caller(
        self, complete, fakes, kept, stream
    ):
        """Guards against short or repeated text after a broken stream."""
        fakes.engines.opens = [kept]
        answer = complete(stream=stream)
        if stream:
            assert answer.sse == fakes.engines.events(fakes.engines.bodies[0])
        else:
            assert answer.json["choices"][0]["text"] == "one two"

    @pytest.mark.fault("crashes", step="retry")
    def test_a_crash_is_announced_before_the_retry(self, complete, fakes, faults):
        """Guards against a poison request killing a second server unannounced."""
        fakes.engines.opens = [EngineCrashed("dead")]
        fakes.announcing = faults.pending()
        answer = complete()
        assert fakes.announced == ["a"]
        assert len(fakes.engines.bodies) == 1
        fakes.announcing.callback(None)
        assert answer.response.status == 200
        kinds = [kind for kind, _ in fakes.router.notes]
        assert kinds[:3] == ["start", "crash", "start"]

    def test_a_suspect_that_met_another_one_starts_again(
        self, complete, fakes, clock, faults
    ):
        """Guards against two suspects on one server, whose crash blames both."""
        fakes.router.starting = (faults.running,)
        fakes.router.rivals = [True, False]
        answer = complete()
        assert not fakes.engines.bodies
        clock.advance(0.2)
        assert answer.response.status == 200
        assert [k for k, _ in fakes.router.notes[:3]] == ["start", "cancel", "start"]

    def test_a_lost_announcement_delays_the_retry_only_briefly(
        self, complete, fakes, faults, clock
    ):
        fakes.engines.opens = [EngineCrashed("dead")]
        fakes.announcing = faults.pending()
        answer = complete()
        clock.advance(0.5)
        assert answer.response.status == 200

    @pytest.mark.fault("leaving", step="submit")
    def test_a_draining_server_is_reported_and_not_counted_as_faulty(
        self, complete, fakes
    ):
        fakes.engines.opens = [EngineDraining("leaving")]
        assert complete().response.status == 200
        assert fakes.router.notes[1:3] == [("leaving", "a"), ("cancel", "a")]

    def test_full_servers_give_a_retry_time(self, complete, fakes):
        fakes.engines.opens = [EngineFull("full", retry_after_s=7)] * 3
        answer = complete()
        assert answer.response.status == 429
        assert answer.response.headers["retry-after"] == "7"

    @pytest.mark.fault("whole_answer", step="middle")
    def test_a_broken_stream_without_rescue_ends_with_a_typed_event(
        self, complete, fakes
    ):
        """Guards against an answer that looks complete but is short."""
        fakes.engines.opens = [1, EngineReset("x"), EngineReset("x")]
        fakes.engines.resume = _no_resume
        answer = complete(stream=True)
        error = json.loads(answer.sse[-1][5:])["error"]
        assert error["code"] == "stream_interrupted"
        assert error["retry_after_s"] > 0
        assert DONE not in answer.sse

    def test_an_invalid_request_is_the_callers_fault(self, complete, fakes):
        fakes.engines.opens = [EngineRejected("context too long")]
        answer = complete()
        assert answer.response.status == 400
        assert fakes.router.notes[-1] == ("cancel", "a")

    def test_an_unexpected_failure_is_answered_and_gives_up_its_place(
        self, complete, fakes, caplog
    ):
        fakes.engines.opens = [ZeroDivisionError()]
        answer = complete()
        assert (answer.response.status, answer.code) == (500, "internal_error")
        assert fakes.router.notes[-1] == ("cancel", "a")


class TestCallers:
    def test_a_gone_caller_cancels_the_run(self, complete, fakes):
        fakes.engines.opens = [None]
        caller = complete(stream=True)
        caller.transport.loseConnection()
        assert fakes.engines.cancelled == ["http://a"]
        assert fakes.router.notes == [("start", "a"), ("cancel", "a")]

    def test_a_caller_gone_while_waiting_is_forgotten(
        self, complete, fakes, faults, clock, api
    ):
        fakes.router.decisions = [faults.Wait(until=5.0)]
        caller = complete()
        caller.transport.loseConnection()
        clock.advance(6)
        assert not fakes.engines.bodies
        assert api.drain.in_flight == 0

    def test_a_slow_caller_pauses_and_is_dropped_when_it_stalls(
        self, complete, fakes, clock
    ):
        """Guards against unbounded buffers and runs held by dead callers."""
        fakes.engines.opens = [None]
        caller = complete(stream=True)
        stream = fakes.engines.streams[0]
        events = fakes.engines.events(fakes.engines.bodies[0])
        stream.dataReceived(events[0])
        caller.channel.pauseProducing()
        stream.dataReceived(events[1])
        stream.dataReceived(events[2])
        assert caller.sse == events[:2]
        clock.advance(30)
        assert not caller.transport.connected
        assert fakes.engines.cancelled == ["http://a"]

    def test_a_slow_caller_that_catches_up_gets_everything(self, complete, fakes):
        fakes.engines.opens = [None]
        caller = complete(stream=True)
        body = fakes.engines.bodies[0]
        events = fakes.engines.events(body)
        fakes.engines.streams[0].dataReceived(events[0])
        caller.channel.pauseProducing()
        fakes.engines.feed(fakes.engines.streams[0], body, 1, 3)
        caller.channel.resumeProducing()
        assert caller.sse == events


class TestResumeThroughAnyDaemon:
    @pytest.fixture
    def request_id(self, complete):
        return complete(stream=True).response.headers["x-request-id"]

    def test_the_rest_of_the_stream_is_delivered(self, call, fakes, complete):
        fakes.engines.opens = [None]
        caller = complete(stream=True)
        request_id = fakes.engines.bodies[0]["request_id"]
        answer = call("GET", f"/v1/requests/{request_id}/stream?after=1")
        assert answer.sse == fakes.engines.events(fakes.engines.bodies[0])[1:]
        assert caller.transport.connected
        caller.transport.loseConnection()

    @pytest.mark.fault("whole_answer", step="resume")
    def test_another_accounts_stream_is_not_found(self, call, fakes, complete):
        """Guards against reading another account's answer by its request id."""
        complete()
        request_id = fakes.engines.bodies[0]["request_id"]
        path = f"/v1/requests/{request_id}/stream?after=0"
        answer = call("GET", path, key="key-tallinn")
        assert (answer.response.status, answer.code) == (404, "not_found")
        assert b"one" not in answer.response.body

    @pytest.mark.parametrize(
        "request_id",
        ["x", NAME, f"{NAME}.e30", f"{NAME}.!!", f"{NAME}.W10", "req_1.WzEsMiwzLDRd"],
    )
    def test_a_malformed_request_id_is_not_found(self, call, request_id):
        answer = call("GET", f"/v1/requests/{request_id}/stream")
        assert answer.response.status == 404

    def test_a_wrong_position_is_rejected(self, call):
        answer = call("GET", "/v1/requests/x/stream?after=-1")
        assert answer.response.status == 400


async def _no_resume(*arguments):
    raise EngineReset("resume failed")
