"""Measurements with network connections and streams."""

import json
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

from chivesaddle.configuration import ActiveConfig
from chivesaddle.core.aio import sleep_until, start
from chivesaddle.core.events import EventRing
from chivesaddle.core.ids import BackendServerId, DaemonId, RequestId
from chivesaddle.core.metrics import NoMetrics
from chivesaddle.core.settings import ListenAddress
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
from chivesaddle.peers.traffic import TrafficMeter
from chivesaddle.routing import Router
from chivesaddle.tools.ports import free_ports
from chivesaddle.tools.slopes.load import token_event
from chivesaddle.tools.slopes.memory import resident_kb
from chivesaddle.tools.slopes.state import config_state

Measurements = dict[str, float]
SETTLE_S = 3.0
POLLING_MEASUREMENT_S = 8.0
STREAMING_MEASUREMENT_S = 5.0
ENGINE_COUNT = 8
CALLER_COUNT = 32


def run_on_reactor(
    work: Callable[[Any], Coroutine[Any, Any, Measurements]],
) -> Measurements:
    """Run a coroutine function on the installed reactor and return its result."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    results: list[Any] = []

    def finish(result: Any) -> None:
        results.append(result)
        reactor.stop()

    # Unlike callWhenRunning, callLater starts the work when the asyncio loop already
    # runs, which grpclib needs.
    reactor.callLater(0, lambda: start(work(reactor)).addBoth(finish))
    reactor.run()
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


class _LoadProcess:
    """Handle of the process with the fake engines and callers."""

    def __init__(self, process: "subprocess.Popen[str]") -> None:
        self._process = process
        self.ports: list[int] = self._read()

    def _read(self) -> Any:
        assert self._process.stdout is not None
        return json.loads(self._process.stdout.readline())

    def run(self, **command: Any) -> "Deferred[dict[str, int]]":
        """Send a command to run callers; the Deferred fires with all counts so far."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(command) + "\n")
        self._process.stdin.flush()
        return deferToThread(self._read)


@contextmanager
def _start_load_process(engines: int) -> Iterator[_LoadProcess]:
    command = [sys.executable, "-m", "chivesaddle.tools.slopes.load", str(engines)]
    with subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            yield _LoadProcess(process)
        finally:
            assert process.stdin is not None
            process.stdin.close()
            process.wait(10)


def measure_polling(servers: float) -> Measurements:
    """Measure polling over loopback; the engines report no cache events."""

    async def work(reactor: Any) -> Measurements:
        with _start_load_process(int(servers)) as load:
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
            cpu_s, started_at = time.process_time(), time.monotonic()
            await sleep_until(reactor, reactor.seconds() + POLLING_MEASUREMENT_S)
            cpu_s, elapsed_s = (
                time.process_time() - cpu_s,
                time.monotonic() - started_at,
            )
            after = await load.run()
            poller.stop()
            memory_kb = resident_kb() - before_kb
            await client.close()
        rates = {name: (after[name] - before[name]) / elapsed_s for name in after}
        return {
            "cpu": cpu_s / elapsed_s * 1e3,
            "memory": memory_kb,
            "requests": rates["engine_requests"],
            "bytes": rates["engine_bytes"],
        }

    return run_on_reactor(work)


def measure_streaming(tokens_per_request: float) -> Measurements:
    """Measure streamed requests through gateway, router and relay over loopback."""

    async def work(reactor: Any) -> Measurements:
        with _start_load_process(ENGINE_COUNT) as load:
            urls = tuple(f"http://127.0.0.1:{port}" for port in load.ports)
            client = EngineClient.from_reactor(reactor)
            site = GatewayApi(_dependencies(reactor, client, urls)).site()
            port = reactor.listenTCP(0, site, interface="127.0.0.1")
            callers = {
                "port": port.getHost().port,
                "tokens": int(tokens_per_request),
                "callers": CALLER_COUNT,
            }
            await load.run(**callers, seconds=0.2)
            cpu_s, started_at = time.process_time(), time.monotonic()
            before = await load.run()
            after = await load.run(**callers, seconds=STREAMING_MEASUREMENT_S)
            cpu_s, elapsed_s = (
                time.process_time() - cpu_s,
                time.monotonic() - started_at,
            )
            requests = after["requests"] - before["requests"]
            await client.close()
            await port.stopListening()
        return {"cpu": cpu_s / requests * 1e3, "requests": requests / elapsed_s}

    return run_on_reactor(work)


