"""One run of the soak test: random faults from a seed, then a check for violations."""

import asyncio
import contextlib
import functools
import random
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import httpx

from chivesaddle.platform.headers import PROMPT_PARTS
from chivesaddle.tools.platform_fleet import ROUTES, PlatformFleet, route
from chivesaddle.tools.ports import free_ports
from chivesaddle.tools.processes import wait_until
from chivesaddle.tools.soak.bodies import LongBodies
from chivesaddle.tools.soak.callers import (
    Caller,
    RequestLog,
    check_runs,
    list_addresses,
    request_headers,
)
from chivesaddle.tools.soak.proxy import Proxy, ProxyMode
from chivesaddle.tools.soak.question import CommonQuestion
from chivesaddle.tools.soak.result import SoakResult

DAEMON_COUNT = 3
SERVER_COUNT = 4
SOFTWARE_BY_SERVER = {f"server-{n}": f"v{n % 2}" for n in range(SERVER_COUNT)}
CALLER_COUNT = 8
# Requests must be served again this long after the last fault.
MAX_RECOVERY_S = 12.0
# After that time, callers send requests for this long, and at least this share of them
# must be served.
RECOVERED_TRAFFIC_S = 3.0
MIN_SERVED_SHARE_AFTER_RECOVERY = 0.9
# A configuration must be active on each daemon this long after it was written.
CONFIGURATION_TIMEOUT_S = 2.0
# Requests with a crashing part are sent for this long, at this interval.
CRASHING_REQUESTS_S = 3.0
CRASHING_REQUEST_INTERVAL_S = 0.15
# A crashed server is started again after this time.
SERVER_DOWN_S = 0.5
# Share of the runs in which all daemons are killed at once.
POWER_LOSS_SHARE = 0.4
# How long a healthy server may send nothing, and how often that happens.
SERVER_SILENCE_S = (0.3, 1.2)
SERVER_SILENCE_INTERVAL_S = (0.5, 4.0)
# Text of entries among those of the servers that cannot be read or used.
ODD_ENTRIES = (
    rb'{"service": "app", "state": "ready", "zone": "zone \ud83d"}',
    b'{"zone": "\xff"}',
    b"[" * 1_500 + b"]" * 1_500,
    b'{"slots": 1e999}',
    b'{"service": "app", "address": "127.0.0.1:99999", "zone": "z", "slots": 8, '
    b'"state": "ready"}',
)
# Servers that a crashing part may end while no other fault is injected.
MAX_CRASHES = 8


