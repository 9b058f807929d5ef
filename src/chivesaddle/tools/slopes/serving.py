"""Points of the experiments with connections and streams."""

import json
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from chivesaddle.configuration import ConfigHolder
from chivesaddle.core.aio import sleep_until, start
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import BackendServerId, DaemonId, RequestId
from chivesaddle.core.metrics import NoMetrics
from chivesaddle.core.settings import Listen
from chivesaddle.daemon.adapters import RouterSink
from chivesaddle.engines import (
    ApiStyle,
    EngineClient,
    EnginePoller,
    EngineStream,
    RelayRequest,
    StreamRelay,
)
from chivesaddle.engines import Target as RelayTarget
from chivesaddle.engines.chunks import DONE
from chivesaddle.gateway import Dependencies, GatewayApi
from chivesaddle.kv import block_keys, scope
from chivesaddle.peers.channels import Channels
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.server import GrpcPeerServer
from chivesaddle.peers.traffic import Traffic
from chivesaddle.routing import Router
from chivesaddle.tools.slopes.load import chunk
from chivesaddle.tools.slopes.memory import resident_kb
from chivesaddle.tools.slopes.state import config_state

Figures = dict[str, float]
SETTLE_S = 3.0
POLL_S = 8.0
SERVE_S = 5.0
ENGINES = 8
CALLERS = 32


def on_reactor(work: Callable[[Any], Coroutine[Any, Any, Figures]]) -> Figures:
    """Run a Twisted coroutine function on the installed reactor."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    results: list[Any] = []

    def finish(result: Any) -> None:
        results.append(result)
        reactor.stop()

    # Not callWhenRunning: grpclib needs the asyncio loop to run already.
    reactor.callLater(0, lambda: start(work(reactor)).addBoth(finish))
    reactor.run()
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


class _Load:
    """The process of the engines and callers."""

    def __init__(self, process: "subprocess.Popen[str]") -> None:
        self._process = process
        self.ports: list[int] = self._read()

    def _read(self) -> Any:
        assert self._process.stdout is not None
        return json.loads(self._process.stdout.readline())

    def run(self, **order: Any) -> "Deferred[dict[str, int]]":
        """Run callers; the Deferred fires with all counts so far."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(order) + "\n")
        self._process.stdin.flush()
        return deferToThread(self._read)


@contextmanager
def _load(engines: int) -> Iterator[_Load]:
    command = [sys.executable, "-m", "chivesaddle.tools.slopes.load", str(engines)]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            yield _Load(process)
        finally:
            assert process.stdin is not None
            process.stdin.close()
            process.wait(10)


def polled(servers: float) -> Figures:
    """Cost of polling over loopback; the engines report no cache events."""

    async def work(reactor: Any) -> Figures:
        with _load(int(servers)) as load:
            urls = tuple(f"http://127.0.0.1:{port}" for port in load.ports)
            state = config_state(int(servers), urls=urls)
            router = Router(DaemonId("daemon-1"), seed=1)
            router.update_config(state)
            client = EngineClient.from_reactor(reactor)
            poller = EnginePoller(client, reactor, RouterSink(router))
            before_kb = resident_kb()
            poller.set_servers(
                {s.id: s.url for s in state.backend_servers_by_id.values()}
            )
            await sleep_until(reactor, reactor.seconds() + SETTLE_S)
            before = await load.run()
            spent, began = time.process_time(), time.monotonic()
            await sleep_until(reactor, reactor.seconds() + POLL_S)
            spent, took = time.process_time() - spent, time.monotonic() - began
            after = await load.run()
            poller.stop()
            memory = resident_kb() - before_kb
            await client.close()
        rates = {name: (after[name] - before[name]) / took for name in after}
        return {
            "cpu": spent / took * 1e3,
            "memory": memory,
            "requests": rates["engine_requests"],
            "bytes": rates["engine_bytes"],
        }

    return on_reactor(work)


def tokens(a_request: float) -> Figures:
    """Cost of streamed requests through gateway, router and relay over loopback."""

    async def work(reactor: Any) -> Figures:
        with _load(ENGINES) as load:
            urls = tuple(f"http://127.0.0.1:{port}" for port in load.ports)
            client = EngineClient.from_reactor(reactor)
            site = GatewayApi(_dependencies(reactor, client, urls)).site()
            port = reactor.listenTCP(0, site, interface="127.0.0.1")
            order = {
                "port": port.getHost().port,
                "tokens": int(a_request),
                "callers": CALLERS,
            }
            await load.run(**order, seconds=0.2)
            spent, began = time.process_time(), time.monotonic()
            before = await load.run()
            after = await load.run(**order, seconds=SERVE_S)
            spent, took = time.process_time() - spent, time.monotonic() - began
            requests = after["requests"] - before["requests"]
            await client.close()
            await port.stopListening()
        return {"cpu": spent / requests * 1e3, "requests": requests / took}

    return on_reactor(work)


