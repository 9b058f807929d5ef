"""Periodic exchange with random peers: liveness, missing documents, load of servers.

Watches on the store are the usual way of a change. The exchange covers a daemon that
the store turns away or whose watch has gone silent: it obtains a change from a random
peer within about one interval.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import msgspec
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.logs import PartLogger
from chivesaddle.fleet.channels import PeerCaller, PeerUnreachable
from chivesaddle.fleet.members import Members
from chivesaddle.fleet.replica import Entry, Replica
from chivesaddle.fleet.watching import StoreContact

INTERVAL_S = 0.7
# Without the store, peers are the only source of changes, which are due within 2 s.
INTERVAL_WITHOUT_STORE_S = 0.25
CALL_S = 0.5
# A peer that did not answer is passed over for this long.
AVOID_S = 3.0
# Ages sent per message; the freshest first.
MAX_HEARD = 24
# Attempts in one round until a peer answers.
ATTEMPTS_PER_ROUND = 3

log = PartLogger("exchange")


class ExchangeMessage(msgspec.Struct):
    """Both directions of an exchange.

    Attributes
    ----------
    heard : mapping
        Incarnation, age in ms and leaving state by daemon.
    through : mapping
        Revision up to which the sender knows all changes, by kind.
    entries : mapping
        Objects that the receiver lacks, by kind.
    hints : mapping
        Observations of the sender's slices, by name; each slice reads its own.
    """

    daemon: str
    incarnation: str
    is_leaving: bool
    heard: dict[str, tuple[str, int, bool]]
    through: dict[str, int]
    entries: dict[str, list[Entry]]
    hints: dict[str, Any]


class HintSource(Protocol):
    """What a slice tells peers and learns from them."""

    def collect(self) -> Any:
        """Return the observations to send, in JSON types."""

    def learn(self, hint: Any) -> None:
        """Take over a peer's observations."""


class Exchange:
    """Exchanges with one random peer after the other.

    Parameters
    ----------
    clock : Clock
        Clock of intervals and deadlines.
    members : Members
        The daemons and their liveness.
    replicas : sequence of Replica
        Copies that are completed from peers.
    contact : StoreContact
        Whether this daemon reaches the store.
    caller : PeerCaller
        Makes the calls.
    seeds : sequence of str
        Addresses to ask while no daemon is known.
    hints_by_name : mapping
        Slices that exchange observations.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        replicas: Sequence[Replica],
        contact: StoreContact,
        caller: PeerCaller,
        seeds: Sequence[str],
        hints_by_name: Mapping[str, HintSource],
    ) -> None:
        self._clock = clock
        self._members = members
        self._replicas_by_kind = {replica.kind: replica for replica in replicas}
        self._contact = contact
        self._caller = caller
        self._seeds = [seed for seed in seeds if seed != members.own.peers]
        self._hints_by_name = hints_by_name
        self._random = random.Random()
        self._through_by_address: dict[str, dict[str, int]] = {}
        self._avoid_until: dict[str, float] = {}
        self._loop: Deferred[None] | None = None
        self.is_leaving = False

    def start(self) -> None:
        """Start to exchange."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, "exchange ended"))

    def stop(self) -> None:
        """Stop exchanging."""
        if self._loop is not None:
            self._loop.cancel()
        self._caller.close()

    def handle(self, message: ExchangeMessage) -> ExchangeMessage:
        """Answer a peer."""
        self._learn(message)
        return self._message(message.through)

    async def announce_leaving(self) -> None:
        """Tell a few peers at once that this daemon takes no more callers."""
        self.is_leaving = True
        for _ in range(2):
            await self._round()

    async def _run(self) -> None:
        while True:
            await self._round()
            lost = self._contact.lost_since is not None
            interval = INTERVAL_WITHOUT_STORE_S if lost else INTERVAL_S
            pause = interval * self._random.uniform(0.7, 1.3)
            await sleep_until(self._clock, self._clock.seconds() + pause)

    async def _round(self) -> None:
        for address in self._candidates()[:ATTEMPTS_PER_ROUND]:
            through = self._through_by_address.get(address)
            # The first message sends no documents; the answer tells what is lacking.
            message = self._message(through)
            deadline = self._clock.seconds() + CALL_S
            try:
                answer = await self._caller.call(address, message, deadline)
            except PeerUnreachable as error:
                self._through_by_address.pop(address, None)
                if address not in self._avoid_until:
                    log.info("peer lost", extra={"peer": address, "cause": str(error)})
                self._avoid_until[address] = self._clock.seconds() + AVOID_S
                continue
            if self._avoid_until.pop(address, None) is not None:
                log.info("peer regained", extra={"peer": address})
            self._through_by_address[address] = answer.through
            self._learn(answer)
            return

    def _candidates(self) -> list[str]:
        now = self._clock.seconds()
        known = [member.peers for member in self._members.peers()]
        addresses = known or list(self._seeds)
        self._random.shuffle(addresses)
        # Avoided peers come last, so that a daemon cut off from all keeps trying.
        addresses.sort(key=lambda address: self._avoid_until.get(address, 0.0) > now)
        if known:
            self._caller.keep_only(set(known) | set(self._seeds))
        return addresses

    def _message(self, peer_through: Mapping[str, int] | None) -> ExchangeMessage:
        entries = {}
        if peer_through is not None:
            for kind, replica in self._replicas_by_kind.items():
                newer = replica.newer_than(peer_through.get(kind, 0))
                if newer:
                    entries[kind] = newer
        heard = self._members.heard_ages()
        freshest = sorted(heard, key=lambda daemon: heard[daemon][1])[:MAX_HEARD]
        return ExchangeMessage(
            daemon=self._members.own.id,
            incarnation=self._members.own.incarnation,
            is_leaving=self.is_leaving,
            heard={daemon: heard[daemon] for daemon in freshest},
            through={kind: r.through for kind, r in self._replicas_by_kind.items()},
            entries=entries,
            hints={name: s.collect() for name, s in self._hints_by_name.items()},
        )

    def _learn(self, message: ExchangeMessage) -> None:
        members = self._members
        members.record_heard(
            message.daemon, message.incarnation, 0.0, message.is_leaving
        )
        for daemon, (incarnation, age_ms, is_leaving) in message.heard.items():
            if daemon != members.own.id:
                members.record_heard(daemon, incarnation, age_ms / 1_000, is_leaving)
        for kind, entries in message.entries.items():
            replica = self._replicas_by_kind.get(kind)
            if replica is not None:
                replica.merge(message.through.get(kind, 0), entries)
        for name, hint in message.hints.items():
            source = self._hints_by_name.get(name)
            if source is not None:
                source.learn(hint)


__all__ = ["Exchange", "ExchangeMessage", "HintSource"]
