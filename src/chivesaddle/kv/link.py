"""Schedules transfers over the links to the stores' tiers.

The bytes in flight on a link are limited to a window of bandwidth x 50 ms. More would
only lengthen the queue inside the network, where an interactive transfer cannot be
moved ahead of batch transfers.
"""

from collections import deque
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import StoreId

WINDOW_S = 0.05
MAX_WAITING_TRANSFERS = 256
# Assumed until the store reports its bandwidth or a transfer has been measured.
DEFAULT_BYTES_PER_S = 1e9
MIN_BYTES_PER_S = 1e4
# Timer granularity dominates the measurement of a shorter transfer.
MIN_SAMPLE_S = 0.005
# Without new measurements the estimate doubles in this time, up to the reported
# bandwidth. While the estimate is low, recomputing seems cheaper and the link isn't
# used, so it would otherwise never be measured again.
ESTIMATE_DOUBLING_S = 10.0


class LinkBusy(ChivesaddleError):
    """Too many transfers are queued for the link."""

    code = "link_busy"
    status = 503


@dataclass(frozen=True, slots=True)
class LinkId:
    """The link to one tier of one store."""

    store_id: StoreId
    tier: str


@dataclass(slots=True)
class Transfer:
    """A transfer in flight on a link; ended by `LinkScheduler.release`."""

    link: LinkId
    length: int
    started_at: float
    link_moved_bytes_at_start: int
    released: bool = False


@dataclass(slots=True)
class _Waiter:
    length: int
    granted: "Deferred[None]"


@dataclass(slots=True)
class _Link:
    reported_bytes_per_s: float = DEFAULT_BYTES_PER_S
    measured_bytes_per_s: float | None = None
    measured_at: float = 0.0
    in_flight: int = 0
    moved_bytes: int = 0
    # By whether the transfers are interactive.
    waiting: dict[bool, deque[_Waiter]] = field(
        default_factory=lambda: {True: deque(), False: deque()}
    )

    def queued_bytes(self, interactive: bool) -> int:
        ahead_bytes = sum(waiter.length for waiter in self.waiting[True])
        if not interactive:
            ahead_bytes += sum(waiter.length for waiter in self.waiting[False])
        return ahead_bytes


class LinkScheduler:
    """Limits the bytes in flight on each link and estimates its bandwidth.

    Interactive transfers have priority over batch transfers. A transfer larger than the
    window may start on an idle link. Memory holds one entry for each link of the
    configured stores, with at most 256 interactive and 256 batch transfers waiting.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._links: dict[LinkId, _Link] = {}

    def set_reported_bandwidth(self, link_id: LinkId, bytes_per_s: float) -> None:
        """Set the bandwidth that a store reported."""
        self._link(link_id).reported_bytes_per_s = max(MIN_BYTES_PER_S, bytes_per_s)

    def retain(self, store_ids: set[StoreId]) -> None:
        """Remove idle links of stores that are not in ``store_ids``."""
        for link_id, link in list(self._links.items()):
            idle = not (link.in_flight or link.waiting[True] or link.waiting[False])
            if idle and link_id.store_id not in store_ids:
                del self._links[link_id]

    def bandwidth(self, link_id: LinkId) -> float:
        """Return the estimated bandwidth in bytes/s."""
        link = self._link(link_id)
        if link.measured_bytes_per_s is None:
            return link.reported_bytes_per_s
        age_s = max(0.0, self._clock.seconds() - link.measured_at)
        doubled = link.measured_bytes_per_s * 2.0 ** min(
            age_s / ESTIMATE_DOUBLING_S, 60.0
        )
        return max(
            MIN_BYTES_PER_S,
            min(doubled, max(link.reported_bytes_per_s, link.measured_bytes_per_s)),
        )

    def window_bytes(self, link_id: LinkId) -> int:
        """Return the limit of the bytes in flight."""
        return int(self.bandwidth(link_id) * WINDOW_S)

    def wait_s(self, link_id: LinkId, *, interactive: bool) -> float:
        """Return the predicted seconds until a new transfer starts."""
        link = self._link(link_id)
        ahead_bytes = link.in_flight + link.queued_bytes(interactive)
        return ahead_bytes / self.bandwidth(link_id)

    def utilisation(self, link_id: LinkId) -> float:
        """Return the fraction of the window that is in flight or queued, 0 to 1."""
        link = self._link(link_id)
        ahead_bytes = link.in_flight + link.queued_bytes(False)
        return min(1.0, ahead_bytes / max(1, self.window_bytes(link_id)))

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
            If too many transfers are queued.
        DeadlineExceeded
            If the transfer could not start before ``deadline``.
        """
        link = self._link(link_id)
        queue = link.waiting[interactive]
        if len(queue) >= MAX_WAITING_TRANSFERS:
            raise LinkBusy(f"{len(queue)} transfers wait for {link_id}")

        def cancel_wait(_: "Deferred[None]") -> None:
            queue.remove(waiter)
            self._grant_waiting(link_id)

        waiter = _Waiter(length, Deferred(cancel_wait))
        queue.append(waiter)
        self._grant_waiting(link_id)
        await with_deadline(
            self._clock, deadline, waiter.granted, f"wait for {link_id}"
        )
        return Transfer(link_id, length, self._clock.seconds(), link.moved_bytes)

    def release(
        self, transfer: Transfer, *, moved_bytes: int | None, timed_out: bool = False
    ) -> None:
        """End a transfer of which ``moved_bytes`` arrived; None if unknown.

        A timeout lowers the bandwidth estimate; any other failure leaves it unchanged.
        """
        if transfer.released:
            return
        transfer.released = True
        link, now = self._link(transfer.link), self._clock.seconds()
        link.in_flight -= transfer.length
        link.moved_bytes += moved_bytes or 0
        if moved_bytes is not None or timed_out:
            self._update_estimate(transfer, link, now)
        self._grant_waiting(transfer.link)

    def _update_estimate(self, transfer: Transfer, link: _Link, now: float) -> None:
        """Update the estimate from the bytes that the link moved during a transfer.

        A transfer that took at most ``WINDOW_S`` cannot lower the estimate. The time of
        a small transfer is mostly latency; counting it would shrink the window, and
        with it the next transfers, repeatedly.
        """
        elapsed_s, estimate = now - transfer.started_at, self.bandwidth(transfer.link)
        if elapsed_s < MIN_SAMPLE_S:
            return
        sample = (link.moved_bytes - transfer.link_moved_bytes_at_start) / elapsed_s
        if sample < estimate and elapsed_s <= WINDOW_S:
            return
        # A weight of 1/2 lets the estimate follow a slower link within a few transfers.
        link.measured_bytes_per_s = max(MIN_BYTES_PER_S, (estimate + sample) / 2)
        link.measured_at = now

    def _grant_waiting(self, link_id: LinkId) -> None:
        link = self._link(link_id)
        window = self.window_bytes(link_id)
        while link.waiting[True] or link.waiting[False]:
            queue = link.waiting[True] or link.waiting[False]
            if link.in_flight and link.in_flight + queue[0].length > window:
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
