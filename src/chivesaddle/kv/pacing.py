"""Pace of repair: how many bytes per second it copies."""

from dataclasses import dataclass

# Progress that repair makes on a link that others keep busy.
MIN_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class FixedPace:
    """The same rate at all times."""

    bytes_per_s: float


@dataclass(frozen=True, slots=True)
class DeadlinePace:
    """The rate that finishes a round in ``round_s``, from what the link leaves free.

    At most ``max_share`` of the link's free bandwidth is used.
    """

    round_s: float
    max_share: float = 0.5


Pace = FixedPace | DeadlinePace


def deadline_of_round(pace: Pace, now: float) -> float:
    """Return when a round that starts now should be finished."""
    match pace:
        case DeadlinePace(round_s):
            return now + round_s
        case FixedPace():
            return float("inf")


def rate(
    pace: Pace,
    *,
    remaining_bytes: int,
    deadline: float,
    now: float,
    bandwidth: float,
    utilisation: float,
) -> float:
    """Return the bytes/s to copy now.

    ``bandwidth`` in bytes/s and ``utilisation`` (0 to 1) describe the live link.

    Notes
    -----
    min(remaining / time left, share x bandwidth x (1 - utilisation)), but at least
    1 % of the bandwidth.

    Examples
    --------
    >>> link = {"bandwidth": 1000.0, "now": 0.0, "deadline": 10.0}
    >>> rate(DeadlinePace(10), remaining_bytes=2000, utilisation=0.0, **link)
    200.0
    >>> rate(DeadlinePace(10), remaining_bytes=2000, utilisation=0.9, **link)
    50.0
    """
    match pace:
        case FixedPace(bytes_per_s):
            return bytes_per_s
        case DeadlinePace(_, max_share):
            left_s = deadline - now
            needed = remaining_bytes / left_s if left_s > 0 else float("inf")
            free = round(bandwidth * max_share * (1.0 - utilisation), 6)
            return max(min(needed, free), MIN_SHARE * bandwidth)


__all__ = ["DeadlinePace", "FixedPace", "Pace", "deadline_of_round", "rate"]
