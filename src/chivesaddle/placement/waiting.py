"""Admission queue for requests that wait for capacity on a model server.

A server that receives more requests than its memory holds queues the excess, and evicts
the prompt parts that it cached or fetched for them, so it has to prefill them again.
That slows the running requests, which then hold their memory longer, and a service does
not recover from this state on its own. The daemon therefore sends a request only when a
server has memory and a slot for it. Waiting requests are sent in order of urgency, and
a request that cannot be served in time is rejected on arrival. `FairAdmission` adds the
accounts' shares to the order and rejects waiting requests as well.
"""

import math
from collections import deque
from collections.abc import Callable, Collection, Hashable, Mapping
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import AccountId, BackendServerId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.placement.choice import Candidate
from chivesaddle.placement.costs import shared_prefill_cost
from chivesaddle.placement.fair_admission import FairAdmission, Refusal
from chivesaddle.placement.refusals import AdmissionCounts
from chivesaddle.placement.server_holds import ServerHolds

# Load reports from peers arrive ten times a second, and a server that loads weights is
# skipped for 0.3 s, so polling more often finds nothing new.
POLL_INTERVAL_S = 0.05
# Window over which the tokens of sent requests are summed to estimate the queue's
# throughput; about the duration of one run.
THROUGHPUT_WINDOW_S = 2.0
# Reservations are chosen again after this time. Choosing weighs all servers, so doing
# it for each of many waiting requests at every change would take all processor time.
RESERVATION_LIFETIME_S = 0.05
# A request that has waited for this share of the time to its target reserves a server.
# Otherwise smaller requests take the memory as soon as it is freed.
RESERVE_AFTER_SHARE = 0.5
# Share of the servers that waiting requests may reserve; the rest stays available to
# requests that fit now. A late response is worth a fifth of one on time, so late
# requests may reserve a fifth of the servers.
MAX_RESERVED_SHARE = 0.5
MAX_RESERVED_SHARE_LATE = 0.2

log = ComponentLogger("waiting")

# Chooses a server; the argument holds the servers that are reserved for other requests.
ChooseServer = Callable[[Collection[BackendServerId]], Candidate]
# Raises the error of a request that must not wait any longer.
CheckMayWait = Callable[[], None]
# Returns the free memory in tokens of each server that can start a request now; None if
# the service has no server, which ends the waiting requests.
FreeMemory = Callable[[], Mapping[BackendServerId, int] | None]
# Returns the seconds that a request waits at least behind the given number of others,
# since servers limit their rate or refuse requests.
MinimumWait = Callable[[int], float]


class NoCapacity(ChivesaddleError):
    """No server will have memory for the request in time; it was not sent.

    Attributes
    ----------
    is_return_scheduled : bool
        Whether ``retry_after_s`` is already spread over the refused requests.
    """

    code = "no_room"
    status = 503
    is_return_scheduled = False

    @classmethod
    def from_refusal(cls, refusal: Refusal) -> "NoCapacity":
        """Return the error of a request that `FairAdmission` refuses."""
        error = cls(refusal.message, retry_after_s=refusal.retry_after_s)
        error.is_return_scheduled = True
        return error


@dataclass(frozen=True, slots=True)
class MemoryRequest:
    """Memory and timing requirements of a request in the admission queue.

    Attributes
    ----------
    tokens : int
        Tokens of server memory that the request takes.
    priority : int
        0 is the most urgent.
    first_event_due : float
        Time by which the first event should arrive.
    expires_at : float
        Time after which the request is rejected instead of sent.
    account : AccountId or None
        The client account, if the request has one.
    cost : float
        Estimated server time in seconds; see `costs.estimate_cost`.
    caller_gives_up_at : float or None
        Until when the caller waits for a response, None if unknown.
    fingerprint : Hashable or None
        Equal for repeats of one request, None if unknown.
    """

    tokens: int
    priority: int
    arrived_at: float
    first_event_due: float
    expires_at: float
    account: AccountId | None = None
    cost: float = 1.0
    caller_gives_up_at: float | None = None
    fingerprint: Hashable | None = None

    def has_missed_target(self, now: float) -> bool:
        """Return whether the first event is overdue."""
        return now > self.first_event_due

    def sort_key(self, now: float) -> tuple[bool, int, float]:
        """Return the sort key in the queue; late requests come last."""
        return self.has_missed_target(now), self.priority, self.first_event_due

    def may_reserve(self, now: float) -> bool:
        """Return whether the request has waited long enough to reserve a server."""
        target_s = self.first_event_due - self.arrived_at
        return now - self.arrived_at > RESERVE_AFTER_SHARE * target_s


