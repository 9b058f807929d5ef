import re
from pathlib import Path

import pytest

from chivesaddle.tools.slopes.__main__ import summary
from chivesaddle.tools.slopes.fits import Fit
from chivesaddle.tools.slopes.fleet import ControlFleet
from chivesaddle.tools.slopes.schema import EXPERIMENTS, SERIES

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


class TestFit:
    def test_residual_shows_a_point_off_the_line(self):
        """Guards against a slope quoted for points that form no line."""
        fit = Fit.from_points([0, 1, 2, 3], [0, 1, 2, 7])
        assert fit.slope == pytest.approx(2.2)
        assert fit.intercept == pytest.approx(-0.8)
        assert fit.max_residual == pytest.approx(1.6)


class TestSummary:
    def test_every_declared_series_is_written(self):
        """Guards against a figure on the page that a run does not produce."""
        found = {}
        for name, experiment in EXPERIMENTS.items():
            figures = dict.fromkeys(experiment.units, 2.0)
            found |= summary(name, dict.fromkeys(experiment.points, figures))
        assert found.keys() == SERIES.keys()
        assert all(
            row["slope"] == 0 and row["intercept"] == 2 for row in found.values()
        )


class TestControlFleet:
    def test_each_zone_has_one_reader_with_two_watches(self):
        """Guards against figures of a fleet whose leases or watches do not work."""
        fleet = ControlFleet(6, 3)
        fleet.advance(10)
        fleet.api.calls.clear()
        fleet.advance(5)
        assert {part.lease.name for part in fleet.readers()} == {
            f"zone-reader/zone-{n}" for n in range(3)
        }
        # A watch lasts 1 s or, by rounding, one step of the clock longer.
        assert 4 * 2 * 3 <= fleet.api.calls["watch"] <= 5 * 2 * 3

    def test_daemons_of_a_healthy_large_fleet_do_not_read_the_platform(self):
        """Guards against needless reads between relayed readings, 0.2/s a daemon."""
        fleet = ControlFleet(40, 3)
        fleet.advance(15)
        fleet.api.calls.clear()
        fleet.advance(6)
        assert fleet.api.calls["get"] == 0


class TestPage:
    def test_quoted_series_exist(self):
        """Guards against a page that names slopes the tool no longer measures."""
        names = "|".join(EXPERIMENTS)
        quoted = set(re.findall(rf"`((?:{names})\.\w+)`", PAGE.read_text()))
        assert quoted == SERIES.keys()
