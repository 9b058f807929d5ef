"""Measures the CPU time of the relay per streamed token.

Run from the repository root: ``PYTHONPATH=src python tests/engines/relay_cost.py``.
Each token arrives in its own segment, which is the most expensive case. The connections
to the engine and the caller are not included.
"""

import json
import time

import typer
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from chivesaddle.core.aio import start
from chivesaddle.core.ids import BackendServerId, RequestId
from chivesaddle.engines import ApiStyle, EngineStream, RelayRequest, StreamRelay
from chivesaddle.engines import Target as RelayTarget
from chivesaddle.engines.chunks import DONE, encode

REQUEST_ID = "req_0123456789abcdef0123456789abcdef"


class SingleStreamEngine:
    def __init__(self, clock):
        self.stream = EngineStream(clock, 2.0)
        self.stream.makeConnection(StringTransport())

    async def open_stream(self, url, path, body, deadline):
        return self.stream


class ByteCountingSink:
    paused = False

    def __init__(self):
        self.size = 0

    def write(self, events):
        self.size += len(events)

    def finish(self):
        pass


class IgnoringDelegate:
    def started(self, target):
        pass

    def first_token(self, target):
        pass

    def finished(self, target, answer):
        pass


def segments(tokens):
    chunks = [
        {
            "id": REQUEST_ID,
            "object": "chat.completion.chunk",
            "created": 1,
            "model": "m",
            "token_index": i,
            "choices": [
                {"index": 0, "delta": {"content": " word"}, "finish_reason": None}
            ],
        }
        for i in range(tokens)
    ]
    chunks[-1]["usage"] = {"prompt_tokens": 1, "completion_tokens": tokens}
    return [encode(json.loads(json.dumps(c))) for c in chunks] + [DONE]


def measure_us_per_token(tokens):
    """Return the CPU time per token of one answer in microseconds."""
    clock = Clock()
    engine, sink = SingleStreamEngine(clock), ByteCountingSink()
    request = RelayRequest(
        request_id=RequestId(REQUEST_ID),
        path="/v1/chat/completions",
        body={},
        cache_salt="",
        style=ApiStyle.CHAT,
        deadline=10.0,
    )
    segments_sent = segments(tokens)
    target = RelayTarget(BackendServerId("a"), "http://a")
    running = start(
        StreamRelay(engine, clock, None).run(request, target, sink, IgnoringDelegate())
    )
    cpu_start_s = time.process_time()
    for segment in segments_sent:
        engine.stream.dataReceived(segment)
    engine.stream.connectionLost(Failure(ResponseDone()))
    cpu_s = time.process_time() - cpu_start_s
    assert running.called and sink.size == sum(map(len, segments_sent))
    return cpu_s / tokens * 1e6


def main(tokens: int = 20_000, rounds: int = 9):
    costs_us = sorted(measure_us_per_token(tokens) for _ in range(rounds))
    typer.echo(
        f"{costs_us[0]:.2f} us per token at best, {costs_us[rounds // 2]:.2f} median, "
        f"{costs_us[-1]:.2f} at worst ({rounds} rounds of {tokens} tokens)"
    )


if __name__ == "__main__":
    typer.run(main)
