"""Sending urgent reports to every daemon."""

from dataclasses import dataclass

from chivesaddle.core.ids import ZoneId
from chivesaddle.peers.membership import Member, Membership, MemberState

# Up to this many daemons are told directly.
MAX_DIRECT = 32


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


__all__ = ["AnnouncementPlan", "zone_peers"]
