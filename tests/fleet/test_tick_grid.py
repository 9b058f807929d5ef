import pytest

from chivesaddle.fleet import TickGrid


class TestTickGrid:
    def test_tasks_of_different_intervals_share_ticks(self, clock):
        """Guards against a wake-up of an idle daemon for each of its tasks."""
        clock.advance(0.125)
        grid = TickGrid(clock)
        ticks = set()

        def run(interval_s):
            ticks.add(clock.seconds() - 0.125)
            clock.callLater(grid.delay_s(interval_s), run, interval_s)

        # Steps of a power of two, which add up without rounding.
        step_s = 2.0**-7
        for steps, interval_s in ((1, 0.25), (9, 0.5), (40, 1.0)):
            clock.callLater(steps * step_s, run, interval_s)
        clock.pump([step_s] * 512)
        assert {tick for tick in ticks if tick > 0.5} == {
            0.25 * number for number in range(3, 17)
        }

    @pytest.mark.parametrize("late_s", [-0.0005, 0.0, 0.1])
    def test_delay_is_at_most_the_interval(self, clock, late_s):
        """A timer that fires a little early must not be scheduled for now again."""
        grid = TickGrid(clock)
        clock.advance(0.5 + late_s)
        delay_s = grid.delay_s(0.25)
        assert 0.1 < delay_s <= 0.25
