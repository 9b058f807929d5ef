"""Datagrams with observations that the other daemons need at once.

A datagram may be lost. Crashes and limits are exchanged again by `GossipExchange`;
origins of streams are asked for.
"""

from collections.abc import Callable, Sequence
from typing import Generic, Protocol, TypeVar

import msgspec

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.fleet.datagrams import MAX_DATAGRAM_BYTES, PeerDatagrams
from chivesaddle.fleet.members import Member
from chivesaddle.fleet.working_set import WorkingSet

# Observations within this time share a datagram: a crashed server breaks the
# connections of several requests at once.
BATCH_DELAY_S = 0.01
# Bytes of a datagram besides the encoded items.
ENVELOPE_BYTES = 32

T = TypeVar("T")


class Notice(Protocol[T]):
    """Message that carries observations."""

    @property
    def items(self) -> list[T]:
        """The observations."""


class NoticeSender(Generic[T]):
    """Sends observations of one type to the daemons that take callers.

    Parameters
    ----------
    clock : Clock
        Clock that delays batches.
    working_set : WorkingSet
        The daemons that take callers.
    datagrams : PeerDatagrams
        Carries the notices.
    notice_type : type
        Struct whose only field is ``items``, a list of structs.
    apply : callable
        Applies the observations of a peer.
    choose_receivers : callable or None
        Chooses, of the daemons that take callers, those that get an observation; None
        for all.
    """

    def __init__(
        self,
        clock: Clock,
        working_set: WorkingSet,
        datagrams: PeerDatagrams,
        notice_type: type[msgspec.Struct],
        apply: Callable[[list[T]], None],
        choose_receivers: Callable[[T, Sequence[Member]], Sequence[Member]]
        | None = None,
    ) -> None:
        self._clock = clock
        self._working_set = working_set
        self._datagrams = datagrams
        self._notice_type = notice_type
        self._choose_receivers = choose_receivers
        self._pending: list[T] = []
        self._batch: DelayedCall | None = None

        def handle(notice: Notice[T]) -> None:
            apply(notice.items)

        datagrams.add_handler(notice_type, handle)

    def send(self, items: list[T]) -> None:
        """Send observations to the other daemons shortly."""
        self._pending += items
        if self._batch is None or not self._batch.active():
            self._batch = self._clock.callLater(BATCH_DELAY_S, self._send_batch)

    def stop(self) -> None:
        """Drop what was not sent yet."""
        if self._batch is not None and self._batch.active():
            self._batch.cancel()

    def _send_batch(self) -> None:
        pending, self._pending = self._pending, []
        peers = self._working_set.peers()
        if self._choose_receivers is None:
            self._send_items(pending, peers)
            return
        items_by_receiver: dict[str, list[T]] = {}
        for item in pending:
            for member in self._choose_receivers(item, peers):
                items_by_receiver.setdefault(member.id, []).append(item)
        for member in peers:
            self._send_items(items_by_receiver.get(member.id, []), [member])

    def _send_items(self, items: Sequence[T], receivers: Sequence[Member]) -> None:
        batch: list[T] = []
        used_bytes = ENVELOPE_BYTES
        for item in items:
            size = len(msgspec.msgpack.encode(item))
            if batch and used_bytes + size > MAX_DATAGRAM_BYTES:
                self._datagrams.send(self._notice_type(batch), receivers)
                batch, used_bytes = [], ENVELOPE_BYTES
            batch.append(item)
            used_bytes += size
        if batch:
            self._datagrams.send(self._notice_type(batch), receivers)


__all__ = ["NoticeSender"]
