"""Gossip with random peers: liveness, missing documents and backend server load.

Changes normally arrive through watches on the store. The exchange with peers covers a
daemon that cannot reach the store or whose watch receives nothing: it obtains a change
from a random peer within about one interval.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.json_text import nests_at_most, split_array, split_object
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import MAX_NESTING, UNREADABLE_VALUE
from chivesaddle.fleet.members import Members
from chivesaddle.fleet.replica import Entry, Replica
from chivesaddle.fleet.rpc import PeerClient, PeerUnreachable
from chivesaddle.fleet.watcher import StoreReachability
from chivesaddle.fleet.working_set import WorkingSet

INTERVAL_S = 0.7
# While the store is unreachable, peers are the only source of changes, and each change
# must reach every daemon within 2 s.
INTERVAL_WITHOUT_STORE_S = 0.25
# Interval of a daemon without callers, which gets changes by datagram and learns here
# only what was lost.
IDLE_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 0.5
# An exchange that brings a known change is given up later. On a link whose packets wait
# for longer than `CALL_TIMEOUT_S`, each attempt would end before its response, and the
# next one would begin with a new connection.
PULL_TIMEOUT_S = 2.0
# A peer that did not answer is tried only after all others for this long.
PEER_BACKOFF_S = 3.0
# Daemons in the liveness map of one message; the most recently seen are kept.
MAX_LIVENESS_ENTRIES = 24
# Share of the rounds in which a daemon without callers prefers peers of its own zone:
# traffic between zones is billed.
OWN_ZONE_SHARE = 0.75
# Peers that are tried in one round until one answers.
ATTEMPTS_PER_ROUND = 3

log = ComponentLogger("exchange")


class ExchangeMessage(msgspec.Struct):
    """Request and response of an exchange.

    Attributes
    ----------
    heard : mapping
        By daemon: its incarnation, milliseconds since it was last seen running, and
        whether it is leaving.
    through : mapping
        Revision up to which the sender has applied all changes, by kind.
    entries : mapping
        Objects that the receiver lacks, by kind.
    hints : mapping
        Observations of the sender's components, by hint source name.
    versions : mapping
        Versions of the sender's documents by kind and name, for kinds that have them.
    after : mapping
        Revision, by kind, above which the entries are complete: that of the receiver's
        latest message. The receiver may have started again since.
    """

    daemon: str
    incarnation: str
    is_leaving: bool
    heard: dict[str, tuple[str, int, bool]]
    through: dict[str, int]
    entries: dict[str, list[Entry]]
    hints: dict[str, Any]
    versions: dict[str, dict[str, int]] = {}
    after: dict[str, int] = {}

    @classmethod
    def decode(cls, data: bytes) -> "ExchangeMessage":
        """Decode a message; an object in it that is unreadable keeps its name.

        Raises ``ValueError`` if the rest of the message is unreadable.
        """
        try:
            if nests_at_most(data, MAX_NESTING):
                return msgspec.json.decode(data, type=cls)
        except (ValueError, RecursionError):
            pass
        members = split_object(data)
        lists = split_object(members.pop("entries", b"{}"))
        others = {key: msgspec.Raw(text) for key, text in members.items()}
        message = msgspec.json.decode(
            msgspec.json.encode({**others, "entries": {}}), type=cls
        )
        for kind, text in lists.items():
            decoded = map(_decode_entry, split_array(text))
            message.entries[kind] = [entry for entry in decoded if entry is not None]
        return message


def _decode_entry(text: bytes) -> Entry | None:
    """Decode an object that a peer sent; None if its name or revision is unreadable."""
    try:
        if nests_at_most(text, MAX_NESTING):
            return msgspec.json.decode(text, type=Entry)
    except (ValueError, RecursionError):
        pass
    try:
        name_text, revision_text = split_array(text)[:2]
        name = msgspec.json.decode(name_text, type=str)
        revision = msgspec.json.decode(revision_text, type=int)
    except (ValueError, RecursionError) as error:
        log.warning("unreadable object of a peer", extra={"cause": str(error)[:200]})
        return None
    log.warning("unreadable object of a peer", extra={"object": name[:200]})
    return Entry(name, revision, UNREADABLE_VALUE)


class HintSource(Protocol):
    """Component that exchanges observations with its counterpart on each peer."""

    def collect(self) -> Any:
        """Return the observations to send, as values that JSON can represent."""

    def apply_remote(self, hint: Any) -> None:
        """Apply a peer's observations."""


