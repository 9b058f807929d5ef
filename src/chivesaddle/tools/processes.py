"""Child processes of the tools: start, pause, kill, restart, stop."""

import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import httpx

import chivesaddle

START_WAIT_S = 60.0
POLL_S = 0.05
# Linux takes ports of outgoing connections from 32,768 on.
PORTS = (15_000, 32_000)


# Creating a client loads certificates, so one is shared. Connections are not kept,
# since fault switches can silence open ones.
HTTP = httpx.Client(timeout=10.0, limits=httpx.Limits(max_keepalive_connections=0))


class ToolError(Exception):
    """A process did not start, or a call of a tool was refused."""


@dataclass(frozen=True)
class ProcessSpec:
    """How to start a process and which URL answers 200 once it serves."""

    name: str
    module: str
    arguments: tuple[str, ...]
    health_url: str


class Processes:
    """Processes by name; signals reach only processes started here.

    Parameters
    ----------
    log_dir : pathlib.Path
        Standard output and error of each process go to a file of its name.
    """

    def __init__(self, log_dir: Path) -> None:
        self._log_dir = log_dir
        self._specs: dict[str, ProcessSpec] = {}
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    @property
    def pids(self) -> dict[str, int]:
        """Process ids of the processes that still run, by name."""
        return {n: p.pid for n, p in self._running.items() if p.poll() is None}

    def start(self, specs: Iterable[ProcessSpec]) -> None:
        """Start processes and wait until all of them serve; raises `ToolError`."""
        specs = list(specs)
        for spec in specs:
            self._spawn(spec)
        for spec in specs:
            self.wait_until_serving(spec.name)

    def wait_until_serving(self, name: str) -> None:
        """Wait until a process answers its health URL; raises `ToolError`."""
        spec, process = self._specs[name], self._running[name]

        def serves() -> bool:
            if process.poll() is not None:
                raise ToolError(
                    f"{name} ended with status {process.returncode}; its log says:\n"
                    + self.log_tail(name)
                )
            try:
                return HTTP.get(spec.health_url, timeout=1.0).status_code == 200
            except httpx.HTTPError:
                return False

        if not wait_until(serves, START_WAIT_S):
            raise ToolError(
                f"{name} did not serve {spec.health_url} within {START_WAIT_S:g} s; "
                "its log says:\n" + self.log_tail(name)
            )

    def log_tail(self, name: str, lines: int = 20) -> str:
        """Return the last lines of a process's log."""
        text = self._log_path(name).read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def kill(self, name: str) -> None:
        """End a process at once and wait for its end."""
        process = self._running[name]
        process.kill()
        process.wait()

    def terminate(self, name: str) -> None:
        """Ask a process to end gracefully, without waiting."""
        self._running[name].send_signal(signal.SIGTERM)

    def wait_for_end(self, name: str, wait_s: float) -> int | None:
        """Wait until a process ends; return its status, or None if it still runs."""
        process = self._running[name]
        wait_until(lambda: process.poll() is not None, wait_s)
        return process.returncode

    def pause(self, name: str) -> None:
        """Stop a process from running until `resume`."""
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process run again."""
        self._running[name].send_signal(signal.SIGCONT)

    def restart(self, name: str) -> None:
        """End a process if it runs, start it again and wait until it serves."""
        self.kill(name)
        self.start([self._specs[name]])

    def stop(self, names: Iterable[str], wait_s: float) -> None:
        """End processes gracefully; kill those that still run after ``wait_s``."""
        processes = [self._running[n] for n in names if n in self._running]
        for process in processes:
            if process.poll() is None:
                # A paused process would not handle the termination signal.
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        wait_until(lambda: all(p.poll() is not None for p in processes), wait_s)
        for process in processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def _spawn(self, spec: ProcessSpec) -> None:
        self._log_dir.mkdir(parents=True, exist_ok=True)
        source = str(Path(chivesaddle.__file__).parents[1])
        path = os.pathsep.join(filter(None, [source, os.environ.get("PYTHONPATH")]))
        with self._log_path(spec.name).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", spec.module, *spec.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": path},
                # An interrupt typed at the terminal reaches only the tool itself.
                start_new_session=True,
            )
        self._specs[spec.name] = spec
        self._running[spec.name] = process

    def _log_path(self, name: str) -> Path:
        return self._log_dir / f"{name}.log"


def wait_until(condition: Callable[[], bool], wait_s: float) -> bool:
    """Poll until ``condition`` holds; False if it does not within ``wait_s``."""
    deadline = time.monotonic() + wait_s
    while not condition():
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_S)
    return True


def free_ports(count: int) -> list[int]:
    """Return distinct loopback TCP ports that are free at the moment.

    They lie below the range from which the system takes ports of outgoing connections,
    which could otherwise take one before its process listens.
    """
    with ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            listener = stack.enter_context(socket.socket())
            try:
                listener.bind(("127.0.0.1", random.randint(*PORTS)))
            except OSError:
                continue
            ports.append(listener.getsockname()[1])
    return ports


__all__ = ["HTTP", "ProcessSpec", "Processes", "ToolError", "free_ports", "wait_until"]
