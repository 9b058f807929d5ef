"""Requests that arrive while the daemon shuts down."""

import pytest

from chivesaddle.core.ids import DaemonId, ServiceId
from chivesaddle.core.serving_model import Route, RouteId, RouteKind
from chivesaddle.forwarding.errors import NotRun
from chivesaddle.forwarding.passing import PeerDaemon
from chivesaddle.forwarding.shutdown import (
    MIN_REMEMBERED_DURATIONS,
    SERVER_SILENCE_S,
    ShutdownAdmission,
)

EVENT = b"id: 1\ndata: a\n\n"
# A daemon that is stopped with SIGTERM at 0 s ends at this time.
ENDS_AT_S = 7.3
ESTIMATES_UNTIL_S = 2.5
# A time limit that no shutdown leaves room for.
LONG_S = 12.0


def begin_shutdown(harness, ends_in_s=ENDS_AT_S, estimates_for_s=ESTIMATES_UNTIL_S):
    now = harness.reactor.seconds()
    harness.forwarder.begin_shutdown(now + ends_in_s, now + estimates_for_s)


def stopping_admission(harness, ends_at=ENDS_AT_S, estimates_until=ESTIMATES_UNTIL_S):
    admission = ShutdownAdmission(harness.reactor)
    admission.begin(ends_at, estimates_until)
    return admission


def serve_stream(harness, caller, request_id, seconds):
    caller.request("/stream/x", request_id=request_id)
    server = harness.connections[-1]
    server.start_stream(EVENT, request_id=request_id)
    harness.advance(seconds)
    server.end_stream()
    harness.advance()


def test_stream_that_would_outlast_the_daemon_is_refused_as_not_run(harness, caller):
    """Guards against cutting a stream that was accepted late in a planned stop."""
    serve_stream(harness, caller, "a1", 3.2)
    begin_shutdown(harness)
    harness.advance(ESTIMATES_UNTIL_S - 0.1)
    late_caller = harness.caller()
    sends = len(harness.connections)
    late_caller.request("/stream/x", request_id="a2")
    assert late_caller.status == 503
    assert b"retry-after" in late_caller.received().lower()
    assert len(harness.connections) == sends
    assert harness.results[-1] == "not_run"


def test_quick_stream_is_served_in_the_first_part_of_the_shutdown(harness, caller):
    for number in range(MIN_REMEMBERED_DURATIONS):
        serve_stream(harness, harness.caller(), f"b{number}", 0.5)
    begin_shutdown(harness)
    harness.advance(ESTIMATES_UNTIL_S - 0.1)
    late_caller = harness.caller()
    serve_stream(harness, late_caller, "a2", 0.5)
    assert late_caller.status == 200


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_request_whose_time_limit_fits_is_served_late(harness, caller, path):
    begin_shutdown(harness)
    harness.advance(4.2)
    limit = "X-Chivesaddle-Deadline-Milliseconds: 3000"
    caller.request(path, request_id="a1", headers=limit)
    assert harness.connections[-1].request_id == "a1"


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_quick_past_requests_admit_none_late_in_the_shutdown(harness, path):
    """Guards against requests that a server which has become slower lets be cut."""
    for number in range(MIN_REMEMBERED_DURATIONS):
        harness.caller().request(path, request_id=f"b{number}")
        harness.connections[-1].respond()
    begin_shutdown(harness, ends_in_s=5.0)
    harness.advance(4.2)
    sends = len(harness.connections)
    late_caller = harness.caller()
    late_caller.request(path, request_id="a1")
    assert late_caller.status == 503
    assert len(harness.connections) == sends


def route(kind, target_s=0.4):
    return Route(
        RouteId("r"),
        "h",
        "/",
        kind,
        {ServiceId("s"): 1.0},
        10.0,
        target_s,
        1,
        0,
        False,
        False,
    )


@pytest.mark.parametrize("kind", RouteKind)
def test_nothing_is_refused_before_the_shutdown(harness, kind):
    ShutdownAdmission(harness.reactor).check(route(kind), LONG_S)


