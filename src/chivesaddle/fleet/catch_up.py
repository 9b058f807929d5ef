"""Pulls documents that a beacon shows to be missing, here or at its sender.

Changes reach a daemon through its watch of the store or through datagrams of those
that watch it. A watch may hang, and datagrams may be lost; a random exchange then
brings the change after seconds only. Beacons of working daemons arrive every second,
and tell how far their sender is. A daemon that is further, though it sends no beacons
of its own accord, answers with one.
"""

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from chivesaddle.core.aio import Clock
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet.members import Member, Members
from chivesaddle.fleet.replica import Replica
from chivesaddle.fleet.updates import Puller

# A change that is on its way to this daemon arrives within the shorter time. Daemons
# that lack the same document ask for it at different times.
MIN_DELAY_S = 0.3
MAX_DELAY_S = 0.5
# Time between two pulls of documents that did not arrive.
REPEAT_INTERVAL_S = 1.0
# A kind that is pulled again within this did not arrive by the pull before.
LATE_AFTER_PULL_S = 2.0
# Answers to beacons of a peer that stays behind, of which it may need none: documents
# without a version cannot tell.
MAX_ANSWERS = 5

log = ComponentLogger("catch up")


@dataclass(slots=True)
class _Answers:
    """Answers to a peer, as long as neither its progress nor the own one changes."""

    state: tuple[dict[str, int], dict[str, int]]
    next_at: float
    sent: int = 0


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
        Called with a kind of which a change did not arrive by a pull either, and when a
        peer was seen to have it.
    answer : callable
        Sends a beacon to a member.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        replicas_by_kind: Mapping[str, Replica],
        puller: Puller,
        on_late: Callable[[str, float], None] = lambda kind, seen_at: None,
        answer: Callable[[Member], None] = lambda member: None,
    ) -> None:
        self._clock = clock
        self._members = members
        self._replicas_by_kind = replicas_by_kind
        self._puller = puller
        self._on_late = on_late
        self._answer = answer
        self._answers_by_peer: dict[str, _Answers] = {}
        self._random = random.Random()
        self._pull_again_at = 0.0
        # When each kind was last pulled, in seconds on the clock.
        self._pulled_at_by_kind: dict[str, float] = {}

    def progress_by_kind(self) -> dict[str, int]:
        """Return `Replica.progress` of each kind."""
        return {kind: r.progress for kind, r in self._replicas_by_kind.items()}

    def observe(self, peer: str, progress_by_kind: Mapping[str, int]) -> None:
        """Pull from a peer whose progress is ahead, and tell one that is behind."""
        now = self._clock.seconds()
        is_behind = bool(self._find_behind(progress_by_kind))
        is_ahead = self._is_ahead_of(progress_by_kind)
        if not is_ahead:
            self._answers_by_peer.pop(peer, None)
        if not is_ahead and (not is_behind or now < self._pull_again_at):
            return
        member = next((m for m in self._members.peers() if m.id == peer), None)
        if member is None:
            return
        if is_ahead:
            self._answer_if_new(member, progress_by_kind, now)
        if not is_behind or now < self._pull_again_at:
            return
        self._pull_again_at = now + REPEAT_INTERVAL_S
        self._puller.pull_from(
            member.peers,
            self._random.uniform(MIN_DELAY_S, MAX_DELAY_S),
            lambda: self._is_still_behind(peer, progress_by_kind, now),
        )

    def _is_ahead_of(self, progress_by_kind: Mapping[str, int]) -> bool:
        # Beacons of a build without progress are no sign of a daemon that is behind.
        return any(
            replica.progress > progress_by_kind[kind]
            for kind, replica in self._replicas_by_kind.items()
            if kind in progress_by_kind
        )

    def _answer_if_new(
        self, member: Member, progress_by_kind: Mapping[str, int], now: float
    ) -> None:
        """Answer once a second at most, and not forever as long as nothing changes."""
        state = (dict(progress_by_kind), self.progress_by_kind())
        answers = self._answers_by_peer.get(member.id)
        if answers is None or answers.state != state:
            next_at = 0.0 if answers is None else answers.next_at
            answers = self._answers_by_peer[member.id] = _Answers(state, next_at)
        if now < answers.next_at or answers.sent >= MAX_ANSWERS:
            return
        answers.sent += 1
        answers.next_at = now + REPEAT_INTERVAL_S
        self._answer(member)

    def _find_behind(self, progress_by_kind: Mapping[str, int]) -> list[str]:
        return [
            kind
            for kind, replica in self._replicas_by_kind.items()
            if replica.lacks(progress_by_kind.get(kind, 0))
        ]

    def _is_still_behind(
        self, peer: str, progress_by_kind: Mapping[str, int], seen_at: float
    ) -> bool:
        behind = self._find_behind(progress_by_kind)
        if behind:
            log.info("documents pulled", extra={"peer": peer, "kinds": behind})
        now = self._clock.seconds()
        for kind in behind:
            # A large response of the store may be on its way, which a repeated call
            # would begin again.
            pulled_at = self._pulled_at_by_kind.get(kind, -math.inf)
            if now - pulled_at <= LATE_AFTER_PULL_S:
                self._on_late(kind, seen_at)
            self._pulled_at_by_kind[kind] = now
        return bool(behind)


__all__ = ["CatchUp"]
