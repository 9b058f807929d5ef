"""Start-time fair queueing over accounts (Goyal, Vin and Cheng, 1996).

A request's start tag is the larger of the virtual time and its account's last finish
tag; the finish tag adds cost / weight. The lowest start tag is served first. Between
two accounts that both wait, the served cost per weight differs by at most the sum of
their largest costs per weight.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from chivesaddle.core.ids import AccountId, RequestId

MAX_WAITING = 1_000
MAX_ACCOUNTS = 1_024
# While both classes wait, one grant in ten is for batch, so that batch is not starved.
BATCH_GRANT_INTERVAL = 10
# A waiting request that is this late in asking again has been given up by its caller.
POLL_GRACE_S = 0.5


@dataclass(slots=True)
class _Ticket:
    request_id: RequestId
    account_id: AccountId
    interactive: bool
    finish: float
    poll_by: float
    sequence: int


@dataclass(slots=True)
class _Class:
    """Waiting requests of one priority class with their own virtual time."""

    heap: list[tuple[float, int, RequestId]] = field(default_factory=list)
    virtual_time: float = 0.0
    max_finish: float = 0.0
    finish_by_account_id: dict[AccountId, float] = field(default_factory=dict)


class FairQueue:
    """Waiting requests of one model: at most 1,000 of them, and 1,024 accounts."""

    def __init__(
        self,
        capacity: int = MAX_WAITING,
        on_grant: Callable[[RequestId], None] = lambda _: None,
    ) -> None:
        self._on_grant = on_grant
        self._capacity = capacity
        self._classes = {True: _Class(), False: _Class()}
        self._waiting_by_id: dict[RequestId, _Ticket] = {}
        self._granted_by_id: dict[RequestId, _Ticket] = {}
        self._counts: Counter[AccountId] = Counter()
        self._sequence = 0
        self._waiting_interactive = 0
        self._grants_since_batch = 0

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._waiting_by_id or request_id in self._granted_by_id

    def add(
        self,
        request_id: RequestId,
        account_id: AccountId,
        *,
        cost: float,
        weight: float,
        interactive: bool,
        now: float,
    ) -> bool:
        """Add a request; return False if the queue has no place for its account."""
        if len(self._waiting_by_id) >= self._capacity:
            self._drop_given_up(now)
        if len(self._waiting_by_id) >= self._capacity and not self._displace(
            account_id
        ):
            return False
        kind = self._classes[interactive]
        if len(kind.finish_by_account_id) >= MAX_ACCOUNTS:
            kind.finish_by_account_id = {
                a: f
                for a, f in kind.finish_by_account_id.items()
                if f > kind.virtual_time
            }
        start = max(kind.virtual_time, kind.finish_by_account_id.get(account_id, 0.0))
        finish = start + cost / weight
        kind.finish_by_account_id[account_id] = finish
        self._sequence += 1
        self._waiting_by_id[request_id] = _Ticket(
            request_id,
            account_id,
            interactive,
            finish,
            now + POLL_GRACE_S,
            self._sequence,
        )
        self._counts[account_id] += 1
        self._waiting_interactive += interactive
        heapq.heappush(kind.heap, (start, self._sequence, request_id))
        return True

    def poll(
        self, request_id: RequestId, *, free: int, free_batch: int, now: float
    ) -> bool:
        """Grant free places in order; return whether this request has one.

        A request that has a place leaves the queue.
        """
        self.grant(free=free, free_batch=free_batch, now=now, polling=request_id)
        return self._granted_by_id.pop(request_id, None) is not None

    def grant(
        self,
        *,
        free: int,
        free_batch: int,
        now: float,
        polling: RequestId | None = None,
    ) -> None:
        """Grant free places in order; tell ``on_grant`` of all but ``polling``."""
        if len(self._granted_by_id) >= free:
            self._granted_by_id = {
                r: t for r, t in self._granted_by_id.items() if t.poll_by >= now
            }
        while len(self._granted_by_id) < free:
            if not self._grant_next(free_batch, now, polling):
                break

    def waiting(self, interactive: bool) -> int:
        """Return how many requests are served before a new one of the class."""
        return self._waiting_interactive if interactive else len(self._waiting_by_id)

    def keep_until(self, request_id: RequestId, until: float) -> None:
        """Keep the place of a request that will ask again at ``until``."""
        ticket = self._waiting_by_id.get(request_id)
        if ticket is not None:
            ticket.poll_by = until + POLL_GRACE_S

    def remove(self, request_id: RequestId) -> None:
        """Remove a request that was refused or given up."""
        self._granted_by_id.pop(request_id, None)
        self._forget(request_id)

    def _grant_next(
        self, free_batch: int, now: float, polling: RequestId | None
    ) -> bool:
        interactive = self._head(True, now, polling)
        granted_batch = sum(not t.interactive for t in self._granted_by_id.values())
        batch = None
        if granted_batch < free_batch:
            batch = self._head(False, now, polling)
        due = self._grants_since_batch >= BATCH_GRANT_INTERVAL - 1
        chosen = batch if interactive is None or (batch and due) else interactive
        if chosen is None:
            return False
        self._grants_since_batch = (
            self._grants_since_batch + 1 if chosen.interactive else 0
        )
        kind = self._classes[chosen.interactive]
        start, _, _ = heapq.heappop(kind.heap)
        kind.max_finish = max(kind.max_finish, chosen.finish)
        kind.virtual_time = start
        self._forget(chosen.request_id)
        if not kind.heap:
            # End of a busy period: accounts start equal again.
            kind.virtual_time = kind.max_finish
            kind.finish_by_account_id.clear()
        self._granted_by_id[chosen.request_id] = chosen
        if chosen.request_id != polling:
            self._on_grant(chosen.request_id)
        return True

    def _head(
        self, interactive: bool, now: float, polling: RequestId | None
    ) -> _Ticket | None:
        heap = self._classes[interactive].heap
        while heap:
            _, sequence, request_id = heap[0]
            ticket = self._waiting_by_id.get(request_id)
            if ticket is not None and ticket.sequence == sequence:
                if ticket.poll_by >= now or request_id == polling:
                    return ticket
                self._forget(request_id)
            heapq.heappop(heap)
        return None

    def _displace(self, account_id: AccountId) -> bool:
        """Remove the newest request of the account that has most, if that is fair."""
        largest, count = self._counts.most_common(1)[0]
        if self._counts[account_id] + 1 >= count:
            return False
        newest = max(
            (t for t in self._waiting_by_id.values() if t.account_id == largest),
            key=lambda t: t.sequence,
        )
        kind = self._classes[newest.interactive]
        kind.heap = [e for e in kind.heap if e[2] != newest.request_id]
        heapq.heapify(kind.heap)
        self._forget(newest.request_id)
        return True

    def _drop_given_up(self, now: float) -> None:
        for ticket in list(self._waiting_by_id.values()):
            if ticket.poll_by < now:
                self._forget(ticket.request_id)
        for kind in self._classes.values():
            kind.heap = [e for e in kind.heap if e[2] in self._waiting_by_id]
            heapq.heapify(kind.heap)

    def _forget(self, request_id: RequestId) -> None:
        ticket = self._waiting_by_id.pop(request_id, None)
        if ticket is not None:
            self._waiting_interactive -= ticket.interactive
            self._counts[ticket.account_id] -= 1
            if not self._counts[ticket.account_id]:
                del self._counts[ticket.account_id]


__all__ = ["FairQueue"]
