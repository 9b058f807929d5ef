"""Choice of the daemons that callers use, out of a fleet larger than they need.

A backend server accepts cache event readers for about a dozen daemons. In a larger
fleet each daemon would see few requests and read no cache events, so it could not
predict where a prompt is answered first. A few daemons of each availability zone
therefore take the callers, read the cache events and watch the platform's store. The
others hold the same configuration and replace a working daemon that stops responding.

Every daemon derives the working set from its own list of members. Daemons with
different lists choose different sets, which only spreads callers over more daemons.
"""

import functools
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from chivesaddle.core.aio import Clock
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.fleet.members import Member, Members, caller_addresses_in_zone

# Working daemons of each zone at least, so that callers can change to another one.
MIN_WORKING_PER_ZONE = 2
# Cache event readers that a backend server accepts if the configuration sets no limit.
DEFAULT_EVENT_READERS = 12
# Event readers of a backend server that stay free for daemons with another view of the
# working set.
RESERVED_EVENT_READERS = 2
# Share of its capacity that a daemon may use before the working set of its zone grows.
MAX_UTILIZATION = 0.6
# An additional daemon joins without need if it has at least this share of the capacity
# of the largest one: callers choose among the daemons of a zone with equal probability.
SIMILAR_CAPACITY_SHARE = 0.5
# Half-life of the highest demand seen in a zone, which outlasts the loss of the daemons
# that reported it.
DEMAND_HALF_LIFE_S = 10.0
# The set is derived again after this time, by a daemon without callers less often.
REFRESH_INTERVAL_S = 0.2
IDLE_REFRESH_INTERVAL_S = 0.5
# A daemon that just joined the set may have an incomplete list of members.
SETTLING_S = 2.0
# A daemon newly in the set that sends no beacon for this long is passed over.
FIRST_BEACON_TIMEOUT_S = 2.5
PASSED_OVER_S = 10.0

log = ComponentLogger("working set")


