"""Requests that may crash the backend servers that run them.

Every crash has an identifier, and a clear names the crashes that it covers, so that
announcements may arrive repeatedly and in any order: a crash that was cleared does not
count again, and a clear does not cover a crash that its sender had not seen.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from chivesaddle.core.ids import BackendServerId, DaemonId, Fingerprint, RequestId

EXPIRY_S = 24 * 3600.0
MAX_SUSPECTS = 10_000
MAX_CRASHES = 8
MAX_PEER_RUNS = 4_096
MAX_TOMBSTONES = 10_000
# Clears are announced again for this long, for peers that missed the first time.
REPEAT_CLEAR_S = 60.0
MAX_REPEATED_CLEARS = 256
# A peer's run whose end was never announced, because the peer died, blocks no longer.
PEER_RUN_EXPIRY_S = 300.0
# Two daemons see one death of a server within this time. A server that has restarted
# and loaded its model cannot die again so soon.
SAME_DEATH_S = 2.0


class Verdict(Enum):
    """How a request may run."""

    NORMAL = "normal"
    ISOLATED = "isolated"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class SuspectCrashed:
    """A server died while it ran the request; ``age_s`` is the time since then."""

    fingerprint: Fingerprint
    crash_id: str
    server_id: BackendServerId
    daemon_id: DaemonId
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SuspectRunning:
    """A daemon runs a suspect request on a server."""

    fingerprint: Fingerprint
    run_id: RequestId
    server_id: BackendServerId


@dataclass(frozen=True, slots=True)
class SuspectStopped:
    """A run announced before has ended."""

    run_id: RequestId


@dataclass(frozen=True, slots=True)
class SuspectCleared:
    """The named crashes no longer count."""

    fingerprint: Fingerprint
    crash_ids: frozenset[str]


Announcement = SuspectCrashed | SuspectRunning | SuspectStopped | SuspectCleared


@dataclass(frozen=True, slots=True)
class _Crash:
    server_id: BackendServerId
    daemon_id: DaemonId
    at: float


@dataclass(frozen=True, slots=True)
class _Run:
    fingerprint: Fingerprint
    server_id: BackendServerId
    expires_at: float = float("inf")


class Suspects:
    """Crash counts and runs of suspect requests.

    Holds at most 10,000 fingerprints with 8 crashes each, 4,096 runs of peers, 20,000
    tombstones, 256 clears, and one entry per own request in flight. Beyond that the
    oldest entries with a crash count of one go first.
    """

    def __init__(self, daemon_id: DaemonId, incarnation: int = 0) -> None:
        self._daemon_id = daemon_id
        self._id_prefix = f"{daemon_id}/{incarnation}"
        self._sequence = 0
        self._crashes: OrderedDict[Fingerprint, dict[str, _Crash]] = OrderedDict()
        self._own_runs: dict[RequestId, _Run] = {}
        self._peer_runs: OrderedDict[RequestId, _Run] = OrderedDict()
        self._cleared: OrderedDict[str, None] = OrderedDict()
        self._stopped: OrderedDict[RequestId, None] = OrderedDict()
        self._own_clears: deque[tuple[float, SuspectCleared]] = deque(
            maxlen=MAX_REPEATED_CLEARS
        )

    def __len__(self) -> int:
        return len(self._crashes)

    def crash_count(self, fingerprint: Fingerprint, now: float) -> int:
        """Return how many server deaths count against the request."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return 0
        for crash_id, crash in list(crashes.items()):
            if now - crash.at >= EXPIRY_S:
                del crashes[crash_id]
        if not crashes:
            del self._crashes[fingerprint]
        return len(_deaths(crashes.values()))

    def verdict(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Return how the request may run."""
        match self.crash_count(fingerprint, now):
            case 0:
                return Verdict.NORMAL
            case 1:
                return Verdict.ISOLATED
        return Verdict.REJECTED

    def rejected_until(self, fingerprint: Fingerprint) -> float:
        """Return when the crash count of a rejected request falls below two."""
        deaths = sorted(
            crash.at for crash in _deaths(self._crashes[fingerprint].values())
        )
        return deaths[-2] + EXPIRY_S

    def is_running(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a copy of the request is known to run anywhere."""
        return any(run.fingerprint == fingerprint for run in self._runs(now))

    def occupied_servers(self, now: float) -> set[BackendServerId]:
        """Return the servers that run a suspect request."""
        return {
            run.server_id
            for run in self._runs(now)
            if run.fingerprint in self._crashes
            and self.crash_count(run.fingerprint, now)
        }

    def has_rival(self, run_id: RequestId, now: float) -> bool:
        """Tell whether a peer runs a suspect on the same server, or the same request.

        Asked after the own run was announced and confirmed by all peers. Of two daemons
        that start at the same moment at least one then knows the other's run: if the
        first had not received the second's announcement when it asked, it had
        confirmed its own to the second before. Both may know; then both start again.
        """
        own = self._own_runs.get(run_id)
        if own is None or not self.crash_count(own.fingerprint, now):
            return False
        self._runs(now)
        return any(
            run.fingerprint == own.fingerprint
            or (
                run.server_id == own.server_id
                and self.crash_count(run.fingerprint, now) > 0
            )
            for run in self._peer_runs.values()
        )

    def start(
        self,
        run_id: RequestId,
        fingerprint: Fingerprint,
        server_id: BackendServerId,
        now: float,
    ) -> tuple[Announcement, ...]:
        """Record an own run; return what to announce before it is sent."""
        self._own_runs[run_id] = _Run(fingerprint, server_id)
        if not self.crash_count(fingerprint, now):
            return ()
        return (SuspectRunning(fingerprint, run_id, server_id),)

    def stop(
        self, run_id: RequestId, now: float, *, completed: bool
    ) -> tuple[Announcement, ...]:
        """Record the end of an own run; a completed run clears the request."""
        run = self._own_runs.pop(run_id, None)
        if run is None or not self.crash_count(run.fingerprint, now):
            return ()
        stopped = SuspectStopped(run_id)
        if not completed:
            return (stopped,)
        return (stopped, *self.clear(run.fingerprint, now))

    def crash(self, server_id: BackendServerId, now: float) -> tuple[Announcement, ...]:
        """Count the death of a server against every own run on it.

        The runs end. A second call for the same death finds no runs and counts nothing.
        """
        dead = {
            r: run for r, run in self._own_runs.items() if run.server_id == server_id
        }
        announcements: list[Announcement] = []
        counted: set[Fingerprint] = set()
        for run_id, run in dead.items():
            del self._own_runs[run_id]
            announcements.append(SuspectStopped(run_id))
            if run.fingerprint in counted:
                continue
            counted.add(run.fingerprint)
            self._sequence += 1
            crash_id = f"{self._id_prefix}/{self._sequence}"
            crashed = SuspectCrashed(
                run.fingerprint, crash_id, server_id, self._daemon_id
            )
            self._add(crashed, now)
            announcements.append(crashed)
        for fingerprint in counted:
            announcements += self._own_copies(fingerprint)
        return tuple(announcements)

    def clear(self, fingerprint: Fingerprint, now: float) -> tuple[Announcement, ...]:
        """Reset the crash count; return the announcement."""
        crashes = self._crashes.pop(fingerprint, None)
        if not crashes:
            return ()
        self._remember(self._cleared, crashes)
        cleared = SuspectCleared(fingerprint, frozenset(crashes))
        self._own_clears.append((now, cleared))
        return (cleared,)

    def receive(
        self, announcement: Announcement, now: float
    ) -> tuple[Announcement, ...]:
        """Apply a peer's announcement; return what to announce in turn.

        A crash makes own copies of the request suspect, which peers have to know.
        """
        match announcement:
            case SuspectCrashed(fingerprint=fingerprint):
                known = self.crash_count(fingerprint, now) > 0
                self._add(announcement, now)
                if not known and self.crash_count(fingerprint, now):
                    return tuple(self._own_copies(fingerprint))
            case SuspectRunning(fingerprint, run_id, server_id):
                if run_id not in self._stopped and run_id not in self._own_runs:
                    expires_at = now + PEER_RUN_EXPIRY_S
                    self._peer_runs[run_id] = _Run(fingerprint, server_id, expires_at)
                    while len(self._peer_runs) > MAX_PEER_RUNS:
                        self._peer_runs.popitem(last=False)
            case SuspectStopped(run_id):
                self._peer_runs.pop(run_id, None)
                self._remember(self._stopped, (run_id,))
            case SuspectCleared(fingerprint, crash_ids):
                self._remember(self._cleared, crash_ids)
                crashes = self._crashes.get(fingerprint, {})
                for crash_id in crash_ids & crashes.keys():
                    del crashes[crash_id]
                if not crashes:
                    self._crashes.pop(fingerprint, None)
        return ()

    def snapshot(self, now: float) -> list[Announcement]:
        """Return crashes, own suspect runs and recent clears, for the exchange."""
        announcements: list[Announcement] = [
            cleared for at, cleared in self._own_clears if now - at < REPEAT_CLEAR_S
        ]
        for fingerprint in list(self._crashes):
            if self.crash_count(fingerprint, now):
                announcements += [
                    SuspectCrashed(
                        fingerprint,
                        crash_id,
                        crash.server_id,
                        crash.daemon_id,
                        now - crash.at,
                    )
                    for crash_id, crash in self._crashes[fingerprint].items()
                ]
                announcements += self._own_copies(fingerprint)
        return announcements

    def _add(self, crashed: SuspectCrashed, now: float) -> None:
        if crashed.crash_id in self._cleared or crashed.age_s >= EXPIRY_S:
            return
        crashes = self._crashes.setdefault(crashed.fingerprint, {})
        if len(crashes) < MAX_CRASHES:
            crashes.setdefault(
                crashed.crash_id,
                _Crash(crashed.server_id, crashed.daemon_id, now - crashed.age_s),
            )
        while len(self._crashes) > MAX_SUSPECTS:
            # A rejected request is kept longer: running it again costs a server.
            oldest = next(
                (f for f, c in self._crashes.items() if len(c) == 1),
                next(iter(self._crashes)),
            )
            del self._crashes[oldest]

    def _own_copies(self, fingerprint: Fingerprint) -> list[Announcement]:
        return [
            SuspectRunning(fingerprint, run_id, run.server_id)
            for run_id, run in self._own_runs.items()
            if run.fingerprint == fingerprint
        ]

    def _runs(self, now: float) -> list[_Run]:
        while self._peer_runs:
            run_id, run = next(iter(self._peer_runs.items()))
            if run.expires_at > now:
                break
            del self._peer_runs[run_id]
        return [*self._own_runs.values(), *self._peer_runs.values()]

    @staticmethod
    def _remember(memory: OrderedDict, keys: Iterable) -> None:
        for key in keys:
            memory[key] = None
        while len(memory) > MAX_TOMBSTONES:
            memory.popitem(last=False)


def _deaths(crashes: Iterable[_Crash]) -> list[_Crash]:
    """Return one crash for each death of a server."""
    deaths: list[_Crash] = []
    for crash in sorted(crashes, key=lambda crash: crash.at):
        if not any(
            death.server_id == crash.server_id
            and death.daemon_id != crash.daemon_id
            and crash.at - death.at <= SAME_DEATH_S
            for death in deaths
        ):
            deaths.append(crash)
    return deaths


__all__ = [
    "Announcement",
    "SuspectCleared",
    "SuspectCrashed",
    "SuspectRunning",
    "SuspectStopped",
    "Suspects",
    "Verdict",
]
