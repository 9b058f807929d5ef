import pytest

from chivesaddle.tools.soak import run_seed
from chivesaddle.tools.soak.callers import RequestLog, check_events, check_runs

# Seeds of every test run; a seed that once failed is kept here with its cause.
SEEDS = [
    1,
    # A backend server logged a request without an id; the cause is unknown. Three soak
    # tests ran at once, and nothing reserves the ports that each found free
    # (docs/soak.md).
    203,
    # The callers' address lookups blocked the event loop of the soak test, so that
    # faults lasted into the recovery time.
    208,
]
FAULT_S = 6.0


@pytest.mark.parametrize("seed", SEEDS)
def test_no_violations_under_random_faults(seed, tmp_path):
    result, fault_log = run_seed(seed, FAULT_S, tmp_path)
    assert result.violations == (), "\n".join(fault_log)
    assert result.requests > 100


class TestCheckRuns:
    """Guards against a soak test that passes because it checks nothing."""

    @pytest.fixture
    def request_log(self):
        log = RequestLog()
        for request_id, route, status in (
            ("a", "unsafe", 200),
            ("b", "unsafe", 503),
            ("c", "safe", 200),
        ):
            log.route_by_id[request_id] = route
            log.status_by_id[request_id] = status
        return log

    def test_runs_that_match_the_responses_are_no_violation(self, request_log):
        assert check_runs(request_log, ["a", "c", "c"]) == []

    @pytest.mark.parametrize(
        "runs, message_part",
        [
            (["a", "a"], "ran 2 times"),
            (["b"], "was told it did not"),
            (["z"], "nobody sent it"),
        ],
    )
    def test_violation_is_found(self, request_log, runs, message_part):
        (violation,) = check_runs(request_log, runs)
        assert message_part in violation


class TestCheckEvents:
    """Guards against a soak test that passes because it checks nothing."""

    SOFTWARE = {"a": "v0", "b": "v0", "c": "v1"}
    WHOLE = [(str(number), "a") for number in range(1, 9)]

    def test_whole_stream_of_one_version_is_no_violation(self):
        events = [*self.WHOLE[:4], *((number, "b") for number, _ in self.WHOLE[4:])]
        assert check_events(events, True, self.SOFTWARE) == []
        assert check_events(events[:5], False, self.SOFTWARE) == []

    @pytest.mark.parametrize(
        "events, is_complete, message_part",
        [
            (WHOLE[:7], True, "events"),
            ([*WHOLE[:3], *WHOLE[4:]], False, "events"),
            ([*WHOLE[:3], *WHOLE[2:]], True, "events"),
            ([*WHOLE[:7], ("8", "c")], True, "several software versions"),
        ],
    )
    def test_violation_is_found(self, events, is_complete, message_part):
        (violation,) = check_events(events, is_complete, self.SOFTWARE)
        assert message_part in violation
