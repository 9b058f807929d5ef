"""Rate at which repair copies blocks between stores."""

from dataclasses import dataclass

# Fraction of the link's bandwidth that repair uses even if the link is busy, so that it
# always makes progress.
MIN_BANDWIDTH_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class FixedPace:
    """A constant rate."""

    bytes_per_s: float


@dataclass(frozen=True, slots=True)
class DeadlinePace:
    """The rate at which a round takes ``round_s``, limited by the free bandwidth.

    At most ``max_share`` (0 to 1) of the link's free bandwidth is used.
    """

    round_s: float
    max_share: float = 0.5


Pace = FixedPace | DeadlinePace


def round_deadline(pace: Pace, now: float) -> float:
    """Return the time at which a round that starts at ``now`` should be finished."""
    match pace:
        case DeadlinePace(round_s):
            return now + round_s
        case FixedPace():
            return float("inf")


def copy_rate(
    pace: Pace,
    *,
    remaining_bytes: int,
    deadline: float,
    now: float,
    bandwidth: float,
    utilisation: float,
) -> float:
    """Return the rate of copying in bytes/s.

    ``bandwidth`` in bytes/s and ``utilisation`` (0 to 1) are the link's current values.

    Notes
    -----
    With a `DeadlinePace` the rate is min(remaining bytes / time left, max_share x
    bandwidth x (1 - utilisation)), but at least 1 % of the bandwidth.

    Examples
    --------
    >>> link = {"bandwidth": 1000.0, "now": 0.0, "deadline": 10.0}
    >>> copy_rate(DeadlinePace(10), remaining_bytes=2000, utilisation=0.0, **link)
    200.0
    >>> copy_rate(DeadlinePace(10), remaining_bytes=2000, utilisation=0.9, **link)
    50.0
    """
    match pace:
        case FixedPace(bytes_per_s):
            return bytes_per_s
        case DeadlinePace(_, max_share):
            time_left_s = deadline - now
            needed_bytes_per_s = (
                remaining_bytes / time_left_s if time_left_s > 0 else float("inf")
            )
            allowed_bytes_per_s = round(bandwidth * max_share * (1.0 - utilisation), 6)
            return max(
                min(needed_bytes_per_s, allowed_bytes_per_s),
                MIN_BANDWIDTH_SHARE * bandwidth,
            )


__all__ = ["DeadlinePace", "FixedPace", "Pace", "copy_rate", "round_deadline"]