def _dependencies(reactor: Any, client: Any, urls: tuple[str, ...]) -> Dependencies:
    holder = ConfigHolder()
    # Every server has the model m0.
    servers = config_state(9 * ENGINES, 1, urls=urls)
    router = Router(DaemonId("daemon-1"), seed=1)
    holder.add_listener(router.update_config)
    holder.replace(servers)

    async def announce(_: Any) -> None:
        pass

    return Dependencies(
        clock=reactor,
        config=holder,
        freshness=SimpleNamespace(is_confirmed=lambda now: True),
        addresses=SimpleNamespace(),  # type: ignore[arg-type]
        router=router,
        engines=client,
        budget=router.retry_budget,
        scope=scope,
        block_keys=block_keys,
        kv=None,
        actions=SimpleNamespace(),  # type: ignore[arg-type]
        prompts=SimpleNamespace(),  # type: ignore[arg-type]
        announce=announce,
        events=EventRing("daemon-1"),  # type: ignore[arg-type]
        metrics=NoMetrics(),
    )


def grpc(calls: float) -> Figures:
    """Cost of exchanges over loopback; client and server are both in this process."""

    async def work(reactor: Any) -> Figures:
        state = pb.PeerState(
            sender="daemon-1",
            zone="zone-1",
            heard_digest=range(1 << 30, (1 << 30) + 16),
            heard_age_ds=range(16),
        )

        async def handle(method: str, message: Any) -> Any:
            return state

        port = _free_port()
        server = GrpcPeerServer(Listen(port=port), handle)
        await server.start()
        channels = Channels(reactor, Traffic())

        async def call(number: int) -> None:
            for _ in range(number):
                deadline = reactor.seconds() + 5
                address = f"127.0.0.1:{port}"
                await channels.call(address, "Exchange", state, deadline=deadline)

        await call(20)
        begin = time.process_time()
        await call(int(calls))
        spent = time.process_time() - begin
        channels.close()
        await server.stop()
        return {"cpu": spent * 1e3}

    return on_reactor(work)


def _free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


class _Sink:
    """Takes an answer and counts the writes."""

    paused = False

    def __init__(self) -> None:
        self.writes = 0

    async def resumed(self) -> None:
        pass

    def write(self, events: bytes) -> None:
        self.writes += 1

    def finish(self) -> None:
        pass

    def fail(self, error: Any) -> None:
        raise error


class _Guide:
    def started(self, target: Any) -> None:
        pass

    def first_token(self, target: Any) -> None:
        pass

    def finished(self, target: Any, answer: Any) -> None:
        pass


def _relayed(number: int, a_read: int) -> Figures:
    clock = Clock()
    stream = EngineStream(clock, 2.0)
    stream.makeConnection(StringTransport())

    async def open_stream(*args: Any) -> EngineStream:
        return stream

    request_id = RequestId("req_0123456789abcdef0123456789abcdef")
    events = [chunk(request_id, n, last=n + 1 == number) for n in range(number)]
    reads = [b"".join(events[n : n + a_read]) for n in range(0, number, a_read)]
    request = RelayRequest(
        request_id, "/v1/chat/completions", {}, "", ApiStyle.CHAT, deadline=10.0
    )
    engines: Any = SimpleNamespace(open_stream=open_stream)
    relay = StreamRelay(engines, clock, None)  # type: ignore[arg-type]
    target = RelayTarget(BackendServerId("a"), "http://a")
    running = start(relay.run(request, target, _Sink(), _Guide()))  # type: ignore[arg-type]
    begin = time.process_time()
    for data in reads:
        stream.dataReceived(data)
    stream.dataReceived(DONE)
    stream.connectionLost(Failure(ResponseDone()))
    spent = time.process_time() - begin
    if not running.called:
        raise RuntimeError("The relayed answer did not end")
    return {"cpu": spent * 1e3}


def relay(number: float) -> Figures:
    """Cost of the relay alone, one token a read."""
    return _relayed(int(number), 1)


def relay_batched(number: float) -> Figures:
    """Cost of the relay alone, four tokens a read."""
    return _relayed(int(number), 4)


__all__ = ["grpc", "on_reactor", "polled", "relay", "relay_batched", "tokens"]