class GossipExchange:
    """Exchanges messages with one random peer per interval.

    Parameters
    ----------
    clock : Clock
        Clock of intervals and deadlines.
    members : Members
        Registered daemons and their liveness.
    working_set : WorkingSet
        The daemons whose state is newest.
    replicas : sequence of Replica
        Replicas that receive missing objects from peers.
    reachability : StoreReachability
        Whether this daemon reaches the store.
    client : PeerClient
        Client for calls to peers.
    seeds : sequence of str
        Peer addresses to call while no other daemon is known.
    hints_by_name : mapping
        Sources of the hints to send and receivers of those from peers.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        working_set: WorkingSet,
        replicas: Sequence[Replica],
        reachability: StoreReachability,
        client: PeerClient,
        seeds: Sequence[str],
        hints_by_name: Mapping[str, HintSource],
    ) -> None:
        self._clock = clock
        self._members = members
        self._working_set = working_set
        self._replicas_by_kind = {replica.kind: replica for replica in replicas}
        self._reachability = reachability
        self._client = client
        self._seeds = [seed for seed in seeds if seed != members.own.peers]
        self._hints_by_name = hints_by_name
        self._random = random.Random()
        self._answers_by_address: dict[str, ExchangeMessage] = {}
        self._backoff_until: dict[str, float] = {}
        self._loop: Deferred[None] | None = None
        self._pulls_by_address: dict[str, Deferred[None]] = {}
        # Whether each of the objects for which a pull is planned is still missing.
        self._needs_by_address: dict[str, list[Callable[[], bool]]] = {}

    def start(self) -> None:
        """Start exchanging messages."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "exchange ended"))

    def stop(self) -> None:
        """Stop exchanging messages and close the channels."""
        if self._loop is not None:
            self._loop.cancel()
        for pull in list(self._pulls_by_address.values()):
            pull.cancel()
        self._client.close()

    def handle(self, message: ExchangeMessage) -> ExchangeMessage:
        """Apply a peer's message and return the response."""
        self._apply_message(message)
        return self._build_message(message)

    async def announce_leaving(self) -> None:
        """Notify up to two peers without delay that this daemon accepts no callers."""
        self._members.is_leaving = True
        for _ in range(2):
            await self._exchange_once()

    def pull_from(
        self,
        address: str,
        delay_s: float,
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        """Exchange with one peer after a delay, unless that is not needed any more.

        Several peers may offer the same object; the first exchange brings it.
        """
        needs = self._needs_by_address.setdefault(address, [])
        needs.append(is_needed)
        if address in self._pulls_by_address:
            return

        async def pull() -> None:
            await sleep_until(self._clock, self._clock.seconds() + delay_s)
            if not any(is_needed() for is_needed in needs):
                return
            if not await self._exchange_with(address, PULL_TIMEOUT_S):
                # Any other peer may have the same objects.
                await self._exchange_once()

        def finish(result: Any) -> None:
            del self._pulls_by_address[address]
            del self._needs_by_address[address]

        pulling = self._pulls_by_address[address] = start(pull())
        pulling.addErrback(log_failure(log, f"exchange with {address} failed"))
        pulling.addBoth(finish)

    async def _run(self) -> None:
        while True:
            try:
                await self._exchange_once()
            except CancelledError:
                raise
            except Exception as error:
                log.error("exchange failed", exc_info=error)
            pause = self._interval_s() * self._random.uniform(0.7, 1.3)
            await sleep_until(self._clock, self._clock.seconds() + pause)

    def _interval_s(self) -> float:
        if not self._working_set.includes_own:
            return IDLE_INTERVAL_S
        is_store_lost = self._reachability.unreachable_since is not None
        return INTERVAL_WITHOUT_STORE_S if is_store_lost else INTERVAL_S

    async def _exchange_once(self) -> None:
        for address in self._peer_candidates()[:ATTEMPTS_PER_ROUND]:
            if await self._exchange_with(address):
                return

    async def _exchange_with(
        self, address: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> bool:
        """Exchange messages with a peer; return whether it answered."""
        # The first message to a peer contains no objects; the response contains
        # the revisions that the peer has applied.
        message = self._build_message(self._answers_by_address.get(address))
        deadline = self._clock.seconds() + timeout_s
        try:
            answer = await self._client.call(address, message, deadline)
        except PeerUnreachable as error:
            self._answers_by_address.pop(address, None)
            if address not in self._backoff_until:
                log.info("peer lost", extra={"peer": address, "cause": str(error)})
            self._backoff_until[address] = self._clock.seconds() + PEER_BACKOFF_S
            return False
        if self._backoff_until.pop(address, None) is not None:
            log.info("peer regained", extra={"peer": address})
        self._apply_message(answer)
        # Only what the peer has is needed for the next message to it.
        answer.entries, answer.hints, answer.heard = {}, {}, {}
        self._answers_by_address[address] = answer
        return True

    def _peer_candidates(self) -> list[str]:
        now = self._clock.seconds()
        peer_addresses = [member.peers for member in self._members.peers()]
        addresses = peer_addresses or list(self._seeds)
        self._random.shuffle(addresses)
        if not self._working_set.is_whole_fleet and self._random.random() < 0.5:
            # The working daemons have the newest state, but the others must hear of
            # each other as well.
            working = {member.peers for member in self._working_set.daemons()}
            addresses.sort(key=lambda address: address not in working)
        if (
            not self._working_set.includes_own
            and self._random.random() < OWN_ZONE_SHARE
        ):
            in_zone = self._members.addresses_in_own_zone()
            addresses.sort(key=lambda address: address not in in_zone)
        # Peers in backoff come last rather than being left out, so that a daemon that
        # reached no peer keeps trying.
        addresses.sort(key=lambda address: self._backoff_until.get(address, 0.0) > now)
        if peer_addresses:
            self._client.keep_only(set(peer_addresses) | set(self._seeds))
        return addresses

    def _build_message(self, latest: ExchangeMessage | None) -> ExchangeMessage:
        """Return a message with what the peer lacked at its latest message."""
        entries = {}
        after = {} if latest is None else latest.through
        if latest is not None:
            for kind, replica in self._replicas_by_kind.items():
                newer = replica.entries_after(
                    latest.through.get(kind, 0), latest.versions.get(kind)
                )
                if newer:
                    entries[kind] = newer
        ages = self._members.last_seen_ages()
        newest = sorted(ages, key=lambda daemon: ages[daemon][1])[:MAX_LIVENESS_ENTRIES]
        return ExchangeMessage(
            daemon=self._members.own.id,
            incarnation=self._members.own.incarnation,
            is_leaving=self._members.is_leaving,
            heard={daemon: ages[daemon] for daemon in newest},
            through={
                kind: r.applied_revision for kind, r in self._replicas_by_kind.items()
            },
            entries=entries,
            hints={name: s.collect() for name, s in self._hints_by_name.items()},
            versions={
                kind: versions
                for kind, replica in self._replicas_by_kind.items()
                if (versions := replica.document_versions())
            },
            after={kind: after.get(kind, 0) for kind in entries},
        )

    def _apply_message(self, message: ExchangeMessage) -> None:
        members = self._members
        members.record_seen(
            message.daemon, message.incarnation, 0.0, message.is_leaving
        )
        for daemon, (incarnation, age_ms, is_leaving) in message.heard.items():
            if daemon != members.own.id:
                members.record_seen(daemon, incarnation, age_ms / 1_000, is_leaving)
        for kind, entries in message.entries.items():
            replica = self._replicas_by_kind.get(kind)
            if replica is None:
                continue
            # Builds without `after` do not tell.
            if message.after.get(kind, 0) <= replica.applied_revision:
                replica.merge(message.through.get(kind, 0), entries)
            else:
                replica.put_entries(entries)
        for name, hint in message.hints.items():
            source = self._hints_by_name.get(name)
            if source is None:
                continue
            try:
                source.apply_remote(hint)
            except Exception as error:
                # What else the peer sent must still be applied.
                log.error(
                    "hint not applied",
                    extra={"peer": message.daemon, "hint": name},
                    exc_info=error,
                )


__all__ = ["ExchangeMessage", "GossipExchange", "HintSource"]