def test_stream_of_unknown_duration_is_taken_only_early(harness):
    admission = stopping_admission(harness, estimates_until=ENDS_AT_S)
    admission.check(route(RouteKind.STREAM), LONG_S)
    harness.advance(4.2)
    admission.check(route(RouteKind.IDEMPOTENT), LONG_S)
    with pytest.raises(NotRun):
        admission.check(route(RouteKind.STREAM), LONG_S)


def test_request_that_must_not_be_repeated_is_taken_only_by_its_time_limit(harness):
    """Guards against callers that cannot know whether their request has run."""
    admission = stopping_admission(harness)
    admission.check(route(RouteKind.AT_MOST_ONCE), ENDS_AT_S)
    with pytest.raises(NotRun):
        admission.check(route(RouteKind.AT_MOST_ONCE), ENDS_AT_S + 0.1)


@pytest.mark.parametrize("kind", RouteKind)
def test_estimates_admit_nothing_late_in_the_shutdown(harness, kind):
    """Guards against requests that outlast the estimate of their route and are cut."""
    admission = stopping_admission(harness)
    for _ in range(MIN_REMEMBERED_DURATIONS):
        admission.record(route(kind), 0, 0.01)
    harness.advance(ESTIMATES_UNTIL_S)
    admission.check(route(kind), ENDS_AT_S)
    with pytest.raises(NotRun):
        admission.check(route(kind), ENDS_AT_S + 0.1)


def test_stream_longer_than_the_recent_ones_is_expected_to_take_longer(harness):
    """Guards against cutting the longest stream of a route after a quiet start."""
    admission = stopping_admission(harness, 3.1 + SERVER_SILENCE_S)
    stream = route(RouteKind.STREAM)
    for _ in range(MIN_REMEMBERED_DURATIONS):
        admission.record(stream, 2, 1.5)
        admission.record(stream, 40, 1.2)
    admission.check(stream, LONG_S, 40)
    with pytest.raises(NotRun):
        admission.check(stream, LONG_S, 100)


def test_a_few_short_streams_do_not_make_the_next_one_short(harness):
    """Guards against the stream of 3.5 s that was cut after three of 1 s."""
    admission = stopping_admission(harness, 3.44)
    stream = route(RouteKind.STREAM)
    for seconds in (0.794, 0.971, 1.047):
        admission.record(stream, 20, seconds)
    with pytest.raises(NotRun):
        admission.check(stream, LONG_S, 20)


def test_late_stream_leaves_time_for_a_silent_server(harness):
    """Guards against cutting streams of 2.4 s whose server is silent for a second."""
    admission = stopping_admission(harness, 2.4 + 1.0)
    stream = route(RouteKind.STREAM)
    for _ in range(MIN_REMEMBERED_DURATIONS):
        admission.record(stream, 40, 2.4)
    with pytest.raises(NotRun):
        admission.check(stream, LONG_S, 40)


def test_stream_that_its_caller_awaits_for_a_short_time_is_taken_late(harness):
    admission = stopping_admission(harness, 1.0, 0.0)
    admission.check(route(RouteKind.STREAM), 0.9, 40)


def test_unfinished_streams_show_how_long_the_next_one_may_take(harness, caller):
    """Guards against an estimate from the fast streams while slow ones still run."""
    for number in range(MIN_REMEMBERED_DURATIONS):
        serve_stream(harness, harness.caller(), f"b{number}", 0.2)
    caller.request("/stream/x", request_id="slow")
    harness.connections[-1].start_stream(EVENT, request_id="slow")
    harness.advance(3.0)
    begin_shutdown(harness, 3.5)
    late_caller = harness.caller()
    late_caller.request("/stream/x", request_id="late")
    assert late_caller.status == 503


