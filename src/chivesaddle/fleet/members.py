"""Fleet membership: registered daemons, their liveness, and addresses for callers."""

import math
from collections.abc import Sequence
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
# The list of registrations is derived again after this time without a change.
REGISTERED_CACHE_S = 1.0
# A working daemon sends a beacon to every daemon each second; three are missed.
WORKING_TIMEOUT_S = 3.0
# News of a daemon without callers travels by exchanges alone, a few entries in each.
IDLE_TIMEOUT_S = 30.0
# A daemon that is cut off says so twice a second.
CUT_OFF_TIMEOUT_S = 3.0
# A daemon that has just started takes registered daemons for running until it has heard
# from them.
ASSUME_RUNNING_S = 4.0
# Callers in a zone with fewer serving daemons than this get addresses of all zones.
MIN_ZONE_MEMBERS = 2
MAX_ADDRESSES = 64
# Longer ids and addresses are those of no daemon, and would be sent to all of them.
MAX_TEXT_CHARACTERS = 256


class Member(msgspec.Struct, frozen=True):
    """Registration of a daemon in the store.

    Attributes
    ----------
    capacity : float
        Work that the instance can take, in cores; see `InstanceCapacity`.
    status : str
        Address of the status page, empty if the daemon's build has none.
    """

    id: str
    incarnation: str
    zone: str
    callers: str
    peers: str
    capacity: float = 1.0
    status: str = ""


