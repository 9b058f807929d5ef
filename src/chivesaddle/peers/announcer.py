"""Broadcast of urgent reports to all daemons."""

from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import DeferredList

from chivesaddle.core.aio import Clock, start
from chivesaddle.core.ids import DaemonId, ZoneId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.peers.channels import Channels, PeerUnreachable
from chivesaddle.peers.membership import Member, Membership, MemberState
from chivesaddle.peers.proto import peer_pb2 as pb

# In a larger fleet, one daemon per zone forwards the announcement to its zone.
MAX_DIRECT_PEERS = 32
# The retry of a crashed request waits until its announcement has ended.
ANNOUNCE_TIMEOUT_S = 0.5
# Shorter than ANNOUNCE_TIMEOUT_S, so that the announcer receives the response in time.
FORWARD_TIMEOUT_S = 0.3
MAX_FORWARDER_ATTEMPTS = 3

log = ComponentLogger("peers")


@dataclass(frozen=True)
class AnnouncementPlan:
    """Recipients of an announcement.

    Attributes
    ----------
    direct : list of Member
        Daemons that are sent the announcement directly.
    candidates_by_zone : dict
        Daemons of the other zones; the first that responds forwards the announcement
        to its zone.
    """

    direct: list[Member]
    candidates_by_zone: dict[ZoneId, list[Member]]

    @classmethod
    def for_fleet(cls, membership: Membership, now: float) -> "AnnouncementPlan":
        """Plan an announcement of this daemon's own reports."""
        peers = membership.peers(now)
        if len(peers) <= MAX_DIRECT_PEERS:
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
    """Return the other daemons in this daemon's zone."""
    return [p for p in membership.peers(now) if p.zone == membership.own.zone]


def _is_live(membership: Membership, member: Member, now: float) -> bool:
    return membership.state_of(member.id, now) is MemberState.LIVE


class Announcer:
    """Broadcasts this daemon's reports and forwards those of others to its zone."""

    def __init__(
        self, membership: Membership, channels: Channels, clock: Clock
    ) -> None:
        self._membership = membership
        self._channels = channels
        self._clock = clock

    async def announce(self, reports: list[pb.Report]) -> list[DaemonId]:
        """Send reports to all daemons; return those that did not acknowledge."""
        plan = AnnouncementPlan.for_fleet(self._membership, self._clock.seconds())
        unacknowledged: list[DaemonId] = []
        direct_call = self._send_all(plan.direct, reports, ANNOUNCE_TIMEOUT_S)
        forwarder_calls = [
            self._send_to_forwarder(candidates, reports)
            for candidates in plan.candidates_by_zone.values()
        ]
        for _, peer_ids in await DeferredList(
            [start(call) for call in (direct_call, *forwarder_calls)]
        ):
            unacknowledged += peer_ids
        return unacknowledged

    async def _send_all(
        self, peers: list[Member], reports: list[pb.Report], timeout_s: float
    ) -> list[DaemonId]:
        """Send reports to peers; return those that did not acknowledge.

        Reports are also sent to peers that are already considered unreachable, but
        their responses are not awaited.
        """
        now = self._clock.seconds()
        message = pb.Announcement(reports=reports)
        unacknowledged: list[DaemonId] = []

        async def send(peer: Member) -> None:
            if not await self._try_call(peer, message, now + timeout_s):
                unacknowledged.append(peer.id)

        pending_calls = []
        for peer in peers:
            pending_call = start(send(peer))
            if self._membership.state_of(peer.id, now) is not MemberState.UNREACHABLE:
                pending_calls.append(pending_call)
            elif not pending_call.called:
                unacknowledged.append(peer.id)
        await DeferredList(pending_calls)
        return sorted(set(unacknowledged))

    async def _send_to_forwarder(
        self, candidates: list[Member], reports: list[pb.Report]
    ) -> list[DaemonId]:
        """Send reports to a zone through its first daemon that responds."""
        message = pb.Announcement(reports=reports, forward=True)
        for peer in candidates[:MAX_FORWARDER_ATTEMPTS]:
            deadline = self._clock.seconds() + ANNOUNCE_TIMEOUT_S
            if not await self._try_call(peer, message, deadline):
                continue
            # The response does not list the daemons of the zone that were reached.
            return [c.id for c in candidates if c is not peer]
        return [candidate.id for candidate in candidates]

    async def forward(self, reports: list[pb.Report]) -> None:
        """Send reports to the other daemons in this daemon's zone."""
        zone = zone_peers(self._membership, self._clock.seconds())
        await self._send_all(zone, reports, FORWARD_TIMEOUT_S)

    async def _try_call(
        self, peer: Member, message: pb.Announcement, deadline: float
    ) -> bool:
        """Send a message; return whether the peer acknowledged it."""
        try:
            await self._call(peer, message, deadline)
        except PeerUnreachable:
            return False
        except Exception as error:
            # The other peers must be informed all the same.
            log.error("announcement to %s failed: %r", peer.id, error)
            return False
        return True

    def _call(
        self, peer: Member, message: pb.Announcement, deadline: float
    ) -> Coroutine[Any, Any, Any]:
        return self._channels.call(
            peer.peer_address, "Announce", message, deadline=deadline
        )


__all__ = ["AnnouncementPlan", "Announcer", "zone_peers"]
