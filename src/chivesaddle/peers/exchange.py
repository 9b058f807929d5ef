"""The state that daemons exchange each second: choice of peers, content, effect."""

from collections.abc import Callable
from random import Random

from chivesaddle.core.events import HybridClock, Timestamp
from chivesaddle.core.ids import AccountId, DaemonId, ZoneId
from chivesaddle.peers.demand import DemandShare, largest
from chivesaddle.peers.membership import LARGE_FLEET, Member, Membership, MemberState
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.reports import ReportLog

# In a large fleet, the full exchange would exceed the budget of 2 KB/s.
RANDOM_PEERS, RANDOM_PEERS_LARGE = 2, 1
# With 8, 30 daemons sent and received 9.7 KB/s each instead of 5.3 KB/s, and the oldest
# hearing was 1.6 s instead of 1.7 s old.
MAX_ZONE_PEERS, MAX_ZONE_PEERS_LARGE = 2, 1
MAX_HEARINGS, MAX_HEARINGS_LARGE = 32, 16
# Well within the 10 s for which receivers keep a report of demand.
DEMAND_EVERY_ROUNDS = 4
# The platform's list lags behind new instances by less than this.
DESCRIBE_FOR_S = 30.0


def choose_peers(membership: Membership, now: float, random: Random) -> list[Member]:
    """Return the peers of one round.

    Peers of the own zone, at most `MAX_ZONE_PEERS`, and `RANDOM_PEERS` others; fewer in
    a large fleet. One more place is for an unreachable daemon, so that daemons find
    each other again after a partition.
    """
    peers = membership.peers(now)
    large = len(peers) > LARGE_FLEET
    zone = [peer for peer in peers if peer.zone == membership.own.zone]
    chosen = _sample(random, zone, MAX_ZONE_PEERS_LARGE if large else MAX_ZONE_PEERS)
    rest = [peer for peer in peers if peer not in chosen]
    lost = [p for p in rest if membership.state_of(p.id, now) is not MemberState.LIVE]
    chosen += _sample(random, lost, 1)
    live = [peer for peer in rest if peer not in lost]
    return chosen + _sample(random, live, RANDOM_PEERS_LARGE if large else RANDOM_PEERS)


def _sample(random: Random, members: list[Member], limit: int) -> list[Member]:
    return random.sample(members, min(limit, len(members)))


