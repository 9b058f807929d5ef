import re
from pathlib import Path

import pytest

from chivesaddle.tools.slopes.__main__ import fit_experiment
from chivesaddle.tools.slopes.fits import Fit
from chivesaddle.tools.slopes.fleet import ControlPlaneFleet
from chivesaddle.tools.slopes.schema import EXPERIMENTS, SERIES

CAPACITY_PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


class TestFit:
    def test_max_residual_is_large_if_the_points_are_not_on_a_line(self):
        """Guards against quoting a slope for points that do not lie on a line."""
        fit = Fit.from_points([0, 1, 2, 3], [0, 1, 2, 7])
        assert fit.slope == pytest.approx(2.2)
        assert fit.intercept == pytest.approx(-0.8)
        assert fit.max_residual == pytest.approx(1.6)


class TestFitExperiment:
    def test_every_declared_series_is_fitted(self):
        """Guards against a series on the capacity page that a run does not produce."""
        series = {}
        for name, experiment in EXPERIMENTS.items():
            measurements = dict.fromkeys(experiment.units, 2.0)
            series |= fit_experiment(
                name, dict.fromkeys(experiment.points, measurements)
            )
        assert series.keys() == SERIES.keys()
        assert all(
            row["slope"] == 0 and row["intercept"] == 2 for row in series.values()
        )


class TestControlPlaneFleet:
    def test_each_zone_has_one_reader_with_two_watches(self):
        """Guards against measuring a fleet whose leases or watches do not work."""
        fleet = ControlPlaneFleet(6, 3)
        fleet.advance(10)
        fleet.api.calls.clear()
        fleet.advance(5)
        assert {daemon.zone_reader_lease.name for daemon in fleet.zone_readers()} == {
            f"zone-reader/zone-{n}" for n in range(3)
        }
        # A watch lasts 1 s, or one clock step longer because of rounding.
        assert 4 * 2 * 3 <= fleet.api.calls["watch"] <= 5 * 2 * 3

    def test_daemons_of_a_healthy_large_fleet_do_not_read_the_platform(self):
        """Guards against daemons that read the platform between relayed readings.

        These unneeded reads were 0.2/s per daemon.
        """
        fleet = ControlPlaneFleet(40, 3)
        fleet.advance(15)
        fleet.api.calls.clear()
        fleet.advance(6)
        assert fleet.api.calls["get"] == 0


class TestCapacityPage:
    def test_page_quotes_all_series(self):
        """Guards against a page that quotes series which the tool does not measure."""
        names = "|".join(EXPERIMENTS)
        quoted = set(re.findall(rf"`((?:{names})\.\w+)`", CAPACITY_PAGE.read_text()))
        assert quoted == SERIES.keys()
