"""The crashes that count against one request or prompt part, and reports of them."""

from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from chivesaddle.core.ids import Fingerprint
from chivesaddle.forwarding.blame import CrashId, is_sufficient

# A confirmed crash counts for this long.
CRASH_RETENTION_S = 3_600.0
# A server that crashed refuses connections at once, but an ejected one is not contacted
# for up to 4 s, and its entry expires after three heartbeats of 1.2 s and the list's
# delay. A broken connection counts for this long unless the crash is confirmed.
CONFIRMATION_WINDOW_S = 10.0

# What a server answered within this time before a crash is a less likely cause.
ANSWERED_RETENTION_S = 60.0
MAX_ANSWERED = 4_096


class CrashState(IntEnum):
    """What is known of a crash; of two reports, the higher state is true."""

    SUSPECTED = 1
    CONFIRMED = 2
    CLEARED = 3


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """What one daemon tells others about a server's crash under a request.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request or of a part of its prompt.
    server : str
        Id of the server.
    started_ms : int
        Start of the server that crashed, in Unix milliseconds.
    age_ms : int
        Milliseconds since the connection broke.
    was_answered : bool
        Whether a server was seen to answer the request or part shortly before.
    is_answer_known : bool
        Whether a daemon that knows of the crash was running in all of that time.
        Daemons of older builds do not say so.
    """

    fingerprint: str
    server: str
    started_ms: int
    state: CrashState
    age_ms: int
    was_answered: bool = False
    is_answer_known: bool = True


@dataclass(slots=True)
class Crash:
    """A server's crash as it counts against one request or part.

    Attributes
    ----------
    at : float
        When the connection broke, in seconds of the daemon's clock.
    is_own : bool
        Whether this daemon observed it.
    """

    state: CrashState
    at: float
    is_own: bool = False

    def counts_until(self) -> float:
        """Return the time until which the crash counts against the request."""
        match self.state:
            case CrashState.SUSPECTED:
                return self.at + CONFIRMATION_WINDOW_S
            case CrashState.CONFIRMED:
                return self.at + CRASH_RETENTION_S
            case CrashState.CLEARED:
                return float("-inf")


@dataclass(slots=True)
class CrashHistory:
    """Crashes under one request or part, by id and start of the server."""

    changed_at: float
    crashes_by_server: OrderedDict[CrashId, Crash]
    was_answered: bool = False
    is_answer_known: bool = True

    def counting(self, now: float) -> dict[CrashId, Crash]:
        """Return the crashes that count now."""
        return {
            id: crash
            for id, crash in self.crashes_by_server.items()
            if crash.counts_until() > now
        }

    def confirmed(self, since: float) -> dict[CrashId, Crash]:
        """Return the crashes since then that were confirmed and not cleared."""
        return {
            id: crash
            for id, crash in self.crashes_by_server.items()
            if crash.state is CrashState.CONFIRMED and crash.at > since
        }

    def count_ends(self, now: float) -> list[float]:
        """Return when each crash that counts now stops counting, in order."""
        return sorted(crash.counts_until() for crash in self.counting(now).values())

    def is_sufficient(self, now: float) -> bool:
        """Return whether the crashes that count now are enough to refuse it."""
        times = [crash.at for crash in self.counting(now).values()]
        return is_sufficient(times, self.was_answered, self.is_answer_known)

    def sufficient_until(
        self, now: float, explained: Collection[CrashId] = ()
    ) -> float | None:
        """Return until when the crashes are enough to refuse it, None if they are not.

        Crashes that are ``explained`` by something else do not count.
        """
        crashes = sorted(
            (crash for id, crash in self.counting(now).items() if id not in explained),
            key=Crash.counts_until,
        )
        until = None
        for number, crash in enumerate(crashes):
            times = [left.at for left in crashes[number:]]
            if not is_sufficient(times, self.was_answered, self.is_answer_known):
                break
            until = crash.counts_until()
        return until

    def is_confirmed(self) -> bool:
        """Return whether any crash was confirmed and not cleared."""
        return any(
            crash.state is CrashState.CONFIRMED
            for crash in self.crashes_by_server.values()
        )


class RecentAnswers:
    """When servers last answered each of the requests or parts that came last."""

    def __init__(self) -> None:
        self._answered_at: OrderedDict[Fingerprint, float] = OrderedDict()

    def record(self, key: Fingerprint, now: float) -> None:
        """Record that a server answers a request or part."""
        self._answered_at[key] = now
        self._answered_at.move_to_end(key)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)

    def includes(self, key: Fingerprint, now: float) -> bool:
        """Return whether a server answered it shortly before ``now``."""
        answered_at = self._answered_at.get(key)
        return answered_at is not None and answered_at > now - ANSWERED_RETENTION_S


__all__ = [
    "ANSWERED_RETENTION_S",
    "CRASH_RETENTION_S",
    "Crash",
    "CrashHistory",
    "CrashReport",
    "CrashState",
    "RecentAnswers",
]
