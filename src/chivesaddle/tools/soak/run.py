"""One seeded soak: faults in series and overlapping, then a check of all promises."""

import asyncio
import contextlib
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import httpx

from chivesaddle.tools.platform_fleet import ROUTES, PlatformFleet, route
from chivesaddle.tools.processes import free_ports, wait_until
from chivesaddle.tools.soak.callers import Caller, Record, judge_runs
from chivesaddle.tools.soak.proxy import Mode, Proxy

DAEMONS = 3
SERVERS = 3
CALLERS = 8
# After the last fault, requests are served again within this.
RECOVERY_S = 12.0
CALM_S = 3.0
SERVED_AFTER_RECOVERY = 0.9
# A configuration is in force on each daemon this long after it was written.
CONFIGURATION_S = 2.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of one seed."""

    seed: int
    requests: int
    served: float
    served_after_recovery: float
    violations: tuple[str, ...]


class Soak:
    """Processes, proxies and faults of one seed.

    Parameters
    ----------
    seed : int
        Decides faults and their times.
    fault_s : float
        How long faults are injected.
    build_dir : pathlib.Path
        For logs and settings.
    """

    def __init__(self, seed: int, fault_s: float, build_dir: Path) -> None:
        self._seed = seed
        self._random = random.Random(seed)
        self._fault_s = fault_s
        self._proxies: dict[str, Proxy] = {}
        self._ports = iter(free_ports(1 + SERVERS))
        self.fleet = PlatformFleet(build_dir, DAEMONS, SERVERS, self._via)
        self.record = Record()
        self.log: list[str] = []
        self._calm_from = 0.0
        self._restarting: set[str] = set()

    def _via(self, name: str, address: str) -> str:
        if name not in self._proxies:
            listen = f"127.0.0.1:{next(self._ports)}"
            self._proxies[name] = Proxy(listen, address)
        return self._proxies[name].listen

    async def run(self) -> SoakResult:
        """Play the seed and judge it."""
        stand_ins = {"store": self.fleet.store_address, **self.fleet.servers}
        for name, address in stand_ins.items():
            self._via(name, address)
            await self._proxies[name].start()
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(None, self.fleet.start)
            await self._play()
            runs = await loop.run_in_executor(None, self.fleet.runs)
        finally:
            for proxy in self._proxies.values():
                proxy.stop()
            await loop.run_in_executor(None, self.fleet.stop)
        return self._result(runs)

    async def _play(self) -> None:
        began = time.monotonic()
        faults_end = began + self._fault_s
        self._calm_from = faults_end + RECOVERY_S
        callers = [
            Caller(
                f"c{n}",
                self._seed * 100 + n,
                self.record,
                self._addresses,
                time.monotonic,
            )
            for n in range(CALLERS)
        ]
        tasks = [
            asyncio.create_task(caller.run(self._calm_from + CALM_S))
            for caller in callers
        ]
        faults = [self._faults(faults_end) for _ in range(2)]
        await asyncio.gather(*faults)
        self._heal()
        await asyncio.gather(*tasks)
        await self._check_configuration()

    async def _faults(self, until: float) -> None:
        """Inject one fault after the other; two of these loops overlap."""
        while time.monotonic() < until:
            fault = self._random.choice(
                (self._kill, self._pause, self._terminate, self._cut, self._spoil)
            )
            await fault()
            await asyncio.sleep(self._random.uniform(0.1, 0.8))

    async def _addresses(self) -> list[str]:
        names = list(self.fleet.listeners)
        self._random.shuffle(names)
        async with httpx.AsyncClient(timeout=0.5) as client:
            for name in names:
                address = self.fleet.listeners[name]["addresses"]
                with contextlib.suppress(httpx.HTTPError):
                    answer = await client.get(
                        f"http://{address}/resolve", params={"zone": "z"}
                    )
                    if answer.status_code == 200:
                        return answer.json()["addresses"]
        return []

    def _running_daemon(self) -> str | None:
        """Return a daemon that may be ended; one that is being restarted may not."""
        running = [
            name
            for name in self.fleet.listeners
            if name in self.fleet.processes.pids and name not in self._restarting
        ]
        return self._random.choice(running) if len(running) > 1 else None

    @contextlib.contextmanager
    def _noted(self, what: str) -> Iterator[None]:
        self.log.append(f"{time.monotonic():.2f} {what}")
        yield
        self.log.append(f"{time.monotonic():.2f} end of {what}")

    async def _restart(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.fleet.processes.restart, name)
        self._restarting.discard(name)

    async def _kill(self) -> None:
        name = self._running_daemon()
        if name is None:
            return
        self._restarting.add(name)
        with self._noted(f"kill {name}"):
            self.fleet.processes.kill(name)
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            await self._restart(name)

    async def _pause(self) -> None:
        name = self._random.choice([*self.fleet.listeners, "store"])
        if name not in self.fleet.processes.pids:
            return
        with self._noted(f"pause {name}"):
            self.fleet.processes.pause(name)
            await asyncio.sleep(self._random.uniform(0.2, 3.0))
            self.fleet.processes.resume(name)

    async def _terminate(self) -> None:
        name = self._running_daemon()
        if name is None:
            return
        self._restarting.add(name)
        with self._noted(f"terminate {name}"):
            self.fleet.processes.terminate(name)
            loop = asyncio.get_running_loop()
            wait = self.fleet.processes.wait_for_end
            await loop.run_in_executor(None, wait, name, 10.0)
            await self._restart(name)

    async def _cut(self) -> None:
        name = self._random.choice(list(self._proxies))
        mode = self._random.choice([mode for mode in Mode if mode is not Mode.PASS])
        with self._noted(f"{mode.value} {name}"):
            self._proxies[name].set_mode(mode)
            await asyncio.sleep(self._random.uniform(0.3, 3.0))
            self._proxies[name].set_mode(Mode.PASS)

    async def _spoil(self) -> None:
        name = self._random.choice(list(self.fleet.servers))
        switches = self._random.choice(
            (
                {"shed": True},
                {"lose_answer": True},
                {"break_stream_after": self._random.randint(1, 7)},
                {"extra_answer": True},
                {"mute": True},
            )
        )
        loop = asyncio.get_running_loop()
        with self._noted(f"{switches} {name}"):
            await loop.run_in_executor(
                None, lambda: self.fleet.set_faults(name, **switches)
            )
            await asyncio.sleep(self._random.uniform(0.3, 2.0))
            await loop.run_in_executor(None, self.fleet.set_faults, name)

    def _heal(self) -> None:
        for proxy in self._proxies.values():
            proxy.set_mode(Mode.PASS)
        for name in self.fleet.servers:
            self.fleet.set_faults(name)

    async def _check_configuration(self) -> None:
        """Check that a new route is in force on each daemon in time."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(
            None, self.fleet.put_configuration, [*ROUTES, route("added", "safe")]
        )
        for name, listeners in self.fleet.listeners.items():
            # Without a key, a known route answers 401 and an unknown one 404.
            url = f"http://{listeners['callers']}/added/x"
            headers = {"Host": ROUTES[0]["host"]}

            def is_in_force(url: str = url, headers: dict = headers) -> bool:
                return httpx.get(url, headers=headers, timeout=1).status_code == 401

            found = await loop.run_in_executor(
                None, wait_until, is_in_force, CONFIGURATION_S
            )
            if not found:
                self.record.violations.append(f"{name}: a route came too late")

    def _result(self, runs: list[str]) -> SoakResult:
        violations = self.record.violations + judge_runs(self.record, runs)
        recovered = self.record.served_share(self._calm_from)
        if recovered < SERVED_AFTER_RECOVERY:
            violations.append(f"only {recovered:.2f} served after the recovery")
        return SoakResult(
            self._seed,
            len(self.record.kind_by_id),
            self.record.served_share(0.0),
            recovered,
            tuple(violations),
        )


def run_seed(
    seed: int, fault_s: float, build_dir: Path
) -> tuple[SoakResult, list[str]]:
    """Play one seed; return its result and the log of faults."""
    soak = Soak(seed, fault_s, build_dir)
    return asyncio.run(soak.run()), soak.log


__all__ = ["Soak", "SoakResult", "run_seed"]
