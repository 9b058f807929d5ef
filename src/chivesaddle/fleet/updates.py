"""Relay of object changes from the working daemons to the rest of a large fleet.

The working daemons watch the store. Each of them sends a change to a part of the other
daemons, so that every daemon gets it from several senders at once. Small objects are in
the datagram itself; for a large one, the receiver asks the sender for it. Daemons that
watch the store in place of the working ones send each change to these.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.core.json_text import nests_at_most
from chivesaddle.core.objects import MAX_NESTING, UNREADABLE_VALUE
from chivesaddle.fleet.datagrams import MAX_DATAGRAM_BYTES, PeerDatagrams
from chivesaddle.fleet.members import Member, Members
from chivesaddle.fleet.replica import Entry, Replica
from chivesaddle.fleet.working_set import WorkingSet

# Changes within this time share datagrams.
BATCH_DELAY_S = 0.03
# Working daemons that send a change to the same daemon.
SENDERS_PER_DAEMON = 3
# Daemons that are notified of a large object ask for it at different times within this.
MAX_PULL_DELAY_S = 0.3


class Update(msgspec.Struct, array_like=True, tag="update"):
    """Changed objects of one kind.

    Attributes
    ----------
    peer : str
        Address of the sender for exchanges.
    entries : list of Entry
        The changed objects; None as the value of one that is deleted or too large.
    oversize : list of str
        Names of the objects among them that are too large for a datagram.
    """

    peer: str
    kind: str
    entries: list[Entry]
    oversize: list[str] = []


class Puller(Protocol):
    """Exchange with a peer on demand."""

    def pull_from(
        self, address: str, delay_s: float, is_needed: Callable[[], bool]
    ) -> None:
        """Exchange with the peer after a delay if that is still needed then."""


class UpdateRelay:
    """Sends changes of the replicas to daemons that do not watch the store.

    Parameters
    ----------
    clock : Clock
        Clock that delays batches.
    members : Members
        The daemons of the fleet.
    working_set : WorkingSet
        The daemons that watch the store.
    replicas_by_kind : mapping
        Replicas whose changes are sent and to which received ones are applied.
    datagrams : PeerDatagrams
        Carries the updates.
    puller : Puller
        Asks a peer for large objects.
    may_watch : callable
        Returns whether this daemon has to watch the store.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        working_set: WorkingSet,
        replicas_by_kind: Mapping[str, Replica],
        datagrams: PeerDatagrams,
        puller: Puller,
        may_watch: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._may_watch = may_watch
        self._members = members
        self._working_set = working_set
        self._replicas_by_kind = replicas_by_kind
        self._datagrams = datagrams
        self._puller = puller
        self._random = random.Random()
        self._pending: dict[str, dict[str, Entry]] = {}
        self._batch: DelayedCall | None = None
        datagrams.add_handler(Update, self.handle)
        for kind, replica in replicas_by_kind.items():
            replica.add_listener(self._recorder(kind, replica))

    def stop(self) -> None:
        """Drop changes that were not sent yet."""
        if self._batch is not None and self._batch.active():
            self._batch.cancel()

    def handle(self, update: Update) -> None:
        """Apply a peer's update."""
        replica = self._replicas_by_kind.get(update.kind)
        if replica is None:
            return
        oversize = set(update.oversize)
        replica.put_entries(
            entry
            if _is_readable(entry.value)
            else Entry(entry.name, entry.revision, UNREADABLE_VALUE)
            for entry in update.entries
            if entry.name not in oversize
        )
        offered = [entry for entry in update.entries if entry.name in oversize]

        def lacks_any() -> bool:
            return any(replica.revision_of(e.name) < e.revision for e in offered)

        if lacks_any():
            delay_s = self._random.uniform(0.0, MAX_PULL_DELAY_S)
            self._puller.pull_from(update.peer, delay_s, lacks_any)

    def _recorder(self, kind: str, replica: Replica) -> Callable[[Entry], None]:
        def record(entry: Entry) -> None:
            # The first listing is no change; the others have read it themselves.
            is_first_listing = not replica.applied_revision
            if (
                is_first_listing
                or self._working_set.is_whole_fleet
                or not self._may_watch()
            ):
                return
            self._pending.setdefault(kind, {})[entry.name] = entry
            if self._batch is None or not self._batch.active():
                self._batch = self._clock.callLater(BATCH_DELAY_S, self._send_batch)

        return record

    def _send_batch(self) -> None:
        receivers = self._receivers()
        pending, self._pending = self._pending, {}
        for kind, entries_by_name in pending.items():
            for update in self._pack(kind, list(entries_by_name.values())):
                self._datagrams.send(update, receivers)

    def _pack(self, kind: str, entries: list[Entry]) -> list[Update]:
        """Distribute entries over updates that each fit into one datagram."""
        own = self._members.own.peers
        updates: list[Update] = []
        used_bytes = MAX_DATAGRAM_BYTES
        for entry in entries:
            size = _encoded_size(entry)
            oversize = []
            if size is None or size > MAX_DATAGRAM_BYTES // 2:
                oversize = [entry.name]
                entry = Entry(entry.name, entry.revision)
                size = 2 * len(msgspec.msgpack.encode(entry))
            if size > MAX_DATAGRAM_BYTES // 2:
                # Its name alone is too long; exchanges bring it.
                continue
            if used_bytes + size > MAX_DATAGRAM_BYTES - len(own) - len(kind) - 32:
                updates.append(Update(own, kind, [], []))
                used_bytes = 0
            updates[-1].entries.append(entry)
            updates[-1].oversize.extend(oversize)
            used_bytes += size
        return updates

    def _receivers(self) -> list[Member]:
        """Return the daemons to which this one sends changes."""
        working = [member.id for member in self._working_set.daemons()]
        if self._members.own.id not in working:
            return self._working_set.peers()
        rank = working.index(self._members.own.id)
        others = sorted(
            (m for m in self._members.peers() if m.id not in set(working)),
            key=lambda member: member.id,
        )
        return [
            member
            for position, member in enumerate(others)
            if (position - rank) % len(working) < SENDERS_PER_DAEMON
        ]


def _encoded_size(entry: Entry) -> int | None:
    """Return the bytes of an entry in a datagram, None if it fits into none.

    Numbers over 64 bits exist in JSON only.
    """
    try:
        return len(msgspec.msgpack.encode(entry))
    except (OverflowError, RecursionError, ValueError):
        return None


def _is_readable(value: Any) -> bool:
    """Return whether a value of a peer is nested no deeper than any document."""
    try:
        return nests_at_most(msgspec.json.encode(value), MAX_NESTING)
    except (RecursionError, ValueError):
        return False


__all__ = ["Update", "UpdateRelay"]
