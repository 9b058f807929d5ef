"""Fleet membership: registered daemons, their liveness, and addresses for callers."""

import math
from dataclasses import dataclass
from typing import Any

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.fleet.replica import Entry, Replica

MEMBERS_KIND = "daemons"
# A daemon that no daemon has seen running for this long is omitted from the addresses
# for callers. Liveness spreads by exchanges between peers, which run every 0.7 s; each
# doubling of the fleet delays it by about half a second.
LIVENESS_TIMEOUT_BASE_S = 2.0
LIVENESS_TIMEOUT_PER_DOUBLING_S = 0.5
# Callers in a zone with fewer serving daemons than this get addresses of all zones.
MIN_ZONE_MEMBERS = 2
MAX_ADDRESSES = 64


class Member(msgspec.Struct, frozen=True):
    """Registration of a daemon in the store."""

    id: str
    incarnation: str
    zone: str
    callers: str
    peers: str


@dataclass(slots=True)
class _LastSeen:
    """When a daemon was last known to be running, in seconds on the local clock."""

    incarnation: str
    at: float
    is_leaving: bool = False


class Members:
    """Registered daemons and when each was last seen running.

    Parameters
    ----------
    clock : Clock
        Clock on which ages are measured.
    own : Member
        This daemon.
    replica : Replica
        Replica of the registrations.
    """

    def __init__(self, clock: Clock, own: Member, replica: Replica) -> None:
        self._clock = clock
        self.own = own
        self._replica = replica
        self._last_seen_by_id: dict[str, _LastSeen] = {}
        # Decoded registration (None if malformed) and the revision it was decoded from.
        self._decoded_by_name: dict[str, tuple[int, Member | None]] = {}

    def registered(self) -> list[Member]:
        """Return all well-formed registrations, this daemon's included."""
        members = {self.own.id: self.own}
        for entry in self._replica.live():
            member = self._decode_entry(entry)
            if member is not None and member.id == entry.name != self.own.id:
                members[member.id] = member
        return list(members.values())

    def _decode_entry(self, entry: Entry) -> Member | None:
        revision, member = self._decoded_by_name.get(entry.name, (0, None))
        if revision != entry.revision:
            member = _decode(entry.value)
            self._decoded_by_name[entry.name] = (entry.revision, member)
        return member

    def peers(self) -> list[Member]:
        """Return the other registered daemons."""
        return [member for member in self.registered() if member.id != self.own.id]

    def record_seen(
        self, daemon: str, incarnation: str, age_s: float, is_leaving: bool
    ) -> None:
        """Record that a daemon was running ``age_s`` seconds ago."""
        at = self._clock.seconds() - age_s
        previous = self._last_seen_by_id.get(daemon)
        if previous is None or previous.incarnation != incarnation:
            if previous is not None and previous.at >= at:
                return
            self._last_seen_by_id[daemon] = _LastSeen(incarnation, at, is_leaving)
            return
        previous.at = max(previous.at, at)
        previous.is_leaving = previous.is_leaving or is_leaving

    def last_seen_ages(self) -> dict[str, tuple[str, int, bool]]:
        """Return incarnation, age in ms and leaving state by running daemon."""
        now = self._clock.seconds()
        return {
            daemon: (
                last_seen.incarnation,
                int((now - last_seen.at) * 1_000),
                last_seen.is_leaving,
            )
            for daemon, last_seen in self._last_seen_by_id.items()
            if now - last_seen.at <= self._liveness_timeout_s()
        }

    def is_serving(self, daemon: str) -> bool:
        """Return whether a daemon was seen running recently and is not leaving."""
        last_seen = self._last_seen_by_id.get(daemon)
        if last_seen is None:
            return False
        age = self._clock.seconds() - last_seen.at
        return age <= self._liveness_timeout_s() and not last_seen.is_leaving

    def _is_leaving(self, daemon: str) -> bool:
        last_seen = self._last_seen_by_id.get(daemon)
        return last_seen is not None and last_seen.is_leaving

    def serving_peers(self) -> list[Member]:
        """Return the other daemons that accept callers."""
        return [member for member in self.peers() if self.is_serving(member.id)]

    def fleet_size(self) -> int:
        """Return the number of registrations in the replica, at least 1."""
        return len(self._replica.live()) or 1

    def caller_addresses(self, zone: str, include_own: bool) -> list[str]:
        """Return addresses for a caller in ``zone``, of its own zone if it has enough.

        A daemon without recent contact with others cannot tell an outage of the
        others from a network partition, so it returns all registered daemons that are
        not known to be leaving.
        """
        candidates = self.serving_peers()
        if not candidates:
            candidates = [
                peer for peer in self.peers() if not self._is_leaving(peer.id)
            ]
        if include_own:
            candidates = [*candidates, self.own]
        in_zone = [member for member in candidates if member.zone == zone]
        chosen = in_zone if len(in_zone) >= MIN_ZONE_MEMBERS else candidates
        return [member.callers for member in chosen[:MAX_ADDRESSES]]

    def _liveness_timeout_s(self) -> float:
        doublings = math.log2(max(1, self.fleet_size()))
        return LIVENESS_TIMEOUT_BASE_S + LIVENESS_TIMEOUT_PER_DOUBLING_S * doublings

    def rank(self) -> int:
        """Return this daemon's index, from 0, among the serving daemons by id."""
        running = [member.id for member in self.serving_peers()]
        return sum(other < self.own.id for other in running)


def _decode(value: Any) -> Member | None:
    try:
        return msgspec.convert(value, Member)
    except msgspec.ValidationError:
        return None


__all__ = ["MEMBERS_KIND", "Member", "Members"]
