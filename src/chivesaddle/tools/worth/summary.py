"""Counts the lost requests of a day by cause."""

from collections.abc import Iterable
from dataclasses import dataclass

from chivesaddle.tools.worth.causes import Cause, loss_cause
from chivesaddle.tools.worth.records import EndedRequest


@dataclass(frozen=True, slots=True)
class Loss:
    """Requests lost to one cause.

    Attributes
    ----------
    count : int
        Number of requests.
    share : float
        Their share of all ended requests that have a route, 0 to 1.
    excess_ms : float
        Mean time by which late responses missed their target; 0 if all failed.
    times_s : tuple of float
        When they ended, in seconds of the day.
    example : str
        Id of the first one, to look up in the logs.
    """

    cause: Cause
    count: int
    share: float
    excess_ms: float
    times_s: tuple[float, ...]
    example: str


def losses_by_cause(requests: Iterable[EndedRequest]) -> list[Loss]:
    """Return the lost requests by cause, the most frequent cause first."""
    routed_requests = [request for request in requests if request.route]
    requests_by_cause: dict[Cause, list[EndedRequest]] = {}
    for request in sorted(routed_requests, key=lambda request: request.at_s):
        cause = loss_cause(request)
        if cause is not None:
            requests_by_cause.setdefault(cause, []).append(request)
    result = [
        _loss(cause, lost_requests, len(routed_requests))
        for cause, lost_requests in requests_by_cause.items()
    ]
    return sorted(result, key=lambda loss: (-loss.count, loss.cause.value))


def _loss(cause: Cause, lost_requests: list[EndedRequest], total: int) -> Loss:
    excesses_ms = [
        (request.total_ms if request.first_ms is None else request.first_ms)
        - request.target_ms
        for request in lost_requests
        if request.is_late
    ]
    return Loss(
        cause,
        len(lost_requests),
        len(lost_requests) / total,
        sum(excesses_ms) / len(excesses_ms) if excesses_ms else 0.0,
        tuple(request.at_s for request in lost_requests),
        lost_requests[0].request_id,
    )


__all__ = ["Loss", "losses_by_cause"]
