import json

import pytest
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import run_in_turns, sleep_until, start, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.events import (
    Event,
    EventFilter,
    EventKind,
    EventRing,
    HybridClock,
    Timestamp,
)
from chivesaddle.core.settings import Settings, SettingsError

VALID = {
    "daemon_id": "d1",
    "zone": "z1",
    "callers": {"port": 8000},
    "operators": {"port": 8001},
    "peers": {"port": 8002},
    "caller_url": "http://127.0.0.1:8000",
    "platform_url": "http://127.0.0.1:9000",
}


@pytest.fixture
def write_settings_file(tmp_path):
    def write_file(text):
        path = tmp_path / "settings.json"
        path.write_text(text)
        return path

    return write_file


class TestDeadlines:
    def test_work_is_cancelled_at_its_deadline(self, clock):
        """Guards against a call that continues after its caller stopped waiting."""
        cancelled = []
        outcome = []
        work = Deferred(cancelled.append)
        start(with_deadline(clock, 2.0, work, "read")).addBoth(outcome.append)
        clock.advance(2)
        assert cancelled and outcome[0].check(DeadlineExceeded)

    def test_other_error_of_cancelled_work_is_reported_as_missed_deadline(self, clock):
        """Guards against a missed HTTP deadline reported as a lost connection."""
        outcome = []
        work = Deferred(lambda waiting: waiting.errback(OSError("aborted")))
        start(with_deadline(clock, 2.0, work, "read")).addBoth(outcome.append)
        clock.advance(2)
        assert outcome[0].check(DeadlineExceeded)

    def test_work_that_finishes_in_time_leaves_no_timer(self, clock):
        start(with_deadline(clock, 2.0, sleep_until(clock, 1.0), "sleep"))
        clock.advance(1)
        assert clock.getDelayedCalls() == []


class TestTurns:
    """Guards against long work during which no other event is handled."""

    @staticmethod
    def steps(works, done):
        for work in works:
            done.append(work)
            yield work
        return "result"

    def test_other_events_are_handled_after_the_work_of_a_turn(self, clock):
        done = []
        steps = self.steps([1, 2, 3, 1, 1, 9, 1], done)
        result = start(run_in_turns(clock, steps, turn_work=5))
        assert sum(done) == 6
        clock.callLater(0, done.append, "other event")
        assert not result.called
        clock.advance(0)
        assert done == [1, 2, 3, 1, 1, 9, "other event", 1]
        assert result.result == "result"

    def test_little_work_is_done_at_once(self, clock):
        result = start(run_in_turns(clock, self.steps([1, 2, 1], []), turn_work=5))
        assert result.result == "result"
        assert not clock.getDelayedCalls()

    def test_cancelled_work_is_not_continued(self, clock):
        done = []
        result = start(run_in_turns(clock, self.steps([9, 9], done), turn_work=5))
        result.addErrback(lambda _: None)
        result.cancel()
        clock.advance(0)
        assert done == [9]
        assert not clock.getDelayedCalls()


class TestHybridClock:
    def test_event_after_a_received_message_is_ordered_after_its_cause(self):
        """Guards against effects ordered before their causes when clocks differ."""
        fast, slow = HybridClock(lambda: 50.0), HybridClock(lambda: 10.0)
        cause = fast.now()
        slow.receive(cause)
        assert slow.now() > cause

    def test_timestamp_of_a_peer_with_a_wrong_clock_is_ignored(self):
        clock = HybridClock(lambda: 10.0)
        clock.receive(Timestamp(10**15))
        assert clock.now().wall_us < 10**9


class TestEventRing:
    def test_oldest_events_are_dropped_beyond_the_capacity(self):
        ring = EventRing("d1", capacity=3)
        for number in range(5):
            ring.record(EventKind.REQUEST_RECEIVED, request=str(number))
        assert [event.request for event in ring] == ["2", "3", "4"]

    def test_filter_selects_by_request(self):
        ring = EventRing("d1")
        ring.record(EventKind.REQUEST_RECEIVED, request="a")
        ring.record(EventKind.REQUEST_RECEIVED, request="b")
        found = ring.select(EventFilter(request="b"))
        assert [event.request for event in found] == ["b"]

    def test_event_is_equal_after_json_round_trip(self):
        event = EventRing("d1").record(EventKind.ORDER_SENT, object="s1", fence=3)
        assert Event.from_json(json.loads(json.dumps(event.to_json()))) == event


class TestSettings:
    def test_valid_file_is_read(self, write_settings_file):
        assert (
            Settings.from_config(write_settings_file(json.dumps(VALID))).callers.port
            == 8000
        )

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("{", "not valid JSON"),
            (json.dumps(VALID | {"callers": {"port": 0}}), "callers.port (value 0)"),
            (json.dumps(VALID | {"colour": "red"}), "colour (value 'red')"),
            (json.dumps({k: v for k, v in VALID.items() if k != "zone"}), "zone"),
        ],
    )
    def test_error_names_field_and_value(self, write_settings_file, text, expected):
        with pytest.raises(SettingsError, match=r".") as caught:
            Settings.from_config(write_settings_file(text))
        assert expected in str(caught.value) and caught.value.remedy

    def test_missing_file_is_named(self, tmp_path):
        with pytest.raises(SettingsError, match=r"absent\.json"):
            Settings.from_config(tmp_path / "absent.json")
