"""Runs two daemons over loopback sockets, prints the results as JSON and exits."""

import json
import socket
import sys
from pathlib import Path

from chivesaddle.core.aio import install_reactor, sleep_until, start

install_reactor()

from twisted.internet import reactor  # noqa: E402

sys.path.insert(0, str(Path(__file__).parent))

from chivesaddle.core.events import EventFilter, EventKind, EventRing  # noqa: E402
from chivesaddle.core.settings import ListenAddress, Settings  # noqa: E402
from chivesaddle.objects.memory import MemoryObjectApi  # noqa: E402
from chivesaddle.peers import (  # noqa: E402
    Channels,
    MemberState,
    Peers,
    PeerUnreachable,
)
from chivesaddle.peers.proto import peer_pb2 as pb  # noqa: E402
from chivesaddle.peers.traffic import TrafficMeter  # noqa: E402
from chivesaddle.routing import SuspectCrashed  # noqa: E402
from chivesaddle.tools.ports import free_ports  # noqa: E402
from conftest import FakeConfiguration, FakeFreshness, FakeLease  # noqa: E402

TIMEOUT_S = 25


async def make_peers(api, name, is_reader):
    settings = Settings(
        daemon_id=name,
        zone="zone-1",
        callers=ListenAddress(port=1),
        operators=ListenAddress(port=1),
        peers=ListenAddress(port=free_ports(1)[0]),
        caller_url=f"http://{name}",
        platform_url="http://unused",
    )
    lease = FakeLease()
    lease.version = int(is_reader)
    value = {
        "role": "daemon",
        "zone": "zone-1",
        "peer_address": settings.peers.address,
        "caller_url": settings.caller_url,
        "state": "live",
    }
    await api.create("instances", name, value, deadline=reactor.seconds() + 5)
    return Peers.from_settings(
        settings,
        reactor,
        api,
        lease,
        FakeConfiguration(api, reactor),
        FakeFreshness(),
        EventRing(name),
        status_source=lambda: {"name": name},
    )


async def wait_until(condition):
    while not condition():
        await sleep_until(reactor, reactor.seconds() + 0.05)


def is_live(peers, name):
    state = peers.membership.state_of(name, reactor.seconds())
    return state is MemberState.LIVE


async def call_silent_server():
    """Return the error type of a call to a server that never responds."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        channels = Channels(reactor, TrafficMeter())
        deadline = reactor.seconds() + 0.5
        try:
            await channels.call(
                address, "GetStatus", pb.StatusRequest(), deadline=deadline
            )
        except PeerUnreachable as error:
            return type(error).__name__
        finally:
            channels.close()


async def run_scenario():
    api = MemoryObjectApi(reactor)
    deadline = reactor.seconds() + 5
    await api.create("config", "head", {"revision": 4}, deadline=deadline)
    daemon_a, daemon_b = (
        await make_peers(api, "a", True),
        await make_peers(api, "b", False),
    )
    suspects = []
    daemon_b.on_suspect(suspects.append)
    await daemon_a.start()
    await daemon_b.start()
    await wait_until(lambda: is_live(daemon_a, "b") and is_live(daemon_b, "a"))
    await wait_until(lambda: daemon_b._configuration.revision == 4)
    missed = await daemon_a.announce_suspects([SuspectCrashed("fp", "c", "s", "a")])
    daemon_b._events.record(EventKind.REQUEST_ROUTED, request="r")
    deadline = reactor.seconds() + 5
    status = await daemon_a.collect_status(deadline)
    events = await daemon_a.collect_events(EventFilter(request="r"), deadline)
    await daemon_b.stop()
    status_after_stop = await daemon_a.collect_status(reactor.seconds() + 5)
    results = {
        "missed": missed,
        "suspects": [report.fingerprint for report in suspects],
        "status": sorted(status.responses_by_daemon_id),
        "events": [event.daemon for event in events.events],
        "missing_after_stop": sorted(status_after_stop.missing_by_daemon_id),
        "silent": await call_silent_server(),
        "bytes": daemon_a.traffic.total_bytes > 0,
    }
    await daemon_a.stop()
    return results


def finish(result):
    if hasattr(result, "getTraceback"):
        print(result.getTraceback(), file=sys.stderr)
    else:
        print(json.dumps(result))
    if reactor.running:
        reactor.stop()


# callWhenRunning would call this before the asyncio loop runs.
reactor.callLater(0, lambda: start(run_scenario()).addBoth(finish))
reactor.callLater(TIMEOUT_S, finish, {"gave_up": True})
reactor.run()
