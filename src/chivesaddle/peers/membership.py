"""Fleet membership: the known daemons and whether they are reachable."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import xxhash

from chivesaddle.core.ids import DaemonId, RegionId, ZoneId

# Equal to the maximum age of a platform reading, so that a daemon without contact is
# dropped from address lists when it stops accepting requests itself.
UNREACHABLE_AFTER_S = 6.0
# In a large fleet, the traffic budget is too small to relay contacts with all daemons
# within 6 s: with that timeout, 14 of 100 daemons were marked unreachable although they
# responded.
LARGE_FLEET_SIZE = 32
UNREACHABLE_AFTER_LARGE_S = 30.0
# Time from the last contact until a daemon that is not in the platform's instance list
# is removed. The list lags, so a running daemon may be missing from it.
REMOVE_AFTER_S = 60.0


class MemberState(Enum):
    """State of a daemon from this daemon's point of view."""

    LIVE = "live"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    GONE = "gone"


# Compared by identity for speed: lists of hundreds of members are searched each second.
@dataclass(eq=False)
class Member:
    """What this daemon knows about a daemon.

    Attributes
    ----------
    last_contact_at : float
        Time of the last direct or relayed contact, in seconds on this daemon's clock.
    listed : bool
        Whether the platform's instance list contains it.
    confirmed : bool
        Whether it reported that its configuration is confirmed.
    """

    id: DaemonId
    zone: ZoneId
    region: RegionId | None = None
    peer_address: str = ""
    caller_url: str = ""
    operator_url: str = ""
    incarnation: int = 0
    last_contact_at: float = float("-inf")
    listed: bool = False
    listed_leaving: bool = False
    leaving: bool = False
    confirmed: bool = False