class Soak:
    """Processes, proxies and faults of one seed.

    Parameters
    ----------
    seed : int
        Seed of the choice and duration of faults, and of the callers.
    fault_s : float
        Seconds for which faults are injected.
    build_dir : pathlib.Path
        Directory for logs and settings.
    """

    def __init__(self, seed: int, fault_s: float, build_dir: Path) -> None:
        self._seed = seed
        self._random = random.Random(seed)
        # Of its own, so that the seeds draw the other faults as before.
        self._power_random = random.Random(f"power {seed}")
        self._loses_power = self._power_random.random() < POWER_LOSS_SHARE
        self._fault_s = fault_s
        self._proxies: dict[str, Proxy] = {}
        self._ports = iter(free_ports(1 + SERVER_COUNT))
        self.fleet = PlatformFleet(
            build_dir,
            DAEMON_COUNT,
            SERVER_COUNT,
            self._proxy_address,
            has_own_hosts=True,
        )
        self.fleet.software_by_server = SOFTWARE_BY_SERVER
        self.request_log = RequestLog()
        self.fault_log: list[str] = []
        self._recovered_by = 0.0
        self._restarting: set[str] = set()
        self._pauses_by_name: Counter[str] = Counter()
        self._is_store_in_use = asyncio.Lock()
        self._are_servers_in_use = asyncio.Lock()
        self._faults_begun = 0
        self._faults_active = 0

    def _proxy_address(self, name: str, address: str) -> str:
        if name not in self._proxies:
            listen = f"127.0.0.1:{next(self._ports)}"
            self._proxies[name] = Proxy(listen, address)
        return self._proxies[name].listen

    async def run(self) -> SoakResult:
        """Run callers and faults, and return the violations found."""
        addresses_by_name = {"store": self.fleet.store_address, **self.fleet.servers}
        for name, address in addresses_by_name.items():
            self._proxy_address(name, address)
            await self._proxies[name].start()
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(None, self.fleet.start)
            await self._run_callers_and_faults()
            runs = await loop.run_in_executor(None, self.fleet.runs)
        finally:
            for proxy in self._proxies.values():
                proxy.stop()
            # Shutdowns would take some seconds more and are not checked here.
            await loop.run_in_executor(None, self.fleet.kill)
        return self._result(runs)

    async def _run_callers_and_faults(self) -> None:
        started_at = time.monotonic()
        faults_end_at = started_at + self._fault_s
        self._recovered_by = faults_end_at + MAX_RECOVERY_S
        callers = [
            Caller(
                f"c{n}",
                self._seed * 100 + n,
                self.request_log,
                self._list_addresses,
                time.monotonic,
                SOFTWARE_BY_SERVER,
            )
            for n in range(CALLER_COUNT)
        ]
        caller_tasks = [
            asyncio.create_task(caller.run(self._recovered_by + RECOVERED_TRAFFIC_S))
            for caller in callers
        ]
        run = (self.fleet, self._seed, self.request_log, time.monotonic)
        bodies, question = LongBodies(*run), CommonQuestion(*run)
        ends_at = self._recovered_by + RECOVERED_TRAFFIC_S
        caller_tasks += [
            asyncio.create_task(
                bodies.send_on_kept_connections(
                    name, faults_end_at, self._recovered_by, ends_at
                )
            )
            for name in self.fleet.listeners
        ]
        caller_tasks += [
            asyncio.create_task(
                bodies.leave_uploads(faults_end_at, self._recovered_by)
            ),
            asyncio.create_task(question.ask(self._recovered_by, ends_at)),
        ]
        fault_loops = [self._inject_faults(faults_end_at) for _ in range(2)]
        await asyncio.gather(
            *fault_loops,
            self._lose_power(),
            self._silence_servers(faults_end_at),
            self._put_odd_entries(faults_end_at),
            bodies.change_limits(faults_end_at, self._is_store_in_use),
            question.crash_servers(
                self._fault_s,
                self._are_servers_in_use,
                self._is_store_in_use,
                self._log_fault,
            ),
        )
        self._clear_faults()
        await asyncio.gather(*caller_tasks)
        bodies.check_memory()
        await self._check_configuration()

    async def _inject_faults(self, deadline: float) -> None:
        """Inject one fault after another; two such loops run at once."""
        while time.monotonic() < deadline:
            fault = self._random.choice(
                (
                    self._kill_daemon,
                    self._pause_process,
                    self._terminate_daemon,
                    self._disturb_connections,
                    self._cut_off_daemons,
                    self._inject_server_faults,
                    self._send_crashing_part,
                    self._return_store_older,
                )
            )
            await fault()
            await asyncio.sleep(self._random.uniform(0.1, 0.8))

    async def _list_addresses(self) -> list[str]:
        names = list(self.fleet.listeners)
        self._random.shuffle(names)
        return await list_addresses(self.fleet, names)

    def _running_daemon(self) -> str | None:
        """Return a running daemon to stop; None if fewer than two are available.

        Daemons that are being restarted are not available.
        """
        running = [
            name
            for name in self.fleet.listeners
            if name in self.fleet.processes.pids and name not in self._restarting
        ]
        return self._random.choice(running) if len(running) > 1 else None

    @contextlib.contextmanager
    def _log_fault(self, description: str) -> Iterator[None]:
        self.fault_log.append(f"{time.monotonic():.2f} {description}")
        self._faults_begun += 1
        self._faults_active += 1
        yield
        self._faults_active -= 1
        self.fault_log.append(f"{time.monotonic():.2f} end of {description}")

    async def _restart_daemon(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self.fleet.processes.restart, name)
        self._restarting.discard(name)

    async def _kill_daemon(self) -> None:
        name = self._running_daemon()
        if name is None:
            return
        self._restarting.add(name)
        with self._log_fault(f"kill {name}"):
            self.fleet.processes.kill(name)
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
            await self._restart_daemon(name)

    async def _lose_power(self) -> None:
        """Kill all daemons at once, in some runs."""
        chooser = self._power_random
        if not self._loses_power:
            return
        await asyncio.sleep(chooser.uniform(0.2, 0.6) * self._fault_s)
        names = [
            name
            for name in self.fleet.listeners
            if name in self.fleet.processes.pids and name not in self._restarting
        ]
        self._restarting.update(names)
        with self._log_fault(f"lose power of {' '.join(names)}"):
            for name in names:
                self.fleet.processes.kill(name)
            await asyncio.sleep(chooser.uniform(0.0, 1.0))
            await asyncio.gather(*(self._restart_daemon(name) for name in names))

    async def _put_odd_entries(self, deadline: float) -> None:
        """Put an odd entry among those of the servers and remove it, repeatedly."""
        # A generator of its own, so that the seeds draw the other faults as before.
        chooser = random.Random(f"odd entries {self._seed}")
        loop = asyncio.get_running_loop()
        while time.monotonic() < deadline:
            number = chooser.randrange(len(ODD_ENTRIES))
            await asyncio.sleep(chooser.uniform(0.5, 2.0))
            async with self._is_store_in_use:
                await loop.run_in_executor(
                    None,
                    self.fleet.put_raw_object,
                    "servers",
                    "odd",
                    ODD_ENTRIES[number],
                )
            self.fault_log.append(f"{time.monotonic():.2f} odd entry {number}")
            await asyncio.sleep(chooser.uniform(0.5, 3.0))
            async with self._is_store_in_use:
                # A store that returned from a copy may have lost the entry.
                with contextlib.suppress(httpx.HTTPStatusError):
                    await loop.run_in_executor(
                        None, self.fleet.remove_object, "servers", "odd"
                    )
            self.fault_log.append(f"{time.monotonic():.2f} end of odd entry {number}")

    async def _pause_process(self) -> None:
        name = self._random.choice([*self.fleet.listeners, "store"])
        if name not in self.fleet.processes.pids:
            return
        if name == "store" and self._is_store_in_use.locked():
            return
        # The store's control calls cannot be answered while it is paused.
        guard = self._is_store_in_use if name == "store" else contextlib.nullcontext()
        async with guard:
            with self._log_fault(f"pause {name}"):
                self._pauses_by_name[name] += 1
                self.fleet.processes.pause(name)
                await asyncio.sleep(self._random.uniform(0.2, 3.0))
                self.fleet.processes.resume(name)

    async def _terminate_daemon(self) -> None:
        name = self._running_daemon()
        if name is None:
            return
        self._restarting.add(name)
        with self._log_fault(f"terminate {name}"):
            pauses, cuts = self._pauses_by_name[name], self._count_cut_requests(name)
            self.fleet.processes.terminate(name)
            loop = asyncio.get_running_loop()
            wait = self.fleet.processes.wait_for_exit
            await loop.run_in_executor(None, wait, name, 10.0)
            cuts = self._count_cut_requests(name) - cuts
            # A pause takes time from the shutdown.
            if cuts and pauses == self._pauses_by_name[name]:
                self.request_log.violations.append(f"{name} cut {cuts} requests")
            await self._restart_daemon(name)

    def _count_cut_requests(self, name: str) -> int:
        """Return how many requests a daemon has cut at the end of its shutdowns."""
        return self.fleet.processes.log_text(name).count("] cut_by_shutdown")

    async def _silence_servers(self, deadline: float) -> None:
        """Suspend one server after another for about a second."""
        # A generator of its own, so that the seeds draw the other faults as before.
        chooser = random.Random(f"silence {self._seed}")
        while time.monotonic() < deadline:
            await asyncio.sleep(chooser.uniform(*SERVER_SILENCE_INTERVAL_S))
            name = chooser.choice(list(self.fleet.servers))
            if self._are_servers_in_use.locked():
                continue
            async with self._are_servers_in_use:
                with self._log_fault(f"silence {name}"):
                    self.fleet.processes.pause(name)
                    await asyncio.sleep(chooser.uniform(*SERVER_SILENCE_S))
                    self.fleet.processes.resume(name)

    async def _disturb_connections(self) -> None:
        name = self._random.choice(list(self._proxies))
        mode = self._random.choice(
            [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
        )
        with self._log_fault(f"{mode.value} {name}"):
            self._proxies[name].set_mode(mode)
            await asyncio.sleep(self._random.uniform(0.3, 3.0))
            self._proxies[name].set_mode(ProxyMode.PASS)

    async def _cut_off_daemons(self) -> None:
        """Reset the connections of some daemons to all servers."""
        names = list(self.fleet.listeners)
        names = self._random.sample(names, self._random.randint(1, len(names) - 1))
        proxies = [self._proxies[name] for name in self.fleet.servers]

        def set_mode(mode: ProxyMode) -> None:
            for proxy in proxies:
                for name in names:
                    proxy.set_source_mode(self.fleet.host_by_daemon[name], mode)

        with self._log_fault(f"cut off {' '.join(names)}"):
            set_mode(ProxyMode.RESET)
            await asyncio.sleep(self._random.uniform(0.3, 4.0))
            set_mode(ProxyMode.PASS)

    async def _send_crashing_part(self) -> None:
        """Send different requests with one part that ends servers."""
        async with self._are_servers_in_use:
            part = f"dead{self._faults_begun}"
            with self._log_fault(f"crashing part {part}"):
                begun, was_alone = self._faults_begun, self._faults_active == 1
                crashes = await self._end_servers_with(part)
                is_alone = was_alone and begun == self._faults_begun
                if is_alone and crashes > MAX_CRASHES:
                    self.request_log.violations.append(
                        f"{crashes} servers ended under {part}"
                    )

    async def _end_servers_with(self, part: str) -> int:
        """Return how many servers ended."""
        loop = asyncio.get_running_loop()
        for name in self.fleet.servers:
            await loop.run_in_executor(
                None, functools.partial(self.fleet.set_faults, name, crash_part=part)
            )
        crashes = 0

        async def restart(name: str) -> None:
            await loop.run_in_executor(None, self.fleet.processes.restart, name)
            if not sending.done():
                await loop.run_in_executor(
                    None,
                    functools.partial(self.fleet.set_faults, name, crash_part=part),
                )
            async with self._is_store_in_use:
                await loop.run_in_executor(None, self.fleet.put_restarted_server, name)

        sending = asyncio.create_task(self._send_requests_with(part))
        restart_at_by_server: dict[str, float] = {}
        while not sending.done() or restart_at_by_server:
            now = time.monotonic()
            for name in self.fleet.servers:
                is_running = name in self.fleet.processes.pids
                if not is_running and name not in restart_at_by_server:
                    crashes += 1
                    restart_at_by_server[name] = now + SERVER_DOWN_S
                if restart_at_by_server.get(name, now + 1) <= now:
                    del restart_at_by_server[name]
                    await restart(name)
            await asyncio.sleep(0.05)
        for name in self.fleet.servers:
            try:
                await loop.run_in_executor(None, self.fleet.set_faults, name)
            except httpx.HTTPError:
                # One of the last requests ended it meanwhile.
                crashes += 1
                await restart(name)
        return crashes

    async def _send_requests_with(self, part: str) -> None:
        """Send requests with a part to all daemons, and ignore the responses."""
        deadline = time.monotonic() + CRASHING_REQUESTS_S
        async with httpx.AsyncClient(timeout=5.0) as client:

            async def send(number: int) -> None:
                request_id = f"{part}-{number}"
                self.request_log.start(request_id, "stream")
                listeners = self._random.choice(list(self.fleet.listeners.values()))
                headers = request_headers(request_id) | {
                    PROMPT_PARTS.decode(): f"aa:9,{part}:9,{number:x}:9",
                }
                url = f"http://{listeners['callers']}/stream/{request_id}"
                with contextlib.suppress(httpx.HTTPError):
                    await client.post(url, headers=headers, content=request_id.encode())

            tasks: list[asyncio.Task[None]] = []
            while time.monotonic() < deadline:
                tasks.append(asyncio.create_task(send(len(tasks))))
                await asyncio.sleep(CRASHING_REQUEST_INTERVAL_S)
            await asyncio.gather(*tasks)

    async def _inject_server_faults(self) -> None:
        if self._are_servers_in_use.locked():
            return
        async with self._are_servers_in_use:
            await self._inject_one_server_fault()

    async def _inject_one_server_fault(self) -> None:
        # With few faulty servers, daemons soon avoid them.
        names = list(self.fleet.servers)
        names = self._random.sample(names, self._random.randint(1, len(names)))
        switches = self._random.choice(
            (
                {"shed": True},
                {"lose_answer": True},
                {"limit_per_s": self._random.uniform(1.0, 20.0)},
                {"refuse_s": self._random.uniform(0.2, 2.0)},
                {"is_leaving": True},
                {"break_stream_after": self._random.randint(1, 7)},
                {
                    "cut_stream_after": self._random.randint(1, 7),
                    "unframed": self._random.random() < 0.5,
                },
                {"unframed": True},
                {"extra_answer": True},
                {"late_extra_answer": True},
                {"mute": True},
            )
        )
        loop = asyncio.get_running_loop()
        with self._log_fault(f"{switches} {' '.join(names)}"):
            for name in names:
                await loop.run_in_executor(
                    None, functools.partial(self.fleet.set_faults, name, **switches)
                )
            await asyncio.sleep(self._random.uniform(0.3, 2.0))
            for name in names:
                await loop.run_in_executor(None, self.fleet.set_faults, name)
            if "is_leaving" in switches:
                # Only another start of the server ends its leaving.
                async with self._is_store_in_use:
                    for name in names:
                        await loop.run_in_executor(
                            None, self.fleet.put_restarted_server, name
                        )

    async def _return_store_older(self) -> None:
        """Make the store lose its last writes, unless it is disturbed already."""
        if self._is_store_in_use.locked():
            return
        loop = asyncio.get_running_loop()
        async with self._is_store_in_use:
            with self._log_fault("store returns from a copy"):
                await loop.run_in_executor(None, self.fleet.take_store_copy)
                await asyncio.sleep(self._random.uniform(0.2, 4.0))
                await loop.run_in_executor(None, self.fleet.restore_store_copy)

    def _clear_faults(self) -> None:
        for proxy in self._proxies.values():
            proxy.set_mode(ProxyMode.PASS)
        for name in self.fleet.servers:
            self.fleet.set_faults(name)

    async def _check_configuration(self) -> None:
        """Check that a new route becomes active on each daemon in time."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(
            None, self.fleet.put_configuration, [*ROUTES, route("added", "safe")]
        )
        for name, listeners in self.fleet.listeners.items():
            # Without a key, a known route returns 401 and an unknown one 404.
            url = f"http://{listeners['callers']}/added/x"
            headers = {"Host": ROUTES[0]["host"]}

            def check_active(url: str = url, headers: dict = headers) -> bool:
                return httpx.get(url, headers=headers, timeout=1).status_code == 401

            is_active = await loop.run_in_executor(
                None, wait_until, check_active, CONFIGURATION_TIMEOUT_S
            )
            if not is_active:
                self.request_log.violations.append(
                    f"{name}: a new route was not active in time"
                )

    def _result(self, runs: list[str]) -> SoakResult:
        violations = self.request_log.violations + check_runs(self.request_log, runs)
        served_after_recovery = self.request_log.served_share(self._recovered_by)
        if served_after_recovery < MIN_SERVED_SHARE_AFTER_RECOVERY:
            violations.append(f"only {served_after_recovery:.2f} served after recovery")
        return SoakResult(
            self._seed,
            len(self.request_log.route_by_id),
            self.request_log.served_share(0.0),
            served_after_recovery,
            tuple(violations),
        )


__all__ = ["Soak"]
