"""Measures when a new configuration is in force at each daemon of a real fleet.

``python -m chivesaddle.tools.version_delays`` treats parts of a fleet badly at its
store, one after the other, and prints how long a new route took to be served.
"""

import asyncio
import json
import math
import random
import statistics
import tempfile
import threading
import time
from collections.abc import Collection, Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

from chivesaddle.platform.headers import REQUEST_ID, TIME_LIMIT
from chivesaddle.tools.platform_fleet import (
    API_KEY,
    HOST_NAME,
    ROUTES,
    PlatformFleet,
    route,
)
from chivesaddle.tools.ports import free_ports
from chivesaddle.tools.processes import ToolError, wait_until
from chivesaddle.tools.store_proxy import StoreProxy, Treatment

POLL_INTERVAL_S = 0.1
SETTLING_TIMEOUT_S = 60.0
# The roles of the daemons count as settled once they are the same for this long.
SETTLED_S = 4.0
MAX_DELAY_S = 20.0
REQUEST_TIMEOUT_S = 2.0


class VersionDelays:
    """A fleet whose daemons reach their store through a proxy.

    Parameters
    ----------
    build_dir : pathlib.Path
        Directory for logs and settings.
    daemons : int
        Number of daemons.
    routes : int
        Routes of the configuration besides those that are served, which make it large.
    """

    def __init__(self, build_dir: Path, daemons: int, routes: int = 0) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._proxy: StoreProxy | None = None
        self.fleet = PlatformFleet(
            build_dir, daemons, 1, self._proxy_address, has_own_hosts=True
        )
        self._routes = list(ROUTES)
        self._routes += [route(f"other-{number}", "safe") for number in range(routes)]
        self._requests = 0

    def _proxy_address(self, name: str, address: str) -> str:
        if name != "store":
            return address
        if self._proxy is None:
            self._proxy = StoreProxy(f"127.0.0.1:{free_ports(1)[0]}", address)
        return self._proxy.listen

    def start(self) -> None:
        """Start all processes, and wait until the daemons agree who works."""
        self._thread.start()
        self._proxy_address("store", self.fleet.store_address)
        assert self._proxy is not None
        asyncio.run_coroutine_threadsafe(self._proxy.start(), self._loop).result(5)
        self.fleet.start()
        self.wait_until_settled()

    def stop(self) -> None:
        """End all processes that this run started."""
        self.fleet.kill()
        if self._proxy is not None:
            self._loop.call_soon_threadsafe(self._proxy.stop)
        self._loop.call_soon_threadsafe(self._loop.stop)

    def wait_until_settled(self) -> None:
        """Wait until no daemon has changed its role for a while."""
        roles, since = self.working(), time.monotonic()

        def is_settled() -> bool:
            nonlocal roles, since
            current = self.working()
            if current != roles:
                roles, since = current, time.monotonic()
            return time.monotonic() - since >= SETTLED_S

        if not wait_until(is_settled, SETTLING_TIMEOUT_S):
            raise ToolError(f"The roles changed for {SETTLING_TIMEOUT_S:g} s")

    def working(self) -> list[str]:
        """Return the daemons that count themselves to the working ones."""
        return [name for name in self.fleet.listeners if self._is_working(name)]

    def idle(self) -> list[str]:
        """Return the daemons that take no callers."""
        working = set(self.working())
        return [name for name in self.fleet.listeners if name not in working]

    def events(self, name: str, event: str) -> list[dict[str, Any]]:
        """Return the lines of one event in a daemon's log."""
        lines = self.fleet.processes.log_text(name).splitlines()
        return [json.loads(line) for line in lines if f'"{event}"' in line]

    def _is_working(self, name: str) -> bool:
        changes = self.events(name, "[working set] working set changed")
        # A small fleet has no changes: all of its daemons work.
        return not changes or bool(changes[-1]["includes_own"])

    def treat(self, names: Collection[str], treatment: Treatment) -> None:
        """Change how the store treats some daemons, and well all others."""
        assert self._proxy is not None
        for name, host in self.fleet.host_by_daemon.items():
            chosen = treatment if name in names else Treatment.PASS
            self._loop.call_soon_threadsafe(self._proxy.treat, host, chosen)

    def measure(self, max_delay_s: float = MAX_DELAY_S) -> dict[str, float]:
        """Add a route; return by running daemon when it was served first.

        Returns
        -------
        dict
            Seconds from the store's answer to the first response 200; infinity for a
            daemon that did not serve the route within ``max_delay_s``.
        """
        name = f"added-{len(self._routes)}"
        # The routes before it stay, so that no daemon has to refuse one.
        self._routes.append(route(name, "safe"))
        self.fleet.put_configuration(self._routes)
        added_at = time.monotonic()
        measuring = self._measure_all(f"/{name}/x", added_at, added_at + max_delay_s)
        return asyncio.run_coroutine_threadsafe(measuring, self._loop).result()

    async def _measure_all(
        self, target: str, added_at: float, deadline: float
    ) -> dict[str, float]:
        running = self.fleet.processes.pids
        names = [name for name in self.fleet.listeners if name in running]
        served_at = await asyncio.gather(
            *(self._wait_until_served(name, target, deadline) for name in names)
        )
        return {name: at - added_at for name, at in zip(names, served_at, strict=True)}

    async def _wait_until_served(
        self, name: str, target: str, deadline: float
    ) -> float:
        host, _, port = self.fleet.listeners[name]["callers"].rpartition(":")
        while time.monotonic() < deadline:
            try:
                status = await asyncio.wait_for(
                    self._request(host, int(port), target), REQUEST_TIMEOUT_S
                )
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                status = b""
            if status == b"200":
                return time.monotonic()
            await asyncio.sleep(POLL_INTERVAL_S)
        return math.inf

    async def _request(self, host: str, port: int, target: str) -> bytes:
        """Send one request on a connection of its own; return the status."""
        self._requests += 1
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                f"GET {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                f"Authorization: Bearer {API_KEY}\r\n"
                f"{REQUEST_ID.decode()}: delay-{self._requests}\r\n"
                f"{TIME_LIMIT.decode()}: 2000\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            status_line = await reader.readuntil(b"\r\n")
            return status_line.split()[1]
        finally:
            writer.close()