class Membership:
    """All known daemons, including this one.

    Parameters
    ----------
    own : Member
        This daemon; live until it is leaving.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members_by_id: dict[DaemonId, Member] = {own.id: own}
        self._ids_by_digest: dict[int, DaemonId | None] = {}

    def __len__(self) -> int:
        return len(self._members_by_id)

    def update_instances(self, values_by_name: Mapping[str, dict[str, Any]]) -> None:
        """Apply the platform's instance list; instances of other roles are ignored."""
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
            member = self._get_or_create(daemon_id, ZoneId(value.get("zone", "")))
            member.listed = True
            member.listed_leaving = value.get("state") == "leaving"
            member.region = RegionId(value.get("region", ""))
            member.peer_address = value.get("peer_address", member.peer_address)
            member.caller_url = value.get("caller_url", member.caller_url)
            member.operator_url = value.get("operator_url", member.operator_url)

    def record_direct_contact(
        self,
        daemon_id: DaemonId,
        zone: ZoneId,
        *,
        incarnation: int,
        leaving: bool,
        confirmed: bool,
        now: float,
    ) -> Member | None:
        """Record a message from a daemon; None if it is of an older incarnation."""
        if daemon_id == self.own.id:
            return None
        member = self._get_or_create(daemon_id, zone)
        if incarnation < member.incarnation:
            return None
        # Leaving is final within an incarnation: messages can arrive out of order.
        restarted = incarnation > member.incarnation
        member.leaving = leaving or (member.leaving and not restarted)
        member.incarnation = incarnation
        member.zone = zone
        member.confirmed = confirmed
        member.last_contact_at = max(member.last_contact_at, now)
        return member

    def record_relayed_contact(
        self, digest: int, age_s: float, now: float
    ) -> Member | None:
        """Record that a peer had contact with a daemon ``age_s`` seconds ago."""
        daemon_id = self._ids_by_digest.get(digest)
        if daemon_id is None or daemon_id == self.own.id:
            return None
        member = self._members_by_id[daemon_id]
        member.last_contact_at = max(member.last_contact_at, now - age_s)
        return member

    def record_leaving(self, daemon_id: DaemonId, incarnation: int) -> None:
        """Record the announcement that a daemon is leaving.

        Ignored if the daemon has been restarted since.
        """
        member = self._members_by_id.get(daemon_id)
        if member and member is not self.own and incarnation >= member.incarnation:
            member.leaving = True

    @property
    def unreachable_after_s(self) -> float:
        """Seconds after the last contact until a daemon is considered unreachable."""
        return (
            UNREACHABLE_AFTER_LARGE_S
            if len(self) > LARGE_FLEET_SIZE
            else UNREACHABLE_AFTER_S
        )

    def state_of(self, daemon_id: DaemonId, now: float) -> MemberState:
        """Return the state of a daemon at ``now``."""
        member = self._members_by_id.get(daemon_id)
        if member is None:
            return MemberState.GONE
        return self._state(member, now - self.unreachable_after_s)

    def _state(self, member: Member, live_after: float) -> MemberState:
        if member.leaving or member.listed_leaving:
            return MemberState.LEAVING
        if member is self.own or member.last_contact_at > live_after:
            return MemberState.LIVE
        return MemberState.UNREACHABLE if member.listed else MemberState.GONE

    def members(self, now: float, *states: MemberState) -> list[Member]:
        """Return the members in these states, ordered by id."""
        live_after = now - self.unreachable_after_s
        return [
            member
            for _, member in sorted(self._members_by_id.items())
            if self._state(member, live_after) in states
        ]

    def peers(self, now: float) -> list[Member]:
        """Return all other daemons that may respond, including leaving ones."""
        fleet_members = self.members(
            now, MemberState.LIVE, MemberState.UNREACHABLE, MemberState.LEAVING
        )
        return [m for m in fleet_members if m is not self.own and m.peer_address]

    def get(self, daemon_id: DaemonId) -> Member | None:
        """Return a daemon, or None if it is not known."""
        return self._members_by_id.get(daemon_id)

    def zones_by_daemon_id(self, now: float) -> dict[DaemonId, ZoneId]:
        """Return the zones of all daemons in the fleet.

        Leaving daemons are included: contact with them counts for their zone.
        """
        fleet_members = self.members(
            now, MemberState.LIVE, MemberState.UNREACHABLE, MemberState.LEAVING
        )
        return {member.id: member.zone for member in fleet_members}

    def recent_contacts(self, now: float) -> list[tuple[int, float]]:
        """Return (digest, age in seconds) of the recent contacts with live daemons.

        Contact with a leaving daemon is not relayed, so that peers that missed its
        announcement mark it unreachable.
        """
        newer_than = now - self.unreachable_after_s / 2
        return [
            (digest_of(member.id), now - member.last_contact_at)
            for member in self.members(now, MemberState.LIVE)
            if member is not self.own and member.last_contact_at > newer_than
        ]

    def remove_gone(self, now: float) -> list[DaemonId]:
        """Remove unlisted daemons `REMOVE_AFTER_S` after contact; return their ids."""
        gone = [
            member.id
            for member in self._members_by_id.values()
            if member is not self.own
            and not member.listed
            and now >= member.last_contact_at + REMOVE_AFTER_S
        ]
        for daemon_id in gone:
            del self._members_by_id[daemon_id]
        if gone:
            self._ids_by_digest.clear()
            self._index_digests(self._members_by_id)
        return gone

    def _get_or_create(self, daemon_id: DaemonId, zone: ZoneId) -> Member:
        member = self._members_by_id.get(daemon_id)
        if member is None:
            member = Member(daemon_id, zone)
            self._members_by_id[daemon_id] = member
            self._index_digests([daemon_id])
        member.zone = zone or member.zone
        return member

    def _index_digests(self, daemon_ids: Iterable[DaemonId]) -> None:
        for daemon_id in daemon_ids:
            digest = digest_of(daemon_id)
            indexed_id = self._ids_by_digest.get(digest, daemon_id)
            # Relayed contacts are ignored for ids whose digests collide: a contact
            # credited to the wrong daemon would keep a dead one in address lists.
            self._ids_by_digest[digest] = daemon_id if indexed_id == daemon_id else None


def digest_of(daemon_id: DaemonId) -> int:
    """Return the 32-bit digest that identifies a daemon in relayed contacts."""
    return xxhash.xxh32_intdigest(daemon_id.encode())


__all__ = [
    "LARGE_FLEET_SIZE",
    "UNREACHABLE_AFTER_S",
    "Member",
    "MemberState",
    "Membership",
    "digest_of",
]
