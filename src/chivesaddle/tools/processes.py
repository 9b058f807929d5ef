"""Starts, suspends, kills, restarts and stops the child processes of the tools."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import httpx

import chivesaddle

START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05


# One client is shared, since creating one loads the certificates. It keeps no idle
# connections, since an injected fault can leave an open one without any response.
HTTP_CLIENT = httpx.Client(
    timeout=10.0, limits=httpx.Limits(max_keepalive_connections=0)
)


class ToolError(Exception):
    """A process did not start, or a request of a tool failed."""


@dataclass(frozen=True)
class ProcessSpec:
    """How to start a process, and which URL returns 200 once it is healthy."""

    name: str
    module: str
    arguments: tuple[str, ...]
    health_url: str


class Processes:
    """Child processes by name; only these are ever signalled.

    Parameters
    ----------
    log_dir : pathlib.Path
        Directory for the output of each process, in ``<name>.log``.
    """

    def __init__(self, log_dir: Path) -> None:
        self._log_dir = log_dir
        self._specs: dict[str, ProcessSpec] = {}
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def pids(self) -> dict[str, int]:
        """Ids of the running processes, by name."""
        return {n: p.pid for n, p in self._running.items() if p.poll() is None}

    def start(self, specs: Iterable[ProcessSpec]) -> None:
        """Start processes and wait until all are healthy; raises `ToolError`."""
        specs = list(specs)
        for spec in specs:
            self._spawn(spec)
        for spec in specs:
            self.wait_until_serving(spec.name)

    def wait_until_serving(self, name: str) -> None:
        """Wait until a process's health URL returns 200; raises `ToolError`."""
        spec, process = self._specs[name], self._running[name]

        def is_serving() -> bool:
            if process.poll() is not None:
                raise ToolError(
                    f"{name} exited with status {process.returncode}; end of its log:\n"
                    + self.log_tail(name)
                )
            try:
                return HTTP_CLIENT.get(spec.health_url, timeout=1.0).status_code == 200
            except httpx.HTTPError:
                return False

        if not wait_until(is_serving, START_TIMEOUT_S):
            raise ToolError(
                f"{name} did not return 200 at {spec.health_url} within "
                f"{START_TIMEOUT_S:g} s; end of its log:\n" + self.log_tail(name)
            )

    def log_text(self, name: str) -> str:
        """Return a process's log, over all its starts."""
        return self._log_path(name).read_text(errors="replace")

    def log_tail(self, name: str, lines: int = 20) -> str:
        """Return the last lines of a process's log."""
        return "\n".join(self.log_text(name).splitlines()[-lines:])

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        process = self._running[name]
        process.kill()
        process.wait()

    def terminate(self, name: str) -> None:
        """Ask a process to shut down gracefully, without waiting."""
        self._running[name].send_signal(signal.SIGTERM)

    def wait_for_exit(self, name: str, timeout_s: float) -> int | None:
        """Wait until a process exits; return its status, or None if it still runs."""
        process = self._running[name]
        wait_until(lambda: process.poll() is not None, timeout_s)
        return process.returncode

    def pause(self, name: str) -> None:
        """Suspend a process until `resume`."""
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a suspended process."""
        self._running[name].send_signal(signal.SIGCONT)

    def restart(self, name: str) -> None:
        """Kill a process if it runs, start it again and wait until it is healthy."""
        self.kill(name)
        self.start([self._specs[name]])

    def stop(self, names: Iterable[str], timeout_s: float) -> None:
        """Stop processes gracefully; kill those that still run after ``timeout_s``."""
        processes = [self._running[n] for n in names if n in self._running]
        for process in processes:
            if process.poll() is None:
                # A suspended process does not handle SIGTERM until it is continued.
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        wait_until(lambda: all(p.poll() is not None for p in processes), timeout_s)
        for process in processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def _spawn(self, spec: ProcessSpec) -> None:
        self._log_dir.mkdir(parents=True, exist_ok=True)
        source = str(Path(chivesaddle.__file__).parents[1])
        python_path = os.pathsep.join(
            filter(None, [source, os.environ.get("PYTHONPATH")])
        )
        with self._log_path(spec.name).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", spec.module, *spec.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": python_path},
                # Ctrl-C at the terminal interrupts the tool but not its children.
                start_new_session=True,
            )
        self._specs[spec.name] = spec
        self._running[spec.name] = process

    def _log_path(self, name: str) -> Path:
        return self._log_dir / f"{name}.log"


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Poll until ``condition`` holds; False if it does not within ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True


__all__ = [
    "HTTP_CLIENT",
    "ProcessSpec",
    "Processes",
    "ToolError",
    "wait_until",
]