def _dependencies(reactor: Any, client: Any, urls: tuple[str, ...]) -> Dependencies:
    active_config = ActiveConfig()
    # Servers take the 9 models and the 8 engine URLs in turn. 72 servers are all
    # combinations, so every engine has a server with model m0, which callers request.
    state = config_state(9 * ENGINE_COUNT, 1, urls=urls)
    router = Router(DaemonId("daemon-1"), seed=1)
    active_config.add_listener(router.update_config)
    active_config.replace(state)

    async def announce(_: Any) -> None:
        pass

    return Dependencies(
        clock=reactor,
        config=active_config,
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


def measure_exchanges(calls: float) -> Measurements:
    """Measure peer exchanges over loopback; this process is both client and server."""

    async def work(reactor: Any) -> Measurements:
        state = pb.PeerState(
            sender="daemon-1",
            zone="zone-1",
            heard_digest=range(1 << 30, (1 << 30) + 16),
            heard_age_ds=range(16),
        )

        async def handle(method: str, message: Any) -> Any:
            return state

        (port,) = free_ports(1)
        server = GrpcPeerServer(ListenAddress(port=port), handle)
        await server.start()
        channels = Channels(reactor, TrafficMeter())

        async def call(count: int) -> None:
            for _ in range(count):
                deadline = reactor.seconds() + 5
                address = f"127.0.0.1:{port}"
                await channels.call(address, "Exchange", state, deadline=deadline)

        await call(20)
        started_at = time.process_time()
        await call(int(calls))
        cpu_s = time.process_time() - started_at
        channels.close()
        await server.stop()
        return {"cpu": cpu_s * 1e3}

    return run_on_reactor(work)


class _CountingSink:
    """Discards an answer and counts the writes."""

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


class _NullRelayObserver:
    """Ignores the progress of a relayed answer."""

    def started(self, target: Any) -> None:
        pass

    def first_token(self, target: Any) -> None:
        pass

    def finished(self, target: Any, answer: Any) -> None:
        pass


def _relay_tokens(token_count: int, tokens_per_read: int) -> Measurements:
    clock = Clock()
    stream = EngineStream(clock, 2.0)
    stream.makeConnection(StringTransport())

    async def open_stream(*args: Any) -> EngineStream:
        return stream

    request_id = RequestId("req_0123456789abcdef0123456789abcdef")
    events = [
        token_event(request_id, n, last=n + 1 == token_count)
        for n in range(token_count)
    ]
    reads = [
        b"".join(events[n : n + tokens_per_read])
        for n in range(0, token_count, tokens_per_read)
    ]
    request = RelayRequest(
        request_id, "/v1/chat/completions", {}, "", ApiStyle.CHAT, deadline=10.0
    )
    engines: Any = SimpleNamespace(open_stream=open_stream)
    relay = StreamRelay(engines, clock, None)  # type: ignore[arg-type]
    target = RelayTarget(BackendServerId("a"), "http://a")
    running = start(relay.run(request, target, _CountingSink(), _NullRelayObserver()))  # type: ignore[arg-type]
    started_at = time.process_time()
    for data in reads:
        stream.dataReceived(data)
    stream.dataReceived(DONE)
    stream.connectionLost(Failure(ResponseDone()))
    cpu_s = time.process_time() - started_at
    if not running.called:
        raise RuntimeError("The relayed answer did not end")
    return {"cpu": cpu_s * 1e3}


def measure_relay(token_count: float) -> Measurements:
    """Measure the relay alone, with one token per read."""
    return _relay_tokens(int(token_count), 1)


def measure_batched_relay(token_count: float) -> Measurements:
    """Measure the relay alone, with four tokens per read."""
    return _relay_tokens(int(token_count), 4)


__all__ = [
    "measure_batched_relay",
    "measure_exchanges",
    "measure_polling",
    "measure_relay",
    "measure_streaming",
    "run_on_reactor",
]
