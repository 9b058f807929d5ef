"""Datagrams that the system refuses to send, and addresses that cannot be sent to."""

import errno
import socket

import pytest
from twisted.internet import udp
from twisted.internet.error import MessageLengthError
from twisted.internet.task import Clock

from chivesaddle.core.aio import start
from chivesaddle.fleet import Beacon, Beacons, Member, Members, PeerDatagrams, Replica
from chivesaddle.fleet.beacons import ServerLoadShare
from chivesaddle.fleet.replica import Entry
from chivesaddle.fleet.rpc import PeerClient, PeerUnreachable
from chivesaddle.fleet.working_set import WorkingSet
from chivesaddle.http1 import Connector, NotSent

ERRNOS = [
    errno.ENETUNREACH,
    errno.EPERM,
    errno.ENOBUFS,
    errno.EAGAIN,
    errno.EINVAL,
]
ODD_ADDRESSES = [
    "",
    "10.0.0.9",
    "10.0.0.9:",
    "10.0.0.9:0",
    "10.0.0.9:70000",
    "10.0.0.9:-1",
    "10.0.0.9:http",
    "peer.example:7000",
    "[::1]:7000",
    "\ud800:7000",
    "10.0.0.9\0:7000",
]
ODD_PORTS = ["10.0.0.9", "10.0.0.9:", "10.0.0.9:70000", "10.0.0.9:http"]


class Port:
    """A port whose writes to some receivers raise."""

    def __init__(self):
        self.errors_by_host = {}
        self.sent_to = []

    def write(self, data, address):
        if address[0] in self.errors_by_host:
            raise self.errors_by_host[address[0]]
        self.sent_to.append(address[0])

    def stopListening(self):  # noqa: N802
        pass


class Reactor(Clock):
    def __init__(self, port):
        super().__init__()
        self.port = port

    def listenUDP(self, port, protocol, interface):  # noqa: N802
        return self.port


class Content:
    """What a daemon with one request reports."""

    def load_shares(self):
        return [ServerLoadShare(1, 1, 0, 0)], []

    def lease(self):
        return 0, 0

    def demand(self):
        return 0.0

    def reaches_store(self):
        return True

    def lost_servers(self):
        return [], False

    def answering_services(self):
        return []

    def progress_by_kind(self):
        return {}


def member(number, address=None):
    peers = f"10.0.0.{number}:7000" if address is None else address
    return Member(f"d{number}", "x", "z", f"10.0.0.{number}:80", peers)


@pytest.fixture
def port():
    return Port()


@pytest.fixture
def reactor(port):
    return Reactor(port)


@pytest.fixture
def datagrams(reactor):
    datagrams = PeerDatagrams(reactor, Beacon)
    datagrams.listen(reactor, "10.0.0.0:7000")
    return datagrams


@pytest.fixture
def beacons(reactor, datagrams):
    """Beacons of a daemon that has heard of two peers."""
    replica = Replica("daemons")
    members = Members(reactor, member(0), replica)
    fields = [
        {f: getattr(peer, f) for f in peer.__struct_fields__}
        for peer in (member(1), member(2))
    ]
    replica.merge(2, [Entry(f["id"], n + 1, f) for n, f in enumerate(fields)])
    for peer in (member(1), member(2)):
        members.record_seen(peer.id, peer.incarnation, 0.0, False)
    content = Content()
    working_set = WorkingSet(reactor, members)
    return Beacons(reactor, members, working_set, datagrams, content, content)


MESSAGE = Beacon("d0", "x", 1, [])


@pytest.mark.parametrize("number", ERRNOS)
def test_beacons_go_on_after_the_system_refused_to_send(beacons, port, reactor, number):
    """Guards against a loop that ends for good with a transient error."""
    port.errors_by_host["10.0.0.1"] = OSError(number, "refused")
    beacons.start()
    reactor.pump([0.1] * 20)
    assert port.sent_to.count("10.0.0.2") > 1
    port.errors_by_host.clear()
    reactor.pump([0.1] * 20)
    assert "10.0.0.1" in port.sent_to


@pytest.mark.parametrize("number", ERRNOS)
def test_daemon_announces_that_it_leaves_although_sends_are_refused(
    beacons, port, number
):
    """Guards against a shutdown that fails, which cuts all requests in flight."""
    port.errors_by_host["10.0.0.1"] = OSError(number, "refused")
    beacons.announce_leaving()
    assert port.sent_to == ["10.0.0.2"]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_receiver_with_an_odd_address_does_not_keep_the_others_from_theirs(
    datagrams, port, address
):
    datagrams.send(MESSAGE, [member(1), member(2, address), member(3)])
    assert port.sent_to == ["10.0.0.1", "10.0.0.3"]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_real_port_serves_the_others_beside_an_odd_address(address):
    """Guards against errors that only the system's sockets raise."""
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    receiver.settimeout(5)
    real = udp.Port(0, None, "127.0.0.1", reactor=Clock())
    real.protocol = None
    real._bindSocket()
    reactor = Reactor(real)
    datagrams = PeerDatagrams(reactor, Beacon)
    datagrams.listen(reactor, "127.0.0.1:0")
    last = member(2, f"127.0.0.1:{receiver.getsockname()[1]}")
    datagrams.send(MESSAGE, [member(1, address), last])
    assert receiver.recv(2_000)
    receiver.close()
    real.socket.close()


def test_message_that_is_too_large_is_not_sent(datagrams, port):
    port.errors_by_host["10.0.0.1"] = MessageLengthError()
    datagrams.send(MESSAGE, [member(1), member(2)])
    assert port.sent_to == ["10.0.0.2"]


def test_failures_of_a_receiver_are_one_log_line_per_interval(
    datagrams, port, reactor, caplog
):
    for host in ("10.0.0.1", "10.0.0.2"):
        port.errors_by_host[host] = OSError(errno.EPERM, "not permitted")
    for _ in range(600):
        datagrams.send(MESSAGE, [member(1), member(2), member(3)])
        reactor.advance(0.1)
    lines = [(r.receiver, r.failures) for r in caplog.records if "not sent" in r.msg]
    assert lines == [("d1", 1), ("d2", 1), ("d1", 300), ("d2", 300)]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_call_to_an_odd_address_counts_as_not_answered(clock, address):
    """Guards against the end of the exchange, which tries the next peer then."""
    results = []
    start(PeerClient(clock, Beacon).call(address, MESSAGE, 0.5)).addBoth(results.append)
    assert [result.type for result in results] == [PeerUnreachable]


@pytest.mark.parametrize("address", ODD_PORTS)
def test_connection_to_an_odd_address_counts_as_not_opened(clock, address):
    results = []
    start(Connector(clock).connect(address, 0.5)).addBoth(results.append)
    assert [result.type for result in results] == [NotSent]
