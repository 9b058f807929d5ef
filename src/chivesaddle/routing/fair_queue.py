"""Start-time fair queueing over accounts (Goyal, Vin and Cheng, 1996).

A request's start tag is the larger of the virtual time and its account's last finish
tag; its finish tag is the start tag plus cost / weight. The lowest start tag is served
first. While two accounts both have waiting requests, their served cost per weight
differs by at most the sum of their largest costs per weight.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from chivesaddle.core.ids import AccountId, RequestId

MAX_WAITING_REQUESTS = 1_000
MAX_ACCOUNTS = 1_024
# While both classes have waiting requests, one grant in ten goes to the batch class, so
# that it does not starve.
BATCH_GRANT_INTERVAL = 10
# A waiting request that is polled later than this counts as abandoned by its caller.
POLL_GRACE_PERIOD_S = 0.5


@dataclass(slots=True)
class _WaitingRequest:
    request_id: RequestId
    account_id: AccountId
    interactive: bool
    finish_tag: float
    poll_deadline: float
    sequence: int


@dataclass(slots=True)
class _PriorityClass:
    """Waiting requests of one priority class, with the virtual time of that class."""

    heap: list[tuple[float, int, RequestId]] = field(default_factory=list)
    virtual_time: float = 0.0
    max_finish_tag: float = 0.0
    finish_tag_by_account_id: dict[AccountId, float] = field(default_factory=dict)


class FairQueue:
    """Waiting requests of one model; at most 1,000 requests and 1,024 accounts."""

    def __init__(
        self,
        capacity: int = MAX_WAITING_REQUESTS,
        on_grant: Callable[[RequestId], None] = lambda _: None,
    ) -> None:
        self._on_grant = on_grant
        self._capacity = capacity
        self._priority_classes = {True: _PriorityClass(), False: _PriorityClass()}
        self._waiting_by_id: dict[RequestId, _WaitingRequest] = {}
        self._granted_by_id: dict[RequestId, _WaitingRequest] = {}
        self._waiting_counts: Counter[AccountId] = Counter()
        self._sequence = 0
        self._interactive_count = 0
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
        """Add a request; return False if the queue is full for its account."""
        if len(self._waiting_by_id) >= self._capacity:
            self._remove_abandoned(now)
        if len(
            self._waiting_by_id
        ) >= self._capacity and not self._evict_from_largest_account(account_id):
            return False
        priority_class = self._priority_classes[interactive]
        if len(priority_class.finish_tag_by_account_id) >= MAX_ACCOUNTS:
            priority_class.finish_tag_by_account_id = {
                account: finish
                for account, finish in priority_class.finish_tag_by_account_id.items()
                if finish > priority_class.virtual_time
            }
        start_tag = max(
            priority_class.virtual_time,
            priority_class.finish_tag_by_account_id.get(account_id, 0.0),
        )
        finish_tag = start_tag + cost / weight
        priority_class.finish_tag_by_account_id[account_id] = finish_tag
        self._sequence += 1
        self._waiting_by_id[request_id] = _WaitingRequest(
            request_id,
            account_id,
            interactive,
            finish_tag,
            now + POLL_GRACE_PERIOD_S,
            self._sequence,
        )
        self._waiting_counts[account_id] += 1
        self._interactive_count += interactive
        heapq.heappush(priority_class.heap, (start_tag, self._sequence, request_id))
        return True

    def poll(
        self,
        request_id: RequestId,
        *,
        free_slots: int,
        free_batch_slots: int,
        now: float,
    ) -> bool:
        """Grant free slots in order; return whether this request has one.

        A request that is granted a slot leaves the queue.
        """
        self.grant(
            free_slots=free_slots,
            free_batch_slots=free_batch_slots,
            now=now,
            polling_id=request_id,
        )
        return self._granted_by_id.pop(request_id, None) is not None

    def grant(
        self,
        *,
        free_slots: int,
        free_batch_slots: int,
        now: float,
        polling_id: RequestId | None = None,
    ) -> None:
        """Grant free slots in order; call ``on_grant`` except for ``polling_id``."""
        if len(self._granted_by_id) >= free_slots:
            self._granted_by_id = {
                r: request
                for r, request in self._granted_by_id.items()
                if request.poll_deadline >= now
            }
        while len(self._granted_by_id) < free_slots:
            if not self._grant_next(free_batch_slots, now, polling_id):
                break

    def requests_ahead(self, interactive: bool) -> int:
        """Return how many requests are served before a new one of the class."""
        return self._interactive_count if interactive else len(self._waiting_by_id)

    def extend_poll_deadline(self, request_id: RequestId, until: float) -> None:
        """Keep a request in the queue that will be polled again at ``until``."""
        waiting_request = self._waiting_by_id.get(request_id)
        if waiting_request is not None:
            waiting_request.poll_deadline = until + POLL_GRACE_PERIOD_S

    def remove(self, request_id: RequestId) -> None:
        """Remove a request that was refused or abandoned."""
        self._granted_by_id.pop(request_id, None)
        self._remove_waiting(request_id)

    def _grant_next(
        self, free_batch_slots: int, now: float, polling_id: RequestId | None
    ) -> bool:
        interactive = self._peek(True, now, polling_id)
        granted_batch = sum(
            not request.interactive for request in self._granted_by_id.values()
        )
        batch = None
        if granted_batch < free_batch_slots:
            batch = self._peek(False, now, polling_id)
        batch_is_due = self._grants_since_batch >= BATCH_GRANT_INTERVAL - 1
        chosen = (
            batch if interactive is None or (batch and batch_is_due) else interactive
        )
        if chosen is None:
            return False
        self._grants_since_batch = (
            self._grants_since_batch + 1 if chosen.interactive else 0
        )
        priority_class = self._priority_classes[chosen.interactive]
        start_tag, _, _ = heapq.heappop(priority_class.heap)
        priority_class.max_finish_tag = max(
            priority_class.max_finish_tag, chosen.finish_tag
        )
        priority_class.virtual_time = start_tag
        self._remove_waiting(chosen.request_id)
        if not priority_class.heap:
            # The queue of this class is empty: what the accounts were served so far no
            # longer counts.
            priority_class.virtual_time = priority_class.max_finish_tag
            priority_class.finish_tag_by_account_id.clear()
        self._granted_by_id[chosen.request_id] = chosen
        if chosen.request_id != polling_id:
            self._on_grant(chosen.request_id)
        return True

    def _peek(
        self, interactive: bool, now: float, polling_id: RequestId | None
    ) -> _WaitingRequest | None:
        heap = self._priority_classes[interactive].heap
        while heap:
            _, sequence, request_id = heap[0]
            waiting_request = self._waiting_by_id.get(request_id)
            if waiting_request is not None and waiting_request.sequence == sequence:
                if waiting_request.poll_deadline >= now or request_id == polling_id:
                    return waiting_request
                self._remove_waiting(request_id)
            heapq.heappop(heap)
        return None

    def _evict_from_largest_account(self, account_id: AccountId) -> bool:
        """Make room: remove the newest request of the account with the most requests.

        Return False if ``account_id``, with one more request, would have at least as
        many as that account has.
        """
        largest_account_id, count = self._waiting_counts.most_common(1)[0]
        if self._waiting_counts[account_id] + 1 >= count:
            return False
        newest_request = max(
            (
                request
                for request in self._waiting_by_id.values()
                if request.account_id == largest_account_id
            ),
            key=lambda request: request.sequence,
        )
        priority_class = self._priority_classes[newest_request.interactive]
        priority_class.heap = [
            entry
            for entry in priority_class.heap
            if entry[2] != newest_request.request_id
        ]
        heapq.heapify(priority_class.heap)
        self._remove_waiting(newest_request.request_id)
        return True

    def _remove_abandoned(self, now: float) -> None:
        for waiting_request in list(self._waiting_by_id.values()):
            if waiting_request.poll_deadline < now:
                self._remove_waiting(waiting_request.request_id)
        for priority_class in self._priority_classes.values():
            priority_class.heap = [
                entry
                for entry in priority_class.heap
                if entry[2] in self._waiting_by_id
            ]
            heapq.heapify(priority_class.heap)

    def _remove_waiting(self, request_id: RequestId) -> None:
        waiting_request = self._waiting_by_id.pop(request_id, None)
        if waiting_request is not None:
            self._interactive_count -= waiting_request.interactive
            self._waiting_counts[waiting_request.account_id] -= 1
            if not self._waiting_counts[waiting_request.account_id]:
                del self._waiting_counts[waiting_request.account_id]


__all__ = ["FairQueue"]
