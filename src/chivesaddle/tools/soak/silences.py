"""One run of the soak test in which servers are silent for 2 to 3 s and go on."""

import asyncio
import functools
import random
import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from chivesaddle.tools.platform_fleet import PlatformFleet, route
from chivesaddle.tools.soak.callers import (
    Caller,
    CallerProfile,
    EndKind,
    RequestLog,
    check_runs,
    list_addresses,
)
from chivesaddle.tools.soak.result import SoakResult
from chivesaddle.tools.soak.silence_checks import (
    Interval,
    SilenceRecord,
    check_lost,
    check_overlaps,
    count_silenced,
)

DAEMON_COUNT = 3
SERVER_COUNT = 4
CALLER_COUNT = 24
TARGET_MS = 400
TIME_LIMIT_MS = 12_000
# Callers of these routes wait for eight pauses between events.
MAX_GAP_S = 8 * TARGET_MS / 1_000
# A daemon's shutdown is longer than any request, so that it has to cut none.
SHUTDOWN_S = 14.0
EXIT_TIMEOUT_S = 16.0
SILENCE_S = (2.0, 3.0)
# Daemons give a stream's server up 2 s after the last event. The next server of a
# series is suspended around that time.
SERIES_INTERVAL_S = (1.6, 2.6)
SCENE_INTERVAL_S = (0.5, 2.0)
VERSION_INTERVAL_S = (0.3, 2.0)
TERMINATION_INTERVAL_S = (1.0, 5.0)
# No daemon is terminated in this last time, since the run would only wait for it.
UNDISTURBED_END_S = 3.0
# Share of the runs in which daemons are suspended as well, since the requests of these
# moments are not checked for losses.
DAEMON_PAUSE_SHARE = 0.25
DAEMON_PAUSE_INTERVAL_S = (2.0, 6.0)
DAEMON_PAUSE_S = (0.2, 2.5)


@dataclass(frozen=True, slots=True)
class Silence:
    """When a server is suspended after the begin of its scene, and for how long."""

    server: str
    after_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class Scene:
    """Servers that are silent at once or in series, and other faults meanwhile."""

    silences: tuple[Silence, ...]
    faults_by_server: dict[str, dict[str, Any]]

    @property
    def duration_s(self) -> float:
        """Time until the last server is resumed, in seconds."""
        return max(s.after_s + s.duration_s for s in self.silences)

    @classmethod
    def from_random(cls, chooser: random.Random, servers: Sequence[str]) -> "Scene":
        """Draw a scene."""
        count = chooser.choice((1, 1, 2, 2, 3, 4))
        is_series = chooser.random() < 0.6
        silences, after_s = [], 0.0
        for server in chooser.sample(servers, count):
            silences.append(Silence(server, after_s, chooser.uniform(*SILENCE_S)))
            step_s = SERIES_INTERVAL_S if is_series else (0.0, 0.3)
            after_s += chooser.uniform(*step_s)
        kinds: tuple[dict[str, Any], ...] = (
            {},
            {"slots": chooser.randint(1, 4)},
            {"never_resumes": True},
            {"shed": True},
        )
        return cls(tuple(silences), {name: chooser.choice(kinds) for name in servers})


