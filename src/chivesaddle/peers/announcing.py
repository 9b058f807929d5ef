"""Sending urgent reports to every daemon."""

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import DeferredList

from chivesaddle.core.aio import Clock, start
from chivesaddle.core.ids import DaemonId, ZoneId
from chivesaddle.peers.channels import Channels, PeerUnreachable
from chivesaddle.peers.membership import Member, Membership, MemberState
from chivesaddle.peers.proto import peer_pb2 as pb

# Up to this many daemons are told directly.
MAX_DIRECT = 32
# A crashed request waits for this before it is retried.
ANNOUNCE_WITHIN_S = 0.5
# Leaves the announcer time to hear of it.
FORWARD_WITHIN_S = 0.3
MAX_FORWARDERS_TRIED = 3


@dataclass(frozen=True)
class AnnouncementPlan:
    """Whom to tell.

    Attributes
    ----------
    direct : list of Member
        Told without forwarding.
    candidates_by_zone : dict
        Other zones' daemons; the first that answers forwards to its zone.
    """

    direct: list[Member]
    candidates_by_zone: dict[ZoneId, list[Member]]

    @classmethod
    def for_fleet(cls, membership: Membership, now: float) -> "AnnouncementPlan":
        """Plan an announcement of this daemon's own reports."""
        peers = membership.peers(now)
        if len(peers) <= MAX_DIRECT:
            return cls(peers, {})
        zone = membership.own.zone
        candidates: dict[ZoneId, list[Member]] = {}
        for peer in peers:
            if peer.zone != zone:
                candidates.setdefault(peer.zone, []).append(peer)
        for members in candidates.values():
            members.sort(key=lambda m: not _is_live(membership, m, now))
        return cls([p for p in peers if p.zone == zone], candidates)


def zone_peers(membership: Membership, now: float) -> list[Member]:
    """Return the other daemons of the own zone."""
    return [p for p in membership.peers(now) if p.zone == membership.own.zone]


def _is_live(membership: Membership, member: Member, now: float) -> bool:
    return membership.state_of(member.id, now) is MemberState.LIVE


class Announcer:
    """Sends reports of this daemon and forwards those of others to the zone."""

    def __init__(
        self, membership: Membership, channels: Channels, clock: Clock
    ) -> None:
        self._membership = membership
        self._channels = channels
        self._clock = clock

    async def announce(self, reports: list[pb.Report]) -> list[DaemonId]:
        """Tell all daemons; return those that did not confirm."""
        plan = AnnouncementPlan.for_fleet(self._membership, self._clock.seconds())
        missed: list[DaemonId] = []
        tell_zone = self._tell(plan.direct, reports, ANNOUNCE_WITHIN_S)
        tell_others = [
            self._tell_one_of(candidates, reports)
            for candidates in plan.candidates_by_zone.values()
        ]
        for _, part in await DeferredList(
            [start(t) for t in (tell_zone, *tell_others)]
        ):
            missed += part
        return missed

    async def _tell(
        self, peers: list[Member], reports: list[pb.Report], within_s: float
    ) -> list[DaemonId]:
        """Tell peers; return those that did not confirm.

        A peer that is unreachable already is told as well, but not waited for.
        """
        now = self._clock.seconds()
        message = pb.Announcement(reports=reports)
        missed: list[DaemonId] = []

        async def tell(peer: Member) -> None:
            try:
                await self._call(peer, message, now + within_s)
            except PeerUnreachable:
                missed.append(peer.id)

        awaited = []
        for peer in peers:
            told = start(tell(peer))
            if self._membership.state_of(peer.id, now) is not MemberState.UNREACHABLE:
                awaited.append(told)
            elif not told.called:
                missed.append(peer.id)
        await DeferredList(awaited)
        return sorted(set(missed))

    async def _tell_one_of(
        self, candidates: list[Member], reports: list[pb.Report]
    ) -> list[DaemonId]:
        """Tell a zone through the first of its daemons that answers."""
        message = pb.Announcement(reports=reports, forward=True)
        for peer in candidates[:MAX_FORWARDERS_TRIED]:
            deadline = self._clock.seconds() + ANNOUNCE_WITHIN_S
            try:
                await self._call(peer, message, deadline)
            except PeerUnreachable:
                continue
            # Whether every daemon of the zone was reached is not known.
            return [c.id for c in candidates if c is not peer]
        return [candidate.id for candidate in candidates]

    async def forward(self, reports: list[pb.Report]) -> None:
        """Tell the own zone."""
        zone = zone_peers(self._membership, self._clock.seconds())
        await self._tell(zone, reports, FORWARD_WITHIN_S)

    def _call(
        self, peer: Member, message: pb.Announcement, deadline: float
    ) -> Coroutine[Any, Any, Any]:
        return self._channels.call(
            peer.peer_address, "Announce", message, deadline=deadline
        )


__all__ = ["AnnouncementPlan", "Announcer", "zone_peers"]
