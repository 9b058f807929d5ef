"""In-memory engines: connections for the client and scripted streams for the relay."""

import json
from dataclasses import dataclass, field

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.testing import StringTransportWithDisconnection
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from zope.interface import implementer

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BackendServerId, RequestId
from chivesaddle.engines import (
    ApiStyle,
    Connections,
    EngineClient,
    EngineNotFound,
    EngineRefused,
    EngineStream,
    RelayRequest,
    StreamRelay,
    Target,
)
from chivesaddle.engines.chunks import DONE, encode


class Connection(StringTransportWithDisconnection):
    """An open connection; ``answer`` sends the engine's response."""

    def answer(self, body=b"{}", *, status="200 OK", headers="", complete=True):
        length = f"Content-Length: {len(body)}\r\n" if complete else ""
        self.clear()
        head = f"HTTP/1.1 {status}\r\n{length}{headers}\r\n".encode()
        self.protocol.dataReceived(head + body)

    def abortConnection(self):  # noqa: N802
        super().abortConnection()
        self.drop()

    def drop(self):
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(ConnectionDone()))


@implementer(IStreamClientEndpoint)
class Network:
    """Opens in-memory connections, or refuses them if ``refusing`` is set.

    ``failure`` is another error of new connections.
    """

    def __init__(self):
        self.connections = []
        self.refusing = False
        self.failure = None

    def endpointForURI(self, uri):  # noqa: N802
        return self

    def connect(self, factory):
        if self.refusing:
            return fail(ConnectionRefusedError())
        if self.failure is not None:
            return fail(self.failure)
        protocol = factory.buildProtocol(IPv4Address("TCP", "127.0.0.1", 1))
        connection = Connection(protocol)
        connection.protocol = protocol
        protocol.makeConnection(connection)
        self.connections.append(connection)
        return succeed(protocol)


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def client(clock, network):
    return EngineClient(Connections(clock, network), clock)


def chunk(index, text, request_id="req-1", *, usage=None):
    chunk_json = {"id": request_id, "token_index": index}
    chunk_json["choices"] = [{"index": 0, "text": text, "finish_reason": None}]
    if usage is not None:
        chunk_json["choices"][0]["finish_reason"] = "stop"
        chunk_json["usage"] = {"prompt_tokens": 3, "completion_tokens": usage}
    return encode(chunk_json)


def make_answer_events(
    tokens, request_id="req-1", *, start=0, numbered_from=0, counted_from=None
):
    counted_from = start if counted_from is None else counted_from
    last = len(tokens) - 1
    return [
        chunk(
            position - start + numbered_from,
            tokens[position],
            request_id,
            usage=last + 1 - counted_from if position == last else None,
        )
        for position in range(start, len(tokens))
    ] + [DONE]


class ScriptedStream(EngineStream):
    """A stream that a test feeds, or that delivers ``events`` and then ends."""

    def __init__(self, clock, events=(), end=None):
        super().__init__(clock, 2.0)
        self.makeConnection(StringTransportWithDisconnection())
        self.transport.protocol = self
        for event in events:
            self.dataReceived(event)
        if end is not None:
            self.connectionLost(Failure(end))


@dataclass
class FakeEngines:
    """Fake `EngineClient`: each call consumes the next scripted outcome.

    An outcome is a stream, an exception to raise, a Deferred of one of these, or a
    function that gets the position to resume after and returns a stream. ``alive``
    fires when the engines answer requests for their load.
    """

    opens: list = field(default_factory=list)
    resumes: list = field(default_factory=list)
    calls: list = field(default_factory=list)
    cancelled: list = field(default_factory=list)
    alive: Deferred = field(default_factory=Deferred)

    async def open_stream(self, url, path, body, deadline):
        self.calls.append((url, json.loads(json.dumps(body))))
        return await self._next_outcome(self.opens, EngineRefused("no server"))

    async def resume(self, url, request_id, after, cache_salt, deadline):
        self.calls.append((url, after))
        no_stream = EngineNotFound("no stream")
        return await self._next_outcome(self.resumes, no_stream, after)

    async def load(self, url, deadline):
        await self.alive

    async def cancel(self, url, request_id, cache_salt, deadline):
        self.cancelled.append(url)

    async def _next_outcome(self, outcomes, default, *arguments):
        outcome = outcomes.pop(0) if outcomes else default
        if isinstance(outcome, Deferred):
            outcome = await outcome
        if isinstance(outcome, Exception):
            raise outcome
        return outcome(*arguments) if callable(outcome) else outcome


