"""Test harness for the forwarder with a fake reactor and scripted connections."""

import functools
import math
import random
from types import SimpleNamespace

import msgspec
import pytest
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from chivesaddle.cachemap import CacheIndex, TransferPlanner
from chivesaddle.core.ids import DaemonId, ServiceId, ZoneId
from chivesaddle.forwarding import (
    CrashRecord,
    Forwarder,
    MessageCodec,
    PromptPlanner,
    RetryBudget,
    ServingState,
    StreamOrigins,
)
from chivesaddle.http1 import ConnectionPool, Connector
from chivesaddle.http1.server import CallerConnection, Listener
from chivesaddle.placement import RateLimits, ServerTable, SoftwareHistory
from chivesaddle.platform import (
    decode_configuration,
    decode_request,
    decode_response,
    decode_server,
    encode_peer_headers,
    encode_server_headers,
)

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "safe",
            "host": "h.example",
            "path_prefix": "/safe/",
            "kind": "safe",
            "timeout_ms": 1000,
            "target_latency_ms": 200,
            "attempts": 2,
            "service": "app",
        },
        {
            "name": "unsafe",
            "host": "h.example",
            "path_prefix": "/unsafe/",
            "kind": "unsafe",
            "timeout_ms": 1000,
            "attempts": 1,
            "service": "app",
        },
        {
            "name": "stream",
            "host": "h.example",
            "path_prefix": "/stream/",
            "kind": "streaming",
            "timeout_ms": 9000,
            "attempts": 1,
            "service": "app",
        },
        {
            "name": "resumable",
            "host": "h.example",
            "path_prefix": "/resumable/",
            "kind": "streaming",
            "timeout_ms": 9000,
            "attempts": 2,
            "allow_resume": True,
            "service": "app",
        },
    ],
    "services": [{"name": "app"}],
    "tenants": [{"name": "acme", "keys": ["k1"], "priority": 1}],
}


