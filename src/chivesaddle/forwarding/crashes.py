"""Requests whose servers broke off while running them.

A request that crashes each server that runs it comes again from its caller with the
same path, account and body. It is recognised by these and stopped.
"""

from collections import OrderedDict, deque
from typing import Any

import xxhash

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import AccountId, Fingerprint

# Servers whose connection broke under the same request before it is stopped. A sound
# request meets one crash, and rarely two, of servers that failed for other reasons.
STOP_AFTER = 3
REMEMBERED_S = 60.0
# A crashed server refuses connections at once and leaves the list within three
# heartbeats of 1.2 s.
CONFIRM_S = 5.0
MAX_REMEMBERED = 1_024


def fingerprint(target: bytes, account: AccountId | None, body: bytes) -> Fingerprint:
    """Return what identifies a request that comes again."""
    digest = xxhash.xxh3_64(target)
    digest.update(b"\0" + (account or "").encode() + b"\0")
    digest.update(body)
    return Fingerprint(digest.hexdigest())


class CrashRecord:
    """Servers that broke off by fingerprint, with the time of the last.

    A connection that breaks is a suspicion. It counts as a crash once the server proves
    to be down: unreachable, gone from the list, or started anew. A server that only
    lost an answer goes on, and sound requests may share path and body.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: OrderedDict[Fingerprint, tuple[set[str], float]] = OrderedDict()
        self._suspected: deque[tuple[float, str, Fingerprint, str]] = deque(
            maxlen=MAX_REMEMBERED
        )

    def suspect(self, key: Fingerprint, server: str, request_id: str) -> None:
        """Note that a server's connection broke while it ran a request."""
        self._suspected.append((self._clock.seconds(), server, key, request_id))

    def confirm(self, server: str) -> None:
        """Note that a server is down: what broke there shortly before may be why."""
        oldest = self._clock.seconds() - CONFIRM_S
        for at, suspected, key, request_id in list(self._suspected):
            if suspected == server and at >= oldest:
                self.record(key, f"{server}/{request_id}")

    def record(self, key: Fingerprint, crash: str) -> int:
        """Note a crash (server and request); return how many are known."""
        crashes, _ = self._seen.pop(key, (set(), 0.0))
        crashes.add(crash)
        self._seen[key] = (crashes, self._clock.seconds())
        while len(self._seen) > MAX_REMEMBERED:
            self._seen.popitem(last=False)
        return len(crashes)

    def is_stopped(self, key: Fingerprint) -> bool:
        """Tell whether the request must not reach another server."""
        found = self._seen.get(key)
        if found is None or self._clock.seconds() - found[1] > REMEMBERED_S:
            return False
        return len(found[0]) >= STOP_AFTER

    def collect(self) -> dict[str, list[str]]:
        """Return what peers should know: fingerprints that came at least twice."""
        oldest = self._clock.seconds() - REMEMBERED_S
        return {
            key: sorted(crashes)
            for key, (crashes, at) in self._seen.items()
            if len(crashes) > 1 and at >= oldest
        }

    def learn(self, hint: Any) -> None:
        """Take over crashes that a peer saw."""
        for key, crashes in hint.items():
            known, _ = self._seen.get(Fingerprint(key), (set(), 0.0))
            if not set(crashes) <= known:
                for crash in crashes:
                    self.record(Fingerprint(key), crash)


__all__ = ["STOP_AFTER", "CrashRecord", "fingerprint"]
