"""A small deployment on loopback: store, runners, daemons, clients and an operator."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from httpio import Broken, Message, call, call_json

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
PORT_RANGE = (15_000, 32_000)
LISTENERS = ("callers", "readiness", "peers", "addresses", "metrics")
START_TIMEOUT_S = 25.0
MAX_CASE_S = 110.0
HOST = "review.example"
KEY = "key-of-tenant-one"
MODEL = "model-1"

# Exit statuses of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case did not reach the state in which it can judge the rule."""


def has_trouble() -> bool:
    """Return whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def now() -> float:
    """Return the time of the steady clock in seconds."""
    return time.monotonic()


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that nobody listens on."""
    found: list[int] = []
    candidates = random.sample(range(*PORT_RANGE), 4_000)
    for port in candidates:
        with contextlib.closing(socket.socket()) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise CouldNotRun("no free ports")


class Deployment:
    """Processes of one case; every process that it started is ended by `stop`."""

    def __init__(
        self,
        case: Path,
        runners: dict[str, str],
        daemons: int = 3,
        *,
        services: list[dict[str, Any]],
        routes: list[dict[str, Any]],
        has_proxy: bool = False,
    ) -> None:
        self.started_at = now()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = case / "record.txt"
        self.record_path.write_text("")
        self.services, self.routes = services, routes
        self.version = 0
        names = [f"front-{n}" for n in range(daemons)]
        count = 2 + 2 * len(runners) + len(LISTENERS) * daemons
        ports = iter(free_ports(count))
        self.store = f"127.0.0.1:{next(ports)}"
        self.address_by_runner = {r: f"127.0.0.1:{next(ports)}" for r in runners}
        self.service_by_runner = dict(runners)
        # A proxy tells the daemons apart by their hosts.
        self.host_by_daemon = {
            name: f"127.0.1.{number + 1}" if has_proxy else "127.0.0.1"
            for number, name in enumerate(names)
        }
        self.listen = {
            name: {part: f"{host}:{next(ports)}" for part in LISTENERS}
            for name, host in self.host_by_daemon.items()
        }
        self.proxy_control = f"127.0.0.1:{next(ports)}" if has_proxy else None
        self.proxy_address_by_runner = {
            runner: f"127.0.0.1:{next(ports)}" for runner in runners if has_proxy
        }
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # Zones other than zone-a.
        self.zone_by_daemon: dict[str, str] = {}

    def note(self, text: str) -> None:
        """Append a line to the record, with the seconds since the case began."""
        with self.record_path.open("a") as record:
            record.write(f"{now() - self.started_at:9.3f} {text}\n")

    # Processes.

    def spawn(self, name: str, arguments: list[str], **environment: str) -> None:
        """Start a process with only the variables that the platform passes on."""
        passed = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=passed | environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note(f"process {name} started")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self.processes[name].send_signal(number)
        self.note(f"process {name} gets {number.name}")

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def start_daemon(self, name: str) -> None:
        """Start a daemon with the command of the deploy file."""
        settings = {
            "daemon_id": name,
            "zone": self.zone_by_daemon.get(name, "zone-a"),
            "listen": self.listen[name],
            "store": {"address": self.store, "max_value_bytes": 1_048_576},
            "bounds": {
                "retry_ratio": 0.2,
                "retry_slack": 52,
                "retry_window_s": 10,
                "older_weights_s": 8000e-3,
                "shutdown_s": 8.0,
                "address_valid_most_s": 5,
            },
            "capacity": {"cpu_share": 0.537, "cpu_speed": 2, "link_mbit_s": 1000.0},
            "seeds": [listen["peers"] for listen in list(self.listen.values())[:3]],
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "kvcache",
                "stream",
                "engine",
                "tenants",
                "platform",
            ],
        }
        if self.proxy_control is not None:
            settings["connect_from"] = self.host_by_daemon[name]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        dependencies = str(ROOT / "target" / "deps")
        self.spawn(
            name,
            ["python3", "deploy/serve.py"],
            PYTHONPATH=dependencies,
            CHIVESADDLE_CONFIG=str(path),
        )

    def start_runner(self, name: str, **settings: Any) -> None:
        """Start a runner, which registers itself."""
        address = self.address_by_runner[name]
        entry: dict[str, Any] = {
            "service": self.service_by_runner[name],
            "address": self.proxy_address_by_runner.get(name, address),
            "zone": "zone-a",
            "version": "s1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": int(time.time() * 1_000),
        }
        entry |= settings.pop("entry", {})
        content = {
            "id": name,
            "address": address,
            "store": self.store,
            "entry": entry,
            "log": str(self.folder / f"{name}.events"),
            **settings,
        }
        path = self.folder / f"{name}.settings.json"
        path.write_text(json.dumps(content))
        self.spawn(name, [sys.executable, str(STANDINS / "runner.py"), str(path)])

    def start_proxy(self) -> None:
        """Start the proxy between daemons and runners."""
        target_by_address = {
            address: self.address_by_runner[runner]
            for runner, address in self.proxy_address_by_runner.items()
        }
        content = {
            "control": self.proxy_control,
            "target_by_address": target_by_address,
        }
        path = self.folder / "proxy.settings.json"
        path.write_text(json.dumps(content))
        self.spawn("proxy", [sys.executable, str(STANDINS / "proxy.py"), str(path)])

    async def set_cut(self, daemons: list[str], mode: str) -> None:
        """Cut daemons off from all runners, or let them through again."""
        assert self.proxy_control is not None
        hosts = ",".join(self.host_by_daemon[name] for name in daemons)
        await call(self.proxy_control, "POST", f"/control?hosts={hosts}&mode={mode}")
        self.note(f"proxy: {mode} for {daemons}")

    async def start_store(self) -> None:
        """Start the store and wait until it answers."""
        self.spawn("store", [sys.executable, str(STANDINS / "store.py"), self.store])
        await self.wait_for("the store", self._store_answers)

    async def _store_answers(self) -> bool:
        return (await call_json(self.store, "GET", "/objects/config"))[0] == 200

    async def wait_for_ready(self, *names: str) -> None:
        """Wait until daemons say that they are ready."""
        for name in names or tuple(self.listen):

            async def is_ready(name: str = name) -> bool:
                response = await call(
                    self.listen[name]["readiness"], "GET", "/readiness", timeout_s=1
                )
                return response.status == 200

            await self.wait_for(f"{name} to be ready", is_ready)

    async def wait_for(
        self, what: str, condition: Any, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until an asynchronous condition holds; raises `CouldNotRun`."""
        until = now() + timeout_s
        while now() < until:
            with contextlib.suppress(Broken, OSError, TimeoutError):
                if await condition():
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"waited for {what} in vain")

    # The operator.

    async def write(self, kind: str, name: str, value: Any) -> None:
        """Write an object as the operator does."""
        body = {"metadata": {"name": name}, "specification": value}
        status, _ = await call_json(self.store, "POST", f"/objects/{kind}", body)
        if status == 409:
            path = f"/objects/{kind}/{name}"
            status, _ = await call_json(self.store, "PUT", path, body)
        if status not in (200, 201):
            raise CouldNotRun(f"the store answered {status} to a write")
        self.note(f"store acknowledged {kind}/{name}: {json.dumps(value)[:200]}")

    async def write_config(self, **changes: Any) -> None:
        """Write the next version of the config."""
        self.version += 3
        self.config = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": {
                "header_bytes": 16_384,
                "body_bytes": 4_194_304,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [{"name": "tenant-one", "keys": [KEY]}],
            **changes,
        }
        await self.write("config", "main", self.config)

    # What the runners saw.

    def events(self, *kinds: str) -> list[dict[str, Any]]:
        """Return the events of the runners' logs in order of time."""
        found = []
        for path in self.folder.glob("*.events"):
            found += [json.loads(line) for line in path.read_text().splitlines()]
        found.sort(key=lambda event: event["at"])
        return [event for event in found if not kinds or event["event"] in kinds]

    def note_events(self) -> None:
        """Write the runners' events to the record."""
        with self.record_path.open("a") as record:
            for event in self.events():
                at = event["at"] - self.started_at
                record.write(f"{at:9.3f} runner saw {json.dumps(event)}\n")

    # Clients.

    async def send(
        self,
        daemon: str,
        path: str,
        attempt: str,
        *,
        method: str = "POST",
        time_limit_ms: int = 1_500,
        headers: dict[str, str] | None = None,
        body: bytes = b"x",
    ) -> Message | None:
        """Send a request on a new channel; None if it ends without an answer."""
        fields = {
            "Host": HOST,
            "X-Chivesaddle-Attempt-Identifier": attempt,
            "X-Chivesaddle-Deadline-Milliseconds": str(time_limit_ms),
            "Authorization": f"Bearer {KEY}",
            **(headers or {}),
        }
        self.note(f"client sends {attempt} {method} {path} to {daemon}")
        try:
            answer = await call(
                self.listen[daemon]["callers"],
                method,
                path,
                headers=fields,
                body=body,
                timeout_s=time_limit_ms / 1_000 + 0.2,
            )
        except (Broken, OSError, TimeoutError) as error:
            self.note(f"client has no answer to {attempt}: {error!r}")
            return None
        self.note(f"client gets {answer.status} to {attempt}: {answer.body[:60]!r}")
        return answer


@contextlib.contextmanager
def running(deployment: Deployment) -> Iterator[Deployment]:
    """End all processes in any case."""
    try:
        yield deployment
    finally:
        deployment.stop()


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the config."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1_500,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "attempts": 2,
        "allow_anonymous": False,
        "allow_resume": False,
        **fields,
    }


async def _run(judge: Any) -> bool:
    """Run a case; the signals that end it let it end its processes first."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(MAX_CASE_S):
            return await judge()
    except TimeoutError:
        raise CouldNotRun(f"not done in {MAX_CASE_S:.0f} s") from None


def main(judge: Any) -> None:
    """Run a case and exit with its status: ``judge`` returns whether the rule held."""
    try:
        held = asyncio.run(_run(judge))
    except (CouldNotRun, asyncio.CancelledError, KeyboardInterrupt) as error:
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
