import json
import logging
import os

import pytest

from chivesaddle.serving.logs import BURST_S, RateLimitedStdoutHandler


@pytest.fixture
def log_pipe():
    read, write = os.pipe()
    os.set_blocking(read, False)
    yield read, write
    os.close(read)
    os.close(write)


def record(message="event", level=logging.INFO, **fields):
    log_record = logging.makeLogRecord({"msg": message, "levelno": level, **fields})
    log_record.name, log_record.levelname = (
        "chivesaddle.part",
        logging.getLevelName(level),
    )
    return log_record


def read_lines(log_pipe):
    return [json.loads(line) for line in os.read(log_pipe[0], 1 << 20).splitlines()]


def test_line_contains_daemon_part_event_and_fields(log_pipe):
    RateLimitedStdoutHandler("d1", 10, log_pipe[1]).emit(
        record("chosen", request="a1", sends=2)
    )
    (line,) = read_lines(log_pipe)
    assert line["daemon"] == "d1"
    assert line["part"] == "part"
    assert (line["event"], line["request"], line["sends"]) == ("chosen", "a1", 2)


def test_lines_over_the_rate_limit_are_dropped_and_counted(log_pipe):
    handler = RateLimitedStdoutHandler("d1", 10, log_pipe[1])
    for _ in range(200):
        handler.emit(record())
    handler.emit(record("warn", logging.WARNING))
    written = read_lines(log_pipe)
    assert len(written) < 10 * BURST_S + 2
    assert [line for line in written if line["event"] == "lines dropped"]
    assert written[-1]["event"] == "warn"


def test_lines_about_requests_leave_room_for_changes_of_state(log_pipe):
    """Guards against a busy daemon that does not say which configuration it applies."""
    handler = RateLimitedStdoutHandler("d1", 10, log_pipe[1])
    for number in range(200):
        handler.emit(record(request=f"a{number}"))
    handler.emit(record("configuration in force"))
    assert read_lines(log_pipe)[-1]["event"] == "configuration in force"


def test_field_does_not_hide_the_component(log_pipe):
    handler = RateLimitedStdoutHandler("d1", 10, log_pipe[1])
    handler.emit(record(part="6e7e191d"))
    (line,) = read_lines(log_pipe)
    assert (line["part"], line["part_field"]) == ("part", "6e7e191d")


def test_full_pipe_does_not_block_the_daemon(log_pipe):
    """Guards against a log reader that stops reading and so blocks the daemon."""
    handler = RateLimitedStdoutHandler("d1", 1e6, log_pipe[1])
    for _ in range(5_000):
        handler.emit(record("x" * 100))
    assert len(handler._pending) <= 65_536


def nested(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


@pytest.mark.parametrize(
    "value",
    ["\ud800", 1 << 80, float("nan"), nested(5_000), {"\udfff": 1}, {(1, 2): 3}],
    ids=["surrogate", "large", "nan", "nested", "key", "tuple-key"],
)
def test_value_that_cannot_be_encoded_does_not_fail_the_caller(log_pipe, value):
    """Guards against a decision that is not taken since its log line failed."""
    handler = RateLimitedStdoutHandler("d1", 10, log_pipe[1])
    handler.emit(record("chosen", request="a1", value=value))
    (line,) = read_lines(log_pipe)
    assert (line["daemon"], line["event"]) == ("d1", "chosen")
