"""The gateway's HTTP API on fakes, called over in-memory connections."""

import hashlib
import json
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransportWithDisconnection
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from chivesaddle.core.events import EventRing
from chivesaddle.core.metrics import NoMetrics
from chivesaddle.core.model import (
    Account,
    BackendServer,
    ConfigState,
    Model,
    Operation,
    Service,
)
from chivesaddle.core.objects import ObjectNotFound
from chivesaddle.engines import EngineNotFound, EngineStream
from chivesaddle.engines.chunks import DONE, encode
from chivesaddle.gateway import Dependencies, GatewayApi
from chivesaddle.routing import (
    AccountLimited,
    Refuse,
    Send,
    SuspectCrashed,
    SuspectRunning,
    Wait,
)


def sha256_hex(key):
    return hashlib.sha256(key.encode()).hexdigest()


CONFIG_STATE = ConfigState(
    revision=1,
    accounts_by_id={
        a: Account(id=a, key_sha256=(sha256_hex(f"key-{a}"),))
        for a in ("tartu", "tallinn")
    },
    models_by_id={"m": Model(id="m", weight_version="v1", adapters=("et",))},
    backend_servers_by_id={
        s: BackendServer(id=s, url=f"http://{s}", zone="z", models=("m",))
        for s in ("a", "b", "c")
    },
    services_by_id={
        "seats": Service(
            id="seats",
            urls=(),
            operations=(
                Operation(name="reserve"),
                Operation(name="check", repeatable=True),
            ),
        )
    },
)


class FakeRouter:
    """Chooses the first server not excluded, unless ``decisions`` has entries."""

    def __init__(self):
        self.decisions = []
        self.requests = []
        self.recorded_calls = []
        self.block_updates = []
        self.rate_limited_for_s = None
        self.start_announcements = ()
        self.conflicts = []
        self._servers_by_id = {}

    def admit(self, request, now):
        if self.rate_limited_for_s is None:
            return None
        return Refuse(AccountLimited("limited", retry_after_s=self.rate_limited_for_s))

    def choose(self, request, now, excluded=frozenset()):
        self.requests.append(request)
        if self.decisions:
            return self.decisions.pop(0)
        return Send(min({"a", "b", "c"} - excluded), 0.0)

    def cancel(self, request_id):
        pass

    def stop_waiting(self, request_id):
        pass

    def record_start(self, request, sent, now):
        self._servers_by_id[request.request_id] = sent.server_id
        self.recorded_calls.append(("start", sent.server_id))
        return self.start_announcements

    def has_conflicting_run(self, request_id, now):
        return self.conflicts.pop(0) if self.conflicts else False

    def record_first_token(self, request_id, now):
        self.recorded_calls.append(("first_token", self._servers_by_id[request_id]))

    def record_finish(self, request_id, now, prefix_keys=()):
        self.recorded_calls.append(("finish", self._servers_by_id.pop(request_id)))
        return ()

    def record_failure(self, request_id, now, *, server_fault=True):
        kind = "failure" if server_fault else "cancel"
        self.recorded_calls.append((kind, self._servers_by_id.pop(request_id)))
        return ()

    def record_crash(self, server_id, now):
        self.recorded_calls.append(("crash", server_id))
        return (SuspectCrashed("f", "c", server_id, "d1"),)

    def update_blocks(self, server_id, stored, evicted):
        self.block_updates.append((server_id, len(stored)))

    def mark_leaving(self, server_id):
        self.recorded_calls.append(("leaving", server_id))