@dataclass(slots=True)
class _LastSeen:
    """When a daemon was last known to be running, in seconds on the local clock.

    Attributes
    ----------
    beacon_at : float
        When its last beacon arrived.
    is_working : bool
        Whether it sends beacons regularly, according to its last beacon.
    demand : float
        Processor time that it uses for requests, in cores, as of ``beacon_at``.
    is_cut_off : bool
        Whether it reaches no server, while another daemon does.
    """

    incarnation: str
    at: float
    is_leaving: bool = False
    beacon_at: float = -math.inf
    is_working: bool = False
    demand: float = 0.0
    is_cut_off: bool = False


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
        self._started_at = clock.seconds()
        # All well-formed registrations, and the newest known one of each daemon.
        self._registered: list[Member] | None = None
        self._registered_until = 0.0
        self._latest_by_id: dict[str, Member] = {}
        self._missing_since: dict[str, float] = {}
        replica.add_listener(self._forget_registered)
        self.is_leaving = False
        # Decoded registration (None if malformed) and the revision it was decoded from.
        self._decoded_by_name: dict[str, tuple[int, Member | None]] = {}

    def registered(self) -> list[Member]:
        """Return all well-formed registrations, this daemon's included.

        A daemon whose registration the store has lost is included for a while, since
        daemons do not remove their registrations.
        """
        return list(self._current_registered())

    def _current_registered(self) -> list[Member]:
        """Return the cached list itself, which callers must not change."""
        now = self._clock.seconds()
        if self._registered is None or now >= self._registered_until:
            self._registered = self._find_registered(now)
            self._registered_until = now + REGISTERED_CACHE_S
        return self._registered

    def _forget_registered(self, entry: Entry) -> None:
        self._registered = None

    def _find_registered(self, now: float) -> list[Member]:
        members = {self.own.id: self.own}
        for entry in self._replica.live():
            member = self._decode_entry(entry)
            if member is not None and member.id == entry.name != self.own.id:
                members[member.id] = member
        missing = {d: m for d, m in self._latest_by_id.items() if d not in members}
        self._missing_since = {d: self._missing_since.get(d, now) for d in missing}
        for daemon, member in missing.items():
            last_seen = self._last_seen_by_id.get(daemon)
            since = self._missing_since[daemon]
            if last_seen is not None:
                since = -math.inf if last_seen.is_leaving else max(since, last_seen.at)
            if now - since <= IDLE_TIMEOUT_S:
                members[daemon] = member
        self._latest_by_id = members
        return list(members.values())

    def _decode_entry(self, entry: Entry) -> Member | None:
        revision, member = self._decoded_by_name.get(entry.name, (0, None))
        if revision != entry.revision:
            member = _decode(entry.value)
            self._decoded_by_name[entry.name] = (entry.revision, member)
        return member

    def peers(self) -> list[Member]:
        """Return the other registered daemons."""
        own = self.own.id
        return [member for member in self._current_registered() if member.id != own]

    def addresses_in_own_zone(self) -> set[str]:
        """Return the addresses for exchanges of the daemons in this daemon's zone."""
        return {member.peers for member in self.peers() if member.zone == self.own.zone}

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

    def record_beacon(
        self,
        daemon: str,
        incarnation: str,
        *,
        is_working: bool,
        is_leaving: bool,
        demand: float,
        is_cut_off: bool,
    ) -> None:
        """Record a beacon that has just arrived."""
        self.record_seen(daemon, incarnation, 0.0, is_leaving)
        last_seen = self._last_seen_by_id[daemon]
        if last_seen.incarnation == incarnation:
            last_seen.beacon_at = self._clock.seconds()
            last_seen.is_working = is_working
            last_seen.demand = demand
            last_seen.is_cut_off = is_cut_off

    def last_beacon_at(self, daemon: str) -> float:
        """Return when a daemon's last beacon arrived; minus infinity without any."""
        last_seen = self._last_seen_by_id.get(daemon)
        return -math.inf if last_seen is None else last_seen.beacon_at

    def is_cut_off(self, daemon: str) -> bool:
        """Return whether a daemon said that it reaches no server."""
        last_seen = self._last_seen_by_id.get(daemon)
        if last_seen is None or not last_seen.is_cut_off:
            return False
        return self._clock.seconds() - last_seen.beacon_at <= CUT_OFF_TIMEOUT_S

    def unseen_s(self, daemon: str) -> float:
        """Return the seconds since a daemon was seen, or since this one started."""
        last_seen = self._last_seen_by_id.get(daemon)
        seen_at = self._started_at if last_seen is None else last_seen.at
        return self._clock.seconds() - max(seen_at, self._started_at)

    def demand_by_zone(self) -> dict[str, float]:
        """Return the processor demand in cores that working daemons report, by zone."""
        oldest = self._clock.seconds() - WORKING_TIMEOUT_S
        demand_by_zone: dict[str, float] = {}
        for member in self._current_registered():
            last_seen = self._last_seen_by_id.get(member.id)
            if last_seen is not None and last_seen.beacon_at >= oldest:
                demand = demand_by_zone.get(member.zone, 0.0) + last_seen.demand
                demand_by_zone[member.zone] = demand
        return demand_by_zone

    def last_seen_ages(self) -> dict[str, tuple[str, int, bool]]:
        """Return incarnation, age in ms and leaving state by running daemon."""
        now = self._clock.seconds()
        timeout_s = self._liveness_timeout_s()
        return {
            daemon: (
                last_seen.incarnation,
                int((now - last_seen.at) * 1_000),
                last_seen.is_leaving,
            )
            for daemon, last_seen in self._last_seen_by_id.items()
            if now - last_seen.at <= timeout_s
        }

    def is_serving(self, daemon: str) -> bool:
        """Return whether a daemon was seen running recently and is not leaving."""
        last_seen = self._last_seen_by_id.get(daemon)
        if last_seen is None:
            return False
        age = self._clock.seconds() - last_seen.at
        return age <= self._timeout_s(last_seen) and not last_seen.is_leaving

    def has_left(self, daemon: str) -> bool:
        """Return whether a daemon said that it is leaving and has not returned."""
        last_seen = self._last_seen_by_id.get(daemon)
        return last_seen is not None and last_seen.is_leaving

    def serving_peers(self) -> list[Member]:
        """Return the other daemons that accept callers."""
        return [member for member in self.peers() if self.is_serving(member.id)]

    def running_peers(self) -> list[Member]:
        """Return the other daemons that are not known to have stopped.

        A daemon that was never heard of is included for a while after this one started.
        """
        now = self._clock.seconds()
        is_starting = now - self._started_at <= ASSUME_RUNNING_S
        running = []
        for member in self.peers():
            last_seen = self._last_seen_by_id.get(member.id)
            if last_seen is None:
                is_running = is_starting
            else:
                age = now - last_seen.at
                is_running = age <= (
                    WORKING_TIMEOUT_S if last_seen.is_working else IDLE_TIMEOUT_S
                )
                is_running = is_running and not last_seen.is_leaving
            if is_running:
                running.append(member)
        return running

    def fleet_size(self) -> int:
        """Return the number of registrations, this daemon's own included."""
        return len(self._current_registered())

    def caller_addresses(self, zone: str, include_own: bool) -> list[str]:
        """Return addresses for a caller in ``zone``, of its own zone if it has enough.

        A daemon without recent contact with others cannot tell an outage of the
        others from a network partition, so it returns all registered daemons that are
        not known to be leaving.
        """
        candidates = self.serving_peers()
        if not candidates:
            candidates = [peer for peer in self.peers() if not self.has_left(peer.id)]
        if include_own:
            candidates = [*candidates, self.own]
        return caller_addresses_in_zone(self.prefer_connected(candidates), zone)

    def prefer_connected(self, candidates: Sequence[Member]) -> Sequence[Member]:
        """Return the daemons that reach servers, or all if none does."""
        connected = [member for member in candidates if not self.is_cut_off(member.id)]
        return connected or candidates

    def _timeout_s(self, last_seen: _LastSeen) -> float:
        timeout_s = self._liveness_timeout_s()
        return min(timeout_s, WORKING_TIMEOUT_S) if last_seen.is_working else timeout_s

    def _liveness_timeout_s(self) -> float:
        doublings = math.log2(max(1, self.fleet_size()))
        return LIVENESS_TIMEOUT_BASE_S + LIVENESS_TIMEOUT_PER_DOUBLING_S * doublings

    def rank(self) -> int:
        """Return this daemon's index, from 0, among the serving daemons by id.

        Daemons that say that only others reach servers do not count.
        """
        return sum(
            member.id < self.own.id and not self.is_cut_off(member.id)
            for member in self.serving_peers()
        )


def caller_addresses_in_zone(candidates: Sequence[Member], zone: str) -> list[str]:
    """Return the callers' addresses of a zone's daemons, of all if it has too few."""
    in_zone = [member for member in candidates if member.zone == zone]
    chosen = in_zone if len(in_zone) >= MIN_ZONE_MEMBERS else candidates
    return [member.callers for member in chosen[:MAX_ADDRESSES]]


def _decode(value: Any) -> Member | None:
    """Decode a registration; None if no daemon can be reached by it."""
    try:
        member = msgspec.convert(value, Member)
    except (ValueError, RecursionError):
        return None
    texts = (member.id, member.incarnation, member.zone, member.callers, member.peers)
    if max(map(len, texts)) > MAX_TEXT_CHARACTERS or not member.capacity > 0:
        return None
    are_usable = _is_address(member.callers) and _is_address(member.peers)
    return member if are_usable else None


def _is_address(text: str) -> bool:
    """Return whether text is a host and a port."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    return bool(host) and is_number and 0 < int(port) < 65_536


__all__ = ["MEMBERS_KIND", "Member", "Members", "caller_addresses_in_zone"]