@dataclass(eq=False, slots=True)
class _QueuedRequest:
    memory_request: MemoryRequest
    choose: ChooseServer
    check_may_wait: CheckMayWait
    ready: Deferred[Candidate] = field(default_factory=Deferred)


class AdmissionQueue:
    """Queue of one service's requests on one daemon.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    free_memory : callable or None
        Free memory of the service's servers. A waiting request that fits into none of
        them is passed over without weighing the servers; None weighs them always.
    minimum_wait : callable
        How long a request waits at least for what servers themselves say.
    fair_counts : AdmissionCounts or None
        Shares capacity between accounts, and counts the outcomes here; None sends by
        urgency alone.
    """

    def __init__(
        self,
        clock: Clock,
        free_memory: FreeMemory | None = None,
        minimum_wait: MinimumWait = lambda ahead: 0.0,
        fair_counts: AdmissionCounts | None = None,
    ) -> None:
        self._clock = clock
        self._free_memory = free_memory
        self._minimum_wait = minimum_wait
        self._reservations: dict[_QueuedRequest, BackendServerId] = {}
        self._reserve_again_at = 0.0
        self._queue: list[_QueuedRequest] = []
        self._sent: deque[tuple[float, int]] = deque()
        self._created_at = clock.seconds()
        self._poll_call: DelayedCall | None = None
        self._is_dispatching = False
        self._fair: FairAdmission[_QueuedRequest] | None = None
        if fair_counts is not None:
            self._fair = FairAdmission(clock, fair_counts)
        self._holds: ServerHolds[_QueuedRequest] = ServerHolds()

    def __len__(self) -> int:
        return len(self._queue)

    async def wait_for_capacity(
        self,
        memory_request: MemoryRequest,
        choose: ChooseServer,
        check_may_wait: CheckMayWait = lambda: None,
    ) -> Candidate:
        """Return a server that has capacity for the request.

        ``check_may_wait`` is only called by `refuse_waiting`.

        Raises
        ------
        NoCapacity
            On arrival if the predicted wait is too long, or when the request expires;
            with shares between accounts also as soon as it cannot be sent in time.
        ChivesaddleError
            Any error that ``choose`` raises.
        """
        now = self._clock.seconds()
        if self._fair and (
            refusal := self._fair.refuse_like_others(memory_request, bool(self._queue))
        ):
            raise NoCapacity.from_refusal(refusal)
        candidate = choose(set(self._reserve().values()))
        if self._fair is not None:
            self._fair.record_server_count(candidate.candidate_count)
        if candidate.has_capacity and (self._fair is None or not self._queue):
            self._record_sent(memory_request, candidate)
            return candidate
        if self._fair is not None:
            queued = _QueuedRequest(memory_request, choose, check_may_wait)
            self._enter(queued, self._fair, candidate.has_capacity)
            return await self._wait_until_ready(queued)
        ahead = [
            q
            for q in self._queue
            if q.memory_request.sort_key(now) <= memory_request.sort_key(now)
        ]
        wait_s = self._predict_wait(
            sum(q.memory_request.tokens for q in ahead) + memory_request.tokens
        )
        wait_s = max(wait_s, self._minimum_wait(len(ahead)))
        if now + wait_s > memory_request.expires_at:
            raise NoCapacity(
                f"{len(ahead)} requests wait for memory; predicted wait {wait_s:.1f} s",
                retry_after_s=wait_s,
            )
        queued = _QueuedRequest(memory_request, choose, check_may_wait)
        self._queue.append(queued)
        self._schedule_poll()
        return await self._wait_until_ready(queued)

    def refuse_waiting(self) -> None:
        """Refuse the requests that must not wait any longer; the others go on."""
        for queued in list(self._queue):
            if queued.ready.called:
                continue
            try:
                queued.check_may_wait()
            except ChivesaddleError as error:
                self._resolve(queued, error)

    async def _wait_until_ready(self, queued: _QueuedRequest) -> Candidate:
        try:
            return await queued.ready
        finally:
            if queued in self._queue:
                self._queue.remove(queued)
            self._holds.discard(queued)

    def _enter(
        self,
        queued: _QueuedRequest,
        fair: FairAdmission[_QueuedRequest],
        has_capacity: bool,
    ) -> None:
        """Add a request to the queue, or raise `NoCapacity`.

        Free capacity goes to the first requests in order, so the others are sent first
        where it became free without notice.
        """
        self._queue.append(queued)
        if has_capacity:
            fair.forget_order()
            self.dispatch_ready()
            if queued.ready.called:
                return
        minimum_wait_s = self._minimum_wait(len(self._queue) - 1)
        refusal = fair.refuse_on_arrival(queued, self._queue, minimum_wait_s)
        if refusal is not None:
            self._queue.remove(queued)
            raise NoCapacity.from_refusal(refusal)
        self._schedule_poll()

    def _in_order(self, now: float) -> list[_QueuedRequest]:
        if self._fair is not None:
            in_order = self._fair.in_order(self._queue, now)
            return [queued for queued, _ in in_order if not queued.ready.called]
        return sorted(self._queue, key=lambda q: q.memory_request.sort_key(now))

    def dispatch_ready(self) -> None:
        """Send the requests that now fit; call when a server's load has decreased."""
        if self._is_dispatching or not self._queue:
            return
        self._is_dispatching = True
        try:
            self._dispatch()
        finally:
            self._is_dispatching = False

    def _dispatch(self) -> None:
        now = self._clock.seconds()
        reserved = self._reserve()
        free_memory = self._free_memory() if self._free_memory else None
        largest_free = _largest(free_memory, set(reserved.values()))
        # Requests that found no room, with the tokens of those sent before.
        passed: list[tuple[_QueuedRequest, int]] = []
        sent_tokens = 0
        for queued in self._in_order(now):
            if queued.ready.called:
                continue
            if now >= queued.memory_request.expires_at:
                self._resolve(queued, self._expired(queued))
                continue
            tokens = queued.memory_request.tokens
            own = reserved.get(queued)
            free = largest_free
            others = set(reserved.values())
            if own is not None:
                others = {s for owner, s in reserved.items() if owner is not queued}
                free = _largest(free_memory, others)
            if tokens > free:
                passed.append((queued, sent_tokens))
                continue
            try:
                candidate = queued.choose(others)
            except ChivesaddleError as error:
                self._resolve(queued, error)
                continue
            if not candidate.has_capacity:
                passed.append((queued, sent_tokens))
                continue
            reserved.pop(queued, None)
            if queued not in self._holds:
                sent_tokens += tokens
            self._record_sent(queued.memory_request, candidate, has_waited=True)
            self._resolve(queued, candidate)
            free_memory = self._free_memory() if self._free_memory else None
            largest_free = _largest(free_memory, set(reserved.values()))
        if self._fair is not None and sent_tokens:
            self._holds.record_overtaken(
                {
                    queued: sent_tokens - sent_before
                    for queued, sent_before in passed
                    if sent_tokens > sent_before and not queued.ready.called
                }
            )

    def _expired(self, queued: _QueuedRequest) -> NoCapacity:
        if self._fair is None:
            return NoCapacity("No server had memory in time")
        return NoCapacity.from_refusal(self._fair.refuse_expired(queued.memory_request))

    def _resolve(
        self, queued: _QueuedRequest, result: Candidate | ChivesaddleError
    ) -> None:
        self._queue.remove(queued)
        self._holds.discard(queued)
        if isinstance(result, ChivesaddleError):
            queued.ready.errback(result)
        else:
            # The callback sends the request and adds it to the server's load before it
            # returns.
            queued.ready.callback(result)

    def _reserve(self) -> dict[_QueuedRequest, BackendServerId]:
        """Return the servers that other requests may not use.

        With shares between accounts these are held for requests that others overtook,
        and otherwise reserved for requests that have waited long enough.
        """
        now = self._clock.seconds()
        if self._fair is not None:
            if now >= self._reserve_again_at:
                in_order = self._in_order(now)
                self._holds.renew(in_order, now, self._fair.has_precedence)
                self._reserve_again_at = now + RESERVATION_LIFETIME_S
            return self._holds.server_by_entry()
        if now < self._reserve_again_at:
            waiting = set(self._queue)
            return {q: s for q, s in self._reservations.items() if q in waiting}
        self._reservations = self._choose_reservations(now)
        self._reserve_again_at = now + RESERVATION_LIFETIME_S
        return dict(self._reservations)

    def _choose_reservations(self, now: float) -> dict[_QueuedRequest, BackendServerId]:
        reserved: dict[_QueuedRequest, BackendServerId] = {}
        for queued in self._in_order(now):
            if not queued.memory_request.may_reserve(now):
                continue
            try:
                wanted = queued.choose(set(reserved.values()))
            except ChivesaddleError as error:
                # The next dispatch ends the request with this error.
                log.debug("server not reserved", extra={"cause": str(error)})
                continue
            is_late = queued.memory_request.has_missed_target(now)
            max_share = MAX_RESERVED_SHARE_LATE if is_late else MAX_RESERVED_SHARE
            if len(reserved) + 1 > max_share * wanted.candidate_count:
                # The remaining requests cannot reserve either: late ones sort last, and
                # their share is the smaller one.
                break
            reserved[queued] = wanted.server.entry.id
        return reserved

    def _record_sent(
        self,
        memory_request: MemoryRequest,
        candidate: Candidate,
        has_waited: bool = False,
    ) -> None:
        if self._fair is not None:
            shared_cost = shared_prefill_cost(candidate.plan)
            self._fair.record_sent(memory_request, shared_cost, has_waited)
            return
        now = self._clock.seconds()
        self._sent.append((now, memory_request.tokens))
        while self._sent and self._sent[0][0] < now - THROUGHPUT_WINDOW_S:
            self._sent.popleft()

    def _predict_wait(self, tokens: int) -> float:
        """Return the predicted wait of a request.

        ``tokens`` is the total of the request and of those ahead of it.
        """
        now = self._clock.seconds()
        sent = sum(
            tokens for at, tokens in self._sent if at >= now - THROUGHPUT_WINDOW_S
        )
        # Before a whole window has passed, there is too little data for an estimate.
        if not sent or now - self._created_at < THROUGHPUT_WINDOW_S:
            return 0.0
        return tokens * THROUGHPUT_WINDOW_S / sent

    def _schedule_poll(self) -> None:
        if self._poll_call is None or not self._poll_call.active():
            self._poll_call = self._clock.callLater(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._poll_call = None
        self.dispatch_ready()
        if self._fair is not None:
            now = self._clock.seconds()
            waiting = [queued for queued in self._queue if queued not in self._holds]
            hopeless = self._fair.refuse_hopeless(waiting, now, self._minimum_wait)
            for queued, refusal in hopeless:
                self._resolve(queued, NoCapacity.from_refusal(refusal))
        if self._queue:
            self._schedule_poll()


def _largest(
    free_memory: Mapping[BackendServerId, int] | None,
    reserved: Collection[BackendServerId],
) -> float:
    """Return the free memory of the emptiest server, infinite if it is not known."""
    if free_memory is None:
        return math.inf
    return max(
        (free for server, free in free_memory.items() if server not in reserved),
        default=-1,
    )


__all__ = [
    "AdmissionQueue",
    "ChooseServer",
    "FreeMemory",
    "MemoryRequest",
    "NoCapacity",
]