def select_working_daemons(
    candidates: Collection[Member],
    demand_by_zone: Mapping[str, float],
    max_daemons: int,
) -> list[Member]:
    """Choose the daemons of each zone that callers should use.

    Parameters
    ----------
    candidates : collection of Member
        Daemons that are believed to be running.
    demand_by_zone : mapping
        Processor demand of the requests of each zone, in cores.
    max_daemons : int
        Number of daemons that are chosen without need, over all zones.

    Returns
    -------
    list of Member
        The largest daemons of each zone first, in the same order on every daemon that
        has the same candidates.
    """
    by_zone: dict[str, list[Member]] = {}
    for member in sorted(candidates, key=_preference):
        by_zone.setdefault(member.zone, []).append(member)
    if not by_zone:
        return []
    wanted = max(MIN_WORKING_PER_ZONE, max_daemons // len(by_zone))
    chosen_by_zone = {
        zone: _select_in_zone(members, demand_by_zone.get(zone, 0.0), wanted)
        for zone, members in by_zone.items()
    }
    most = max(len(chosen) for chosen in chosen_by_zone.values())
    # Alternating between zones gives each zone some of the lowest ranks.
    return [
        chosen_by_zone[zone][position]
        for position in range(most)
        for zone in sorted(chosen_by_zone)
        if position < len(chosen_by_zone[zone])
    ]


@functools.lru_cache(maxsize=4_096)
def _preference(member: Member) -> tuple[float, int]:
    return -member.capacity, xxhash.xxh32_intdigest(member.id.encode())


def _select_in_zone(
    members: Sequence[Member], demand: float, wanted: int
) -> Sequence[Member]:
    """Return the shortest prefix of ``members`` that carries the demand of the zone.

    Callers choose with equal probability, so the smallest daemon limits the set.
    """
    fewest = min(len(members), MIN_WORKING_PER_ZONE)
    similar = SIMILAR_CAPACITY_SHARE * members[0].capacity
    while fewest < min(wanted, len(members)) and members[fewest].capacity >= similar:
        fewest += 1
    utilizations = {
        count: demand / count / members[count - 1].capacity
        for count in range(fewest, len(members) + 1)
    }
    for count, utilization in utilizations.items():
        if utilization <= MAX_UTILIZATION:
            return members[:count]
    return members[: min(utilizations, key=lambda count: utilizations[count])]


@dataclass(slots=True)
class _Demand:
    """Highest recent demand of a zone in cores, and when it was last updated."""

    cores: float
    at: float


class WorkingSet:
    """The working daemons, derived from the members that are seen running.

    Parameters
    ----------
    clock : Clock
        Clock of all ages.
    members : Members
        Registered daemons and their liveness.
    """

    def __init__(self, clock: Clock, members: Members) -> None:
        self._clock = clock
        self._members = members
        self._event_readers = DEFAULT_EVENT_READERS
        self._demand_by_zone: dict[str, _Demand] = {}
        self._chosen: list[Member] = []
        self._chosen_since: dict[str, float] = {}
        self._passed_over_until: dict[str, float] = {}
        self._refresh_at = 0.0

    def set_event_readers(self, count: int | None) -> None:
        """Set how many event readers each backend server accepts; None if unlimited."""
        self._event_readers = DEFAULT_EVENT_READERS if count is None else max(1, count)

    @property
    def event_readers(self) -> int:
        """Number of daemons that may read the cache events of one backend server."""
        return self._event_readers

    @property
    def is_whole_fleet(self) -> bool:
        """Whether the fleet is so small that all daemons work."""
        return self._members.fleet_size() <= self._event_readers

    def daemons(self) -> list[Member]:
        """Return the working daemons in order of rank, this daemon's included."""
        if self.is_whole_fleet:
            own = self._members.own
            return sorted(
                [own, *self._members.serving_peers()], key=lambda member: member.id
            )
        return list(self._current_chosen())

    def _current_chosen(self) -> list[Member]:
        """Return the chosen daemons of a large fleet, a list not to be changed."""
        now = self._clock.seconds()
        if now >= self._refresh_at:
            self._refresh(now)
            is_working = any(m.id == self._members.own.id for m in self._chosen)
            self._refresh_at = now + (
                REFRESH_INTERVAL_S if is_working else IDLE_REFRESH_INTERVAL_S
            )
        return self._chosen

    def peers(self) -> list[Member]:
        """Return the other daemons that take callers."""
        own = self._members.own.id
        return [member for member in self.daemons() if member.id != own]

    def rank(self, daemon: str) -> int | None:
        """Return a daemon's position in the working set, None if it is not in it."""
        for position, member in enumerate(self.daemons()):
            if member.id == daemon:
                return position
        return None

    @property
    def includes_own(self) -> bool:
        """Whether this daemon is in the working set."""
        if self.is_whole_fleet:
            return True
        own = self._members.own.id
        return any(member.id == own for member in self._current_chosen())

    @property
    def own_rank_if_settled(self) -> int | None:
        """Rank of this daemon, None unless it was in the set for `SETTLING_S`."""
        own = self._members.own.id
        rank = self.rank(own)
        joined_at = self._chosen_since.get(own)
        if rank is None or joined_at is None:
            return None
        return rank if self._clock.seconds() - joined_at >= SETTLING_S else None

    def caller_addresses(self, zone: str, include_own: bool) -> list[str]:
        """Return addresses for a caller in ``zone``, of its own zone if it has enough.

        Without any working daemon, all daemons that may be running are named.
        """
        members = self._members
        working = [
            member
            for member in self.daemons()
            if include_own or member.id != members.own.id
        ]
        if self.is_whole_fleet or not working:
            return members.caller_addresses(zone, include_own)
        return caller_addresses_in_zone(members.prefer_connected(working), zone)

    def _refresh(self, now: float) -> None:
        members = self._members
        self._update_demand(now)
        candidates = [
            member
            for member in members.running_peers()
            if self._passed_over_until.get(member.id, 0.0) <= now
        ]
        if not members.is_leaving:
            candidates.append(members.own)
        chosen = select_working_daemons(
            candidates,
            {zone: demand.cores for zone, demand in self._demand_by_zone.items()},
            self._event_readers - RESERVED_EVENT_READERS,
        )
        chosen_ids = {member.id for member in chosen}
        if chosen_ids != {member.id for member in self._chosen}:
            log.info(
                "working set changed",
                extra={
                    "daemons": len(chosen),
                    "includes_own": members.own.id in chosen_ids,
                    "registered": members.fleet_size(),
                },
            )
        self._chosen = chosen
        self._pass_over_silent(chosen_ids, now)

    def _pass_over_silent(self, chosen_ids: Collection[str], now: float) -> None:
        """Pass over daemons that joined the set but send no beacons."""
        self._chosen_since = {
            daemon: self._chosen_since.get(daemon, now) for daemon in chosen_ids
        }
        for daemon, since in self._chosen_since.items():
            if daemon == self._members.own.id:
                continue
            last_beacon_at = self._members.last_beacon_at(daemon)
            if now - max(since, last_beacon_at) > FIRST_BEACON_TIMEOUT_S:
                self._passed_over_until[daemon] = now + PASSED_OVER_S
                log.info("working daemon passed over", extra={"peer": daemon})
        for daemon, until in list(self._passed_over_until.items()):
            heard_again = self._members.last_beacon_at(daemon) > until - PASSED_OVER_S
            if until <= now or heard_again:
                del self._passed_over_until[daemon]

    def _update_demand(self, now: float) -> None:
        for zone, cores in self._members.demand_by_zone().items():
            known = self._demand_by_zone.setdefault(zone, _Demand(0.0, now))
            decayed = known.cores * 0.5 ** ((now - known.at) / DEMAND_HALF_LIFE_S)
            known.cores, known.at = max(cores, decayed), now


__all__ = ["WorkingSet", "select_working_daemons"]