class RecordingSink:
    """Collects the relayed answer; a test sets ``paused`` for back pressure."""

    def __init__(self):
        self.data = b""
        self.paused = False
        self.waiting = None
        self.finished = False
        self.error = None

    async def resumed(self):
        self.waiting = Deferred()
        await self.waiting

    def write(self, events):
        self.data += events

    def finish(self):
        self.finished = True

    def fail(self, error):
        self.error = error

    @property
    def events(self):
        return [e + b"\n\n" for e in self.data.split(b"\n\n")[:-1]]

    @property
    def text(self):
        chunks = [json.loads(e[5:]) for e in self.events if e != DONE]
        return "".join(c["choices"][0]["text"] for c in chunks)


class RecordingDelegate:
    """Selects servers ``b``, ``c``, ``d`` for retries and records its calls."""

    def __init__(self):
        self.recorded_calls = []
        self.targets = [Target(BackendServerId(s), f"http://{s}") for s in "bcd"]

    def started(self, target):
        self.recorded_calls.append(("started", target.server_id))

    def first_token(self, target):
        self.recorded_calls.append(("first_token", target.server_id))

    def resumed(self, target, after):
        self.recorded_calls.append(("resumed", after))

    def returned(self, target, after):
        self.recorded_calls.append(("returned", target.server_id))

    def finished(self, target, answer):
        self.recorded_calls.append(("finished", target.server_id))

    def cancelled(self, target):
        self.recorded_calls.append(("cancelled", target.server_id))

    async def failed(self, target, error):
        self.recorded_calls.append((type(error).__name__, target.server_id))

    async def next_target(self, error):
        if not self.targets:
            raise ChivesaddleError("No server is left")
        target = self.targets.pop(0)
        return await target if isinstance(target, Deferred) else target


class Budget:
    remaining = 10

    def try_spend(self, now):
        self.remaining -= 1
        return self.remaining >= 0


@pytest.fixture
def budget():
    return Budget()


@pytest.fixture
def engines():
    return FakeEngines()


@pytest.fixture
def relay(engines, clock, budget):
    return StreamRelay(engines, clock, budget)


@pytest.fixture
def sink():
    return RecordingSink()


@pytest.fixture
def delegate():
    return RecordingDelegate()


@pytest.fixture
def request_body():
    return RelayRequest(
        request_id=RequestId("req-1"),
        path="/v1/completions",
        body={"prompt": "p", "max_tokens": 9},
        cache_salt="5a",
        style=ApiStyle.COMPLETION,
        deadline=10.0,
        max_tokens=9,
    )


class StreamFactory:
    """Creates scripted streams on the virtual clock."""

    tokens = ["to", "ken ", "by", " token"]

    def __init__(self, clock):
        self._clock = clock

    def stream(self, events=(), *, end=None):
        return ScriptedStream(self._clock, events, end)

    def answer_events(self, **keywords):
        return make_answer_events(self.tokens, **keywords)

    def complete(self, **keywords):
        """Return a stream of a complete answer."""
        return self.stream(self.answer_events(**keywords), end=ResponseDone())

    def broken_off(self, events):
        """Return a stream whose connection is lost after ``events``."""
        return self.stream(events, end=ConnectionDone())

    def resumed(self, after):
        """Return a stream resumed after its first ``after`` tokens."""
        return self.complete(start=after, numbered_from=after, counted_from=0)


@pytest.fixture
def streams(clock):
    return StreamFactory(clock)