def test_request_that_waited_for_capacity_is_checked_again_when_sent(harness, caller):
    """Guards against streams that wait for a server during the shutdown and are cut."""
    harness.use_model_engines()
    holding = [harness.caller() for _ in range(2)]
    for number, other in enumerate(holding):
        send_prompt(other, f"h{number}", tokens=100)
    held = harness.connections[-2:]
    for connection in held:
        connection.start_stream(EVENT)
    send_prompt(caller, "w1", tokens=100)
    begin_shutdown(harness, 3.0)
    harness.advance(2.0)
    for connection in held:
        connection.end_stream()
    harness.advance(0.1)
    assert caller.status == 503
    assert harness.results.count("not_run") == 1


def test_waiting_request_is_refused_as_soon_as_it_can_no_longer_be_sent(harness):
    """Guards against callers that wait for a server which they no longer get."""
    for number in range(MIN_REMEMBERED_DURATIONS):
        serve_stream(harness, harness.caller(), f"b{number}", 0.1)
    harness.use_model_engines()
    for number in range(2):
        send_prompt(harness.caller(), f"h{number}", tokens=100)
    waiting, quick = harness.caller(), harness.caller()
    begin_shutdown(harness)
    harness.advance(ESTIMATES_UNTIL_S - 0.2)
    send_prompt(waiting, "w1", tokens=100)
    send_prompt(quick, "w2", tokens=100, time_limit_ms=4_000)
    assert not waiting.received()
    harness.advance(0.2)
    assert waiting.status == 503
    assert b"retry-after" in waiting.received().lower()
    assert not quick.received()


def test_request_that_waits_when_the_daemon_ends_is_refused_as_not_run(harness, caller):
    """Guards against closed connections of requests that no server got."""
    harness.use_model_engines()
    holding = [harness.caller() for _ in range(2)]
    for number, other in enumerate(holding):
        send_prompt(other, f"h{number}", tokens=100)
    send_prompt(caller, "w1", tokens=100)
    assert not caller.received()
    harness.forwarder.end_requests()
    harness.advance()
    assert caller.status == 503
    assert b"retry-after" in caller.received().lower()
    assert harness.results.count("not_run") == 1


def test_request_that_the_end_of_the_daemon_cuts_is_named(harness, caller):
    """Guards against cut requests that leave no trace in the log."""
    caller.request("/stream/x", request_id="a1")
    harness.connections[-1].start_stream(EVENT, request_id="a1")
    unanswered = harness.caller()
    unanswered.request("/unsafe/x", request_id="a2")
    harness.forwarder.end_requests()
    harness.advance()
    assert harness.results == ["cut_by_shutdown", "cut_by_shutdown"]
    assert unanswered.status == 502
    assert not caller.received().endswith(b"0\r\n\r\n")


def test_request_that_is_read_while_the_process_ends_is_refused(harness, caller):
    """Guards against a send whose response nobody passes on any more."""
    harness.forwarder.end_requests()
    caller.request("/unsafe/x", request_id="a1")
    assert caller.status == 503
    assert harness.connections == []


def send_prompt(caller, request_id, tokens, time_limit_ms=9_000):
    headers = f"X-Chivesaddle-Deadline-Milliseconds: {time_limit_ms}\r\n"
    headers += "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: "
    headers += f"{tokens - 1},1\r\nX-Chivesaddle-Prompt-Prefix: {request_id}:{tokens}"
    caller.request("/stream/x", request_id=request_id, headers=headers)


def test_request_that_is_passed_on_late_is_checked_again(harness, caller):
    """Guards against streams that wait for a server, are passed on and are cut."""
    harness.use_model_engines()
    holding = [harness.caller() for _ in range(2)]
    for number, other in enumerate(holding):
        send_prompt(other, f"h{number}", tokens=100)
    for connection in harness.connections[-2:]:
        connection.start_stream(EVENT)
    send_prompt(caller, "w1", tokens=100)
    begin_shutdown(harness, 3.0)
    harness.advance(2.0)
    harness.peer_paths.peers = [PeerDaemon(DaemonId("d2"), "10.0.1.1:80")]
    sends = len(harness.connections)
    harness.servers.on_capacity_freed(ServiceId("app"))
    harness.advance(0.1)
    assert len(harness.connections) == sends
    assert caller.status == 503
