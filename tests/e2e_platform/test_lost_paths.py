"""Real daemons whose connections to all servers are reset, while others reach them."""

import asyncio
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import httpx
import pytest

from chivesaddle.tools.platform_fleet import API_KEY, HOST_NAME, PlatformFleet
from chivesaddle.tools.ports import free_ports
from chivesaddle.tools.processes import HTTP_CLIENT, wait_until
from chivesaddle.tools.soak.proxy import Proxy, ProxyMode


class CutFleet:
    """Four daemons, and two servers behind proxies that tell the daemons apart."""

    def __init__(self, build_dir):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.proxies = {}
        self.ports = iter(free_ports(2))
        self.fleet = PlatformFleet(
            build_dir,
            daemons=4,
            servers=2,
            proxy_address=self.proxy_address,
            has_own_hosts=True,
        )
        self.sent = 0

    def proxy_address(self, name, address):
        if name == "store":
            return address
        if name not in self.proxies:
            proxy = Proxy(f"127.0.0.1:{next(self.ports)}", address)
            self.proxies[name] = proxy
            asyncio.run_coroutine_threadsafe(proxy.start(), self.loop).result(5)
        return self.proxies[name].listen

    def stop(self):
        self.fleet.stop()
        for proxy in self.proxies.values():
            self.loop.call_soon_threadsafe(proxy.stop)
        self.loop.call_soon_threadsafe(self.loop.stop)

    def set_mode(self, daemon, mode):
        host = self.fleet.host_by_daemon[daemon]
        for proxy in self.proxies.values():
            self.loop.call_soon_threadsafe(proxy.set_source_mode, host, mode)

    def send(self, daemon, target="/safe/x", **headers):
        self.sent += 1
        address = self.fleet.listeners[daemon]["callers"]
        all_headers = {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {API_KEY}",
            "X-Chivesaddle-Attempt-Identifier": f"request-{self.sent}",
            "X-Chivesaddle-Deadline-Milliseconds": "3000",
            **headers,
        }
        url = f"http://{address}{target}"
        return httpx.post(url, headers=all_headers, content=b"x", timeout=5)

    def addresses(self):
        """Return the callers' addresses that each daemon lists."""
        return [
            set(self.fleet.list_caller_addresses(name)) for name in self.fleet.listeners
        ]


@pytest.fixture
def cut_fleet(tmp_path):
    cut_fleet = CutFleet(tmp_path)
    try:
        cut_fleet.fleet.start()
        assert wait_until(
            lambda: all(len(addresses) == 4 for addresses in cut_fleet.addresses()), 15
        )
        yield cut_fleet
    finally:
        cut_fleet.stop()


def test_daemons_without_servers_serve_through_others(cut_fleet):
    cut = ["daemon-0", "daemon-1"]
    for daemon in cut_fleet.fleet.listeners:
        assert cut_fleet.send(daemon).status_code == 200
    for daemon in cut:
        cut_fleet.set_mode(daemon, ProxyMode.RESET)
    # The first requests find out.
    for daemon in cut:
        cut_fleet.send(daemon)
    time.sleep(1.5)
    for target in ("/safe/x", "/unsafe/x", "/stream/x"):
        for daemon in cut_fleet.fleet.listeners:
            response = cut_fleet.send(daemon, target)
            assert response.status_code == 200, (daemon, target)
            assert response.headers["x-chivesaddle-server-signature"] == "stand-in"
    runs = cut_fleet.fleet.runs()
    assert len(runs) == len(set(runs))
    metrics = HTTP_CLIENT.get(
        f"http://{cut_fleet.fleet.listeners['daemon-0']['metrics']}/metrics"
    ).text
    assert 'chivesaddle_value{name="is_cut_off"} 1.0' in metrics
    cut_addresses = {cut_fleet.fleet.listeners[daemon]["callers"] for daemon in cut}
    assert all(not cut_addresses & listed for listed in cut_fleet.addresses())
    for daemon in cut:
        cut_fleet.set_mode(daemon, ProxyMode.PASS)
    assert wait_until(
        lambda: all(len(addresses) == 4 for addresses in cut_fleet.addresses()), 5
    )
    assert [cut_fleet.send(daemon).status_code for daemon in cut] == [200, 200]


def test_daemons_whose_connections_hang_serve_through_others(cut_fleet):
    """Guards against requests that wait on connections that were accepted in between.

    All requests after the first second of the cut have to be served.
    """
    cut = ["daemon-0", "daemon-1"]
    for daemon in cut:
        cut_fleet.set_mode(daemon, ProxyMode.HANG)
    targets = ("/safe/x", "/unsafe/x", "/stream/x")
    sent_before_s = {"early": 1.5, "late": 3.5}
    responses = {"early": [], "late": []}
    since = time.monotonic()
    with ThreadPoolExecutor(32) as senders:
        for phase, end_s in sent_before_s.items():
            while time.monotonic() - since < end_s:
                for daemon in cut_fleet.fleet.listeners:
                    target = targets[len(responses[phase]) % 3]
                    responses[phase].append(
                        senders.submit(cut_fleet.send, daemon, target)
                    )
                time.sleep(0.1)
    assert {response.result().status_code for response in responses["late"]} == {200}
    for daemon in cut:
        cut_fleet.set_mode(daemon, ProxyMode.PASS)
    assert wait_until(
        lambda: all(len(addresses) == 4 for addresses in cut_fleet.addresses()), 5
    )
    assert [cut_fleet.send(daemon).status_code for daemon in cut] == [200, 200]


def test_wrong_key_is_refused_by_a_daemon_without_servers(cut_fleet):
    cut_fleet.set_mode("daemon-0", ProxyMode.RESET)
    cut_fleet.send("daemon-0")
    time.sleep(1.5)
    response = cut_fleet.send("daemon-0", Authorization="Bearer wrong")
    assert response.status_code == 401
