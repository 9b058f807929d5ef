"""Schedules transfers over the links to the stores' tiers.

A link carries at most bandwidth x 50 ms of bytes at a time. More would only lengthen
the queue inside the network, where an interactive transfer cannot overtake.
"""

from collections import deque
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import StoreId

WINDOW_S = 0.05
MAX_WAITING = 256
# Assumed until a store reports its bandwidth or a transfer was measured.
DEFAULT_BYTES_PER_S = 1e9
MIN_BYTES_PER_S = 1e4
# Shorter measurements are dominated by the granularity of the timers.
MIN_SAMPLE_S = 0.005
# An estimate without new measurements doubles in this time, up to the reported
# bandwidth: a link that was slow once is tried again although recomputing is cheaper.
FORGET_S = 10.0


class LinkBusy(ChivesaddleError):
    """Too many transfers wait for the link."""

    code = "link_busy"
    status = 503


@dataclass(frozen=True, slots=True)
class LinkId:
    """The link to one tier of one store."""

    store_id: StoreId
    tier: str


@dataclass(slots=True)
class Transfer:
    """Bytes in flight on a link; pass to `LinkScheduler.release`."""

    link: LinkId
    length: int
    started_at: float
    moved_before: int
    released: bool = False


@dataclass(slots=True)
class _Waiter:
    length: int
    granted: "Deferred[None]"


@dataclass(slots=True)
class _Link:
    reported: float = DEFAULT_BYTES_PER_S
    measured: float | None = None
    measured_at: float = 0.0
    in_flight: int = 0
    moved: int = 0
    waiting: dict[bool, deque[_Waiter]] = field(
        default_factory=lambda: {True: deque(), False: deque()}
    )

    def queued_bytes(self, interactive: bool) -> int:
        ahead = sum(waiter.length for waiter in self.waiting[True])
        if not interactive:
            ahead += sum(waiter.length for waiter in self.waiting[False])
        return ahead


class LinkScheduler:
    """Bytes in flight and measured bandwidth of every link.

    Interactive transfers go before batch ones. One transfer larger than the bound is
    let through on an idle link. Holds one entry per link of the current stores and at
    most 256 waiting transfers for each.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._links: dict[LinkId, _Link] = {}

    def report(self, link_id: LinkId, bytes_per_s: float) -> None:
        """Take over the bandwidth that a store reported."""
        self._link(link_id).reported = max(MIN_BYTES_PER_S, bytes_per_s)

    def retain(self, store_ids: set[StoreId]) -> None:
        """Forget idle links of stores that are no longer configured."""
        for link_id, link in list(self._links.items()):
            idle = not (link.in_flight or link.waiting[True] or link.waiting[False])
            if idle and link_id.store_id not in store_ids:
                del self._links[link_id]

    def bandwidth(self, link_id: LinkId) -> float:
        """Return the estimated bandwidth in bytes/s."""
        link = self._link(link_id)
        if link.measured is None:
            return link.reported
        age = max(0.0, self._clock.seconds() - link.measured_at)
        doubled = link.measured * 2.0 ** min(age / FORGET_S, 60.0)
        return max(MIN_BYTES_PER_S, min(doubled, max(link.reported, link.measured)))

    def window_bytes(self, link_id: LinkId) -> int:
        """Return the bound of the bytes in flight."""
        return int(self.bandwidth(link_id) * WINDOW_S)

    def wait_s(self, link_id: LinkId, *, interactive: bool) -> float:
        """Return the predicted seconds until a new transfer starts."""
        link = self._link(link_id)
        ahead = link.in_flight + link.queued_bytes(interactive)
        return ahead / self.bandwidth(link_id)

    def utilisation(self, link_id: LinkId) -> float:
        """Return the part of the bound that is in flight or waits, 0 to 1."""
        link = self._link(link_id)
        ahead = link.in_flight + link.queued_bytes(False)
        return min(1.0, ahead / max(1, self.window_bytes(link_id)))

    def in_flight(self, link_id: LinkId) -> int:
        """Return the bytes in flight."""
        return self._link(link_id).in_flight

    async def acquire(
        self, link_id: LinkId, length: int, *, interactive: bool, deadline: float
    ) -> Transfer:
        """Wait until ``length`` bytes may be transferred.

        Raises
        ------
        LinkBusy
            If too many transfers wait.
        DeadlineExceeded
            If the turn did not come before ``deadline``.
        """
        link = self._link(link_id)
        queue = link.waiting[interactive]
        if len(queue) >= MAX_WAITING:
            raise LinkBusy(f"{len(queue)} transfers wait for {link_id}")

        def give_up(_: "Deferred[None]") -> None:
            queue.remove(waiter)
            self._pump(link_id)

        waiter = _Waiter(length, Deferred(give_up))
        queue.append(waiter)
        self._pump(link_id)
        await with_deadline(
            self._clock, deadline, waiter.granted, f"wait for {link_id}"
        )
        return Transfer(link_id, length, self._clock.seconds(), link.moved)

    def release(
        self, transfer: Transfer, *, moved: int | None, timed_out: bool = False
    ) -> None:
        """End a transfer of which ``moved`` bytes arrived; None if unknown.

        A transfer that timed out lowers the estimate, one that failed otherwise says
        nothing about the bandwidth.
        """
        if transfer.released:
            return
        transfer.released = True
        link, now = self._link(transfer.link), self._clock.seconds()
        link.in_flight -= transfer.length
        link.moved += moved or 0
        if moved is not None or timed_out:
            self._measure(transfer, link, now)
        self._pump(transfer.link)

    def _measure(self, transfer: Transfer, link: _Link, now: float) -> None:
        """Update the estimate from the bytes that arrived during a transfer.

        A transfer that took no longer than the window says nothing against the
        estimate: a small one is dominated by latency, and counting it would shrink the
        window, hence the next transfers, ever further.
        """
        elapsed, before = now - transfer.started_at, self.bandwidth(transfer.link)
        if elapsed < MIN_SAMPLE_S:
            return
        sample = (link.moved - transfer.moved_before) / elapsed
        if sample < before and elapsed <= WINDOW_S:
            return
        # Weight 1/2: a link that slows down is believed after a few transfers.
        link.measured = max(MIN_BYTES_PER_S, (before + sample) / 2)
        link.measured_at = now

    def _pump(self, link_id: LinkId) -> None:
        link = self._link(link_id)
        bound = self.window_bytes(link_id)
        while link.waiting[True] or link.waiting[False]:
            queue = link.waiting[True] or link.waiting[False]
            if link.in_flight and link.in_flight + queue[0].length > bound:
                return
            waiter = queue.popleft()
            link.in_flight += waiter.length
            waiter.granted.callback(None)

    def _link(self, link_id: LinkId) -> _Link:
        link = self._links.get(link_id)
        if link is None:
            link = self._links[link_id] = _Link()
        return link


__all__ = ["LinkBusy", "LinkId", "LinkScheduler", "Transfer"]