class FakeEngines:
    """Streams ``token_texts``; each request takes one entry of ``stream_faults``.

    An entry is an exception to raise, or the number of events after which the stream
    breaks; ``None`` opens a stream to which the test itself delivers the events.
    """

    token_texts = ["one", " two"]

    def __init__(self, clock):
        self._clock = clock
        self.stream_faults = []
        self.request_bodies = []
        self.streams = []
        self.cancelled_urls = []
        self.salts_by_id = {}

    async def open_stream(self, url, path, body, deadline):
        self.request_bodies.append(body)
        self.salts_by_id[body["request_id"]] = body["cache_salt"]
        fault = (
            self.stream_faults.pop(0)
            if self.stream_faults
            else len(self.token_texts) + 1
        )
        if isinstance(fault, Exception):
            raise fault
        stream = self._stream()
        if fault is not None:
            self.feed(stream, body, 0, fault)
        return stream

    async def resume(self, url, request_id, after, cache_salt, deadline):
        if self.salts_by_id.get(request_id) != cache_salt:
            raise EngineNotFound("no such stream")
        stream = self._stream()
        self.feed(stream, {"request_id": request_id}, after, len(self.token_texts) + 1)
        return stream

    async def load(self, url, deadline):
        return None

    async def cancel(self, url, request_id, cache_salt, deadline):
        self.cancelled_urls.append(url)

    def events(self, body):
        chat = "messages" in body
        events = []
        for i, text in enumerate(self.token_texts):
            part = {"delta": {"content": text}} if chat else {"text": text}
            last = i == len(self.token_texts) - 1
            choice = {"index": 0, **part, "finish_reason": "stop" if last else None}
            value = {"id": body["request_id"], "token_index": i, "choices": [choice]}
            if last:
                details = {"cached_tokens": 1}
                value["usage"] = {"prompt_tokens_details": details}
            events.append(encode(value))
        return [*events, DONE]

    def feed(self, stream, body, start, end):
        events = self.events(body)
        stream.dataReceived(b"".join(events[start:end]))
        at_end = end >= len(events)
        stream.connectionLost(Failure(ResponseDone() if at_end else ConnectionDone()))

    def _stream(self):
        stream = EngineStream(self._clock, 2.0)
        stream.makeConnection(StringTransportWithDisconnection())
        stream.transport.protocol = stream
        self.streams.append(stream)
        return stream


class FakePromptStore:
    def __init__(self):
        self.texts = {("tartu", "p1"): "Handbook. "}

    async def create(self, account_id, text, *, deadline):
        self.texts[account_id, "p2"] = text
        return SimpleNamespace(id="p2", text=text)

    async def get(self, account_id, prompt_id, *, deadline):
        if (account_id, prompt_id) not in self.texts:
            raise ObjectNotFound(f"Prompt {prompt_id} does not exist")
        text = self.texts[account_id, prompt_id]
        return SimpleNamespace(id=prompt_id, text=text)

    async def list(self, account_id, *, deadline):
        return [SimpleNamespace(id=p) for a, p in self.texts if a == account_id]

    async def delete(self, account_id, prompt_id, *, deadline):
        await self.get(account_id, prompt_id, deadline=deadline)
        del self.texts[account_id, prompt_id]


@dataclass
class FakeActionResult:
    state: str
    status: int
    body: Any = None
    retry_after_s: float | None = None


class FakeActionService:
    def __init__(self):
        self.results = {}
        self.calls = []
        self.pending_call = None

    async def run(self, account_id, key, service, operation, body, deadline):
        self.calls.append((account_id, key, service, operation, body))
        if self.pending_call is not None:
            await self.pending_call
        result = FakeActionResult("done", 200, {"seat": 4})
        self.results[account_id, key] = result
        return result

    async def lookup(self, account_id, key):
        return self.results.get((account_id, key))


class FakeKvService:
    def __init__(self):
        self.failure = None
        self.loaded = []
        self.saved = []

    async def find(self, scope, keys, deadline):
        return SimpleNamespace(store_id="s1", blocks=1, wait_s=0.0, block_s=0.01)

    async def load(self, prefix, server, deadline, *, interactive, cached_blocks):
        if self.failure:
            return SimpleNamespace(blocks=0, error=self.failure)
        self.loaded.append((prefix.blocks, server.id))
        return SimpleNamespace(blocks=prefix.blocks, error=None)

    async def save(self, scope, keys, server):
        self.saved.append((list(keys), server.id))


