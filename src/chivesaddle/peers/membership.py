"""Which daemons exist and which of them were heard from lately."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import xxhash

from chivesaddle.core.ids import DaemonId, RegionId, ZoneId

# Equal to the bound on the age of a platform reading, so that a daemon that cannot be
# heard is dropped from address answers when it stops accepting requests itself.
HEARD_TTL_S = 6.0
# In a large fleet, news of all daemons would not fit in the traffic budget within 6 s;
# 14 of 100 were seen as unreachable although they answered.
LARGE_FLEET = 32
HEARD_TTL_LARGE_S = 30.0
# An instance that the lagging list does not name yet, or names no more, is kept while
# it is heard from; afterwards it is forgotten.
FORGET_AFTER_S = 60.0


class MemberState(Enum):
    """Whether a daemon takes part in the fleet."""

    LIVE = "live"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    GONE = "gone"


# Members are compared by identity: lists of hundreds are searched each second.
@dataclass(eq=False)
class Member:
    """A daemon as this one knows it.

    Attributes
    ----------
    heard_at : float
        When it was last heard from, in seconds on the own clock.
    listed : bool
        The platform's instance list names it.
    confirmed : bool
        It said itself that its configuration is confirmed.
    """

    id: DaemonId
    zone: ZoneId
    region: RegionId | None = None
    peer_address: str = ""
    caller_url: str = ""
    operator_url: str = ""
    incarnation: int = 0
    heard_at: float = float("-inf")
    listed: bool = False
    listed_leaving: bool = False
    leaving: bool = False
    confirmed: bool = False


class Membership:
    """Daemons by id, the own one included.

    Parameters
    ----------
    own : Member
        This daemon; always live until it leaves.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members_by_id: dict[DaemonId, Member] = {own.id: own}
        self._ids_by_digest: dict[int, DaemonId | None] = {}

    def __len__(self) -> int:
        return len(self._members_by_id)

    def update_instances(self, values_by_name: Mapping[str, dict[str, Any]]) -> None:
        """Take over the platform's instance list; other roles are ignored."""
        daemons = {
            DaemonId(name): value
            for name, value in values_by_name.items()
            if value.get("role") == "daemon"
        }
        for member in self._members_by_id.values():
            member.listed = member.id in daemons
        for daemon_id, value in daemons.items():
            if daemon_id == self.own.id:
                continue
            member = self._member(daemon_id, ZoneId(value.get("zone", "")))
            member.listed = True
            member.listed_leaving = value.get("state") == "leaving"
            member.region = RegionId(value.get("region", ""))
            member.peer_address = value.get("peer_address", member.peer_address)
            member.caller_url = value.get("caller_url", member.caller_url)
            member.operator_url = value.get("operator_url", member.operator_url)

    def record_message(
        self,
        daemon_id: DaemonId,
        zone: ZoneId,
        *,
        incarnation: int,
        leaving: bool,
        confirmed: bool,
        now: float,
    ) -> Member | None:
        """Note a daemon's own message; None if it is of an older incarnation."""
        if daemon_id == self.own.id:
            return None
        member = self._member(daemon_id, zone)
        if incarnation < member.incarnation:
            return None
        # Leaving is final for one incarnation, whatever the order of messages.
        restarted = incarnation > member.incarnation
        member.leaving = leaving or (member.leaving and not restarted)
        member.incarnation = incarnation
        member.zone = zone
        member.confirmed = confirmed
        member.heard_at = max(member.heard_at, now)
        return member

    def record_relayed(self, digest: int, age_s: float, now: float) -> Member | None:
        """Note that another daemon heard from one ``age_s`` seconds ago."""
        daemon_id = self._ids_by_digest.get(digest)
        if daemon_id is None or daemon_id == self.own.id:
            return None
        member = self._members_by_id[daemon_id]
        member.heard_at = max(member.heard_at, now - age_s)
        return member

    def record_leaving(self, daemon_id: DaemonId, incarnation: int) -> None:
        """Note the announcement that a daemon is leaving.

        An announcement that arrives after the daemon was started again is ignored.
        """
        member = self._members_by_id.get(daemon_id)
        if member and member is not self.own and incarnation >= member.incarnation:
            member.leaving = True

    @property
    def heard_ttl_s(self) -> float:
        """Seconds after the last hearing at which a daemon counts as unreachable."""
        return HEARD_TTL_LARGE_S if len(self) > LARGE_FLEET else HEARD_TTL_S

    def state_of(self, daemon_id: DaemonId, now: float) -> MemberState:
        """Return the state of a daemon at ``now``."""
        member = self._members_by_id.get(daemon_id)
        if member is None:
            return MemberState.GONE
        return self._state(member, now - self.heard_ttl_s)

    def _state(self, member: Member, heard_after: float) -> MemberState:
        if member.leaving or member.listed_leaving:
            return MemberState.LEAVING
        if member is self.own or member.heard_at > heard_after:
            return MemberState.LIVE
        return MemberState.UNREACHABLE if member.listed else MemberState.GONE

    def members(self, now: float, *states: MemberState) -> list[Member]:
        """Return the members in these states, ordered by id."""
        heard_after = now - self.heard_ttl_s
        return [
            member
            for _, member in sorted(self._members_by_id.items())
            if self._state(member, heard_after) in states
        ]

    def peers(self, now: float) -> list[Member]:
        """Return all other daemons that may answer, leaving ones included."""
        present = self.members(
            now, MemberState.LIVE, MemberState.UNREACHABLE, MemberState.LEAVING
        )
        return [m for m in present if m is not self.own and m.peer_address]

    def get(self, daemon_id: DaemonId) -> Member | None:
        """Return a daemon, or None if it is not known."""
        return self._members_by_id.get(daemon_id)

    def zones_by_daemon_id(self, now: float) -> dict[DaemonId, ZoneId]:
        """Return the zones of all daemons that belong to the fleet.

        Leaving daemons that are still heard from count; they answer for their zone.
        """
        present = self.members(
            now, MemberState.LIVE, MemberState.UNREACHABLE, MemberState.LEAVING
        )
        return {member.id: member.zone for member in present}

    def recent_hearings(self, now: float) -> list[tuple[int, float]]:
        """Return (digest, age in seconds) of live daemons heard from lately.

        A leaving daemon is not relayed, so that those who missed its announcement
        stop hearing of it.
        """
        newer_than = now - self.heard_ttl_s / 2
        return [
            (digest_of(member.id), now - member.heard_at)
            for member in self.members(now, MemberState.LIVE)
            if member is not self.own and member.heard_at > newer_than
        ]

    def forget_gone(self, now: float) -> list[DaemonId]:
        """Drop daemons that are gone for long and return their ids."""
        gone = [
            member.id
            for member in self._members_by_id.values()
            if member is not self.own
            and not member.listed
            and now >= member.heard_at + FORGET_AFTER_S
        ]
        for daemon_id in gone:
            del self._members_by_id[daemon_id]
        if gone:
            self._ids_by_digest.clear()
            self._index(self._members_by_id)
        return gone

    def _member(self, daemon_id: DaemonId, zone: ZoneId) -> Member:
        member = self._members_by_id.get(daemon_id)
        if member is None:
            member = Member(daemon_id, zone)
            self._members_by_id[daemon_id] = member
            self._index([daemon_id])
        member.zone = zone or member.zone
        return member

    def _index(self, daemon_ids: Iterable[DaemonId]) -> None:
        for daemon_id in daemon_ids:
            digest = digest_of(daemon_id)
            known = self._ids_by_digest.get(digest, daemon_id)
            # Two ids with one digest are not relayed: a wrong hearing would keep a
            # dead daemon in address answers.
            self._ids_by_digest[digest] = daemon_id if known == daemon_id else None


def digest_of(daemon_id: DaemonId) -> int:
    """Return the 32-bit digest that stands for a daemon in relayed hearings."""
    return xxhash.xxh32_intdigest(daemon_id.encode())


__all__ = [
    "HEARD_TTL_S",
    "LARGE_FLEET",
    "Member",
    "MemberState",
    "Membership",
    "digest_of",
]