class Transport(StringTransport):
    """Transport that reports connection loss to the protocol as a reactor would."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.protocol = None
        self.is_lost = False

    def lose_connection(self, reason=ConnectionLost):
        if not self.is_lost:
            self.is_lost = True
            self.protocol.connectionLost(Failure(reason()))

    def abortConnection(self):  # noqa: N802
        self.clock.callLater(0, self.lose_connection)

    def loseConnection(self):  # noqa: N802
        self.clock.callLater(0, self.lose_connection, ConnectionDone)


class FakeReactor:
    """Reactor with a virtual clock that connects in memory by address."""

    def __init__(self):
        self.clock = Clock()
        self.callLater = self.clock.callLater
        self.seconds = self.clock.seconds
        self.refusing_addresses = set()
        self.unresponsive_addresses = set()
        self.connections = []

    def connectTCP(self, host, port, factory, **_):  # noqa: N802
        address = f"{host}:{port}"
        connector = SimpleNamespace(disconnect=lambda: None)
        if address in self.unresponsive_addresses:
            return connector
        if address in self.refusing_addresses:
            failure = Failure(ConnectionRefusedError())
            self.clock.callLater(0, factory.clientConnectionFailed, None, failure)
            return connector

        def open_connection():
            if address in self.refusing_addresses:
                failure = Failure(ConnectionRefusedError())
                factory.clientConnectionFailed(None, failure)
                return
            protocol = factory.buildProtocol(None)
            transport = Transport(self.clock)
            transport.protocol = protocol
            self.connections.append(FakeServerConnection(address, protocol, transport))
            protocol.makeConnection(transport)

        self.clock.callLater(0, open_connection)
        return connector


class FakeServerConnection:
    """The server's end of one connection."""

    def __init__(self, address, protocol, transport):
        self.address = address
        self.protocol = protocol
        self.transport = transport

    @property
    def head(self):
        return self.transport.value().partition(b"\r\n\r\n")[0].decode()

    def header(self, name):
        for line in self.head.splitlines():
            key, _, value = line.partition(": ")
            if key.lower() == name.lower():
                return value
        return None

    @property
    def request_id(self):
        return self.header("x-chivesaddle-attempt-identifier")

    def send(self, data):
        self.protocol.dataReceived(data)

    def respond(
        self, status=200, body=b"ok", *, request_id=None, signed=True, extra_header=""
    ):
        lines = [f"HTTP/1.1 {status} X"]
        lines.append(
            f"X-Chivesaddle-Attempt-Identifier: {request_id or self.request_id}"
        )
        if signed:
            lines.append("X-Chivesaddle-Server-Signature: sig")
        if extra_header:
            lines.append(extra_header)
        lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def start_stream(self, *events, request_id=None):
        request_id = request_id or self.request_id
        self.send(
            b"HTTP/1.1 200 OK\r\nX-Chivesaddle-Server-Signature: sig\r\n"
            + f"X-Chivesaddle-Attempt-Identifier: {request_id}\r\n".encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for event in events:
            self.chunk(event)

    def chunk(self, data):
        self.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_stream(self):
        self.send(b"0\r\n\r\n")


class PeerPaths:
    """The daemons that a test says reach the servers."""

    def __init__(self):
        self.peers = []
        self.beacon_at_by_peer = {}
        self.is_member = lambda host: True

    def reaching(self, service):
        return self.peers

    def last_beacon_at(self, daemon):
        return self.beacon_at_by_peer.get(daemon, -math.inf)


class Harness:
    """A forwarder with two servers of a service without a model."""

    def __init__(self, reactor=None, knows_answers_since=-math.inf):
        self.reactor = reactor or FakeReactor()
        clock = self.reactor
        self.serving_state = ServingState(clock, 7.0)
        self.serving_state.put_configuration(decode_configuration(CONFIGURATION))
        self.servers = ServerTable(clock)
        self.software = SoftwareHistory(clock, self.servers)
        self.knows_software_versions = True
        self.origins = StreamOrigins(clock, self.software, self.confirm_versions)
        for number in (1, 2):
            self.add_server(number)
        self.limits = RateLimits(clock, self.servers, DaemonId("d0"), lambda: [])
        self.pool = ConnectionPool(Connector(clock), clock)
        self.crashes = CrashRecord(clock, knows_answers_since)
        self.servers.on_down = self.crashes.confirm
        self.budget = RetryBudget(clock, 0.2, 50, 10, lambda: 1)
        transfers = TransferPlanner(clock, CacheIndex(clock))
        self.peer_paths = PeerPaths()
        self.results = []
        self.transfers = transfers
        self.forwarder = self.make_forwarder()
        self.listener = Listener(
            clock, lambda *args: self.forwarder.handle(*args), caller_limits
        )

    async def confirm_versions(self, service, key):
        return self.knows_software_versions

    def make_forwarder(self, **options):
        clock = self.reactor
        return Forwarder(
            clock,
            ZoneId("z"),
            MessageCodec(
                decode_request,
                decode_response,
                encode_server_headers,
                encode_peer_headers,
            ),
            self.serving_state,
            self.servers,
            self.limits,
            self.pool,
            self.peer_paths,
            self.pool,
            self.budget,
            self.crashes,
            PromptPlanner(clock, self.serving_state, self.servers, self.transfers),
            self.origins,
            lambda result, _: self.results.append(result),
            **options,
        )

    def add_server(self, number, **fields):
        entry = {
            "service": "app",
            "address": f"10.0.0.{number}:80",
            "zone": "z",
            "slots": 4,
            "state": "ready",
            **fields,
        }
        self.servers.put(decode_server(f"i-{number}", entry))

    def use_model_engines(self):
        """Turn the servers into model engines with a memory of 100 tokens."""
        engine = {
            "slots": 64,
            "kv_capacity": 100,
            "kv_token_bytes": 163_840,
            "link_mbps": 1_000,
            "max_concurrent": 12,
        }
        services = [{"name": "app", "engine": engine}]
        configuration = {**CONFIGURATION, "version": 4, "services": services}
        self.serving_state.put_configuration(decode_configuration(configuration))
        for number in (1, 2):
            models = [{"name": "m", "version": 1}]
            self.add_server(number, models=models, slots=64)

    def caller(self):
        return Caller(self)

    def advance(self, seconds=0.0):
        self.reactor.clock.advance(seconds)

    @property
    def connections(self):
        return self.reactor.connections


def caller_limits():
    from chivesaddle.http1 import CallerLimits

    return CallerLimits(body_bytes=1_000)


class Caller:
    """The caller's end of one connection."""

    def __init__(self, harness):
        self.harness = harness
        self.protocol = CallerConnection(harness.listener)
        self.transport = Transport(harness.reactor.clock)
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    def request(self, target, request_id="a1", key="k1", headers="", body=b"x"):
        lines = [f"POST {target} HTTP/1.1", "Host: h.example"]
        lines.append(f"X-Chivesaddle-Attempt-Identifier: {request_id}")
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if headers:
            lines.append(headers)
        lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.harness.advance()
        self.harness.advance()

    def send(self, data):
        self.protocol.dataReceived(data)

    def received(self):
        return self.transport.value()

    @property
    def status(self):
        value = self.received()
        return int(value.split(b" ")[1]) if value else None

    def close_connection(self):
        self.transport.lose_connection()
        self.harness.advance()


class CrashFleet:
    """Forwarders of several daemons that use the same servers and exchange hints."""

    EXCHANGE_INTERVAL_S = 0.7
    SERVERS = (1, 2, 3, 4, 5)

    def __init__(self, size):
        self.reactor = FakeReactor()
        self.random = random.Random(7)
        self.loses_datagrams = False
        self.crashes = 0
        self.daemons = [Harness(self.reactor) for _ in range(size)]
        self.lives = dict.fromkeys(self.SERVERS, 0)
        for daemon in self.daemons:
            self.start(daemon)

    def start(self, daemon):
        for number in (1, 2):
            daemon.servers.remove(f"i-{number}", may_have_expired=False)
        for number in self.SERVERS:
            self.list_server(daemon, number)
        daemon.crashes.on_report = functools.partial(self.announce, daemon)
        daemon.crashes.trial_rank = lambda part: self.daemons.index(daemon)
        self.reactor.callLater(
            self.random.uniform(0, self.EXCHANGE_INTERVAL_S), self.exchange, daemon
        )

    def restart(self, number):
        """Replace a daemon by a new one that knows nothing."""
        self.daemons[number] = Harness(self.reactor, self.reactor.seconds())
        self.start(self.daemons[number])

    def list_server(self, daemon, number, **fields):
        life = self.lives[number]
        entry = {
            "service": "app",
            "address": f"10.0.0.{number}:80",
            "zone": "z",
            "slots": 4,
            "state": "ready",
            "born": 1_000 + life,
            **fields,
        }
        daemon.servers.put(decode_server(f"i-{number}-{life}", entry))

    def announce(self, daemon, reports):
        if self.loses_datagrams:
            return
        for peer in self.daemons:
            if peer is not daemon:
                self.reactor.callLater(0.01, peer.crashes.apply_reports, reports)

    def exchange(self, daemon):
        if daemon not in self.daemons:
            return
        peer = self.random.choice(self.daemons)
        for source, target in ((daemon, peer), (peer, daemon)):
            hint = msgspec.json.decode(msgspec.json.encode(source.crashes.collect()))
            target.crashes.apply_remote(hint)
        self.reactor.callLater(self.EXCHANGE_INTERVAL_S, self.exchange, daemon)

    def request(self, daemon, target, request_id, **kwargs):
        """Send a caller's request; return the caller and the connection used."""
        caller = daemon.caller()
        caller.request(target, request_id, **kwargs)
        return caller, self.connection_of(request_id)

    def connection_of(self, request_id):
        """Return the newest connection that a request was sent on, or None."""
        marker = f"Identifier: {request_id}\r\n".encode().lower()
        return next(
            (
                c
                for c in reversed(self.reactor.connections)
                if marker in c.transport.value().lower() and not c.transport.is_lost
            ),
            None,
        )

    def crash(self, connection, listed_after_s):
        """Crash a server: its connections break, then a new one is at its address."""
        number = int(connection.address[7])
        old = f"i-{number}-{self.lives[number]}"
        self.lives[number] += 1
        self.crashes += 1
        self.reactor.refusing_addresses.add(connection.address)
        for other in list(self.reactor.connections):
            if other.address == connection.address:
                other.transport.lose_connection()

        def replace():
            self.reactor.refusing_addresses.remove(connection.address)
            for daemon in self.daemons:
                daemon.servers.remove(old, may_have_expired=False)
                self.list_server(daemon, number)

        self.reactor.callLater(listed_after_s, replace)

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.reactor.clock.advance(0.05)


@pytest.fixture
def crash_fleet():
    return CrashFleet


@pytest.fixture
def harness():
    return Harness()


@pytest.fixture
def caller(harness):
    return harness.caller()


__all__ = ["CONFIGURATION", "Caller", "Harness", "ServiceId"]
