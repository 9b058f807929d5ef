"""Requests whose engine is silent for a while, as callers and the router see them."""

import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import sleep_until
from chivesaddle.engines import EngineFull, EngineNotFound, EngineTimeout


@pytest.fixture
def silent_resumes(fakes, clock):
    """Let the engine ``a`` not respond to resumes; return the Deferreds of responses.

    The other engines do not have the stream.
    """
    responses = []

    async def resume(url, request_id, after, cache_salt, deadline):
        if url != "http://a":
            raise EngineNotFound("no such stream")
        response = Deferred()
        responses.append(response)
        expired = sleep_until(clock, deadline)
        expired.addCallback(lambda _: response.called or response.callback(None))
        stream = await response
        if stream is None:
            raise EngineTimeout("no response before the deadline")
        return stream

    fakes.engines.resume = resume
    return responses


class TestCompletions:
    @pytest.mark.fault("silence", step="between tokens", fault="no other server")
    @pytest.mark.parametrize("stream", [False, True])
    def test_a_silent_engine_finishes_the_answer_if_the_others_are_full(
        self, complete, fakes, clock, silent_resumes, stream
    ):
        """Guards against an answer that fails although its engine goes on.

        The router must count the run at its engine again, or it would place other
        requests there, and a crash of the engine would not count for this one.
        """
        fakes.engines.stream_faults = [None, EngineFull("x"), EngineFull("x")]
        caller = complete(stream=stream)
        body = fakes.engines.request_bodies[0]
        silent = fakes.engines.streams[0]
        silent.dataReceived(fakes.engines.events(body)[0])
        clock.pump([1.0] * 5)
        fakes.engines.feed(silent, body, 1, 3)
        if stream:
            assert caller.sse_events == fakes.engines.events(body)
        else:
            assert caller.json["choices"][0]["text"] == "one two"
        assert fakes.router.recorded_calls[-3:] == [
            ("start", "a"),
            ("first_token", "a"),
            ("finish", "a"),
        ]
        assert fakes.engines.cancelled_urls == []

    def test_a_suspect_that_stays_at_its_engine_is_announced_again(
        self, complete, fakes, clock, scripted, silent_resumes
    ):
        """Guards against a second suspect at a server that still runs the first."""
        fakes.router.start_announcements = (scripted.running,)
        fakes.engines.stream_faults = [None, EngineFull("x"), EngineFull("x")]
        complete()
        body = fakes.engines.request_bodies[0]
        silent = fakes.engines.streams[0]
        silent.dataReceived(fakes.engines.events(body)[0])
        clock.pump([1.0] * 5)
        started = [call for call in fakes.router.recorded_calls if call[0] == "start"]
        assert len(fakes.announced) == len(started) == 4
        fakes.engines.feed(silent, body, 1, 3)


class TestResumes:
    @pytest.fixture
    def resume(self, complete, call, fakes):
        """Resume a stream after its first token, as its caller at another daemon."""
        complete(stream=True)
        request_id = fakes.engines.request_bodies[0]["request_id"]
        path = f"/v1/requests/{request_id}/stream?after=1"
        return lambda: call("GET", path)

    @pytest.mark.fault("silence", step="resume through any daemon")
    def test_a_stream_of_a_silent_engine_is_resumed_when_it_goes_on(
        self, resume, fakes, clock, silent_resumes
    ):
        """Guards against ending a run that only its silent engine can go on with.

        The other engines do not have it, which does not mean that it has ended.
        """
        caller = resume()
        clock.pump([1.0] * 5)
        assert fakes.engines.cancelled_urls == []
        body = fakes.engines.request_bodies[0]
        stream = fakes.engines._stream()
        fakes.engines.feed(stream, body, 1, 3)
        silent_resumes[-1].callback(stream)
        assert caller.sse_events == fakes.engines.events(body)[1:]
        assert fakes.engines.cancelled_urls == []

    def test_a_stream_of_an_engine_that_stays_silent_is_not_reported_as_ended(
        self, resume, fakes, clock, silent_resumes
    ):
        """Guards against a caller that sends the request again while it still runs."""
        caller = resume()
        clock.pump([1.0] * 20)
        assert (caller.response.status, caller.error_code) == (504, "engine_silent")
        assert "retry-after" in caller.response.headers
        assert fakes.engines.cancelled_urls == []