@dataclass
class GatewayFakes:
    """Fakes of all dependencies of the API, which tests configure and inspect."""

    clock: Any
    router: FakeRouter = field(default_factory=FakeRouter)
    prompts: FakePromptStore = field(default_factory=FakePromptStore)
    actions: FakeActionService = field(default_factory=FakeActionService)
    kv: FakeKvService = field(default_factory=FakeKvService)
    confirmed: bool = True
    announced: list = field(default_factory=list)
    pending_announcement: Any = None

    def __post_init__(self):
        self.engines = FakeEngines(self.clock)
        self.events = EventRing("d1")

    async def announce(self, announcements):
        self.announced += [announcement.server_id for announcement in announcements]
        if self.pending_announcement is not None:
            await self.pending_announcement

    def dependencies(self):
        return Dependencies(
            clock=self.clock,
            config=SimpleNamespace(state=CONFIG_STATE),
            freshness=SimpleNamespace(is_confirmed=lambda now: self.confirmed),
            addresses=SimpleNamespace(
                address_list=lambda now: SimpleNamespace(
                    urls=["http://d1"], valid_until=now + 10
                )
            ),
            router=self.router,
            engines=self.engines,
            budget=SimpleNamespace(try_spend=lambda now: True),
            scope=lambda *parts: sha256_hex(repr(parts))[:32],
            block_keys=lambda scope, data: [sha256_hex(scope)] * (len(data) // 1024),
            kv=self.kv,
            actions=self.actions,
            prompts=self.prompts,
            announce=self.announce,
            events=self.events,
            metrics=NoMetrics(),
        )

    def event_kinds(self):
        return [event.kind.value for event in self.events]


class AbortableTransport(StringTransportWithDisconnection):
    def abortConnection(self):  # noqa: N802
        self.loseConnection()


class Caller:
    """One HTTP connection to the API."""

    def __init__(self, site):
        self.channel = site.buildProtocol(None)
        self.transport = AbortableTransport(self.channel)
        self.transport.protocol = self.channel
        self.channel.makeConnection(self.transport)

    def send(self, method, path, body=None, *, key="key-tartu", **headers):
        content = b"" if body is None else body
        if isinstance(body, dict):
            content = json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: d1"]
        lines += [f"Content-Length: {len(content)}"] if content else []
        lines += [f"Authorization: Bearer {key}"] if key else []
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        self.channel.dataReceived(head + content)
        return self

    @property
    def response(self):
        head, _, body = self.transport.value().partition(b"\r\n\r\n")
        status_line, *lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        if headers.get("transfer-encoding") == "chunked":
            body = decode_chunked(body)
        status = int(status_line.split()[1])
        return SimpleNamespace(status=status, headers=headers, body=body)

    @property
    def json(self):
        return json.loads(self.response.body)

    @property
    def error_code(self):
        return self.json["error"]["code"]

    @property
    def sse_events(self):
        return [e + b"\n\n" for e in self.response.body.split(b"\n\n")[:-1]]


def decode_chunked(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        body += data[: int(size, 16)]
        data = data[int(size, 16) + 2 :]
    return body


@pytest.fixture
def fakes(clock):
    return GatewayFakes(clock)


@pytest.fixture
def api(fakes):
    return GatewayApi(fakes.dependencies())


@pytest.fixture
def site(api):
    return api.site()


@pytest.fixture
def connect(site):
    """Open another connection."""
    return lambda: Caller(site)


@pytest.fixture
def call(connect):
    """Send a request on a new connection."""
    return lambda *arguments, **headers: connect().send(*arguments, **headers)


@pytest.fixture
def complete(call):
    """Send a completion request; capitalized keyword arguments are headers."""

    def send(*, key="key-tartu", path="/v1/completions", **fields):
        headers = {k: fields.pop(k) for k in list(fields) if k[0].isupper()}
        body = {"model": "m", "prompt": "p", **fields}
        return call("POST", path, body, key=key, **headers)

    return send


@pytest.fixture
def scripted():
    """Router decisions and other values for tests to configure the fakes with."""
    return SimpleNamespace(
        Send=Send,
        Wait=Wait,
        Refuse=Refuse,
        unresolved=Deferred,
        running=SuspectRunning("f", "r", "a"),
    )
