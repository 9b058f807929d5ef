import pytest

from chivesaddle.standins.platform_server import RunSpan
from chivesaddle.tools.soak import FIRST_SILENCE_SEED, run_seed
from chivesaddle.tools.soak.callers import (
    EndKind,
    RequestEnd,
    RequestLog,
    check_events,
    check_runs,
)
from chivesaddle.tools.soak.silence_checks import (
    Interval,
    SilenceRecord,
    check_lost,
    check_overlaps,
    count_silenced,
)
from chivesaddle.tools.soak.silences import CALLER_COUNT

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
# Seeds of silent servers beside full ones and ones that shed; on commit 641523b they
# lost 13 and 7 requests. Seeds that show the open faults in docs/soak.md are left out.
SILENCE_SEEDS = [FIRST_SILENCE_SEED + 15, FIRST_SILENCE_SEED + 30]
SILENCE_FAULT_S = 9.0


@pytest.mark.parametrize("seed", SEEDS)
def test_no_violations_under_random_faults(seed, tmp_path):
    result, fault_log = run_seed(seed, FAULT_S, tmp_path)
    assert result.violations == (), "\n".join(fault_log)
    assert result.requests > 100


@pytest.mark.parametrize("seed", SILENCE_SEEDS)
def test_no_violations_beside_silent_servers(seed, tmp_path):
    """Guards against requests that are lost although their server goes on."""
    result, fault_log = run_seed(seed, SILENCE_FAULT_S, tmp_path)
    assert result.violations == (), "\n".join(fault_log)
    assert result.requests > CALLER_COUNT
    assert result.served_share > 0.25


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


def silence_record(spans_by_server, **fields):
    """Return a record of requests with a time limit of 12 s."""
    defaults = {
        "silences_by_server": {},
        "not_resuming_by_server": {},
        "daemon_pauses": (),
    }
    return SilenceRecord(12.0, spans_by_server=spans_by_server, **defaults | fields)


class TestCheckLost:
    """Guards against a soak test that passes because it checks nothing."""

    SPANS = {"s": [RunSpan("a", 1.0, 4.0)]}

    @pytest.fixture
    def lose(self):
        def lose(kind=EndKind.CUT, status=None, at=5.0, resumes=False):
            log = RequestLog()
            log.route_by_id["a"] = "stream"
            log.sent_at_by_id["a"] = 1.0
            log.status_by_id["a"] = status
            log.end_by_id["a"] = RequestEnd(kind, at)
            log.resuming_ids |= {"a"} if resumes else set()
            return log

        return lose

    @pytest.mark.parametrize(
        "end, message_part",
        [
            ({}, "cut 4.00 s"),
            ({"kind": EndKind.RESPONDED, "status": 502}, "answered 502"),
            ({"at": 12.9}, "cut 11.90 s"),
            ({"resumes": True}, "cut 4.00 s"),
        ],
    )
    def test_violation_is_found(self, lose, end, message_part):
        short_silence = {"s": [Interval(2.0, 4.89)]}
        record = silence_record(self.SPANS, silences_by_server=short_silence)
        (violation,) = check_lost(lose(**end), record)
        assert message_part in violation

    @pytest.mark.parametrize(
        "end",
        [
            {"kind": EndKind.RESPONDED, "status": 200},
            {"kind": EndKind.RESPONDED, "status": 503},
            {"kind": EndKind.LEFT},
            {"at": 13.0},
        ],
    )
    def test_responses_and_ends_by_the_caller_are_no_violation(self, lose, end):
        assert check_lost(lose(**end), silence_record(self.SPANS)) == []

    def test_request_that_did_not_run_is_no_violation(self, lose):
        assert check_lost(lose(), silence_record({"s": []})) == []

    @pytest.mark.parametrize(
        "fields",
        [
            {"silences_by_server": {"t": [Interval(2.0, 4.95)]}},
            {"daemon_pauses": [Interval(4.9, 6.0)]},
        ],
    )
    def test_request_beside_another_fault_is_no_violation(self, lose, fields):
        assert check_lost(lose(), silence_record(self.SPANS, **fields)) == []

    def test_stream_resumed_at_a_server_that_begins_it_again_is_no_violation(
        self, lose
    ):
        begun_again = {"s": [Interval(0.0, 9.0)]}
        record = silence_record(self.SPANS, not_resuming_by_server=begun_again)
        assert check_lost(lose(resumes=True), record) == []
        assert len(check_lost(lose(), record)) == 1


class TestCountSilenced:
    """Guards against a soak test whose silences meet no request."""

    def test_runs_that_last_while_their_server_is_suspended_count(self):
        spans = [RunSpan("a", 1.0, 4.0), RunSpan("b", 1.0), RunSpan("c", 3.5, 4.0)]
        silences = {"s": [Interval(2.0, 3.0)], "t": [Interval(2.0, 3.0)]}
        record = silence_record({"s": spans}, silences_by_server=silences)
        assert count_silenced(record) == 2


class TestCheckOverlaps:
    """Guards against a soak test that passes because it checks nothing."""

    @pytest.mark.parametrize(
        "other, silences, expected",
        [
            (RunSpan("a", 3.59, 6.0), {}, ["ran at s and t for 0.41 s from 3.59 on"]),
            (RunSpan("a", 3.0), {}, ["ran at s and t for 1.00 s from 3.00 on"]),
            (RunSpan("a", 3.61, 6.0), {}, []),
            (RunSpan("b", 1.0, 6.0), {}, []),
            (RunSpan("a", 2.0, 6.0), {"s": [Interval(1.5, 3.9)]}, []),
            (
                RunSpan("a", 2.0, 6.0),
                {"s": [Interval(2.2, 3.7)]},
                ["ran at s and t for 0.50 s from 2.00 on"],
            ),
        ],
    )
    def test_work_of_two_servers_is_found(self, other, silences, expected):
        spans = {"s": [RunSpan("a", 1.0, 4.0)], "t": [other]}
        found = check_overlaps(silence_record(spans, silences_by_server=silences))
        assert found == [f"a: {text}" for text in expected]

    def test_work_while_a_daemon_is_suspended_is_no_violation(self):
        spans = {"s": [RunSpan("a", 1.0, 4.0)], "t": [RunSpan("a", 2.0, 6.0)]}
        record = silence_record(spans, daemon_pauses=[Interval(2.5, 3.0)])
        assert check_overlaps(record) == []