class SilenceSoak:
    """Processes and faults of one seed.

    Parameters
    ----------
    seed : int
        Seed of the streams' length, of the faults and of the callers.
    fault_s : float
        Seconds for which faults are injected.
    build_dir : pathlib.Path
        Directory for logs and settings.
    """

    def __init__(self, seed: int, fault_s: float, build_dir: Path) -> None:
        self._seed = seed
        self._fault_s = fault_s
        chooser = self._chooser("setting")
        events, interval_s = chooser.choice(((49, 0.05), (24, 0.1), (80, 0.05)))
        self._stream = {
            "event_count": events,
            "event_interval_s": interval_s,
            "processing_time_s": chooser.choice((0.02, 0.02, 0.2, 0.6)),
        }
        limits = {"target_latency_ms": TARGET_MS, "timeout_ms": TIME_LIMIT_MS}
        limits |= {"attempts": chooser.choice((2, 3))}
        self._routes = [
            route("safe", "safe", **limits),
            route("unsafe", "unsafe", **(limits | {"attempts": 1})),
            route(
                "stream",
                "streaming",
                allow_resume=True,
                target_gap_ms=TARGET_MS,
                **limits,
            ),
        ]
        self._profile = CallerProfile(
            routes=("stream", "stream", "stream", "safe", "unsafe"),
            time_limit_ms=TIME_LIMIT_MS,
            event_count=events,
            max_gap_s=MAX_GAP_S,
        )
        self.fleet = PlatformFleet(
            build_dir, DAEMON_COUNT, SERVER_COUNT, shutdown_s=SHUTDOWN_S
        )
        versions = chooser.choice((1, 2))
        self.fleet.software_by_server = {
            name: f"v{n % versions}" for n, name in enumerate(self.fleet.servers)
        }
        self.request_log = RequestLog()
        self.fault_log: list[str] = []
        self._silences_by_server: dict[str, list[Interval]] = defaultdict(list)
        self._not_resuming_by_server: dict[str, list[Interval]] = defaultdict(list)
        self._daemon_pauses: list[Interval] = []
        self._terminating: set[str] = set()
        self._paused: set[str] = set()

    def _chooser(self, purpose: str) -> random.Random:
        return random.Random(f"{purpose} {self._seed}")

    async def run(self) -> SoakResult:
        """Run callers and faults, and return the violations found."""
        try:
            await self._in_thread(self.fleet.start)
            await self._put_faults({name: {} for name in self.fleet.servers})
            await self._in_thread(self.fleet.put_configuration, self._routes)
            await self._run_callers_and_faults()
            spans_by_server = {
                name: await self._in_thread(self.fleet.spans_at, name)
                for name in self.fleet.servers
            }
        finally:
            # Shutdowns would take some seconds more and are not checked here.
            await self._in_thread(self.fleet.kill)
        return self._result(
            SilenceRecord(
                TIME_LIMIT_MS / 1_000,
                self._silences_by_server,
                self._not_resuming_by_server,
                self._daemon_pauses,
                spans_by_server,
            )
        )

    async def _in_thread(self, function: Any, *arguments: Any, **options: Any) -> Any:
        call = functools.partial(function, *arguments, **options)
        return await asyncio.get_running_loop().run_in_executor(None, call)

    async def _run_callers_and_faults(self) -> None:
        deadline = time.monotonic() + self._fault_s
        address_chooser = self._chooser("addresses")

        async def list_in_any_order() -> list[str]:
            names = list(self.fleet.listeners)
            address_chooser.shuffle(names)
            return await list_addresses(self.fleet, names)

        callers = [
            Caller(
                f"c{n}",
                self._seed * 100 + n,
                self.request_log,
                list_in_any_order,
                time.monotonic,
                self.fleet.software_by_server,
                self._profile,
            )
            for n in range(CALLER_COUNT)
        ]
        await asyncio.gather(
            *(caller.run(deadline) for caller in callers),
            self._play_scenes(deadline),
            self._put_versions(deadline),
            self._terminate_daemons(deadline),
            self._pause_daemons(deadline),
        )

    async def _play_scenes(self, deadline: float) -> None:
        chooser = self._chooser("scenes")
        servers = list(self.fleet.servers)
        # The first scene is played even if the faults end before it.
        is_first = True
        while True:
            await asyncio.sleep(chooser.uniform(*SCENE_INTERVAL_S))
            scene = Scene.from_random(chooser, servers)
            if not is_first and time.monotonic() + scene.duration_s > deadline:
                return
            is_first = False
            self._log(f"servers {scene.faults_by_server}")
            began_at = time.monotonic()
            await self._put_faults(scene.faults_by_server)
            await asyncio.gather(*(self._silence(s) for s in scene.silences))
            await self._put_faults({name: {} for name in servers})
            interval = Interval(began_at, time.monotonic())
            for name, faults in scene.faults_by_server.items():
                if "never_resumes" in faults:
                    self._not_resuming_by_server[name].append(interval)

    async def _put_faults(self, faults_by_server: dict[str, dict[str, Any]]) -> None:
        await asyncio.gather(
            *(
                self._in_thread(self.fleet.set_faults, name, **(self._stream | faults))
                for name, faults in faults_by_server.items()
            )
        )

    async def _silence(self, silence: Silence) -> None:
        await asyncio.sleep(silence.after_s)
        interval = await self._suspend(silence.server, silence.duration_s)
        self._silences_by_server[silence.server].append(interval)

    async def _suspend(self, name: str, duration_s: float) -> Interval:
        """Suspend a process; return the time in which it cannot have run."""
        self._log(f"suspend {name}")
        self.fleet.processes.pause(name)
        began_at = time.monotonic()
        await asyncio.sleep(duration_s)
        ended_at = time.monotonic()
        self.fleet.processes.resume(name)
        self._log(f"resume {name}")
        return Interval(began_at, ended_at)

    async def _put_versions(self, deadline: float) -> None:
        """Write new versions of the configuration that change nothing."""
        chooser = self._chooser("versions")
        while time.monotonic() < deadline:
            await asyncio.sleep(chooser.uniform(*VERSION_INTERVAL_S))
            version = await self._in_thread(self.fleet.put_configuration, self._routes)
            self._log(f"version {version}")

    async def _terminate_daemons(self, deadline: float) -> None:
        """Terminate one daemon after another and start it again."""
        chooser = self._chooser("terminations")
        await asyncio.sleep(chooser.uniform(*TERMINATION_INTERVAL_S))
        while time.monotonic() < deadline - UNDISTURBED_END_S:
            name = chooser.choice(list(self.fleet.listeners))
            if name not in self._paused:
                await self._terminate(name)
            await asyncio.sleep(chooser.uniform(*TERMINATION_INTERVAL_S))

    async def _terminate(self, name: str) -> None:
        self._terminating.add(name)
        self._log(f"terminate {name}")
        processes = self.fleet.processes
        processes.terminate(name)
        status = await self._in_thread(processes.wait_for_exit, name, EXIT_TIMEOUT_S)
        if status is None:
            self.request_log.violations.append(
                f"{name} still ran {EXIT_TIMEOUT_S:g} s after SIGTERM"
            )
        await self._in_thread(processes.restart, name)
        self._log(f"{name} has started again")
        self._terminating.discard(name)

    async def _pause_daemons(self, deadline: float) -> None:
        """Suspend one daemon after another, in some runs."""
        chooser = self._chooser("daemon pauses")
        if chooser.random() >= DAEMON_PAUSE_SHARE:
            return
        while time.monotonic() < deadline:
            await asyncio.sleep(chooser.uniform(*DAEMON_PAUSE_INTERVAL_S))
            name = chooser.choice(list(self.fleet.listeners))
            duration_s = chooser.uniform(*DAEMON_PAUSE_S)
            if name in self._terminating:
                continue
            self._paused.add(name)
            self._daemon_pauses.append(await self._suspend(name, duration_s))
            self._paused.discard(name)

    def _log(self, text: str) -> None:
        self.fault_log.append(f"{time.monotonic():.2f} {text}")

    def _result(self, record: SilenceRecord) -> SoakResult:
        log = self.request_log
        runs = [
            span.request_id
            for spans in record.spans_by_server.values()
            for span in spans
        ]
        violations = [
            *log.violations,
            *check_runs(log, runs),
            *check_lost(log, record),
            *check_overlaps(record),
        ]
        silenced = count_silenced(record)
        if not silenced:
            violations.append("no request was at a server while it was suspended")
        ends = list(log.end_by_id.values())
        left = sum(end.kind is EndKind.LEFT for end in ends)
        self._log(
            f"{silenced} runs were at suspended servers, "
            f"{left} of {len(ends)} requests were left by their callers"
        )
        return SoakResult(
            self._seed,
            len(log.route_by_id),
            log.served_share(0.0),
            None,
            tuple(violations),
        )


__all__ = ["Scene", "SilenceSoak"]
