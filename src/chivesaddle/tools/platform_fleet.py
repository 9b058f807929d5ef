"""Starts serving daemons and fakes of the platform's systems on loopback."""

import json
from pathlib import Path
from typing import Any

import msgspec

from chivesaddle.standins.platform_server import RunSpan
from chivesaddle.tools.ports import free_ports
from chivesaddle.tools.processes import HTTP_CLIENT, Processes, ProcessSpec

HOST_NAME = "soak.example"
API_KEY = "key-1"
SERVICE = "app"
SHUTDOWN_S = 8.0
LISTENERS = ("callers", "readiness", "peers", "addresses", "metrics")


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route in the format of the platform's configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3_000,
        "target_latency_ms": 300,
        "attempts": 2,
        "service": SERVICE,
        **fields,
    }


ROUTES = [
    route("safe", "safe"),
    route("unsafe", "unsafe", attempts=1),
    route("stream", "streaming", allow_resume=True),
]


class PlatformFleet:
    """Daemons, fake backend servers and a fake object store, each in its own process.

    Parameters
    ----------
    build_dir : pathlib.Path
        Directory for logs and settings.
    daemons, servers : int
        Number of daemons and of backend servers.
    proxy_address : callable or None
        Maps the name and address of a fake to the address that daemons connect to,
        such as that of a fault-injecting proxy; None connects them directly.
    has_own_hosts : bool
        Whether each daemon listens on, and connects from, a loopback address of its
        own, so that proxies can tell them apart.
    evacuation_s : float or None
        The daemons' bound for evacuations; None if zones are never evacuated.
    shutdown_s : float
        The daemons' bound for the time from SIGTERM to their end.
    """

    def __init__(
        self,
        build_dir: Path,
        daemons: int,
        servers: int,
        proxy_address: Any = None,
        *,
        has_own_hosts: bool = False,
        evacuation_s: float | None = None,
        shutdown_s: float = SHUTDOWN_S,
    ) -> None:
        self._shutdown_s = shutdown_s
        self._evacuation_s = evacuation_s
        self._build_dir = build_dir
        self.processes = Processes(build_dir / "logs")
        self._proxy_address = proxy_address or (lambda name, address: address)
        ports = iter(free_ports(1 + servers + len(LISTENERS) * daemons))
        self.store_address = f"127.0.0.1:{next(ports)}"
        self.servers = {
            f"server-{n}": f"127.0.0.1:{next(ports)}" for n in range(servers)
        }
        self.host_by_daemon = {
            f"daemon-{n}": f"127.0.1.{n + 1}" if has_own_hosts else "127.0.0.1"
            for n in range(daemons)
        }
        self.listeners = {
            daemon: {name: f"{host}:{next(ports)}" for name in LISTENERS}
            for daemon, host in self.host_by_daemon.items()
        }
        self._version = 0
        # Start times of backend servers as their entries name them.
        self._start_by_server: dict[str, int] = {}
        self._routes: list[dict[str, Any]] = []
        self._limits: dict[str, int] = {}
        # Software versions that the entries of backend servers name.
        self.software_by_server: dict[str, str] = {}

    def start(self) -> None:
        """Start all processes and write the first configuration."""
        store_port = self.store_address.rpartition(":")[2]
        self.processes.start(
            [
                ProcessSpec(
                    "store",
                    "chivesaddle.standins",
                    ("object-api", "--port", store_port),
                    f"http://{self.store_address}/control/counters",
                )
            ]
        )
        self.put_configuration(ROUTES)
        self.processes.start(
            ProcessSpec(
                name,
                "chivesaddle.standins.platform_server",
                (address, name),
                f"http://{address}/control/runs",
            )
            for name, address in self.servers.items()
        )
        for name in self.servers:
            self.put_server(name)
        self.processes.start(self._daemon_spec(name) for name in self.listeners)
        for name in self.listeners:
            self._write_settings(name, is_first_start=False)

    def stop(self) -> None:
        """Stop all processes that this fleet started."""
        self.processes.stop(list(self.processes.pids), 10.0)

    def kill(self) -> None:
        """Kill all processes that this fleet started, suspended ones as well."""
        for name in self.processes.pids:
            self.processes.kill(name)

    def put_configuration(
        self, routes: list[dict[str, Any]], limits: dict[str, int] | None = None
    ) -> int:
        """Write a new version of the configuration; return its number."""
        self._version += 1
        self._routes, self._limits = routes, limits or {}
        self._write_configuration()
        return self._version

    def _write_configuration(self) -> None:
        value = {
            "version": self._version,
            "routes": self._routes,
            "limits": self._limits,
            "services": [{"name": SERVICE, "health_path": "/health"}],
            "tenants": [{"name": "acme", "keys": [API_KEY]}],
        }
        self.put_object("config", "main", value)

    def take_store_copy(self) -> None:
        """Make the store keep a copy of its objects."""
        self._control_store("copy")

    def restore_store_copy(self) -> None:
        """Make the store return from its copy, without leases.

        The operator and the backend servers then write again what they wrote.
        """
        self._control_store("restore?without=leases")
        self._write_configuration()
        for name in self.servers:
            self.put_server(name)

    def _control_store(self, action: str) -> None:
        url = f"http://{self.store_address}/control/{action}"
        HTTP_CLIENT.post(url).raise_for_status()

    def put_server(self, name: str, state: str = "ready") -> None:
        """Write a backend server's entry in the object store."""
        value = {
            "service": SERVICE,
            "address": self._proxy_address(name, self.servers[name]),
            "zone": "z",
            "slots": 8,
            "state": state,
            "born": self._start_by_server.get(name, 1),
            "version": self.software_by_server.get(name, "v1"),
        }
        self.put_object("servers", name, value)

    def remove_server(self, name: str) -> None:
        """Remove a backend server's entry from the object store."""
        self.remove_object("servers", name)

    def remove_object(self, kind: str, name: str) -> None:
        """Remove an object from the object store."""
        url = f"http://{self.store_address}/objects/{kind}/{name}"
        HTTP_CLIENT.delete(url).raise_for_status()

    def put_raw_object(
        self, kind: str, name: str, text: bytes, *, is_whole: bool = False
    ) -> None:
        """Write an object whose value the store's responses contain as it is.

        ``is_whole`` makes ``text`` stand for the object's metadata as well.
        """
        url = f"http://{self.store_address}/control/raw/{kind}/{name}"
        params = {"whole": int(is_whole)}
        HTTP_CLIENT.put(url, params=params, content=text).raise_for_status()

    def put_restarted_server(self, name: str) -> None:
        """Write the entry of a backend server that has started again."""
        self._start_by_server[name] = self._start_by_server.get(name, 1) + 1
        self.put_server(name)

    def runs(self) -> list[str]:
        """Return the request id of every run on the backend servers, with repeats."""
        return [run_id for name in self.servers for run_id in self.runs_at(name)]

    def runs_at(self, name: str) -> list[str]:
        """Return the request id of every run on a backend server, with repeats."""
        return HTTP_CLIENT.get(f"http://{self.servers[name]}/control/runs").json()

    def spans_at(self, name: str) -> list[RunSpan]:
        """Return when every run on a backend server began and ended."""
        response = HTTP_CLIENT.get(f"http://{self.servers[name]}/control/spans")
        return msgspec.json.decode(response.content, type=list[RunSpan])

    def set_faults(self, name: str, **switches: Any) -> None:
        """Replace the injected faults of a backend server."""
        url = f"http://{self.servers[name]}/control/faults"
        HTTP_CLIENT.put(url, json=switches).raise_for_status()

    def settings_path(self, name: str) -> Path:
        """Return the path of a daemon's settings file."""
        return self._build_dir / f"{name}.json"

    def list_caller_addresses(self, name: str) -> list[str]:
        """Return the client addresses of the daemons that one daemon lists."""
        address = self.listeners[name]["addresses"]
        response = HTTP_CLIENT.get(f"http://{address}/resolve", params={"zone": "z"})
        return response.json()["addresses"]

    def put_object(self, kind: str, name: str, value: dict[str, Any]) -> None:
        """Write an object in the store."""
        url = f"http://{self.store_address}/objects/{kind}"
        body = {"metadata": {"name": name}, "specification": value}
        if HTTP_CLIENT.post(url, json=body).status_code == 409:
            HTTP_CLIENT.put(f"{url}/{name}", json=body).raise_for_status()

    def _daemon_spec(self, name: str) -> ProcessSpec:
        path = self._write_settings(name, is_first_start=True)
        readiness = self.listeners[name]["readiness"]
        url = f"http://{readiness}/readiness"
        return ProcessSpec(name, "chivesaddle.serving.main", (str(path),), url)

    def _write_settings(self, name: str, *, is_first_start: bool) -> Path:
        settings: dict[str, Any] = {
            "daemon_id": name,
            "zone": "z",
            "listen": self.listeners[name],
            "store": {"address": self._proxy_address("store", self.store_address)},
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 60,
                "retry_window_s": 10,
                "older_weights_s": 8,
                "shutdown_s": self._shutdown_s,
                "address_valid_most_s": 5,
            },
            "seeds": [listeners["peers"] for listeners in self.listeners.values()],
            "connect_from": self.host_by_daemon[name],
            "is_first_start": is_first_start,
        }
        if self._evacuation_s is not None:
            settings["bounds"]["evacuation_s"] = self._evacuation_s
        path = self.settings_path(name)
        path.write_text(json.dumps(settings))
        return path


__all__ = ["API_KEY", "HOST_NAME", "ROUTES", "PlatformFleet", "route"]
