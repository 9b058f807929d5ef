"""Pulls documents that a beacon shows to be missing on this daemon.

Changes reach a daemon through its watch of the store or through datagrams of those
that watch it. A watch may hang, and datagrams may be lost; a random exchange then
brings the change after seconds only. Beacons arrive every second, and tell how far
their sender is.
"""

import random
from collections.abc import Callable, Mapping

from chivesaddle.core.aio import Clock
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet.members import Members
from chivesaddle.fleet.replica import Replica
from chivesaddle.fleet.updates import Puller

# A change that is on its way to this daemon arrives within the shorter time. Daemons
# that lack the same document ask for it at different times.
MIN_DELAY_S = 0.3
MAX_DELAY_S = 0.5
# Time between two pulls of documents that did not arrive.
REPEAT_INTERVAL_S = 1.0

log = ComponentLogger("catch up")


class CatchUp:
    """Compares the replicas of documents with those of peers that send beacons.

    Parameters
    ----------
    clock : Clock
        Clock of the intervals.
    members : Members
        The daemons of the fleet.
    replicas_by_kind : mapping
        Replicas of the documents that are compared.
    puller : Puller
        Asks a peer for missing documents.
    on_late : callable
        Called with a kind of which a change did not arrive, and when a peer was seen to
        have it.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        replicas_by_kind: Mapping[str, Replica],
        puller: Puller,
        on_late: Callable[[str, float], None] = lambda kind, seen_at: None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._replicas_by_kind = replicas_by_kind
        self._puller = puller
        self._on_late = on_late
        self._random = random.Random()
        self._pull_again_at = 0.0

    def progress_by_kind(self) -> dict[str, int]:
        """Return `Replica.progress` of each kind."""
        return {kind: r.progress for kind, r in self._replicas_by_kind.items()}

    def observe(self, peer: str, progress_by_kind: Mapping[str, int]) -> None:
        """Pull from a peer whose progress is ahead, unless the change arrives."""
        now = self._clock.seconds()
        if now < self._pull_again_at or not self._find_behind(progress_by_kind):
            return
        member = next((m for m in self._members.peers() if m.id == peer), None)
        if member is None:
            return
        self._pull_again_at = now + REPEAT_INTERVAL_S
        self._puller.pull_from(
            member.peers,
            self._random.uniform(MIN_DELAY_S, MAX_DELAY_S),
            lambda: self._is_still_behind(peer, progress_by_kind, now),
        )

    def _find_behind(self, progress_by_kind: Mapping[str, int]) -> list[str]:
        return [
            kind
            for kind, replica in self._replicas_by_kind.items()
            if replica.progress < progress_by_kind.get(kind, 0)
        ]

    def _is_still_behind(
        self, peer: str, progress_by_kind: Mapping[str, int], seen_at: float
    ) -> bool:
        behind = self._find_behind(progress_by_kind)
        if behind:
            log.info("documents pulled", extra={"peer": peer, "kinds": behind})
        for kind in behind:
            self._on_late(kind, seen_at)
        return bool(behind)


__all__ = ["CatchUp"]
