import json
import logging
import os

import pytest

from chivesaddle.serving.logs import BURST_S, BoundedStdout


@pytest.fixture
def pipe():
    read, write = os.pipe()
    os.set_blocking(read, False)
    yield read, write
    os.close(read)
    os.close(write)


def record(message="event", level=logging.INFO, **fields):
    found = logging.makeLogRecord({"msg": message, "levelno": level, **fields})
    found.name, found.levelname = "chivesaddle.part", logging.getLevelName(level)
    return found


def lines(pipe):
    return [json.loads(line) for line in os.read(pipe[0], 1 << 20).splitlines()]


def test_line_carries_its_fields(pipe):
    BoundedStdout("d1", 10, pipe[1]).emit(record("chosen", request="a1", sends=2))
    (line,) = lines(pipe)
    assert line["daemon"] == "d1"
    assert line["part"] == "part"
    assert (line["event"], line["request"], line["sends"]) == ("chosen", "a1", 2)


def test_lines_over_the_rate_are_dropped_and_counted(pipe):
    handler = BoundedStdout("d1", 10, pipe[1])
    for _ in range(200):
        handler.emit(record())
    handler.emit(record("warn", logging.WARNING))
    found = lines(pipe)
    assert len(found) < 10 * BURST_S + 2
    assert [line for line in found if line["event"] == "lines dropped"]
    assert found[-1]["event"] == "warn"


def test_reader_that_does_not_read_never_blocks_the_daemon(pipe):
    """Guards against a full pipe that stops serving."""
    handler = BoundedStdout("d1", 1e6, pipe[1])
    for _ in range(5_000):
        handler.emit(record("x" * 100))
    assert len(handler._pending) <= 65_536