class Exchange:
    """Builds this daemon's state and takes in that of others.

    Only what an answer says counts for freshness. An answer is younger than the call
    that it answers, whereas a call may have waited in the buffers of a paused process
    for any time.
    """

    def __init__(
        self,
        membership: Membership,
        freshness: FreshnessPort,
        configuration: ConfigurationPort,
        hybrid_clock: HybridClock,
        demand: DemandShare,
        reports: ReportLog,
        started_at: float,
        random: Random,
    ) -> None:
        self._random = random
        self._membership = membership
        self._freshness = freshness
        self._configuration = configuration
        self._hybrid_clock = hybrid_clock
        self._demand = demand
        self._reports = reports
        self._describe_until = started_at + DESCRIBE_FOR_S
        self.demand_source: Callable[[], dict[AccountId, float]] = dict
        self.platform_reachable = False
        self._round = 0
        self._hearings: list[tuple[int, float]] = []
        self._hearings_at = started_at

    def start_round(self, now: float) -> None:
        """Collect once what all messages of the next second contain."""
        self._round += 1
        self._hearings_at = now
        large = len(self._membership) > LARGE_FLEET
        hearings = self._membership.recent_hearings(now)
        # A random part, because all daemons would relay the same newest ones.
        limit = MAX_HEARINGS_LARGE if large else MAX_HEARINGS
        self._hearings = self._random.sample(hearings, min(len(hearings), limit))

    def build(self, now: float, *, answer: bool = False) -> pb.PeerState:
        """Return this daemon's state.

        Demand is in calls only: each peer makes calls of its own, and a report in both
        directions would double the traffic.
        """
        own = self._membership.own
        stamp = self._hybrid_clock.now()
        state = pb.PeerState(
            sender=own.id,
            zone=own.zone,
            incarnation=own.incarnation,
            stamp=pb.Stamp(wall_us=stamp.wall_us, counter=stamp.counter),
            revision=self._configuration.revision,
            platform_reachable=self.platform_reachable,
            leaving=own.leaving,
            confirmed=self._freshness.is_confirmed(now),
            reports=self._reports.recent(now),
        )
        age = self._freshness.reading_age(now)
        if age is not None:
            state.reading_age_ms = to_ms(age)
        if now < self._describe_until:
            state.addresses.CopyFrom(_describe(own))
        if not answer and self._round % DEMAND_EVERY_ROUNDS == 0:
            for account, tokens in largest(self.demand_source()).items():
                state.demand.add(account=account, tokens_per_s=tokens)
        for digest, age_then in self._hearings:
            heard_age = age_then + now - self._hearings_at
            state.heard_digest.append(digest)
            state.heard_age_ds.append(-int(-heard_age * 10 // 1))
        return state

    def receive(self, state: pb.PeerState, now: float) -> Member | None:
        """Take in what does not depend on the age of the message."""
        self._hybrid_clock.receive(Timestamp(state.stamp.wall_us, state.stamp.counter))
        member = self._membership.record_message(
            DaemonId(state.sender),
            ZoneId(state.zone),
            incarnation=state.incarnation,
            leaving=state.leaving,
            confirmed=state.confirmed,
            now=now,
        )
        if member is None:
            return None
        self._configuration.record_revision(member.id, state.revision)
        if state.HasField("addresses"):
            _take_addresses(member, state.addresses)
        tokens = {AccountId(d.account): d.tokens_per_s for d in state.demand}
        if tokens:
            self._demand.record(member.id, tokens, now)
        self._reports.receive(state.reports, now)
        for digest, age_ds in zip(state.heard_digest, state.heard_age_ds, strict=False):
            self._membership.record_relayed(digest, age_ds / 10, now)
        return member

    def receive_answer(self, state: pb.PeerState, sent_at: float, now: float) -> bool:
        """Take in an answer to a call sent at ``sent_at``.

        Returns
        -------
        bool
            Whether the answer carries a platform reading at a higher revision, which
            counts only after the changes up to that revision are applied.
        """
        member = self.receive(state, now)
        if member is None:
            return False
        elapsed = now - sent_at
        self._freshness.record_heard(member.id, member.zone, elapsed, now)
        for digest, age_ds in zip(state.heard_digest, state.heard_age_ds, strict=False):
            age = age_ds / 10 + elapsed
            relayed = self._membership.record_relayed(digest, age, now)
            if relayed is not None:
                self._freshness.record_heard(relayed.id, relayed.zone, age, now)
        if state.revision > self._configuration.revision:
            return True
        self.record_reading(state, sent_at, now)
        return False

    def record_reading(self, state: pb.PeerState, sent_at: float, now: float) -> None:
        """Count the answer's platform reading; its revision must be applied."""
        if state.HasField("reading_age_ms"):
            age = state.reading_age_ms / 1_000 + now - sent_at
            self._freshness.record_platform_reading(age, now)


def to_ms(seconds: float) -> int:
    """Return whole milliseconds, rounded up: an age must not shrink by relaying.

    Examples
    --------
    >>> to_ms(1.0001)
    1001
    """
    return -int(-seconds * 1_000 // 1)


def _describe(own: Member) -> pb.Addresses:
    return pb.Addresses(
        peer_address=own.peer_address,
        caller_url=own.caller_url,
        operator_url=own.operator_url,
        region=own.region or "",
    )


def _take_addresses(member: Member, addresses: pb.Addresses) -> None:
    member.peer_address = addresses.peer_address
    member.caller_url = addresses.caller_url
    member.operator_url = addresses.operator_url


__all__ = ["Exchange", "choose_peers", "to_ms"]
