"""A store that treats parts of a fleet of real daemons badly around a new version."""

import time

import pytest

from chivesaddle.tools.store_proxy import Treatment
from chivesaddle.tools.version_delays import VersionDelays, groups

# The operators' time limit for a new configuration in a large fleet.
MAX_CONFIGURATION_DELAY_S = 3.0
DAEMONS = 16


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    version_delays = VersionDelays(tmp_path_factory.mktemp("fleet"), DAEMONS)
    try:
        version_delays.start()
        # Just after their start, all daemons have a watch of their own.
        assert late_daemons(version_delays) == {}
        yield version_delays
    finally:
        version_delays.stop()


@pytest.fixture(autouse=True)
def treat_well(run):
    yield
    run.treat([], Treatment.PASS)
    time.sleep(1.0)
    run.wait_until_settled()


def late_daemons(run):
    """Add a route; return the daemons that do not serve it within the limit."""
    delays = run.measure()
    return {n: d for n, d in delays.items() if d > MAX_CONFIGURATION_DELAY_S}


@pytest.mark.parametrize("group", ["all working", "all but one idle"])
def test_silence_to_daemons_that_watch_holds_up_no_daemon(run, group):
    """Guards against daemons that learn of versions from silent watches only."""
    run.treat(groups(run)[group], Treatment.SILENT)
    time.sleep(1.0)
    assert [late_daemons(run) for _ in range(3)] == [{}] * 3


@pytest.mark.parametrize(
    "treatment",
    [
        Treatment.SILENT_OPEN,
        Treatment.RESET,
        Treatment.UNAVAILABLE,
        Treatment.TOO_MANY,
        Treatment.CUT,
    ],
)
def test_store_that_refuses_all_but_one_idle_daemon_holds_up_no_daemon(run, treatment):
    """Guards against a daemon that alone knows a version and tells nobody."""
    run.treat(groups(run)["all but one idle"], treatment)
    time.sleep(1.0)
    assert [late_daemons(run) for _ in range(2)] == [{}] * 2
