"""Places of requests in the admission queue, and the waits predicted from them."""

from collections.abc import Hashable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from chivesaddle.core.ids import AccountId

# Share of what is sent that each priority with waiting requests gets. The limit to keep
# is a tenth of what there is room for, and not all of that is used at each moment.
MIN_PRIORITY_SHARE = 0.12
# Least share of what is sent on which late requests can count.
MIN_LATE_SHARE = 0.005


class Claim(Protocol):
    """What the order of the queue depends on; requests without an account share one."""

    @property
    def account(self) -> AccountId | None:
        """The client account."""

    @property
    def priority(self) -> int:
        """0 is the most urgent."""

    @property
    def tokens(self) -> int:
        """Tokens of server memory."""

    @property
    def cost(self) -> float:
        """Server time in seconds."""

    @property
    def arrived_at(self) -> float:
        """When the request arrived."""

    @property
    def first_event_due(self) -> float:
        """Time by which the first event should arrive."""

    @property
    def expires_at(self) -> float:
        """Time after which it is refused."""

    @property
    def caller_gives_up_at(self) -> float | None:
        """Until when the caller waits for a response, None if unknown."""

    @property
    def fingerprint(self) -> Hashable | None:
        """Equal for repeats of one request, None if unknown."""

    def has_missed_target(self, now: float) -> bool:
        """Return whether the first event is overdue."""


@dataclass(frozen=True, slots=True)
class Place:
    """Place of a waiting request in the order of the queue.

    Attributes
    ----------
    group : int or None
        The priority; None if the request is late and is sent after all others.
    index : int
        Index of the request in the sequence that was ordered.
    ahead : int
        Number of requests before it.
    ahead_tokens : int
        Memory tokens of these and of the request.
    group_tokens : int
        Tokens among these of requests of the same priority, or of late requests if it
        is late itself.
    share : float
        Share of the throughput that is left by requests yet to come that will be sent
        before it.
    min_share : float
        Share of the throughput that the group gets at least.
    late_share : float
        As ``share``, if the request becomes late.
    account_cost, account_cost_per_s : float
        Cost of the account's requests of this group up to this one, and what was
        recently sent of the account and the priority.
    has_precedence : bool
        Whether the request is served whatever its priority, since its account asks for
        little. It is not refused by prediction.
    """

    group: int | None
    index: int
    ahead: int
    ahead_tokens: int
    group_tokens: int
    share: float
    min_share: float
    late_share: float
    account_cost: float
    account_cost_per_s: float
    has_precedence: bool

    def predict_wait(
        self,
        tokens_per_s: float,
        due_in_s: float,
        gone: int = 0,
        gone_group: int = 0,
        gone_cost: float = 0.0,
    ) -> float:
        """Return the predicted wait in seconds.

        Parameters
        ----------
        tokens_per_s : float
            Throughput of the queue.
        due_in_s : float
            Time after which the request becomes late, and is sent after all others.
        gone, gone_group : int
            Tokens among ``ahead_tokens`` and ``group_tokens`` that wait no more.
        gone_cost : float
            Cost among ``account_cost`` that waits no more.
        """
        ahead = self.ahead_tokens - gone
        rate = tokens_per_s * max(self.share, self.min_share)
        wait_s = min(
            ahead / rate,
            (self.group_tokens - gone_group) / (tokens_per_s * self.min_share),
        )
        if self.group is not None and self.account_cost_per_s:
            account_wait_s = (self.account_cost - gone_cost) / self.account_cost_per_s
            wait_s = min(wait_s, account_wait_s)
        if self.group is None or due_in_s <= 0 or wait_s <= due_in_s:
            return wait_s
        left = max(0.0, ahead - rate * due_in_s)
        return max(wait_s, due_in_s + left / (tokens_per_s * self.late_share))


def merge_by_priority(
    claims: Sequence[Claim],
    queues: Mapping[int, list[int]],
    cost_by_priority: Mapping[int, float],
    total: float,
    scale: float,
) -> list[int]:
    """Merge the queues of each priority; the most urgent one is the first.

    Parameters
    ----------
    queues : mapping
        Indexes of claims in order, by priority; the most urgent one is the first.
    cost_by_priority : mapping
        What was sent of each priority, of ``total``, in seconds times ``scale``.
    """
    if len(queues) == 1:
        return next(iter(queues.values()))
    merged = []
    cost_by_priority = dict(cost_by_priority)
    iterators = {priority: iter(queue) for priority, queue in queues.items()}
    heads = {priority: next(iterator) for priority, iterator in iterators.items()}
    while heads:
        priority = next(iter(heads))
        for other in heads:
            if cost_by_priority.get(other, 0.0) < MIN_PRIORITY_SHARE * total:
                priority = other
                break
        index = heads[priority]
        merged.append(index)
        cost = claims[index].cost * scale
        total += cost
        cost_by_priority[priority] = cost_by_priority.get(priority, 0.0) + cost
        following = next(iterators[priority], None)
        if following is None:
            del heads[priority]
        else:
            heads[priority] = following
    return merged


__all__ = [
    "MIN_LATE_SHARE",
    "MIN_PRIORITY_SHARE",
    "Claim",
    "Place",
    "merge_by_priority",
]
