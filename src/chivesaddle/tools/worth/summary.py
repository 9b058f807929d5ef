"""Losses of a day by cause."""

from collections.abc import Iterable
from dataclasses import dataclass

from chivesaddle.tools.worth.causes import Cause, cause_of
from chivesaddle.tools.worth.records import RequestEnd


@dataclass(frozen=True, slots=True)
class Loss:
    """Requests lost to one cause.

    Attributes
    ----------
    count : int
        Requests.
    share : float
        Of all ended requests that have a route, 0 to 1.
    excess_ms : float
        Mean time beyond the target; 0 for failures.
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


def losses(ends: Iterable[RequestEnd]) -> list[Loss]:
    """Return the losses, the most frequent cause first."""
    routed = [ended for ended in ends if ended.route]
    found: dict[Cause, list[RequestEnd]] = {}
    for ended in sorted(routed, key=lambda ended: ended.at_s):
        cause = cause_of(ended)
        if cause is not None:
            found.setdefault(cause, []).append(ended)
    result = [_loss(cause, lost, len(routed)) for cause, lost in found.items()]
    return sorted(result, key=lambda loss: (-loss.count, loss.cause.value))


def _loss(cause: Cause, lost: list[RequestEnd], of_all: int) -> Loss:
    excess = [
        (ended.total_ms if ended.first_ms is None else ended.first_ms) - ended.target_ms
        for ended in lost
        if ended.is_late
    ]
    return Loss(
        cause,
        len(lost),
        len(lost) / of_all,
        sum(excess) / len(excess) if excess else 0.0,
        tuple(ended.at_s for ended in lost),
        lost[0].request,
    )


__all__ = ["Loss", "losses"]