def groups(run: VersionDelays) -> dict[str, list[str]]:
    """Return the parts of a fleet that a store may treat badly, by name."""
    working, idle = run.working(), run.idle()
    everyone = working + idle
    found = {
        "all working": working,
        "all but one working": working[1:] + idle,
        "a third": everyone[::3],
        "all": everyone,
    }
    if idle:
        found["all but one idle"] = working + idle[1:]
    return found


def plan(
    run: VersionDelays, rounds: int, seed: int
) -> Iterator[tuple[str, Treatment, float]]:
    """Yield group, treatment and its duration before a version, in a random order."""
    choice = random.Random(seed)
    cases = [
        (group, treatment)
        for group in groups(run)
        for treatment in Treatment
        if treatment is not Treatment.PASS
        # Nobody can know a version that the store tells nobody.
        and (group != "all" or treatment in (Treatment.SILENT_OPEN, Treatment.SLOW))
    ]
    for _ in range(rounds):
        group, treatment = choice.choice(cases)
        yield group, treatment, choice.choice((0.5, 1.5, 4.2, 9.0))


def main(
    daemons: Annotated[int, typer.Option(help="Number of daemons")] = 20,
    rounds: Annotated[int, typer.Option(help="Versions to add")] = 20,
    seed: Annotated[int, typer.Option(help="Seed of the order of the cases")] = 1,
    routes: Annotated[int, typer.Option(help="Further routes")] = 0,
    kills: Annotated[int, typer.Option(help="Working daemons killed each time")] = 0,
    bound_s: Annotated[float, typer.Option(help="Longest allowed delay")] = 3.0,
) -> None:
    """Measure versions on one fleet; exit with status 1 if one was late."""
    build_dir = Path(tempfile.mkdtemp(prefix="version-delays-"))
    typer.echo(f"logs: {build_dir}")
    run = VersionDelays(build_dir, daemons, routes)
    choice = random.Random(seed)
    late = 0
    try:
        run.start()
        working = run.working()
        typer.echo(f"{len(working)} of {daemons} daemons work")
        for group, treatment, since_s in plan(run, rounds, seed):
            treated = groups(run)[group]
            run.treat(treated, treatment)
            time.sleep(since_s)
            # A daemon that alone reaches the store is left running.
            candidates = sorted(set(run.working()) & set(treated))
            killed = choice.sample(candidates, min(kills, len(candidates)))
            for name in killed:
                run.fleet.processes.kill(name)
            delays = run.measure()
            run.treat([], Treatment.PASS)
            for name in killed:
                run.fleet.processes.restart(name)
            is_late = max(delays.values()) > bound_s
            late += is_late
            typer.echo(
                f"{treatment.value:12} {group:20} {since_s:4.1f} s before: median "
                f"{statistics.median(delays.values()):5.2f} s, last "
                f"{max(delays.values()):5.2f} s{' LATE' if is_late else ''}"
            )
            time.sleep(2.0)
            run.wait_until_settled()
    finally:
        run.stop()
    typer.echo(f"{rounds - late} passed, {late} failed")
    raise typer.Exit(1 if late else 0)


if __name__ == "__main__":
    typer.run(main)


__all__ = ["VersionDelays", "groups", "plan"]
