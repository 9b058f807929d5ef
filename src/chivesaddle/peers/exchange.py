"""Periodic state exchange: selects peers, builds state messages and applies them."""

from collections.abc import Callable
from random import Random

from chivesaddle.core.events import HybridClock, Timestamp
from chivesaddle.core.ids import AccountId, DaemonId, ZoneId
from chivesaddle.peers.demand import PeerDemand, top_accounts
from chivesaddle.peers.membership import (
    LARGE_FLEET_SIZE,
    Member,
    Membership,
    MemberState,
)
from chivesaddle.peers.ports import ConfigurationPort, FreshnessPort
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.peers.reports import ReportLog

# The values for a large fleet are lower to stay within the traffic budget of 2 KB/s
# per daemon.
RANDOM_PEERS, RANDOM_PEERS_LARGE = 2, 1
# With 8 zone peers, each of 30 daemons sent and received 9.7 KB/s instead of 5.3 KB/s,
# while the age of the oldest last contact fell only from 1.7 s to 1.6 s.
MAX_ZONE_PEERS, MAX_ZONE_PEERS_LARGE = 2, 1
MAX_RELAYED_CONTACTS, MAX_RELAYED_CONTACTS_LARGE = 32, 16
# With rounds of 1 s, well within the 10 s for which receivers keep a demand report.
DEMAND_INTERVAL_ROUNDS = 4
# A new daemon sends its addresses until the platform's instance list, which lags by
# less than this, contains it.
SEND_ADDRESSES_FOR_S = 30.0


def choose_peers(membership: Membership, now: float, random: Random) -> list[Member]:
    """Return the peers for one exchange round.

    These are up to `MAX_ZONE_PEERS` of the own zone and `RANDOM_PEERS` other live
    peers, fewer in a large fleet, plus one peer that is not live, so that daemons
    regain contact after a network partition.
    """
    peers = membership.peers(now)
    is_large = len(peers) > LARGE_FLEET_SIZE
    zone = [peer for peer in peers if peer.zone == membership.own.zone]
    chosen = _sample(random, zone, MAX_ZONE_PEERS_LARGE if is_large else MAX_ZONE_PEERS)
    remaining = [peer for peer in peers if peer not in chosen]
    not_live = [
        p for p in remaining if membership.state_of(p.id, now) is not MemberState.LIVE
    ]
    chosen += _sample(random, not_live, 1)
    live = [peer for peer in remaining if peer not in not_live]
    return chosen + _sample(
        random, live, RANDOM_PEERS_LARGE if is_large else RANDOM_PEERS
    )


def _sample(random: Random, members: list[Member], limit: int) -> list[Member]:
    return random.sample(members, min(limit, len(members)))


class StateExchange:
    """Builds this daemon's state messages and applies those of peers.

    Only responses count for freshness. A response is newer than the request that it
    belongs to, whereas a request may have been buffered for any time while the
    receiving process was paused.
    """

    def __init__(
        self,
        membership: Membership,
        freshness: FreshnessPort,
        configuration: ConfigurationPort,
        hybrid_clock: HybridClock,
        demand: PeerDemand,
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
        self._send_addresses_until = started_at + SEND_ADDRESSES_FOR_S
        self.demand_source: Callable[[], dict[AccountId, float]] = dict
        self.platform_reachable = False
        self._round = 0
        self._relayed_contacts: list[tuple[int, float]] = []
        self._relayed_contacts_at = started_at

    def start_round(self, now: float) -> None:
        """Select the relayed contacts that all messages of this round contain."""
        self._round += 1
        self._relayed_contacts_at = now
        is_large = len(self._membership) > LARGE_FLEET_SIZE
        contacts = self._membership.recent_contacts(now)
        # Random, because otherwise all daemons would relay the same newest contacts.
        limit = MAX_RELAYED_CONTACTS_LARGE if is_large else MAX_RELAYED_CONTACTS
        self._relayed_contacts = self._random.sample(
            contacts, min(len(contacts), limit)
        )

    def build(self, now: float, *, is_response: bool = False) -> pb.PeerState:
        """Return this daemon's state message.

        Only requests contain demand: every peer sends requests of its own, and demand
        in both directions would double the traffic.
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
        age_s = self._freshness.reading_age(now)
        if age_s is not None:
            state.reading_age_ms = to_ms(age_s)
        if now < self._send_addresses_until:
            state.addresses.CopyFrom(_addresses_of(own))
        if not is_response and self._round % DEMAND_INTERVAL_ROUNDS == 0:
            for account, tokens_per_s in top_accounts(self.demand_source()).items():
                state.demand.add(account=account, tokens_per_s=tokens_per_s)
        for digest, age_at_round_start in self._relayed_contacts:
            contact_age_s = age_at_round_start + now - self._relayed_contacts_at
            state.heard_digest.append(digest)
            state.heard_age_ds.append(-int(-contact_age_s * 10 // 1))
        return state

    def receive(self, state: pb.PeerState, now: float) -> Member | None:
        """Apply the parts of a state message that do not depend on its age."""
        self._hybrid_clock.receive(Timestamp(state.stamp.wall_us, state.stamp.counter))
        member = self._membership.record_direct_contact(
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
            _update_addresses(member, state.addresses)
        demand_by_account = {AccountId(d.account): d.tokens_per_s for d in state.demand}
        if demand_by_account:
            self._demand.record(member.id, demand_by_account, now)
        self._reports.receive(state.reports, now)
        for digest, age_ds in zip(state.heard_digest, state.heard_age_ds, strict=False):
            self._membership.record_relayed_contact(digest, age_ds / 10, now)
        return member

    def receive_response(self, state: pb.PeerState, sent_at: float, now: float) -> bool:
        """Apply the response to a request sent at ``sent_at``.

        Returns
        -------
        bool
            Whether the peer has a higher configuration revision. Its platform reading
            counts only after the changes up to that revision are applied.
        """
        member = self.receive(state, now)
        if member is None:
            return False
        elapsed_s = now - sent_at
        self._freshness.record_contact(member.id, member.zone, elapsed_s, now)
        for digest, age_ds in zip(state.heard_digest, state.heard_age_ds, strict=False):
            age_s = age_ds / 10 + elapsed_s
            relayed = self._membership.record_relayed_contact(digest, age_s, now)
            if relayed is not None:
                self._freshness.record_contact(relayed.id, relayed.zone, age_s, now)
        if state.revision > self._configuration.revision:
            return True
        self.record_reading(state, sent_at, now)
        return False

    def record_reading(self, state: pb.PeerState, sent_at: float, now: float) -> None:
        """Record the response's platform reading; its revision must be in effect."""
        if state.HasField("reading_age_ms"):
            age_s = state.reading_age_ms / 1_000 + now - sent_at
            self._freshness.record_platform_reading(age_s, now)


def to_ms(seconds: float) -> int:
    """Return whole milliseconds, rounded up: an age must not shrink by relaying.

    Examples
    --------
    >>> to_ms(1.0001)
    1001
    """
    return -int(-seconds * 1_000 // 1)


def _addresses_of(own: Member) -> pb.Addresses:
    return pb.Addresses(
        peer_address=own.peer_address,
        caller_url=own.caller_url,
        operator_url=own.operator_url,
        region=own.region or "",
    )


def _update_addresses(member: Member, addresses: pb.Addresses) -> None:
    member.peer_address = addresses.peer_address
    member.caller_url = addresses.caller_url
    member.operator_url = addresses.operator_url


__all__ = ["StateExchange", "choose_peers", "to_ms"]
