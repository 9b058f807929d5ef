"""Outcome of a run of the soak test."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Outcome of the run of one seed; shares are of requests sent, 0 to 1.

    ``served_after_recovery`` is None if the run has no such part.
    """

    seed: int
    requests: int
    served_share: float
    served_after_recovery: float | None
    violations: tuple[str, ...]


__all__ = ["SoakResult"]
