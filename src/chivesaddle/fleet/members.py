"""The daemons of the fleet: registration, liveness, and the addresses for callers."""

import math
from dataclasses import dataclass
from typing import Any

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.fleet.replica import Entry, Replica

MEMBERS_KIND = "daemons"
# A daemon that nobody heard from for this long gets no callers. News of it takes a
# round of exchanges (0.7 s) for each doubling of the fleet, at about half a second.
SILENT_FIRST_S = 2.0
SILENT_PER_DOUBLING_S = 0.5
# Zones with fewer daemons than this share the callers of all zones.
MIN_ZONE_MEMBERS = 2
MAX_ADDRESSES = 64


class Member(msgspec.Struct, frozen=True):
    """A daemon as it registers itself in the store."""

    id: str
    incarnation: str
    zone: str
    callers: str
    peers: str


@dataclass(slots=True)
class _Heard:
    """When a daemon was last known to run, in seconds of the own clock."""

    incarnation: str
    at: float
    is_leaving: bool = False


class Members:
    """Registered daemons and when each was last heard from.

    Parameters
    ----------
    clock : Clock
        Clock of all ages.
    own : Member
        This daemon.
    replica : Replica
        Copy of the registrations.
    """

    def __init__(self, clock: Clock, own: Member, replica: Replica) -> None:
        self._clock = clock
        self.own = own
        self._replica = replica
        self._heard_by_id: dict[str, _Heard] = {}
        # Registrations as decoded, with the revision that they were decoded from.
        self._decoded_by_name: dict[str, tuple[int, Member | None]] = {}

    def registered(self) -> list[Member]:
        """Return all registrations that can be read, own included."""
        members = {self.own.id: self.own}
        for entry in self._replica.live():
            member = self._member_of(entry)
            if member is not None and member.id == entry.name != self.own.id:
                members[member.id] = member
        return list(members.values())

    def _member_of(self, entry: Entry) -> Member | None:
        revision, member = self._decoded_by_name.get(entry.name, (0, None))
        if revision != entry.revision:
            member = _decode(entry.value)
            self._decoded_by_name[entry.name] = (entry.revision, member)
        return member

    def peers(self) -> list[Member]:
        """Return the other registered daemons."""
        return [member for member in self.registered() if member.id != self.own.id]

    def record_heard(
        self, daemon: str, incarnation: str, age_s: float, is_leaving: bool
    ) -> None:
        """Note that a daemon was running ``age_s`` seconds ago."""
        at = self._clock.seconds() - age_s
        known = self._heard_by_id.get(daemon)
        if known is None or known.incarnation != incarnation:
            if known is not None and known.at >= at:
                return
            self._heard_by_id[daemon] = _Heard(incarnation, at, is_leaving)
            return
        known.at = max(known.at, at)
        known.is_leaving = known.is_leaving or is_leaving

    def heard_ages(self) -> dict[str, tuple[str, int, bool]]:
        """Return incarnation, age in ms and leaving state by daemon, for peers."""
        now = self._clock.seconds()
        return {
            daemon: (heard.incarnation, int((now - heard.at) * 1_000), heard.is_leaving)
            for daemon, heard in self._heard_by_id.items()
            if now - heard.at <= self._silent_s()
        }

    def is_serving(self, daemon: str) -> bool:
        """Tell whether a daemon is running and not leaving, as far as is known."""
        heard = self._heard_by_id.get(daemon)
        if heard is None:
            return False
        age = self._clock.seconds() - heard.at
        return age <= self._silent_s() and not heard.is_leaving

    def _is_leaving(self, daemon: str) -> bool:
        heard = self._heard_by_id.get(daemon)
        return heard is not None and heard.is_leaving

    def serving(self) -> list[Member]:
        """Return the daemons that take callers, without this one's own state."""
        return [member for member in self.peers() if self.is_serving(member.id)]

    def fleet_size(self) -> int:
        """Return the number of registered daemons, own included."""
        return len(self._replica.live()) or 1

    def caller_addresses(self, zone: str, own_is_ready: bool) -> list[str]:
        """Return addresses for a caller in ``zone``: its zone's daemons if enough.

        A daemon that hears no other cannot tell whether they or it are cut off, and
        names all that are registered.
        """
        found = self.serving()
        if not found:
            found = [peer for peer in self.peers() if not self._is_leaving(peer.id)]
        if own_is_ready:
            found = [*found, self.own]
        near = [member for member in found if member.zone == zone]
        chosen = near if len(near) >= MIN_ZONE_MEMBERS else found
        return [member.callers for member in chosen[:MAX_ADDRESSES]]

    def _silent_s(self) -> float:
        doublings = math.log2(max(1, self.fleet_size()))
        return SILENT_FIRST_S + SILENT_PER_DOUBLING_S * doublings

    def rank(self) -> int:
        """Return this daemon's place among the running daemons, by id, from 0."""
        running = [member.id for member in self.serving()]
        return sum(other < self.own.id for other in running)


def _decode(value: Any) -> Member | None:
    try:
        return msgspec.convert(value, Member)
    except msgspec.ValidationError:
        return None


__all__ = ["MEMBERS_KIND", "Member", "Members"]
