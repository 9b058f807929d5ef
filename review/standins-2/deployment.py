"""Starts the store, runners and daemons of a small deployment as processes.

The daemons are started with the command of the deploy file and settings that are filled
in from its template's fields. All addresses are loopback addresses. Every process that
was started is ended by `Deployment.stop`.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import wire

ROOT = Path(__file__).resolve().parents[2]
BUILT = ROOT / "target" / "review-2"
HOST = "kursus.example"
LISTENERS = ("callers", "readiness", "peers", "addresses", "metrics")
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


_given_ports: set[int] = set()


def free_port(host: str) -> int:
    """Return a port that is free for TCP and UDP and was not returned before."""
    for _ in range(50):
        with (
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            if port not in _given_ports:
                _given_ports.add(port)
                return port
    raise NotRun("no free port")


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> wire.Message:
    """Send a request on a connection of its own; return the response."""
    host, _, port = address.rpartition(":")

    async def exchange() -> wire.Message:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                wire.encode_request(
                    method, target, {"Host": address} | (headers or {}), body
                )
            )
            response = await wire.read_head(reader)
            if response is None:
                raise ConnectionError("closed without a response")
            await wire.read_body(reader, response)
            return response
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        seconds = time.monotonic() - self._started_at
        print(f"{seconds:8.3f} s  {text}", file=self._file, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Deployment:
    """A store, runners and daemons.

    Parameters
    ----------
    record : Record
        Gets what the test does.
    hosts : sequence of str
        Loopback address of each daemon.
    """

    def __init__(self, record: Record, hosts: tuple[str, ...] = ("127.0.0.1",)) -> None:
        self.record = record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        # Runners that a request ends write its id here.
        self.crash_log = self._folder / "crashes.txt"
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.store = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.listeners = {
            f"front-{n}": {name: f"{host}:{free_port(host)}" for name in LISTENERS}
            for n, host in enumerate(hosts)
        }
        self.host_by_daemon = {f"front-{n}": host for n, host in enumerate(hosts)}
        self.runners: dict[str, tuple[str, str]] = {}
        self._config_version = 0
        self._starts: dict[str, int] = {}

    def _start(self, name: str, command: list[str], environment: dict) -> None:
        log = (self._folder / f"{name}.log").open("ab")
        inherited = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        self._processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env=inherited | environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def _start_standin(self, name: str, program: str, *arguments: str) -> None:
        command = [sys.executable, str(BUILT / program), *arguments]
        self._start(name, command, {"PYTHONPATH": str(BUILT)})

    async def start_store(self) -> None:
        """Start the store."""
        self._start_standin("store", "platform_store.py", self.store)
        await self._wait(self.store, "/objects/config")

    async def start_runner(self, name: str, software: str = "v1") -> None:
        """Start a runner, at its old address if it ran before."""
        if name not in self.runners:
            self.runners[name] = (f"127.0.0.1:{free_port('127.0.0.1')}", software)
        address, software = self.runners[name]
        self._starts[name] = self._starts.get(name, 0) + 1
        log = str(self.crash_log)
        self._start_standin(name, "runner.py", address, name, software, log)
        await self._wait(address, "/health")
        self.record.write(f"runner {name} ({software}) started")

    async def start_daemon(self, name: str, settings: dict[str, Any]) -> None:
        """Start a daemon with the deploy file's command and wait until it is ready."""
        listen = self.listeners[name]
        template = {
            "daemon_id": name,
            "zone": "tln-a",
            "listen": listen,
            "store": {"address": self.store, "max_value_bytes": 1_048_576},
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 52,
                "retry_window_s": 10,
                "older_weights_s": 8,
                "shutdown_s": 8,
                "address_valid_most_s": 5,
            },
            "capacity": {"cpu_share": 0.537, "cpu_speed": 2, "link_mbit_s": 1000.0},
            "seeds": [other["peers"] for other in self.listeners.values()],
            "contracts": ["base", "drain", "config", "retry", "recover", "stream"],
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(template | settings))
        environment = {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CHIVESADDLE_CONFIG": str(path),
        }
        self._start(name, ["python3", "deploy/serve.py"], environment)
        await self._wait(listen["readiness"], "/readiness")
        self.record.write(f"daemon {name} is ready")

    async def _wait(self, address: str, target: str) -> None:
        until = time.monotonic() + 20.0
        while time.monotonic() < until:
            try:
                if (await call(address, "GET", target, timeout_s=1.0)).status == 200:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotRun(f"{address}{target} does not answer")

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Write an object into the store, as the operator and runners do."""
        body = json.dumps({"metadata": {"name": name}, "specification": value}).encode()
        response = await call(self.store, "POST", f"/objects/{kind}", body=body)
        if response.status == 409:
            await call(self.store, "PUT", f"/objects/{kind}/{name}", body=body)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object from the store."""
        await call(self.store, "DELETE", f"/objects/{kind}/{name}")
        self.record.write(f"{kind}/{name} removed from the store")

    async def put_config(
        self, routes: list[dict], tenants: list[dict], limits: dict | None = None
    ) -> None:
        """Write a new version of the config."""
        self._config_version += 1
        value = {
            "version": self._config_version,
            "routes": routes,
            "services": [
                {
                    "name": "broneering",
                    "health_path": "/health",
                    "connection_limit": 96,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
            "limits": {
                "header_bytes": 16_384,
                "body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            }
            | (limits or {}),
            "tenants": tenants,
        }
        await self.put("config", "main", value)
        self.record.write(f"config version {self._config_version} acknowledged")

    async def put_runner(self, name: str, state: str = "ready") -> None:
        """Write a runner's entry, as it does about once in a heartbeat."""
        address, software = self.runners[name]
        value = {
            "service": "broneering",
            "address": address,
            "zone": "tln-a",
            "version": software,
            "slots": 6,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": self.born(name),
        }
        await self.put("servers", name, value)
        self.record.write(f"runner {name} ({software}) is listed as {state}")

    def born(self, name: str) -> int:
        """Return when a runner was started, as a number that rises with each start."""
        return 1_700_000_000_000 + 1_000 * self._starts[name]

    async def control(self, name: str, **behaviour: Any) -> dict[str, Any]:
        """Set the behaviour of a runner; return its runs."""
        address, _ = self.runners[name]
        body = json.dumps(behaviour).encode()
        method = "PUT" if behaviour else "GET"
        response = await call(address, method, "/control", body=body)
        if behaviour:
            self.record.write(f"runner {name}: {json.dumps(behaviour)}")
        return json.loads(response.body)

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self._processes[name]
        process.kill()
        process.wait()
        self.record.write(f"{name} killed")

    def is_running(self, name: str) -> bool:
        """Return whether a process runs."""
        return self._processes[name].poll() is None

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a process."""
        path = Path(f"/proc/{self._processes[name].pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1_024
        return 0.0

    def daemon_log(self, name: str) -> list[str]:
        """Return the lines that a daemon has logged."""
        return (self._folder / f"{name}.log").read_text(errors="replace").splitlines()

    def stop(self) -> None:
        """End all processes and remove their files."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self._folder, ignore_errors=True)


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the config."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1_500,
        "target_latency_ms": 300,
        "priority": 2,
        "service": "broneering",
        "attempts": 2,
        "allow_anonymous": False,
        "session_affinity": False,
        "allow_resume": False,
        "target_gap_ms": 400,
        **fields,
    }


def run_case(folder: str, case: Any) -> None:
    """Run ``case(record, has_trouble)`` and exit as the issue says.

    The case returns whether the rule was broken.
    """
    record = Record(Path(folder))
    has_trouble = os.environ.get("TROUBLE") != "0"
    record.write(f"trouble: {has_trouble}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record, has_trouble), 115.0))
        status = EXIT_BROKEN if is_broken else EXIT_HELD
        record.write("the rule was broken" if is_broken else "the rule held")
    except Exception as error:
        # Whatever fails here says nothing of the rule.
        status = EXIT_NOT_RUN
        record.write(f"not run: {error!r}")
    record.close()
    sys.exit(status)
