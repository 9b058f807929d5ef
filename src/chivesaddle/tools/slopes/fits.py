"""Fits straight lines to measured points."""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import linear_regression


@dataclass(frozen=True)
class Fit:
    """Least-squares line ``y = intercept + slope * x``.

    Attributes
    ----------
    slope, intercept : float
        Slope in units of y per unit of x, and intercept in units of y.
    max_residual : float
        Largest absolute distance of a point from the line, in units of y.
    """

    slope: float
    intercept: float
    max_residual: float

    @classmethod
    def from_points(cls, xs: Sequence[float], ys: Sequence[float]) -> "Fit":
        """Fit a line; needs at least two different ``xs``.

        Examples
        --------
        >>> Fit.from_points([0, 1, 2], [1, 3, 5])
        Fit(slope=2.0, intercept=1.0, max_residual=0.0)
        """
        slope, intercept = linear_regression(xs, ys)
        residuals = (
            abs(y - intercept - slope * x) for x, y in zip(xs, ys, strict=True)
        )
        return cls(slope, intercept, max(residuals))


__all__ = ["Fit"]
